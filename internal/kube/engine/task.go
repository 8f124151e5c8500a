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

// podIdentity identifies the Pod of a task. The namespace and the name are empty if only the UID is known.
type podIdentity struct {
	uid             types.UID
	namespace, name string
}

// placementSpec has the properties that the placement of a task depends on. They are the same for all tasks of a Job.
type placementSpec struct {
	class, tenant int
	service       placer.ServiceID
	cores, memory float64 // memory in GiB
}

// task is the state of one Pod. Its placement is requested until it is placed, rejected or failed; a placed task is tracked until it ends.
type task struct {
	sequence int // in order of creation
	podIdentity
	placementSpec
	job      *job           // nil if the Job is unknown or was deleted without its Pods
	index    int            // completion index within the Job
	deadline placer.Seconds // time at which the client stops waiting for the outcome

	state   taskState
	settled bool // the final outcome is stored in the Pod's status

	request           *placementRequest // the last one; nil while there is none
	requestsSubmitted int               // requests that were submitted to the placer
	retryBudget       int               // remaining retries
	retryTimer        *timer            // the next retry, or the end of the wait for an unknown outcome
	wasShed           bool              // a request was shed by the admission controller

	attempts attemptHistory

	stopReason stopReason
	deleted    bool // the Pod is removed as soon as the task has ended
}

// joinJob attaches a task that was found running to an index of its Job.
func (t *task) joinJob(job *job, index, retryBudget int) {
	t.job = job
	t.index = index
	t.retryBudget = retryBudget
}

// leaveJob detaches a task from its Job, which is deleted without it.
func (t *task) leaveJob() { t.job = nil }

// inCreationOrder returns the tasks of a map in the order of their creation, whatever the order of the map.
func inCreationOrder(tasks map[types.UID]*task) []*task {
	return slices.SortedFunc(maps.Values(tasks), func(left, right *task) int { return cmp.Compare(left.sequence, right.sequence) })
}

// unplacedOutcome returns the outcome of a task that is not requested again: Rejected only if it certainly never ran.
func (t *task) unplacedOutcome() taskOutcome {
	if t.attempts.evidence == possiblyRan || t.attempts.hasUnknown() {
		return outcomeFailed
	}
	return outcomeRejected
}

// unplacedMessage appends to a summary why the last attempt failed, by AttemptAnswer.failure, attemptTracker.timedOut or requestTable.shed, and
// which node may have accepted one.
func (t *task) unplacedMessage(summary string) string {
	if t.attempts.lastFailure != "" {
		summary += "; last: " + t.attempts.lastFailure
	}
	if t.attempts.hasUnknown() {
		summary += "; an attempt may have been accepted by " + t.attempts.unknown[0].node.name
	}
	return summary
}

// newPlacementSpec returns the placementSpec of a task with the resources of a Pod's containers.
func newPlacementSpec(class, tenant int, service placer.ServiceID, containers *corev1.PodSpec) placementSpec {
	cores, memory := wellknown.ResourceRequests(containers)
	return placementSpec{class: class, tenant: tenant, service: service, cores: cores, memory: memory}
}

// identityOf returns the identity of a Pod.
func identityOf(pod *corev1.Pod) podIdentity {
	return podIdentity{uid: pod.UID, namespace: pod.Namespace, name: pod.Name}
}
