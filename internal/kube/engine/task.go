package engine

import (
	"cmp"
	"maps"
	"slices"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// podIdentity identifies the Pod of a task. namespace and name are empty if the engine knows only the UID
// of the Pod.
type podIdentity struct {
	uid             types.UID
	namespace, name string
}

// placementSpec contains the properties of a task that determine its placement. All tasks of a Job have the
// same placementSpec.
type placementSpec struct {
	class, tenant int
	service       placer.ServiceID
	cores, memory float64 // requested by the Pod; memory is in GiB
}

// task is the record that the engine keeps of one Pod. The engine requests placement for the task until
// the task is placed or gets the final outcome Rejected or Failed. A placed task stays in the engine until
// it ends.
type task struct {
	sequence int // position of the task in the order of creation
	podIdentity
	placementSpec
	job      *job           // nil if the Job is unknown or was deleted without its Pods
	index    int            // completion index within the Job
	deadline placer.Seconds // time after which the client no longer waits for the final outcome

	state   taskState
	settled bool // set once the final outcome is stored in the Pod's status

	request           *placementRequest // latest placement request; nil if there is none
	requestsSubmitted int               // number of placement requests of the task that were submitted to the placer
	retryBudget       int               // number of retries that the task may still use
	retryTimer        *timer            // fires when a retry is due or when the wait for an unknown outcome ends
	wasShed           bool              // set if the admission controller has shed a placement request of the task

	attempts attemptHistory

	stopReason stopReason
	podDeleted bool // set if the Pod must be removed as soon as the task has ended
}

// joinJob attaches an adopted task to a completion index of its Job.
func (t *task) joinJob(job *job, index, retryBudget int) {
	t.job = job
	t.index = index
	t.retryBudget = retryBudget
}

// leaveJob detaches a task from its Job when the Job is deleted without its Pods.
func (t *task) leaveJob() { t.job = nil }

// inCreationOrder returns the tasks of a map in the order of their creation. The order in which a map is
// iterated is random and must not influence the engine.
func inCreationOrder(tasks map[types.UID]*task) []*task {
	return slices.SortedFunc(maps.Values(tasks), func(left, right *task) int { return cmp.Compare(left.sequence, right.sequence) })
}

// unplacedOutcome returns the final outcome of a task that was not placed and that gets no further
// placement request. The outcome is Rejected only if the task certainly never ran.
func (t *task) unplacedOutcome() taskOutcome {
	if t.attempts.evidence == possiblyRan || t.attempts.hasUnknownOutcome() {
		return outcomeFailed
	}
	return outcomeRejected
}

// unplacedMessage returns the message about a task that was not placed. It appends two details to the
// given summary: the message of the latest attempt or placement request that failed, and the name of a
// node that may have accepted an attempt.
func (t *task) unplacedMessage(summary string) string {
	if t.attempts.lastFailure != "" {
		summary += "; last: " + t.attempts.lastFailure
	}
	if t.attempts.hasUnknownOutcome() {
		summary += "; an attempt may have been accepted by " + t.attempts.unknownOutcomes[0].node.name
	}
	return summary
}

// newPlacementSpec returns the placementSpec of a task. The task requests the resources that the containers
// of its Pod request.
func newPlacementSpec(class, tenant int, service placer.ServiceID, podSpec *corev1.PodSpec) placementSpec {
	cores, memory := wellknown.ResourceRequests(podSpec)
	return placementSpec{class: class, tenant: tenant, service: service, cores: cores, memory: memory}
}

// identityOf returns the identity of a Pod.
func identityOf(pod *corev1.Pod) podIdentity {
	return podIdentity{uid: pod.UID, namespace: pod.Namespace, name: pod.Name}
}
