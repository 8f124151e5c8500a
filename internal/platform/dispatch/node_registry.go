package dispatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"heathshed/placer"
)

const (
	// TerminationGrace is the time between the discovery event that reports a node as terminated and the time
	// at which its running tasks are assumed to be lost.
	TerminationGrace placer.Seconds = 1.0
	// terminatedNodeRetention is how long a terminated node is kept in the registry.
	terminatedNodeRetention placer.Seconds = 60.0
	// incarnationTolerance allows for inexact clocks and start times. A task belongs to an earlier
	// incarnation of its node only if the node started later than the task by more than this time.
	incarnationTolerance placer.Seconds = 1.0
)

// nodeRegistry owns the nodes that discovery events list and the sets of attempts that run on them. It
// answers the placer's requests for the node list.
type nodeRegistry struct {
	*sharedState
	endLostTask func(*Attempt) // ends a task that was lost together with its node

	nodes              map[placer.NodeID]*Node
	lastDiscoveryEvent uint64 // the sequence number of the last event that was applied
	discoveryConnected bool
	nodeListRequested  bool // whether a request of the placer for the node list waits for the connection
}

func newNodeRegistry(shared *sharedState) *nodeRegistry {
	return &nodeRegistry{sharedState: shared, nodes: map[placer.NodeID]*Node{}}
}

