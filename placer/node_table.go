package placer

import "slices"

// nodeTable owns the records of all known nodes and applies node lists to them.
type nodeTable struct {
	types []NodeType
	list  []*trackedNode // in the order in which they became known
	byID  map[NodeID]*trackedNode
}

func newNodeTable(types []NodeType) *nodeTable {
	return &nodeTable{types: types, byID: map[NodeID]*trackedNode{}}
}

// ensure returns the record of a node, which it creates if there is none.
func (t *nodeTable) ensure(id NodeID) *trackedNode {
	node := t.byID[id]
	if node == nil {
		node = newTrackedNode(id)
		t.byID[id] = node
		t.list = append(t.list, node)
	}
	return node
}

// apply applies a node list. Nodes that a full list leaves out have terminated.
func (t *nodeTable) apply(kind ListKind, entries []Node) {
	if kind != Changes {
		for _, node := range t.list {
			node.State = Terminated
		}
	}
	for _, entry := range entries {
		t.update(entry)
	}
}

// update applies one entry of a list. A node with a new start time has restarted, which resets its load and
// health.
func (t *nodeTable) update(entry Node) {
	node := t.ensure(entry.ID)
	if node.listed && entry.StartedAt != node.StartedAt {
		node.resetAfterRestart()
	}
	node.Node = entry
	node.listed = true
	if entry.NodeType >= 0 && entry.NodeType < len(t.types) {
		size := t.types[entry.NodeType]
		node.cores, node.memory = size.Cores, size.Memory
	}
}

// evictTerminated removes nodes that terminated long ago and run no own task, so that memory does not grow as
// nodes are replaced.
func (t *nodeTable) evictTerminated(now Seconds) {
	t.list = slices.DeleteFunc(t.list, func(node *trackedNode) bool {
		if node.State != Terminated || !node.listed || node.tasks.inUse() {
			node.unusedSince = 0
			return false
		}
		if node.unusedSince == 0 {
			node.unusedSince = now
		}
		if now-node.unusedSince < nodeRetention {
			return false
		}
		delete(t.byID, node.ID)
		return true
	})
}
