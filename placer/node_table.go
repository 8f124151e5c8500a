package placer

import "slices"

// nodeTable owns the records of all known nodes and applies node lists to them.
type nodeTable struct {
	nodeTypes []NodeType
	allNodes  []*trackedNode // all known nodes, in the order in which they became known
	byID      map[NodeID]*trackedNode
}

func newNodeTable(types []NodeType) *nodeTable {
	return &nodeTable{nodeTypes: types, byID: map[NodeID]*trackedNode{}}
}

// getOrCreate returns the record of a node. It creates the record if there is none.
func (t *nodeTable) getOrCreate(id NodeID) *trackedNode {
	node := t.byID[id]
	if node == nil {
		node = newTrackedNode(id)
		t.byID[id] = node
		t.allNodes = append(t.allNodes, node)
	}
	return node
}

// applyList updates the records from a node list. A node that a full or cached list does not name has
// terminated.
func (t *nodeTable) applyList(kind ListKind, entries []Node) {
	if kind != Changes {
		for _, node := range t.allNodes {
			node.State = Terminated
		}
	}
	for _, entry := range entries {
		t.applyEntry(entry)
	}
}

// applyEntry applies one entry of a node list. If the start time of the node has changed, the node has
// restarted. Its recorded load, health and cached programs are then reset.
func (t *nodeTable) applyEntry(entry Node) {
	node := t.getOrCreate(entry.ID)
	if node.listed && entry.StartedAt != node.StartedAt {
		node.resetAfterRestart()
	}
	node.Node = entry
	node.listed = true
	if entry.NodeType >= 0 && entry.NodeType < len(t.nodeTypes) {
		size := t.nodeTypes[entry.NodeType]
		node.cores, node.memory = size.Cores, size.Memory
	}
}

// evictTerminated removes the records of nodes that have been unused for the time nodeRetention. A node is
// unused if it has terminated and no task of this scheduler is on it. If the records were kept, the memory
// use of the scheduler would grow with each node that is replaced.
func (t *nodeTable) evictTerminated(now Seconds) {
	t.allNodes = slices.DeleteFunc(t.allNodes, func(node *trackedNode) bool {
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
