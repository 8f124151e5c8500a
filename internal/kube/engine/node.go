package engine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// node is a node as this scheduler knows it.
type node struct {
	name    string
	id      placer.NodeID
	address string // host:port; "" if unknown or no longer watched
	state   placer.NodeState

	inventory         *corev1.Node // as last listed; nil once the node is removed
	reportedToPlacer  bool         // state is that of an earlier report to the placer
	absentSince       float64      // when the node became absent from the inventory or, absent, unresponsive
	listedIncarnation string       // as the inventory states
	listedStartedAt   float64      // when that began by this scheduler's clock; 0 is long ago

	podsWatched      bool     // the node's Pods were listed and are watched
	incarnation      string   // as the node itself states
	pastIncarnations []string // a late message of one of them means nothing

	running         map[types.UID]*task
	unknownOutcomes map[*attempt]struct{} // attempts that the node may have accepted

	drainOrdered         bool              // unschedulable by an API update
	customLabels         map[string]string // labels by an API update
	hasCustomLabels      bool
	publishPending       bool    // the API update is not published yet
	publishedAt          float64 // last change of the stored Node
	publishedFingerprint uint64  // of the inventory's Node that was published
}

// Listing selects what a call of NodesListed contains.
type Listing uint8

const (
	// FullList contains all nodes of the inventory.
	FullList Listing = iota
	// Changes contains nodes that were added, changed or removed.
	Changes
	// ListUnavailable contains nothing: the inventory cannot be reached, and what is known stays.
	ListUnavailable
)

