package dispatch

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heathshed/placer"
)

const (
	// TerminationGrace is the time in seconds from the discovery event that reports a node as terminated until its running tasks are assumed
	// to be lost.
	TerminationGrace = 1.0
	// terminatedNodeRetention is the time in seconds after which a terminated node is removed from the registry.
	terminatedNodeRetention = 60.0
	// incarnationTolerance is by how many seconds the start time of a node must be later than that of a task for the task to be of an earlier
	// incarnation: clocks and start times are not exact.
	incarnationTolerance = 1.0
)

// discoveryEvent is one event of the discovery stream. The JSON keys are the platform's.
type discoveryEvent struct {
	Number   uint64    `json:"no"`
	NodeList *nodeList `json:"roster"` // nil in events of other kinds
}

// nodeList is a list of nodes: all of them if Complete, else those that changed.
type nodeList struct {
	Revision uint64      `json:"rev"`
	Complete bool        `json:"all"`
	Nodes    []nodeEntry `json:"targets"`
}

// nodeEntry describes one node in a discovery event.
type nodeEntry struct {
	UID         string     `json:"uid"`
	Endpoint    string     `json:"endpoint"`
	Zone        string     `json:"az"`
	NodeType    string     `json:"model"`
	Rack        int        `json:"pod_group"`
	State       string     `json:"state"`
	StartedAtMS float64    `json:"boot_ms"`
	Free        [2]float64 `json:"open"` // cores and memory
}

// knownEventList is the configuration's list of discovery events from before the start.
type knownEventList struct {
	Number uint64           `json:"no"` // of the last event
	Events []discoveryEvent `json:"items"`
}

// Node is one node of the registry, as discovery events described it.
type Node struct {
	ID        placer.NodeID
	UID       string
	Addr      string
	State     placer.NodeState
	StartedAt float64 // Unix seconds, 0 for long ago

	placerNode         placer.Node
	running            map[*Attempt]struct{} // the attempts that run on it
	stateChangedAt     float64               // when its state last changed
	expiryScheduledFor float64               // the stateChangedAt for which a timer of scheduleTaskExpiry runs, 0 if none does
	removalScheduled   bool                  // a timer of scheduleNodeRemoval runs
}

// RunningTasks returns the number of tasks that run on the node.
func (n *Node) RunningTasks() int { return len(n.running) }

// runningAttempts returns the attempts that run on the node, in the order of their requests.
func (n *Node) runningAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(n.running))
	for attempt := range n.running {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return int(a.request.taskID) - int(b.request.taskID) })
	return attempts
}

// TerminatedFor returns for how many seconds the node has been terminated, 0 if it is not.
func (n *Node) TerminatedFor(now float64) float64 {
	if n.State != placer.Terminated {
		return 0
	}
	return now - n.stateChangedAt
}

// update enters what a discovery event says about the node.
func (n *Node) update(entry *nodeEntry, state placer.NodeState, now float64) {
	if n.State != state {
		n.State = state
		n.stateChangedAt = now
	}
	n.Addr = entry.Endpoint
	n.StartedAt = entry.StartedAtMS / 1000
}

// terminate marks a node that is missing from a complete list as terminated.
func (n *Node) terminate(now float64) {
	n.State = placer.Terminated
	n.placerNode.State = placer.Terminated
	n.stateChangedAt = now
}

// NodeIDOf returns the placer's ID for the node with the given UID. It is the same in every scheduler, since all of them sort and draw nodes by
// it. It has 48 bits, as many as an address in the simulator's protocol.
func NodeIDOf(uid string) placer.NodeID {
	return placer.NodeID(xxhash.Sum64String(uid) & (1<<48 - 1))
}

// nodeID returns the placer's ID of a node in the registry, or the one that a new node with this UID gets.
func (c *Core) nodeID(uid string) placer.NodeID {
	id := NodeIDOf(uid)
	for c.nodes[id] != nil && c.nodes[id].UID != uid {
		id++ // the IDs of two UIDs collide
	}
	return id
}

// Node returns a node of the registry, nil if there is none with the ID.
func (c *Core) Node(id placer.NodeID) *Node { return c.nodes[id] }

// Nodes calls f for each node of the registry, in no particular order.
func (c *Core) Nodes(f func(*Node)) {
	for _, node := range c.nodes {
		f(node)
	}
}

