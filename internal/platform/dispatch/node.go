package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heathshed/placer"
)

// Node is one node of the registry, as discovery events describe it. The nodeRegistry owns it.
type Node struct {
	ID        placer.NodeID
	UID       string
	Addr      string
	State     placer.NodeState
	StartedAt placer.Seconds // Unix time; 0 means long ago

	placerNode         placer.Node
	running            map[*Attempt]struct{} // the attempts that run on it
	stateChangedAt     placer.Seconds        // when its state last changed
	expiryScheduledFor placer.Seconds        // the stateChangedAt for which a timer of scheduleTaskExpiry is set, or 0
	removalScheduled   bool                  // a timer of scheduleRemoval is set
}

// RunningTasks returns the number of tasks that run on the node.
func (n *Node) RunningTasks() int { return len(n.running) }

// runs reports whether an attempt runs on the node.
func (n *Node) runs(attempt *Attempt) bool {
	_, running := n.running[attempt]
	return running
}

// runningAttempts returns the attempts that run on the node, in the order of their requests.
func (n *Node) runningAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(n.running))
	for attempt := range n.running {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.request.taskID, b.request.taskID) })
	return attempts
}

// TerminatedFor returns for how long the node has been terminated, or 0 if it is not.
func (n *Node) TerminatedFor(now placer.Seconds) placer.Seconds {
	if n.State != placer.Terminated {
		return 0
	}
	return now - n.stateChangedAt
}

// update applies a valid entry of a discovery event to the node. zone and nodeType are the placer's numbers for the entry's zone and node type.
func (n *Node) update(entry *nodeEntry, zone, nodeType int, now placer.Seconds) {
	state, _ := parseNodeState(entry.State) // valid
	if n.State != state {
		n.State = state
		n.stateChangedAt = now
	}
	n.Addr = entry.Endpoint
	n.StartedAt = placer.Seconds(entry.StartedAtMS / millisecondsPerSecond)
	n.placerNode = placer.Node{
		ID:         n.ID,
		Zone:       zone,
		Rack:       entry.Rack,
		NodeType:   nodeType,
		State:      n.State,
		FreeCores:  entry.Free[0],
		FreeMemory: entry.Free[1],
		StartedAt:  n.StartedAt,
	}
}

// terminate marks a node that is missing from a complete list as terminated.
func (n *Node) terminate(now placer.Seconds) {
	n.State = placer.Terminated
	n.placerNode.State = placer.Terminated
	n.stateChangedAt = now
}

// restartedAfter reports whether the node's current incarnation started after an attempt began to run on it.
func (n *Node) restartedAfter(attempt *Attempt) bool {
	return n.StartedAt > attempt.runningSince+incarnationTolerance
}

// NodeIDOf returns the placer's ID for the node with the given UID. It is the same in every scheduler, since all of them sort and draw nodes by
// it. It has 48 bits, as many as an address in the simulator's protocol.
func NodeIDOf(uid string) placer.NodeID {
	return placer.NodeID(xxhash.Sum64String(uid) & (1<<48 - 1))
}
