package placer

import "slices"

// nodeTable owns the records of all known nodes and applies node lists to them.
type nodeTable struct {
	types []NodeType
	list  []*trackedNode // in the order in which the nodes became known
	byID  map[NodeID]*trackedNode
}

func newNodeTable(types []NodeType) *nodeTable {
	return &nodeTable{types: types, byID: map[NodeID]*trackedNode{}}
}

// getOrCreate returns the record of a node. It creates the record if there is none.
func (t *nodeTable) getOrCreate(id NodeID) *trackedNode {
	node := t.byID[id]
	if node == nil {
		node = newTrackedNode(id)
		t.byID[id] = node
		t.list = append(t.list, node)
	}
	return node
}

// apply updates the records from a node list. A node that a full or cached list does not name has terminated.
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

// update applies one entry of a node list. If the start time of the node has changed, the node has restarted,
// and its recorded load and health are reset.
func (t *nodeTable) update(entry Node) {
	node := t.getOrCreate(entry.ID)
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

// evictTerminated removes the records of nodes that have been terminated and without tasks of this scheduler
// for nodeRetention. This bounds the memory use when nodes are replaced.
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
