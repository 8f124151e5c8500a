package engine

import (
	"cmp"
	"maps"
	"slices"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/retry"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// task is one Pod. It is requested until it is placed, rejected or failed, and then followed until it ends.
type task struct {
	sequence        int // in order of creation
	uid             types.UID
	namespace, name string // of the Pod
	job             *job   // nil if the Job is unknown or was deleted without its Pods
	index           int    // completion index within the Job
	class, tenant   int
	service         placer.ServiceID
	cores, memory   float64 // memory in GiB
	deadline        float64 // when the client stops waiting for the outcome

	state   taskState
	settled bool // the final outcome is stored in the Pod's status

	request           *placementRequest // the last one; nil while there is none
	requestsSubmitted int               // requests that the placer got
	retryBudget       int               // retries that are left
	retryTimer        *timer            // the next retry, or the end of the wait for an unknown outcome
	wasShed           bool              // a request was shed by the admission controller

	attemptCount    int        // over all requests
	inFlight        *attempt   // the attempt that waits for its answer
	runningAttempt  *attempt   // the attempt that was accepted
	unknownOutcomes []*attempt // attempts that may have been accepted
	mayHaveRun      bool       // an attempt that is over may have run
	everMayHaveRun  bool       // an attempt may have run, as far as was known when it ended
	lastFailure     string     // why the last attempt or request failed

	stopReason string // why the task is to stop; "" if it is not
	deleted    bool   // the Pod is removed as soon as the task has ended
}

func (t *task) hasUnknownOutcome() bool { return len(t.unknownOutcomes) > 0 }

func (e *Engine) idempotencyOf(task *task) placer.Idempotency {
	return e.cfg.Placer.Classes[task.class].Idempotency
}

// inCreationOrder returns the tasks in the order of their creation, which does not depend on the order of the map.
func inCreationOrder(tasks map[types.UID]*task) []*task {
	return slices.SortedFunc(maps.Values(tasks), func(left, right *task) int { return cmp.Compare(left.sequence, right.sequence) })
}

// addTask assigns the next sequence number to a task and keeps the task.
func (e *Engine) addTask(task *task) {
	task.sequence = int(e.Stats.PodsCreated)
	e.Stats.PodsCreated++
	e.tasks[task.uid] = task
}

// retryOrSettle decides on a task whose request ended without a placement. retryAfter is the placer's advice in seconds, 0 if it gave none.
func (e *Engine) retryOrSettle(task *task, cause retry.Cause, retryAfter float64) {
	e.setState(task, taskWaiting)
	task.request = nil
	task.retryTimer = nil
	if e.stopping {
		task.retryBudget = 0
	}
	decision, at := e.cfg.Retry.Next(retry.State{
		Idempotency:    e.idempotencyOf(task),
		Cause:          cause,
		Now:            e.now,
		Deadline:       task.deadline,
		Attempts:       task.requestsSubmitted,
		RetriesLeft:    task.retryBudget,
		OutcomeUnknown: task.hasUnknownOutcome(),
		MayHaveRun:     task.mayHaveRun,
		RetryAfter:     retryAfter,
		Jitter:         e.rng.Float64(),
	})
	switch decision {
	case retry.RetryAt:
		task.retryBudget--
		task.retryTimer = e.runAt(at, func() {
			e.requestPlacement(task)
			e.drainEvents()
		})
	case retry.AwaitOutcome:
		task.retryTimer = e.runAt(at, func() {
			e.retryOrSettle(task, cause, 0)
			e.drainEvents()
		})
	case retry.Reject:
		e.settleUnplaced(task, wellknown.Rejected, task.unplacedMessage("no machine took it"))
	case retry.Fail:
		e.settleUnplaced(task, wellknown.Failed, task.unplacedMessage("it could not be placed"))
	}
}

// unplacedReason returns the outcome of a task that is given up: Rejected only if it certainly never ran.
func (t *task) unplacedReason() string {
	if t.mayHaveRun || t.hasUnknownOutcome() {
		return wellknown.Failed
	}
	return wellknown.Rejected
}

// unplacedMessage appends what is known of the task's attempts to a summary.
func (t *task) unplacedMessage(summary string) string {
	if t.lastFailure != "" {
		summary += "; last: " + t.lastFailure
	}
	if t.hasUnknownOutcome() {
		summary += "; an attempt may have been accepted by " + t.unknownOutcomes[0].node.name
	}
	return summary
}

// settlePlaced stores the final outcome of a task that a node has accepted.
func (e *Engine) settlePlaced(task *task, message string) {
	e.Stats.Placed++
	e.settle(task, wellknown.Placed, func(pod *corev1.Pod) { e.showPlaced(pod, task.runningAttempt.node.name, message) })
}

// settleUnplaced stores the final outcome of a task that waits and is not requested again, and ends the task.
func (e *Engine) settleUnplaced(task *task, reason, message string) {
	if reason == wellknown.Rejected {
		e.Stats.Rejected++
	} else {
		e.Stats.Failed++
	}
	e.settle(task, reason, func(pod *corev1.Pod) { e.showUnplaced(pod, reason, message) })
	e.stopTimer(task.retryTimer)
	task.retryTimer = nil
	e.terminateTask(task, false, retry.Rejected)
}

func (e *Engine) settle(task *task, reason string, show func(pod *corev1.Pod)) {
	task.settled = true
	e.openTasks--
	e.updatePod(task, show)
	if task.job != nil {
		e.recordSettled(task, reason)
	}
}

// bindTask records that a node has accepted a task.
func (e *Engine) bindTask(task *task, accepted *attempt) {
	e.setState(task, taskBound)
	task.runningAttempt = accepted
	task.everMayHaveRun = true
	accepted.node.running[task.uid] = task
	e.stopTimer(task.retryTimer)
	task.retryTimer = nil
	if task.settled {
		e.updatePod(task, func(pod *corev1.Pod) { pod.Spec.NodeName = accepted.node.name })
		return
	}
	e.settlePlaced(task, "accepted by "+accepted.node.name)
}

// taskStarted records that the node of a bound task reports it as running.
func (e *Engine) taskStarted(task *task) {
	if task.state == taskRunning {
		return
	}
	e.setState(task, taskRunning)
	running := task.runningAttempt
	e.post(placer.Event{
		Kind:    placer.UsageReported,
		TaskID:  running.request.id,
		Attempt: running.requestSequence,
		Node:    running.node.id,
		Usage:   placer.Started,
		Value:   e.now - running.sentAt,
	})
	e.updatePod(task, e.showStarted)
}

// taskEnd describes how a task ended that a node had accepted.
type taskEnd struct {
	result  placer.Result
	reason  placer.Reason
	status  string // the reason in the Pod's status; "" unless the task failed or was stopped
	message string // the message in the Pod's status
}

func (end *taskEnd) succeeded() bool { return end.result == placer.Finished && end.status == "" }

func (end *taskEnd) migrated() bool {
	return end.status == stopMigrated || end.status == stopEvicted && end.result == placer.Cancelled
}

// runningTaskEnded ends a task that a node had accepted. It does nothing if no attempt of the task runs.
func (e *Engine) runningTaskEnded(task *task, end taskEnd) {
	ended := task.runningAttempt
	if ended == nil {
		return
	}
	task.runningAttempt = nil
	e.stopTimer(ended.fenceTimer)
	delete(ended.node.running, task.uid)
	e.post(placer.Event{
		Kind:    placer.Ended,
		TaskID:  ended.request.id,
		Attempt: ended.requestSequence,
		Node:    ended.node.id,
		Result:  end.result,
		Reason:  end.reason,
		Elapsed: placer.Seconds(e.now - ended.sentAt),
		Final:   true,
	})
	e.discardRequest(ended.request)
	cause := e.countEnd(&end)
	e.updatePod(task, func(pod *corev1.Pod) { e.showEnded(pod, &end) })
	e.terminateTask(task, end.succeeded(), cause)
}

// countEnd counts the end of a task in Stats and returns why the task would be started again.
func (e *Engine) countEnd(end *taskEnd) retry.Cause {
	switch {
	case end.result == placer.Finished:
		return retry.Failed // by itself
	case end.reason == placer.Evicted:
		e.Stats.EvictedTasks++
		return retry.Evicted
	case end.migrated():
		e.Stats.MigratedTasks++
		return retry.Migrated
	case end.result == placer.Lost:
		e.Stats.LostTasks++
	}
	return retry.Lost
}

// terminateTask ends a task that neither runs nor will be requested again. It stops the attempts whose outcome is unknown, and tells the
// Job.
func (e *Engine) terminateTask(task *task, succeeded bool, cause retry.Cause) {
	e.setState(task, taskTerminating)
	e.fenceUnknownOutcomes(task)
	if task.job != nil {
		e.jobTaskEnded(task, succeeded, cause)
	}
	e.discardTask(task)
}

// discardTask removes a terminating task once no outcome is unknown, and its Pod if that was deleted.
func (e *Engine) discardTask(task *task) {
	if task.state != taskTerminating || task.hasUnknownOutcome() {
		return
	}
	e.setState(task, taskRemoved)
	delete(e.tasks, task.uid)
	if task.deleted && e.podOf(task) != nil {
		e.store.Delete(store.Pods, task.namespace, task.name)
		e.podRemoved(task)
	}
}
