package engine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// Listing states which nodes a call of NodesListed contains.
type Listing uint8

const (
	// FullList means that the call contains all nodes of the inventory.
	FullList Listing = iota
	// Changes means that the call contains only nodes that were added, changed or removed.
	Changes
	// ListUnavailable means that the inventory cannot be reached and the call contains no nodes. The last
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
	zones           map[string]int // index in the placer by name of the zone
	racks           map[string]int // index in the placer by name of the rack
	inventoryListed bool           // the inventory has been listed at least once
}

// getByName returns the node with the given name, or nil if the node is unknown.
func (r *nodeRegistry) getByName(name string) *node { return r.byName[name] }

// getByID returns the node with the given placer ID, or nil if the node is unknown.
func (r *nodeRegistry) getByID(id placer.NodeID) *node { return r.byID[id] }

// applyListing handles a list of nodes, or of changes to nodes, for Engine.NodesListed.
func (r *nodeRegistry) applyListing(kind Listing, nodes []*corev1.Node, removed []string) {
	if kind == ListUnavailable {
		// The caller resumes its watch on its own. Only a list that the placer has requested needs an
		// answer.
		if r.cfg.Placer.Discovery.MustPoll {
			r.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
		return
	}
	changed := r.applyNodes(nodes)
	list := placer.Changes
	if kind == FullList {
		list = placer.FullList
		removed = append(removed, r.missingFromList(nodes)...)
		slices.Sort(removed)
	}
	changed = append(changed, r.removeFromInventory(removed)...)
	reported := make([]placer.Node, 0, len(changed))
	for _, node := range changed {
		reported = append(reported, r.refreshPlacerNode(node))
		r.publisher.publishNode(node)
	}
	r.inventoryListed = true
	r.post(placer.Event{Kind: placer.NodesListed, List: list, Nodes: reported})
}

// applyNodes updates the records of the given nodes and returns the records. It skips a node whose placer
// ID already belongs to another node.
func (r *nodeRegistry) applyNodes(listed []*corev1.Node) []*node {
	var updated []*node
	for _, object := range listed {
		node := r.getOrAdd(object.Name)
		if node == nil {
			continue
		}
		r.setAddress(node, wellknown.NodeAddress(object))
		// The list may be out of date and state an earlier incarnation, so it does not set
		// node.incarnation. Only the node itself knows its present incarnation.
		node.inventory = object
		updated = append(updated, node)
	}
	return updated
}

// getOrAdd returns the node with the given name and adds it if it is unknown. It returns nil if the placer
// ID of a new node already belongs to another node.
func (r *nodeRegistry) getOrAdd(name string) *node {
	if known := r.byName[name]; known != nil {
		return known
	}
	added := &node{name: name, id: placer.NodeID(xxhash.Sum64String(name)), running: map[types.UID]*task{}}
	if r.byID[added.id] != nil {
		return nil
	}
	r.byName[name] = added
	r.byID[added.id] = added
	return added
}

// setAddress records the address of a node. If the address has changed, the Pods of the node are watched at
// the new address instead of the old one.
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

// missingFromList returns the names of the nodes that are in the inventory according to their records but
// not in a full list. The names are in random order.
func (r *nodeRegistry) missingFromList(listed []*corev1.Node) []string {
	names := make(map[string]bool, len(listed))
	for _, object := range listed {
		names[object.Name] = true
	}
	var missing []string
	for name, node := range r.byName {
		if !names[name] && node.inventory != nil {
			missing = append(missing, name)
		}
	}
	return missing
}

// removeFromInventory records that nodes have left the inventory. It returns the records of the nodes that
// were in the inventory until now.
func (r *nodeRegistry) removeFromInventory(names []string) []*node {
	var removed []*node
	for _, name := range names {
		if node := r.byName[name]; node != nil && node.inventory != nil {
			node.inventory = nil
			removed = append(removed, node)
		}
	}
	return removed
}

// refreshPlacerNode updates the state of a node from its inventory entry and the drain request, and returns
// the node's description for the placer. If the node has become Terminated, the node loss timeout starts.
func (r *nodeRegistry) refreshPlacerNode(node *node) placer.Node {
	previousState := node.state
	node.state = placer.Terminated
	reported := placer.Node{ID: node.id, NodeType: -1}
	if object := node.inventory; object != nil {
		reported.Zone = intern(r.zones, object.Labels[wellknown.Zone])
		reported.Rack = intern(r.racks, object.Labels[wellknown.Rack])
		reported.NodeType = slices.Index(r.cfg.NodeTypes, object.Labels[wellknown.NodeType])
		reported.StartedAt = r.incarnationStart(node)
		reported.FreeCores, reported.FreeMemory = freeCapacity(object)
		switch {
		case node.drainRequested || object.Spec.Unschedulable:
			node.state = placer.Draining
		case wellknown.NodeReady(object) && node.address != "":
			node.state = placer.Ready
		}
	}
	reported.State = node.state
	if node.state == placer.Terminated && (previousState != placer.Terminated || !node.reportedToPlacer) {
		r.startLossTimer(node)
	}
	node.reportedToPlacer = true
	return reported
}

// incarnationStart returns when the incarnation that the inventory states for a node began, by this
// scheduler's clock. 0 means long ago. An incarnation that appears after the first list counts as begun
// when the inventory first listed it. The timestamp from the node is not used in this case, because clocks
// differ between nodes: if the node's clock is behind, a node that has just started would not count as
// warming up. The time of the list is later than the true start by at most the delay of the list, which
// only makes the node warm up for longer.
func (r *nodeRegistry) incarnationStart(node *node) placer.Seconds {
	incarnation := node.inventory.Status.NodeInfo.BootID
	if node.reportedToPlacer && incarnation != "" && incarnation == node.listedIncarnation {
		return node.listedStartedAt
	}
	stated := wellknown.ParseTimestamp(node.inventory.Annotations[wellknown.StartedAt])
	switch {
	case stated == 0:
		node.listedStartedAt = 0
	case r.inventoryListed:
		node.listedStartedAt = r.now
	default:
		// The node started before this scheduler did, so its own timestamp is the only information.
		node.listedStartedAt = min(stated, r.now)
	}
	node.listedIncarnation = incarnation
	return node.listedStartedAt
}

// startLossTimer records the present time as the start of the node loss timeout, and schedules
// checkNodeLoss for the end of the timeout.
func (r *nodeRegistry) startLossTimer(node *node) {
	node.lossTimerStart = r.now
	r.runAfter(r.cfg.NodeLossTimeout, func() { r.checkNodeLoss(node) })
}

// checkNodeLoss ends the tasks of a node that has been absent from the inventory and unresponsive for the
// whole node loss timeout. A non-idempotent task is not ended: the node may only be unreachable, and only
// the node itself or a new incarnation of it can confirm that the task has ended.
func (r *nodeRegistry) checkNodeLoss(node *node) {
	waited := r.now - node.lossTimerStart
	if node.state != placer.Terminated || node.podsWatched || waited < r.cfg.NodeLossTimeout {
		return
	}
	for _, task := range inCreationOrder(node.running) {
		if r.idempotencyOf(task) != placer.NonIdempotent {
			r.lifecycle.recordEnd(task, taskEnd{result: placer.Lost, podReason: wellknown.NodeLost, podMessage: node.name + " is gone"})
		}
	}
	r.drainEvents()
	r.unwatchRemoved(node)
}

// unwatchRemoved stops watching a node that has left the inventory and runs no tasks.
func (r *nodeRegistry) unwatchRemoved(node *node) {
	if node.inventory != nil || len(node.running) > 0 || node.address == "" {
		return
	}
	r.emit(Effect{Kind: UnwatchNode, Node: node.name})
	node.address = ""
	node.podsWatched = false
}

// countNodes returns the values of Engine.NodeCounts: the nodes that are ready or draining, and how many of
// these have their Pods watched.
func (r *nodeRegistry) countNodes() (listed, watched int) {
	for _, node := range r.byName {
		if node.state == placer.Terminated {
			continue
		}
		listed++
		if node.podsWatched {
			watched++
		}
	}
	return listed, watched
}

// recordPodList records that a node has listed its Pods and that its Pods are now watched.
func (r *nodeRegistry) recordPodList(node *node, incarnation string) {
	node.podsWatched = true
	r.observeIncarnation(node, incarnation)
}

// observeIncarnation handles the incarnation that a node states. If the incarnation is new, every task that
// an earlier incarnation accepted is lost, since no task survives a restart of its node. An attempt whose
// outcome is unknown may have run in the earlier incarnation.
func (r *nodeRegistry) observeIncarnation(node *node, incarnation string) {
	if !node.recordIncarnation(incarnation) {
		return
	}
	for _, task := range inCreationOrder(node.running) {
		if task.attempts.running.acceptedIncarnation != incarnation {
			r.lifecycle.recordEnd(task, taskEnd{result: placer.Lost, podReason: wellknown.NodeLost, podMessage: node.name + " restarted"})
		}
	}
	for _, unresolved := range node.unresolvedAttempts() {
		if unresolved.outcomeUnknown() {
			r.outcomes.resolve(unresolved, true)
		}
	}
}

// markUnresponsive records for Engine.NodeUnresponsive that the Pods of a node can no longer be watched.
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
