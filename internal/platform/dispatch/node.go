package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heathshed/placer"
)

// Node is one node of the node registry, as described by discovery events. Nodes are owned by nodeRegistry.
type Node struct {
	ID        placer.NodeID
	UID       string
	Addr      string
	State     placer.NodeState
	StartedAt placer.Seconds // StartedAt is a Unix time. It is 0 if the node started long ago.

	placerNode      placer.Node
	runningAttempts map[*Attempt]struct{} // runningAttempts is the set of attempts that run on the node.
	stateChangedAt  placer.Seconds        // stateChangedAt is the time of the last change of State.
	// taskLossScheduledFor is the value that stateChangedAt had when scheduleTaskLoss set its timer. It is 0
	// if that timer is not set.
	taskLossScheduledFor placer.Seconds
	removalScheduled     bool // removalScheduled is set while the timer of scheduleRemoval is set.
}

// RunningTasks returns the number of tasks that run on the node.
func (n *Node) RunningTasks() int { return len(n.runningAttempts) }

// runs reports whether the given attempt is in the node's set of running attempts.
func (n *Node) runs(attempt *Attempt) bool {
	_, isRunning := n.runningAttempts[attempt]
	return isRunning
}

// runningAttemptsByTaskID returns the running attempts in the order of their task IDs.
func (n *Node) runningAttemptsByTaskID() []*Attempt {
	attempts := make([]*Attempt, 0, len(n.runningAttempts))
	for attempt := range n.runningAttempts {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.request.taskID, b.request.taskID) })
	return attempts
}

// TerminatedFor returns how long the node has been terminated. It returns 0 if the node is not terminated.
func (n *Node) TerminatedFor(now placer.Seconds) placer.Seconds {
	if n.State != placer.Terminated {
		return 0
	}
	return now - n.stateChangedAt
}

// update updates the node from a valid entry of a node list. It leaves out figures that are out of range: the
// node then keeps its free capacity, and counts as started long ago. The parameters zone and nodeType are the indexes
// that the placer uses for the zone and the node type of the entry.
func (n *Node) update(entry *nodeEntry, zone, nodeType int, now placer.Seconds) {
	state, _ := parseNodeState(entry.State) // The state is valid, since discoveryEvent.validate has checked it.
	if n.State != state {
		n.State = state
		n.stateChangedAt = now
	}
	n.Addr = entry.Endpoint
	n.StartedAt = 0
	if startTimeRange.contains(entry.StartedAtMS) {
		n.StartedAt = placer.Seconds(entry.StartedAtMS / millisecondsPerSecond)
	}
	free := entry.Free
	if !entry.freeIsValid() {
		free = [2]float64{n.placerNode.FreeCores, n.placerNode.FreeMemory}
	}
	n.placerNode = placer.Node{
		ID:         n.ID,
		Zone:       zone,
		Rack:       entry.Rack,
		NodeType:   nodeType,
		State:      n.State,
		FreeCores:  free[0],
		FreeMemory: free[1],
		StartedAt:  n.StartedAt,
	}
}

// markTerminated marks a node as terminated because a complete node list does not contain it.
func (n *Node) markTerminated(now placer.Seconds) {
	n.State = placer.Terminated
	n.placerNode.State = placer.Terminated
	n.stateChangedAt = now
}

// restartedAfter reports whether the node started a new incarnation after it had started the task of an
// attempt. Start times that differ by at most incarnationTolerance do not show this by themselves: then the end of
// the connection on which the node accepted the task is the sign of a new incarnation.
func (n *Node) restartedAfter(attempt *Attempt) bool {
	if attempt.connClosed && n.StartedAt > attempt.runningSince {
		return true
	}
	return n.StartedAt > attempt.runningSince+incarnationTolerance
}

// NodeIDOf returns the ID that the placer uses for the node with the given UID. Every scheduler has to
// compute the same ID, since schedulers sort nodes by ID and select nodes at random by ID. The ID has 48
// bits, like an address in the simulator's protocol.
func NodeIDOf(uid string) placer.NodeID {
	return placer.NodeID(xxhash.Sum64String(uid) & (1<<48 - 1))
}
