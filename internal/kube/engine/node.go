package engine

import (
	"cmp"
	"slices"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// node is the scheduler's record of one node. It combines the node's entry in the inventory, the node's own
// reports, the tasks that run on the node, and the changes of its Node object that API clients requested.
type node struct {
	name    string
	id      placer.NodeID
	address string // host:port of the node's API; empty if it is unknown or the node is no longer watched
	state   placer.NodeState

	inventory         *corev1.Node   // Node that the inventory listed last; nil once the inventory has removed it
	reportedToPlacer  bool           // the placer has been told the node's state at least once
	lossTimerStart    placer.Seconds // when the node became Terminated or, in that state, stopped responding
	listedIncarnation string         // incarnation according to the inventory
	listedStartedAt   placer.Seconds // start of listedIncarnation by the scheduler's clock; 0 means long ago

	podsWatched      bool     // the node's Pods have been listed and are being watched
	incarnation      string   // present incarnation according to the node itself
	pastIncarnations []string // earlier incarnations; late messages from them do not change incarnation

	running         map[types.UID]*task
	unknownOutcomes map[*attempt]struct{} // attempts that the node may have accepted

	drainRequested       bool              // an API update has made the node unschedulable
	labelOverride        map[string]string // labels set by an API update; nil if there was none
	publishPending       bool              // an API update has not been published yet
	publishedAt          placer.Seconds    // time of the last change of the stored Node
	publishedFingerprint uint64            // fingerprint of the inventory's Node that was published last
}

// overrideLabels replaces the labels that the API shows for the node. The labels that only the inventory
// may set stay as they are.
func (n *node) overrideLabels(labels map[string]string) {
	n.labelOverride = cloneOrEmpty(labels)
	n.publishPending = true
}

// setDrainRequested records whether API clients want the node to be drained.
func (n *node) setDrainRequested(requested bool) {
	n.drainRequested = requested
	n.publishPending = true
}

// beginPublish records the fingerprint of the inventory's Node that is about to be published, together with
// all pending API updates.
func (n *node) beginPublish(fingerprint uint64) {
	n.publishedFingerprint = fingerprint
	n.publishPending = false
}

// addTask records that a task runs on the node.
func (n *node) addTask(added *task) { n.running[added.uid] = added }

// removeTask records that a task no longer runs on the node.
func (n *node) removeTask(ended *task) { delete(n.running, ended.uid) }

// addUnknownOutcome records that the node may have accepted an attempt.
func (n *node) addUnknownOutcome(unresolved *attempt) {
	if n.unknownOutcomes == nil {
		n.unknownOutcomes = map[*attempt]struct{}{}
	}
	n.unknownOutcomes[unresolved] = struct{}{}
}

// removeUnknownOutcome records that the outcome of an attempt at the node has become known.
func (n *node) removeUnknownOutcome(resolved *attempt) { delete(n.unknownOutcomes, resolved) }

// unresolvedAttempts returns the attempts at the node whose outcome is unknown, ordered by the creation of
// their tasks and then by attempt number.
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

// maxPastIncarnations is the number of past incarnations that are remembered for each node.
const maxPastIncarnations = 16

// recordIncarnation records the incarnation that the node states in a message. It returns true if this
// incarnation replaces one that was known before. An empty, unchanged or past incarnation changes nothing.
func (n *node) recordIncarnation(incarnation string) bool {
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

// freeCapacity returns the cores and the memory in GiB that no Pod on a node requests. Both are 0 if the
// Node has no valid annotation of its free capacity.
func freeCapacity(object *corev1.Node) (cores, memory float64) {
	free, err := wellknown.ParseDict(object.Annotations[wellknown.FreeCapacity])
	if err != nil {
		return 0, 0
	}
	return free[wellknown.DictCores], free[wellknown.DictMemory]
}
