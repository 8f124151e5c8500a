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

// jobStarter starts the tasks of Jobs in round-robin order. If a task ends without success, jobStarter
// also starts the completion index of the task again.
type jobStarter struct {
	*environment
	jobController *jobController
	jobStatus     *jobStatusWriter
	tasks         *taskTable
	lifecycle     *taskLifecycle
	requests      *requestTable
	publisher     *publisher

	backlog        []*job // Jobs that have tasks to start
	startScheduled bool   // set while the timer that starts tasks of the Jobs in the backlog is pending
}

// start sets the timer for activeDeadlineSeconds of a new or resumed Job, and adds the Job to the backlog.
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

// enqueue appends a Job to the backlog if the Job has completion indexes to start.
func (s *jobStarter) enqueue(job *job) {
	if !job.inBacklog && job.canStart() && job.indexes.unstarted() > 0 {
		job.inBacklog = true
		s.backlog = append(s.backlog, job)
	}
	s.scheduleStarts()
}

// scheduleStarts sets a timer that starts tasks of the Jobs in the backlog. The timer is due at once.
func (s *jobStarter) scheduleStarts() {
	if len(s.backlog) > 0 && !s.startScheduled {
		s.startScheduled = true
		s.runAfter(0, s.startTasks)
	}
}

// startsPerRound is the maximum number of tasks that one Job starts before the next Job starts its tasks.
const startsPerRound = 32

// startTasks starts at most MaxStartsPerCall tasks of the Jobs in the backlog. The Jobs take turns, which
// prevents a large Job from delaying the others.
func (s *jobStarter) startTasks() {
	s.startScheduled = false
	remaining := s.cfg.MaxStartsPerCall
	for remaining > 0 && len(s.backlog) > 0 {
		job := s.backlog[0]
		s.backlog = s.backlog[1:]
		job.inBacklog = false
		if !job.canStart() {
			continue
		}
		remaining -= s.startRound(job, remaining)
		s.drainEvents()
		if job.indexes.unstarted() > 0 && job.indexes.activeIndexes < job.parallelism() {
			s.enqueue(job)
		}
	}
	s.scheduleStarts()
}

// startRound starts the next pending completion indexes of a Job. It starts at most the given number of
// tasks, and returns the number of tasks that it has started.
func (s *jobStarter) startRound(job *job, limit int) int {
	parallelism := job.parallelism()
	startedCount := 0
	for range startsPerRound {
		if startedCount >= limit {
			break
		}
		index, ok := job.indexes.takeNext(parallelism)
		if !ok {
			break
		}
		if job.indexes.at(index).state == indexPending {
			s.startTask(job, index)
			startedCount++
		}
	}
	return startedCount
}

// startTask creates a task for a completion index of a Job, stores the Pod of the task, and requests the
// placement of the task.
func (s *jobStarter) startTask(job *job, index int) {
	newTask := s.newTask(job, index)
	job.indexes.start(index, newTask)
	pod := s.newPod(newTask)
	job.addPod(newTask.name)
	s.tasks.add(newTask)
	s.publisher.putPod(pod)
	if s.stopping {
		// After Engine.Stop, the engine requests no placement for a new task. The placer would handle the
		// request and start an attempt before the engine could withdraw the request.
		s.tasks.setState(newTask, taskWaiting)
		s.lifecycle.settleUnplaced(newTask, outcomeRejected, stoppingMessage)
	} else {
		s.requests.requestPlacement(newTask)
	}
	s.jobStatus.markDirty(job)
}

// maxJobNameLengthInPodName is the number of characters to which the name of a Job is shortened in the
// names of its Pods.
const maxJobNameLengthInPodName = 52

// newTask returns a new task for a completion index of a Job.
func (s *jobStarter) newTask(job *job, index int) *task {
	newTask := &task{
		podIdentity:   podIdentity{uid: s.newUID(), namespace: job.object.Namespace},
		placementSpec: job.placementSpec,
		job:           job,
		index:         index,
		retryBudget:   job.indexes.at(index).retryBudget,
	}
	newTask.name = fmt.Sprintf("%.*s-%d-%s", maxJobNameLengthInPodName, job.object.Name, index, s.randomNameSuffix())
	newTask.deadline = s.now + s.cfg.Retry.MaxWait(s.cfg.Placer.Classes[job.class].Deadline, newTask.retryBudget)
	if job.deadlineTimer.Pending() {
		newTask.deadline = min(newTask.deadline, job.deadlineTimer.At)
	}
	return newTask
}

// newPod returns the Pod of a new task. The Pod shares its Spec with the Pod template of the Job, which is
// safe because stored objects are never modified.
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
	pod.Labels = cloneOrEmpty(object.Spec.Template.Labels)
	pod.Labels[wellknown.CompletionIndex] = index
	pod.Annotations = cloneOrEmpty(object.Spec.Template.Annotations)
	pod.Annotations[wellknown.CompletionIndex] = index
	pod.Annotations[wellknown.OutcomeDeadline] = wellknown.FormatTimestamp(task.deadline)
	pod.Status.Phase = corev1.PodPending
	pod.Status.QOSClass = corev1.PodQOSBurstable
	return pod
}

// cloneOrEmpty returns a modifiable copy of a map, or an empty map if the original is nil.
func cloneOrEmpty(original map[string]string) map[string]string {
	if original == nil {
		return map[string]string{}
	}
	return maps.Clone(original)
}

// pendingPods returns the number of the Pods that have yet to be created for the Jobs in the backlog, and
// the estimated cost of these Pods in bytes.
func (s *jobStarter) pendingPods() (count int, bytes int64) {
	for _, job := range s.backlog {
		pendingCount := job.indexes.unstarted()
		count += pendingCount
		bytes += job.podCost * int64(pendingCount)
	}
	return count, bytes
}
