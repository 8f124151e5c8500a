package engine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// Listing is the kind of report that a call of NodesListed makes about the inventory.
type Listing uint8

const (
	// FullList means that the call reports all nodes of the inventory.
	FullList Listing = iota
	// Changes means that the call reports only nodes that were added, changed or removed.
	Changes
	// ListUnavailable means that the inventory cannot be reached and that the call reports no nodes. The last
	// list remains valid.
	ListUnavailable
)

// nodeRegistry owns the records of all nodes that are in the inventory or still run tasks.
type nodeRegistry struct {
	*environment
	lifecycle *taskLifecycle
	outcomes  *outcomeReconciler
	publisher *publisher

	byName          map[string]*node
	byID            map[placer.NodeID]*node
	byListedBootID  map[string]*node // the nodes of the inventory by the incarnation that the inventory states
	zones           map[string]int   // for the name of each zone, the index that the placer uses for the zone
	racks           map[string]int   // for the name of each rack, the index that the placer uses for the rack
	inventoryListed bool             // set once the engine has received a list of the inventory
}

// getByName returns the node with the given name, or nil if the node is unknown.
func (r *nodeRegistry) getByName(name string) *node { return r.byName[name] }

// getByID returns the node with the given placer ID, or nil if the node is unknown.
func (r *nodeRegistry) getByID(id placer.NodeID) *node { return r.byID[id] }

