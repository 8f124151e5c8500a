package placer

// trackedNode is what is known about one node. Each part of the Placer that learns something about nodes owns one of
// the records, which only its own file writes. The fields that the filter reads come first, close together.
type trackedNode struct {
	Node                  // the latest list entry
	cores, memory float64 // the size of the node, 0 if its type is not known
	listed        bool    // a list has named the node

	health  nodeHealth    // by the outlier detector
	standby standbyRecord // by the consolidator
	load    nodeLoad      // by the capacity model
	tasks   nodeTasks     // own tasks and attempts

	warmupAttempts []Seconds // by slow start: times of own attempts while the node was warming up
	unusedSince    Seconds   // by the node table: time since which it has been terminated and not in use, or 0
}

func newTrackedNode(id NodeID) *trackedNode {
	return &trackedNode{Node: Node{ID: id, NodeType: -1, Rack: -1, Zone: -1}, tasks: newNodeTasks()}
}

// resetAfterRestart resets what was known about the load and health of a node that has restarted.
func (n *trackedNode) resetAfterRestart() {
	n.health.reset()
	n.load.reset()
	n.tasks.dropCachedPrograms()
}