// loadInitialEvents applies the discovery events from before the scheduler start. initialEvents is a JSON
// object or empty.
func (r *nodeRegistry) loadInitialEvents(initialEvents []byte) error {
	var list initialEventList
	if len(initialEvents) > 0 {
		if err := json.Unmarshal(initialEvents, &list); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	for i := range list.Events {
		event := &list.Events[i]
		if _, err := r.applyEvent(event); err != nil {
			return fmt.Errorf("known: items[%d]: %w", i, err)
		}
		r.lastDiscoveryEvent = max(r.lastDiscoveryEvent, event.Number)
	}
	r.lastDiscoveryEvent = max(r.lastDiscoveryEvent, list.Number)
	r.postEvent(placer.Event{Kind: placer.NodesListed, List: placer.CachedList, Nodes: r.placerNodes()})
	return nil
}

// get returns the node with the given ID, or nil if the registry does not contain it.
func (r *nodeRegistry) get(id placer.NodeID) *Node { return r.nodes[id] }

// getByUID returns the node with the given UID, or nil if the registry does not contain it.
func (r *nodeRegistry) getByUID(uid string) *Node { return r.nodes[r.idOf(uid)] }

// each calls f for each node of the registry, in no particular order.
func (r *nodeRegistry) each(f func(*Node)) {
	for _, node := range r.nodes {
		f(node)
	}
}

// idOf returns the placer's ID of the node with the given UID, or the ID that a new node with this UID would
// get.
func (r *nodeRegistry) idOf(uid string) placer.NodeID {
	id := NodeIDOf(uid)
	for r.nodes[id] != nil && r.nodes[id].UID != uid {
		id++ // another node whose UID has the same hash uses this ID
	}
	return id
}

// placerNodes returns all nodes in the placer's representation, sorted by ID.
func (r *nodeRegistry) placerNodes() []placer.Node {
	var nodes []placer.Node
	for _, node := range r.nodes {
		nodes = append(nodes, node.placerNode)
	}
	slices.SortFunc(nodes, func(a, b placer.Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// runningTasks returns the number of running tasks on all nodes.
func (r *nodeRegistry) runningTasks() int {
	count := 0
	for _, node := range r.nodes {
		count += len(node.runningAttempts)
	}
	return count
}

// addRunningAttempt adds an attempt to the running attempts of its node. If the node has already terminated,
// no later discovery event would end the task, so a timer is set that ends it.
func (r *nodeRegistry) addRunningAttempt(attempt *Attempt) {
	node := r.nodes[attempt.Node]
	if node == nil {
		return
	}
	node.runningAttempts[attempt] = struct{}{}
	if node.State == placer.Terminated {
		r.scheduleTaskLoss(node)
	}
}

// removeRunningAttempt removes an attempt from the running attempts of its node, if it is one of them.
func (r *nodeRegistry) removeRunningAttempt(attempt *Attempt) {
	if node := r.nodes[attempt.Node]; node != nil {
		delete(node.runningAttempts, attempt)
	}
}

// receiveEvent applies one event of the discovery stream as Core.ReceiveDiscoveryEvent describes.
func (r *nodeRegistry) receiveEvent(data []byte) (ok bool, err error) {
	event, err := parseDiscoveryEvent(data)
	if err != nil {
		return false, err
	}
	if event.Number <= r.lastDiscoveryEvent {
		return true, nil
	}
	if event.Number > r.lastDiscoveryEvent+1 {
		return false, nil
	}
	changedNodes, err := r.applyEvent(event)
	if err != nil {
		return false, err
	}
	r.lastDiscoveryEvent = event.Number
	if event.NodeList != nil {
		r.handleNodeList(event.NodeList, changedNodes)
	}
	return true, nil
}

// applyEvent adds or updates the nodes that a discovery event lists, and returns them. An invalid event
// changes nothing.
func (r *nodeRegistry) applyEvent(event *discoveryEvent) (changedNodes []placer.Node, err error) {
	if err := event.validate(); err != nil || event.NodeList == nil {
		return nil, err
	}
	listedNodes := map[placer.NodeID]bool{}
	for i := range event.NodeList.Nodes {
		node := r.updateNode(&event.NodeList.Nodes[i])
		listedNodes[node.ID] = true
		changedNodes = append(changedNodes, node.placerNode)
	}
	if event.NodeList.Complete {
		r.terminateMissingNodes(listedNodes)
	}
	return changedNodes, nil
}

// updateNode adds or updates the node that a valid entry of a discovery event describes.
func (r *nodeRegistry) updateNode(entry *nodeEntry) *Node {
	id := r.idOf(entry.UID)
	node := r.nodes[id]
	if node == nil {
		node = &Node{ID: id, UID: entry.UID, State: placer.Terminated, runningAttempts: map[*Attempt]struct{}{}}
		r.nodes[id] = node
	}
	node.update(entry, slices.Index(r.settings.Zones, entry.Zone), slices.Index(r.settings.NodeTypes, entry.NodeType), r.now)
	return node
}

// terminateUnlisted marks each node as terminated whose ID is not in listed, the IDs of a complete node list.
func (r *nodeRegistry) terminateMissingNodes(listedNodes map[placer.NodeID]bool) {
	for id, node := range r.nodes {
		if !listedNodes[id] && node.State != placer.Terminated {
			node.markTerminated(r.now)
		}
	}
}

// handleNodeList reports the changed nodes to the placer, and ends the tasks of nodes that have terminated or
// restarted.
func (r *nodeRegistry) handleNodeList(list *nodeList, changedNodes []placer.Node) {
	kind := placer.Changes
	if list.Complete {
		kind = placer.FullList
	}
	r.nodeListRequested = false
	r.postEvent(placer.Event{Kind: placer.NodesListed, List: kind, Nodes: changedNodes})
	for _, node := range r.nodes {
		if node.State == placer.Terminated {
			r.scheduleTaskLoss(node)
			r.scheduleRemoval(node)
			continue
		}
		for attempt := range node.runningAttempts {
			if node.restartedAfter(attempt) {
				r.endLostTask(attempt)
			}
		}
	}
	r.addEffect(Effect{Kind: NodesChanged})
}

// scheduleTaskLoss sets a timer that ends the running tasks of a terminated node and reports them as lost,
// unless the state of the node changes in the meantime. The delay gives the node time to report how its tasks
// ended, in more detail than the discovery event provides.
func (r *nodeRegistry) scheduleTaskLoss(node *Node) {
	if len(node.runningAttempts) == 0 {
		return
	}
	terminatedAt := node.stateChangedAt
	if node.taskLossScheduledFor == terminatedAt {
		return
	}
	node.taskLossScheduledFor = terminatedAt
	r.timers.Add(max(r.now, terminatedAt+TerminationGrace), func() {
		node.taskLossScheduledFor = 0
		if node.State == placer.Terminated && node.stateChangedAt == terminatedAt {
			r.endTasksOf(node.ID)
		}
	})
}

// endTasksOf ends all tasks that run on a node, and reports them as lost.
func (r *nodeRegistry) endTasksOf(id placer.NodeID) {
	if node := r.nodes[id]; node != nil {
		for _, attempt := range node.runningAttemptsByTaskID() {
			r.endLostTask(attempt)
		}
	}
}

// scheduleRemoval sets a timer that removes a terminated node from the registry. When the timer runs, the
// node is kept if it is no longer terminated. The timer is set again if the node still has running tasks, or
// if it has terminated again in the meantime.
func (r *nodeRegistry) scheduleRemoval(node *Node) {
	if node.removalScheduled {
		return
	}
	node.removalScheduled = true
	r.timers.Add(max(node.stateChangedAt+terminatedNodeRetention, r.now+TerminationGrace), func() {
		node.removalScheduled = false
		switch {
		case node.State != placer.Terminated:
		case len(node.runningAttempts) > 0 || node.stateChangedAt+terminatedNodeRetention > r.now:
			r.scheduleRemoval(node)
		default:
			delete(r.nodes, node.ID)
		}
	})
}

// setDiscoveryConnected records whether the discovery stream is connected, and answers a request of the
// placer that waits for the connection.
func (r *nodeRegistry) setDiscoveryConnected(connected bool) {
	r.discoveryConnected = connected
	if !r.nodeListRequested {
		return
	}
	r.nodeListRequested = false
	kind := placer.ListFailed
	if connected {
		kind = placer.Changes
	}
	r.postEvent(placer.Event{Kind: placer.NodesListed, List: kind})
}

// handleListRequest answers the placer's request for the node list. While the discovery stream is not
// connected, the request waits for the next call of setDiscoveryConnected or for the next node list.
func (r *nodeRegistry) handleNodeListRequest() {
	r.nodeListRequested = !r.discoveryConnected
	if r.discoveryConnected {
		r.postEvent(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
	}
}
