package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// adopter takes over tasks that an earlier process of this scheduler placed and that nodes report as
// running. It rebuilds the Jobs of these tasks. It has no state of its own: adopted tasks, requests and
// Jobs are added to the tables of the engine.
type adopter struct {
	*environment
	tasks         *taskTable
	lifecycle     *taskLifecycle
	requests      *requestTable
	podController *podController
	jobs          *jobTable
	jobController *jobController
	jobStarter    *jobStarter
	jobStatus     *jobStatusWriter
	publisher     *publisher
}

// adoptTask reports a task that already runs on a node to the placer as adopted. It creates a placement
// request for the task that is closed from the start.
func (a *adopter) adoptTask(task *task, node *node, number int, incarnation string, revision int64) {
	request := &placementRequest{task: task, closed: true}
	a.requests.add(request)
	adopted := &attempt{
		request:             request,
		task:                task,
		node:                node,
		number:              number,
		sentAt:              a.now,
		acceptedIncarnation: incarnation,
		revision:            revision,
	}
	request.addAttempt(adopted)
	a.post(placer.Event{Kind: placer.Adopted, Node: node.id, Task: a.requests.placerTask(request, task.deadline)})
	a.lifecycle.bind(task, adopted)
}

// adoptPod adopts a Pod that an earlier process placed, and rebuilds its Job from the manifest that the
// node stores with the Pod. If the Pod cannot be adopted, it is stopped.
func (a *adopter) adoptPod(node *node, found *corev1.Pod) {
	class, invalid := a.cfg.classFromLabels(found.Labels)
	if invalid != nil || a.publisher.storedPod(found.Namespace, found.Name) != nil {
		a.emitStopTask(node, identityOf(found), maxAttemptNumber)
		return
	}
	a.stats.Recovered++
	adopted := a.newAdoptedTask(found, class)
	a.tasks.add(adopted)
	a.adoptJob(adopted, found)
	a.publisher.putPod(a.adoptedPod(node, found))
	if adopted.job != nil {
		adopted.job.addPod(adopted.name)
	}
	a.adoptTask(adopted, node, attemptNumber(found), node.incarnation, podRevision(found))
	if found.Status.Phase == corev1.PodRunning {
		a.lifecycle.recordStart(adopted)
	}
	if adopted.job != nil && adopted.job.isDeleted() {
		a.podController.deletePodOfTask(adopted, stopDeleted)
	}
}

// maxAttemptNumber is greater than the number of any attempt. A stop order with this number makes a node
// reject every attempt to start the Pod.
const maxAttemptNumber = 1 << 30

// attemptNumber returns the number of the attempt by which a node accepted a Pod. It returns 1 if the Pod
// does not state a number of at least 1.
func attemptNumber(pod *corev1.Pod) int {
	number, _ := strconv.Atoi(pod.Annotations[wellknown.AttemptAnnotation])
	return max(number, 1)
}

// newAdoptedTask returns a task for a Pod that was found running. The task counts as settled, since the
// process that placed it reported its final outcome.
func (a *adopter) newAdoptedTask(found *corev1.Pod, class int) *task {
	// If the namespace no longer belongs to a tenant, the task counts towards the first tenant.
	tenant, _ := a.cfg.tenantOf(found.Namespace)
	service := found.Labels[wellknown.Service]
	if service == "" {
		service = found.Labels[wellknown.JobName]
	}
	return &task{
		podIdentity:       identityOf(found),
		placementSpec:     newPlacementSpec(class, tenant, serviceID(found.Namespace, service), &found.Spec),
		deadline:          a.now,
		settled:           true,
		requestsSubmitted: 1,
		attempts:          attemptHistory{evidence: possiblyAccepted},
	}
}

// adoptedPod returns the Pod of an adopted task in the form in which it is stored.
func (a *adopter) adoptedPod(node *node, found *corev1.Pod) *corev1.Pod {
	now := a.apiNow()
	pod := found.DeepCopy()
	pod.Labels[wellknown.Scheduler] = a.cfg.Name
	delete(pod.Annotations, wellknown.JobManifest)
	delete(pod.Annotations, wellknown.Usage)
	pod.Spec.NodeName = node.name
	pod.Status = corev1.PodStatus{Phase: corev1.PodPending}
	setPodCondition(pod, corev1.PodCondition{
		Type:               wellknown.Settled,
		Status:             corev1.ConditionTrue,
		Reason:             wellknown.Placed,
		Message:            fmt.Sprintf("found running on %s after the scheduler's restart", node.name),
		LastTransitionTime: now,
	})
	setPodCondition(pod, corev1.PodCondition{Type: corev1.PodScheduled, Status: corev1.ConditionTrue, LastTransitionTime: now})
	return pod
}

// adoptJob attaches an adopted task to its Job and rebuilds the Job if it is not stored. A task whose Pod
// has no usable manifest remains without a Job.
func (a *adopter) adoptJob(adopted *task, found *corev1.Pod) {
	var object batchv1.Job
	err := json.Unmarshal([]byte(found.Annotations[wellknown.JobManifest]), &object)
	if err != nil || object.Name == "" || object.Namespace != found.Namespace {
		return
	}
	job := a.jobs.get(jobKey(&object))
	if job == nil {
		if job = a.rebuildJob(&object); job == nil {
			return
		}
	}
	index, err := strconv.Atoi(found.Labels[wellknown.CompletionIndex])
	if err != nil || index < 0 || index >= job.indexes.len() || job.uid != object.UID || job.indexes.at(index).task != nil {
		return
	}
	a.adoptIndex(job, index, adopted)
}

// rebuildJob stores a Job again from the manifest that a node keeps with one of its Pods. Tasks of the Job
// are not started until the other nodes have had time to report their Pods. It returns nil if the Job is no
// longer valid.
func (a *adopter) rebuildJob(object *batchv1.Job) *job {
	object.Generation = 1
	rebuilt, err := a.jobController.newJob(object)
	if err != nil {
		return nil
	}
	rebuilt.indexes.preventStarts()
	a.jobs.add(rebuilt)
	a.publisher.putJob(object)
	a.runAfter(a.cfg.NodeLossTimeout, func() { a.finishJobAdoption(rebuilt) })
	return rebuilt
}

// adoptIndex assigns an adopted task to a completion index of a Job that has no task yet.
func (a *adopter) adoptIndex(job *job, index int, adopted *task) {
	job.indexes.adopt(index, adopted)
	adopted.joinJob(job, index, job.indexes.at(index).retryBudget)
	a.jobStatus.markDirty(job)
}

// finishJobAdoption decides on the indexes of a rebuilt Job for which no node has reported a task. The task
// of such an index may have ended or may never have started. The index is started again if the Job's tasks
// are idempotent, and fails otherwise.
func (a *adopter) finishJobAdoption(job *job) {
	if job.isDeleted() || !a.jobs.contains(job) {
		return
	}
	idempotent := a.cfg.Placer.Classes[job.class].Idempotency == placer.Idempotent
	for i := range job.indexes.len() {
		switch {
		case job.indexes.at(i).state != indexPending:
		case idempotent:
			job.indexes.restart(i)
		default:
			job.indexes.failUnreported(i)
		}
	}
	a.jobStarter.enqueue(job)
	a.jobStatus.markDirty(job)
	a.jobController.finishIfDone(job)
}
