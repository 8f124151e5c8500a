package engine

import (
	"fmt"
	"maps"
	"strconv"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// jobStarter starts the tasks of Jobs round-robin, and restarts indexes whose tasks ended without success.
type jobStarter struct {
	*environment
	jobController *jobController
	jobStatus     *jobStatusWriter
	tasks         *taskTable
	lifecycle     *taskLifecycle
	requests      *requestTable
	publisher     *publisher

	backlog   []*job // Jobs with tasks to start
	scheduled bool   // a timer to start tasks of the backlog is pending
}

// start sets the active deadline of a new or resumed Job and queues its tasks.
func (s *jobStarter) start(job *job) {
	if seconds := job.object.Spec.ActiveDeadlineSeconds; seconds != nil && !job.suspended {
		s.stopTimer(job.deadlineTimer)
		job.deadlineTimer = s.runAfter(placer.Seconds(*seconds), func() {
			s.jobController.fail(job, "DeadlineExceeded", "Job was active longer than specified deadline")
		})
	}
	s.enqueue(job)
	s.jobStatus.markDirty(job)
}

// enqueue appends a Job with indexes to start to the backlog.
func (s *jobStarter) enqueue(job *job) {
	if !job.queued && job.canStart() && job.indexes.unstarted() > 0 {
		job.queued = true
		s.backlog = append(s.backlog, job)
	}
	s.scheduleStarts()
}

// scheduleStarts sets a timer, due at once, that starts tasks of the backlog.
func (s *jobStarter) scheduleStarts() {
	if len(s.backlog) > 0 && !s.scheduled {
		s.scheduled = true
		s.runAfter(0, s.startTasks)
	}
}

// startsPerRound is the number of tasks that a Job may start before the next Job is served.
const startsPerRound = 32

// startTasks starts tasks of the Jobs in the backlog round-robin, up to MaxStartsPerCall, so that a large Job does not delay others.
func (s *jobStarter) startTasks() {
	s.scheduled = false
	left := s.cfg.MaxStartsPerCall
	for left > 0 && len(s.backlog) > 0 {
		job := s.backlog[0]
		s.backlog = s.backlog[1:]
		job.queued = false
		if !job.canStart() {
			continue
		}
		left -= s.startRound(job, left)
		s.drainEvents()
		if job.indexes.unstarted() > 0 && job.indexes.active < job.parallelism() {
			s.enqueue(job)
		}
	}
	s.scheduleStarts()
}

// startRound starts the next pending indexes of a Job, up to a limit, and returns how many it started.
func (s *jobStarter) startRound(job *job, limit int) int {
	parallelism := job.parallelism()
	started := 0
	for range startsPerRound {
		if started >= limit {
			break
		}
		index, ok := job.indexes.takeNext(parallelism)
		if !ok {
			break
		}
		if job.indexes.at(index).state == indexPending {
			s.startTask(job, index)
			started++
		}
	}
	return started
}

// startTask creates the Pod of a Job's index and requests its placement.
func (s *jobStarter) startTask(job *job, index int) {
	started := s.newTask(job, index)
	job.indexes.start(index, started)
	pod := s.newPod(started)
	job.addPod(started.name)
	s.tasks.add(started)
	s.publisher.putPod(pod)
	if s.stopping {
		// Never requested: the placer would handle the request and make an attempt before it handled a withdrawal of it.
		s.tasks.setState(started, taskWaiting)
		s.lifecycle.settleUnplaced(started, outcomeRejected, stoppingMessage)
	} else {
		s.requests.place(started)
	}
	s.jobStatus.markDirty(job)
}

// maxPodNamePrefix is the number of characters of a Job's name with which the names of its Pods begin.
const maxPodNamePrefix = 52

// newTask returns the next task of a Job's index.
func (s *jobStarter) newTask(job *job, index int) *task {
	created := &task{
		podIdentity:   podIdentity{uid: s.newUID(), namespace: job.object.Namespace},
		placementSpec: job.placementSpec,
		job:           job,
		index:         index,
		retryBudget:   job.indexes.at(index).retryBudget,
	}
	created.name = fmt.Sprintf("%.*s-%d-%s", maxPodNamePrefix, job.object.Name, index, s.randomSuffix())
	created.deadline = s.now + s.cfg.Retry.MaxWait(s.cfg.Placer.Classes[job.class].Deadline, created.retryBudget)
	if job.deadlineTimer.Pending() {
		created.deadline = min(created.deadline, job.deadlineTimer.At)
	}
	return created
}

// newPod returns the Pod of a new task. It shares the Spec with the Job's template, since stored objects are never changed.
func (s *jobStarter) newPod(task *task) *corev1.Pod {
	object := task.job.object
	index := strconv.Itoa(task.index)
	pod := &corev1.Pod{Spec: object.Spec.Template.Spec}
	pod.Name = task.name
	pod.Namespace = task.namespace
	pod.UID = task.uid
	pod.GenerateName = fmt.Sprintf("%s-%d-", object.Name, task.index)
	pod.CreationTimestamp = s.apiNow()
	pod.OwnerReferences = []metav1.OwnerReference{jobOwnerReference(task.job)}
	pod.Labels = cloneOrMake(object.Spec.Template.Labels)
	pod.Labels[wellknown.CompletionIndex] = index
	pod.Annotations = cloneOrMake(object.Spec.Template.Annotations)
	pod.Annotations[wellknown.CompletionIndex] = index
	pod.Annotations[wellknown.OutcomeDeadline] = wellknown.FormatTimestamp(task.deadline)
	pod.Status.Phase = corev1.PodPending
	pod.Status.QOSClass = corev1.PodQOSBurstable
	return pod
}

// cloneOrMake returns a copy that may be written to.
func cloneOrMake(original map[string]string) map[string]string {
	if original == nil {
		return map[string]string{}
	}
	return maps.Clone(original)
}

// pendingPods returns the number of Pods that the Jobs in the backlog have yet to create, and their cost.
func (s *jobStarter) pendingPods() (count int, bytes int64) {
	for _, job := range s.backlog {
		pending := job.indexes.unstarted()
		count += pending
		bytes += job.podCost * int64(pending)
	}
	return count, bytes
}
