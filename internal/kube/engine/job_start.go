package engine

import (
	"fmt"
	"maps"
	"strconv"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/control/retry"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// startJob sets the active deadline of a new or resumed Job and queues its tasks.
func (e *Engine) startJob(job *job) {
	if seconds := job.object.Spec.ActiveDeadlineSeconds; seconds != nil && !job.suspended {
		e.stopTimer(job.deadlineTimer)
		job.deadlineTimer = e.runAfter(float64(*seconds), func() {
			e.failJob(job, "DeadlineExceeded", "Job was active longer than specified deadline")
		})
	}
	e.enqueueJob(job)
	e.markJobDirty(job)
}

// enqueueJob appends a Job with indexes to start to the backlog.
func (e *Engine) enqueueJob(job *job) {
	if !job.queued && job.canStart() && job.nextIndex < len(job.indexes) {
		job.queued = true
		e.backlog = append(e.backlog, job)
	}
	e.scheduleStarts()
}

func (e *Engine) scheduleStarts() {
	if len(e.backlog) > 0 && !e.startScheduled {
		e.startScheduled = true
		e.runAfter(0, e.startTasks)
	}
}

// startsPerTurn is how many tasks a Job may start before the next Job's turn.
const startsPerTurn = 32

// startTasks starts tasks of the Jobs in the backlog by turns, up to MaxStartsPerCall, so that a large Job delays no other.
func (e *Engine) startTasks() {
	e.startScheduled = false
	left := e.cfg.MaxStartsPerCall
	for left > 0 && len(e.backlog) > 0 {
		job := e.backlog[0]
		e.backlog = e.backlog[1:]
		job.queued = false
		if !job.canStart() {
			continue
		}
		left -= e.startTurn(job, left)
		e.drainEvents()
		if job.nextIndex < len(job.indexes) && job.active < job.parallelism() {
			e.enqueueJob(job)
		}
	}
	e.scheduleStarts()
}

// startTurn looks at the next indexes of a Job, and starts those that are pending, up to a limit. It returns how many it started.
func (e *Engine) startTurn(job *job, limit int) int {
	parallelism := job.parallelism()
	started := 0
	for range startsPerTurn {
		if started >= limit || job.nextIndex >= len(job.indexes) || job.active >= parallelism {
			break
		}
		index := job.nextIndex
		job.nextIndex++
		if job.indexes[index].state == indexPending {
			e.startTask(job, index)
			started++
		}
	}
	return started
}

// startTask creates the Pod of a Job's index and requests its placement.
func (e *Engine) startTask(job *job, index int) {
	started := e.newTask(job, index)
	state := &job.indexes[index]
	state.state = indexActive
	state.task = started
	state.retryTimer = nil
	job.active++
	pod := e.newPod(started)
	job.pods[started.name] = struct{}{}
	e.addTask(started)
	e.openTasks++
	e.store.Put(store.Pods, pod)
	if e.stopping {
		// Never requested: the placer would handle the request and make an attempt before it handled a withdrawal of it.
		e.setState(started, taskWaiting)
		e.settleUnplaced(started, wellknown.Rejected, stoppingMessage)
	} else {
		e.requestPlacement(started)
	}
	e.markJobDirty(job)
}

// maxPodNamePrefix is how many characters of a Job's name begin the names of its Pods.
const maxPodNamePrefix = 52

// newTask returns the next task of a Job's index.
func (e *Engine) newTask(job *job, index int) *task {
	created := &task{
		uid:         e.newUID(),
		namespace:   job.object.Namespace,
		job:         job,
		index:       index,
		class:       job.class,
		tenant:      job.tenant,
		service:     job.service,
		cores:       job.cores,
		memory:      job.memory,
		retryBudget: job.indexes[index].retryBudget,
	}
	created.name = fmt.Sprintf("%.*s-%d-%s", maxPodNamePrefix, job.object.Name, index, e.randomSuffix())
	created.deadline = e.now + e.cfg.Retry.MaxWait(float64(e.cfg.Placer.Classes[job.class].Deadline), created.retryBudget)
	if job.deadlineTimer.Pending() {
		created.deadline = min(created.deadline, job.deadlineTimer.At)
	}
	return created
}

// newPod returns the Pod of a new task. It shares the Spec with the Job's template: what is stored is never changed.
func (e *Engine) newPod(task *task) *corev1.Pod {
	object := task.job.object
	index := strconv.Itoa(task.index)
	pod := &corev1.Pod{Spec: object.Spec.Template.Spec}
	pod.Name = task.name
	pod.Namespace = task.namespace
	pod.UID = task.uid
	pod.GenerateName = fmt.Sprintf("%s-%d-", object.Name, task.index)
	pod.CreationTimestamp = wellknown.APITime(e.now)
	pod.OwnerReferences = []metav1.OwnerReference{jobOwnerReference(task.job)}
	pod.Labels = cloneOrMake(object.Spec.Template.Labels)
	pod.Labels[wellknown.Index] = index
	pod.Annotations = cloneOrMake(object.Spec.Template.Annotations)
	pod.Annotations[wellknown.Index] = index
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

// rerunWindow is how many seconds from now package retry may choose for the start of a task whose predecessor has ended: no deadline
// applies, since the outcome of the index is known.
const rerunWindow = 3600

// scheduleRerun sets a timer that starts an index again after its task ended without success. It returns false if the index is not started
// again.
func (e *Engine) scheduleRerun(job *job, task *task, cause retry.Cause) bool {
	idempotency := e.cfg.Placer.Classes[job.class].Idempotency
	if !e.mayRerun(job, task, cause, idempotency) {
		return false
	}
	budget := task.retryBudget
	if cause == retry.Migrated || task.stopReason != "" {
		budget = max(budget, 1) // a stop that this scheduler ordered costs nothing
	}
	// The end of the task is known: only the time of its start is left to choose.
	decision, at := e.cfg.Retry.Next(retry.State{
		Idempotency: placer.Idempotent,
		Cause:       cause,
		Now:         e.now,
		Deadline:    e.now + rerunWindow,
		Attempts:    max(job.backoffLimit()-task.retryBudget+1, 1),
		RetriesLeft: budget,
		Jitter:      e.rng.Float64(),
	})
	if decision != retry.RetryAt {
		return false
	}
	if idempotency != placer.Idempotent {
		at = max(at, e.now+e.cfg.Retry.UnknownOutcomeTimeout)
	}
	index := task.index
	state := &job.indexes[index]
	state.retryBudget = task.retryBudget
	if budget == task.retryBudget {
		state.retryBudget--
	}
	state.retryTimer = e.runAt(at, func() {
		if job.canStart() && job.indexes[index].task == nil {
			e.startTask(job, index)
			e.drainEvents()
		}
	})
	return true
}

// mayRerun reports whether an index may be started again after its task ended without success.
func (e *Engine) mayRerun(job *job, task *task, cause retry.Cause, idempotency placer.Idempotency) bool {
	switch {
	case job.failureReason != "" || e.stopping:
		return false
	case cause == retry.Rejected && task.stopReason == "":
		return false // its requests were retried as often as allowed
	case idempotency == placer.NonIdempotent:
		return cause != retry.Failed && !task.mayHaveRun // it neither ran to its end nor may have a copy
	}
	return true
}
