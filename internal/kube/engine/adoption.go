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

// adoptTask reports a task that already runs on a node to the placer as adopted. It also creates a placement
// request for the task. The request is closed from the start because the task needs no placement.
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

// adoptPod adopts a Pod that an earlier process placed, and rebuilds its Job from the manifest (the Job as
// JSON) that the node stores with the Pod. If the Pod cannot be adopted, it is stopped.
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

// attemptNumber returns the number of the attempt by which a node accepted a Pod. It returns 1 if the Pod
// does not state a number of at least 1.
func attemptNumber(pod *corev1.Pod) int {
	number, _ := strconv.Atoi(pod.Annotations[wellknown.AttemptAnnotation])
	return max(number, 1)
}

// newAdoptedTask returns a task for a Pod that a node reports as running. The task counts as settled because
// the process that placed it has already reported its final outcome.
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

// adoptedPod returns the Pod that is stored for an adopted task. It is derived from the Pod that the node
// reported.
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

// adoptJob attaches an adopted task to its Job and rebuilds the Job if it is not stored. A task whose Pod
// contains no valid manifest of a Job remains without a Job.
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
	if err != nil || index < 0 || index >= job.indexes.len() || job.uid != manifest.UID || job.indexes.at(index).task != nil {
		return
	}
	a.adoptIndex(job, index, adoptedTask)
}

// rebuildJob stores a Job again from the manifest that a node keeps with one of the Job's Pods. Tasks of the
// Job are not started until the other nodes have had time to report their Pods. rebuildJob returns nil if the
// present configuration does not permit the Job.
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

// finishJobAdoption decides on the completion indexes of a rebuilt Job for which no node has reported a task.
// The task of such an index may have ended or may never have started. The index is started again if the Job's
// tasks are idempotent, and fails otherwise.
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
