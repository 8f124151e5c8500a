package engine

import (
	"cmp"
	"slices"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// node is the record that the scheduler keeps of one node. It combines four kinds of data: the entry of
// the node in the inventory, the reports of the node itself, the tasks that run on the node, and the
// changes of its Node object that API clients have requested.
type node struct {
	name    string
	id      placer.NodeID
	address string // host:port of the node's API; empty if it is unknown or the node's Pods are no longer watched
	state   placer.NodeState

	inventoryNode     *corev1.Node   // Node object as listed last by the inventory; nil if the node has left the inventory
	reportedToPlacer  bool           // set once the engine has told the placer the state of the node
	lossTimerStart    placer.Seconds // time at which the node loss timeout last started
	listedIncarnation string         // incarnation of the node that the inventory stated last
	listedStartedAt   placer.Seconds // start of listedIncarnation by the scheduler's clock; 0 means that it started long ago

	podsWatched      bool     // set while the node's Pods have been listed and are watched
	incarnation      string   // present incarnation of the node, as stated by the node itself
	pastIncarnations []string // earlier incarnations; a late message from one of them is no sign of a restart

	runningTasks    map[types.UID]*task   // tasks that the node has accepted and that have not ended
	unknownOutcomes map[*attempt]struct{} // attempts at the node that have an unknown outcome

	drainRequested       bool              // set while API clients want the node to be drained
	labelOverride        map[string]string // labels that an API client set last; nil if no API client has set labels
	apiUpdatePending     bool              // set while the stored Node lacks a change that an API client has requested
	publishedAt          placer.Seconds    // time of the last change of the stored Node
	publishedFingerprint uint64            // hash of the inventory's Node that was published last; see nodeFingerprint
}

// overrideLabels sets the labels that the API shows for the node. The labels in inventoryLabels are
// excepted: only the inventory may set them.
func (n *node) overrideLabels(labels map[string]string) {
	n.labelOverride = cloneOrEmpty(labels)
	n.apiUpdatePending = true
}

// setDrainRequested records whether API clients want the node to be drained.
func (n *node) setDrainRequested(requested bool) {
	n.drainRequested = requested
	n.apiUpdatePending = true
}

// beginPublish records that the engine is about to publish the Node object with all changes that API
// clients have requested. The given fingerprint is the hash of the inventory's Node.
func (n *node) beginPublish(fingerprint uint64) {
	n.publishedFingerprint = fingerprint
	n.apiUpdatePending = false
}

// addTask records that a task runs on the node.
func (n *node) addTask(addedTask *task) { n.runningTasks[addedTask.uid] = addedTask }

// removeTask records that a task no longer runs on the node.
func (n *node) removeTask(endedTask *task) { delete(n.runningTasks, endedTask.uid) }

// addUnknownOutcome records that the node may have accepted an attempt.
func (n *node) addUnknownOutcome(unresolvedAttempt *attempt) {
	if n.unknownOutcomes == nil {
		n.unknownOutcomes = map[*attempt]struct{}{}
	}
	n.unknownOutcomes[unresolvedAttempt] = struct{}{}
}

// removeUnknownOutcome records that the outcome of an attempt at the node has become known.
func (n *node) removeUnknownOutcome(resolvedAttempt *attempt) {
	delete(n.unknownOutcomes, resolvedAttempt)
}

// unresolvedAttempts returns the attempts at the node that have an unknown outcome. The attempts are
// ordered by the creation of their tasks. The attempts of one task are ordered by attempt number.
func (n *node) unresolvedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(n.unknownOutcomes))
	for attempt := range n.unknownOutcomes {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(left, right *attempt) int {
		return cmp.Or(cmp.Compare(left.task.sequence, right.task.sequence), cmp.Compare(left.number, right.number))
	})
	return attempts
}

// maxPastIncarnations is the number of past incarnations that are remembered for each node.
const maxPastIncarnations = 16

// recordIncarnation records the incarnation that the node states in a message. It returns true if another
// incarnation of the node was known before and has now been replaced. An empty, unchanged or past
// incarnation changes nothing.
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

// freeCapacity returns the free cores and the free memory in GiB of a node. Cores and memory are free if
// no Pod requests them. Both results are 0 if the Node object has no valid annotation for the free
// capacity.
func freeCapacity(object *corev1.Node) (cores, memory float64) {
	freeValues, err := wellknown.ParseDict(object.Annotations[wellknown.FreeCapacity])
	if err != nil {
		return 0, 0
	}
	return freeValues[wellknown.DictCores], freeValues[wellknown.DictMemory]
}
