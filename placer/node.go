package placer

// trackedNode holds what the Placer knows about one node. Each component that learns about nodes owns one
// record in it, and only the file of that component changes this record. The fields that the filter reads
// come first, which keeps them close together in memory.
type trackedNode struct {
	Node                  // latest entry of the node in a node list
	cores, memory float64 // size of the node; 0 if its type is unknown
	listed        bool    // a node list has named the node

	health  nodeHealth    // owned by the outlier detector
	standby standbyRecord // owned by the consolidator
	load    nodeLoad      // owned by the capacity model
	tasks   nodeTasks     // tasks and attempts of this scheduler on the node

	slowStartAttempts []Seconds // owned by slowStart: times of this scheduler's attempts during slow start
	unusedSince       Seconds   // owned by nodeTable: time at which the node became unused, or 0
}

func newTrackedNode(id NodeID) *trackedNode {
	return &trackedNode{Node: Node{ID: id, NodeType: -1, Rack: -1, Zone: -1}, tasks: newNodeTasks()}
}

// resetAfterRestart clears the recorded health, load and cached programs of a node that has restarted.
func (n *trackedNode) resetAfterRestart() {
	n.health.reset()
	n.load.reset()
	n.tasks.dropCachedPrograms()
}