// placerNodes returns the registry for the placer, in order of IDs.
func (c *Core) placerNodes() []placer.Node {
	var nodes []placer.Node
	for _, node := range c.nodes {
		nodes = append(nodes, node.placerNode)
	}
	slices.SortFunc(nodes, func(a, b placer.Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return nodes
}

// LastDiscoveryEvent returns the number of the last discovery event that was applied.
func (c *Core) LastDiscoveryEvent() uint64 { return c.lastDiscoveryEvent }

// ReceiveDiscoveryEvent applies one event of the discovery stream. ok is false if events are missing before it or it is invalid: it was not
// applied then, and the stream is to be opened again after LastDiscoveryEvent. An event that was applied already is ignored.
func (c *Core) ReceiveDiscoveryEvent(now float64, data []byte) (ok bool, err error) {
	c.setTime(now)
	var event discoveryEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return false, fmt.Errorf("discovery event: %w", err)
	}
	if event.Number <= c.lastDiscoveryEvent {
		return true, nil
	}
	if event.Number > c.lastDiscoveryEvent+1 {
		return false, nil
	}
	changed, err := c.applyDiscoveryEvent(&event)
	if err != nil {
		return false, err
	}
	c.lastDiscoveryEvent = event.Number
	if event.NodeList == nil {
		return true, nil
	}
	kind := placer.Changes
	if event.NodeList.Complete {
		kind = placer.FullList
	}
	c.handleNodesListed(kind, changed)
	c.runEvents()
	return true, nil
}

// applyDiscoveryEvent applies a discovery event to the registry and returns the nodes that it lists. An invalid event changes nothing.
func (c *Core) applyDiscoveryEvent(event *discoveryEvent) (changed []placer.Node, err error) {
	list := event.NodeList
	if list == nil {
		return nil, nil
	}
	for i := range list.Nodes {
		entry := &list.Nodes[i]
		if _, valid := parseNodeState(entry.State); !valid || entry.UID == "" {
			return nil, fmt.Errorf("discovery event %d: target %d: uid %q, state %q", event.Number, i, entry.UID, entry.State)
		}
	}
	listed := map[placer.NodeID]bool{}
	for i := range list.Nodes {
		node := c.updateNode(&list.Nodes[i])
		listed[node.ID] = true
		changed = append(changed, node.placerNode)
	}
	if list.Complete {
		c.terminateUnlisted(listed)
	}
	return changed, nil
}

// updateNode enters a valid entry of a discovery event into the registry.
func (c *Core) updateNode(entry *nodeEntry) *Node {
	id := c.nodeID(entry.UID)
	node := c.nodes[id]
	if node == nil {
		node = &Node{ID: id, UID: entry.UID, State: placer.Terminated, running: map[*Attempt]struct{}{}}
		c.nodes[id] = node
	}
	state, _ := parseNodeState(entry.State) // valid
	node.update(entry, state, c.now)
	node.placerNode = placer.Node{
		ID:         id,
		Zone:       slices.Index(c.settings.Zones, entry.Zone),
		Rack:       entry.Rack,
		NodeType:   slices.Index(c.settings.NodeTypes, entry.NodeType),
		State:      node.State,
		FreeCores:  entry.Free[0],
		FreeMemory: entry.Free[1],
		StartedAt:  placer.Seconds(node.StartedAt),
	}
	return node
}

// terminateUnlisted marks the nodes that a complete list leaves out as terminated.
func (c *Core) terminateUnlisted(listed map[placer.NodeID]bool) {
	for id, node := range c.nodes {
		if !listed[id] && node.State != placer.Terminated {
			node.terminate(c.now)
		}
	}
}

func parseNodeState(text string) (state placer.NodeState, valid bool) {
	switch text {
	case "in_service":
		return placer.Ready, true
	case "terminating":
		return placer.Draining, true
	case "terminated":
		return placer.Terminated, true
	}
	return 0, false
}

// handleNodesListed tells the placer of listed nodes, and ends the tasks of nodes that have terminated or restarted.
func (c *Core) handleNodesListed(kind placer.ListKind, changed []placer.Node) {
	c.listRequested = false
	c.post(placer.Event{Kind: placer.NodesListed, List: kind, Nodes: changed})
	for _, node := range c.nodes {
		if node.State == placer.Terminated {
			c.scheduleTaskExpiry(node)
			c.scheduleNodeRemoval(node)
			continue
		}
		for attempt := range node.running {
			if node.StartedAt > attempt.runningSince+incarnationTolerance {
				c.endLostTask(attempt) // it ran on an earlier incarnation
			}
		}
	}
	c.emit(Effect{Kind: NodesChanged})
}

// scheduleTaskExpiry sets a timer that ends the running tasks of a terminated node as lost, unless its state changes meanwhile. The wait is for
// the reports that the node itself sends about its tasks, which say more than the discovery event does.
func (c *Core) scheduleTaskExpiry(node *Node) {
	if len(node.running) == 0 {
		return
	}
	terminatedAt := node.stateChangedAt
	if node.expiryScheduledFor == terminatedAt {
		return
	}
	node.expiryScheduledFor = terminatedAt
	c.timers.Add(max(c.now, terminatedAt+TerminationGrace), func() {
		node.expiryScheduledFor = 0
		if node.State == placer.Terminated && node.stateChangedAt == terminatedAt {
			c.NodeDead(c.now, node.ID)
		}
	})
}

// scheduleNodeRemoval sets a timer that removes a terminated node from the registry, unless it is listed again or has running tasks.
func (c *Core) scheduleNodeRemoval(node *Node) {
	if node.removalScheduled {
		return
	}
	node.removalScheduled = true
	c.timers.Add(max(node.stateChangedAt+terminatedNodeRetention, c.now+TerminationGrace), func() {
		node.removalScheduled = false
		switch {
		case node.State != placer.Terminated:
		case len(node.running) > 0 || node.stateChangedAt+terminatedNodeRetention > c.now:
			c.scheduleNodeRemoval(node)
		default:
			delete(c.nodes, node.ID)
		}
	})
}

// SetDiscoveryConnected reports whether the discovery stream is connected. The placer's requests for the node list are answered from the
// stream, whose events are passed on as they come: a request is answered at once while the stream is connected, and fails when an attempt to
// connect it has failed.
func (c *Core) SetDiscoveryConnected(now float64, connected bool) {
	c.setTime(now)
	c.discoveryConnected = connected
	if c.listRequested {
		c.listRequested = false
		kind := placer.ListFailed
		if connected {
			kind = placer.Changes
		}
		c.post(placer.Event{Kind: placer.NodesListed, List: kind})
	}
	c.runEvents()
}

// requestNodeList answers the placer's request for the node list, or leaves the answer to SetDiscoveryConnected.
func (c *Core) requestNodeList() {
	c.listRequested = !c.discoveryConnected
	if c.discoveryConnected {
		c.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
	}
}
