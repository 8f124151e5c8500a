package engine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// Listing selects what a call of NodesListed contains.
type Listing uint8

const (
	// FullList contains all nodes of the inventory.
	FullList Listing = iota
	// Changes contains nodes that were added, changed or removed.
	Changes
	// ListUnavailable contains nothing: the inventory cannot be reached, and the last list remains in force.
	ListUnavailable
)

// nodeRegistry owns the nodes that the inventory lists, or that run tasks.
type nodeRegistry struct {
	*environment
	lifecycle *taskLifecycle
	outcomes  *outcomeReconciler
	publisher *publisher

	byName          map[string]*node
	byID            map[placer.NodeID]*node
	zones           map[string]int // the placer's numbers of zones
	racks           map[string]int // the placer's numbers of racks
	inventoryListed bool           // the inventory was listed at least once
}

// get returns the node with a name, nil if it is unknown.
func (r *nodeRegistry) get(name string) *node { return r.byName[name] }

// getByID returns the node with an ID at the placer, nil if it is unknown.
func (r *nodeRegistry) getByID(id placer.NodeID) *node { return r.byID[id] }

// applyListing implements Engine.NodesListed.
func (r *nodeRegistry) applyListing(kind Listing, nodes []*corev1.Node, removed []string) {
	if kind == ListUnavailable {
		// The caller resumes its watch by itself: only a list that the placer requested needs an answer.
		if r.cfg.Placer.Discovery.MustPoll {
			r.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
		return
	}
	changed := r.update(nodes)
	list := placer.Changes
	if kind == FullList {
		list = placer.FullList
		removed = append(removed, r.unlisted(nodes)...)
		slices.Sort(removed)
	}
	changed = append(changed, r.remove(removed)...)
	reported := make([]placer.Node, 0, len(changed))
	for _, node := range changed {
		reported = append(reported, r.placerNode(node))
		r.publisher.publishNode(node)
	}
	r.inventoryListed = true
	r.post(placer.Event{Kind: placer.NodesListed, List: list, Nodes: reported})
}

// update applies listed nodes and returns them, except for those whose ID at the placer is that of another node.
func (r *nodeRegistry) update(listed []*corev1.Node) []*node {
	var updated []*node
	for _, object := range listed {
		node := r.getOrAdd(object.Name)
		if node == nil {
			continue
		}
		r.setAddress(node, wellknown.NodeAddress(object))
		// The list may be late and state an earlier incarnation: only the node itself knows the present one.
		node.inventory = object
		updated = append(updated, node)
	}
	return updated
}

// getOrAdd returns the node with a name, which it adds if it is new. It returns nil if another node has the same ID at the placer.
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

// setAddress starts to watch the Pods of a node at its present address.
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

// unlisted returns the names of the nodes in the inventory that are not in a full list, in no order.
func (r *nodeRegistry) unlisted(listed []*corev1.Node) []string {
	names := make(map[string]bool, len(listed))
	for _, object := range listed {
		names[object.Name] = true
	}
	var unlisted []string
	for name, node := range r.byName {
		if !names[name] && node.inventory != nil {
			unlisted = append(unlisted, name)
		}
	}
	return unlisted
}

// remove records that nodes have left the inventory and returns those that were in it.
func (r *nodeRegistry) remove(names []string) []*node {
	var removed []*node
	for _, name := range names {
		if node := r.byName[name]; node != nil && node.inventory != nil {
			node.inventory = nil
			removed = append(removed, node)
		}
	}
	return removed
}

// placerNode determines a node's state and describes the node to the placer.
func (r *nodeRegistry) placerNode(node *node) placer.Node {
	previousState := node.state
	node.state = placer.Terminated
	reported := placer.Node{ID: node.id, NodeType: -1}
	if object := node.inventory; object != nil {
		reported.Zone = intern(r.zones, object.Labels[wellknown.Zone])
		reported.Rack = intern(r.racks, object.Labels[wellknown.Rack])
		reported.NodeType = slices.Index(r.cfg.NodeTypes, object.Labels[wellknown.Kind])
		reported.StartedAt = r.incarnationStart(node)
		reported.FreeCores, reported.FreeMemory = freeCapacity(object)
		switch {
		case node.drainOrdered || object.Spec.Unschedulable:
			node.state = placer.Draining
		case wellknown.NodeReady(object) && node.address != "":
			node.state = placer.Ready
		}
	}
	reported.State = node.state
	if node.state == placer.Terminated && (previousState != placer.Terminated || !node.reportedToPlacer) {
		r.absent(node)
	}
	node.reportedToPlacer = true
	return reported
}

// incarnationStart returns when the incarnation that the inventory states began, by this scheduler's clock; 0 is long ago. The clocks of
// nodes are not comparable with it: with one that is behind, a node that has just started would not count as warming up. An incarnation
// that is new to this scheduler began when it was first listed. That is later than its true start by at most the delay of the list, which
// only makes the node warm up for longer.
func (r *nodeRegistry) incarnationStart(node *node) placer.Seconds {
	incarnation := node.inventory.Status.NodeInfo.BootID
	if node.reportedToPlacer && incarnation != "" && incarnation == node.listedIncarnation {
		return node.listedStartedAt
	}
	stated := wellknown.ParseTimestamp(node.inventory.Annotations[wellknown.Started])
	switch {
	case stated == 0:
		node.listedStartedAt = 0
	case r.inventoryListed:
		node.listedStartedAt = r.now
	default:
		node.listedStartedAt = min(stated, r.now) // from before this scheduler's start: nothing else is known
	}
	node.listedIncarnation = incarnation
	return node.listedStartedAt
}

// absent records that a node is absent from the inventory, and schedules the check whether its tasks are lost.
func (r *nodeRegistry) absent(node *node) {
	node.absentSince = r.now
	r.runAfter(r.cfg.NodeLossTimeout, func() { r.checkLoss(node) })
}

// checkLoss ends the tasks of a node that has been absent and unresponsive for long enough. A task that must not run twice does not
// end: the node may only be unreachable, and only the node itself, or a new incarnation of it, can report that the task has ended.
func (r *nodeRegistry) checkLoss(node *node) {
	absentFor := r.now - node.absentSince
	if node.state != placer.Terminated || node.podsWatched || absentFor < r.cfg.NodeLossTimeout {
		return
	}
	for _, task := range inCreationOrder(node.running) {
		if r.idempotencyOf(task) != placer.NonIdempotent {
			r.lifecycle.ended(task, taskEnd{result: placer.Lost, status: wellknown.NodeLost, message: node.name + " is gone"})
		}
	}
	r.drainEvents()
	r.unwatchRemoved(node)
}

// unwatchRemoved ends the watch of a node that has left the inventory and runs nothing.
func (r *nodeRegistry) unwatchRemoved(node *node) {
	if node.inventory != nil || len(node.running) > 0 || node.address == "" {
		return
	}
	r.emit(Effect{Kind: UnwatchNode, Node: node.name})
	node.address = ""
	node.podsWatched = false
}

// counts implements Engine.NodeCounts.
func (r *nodeRegistry) counts() (listed, watched int) {
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

// podsListed records that a node has listed its Pods and that they are watched.
func (r *nodeRegistry) podsListed(node *node, incarnation string) {
	node.podsWatched = true
	r.observeIncarnation(node, incarnation)
}

// observeIncarnation records the incarnation that a node states. Nothing that ran in an earlier incarnation runs in a new one.
func (r *nodeRegistry) observeIncarnation(node *node, incarnation string) {
	if !node.startsIncarnation(incarnation) {
		return
	}
	for _, task := range inCreationOrder(node.running) {
		if task.attempts.running.acceptedIncarnation != incarnation {
			r.lifecycle.ended(task, taskEnd{result: placer.Lost, status: wellknown.NodeLost, message: node.name + " restarted"})
		}
	}
	for _, unresolved := range node.unresolvedAttempts() {
		if unresolved.outcomeUnknown() {
			r.outcomes.resolve(unresolved, true)
		}
	}
}

// markUnresponsive implements Engine.NodeUnresponsive.
func (r *nodeRegistry) markUnresponsive(name string) {
	node := r.byName[name]
	if node == nil || !node.podsWatched {
		return
	}
	node.podsWatched = false
	if node.state == placer.Terminated {
		r.absent(node)
	}
}
