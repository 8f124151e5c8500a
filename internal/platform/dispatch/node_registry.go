package dispatch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"heathshed/placer"
)

const (
	// TerminationGrace is the delay after which the running tasks of a terminated node are assumed to be
	// lost. The delay starts when a discovery event reports the node as terminated.
	TerminationGrace placer.Seconds = 1.0
	// terminatedNodeRetention is how long a terminated node is kept in the node registry.
	terminatedNodeRetention placer.Seconds = 60.0
	// incarnationTolerance allows for inexact clocks and start times. By its time alone, a task belongs to an
	// earlier incarnation of its node only if the node started later than the task by more than this.
	incarnationTolerance placer.Seconds = 1.0
)

// nodeRegistry owns the nodes that discovery events describe, and the set of running attempts of each node.
// It answers the placer's requests for the node list.
type nodeRegistry struct {
	*sharedState
	endLostTask func(*Attempt) // endLostTask ends a task that was lost together with its node.
	nodesListed func()         // nodesListed is called when a node list was applied.

	nodes              map[placer.NodeID]*Node
	lastDiscoveryEvent uint64 // lastDiscoveryEvent is the sequence number of the last event that was applied.
	discoveryConnected bool
	// nodeListRequested is set while the placer waits for an answer to its request for the node list. The
	// answer follows when the next node list arrives, or when the caller of the core reports whether it could
	// connect the discovery stream.
	nodeListRequested bool
}

func newNodeRegistry(shared *sharedState) *nodeRegistry {
	return &nodeRegistry{sharedState: shared, nodes: map[placer.NodeID]*Node{}}
}

// loadInitialEvents applies the discovery events from before the scheduler start. The parameter initialEvents
// is a JSON object or empty.
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

// get returns the node with the given ID, or nil if the registry does not contain that node.
func (r *nodeRegistry) get(id placer.NodeID) *Node { return r.nodes[id] }

// getByUID returns the node with the given UID, or nil if the registry does not contain that node.
func (r *nodeRegistry) getByUID(uid string) *Node { return r.nodes[r.idOf(uid)] }

// each calls f for each node in the registry, in no particular order.
func (r *nodeRegistry) each(f func(*Node)) {
	for _, node := range r.nodes {
		f(node)
	}
}

// idOf returns the ID that the placer uses for the node with the given UID. If the registry does not contain
// that node, idOf returns the ID that a new node with this UID would get.
func (r *nodeRegistry) idOf(uid string) placer.NodeID {
	id := NodeIDOf(uid)
	for r.nodes[id] != nil && r.nodes[id].UID != uid {
		id++ // This ID belongs to another node whose UID has the same hash.
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

// addRunningAttempt adds an attempt to the set of running attempts of its node. If the node has already
// terminated, no later discovery event would end the task, so addRunningAttempt sets a timer that ends the
// task.
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

// removeRunningAttempt removes an attempt from the set of running attempts of its node, if the set contains
// the attempt.
func (r *nodeRegistry) removeRunningAttempt(attempt *Attempt) {
	if node := r.nodes[attempt.Node]; node != nil {
		delete(node.runningAttempts, attempt)
	}
}

// receiveEvent implements Core.ReceiveDiscoveryEvent: it applies one event of the discovery stream.
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
	if event.NodeList == nil {
		return true, nil
	}
	r.handleNodeList(event.NodeList, changedNodes)
	return true, event.NodeList.invalidFigure()
}

// applyEvent adds or updates the nodes in the node list of a discovery event, and returns these nodes. An
// invalid event changes nothing.
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

// updateNode adds or updates the node that a valid entry of a node list describes.
func (r *nodeRegistry) updateNode(entry *nodeEntry) *Node {
	id := r.idOf(entry.UID)
	node := r.nodes[id]
	if node == nil {
		node = &Node{ID: id, UID: entry.UID, State: placer.Terminated, stateChangedAt: r.now, runningAttempts: map[*Attempt]struct{}{}}
		r.nodes[id] = node
	}
	node.update(entry, slices.Index(r.settings.ZoneNames, entry.Zone), slices.Index(r.settings.NodeTypeNames, entry.NodeType), r.now)
	return node
}

// terminateMissingNodes marks the nodes that are missing from a complete node list as terminated. The
// parameter listedNodes contains the IDs of the nodes in that list.
func (r *nodeRegistry) terminateMissingNodes(listedNodes map[placer.NodeID]bool) {
	for id, node := range r.nodes {
		if !listedNodes[id] && node.State != placer.Terminated {
			node.markTerminated(r.now)
		}
	}
}

// handleNodeList reports the changed nodes of a node list to the placer. It also ends the running tasks of
// nodes that have restarted, and sets timers that end the running tasks of terminated nodes.
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
		for _, attempt := range node.runningAttemptsByTaskID() {
			if node.restartedAfter(attempt) {
				r.endLostTask(attempt)
			}
		}
	}
	r.nodesListed()
	r.addEffect(Effect{Kind: NodesChanged})
}

// handleConnClosed implements Core.NodeConnClosed: it ends the tasks that the node accepted on the connection and
// that belong to an earlier incarnation of the node.
func (r *nodeRegistry) handleConnClosed(id placer.NodeID, connID NodeConnID) {
	node := r.nodes[id]
	if node == nil {
		return
	}
	for _, attempt := range node.runningAttemptsByTaskID() {
		if attempt.NodeConn != connID {
			continue
		}
		attempt.connClosed = true
		if node.restartedAfter(attempt) {
			r.endLostTask(attempt)
		}
	}
}

// scheduleTaskLoss sets a timer that ends the running tasks of a terminated node and reports the tasks as
// lost. If the state of the node changes before the timer fires, the timer has no effect. The delay gives the
// node time to report how its tasks ended. These reports are more detailed than the discovery event.
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

// endTasksOf ends all tasks that run on a node, and reports these tasks as lost.
func (r *nodeRegistry) endTasksOf(id placer.NodeID) {
	if node := r.nodes[id]; node != nil {
		for _, attempt := range node.runningAttemptsByTaskID() {
			r.endLostTask(attempt)
		}
	}
}

// scheduleRemoval sets a timer that removes a terminated node from the registry. If the node is no longer
// terminated when the timer fires, the node is kept. If the node still has running tasks, or if it has
// recovered and terminated again in the meantime, the timer is set again.
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

// setDiscoveryConnected records whether the discovery stream is connected. If the placer waits for an answer
// to its request for the node list, setDiscoveryConnected answers that request.
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

// handleNodeListRequest handles the placer's request for the node list. If the discovery stream is connected,
// the request is answered at once. Otherwise it is answered by the next call of setDiscoveryConnected or by
// the next node list that discovery sends.
func (r *nodeRegistry) handleNodeListRequest() {
	r.nodeListRequested = !r.discoveryConnected
	if r.discoveryConnected {
		r.postEvent(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
	}
}
