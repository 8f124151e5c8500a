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

// adopter takes over tasks that already run on nodes when the scheduler starts, because an earlier process
// of this scheduler placed them. It rebuilds the Jobs of these tasks. The adopter has no state of its own:
// it adds the tasks, their placement requests and their Jobs to the tables of the engine.
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

// adoptTask binds a task to the node that already runs it, and reports the task to the placer in an
// Adopted event. It also creates a placement request for the task. The request is closed from the start
// because the task needs no placement.
func (a *adopter) adoptTask(task *task, node *node, number int, incarnation string, revision int64) {
	request := &placementRequest{task: task, closed: true}
	a.requests.add(request)
	adoptedAttempt := &attempt{
		request:             request,
		task:                task,
		node:                node,
		number:              number,
		sentAt:              a.now,
		acceptedIncarnation: incarnation,
		revision:            revision,
	}
	request.addAttempt(adoptedAttempt)
	a.post(placer.Event{Kind: placer.Adopted, Node: node.id, Task: a.requests.placerTask(request, task.deadline)})
	a.lifecycle.bind(task, adoptedAttempt)
}

// adoptPod adopts the task of a Pod that an earlier process of this scheduler placed. It rebuilds the Job
// of the Pod from the manifest, which is the Job as JSON; the node stores the manifest with the Pod. If
// the Pod cannot be adopted, adoptPod orders the node to stop it.
func (a *adopter) adoptPod(node *node, reportedPod *corev1.Pod) {
	class, invalidErr := a.cfg.classFromLabels(reportedPod.Labels)
	if invalidErr != nil || a.publisher.storedPod(reportedPod.Namespace, reportedPod.Name) != nil {
		a.emitStopTask(node, identityOf(reportedPod), maxAttemptNumber)
		return
	}
	a.stats.Recovered++
	adoptedTask := a.newAdoptedTask(reportedPod, class)
	a.tasks.add(adoptedTask)
	a.adoptJob(adoptedTask, reportedPod)
	a.publisher.putPod(a.adoptedPod(node, reportedPod))
	if adoptedTask.job != nil {
		adoptedTask.job.addPod(adoptedTask.name)
	}
	a.adoptTask(adoptedTask, node, attemptNumber(reportedPod), node.incarnation, podRevision(reportedPod))
	if reportedPod.Status.Phase == corev1.PodRunning {
		a.lifecycle.recordStart(adoptedTask)
	}
	if adoptedTask.job != nil && adoptedTask.job.isDeleted() {
		a.podController.deletePodOfTask(adoptedTask, stopDeleted)
	}
}

// maxAttemptNumber is greater than the number of any attempt. A stop order with this number makes a node
// reject every attempt to start the Pod.
const maxAttemptNumber = 1 << 30

// attemptNumber returns the number of the attempt through which a node accepted a Pod. The node states
// this number in an annotation of the Pod. If the annotation is missing or invalid, the result is 1.
func attemptNumber(pod *corev1.Pod) int {
	number, _ := strconv.Atoi(pod.Annotations[wellknown.AttemptAnnotation])
	return max(number, 1)
}

// newAdoptedTask returns a task for a Pod that a node reports as running. The task counts as settled
// because the process that placed it has already stored its final outcome.
func (a *adopter) newAdoptedTask(reportedPod *corev1.Pod, class int) *task {
	// If the namespace no longer belongs to a tenant, the task counts towards the first tenant.
	tenant, _ := a.cfg.tenantOf(reportedPod.Namespace)
	service := reportedPod.Labels[wellknown.Service]
	if service == "" {
		service = reportedPod.Labels[wellknown.JobName]
	}
	return &task{
		podIdentity:       identityOf(reportedPod),
		placementSpec:     newPlacementSpec(class, tenant, serviceID(reportedPod.Namespace, service), &reportedPod.Spec),
		deadline:          a.now,
		settled:           true,
		requestsSubmitted: 1,
		attempts:          attemptHistory{evidence: possiblyAccepted},
	}
}

// adoptedPod returns the Pod that the engine stores for an adopted task. It copies the Pod that the node
// reported, and replaces the status of the Pod.
func (a *adopter) adoptedPod(node *node, reportedPod *corev1.Pod) *corev1.Pod {
	now := a.apiNow()
	pod := reportedPod.DeepCopy()
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

// adoptJob attaches an adopted task to its Job. If the Job is not stored, adoptJob first rebuilds it. A
// task whose Pod contains no valid manifest remains without a Job.
func (a *adopter) adoptJob(adoptedTask *task, reportedPod *corev1.Pod) {
	var manifest batchv1.Job
	err := json.Unmarshal([]byte(reportedPod.Annotations[wellknown.JobManifest]), &manifest)
	if err != nil || manifest.Name == "" || manifest.Namespace != reportedPod.Namespace {
		return
	}
	job := a.jobs.get(jobKey(&manifest))
	if job == nil {
		if job = a.rebuildJob(&manifest); job == nil {
			return
		}
	}
	index, err := strconv.Atoi(reportedPod.Labels[wellknown.CompletionIndex])
	if err != nil || index < 0 || index >= job.indexes.len() || job.uid != manifest.UID || !job.indexes.mayAdopt(index) {
		return
	}
	a.adoptIndex(job, index, adoptedTask)
}

// rebuildJob stores a Job again after a restart of the scheduler. It rebuilds the Job from the manifest
// that a node stored with a Pod of the Job. The engine does not start tasks of the Job until the other
// nodes have had time to report their Pods. rebuildJob returns nil if the present configuration does not
// permit the Job.
func (a *adopter) rebuildJob(manifest *batchv1.Job) *job {
	manifest.Generation = 1
	rebuiltJob, err := a.jobController.newJob(manifest)
	if err != nil {
		return nil
	}
	rebuiltJob.indexes.preventStarts()
	a.jobs.add(rebuiltJob)
	a.publisher.putJob(manifest)
	a.runAfter(a.cfg.NodeLossTimeout, func() { a.finishJobAdoption(rebuiltJob) })
	return rebuiltJob
}

// adoptIndex assigns an adopted task to a completion index of its Job. The index must not have a task yet.
func (a *adopter) adoptIndex(job *job, index int, adoptedTask *task) {
	job.indexes.adopt(index, adoptedTask)
	adoptedTask.joinJob(job, index, job.indexes.at(index).retryBudget)
	a.jobStatus.markDirty(job)
}

// finishJobAdoption handles each completion index of a rebuilt Job if no node has reported a task of the
// index. The task of such an index may have ended or may never have started. The index is started again
// if the tasks of the Job are idempotent. Otherwise the index fails.
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
