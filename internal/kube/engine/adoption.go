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

// adopter takes over tasks that an earlier scheduler process placed and that nodes report as running, and rebuilds their Jobs. It is stateless:
// what it finds becomes part of the tables of tasks, requests and Jobs.
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

// adoptTask reports a task that was found running to the placer, under a new request that is closed from the start.
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

// adoptPod adopts a Pod that an earlier process placed. Its Job is rebuilt from the manifest that the node stores with the Pod. A Pod that
// cannot be adopted is stopped.
func (a *adopter) adoptPod(node *node, found *corev1.Pod) {
	class, invalid := a.cfg.classFromLabels(found.Labels)
	if invalid != nil || a.publisher.storedPod(found.Namespace, found.Name) != nil {
		a.emitStopTask(node, identityOf(found), allAttempts)
		return
	}
	a.stats.Recovered++
	adopted := a.taskOfPod(found, class)
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
		a.podController.deleteOfTask(adopted, stopDeleted)
	}
}

// allAttempts is above the number of any attempt.
const allAttempts = 1 << 30

// attemptNumber returns the number of the attempt by which a node accepted a Pod, at least 1.
func attemptNumber(pod *corev1.Pod) int {
	number, _ := strconv.Atoi(pod.Annotations[wellknown.AttemptAnnotation]) // 0 if the Pod states no number
	return max(number, 1)
}

// taskOfPod returns the task of a Pod that was found running. Its outcome was settled by the process that placed it.
func (a *adopter) taskOfPod(found *corev1.Pod, class int) *task {
	tenant, _ := a.cfg.tenantOf(found.Namespace) // a namespace that no longer belongs to a tenant counts towards the first one
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

// adoptedPod returns the Pod of an adopted task as it is stored.
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

// adoptJob attaches an adopted task to its Job, which it rebuilds if it is not stored. If the Pod has no usable manifest, the task has no Job.
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
	index, err := strconv.Atoi(found.Labels[wellknown.Index])
	if err != nil || index < 0 || index >= job.indexes.len() || job.uid != object.UID || job.indexes.at(index).task != nil {
		return
	}
	a.adoptIndex(job, index, adopted)
}

// rebuildJob stores a Job that a node stores with a Pod. No task of it is started until the other nodes have had time to report theirs. It
// returns nil if the Job is no longer valid.
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

// adoptIndex assigns an adopted task to an index that has none.
func (a *adopter) adoptIndex(job *job, index int, adopted *task) {
	job.indexes.adopt(index, adopted)
	adopted.joinJob(job, index, job.indexes.at(index).retryBudget)
	a.jobStatus.markDirty(job)
}

// finishJobAdoption decides what happens to the indexes of a rebuilt Job that no node has reported: their tasks may have ended, or may never
// have started. Those that may run twice are started, the others fail.
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