// NodesListed takes nodes from the inventory. removed names nodes that Changes takes away; a full list removes all that are not in it.
func (e *Engine) NodesListed(now float64, kind Listing, nodes []*corev1.Node, removed []string) {
	e.beginCall(now)
	defer e.endCall()
	if kind == ListUnavailable {
		// The placer did not request a list that is pushed: the caller watches again by itself.
		if e.cfg.Placer.Discovery.MustPoll {
			e.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
		return
	}
	changed := e.updateNodes(nodes)
	list := placer.Changes
	if kind == FullList {
		list = placer.FullList
		removed = append(removed, e.unlistedNodes(nodes)...)
		slices.Sort(removed)
	}
	changed = append(changed, e.removeNodes(removed)...)
	reported := make([]placer.Node, 0, len(changed))
	for _, node := range changed {
		reported = append(reported, e.placerNode(node))
		e.publishNode(node)
	}
	e.inventoryListed = true
	e.post(placer.Event{Kind: placer.NodesListed, List: list, Nodes: reported})
}

// updateNodes takes listed nodes and returns them, without those whose number at the placer is that of another node.
func (e *Engine) updateNodes(listed []*corev1.Node) []*node {
	var updated []*node
	for _, object := range listed {
		node := e.knownNode(object.Name)
		if node == nil {
			continue
		}
		e.setAddress(node, wellknown.NodeAddress(object))
		// The list may be late and state an earlier incarnation: the present one is only known from the node itself.
		node.inventory = object
		updated = append(updated, node)
	}
	return updated
}

// knownNode returns the node of a name, which it adds if it is new. It returns nil if another node has the same number at the placer.
func (e *Engine) knownNode(name string) *node {
	if known := e.nodes[name]; known != nil {
		return known
	}
	added := &node{name: name, id: placer.NodeID(xxhash.Sum64String(name)), running: map[types.UID]*task{}}
	if e.nodesByID[added.id] != nil {
		return nil
	}
	e.nodes[name] = added
	e.nodesByID[added.id] = added
	return added
}

// setAddress has the Pods of a node watched at its present address.
func (e *Engine) setAddress(node *node, address string) {
	if address == node.address {
		return
	}
	if node.address != "" {
		e.emit(Effect{Kind: UnwatchNode, Node: node.name})
		node.podsWatched = false
	}
	node.address = address
	if address != "" {
		e.emit(Effect{Kind: WatchNode, Node: node.name, Address: address})
	}
}

// unlistedNodes returns the names of the nodes in the inventory that a full list lacks, in no order.
func (e *Engine) unlistedNodes(listed []*corev1.Node) []string {
	names := make(map[string]bool, len(listed))
	for _, object := range listed {
		names[object.Name] = true
	}
	var unlisted []string
	for name, node := range e.nodes {
		if !names[name] && node.inventory != nil {
			unlisted = append(unlisted, name)
		}
	}
	return unlisted
}

// removeNodes takes nodes out of the inventory and returns those that were in it.
func (e *Engine) removeNodes(names []string) []*node {
	var removed []*node
	for _, name := range names {
		if node := e.nodes[name]; node != nil && node.inventory != nil {
			node.inventory = nil
			removed = append(removed, node)
		}
	}
	return removed
}

// placerNode determines a node's state and describes the node to the placer.
func (e *Engine) placerNode(node *node) placer.Node {
	previousState := node.state
	node.state = placer.Terminated
	reported := placer.Node{ID: node.id, NodeType: -1}
	if object := node.inventory; object != nil {
		reported.Zone = intern(e.zones, object.Labels[wellknown.Zone])
		reported.Rack = intern(e.racks, object.Labels[wellknown.Rack])
		reported.NodeType = slices.Index(e.cfg.NodeTypes, object.Labels[wellknown.Kind])
		reported.StartedAt = placer.Seconds(e.incarnationStart(node))
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
		e.nodeAbsent(node)
	}
	node.reportedToPlacer = true
	return reported
}

// freeCapacity returns the cores and the memory in GiB of a node that are not requested, 0 where the inventory does not state them.
func freeCapacity(object *corev1.Node) (cores, memory float64) {
	free, err := wellknown.ParseDict(object.Annotations[wellknown.FreeCapacity])
	if err != nil {
		return 0, 0
	}
	return free[wellknown.DictCores], free[wellknown.DictMemory]
}

// incarnationStart returns when the incarnation that the inventory states began, by this scheduler's clock; 0 is long ago. The clocks of
// nodes are not comparable with it: with one that is behind, a node that has just started would not count as warming up. An incarnation
// that is new to this scheduler began when it was first listed. That is later than its true start by at most the delay of the list, which
// only makes the node warm up for longer.
func (e *Engine) incarnationStart(node *node) float64 {
	incarnation := node.inventory.Status.NodeInfo.BootID
	if node.reportedToPlacer && incarnation != "" && incarnation == node.listedIncarnation {
		return node.listedStartedAt
	}
	stated := wellknown.ParseTimestamp(node.inventory.Annotations[wellknown.Started])
	switch {
	case stated == 0:
		node.listedStartedAt = 0
	case e.inventoryListed:
		node.listedStartedAt = e.now
	default:
		node.listedStartedAt = min(stated, e.now) // from before this scheduler's start: nothing else is known
	}
	node.listedIncarnation = incarnation
	return node.listedStartedAt
}

// nodeAbsent records that a node is absent from the inventory, and checks later whether its tasks are lost.
func (e *Engine) nodeAbsent(node *node) {
	node.absentSince = e.now
	e.runAfter(e.cfg.NodeLossTimeout, func() { e.checkNodeLoss(node) })
}

// checkNodeLoss ends the tasks of a node that has been absent and unresponsive for long enough. A task that must not run twice does not
// end: the node may only be unreachable, and only the node itself, or a new incarnation of it, can tell that the task has ended.
func (e *Engine) checkNodeLoss(node *node) {
	absentFor := e.now - node.absentSince
	if node.state != placer.Terminated || node.podsWatched || absentFor < e.cfg.NodeLossTimeout {
		return
	}
	for _, task := range inCreationOrder(node.running) {
		if e.idempotencyOf(task) != placer.NonIdempotent {
			e.runningTaskEnded(task, taskEnd{result: placer.Lost, status: wellknown.NodeLost, message: node.name + " is gone"})
		}
	}
	e.drainEvents()
	e.unwatchRemoved(node)
}

// unwatchRemoved ends the watch of a node that has left the inventory and runs nothing.
func (e *Engine) unwatchRemoved(node *node) {
	if node.inventory != nil || len(node.running) > 0 || node.address == "" {
		return
	}
	e.emit(Effect{Kind: UnwatchNode, Node: node.name})
	node.address = ""
	node.podsWatched = false
}

// NodeCounts returns how many nodes the inventory lists as ready or draining, and of how many of them the Pods are watched.
func (e *Engine) NodeCounts() (listed, watched int) {
	for _, node := range e.nodes {
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

// observeIncarnation takes the identity of a node's incarnation. Nothing that ran in an earlier incarnation runs in a new one.
func (e *Engine) observeIncarnation(node *node, incarnation string) {
	if !node.startsIncarnation(incarnation) {
		return
	}
	for _, task := range inCreationOrder(node.running) {
		if task.runningAttempt.acceptedIncarnation != incarnation {
			e.runningTaskEnded(task, taskEnd{result: placer.Lost, status: wellknown.NodeLost, message: node.name + " restarted"})
		}
	}
	for _, unresolved := range node.unresolvedAttempts() {
		if unresolved.outcomeUnknown() {
			e.resolveOutcome(unresolved, true)
		}
	}
}

// unresolvedAttempts returns the attempts at a node whose outcome is unknown, in order of their tasks' creation.
func (n *node) unresolvedAttempts() []*attempt {
	unresolved := make([]*attempt, 0, len(n.unknownOutcomes))
	for attempt := range n.unknownOutcomes {
		unresolved = append(unresolved, attempt)
	}
	slices.SortFunc(unresolved, func(left, right *attempt) int {
		return cmp.Or(cmp.Compare(left.task.sequence, right.task.sequence), cmp.Compare(left.number, right.number))
	})
	return unresolved
}

// maxPastIncarnations is how many past incarnations of a node are remembered.
const maxPastIncarnations = 16

// startsIncarnation takes the identity that a node states, and reports whether a known incarnation has ended by it.
func (n *node) startsIncarnation(incarnation string) bool {
	if incarnation == "" || incarnation == n.incarnation || slices.Contains(n.pastIncarnations, incarnation) {
		return false
	}
	previous := n.incarnation
	n.incarnation = incarnation
	n.pastIncarnations = append(n.pastIncarnations, previous)
	if len(n.pastIncarnations) > maxPastIncarnations {
		n.pastIncarnations = n.pastIncarnations[1:]
	}
	return previous != ""
}
