package engine

import (
	"cmp"
	"slices"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// node is this scheduler's record of a node: what the inventory states, what the node itself reports, the tasks that run there, and the API's
// updates of its Node.
type node struct {
	name    string
	id      placer.NodeID
	address string // host:port; "" if unknown or no longer watched
	state   placer.NodeState

	inventory         *corev1.Node   // as last listed; nil once the node is removed
	reportedToPlacer  bool           // state was reported to the placer
	absentSince       placer.Seconds // when its state became Terminated or, in that state, its Pods were no longer watched
	listedIncarnation string         // according to the inventory
	listedStartedAt   placer.Seconds // its start by this scheduler's clock; 0 is long ago

	podsWatched      bool     // the node's Pods were listed and are watched
	incarnation      string   // according to the node itself
	pastIncarnations []string // late messages from them are ignored

	running         map[types.UID]*task
	unknownOutcomes map[*attempt]struct{} // attempts that the node may have accepted

	drainOrdered         bool              // unschedulable by an API update
	labelOverride        map[string]string // labels set by an API update; nil while those of the inventory are shown
	publishPending       bool              // an API update is not published yet
	publishedAt          placer.Seconds    // last change of the stored Node
	publishedFingerprint uint64            // of the inventory's Node that was published
}

// overrideLabels makes the API show the labels of an update, except for those that only the inventory sets.
func (n *node) overrideLabels(labels map[string]string) {
	n.labelOverride = cloneOrMake(labels)
	n.publishPending = true
}

// orderDrain records that an API update drains the node, or ends its drain.
func (n *node) orderDrain(drain bool) {
	n.drainOrdered = drain
	n.publishPending = true
}

// startPublish records the inventory's fingerprint of a node that is about to be published with all API updates.
func (n *node) startPublish(fingerprint uint64) {
	n.publishedFingerprint = fingerprint
	n.publishPending = false
}

// addTask records that a task runs at the node.
func (n *node) addTask(added *task) { n.running[added.uid] = added }

// removeTask records that a task has ended at the node.
func (n *node) removeTask(ended *task) { delete(n.running, ended.uid) }

// addUnknownOutcome records that the node may have accepted an attempt.
func (n *node) addUnknownOutcome(unresolved *attempt) {
	if n.unknownOutcomes == nil {
		n.unknownOutcomes = map[*attempt]struct{}{}
	}
	n.unknownOutcomes[unresolved] = struct{}{}
}

// removeUnknownOutcome records that the outcome of an attempt at the node is known.
func (n *node) removeUnknownOutcome(resolved *attempt) { delete(n.unknownOutcomes, resolved) }

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

// maxPastIncarnations bounds the past incarnations of a node that are remembered.
const maxPastIncarnations = 16

// startsIncarnation records the incarnation that a node states, and reports whether it ends a known one.
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

// freeCapacity returns the unrequested cores and memory (GiB) of a node, 0 where the inventory does not state them.
func freeCapacity(object *corev1.Node) (cores, memory float64) {
	free, err := wellknown.ParseDict(object.Annotations[wellknown.FreeCapacity])
	if err != nil {
		return 0, 0
	}
	return free[wellknown.DictCores], free[wellknown.DictMemory]
}
