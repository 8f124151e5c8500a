package placer

// trackedNode holds what the Placer knows about one node. Each component that learns about nodes owns one of
// the fields, and all code that changes this field is in a single Go source file. The fields that the filter
// reads come first, which keeps them close together in memory.
type trackedNode struct {
	Node                  // latest entry of the node in a node list
	cores, memory float64 // total capacity of the node; 0 if its type is unknown
	listed        bool    // a node list has named the node

	health  nodeHealth    // failures and ejection of the node; owned by the outlier detector
	standby standbyRecord // whether the node is active or in reserve; owned by the consolidator
	load    nodeLoad      // load of the node; owned by the capacity model
	tasks   nodeTasks     // tasks and attempts of this scheduler on the node

	slowStartAttempts []Seconds // owned by slowStart: times of this scheduler's attempts during slow start
	unusedSince       Seconds   // owned by nodeTable: time at which the node became unused; 0 if it is used
}

func newTrackedNode(id NodeID) *trackedNode {
	return &trackedNode{Node: Node{ID: id, NodeType: -1, Rack: -1, Zone: -1}, tasks: newNodeTasks()}
}

// resetAfterRestart clears the health, the load and the cached programs that are recorded for a node. It is
// called when the node has restarted.
func (n *trackedNode) resetAfterRestart() {
	n.health.reset()
	n.load.reset()
	n.tasks.dropCachedPrograms()
}