// applyListing implements Engine.NodesListed.
func (r *nodeRegistry) applyListing(kind Listing, nodes []*corev1.Node, removedNames []string) {
	if kind == ListUnavailable {
		// The caller itself resumes its watch of the inventory. The placer waits for an answer only if it
		// has requested the list, which is the case if MustPoll is set.
		if r.cfg.Placer.Discovery.MustPoll {
			r.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
		return
	}
	changedNodes := r.applyNodes(nodes)
	listKind := placer.Changes
	if kind == FullList {
		listKind = placer.FullList
		removedNames = append(removedNames, r.missingFromList(nodes)...)
		slices.Sort(removedNames)
	}
	changedNodes = append(changedNodes, r.removeFromInventory(removedNames)...)
	placerNodes := make([]placer.Node, 0, len(changedNodes))
	for _, node := range changedNodes {
		placerNodes = append(placerNodes, r.refreshPlacerNode(node))
		r.publisher.publishNode(node)
	}
	r.inventoryListed = true
	r.post(placer.Event{Kind: placer.NodesListed, List: listKind, Nodes: placerNodes})
}

// applyNodes updates the records of the nodes that a report of the inventory contains, and returns these
// records. It skips a node if the placer ID of the node already belongs to another node.
func (r *nodeRegistry) applyNodes(listedNodes []*corev1.Node) []*node {
	var updatedNodes []*node
	for _, object := range listedNodes {
		node := r.getOrAdd(object.Name)
		if node == nil {
			continue
		}
		r.setAddress(node, wellknown.NodeAddress(object))
		// The report may be out of date and may state an earlier incarnation. The report must not change
		// node.incarnation, because only the node itself knows its present incarnation.
		r.setInventoryNode(node, object)
		updatedNodes = append(updatedNodes, node)
	}
	return updatedNodes
}

// setInventoryNode records the Node object that the inventory states for a node, or nil if the node has left the
// inventory.
func (r *nodeRegistry) setInventoryNode(node *node, object *corev1.Node) {
	if node.inventoryNode != nil {
		if bootID := node.inventoryNode.Status.NodeInfo.BootID; r.byListedBootID[bootID] == node {
			delete(r.byListedBootID, bootID)
		}
	}
	node.inventoryNode = object
	if object != nil && object.Status.NodeInfo.BootID != "" {
		r.byListedBootID[object.Status.NodeInfo.BootID] = node
	}
}

// isProcessOf reports whether a message from the address of a node comes from the process of that node: the message
// states an incarnation, and the inventory does not state this incarnation for another node. A new node may have
// the address of one that has gone and is still listed.
func (r *nodeRegistry) isProcessOf(node *node, incarnation string) bool {
	owner := r.byListedBootID[incarnation]
	return incarnation != "" && (owner == nil || owner == node)
}

// getOrAdd returns the node with the given name and adds it if it is unknown. It returns nil if the placer ID
// of a new node, which is a hash of its name, already belongs to another node.
func (r *nodeRegistry) getOrAdd(name string) *node {
	if knownNode := r.byName[name]; knownNode != nil {
		return knownNode
	}
	addedNode := &node{name: name, id: placer.NodeID(xxhash.Sum64String(name)), runningTasks: map[types.UID]*task{}}
	if r.byID[addedNode.id] != nil {
		return nil
	}
	r.byName[name] = addedNode
	r.byID[addedNode.id] = addedNode
	return addedNode
}

// setAddress records the address of a node. If the address has changed, the engine ends the watch of the
// Pods at the old address, and starts a watch at the new one.
func (r *nodeRegistry) setAddress(node *node, address string) {
	if address == node.address {
		return
	}
	if node.address != "" {
		r.emit(Effect{Kind: UnwatchNode, Node: node.name})
		node.podsWatched = false
	}
	node.address = address
	if address != "" {
		r.emit(Effect{Kind: WatchNode, Node: node.name, Address: address})
	}
}

// missingFromList returns the names of the nodes that a new full list of the inventory no longer contains.
// The names are in random order.
func (r *nodeRegistry) missingFromList(listedNodes []*corev1.Node) []string {
	listedNames := make(map[string]bool, len(listedNodes))
	for _, object := range listedNodes {
		listedNames[object.Name] = true
	}
	var missingNames []string
	for name, node := range r.byName {
		if !listedNames[name] && node.inventoryNode != nil {
			missingNames = append(missingNames, name)
		}
	}
	return missingNames
}

// removeFromInventory records that nodes have left the inventory. It returns the records of the nodes that
// were in the inventory until now.
func (r *nodeRegistry) removeFromInventory(names []string) []*node {
	var removedNodes []*node
	for _, name := range names {
		if node := r.byName[name]; node != nil && node.inventoryNode != nil {
			r.setInventoryNode(node, nil)
			removedNodes = append(removedNodes, node)
		}
	}
	return removedNodes
}

// refreshPlacerNode updates the state of a node from its inventory entry and the drain request of API
// clients, and returns a description of the node for the placer. If the state changes to Terminated, the
// node loss timeout starts.
func (r *nodeRegistry) refreshPlacerNode(node *node) placer.Node {
	previousState := node.state
	node.state = placer.Terminated
	placerNode := placer.Node{ID: node.id, NodeType: -1}
	if object := node.inventoryNode; object != nil {
		placerNode.Zone = intern(r.zones, object.Labels[wellknown.Zone])
		placerNode.Rack = intern(r.racks, object.Labels[wellknown.Rack])
		placerNode.NodeType = slices.Index(r.cfg.NodeTypes, object.Labels[wellknown.NodeType])
		placerNode.StartedAt = r.incarnationStart(node)
		placerNode.FreeCores, placerNode.FreeMemory = freeCapacity(object)
		switch {
		case node.drainRequested || object.Spec.Unschedulable:
			node.state = placer.Draining
		case wellknown.NodeReady(object) && node.address != "":
			node.state = placer.Ready
		}
	}
	placerNode.State = node.state
	if node.state == placer.Terminated && (previousState != placer.Terminated || !node.reportedToPlacer) {
		r.startLossTimer(node)
	}
	node.reportedToPlacer = true
	return placerNode
}

// The inventory states an incarnation for each node. incarnationStart returns the start time of this
// incarnation by the scheduler's clock. 0 means that the incarnation started long ago. If the incarnation
// appeared after the first list, the result is the time at which the inventory first listed the
// incarnation. The timestamp of the node itself is not used in this case, because the clocks of nodes
// differ: a node that has just started and whose clock is behind would get no slow start. The list
// arrives somewhat later than the true start of the incarnation, which only prolongs the slow start.
func (r *nodeRegistry) incarnationStart(node *node) placer.Seconds {
	incarnation := node.inventoryNode.Status.NodeInfo.BootID
	if node.reportedToPlacer && incarnation != "" && incarnation == node.listedIncarnation {
		return node.listedStartedAt
	}
	statedStart := wellknown.ParseTimestamp(node.inventoryNode.Annotations[wellknown.StartedAt])
	switch {
	case statedStart == 0:
		node.listedStartedAt = 0
	case r.inventoryListed:
		node.listedStartedAt = r.now
	default:
		// The node was in the first list of the inventory that this scheduler received. Only the
		// timestamp of the node itself states when the node started.
		node.listedStartedAt = min(statedStart, r.now)
	}
	node.listedIncarnation = incarnation
	return node.listedStartedAt
}

// startLossTimer starts the node loss timeout of a node, and schedules checkNodeLoss for the end of the
// timeout.
func (r *nodeRegistry) startLossTimer(node *node) {
	node.lossTimerStart = r.now
	r.runAfter(r.cfg.NodeLossTimeout, func() { r.checkNodeLoss(node) })
}

// checkNodeLoss ends the tasks of a node that has been absent from the inventory and unresponsive for the
// whole node loss timeout. It does not end non-idempotent tasks, because the node may run them although
// this scheduler cannot reach the node. Only the node itself or a new incarnation of the node can confirm
// that such a task has ended.
func (r *nodeRegistry) checkNodeLoss(node *node) {
	elapsed := r.now - node.lossTimerStart
	if node.state != placer.Terminated || node.podsWatched || elapsed < r.cfg.NodeLossTimeout {
		return
	}
	for _, task := range inCreationOrder(node.runningTasks) {
		if r.idempotencyOf(task) != placer.NonIdempotent {
			r.lifecycle.recordEnd(task, taskEnd{result: placer.Lost, podReason: wellknown.NodeLost, podMessage: node.name + " is gone"})
		}
	}
	r.drainEvents()
	r.unwatchRemoved(node)
}

// unwatchRemoved ends the watch of a node's Pods if the node has left the inventory and runs no tasks.
func (r *nodeRegistry) unwatchRemoved(node *node) {
	if node.inventoryNode != nil || len(node.runningTasks) > 0 || node.address == "" {
		return
	}
	r.emit(Effect{Kind: UnwatchNode, Node: node.name})
	node.address = ""
	node.podsWatched = false
}

// countNodes implements Engine.NodeCounts. It returns the number of nodes that are ready or draining, and
// the number of these nodes whose Pods are watched.
func (r *nodeRegistry) countNodes() (listedCount, watchedCount int) {
	for _, node := range r.byName {
		if node.state == placer.Terminated {
			continue
		}
		listedCount++
		if node.podsWatched {
			watchedCount++
		}
	}
	return listedCount, watchedCount
}

// recordPodList records that a node has listed its Pods, and that the Pods of the node are watched from
// now on.
func (r *nodeRegistry) recordPodList(node *node, incarnation string) {
	node.podsWatched = true
	r.observeIncarnation(node, incarnation)
}

// observeIncarnation handles the incarnation that a node states. If the incarnation is new, all tasks that
// earlier incarnations accepted are lost, because no task survives a restart of its node. Attempts with an
// unknown outcome may have run in an earlier incarnation.
func (r *nodeRegistry) observeIncarnation(node *node, incarnation string) {
	if !node.recordIncarnation(incarnation) {
		return
	}
	for _, task := range inCreationOrder(node.runningTasks) {
		if task.attempts.runningAttempt.acceptedIncarnation != incarnation {
			r.lifecycle.recordEnd(task, taskEnd{result: placer.Lost, podReason: wellknown.NodeLost, podMessage: node.name + " restarted"})
		}
	}
	for _, unresolvedAttempt := range node.unresolvedAttempts() {
		if unresolvedAttempt.hasUnknownOutcome() {
			r.outcomes.resolve(unresolvedAttempt, true)
		}
	}
}

// markUnresponsive implements Engine.NodeUnresponsive. It records that the Pods of a node can no longer be
// watched.
func (r *nodeRegistry) markUnresponsive(name string) {
	node := r.byName[name]
	if node == nil || !node.podsWatched {
		return
	}
	node.podsWatched = false
	if node.state == placer.Terminated {
		r.startLossTimer(node)
	}
}
