package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// taskLifecycle changes the states of tasks when a placement request ends, a node accepts a task, a task
// ends, or a task must stop. It has no state of its own: it modifies tasks through taskTable, and the
// stored Pods through publisher.
type taskLifecycle struct {
	*environment
	tasks         *taskTable
	requests      *requestTable
	attempts      *attemptTracker
	outcomes      *outcomeReconciler
	jobController *jobController
	publisher     *publisher
}

// retryOrSettle handles a task whose placement request has ended without a placement. It schedules a retry,
// waits for an unknown outcome, or stores the final outcome of the task. retryAfter is the delay that the
// placer or the admission controller suggests; 0 means no suggestion.
func (l *taskLifecycle) retryOrSettle(task *task, cause retry.Cause, retryAfter placer.Seconds) {
	l.tasks.setState(task, taskWaiting)
	l.requests.clearRequest(task)
	task.retryTimer = nil
	if l.stopping {
		task.retryBudget = 0
	}
	decision, at := l.cfg.Retry.Next(retry.State{
		Idempotency:    l.idempotencyOf(task),
		Cause:          cause,
		Now:            l.now,
		Deadline:       task.deadline,
		Attempts:       task.requestsSubmitted,
		RetriesLeft:    task.retryBudget,
		OutcomeUnknown: task.attempts.hasUnknownOutcome(),
		MayHaveRun:     task.attempts.evidence == possiblyRan,
		RetryAfter:     retryAfter,
		Jitter:         l.rng.Float64(),
	})
	switch decision {
	case retry.RetryAt:
		task.retryBudget--
		task.retryTimer = l.runAt(at, func() {
			task.retryTimer = nil
			l.requests.requestPlacement(task)
			l.drainEvents()
		})
	case retry.AwaitOutcome:
		task.retryTimer = l.runAt(at, func() {
			l.retryOrSettle(task, cause, 0)
			l.drainEvents()
		})
	case retry.Reject:
		l.settleUnplaced(task, outcomeRejected, task.unplacedMessage("no node accepted it"))
	case retry.Fail:
		l.settleUnplaced(task, outcomeFailed, task.unplacedMessage("it could not be placed"))
	}
}

// settlePlaced stores the final outcome of a task that a node has accepted.
func (l *taskLifecycle) settlePlaced(task *task, message string) {
	l.stats.Placed++
	l.tasks.settle(task)
	l.publisher.publishPlaced(task, message)
	l.reportSettled(task, outcomePlaced)
}

// settleUnplaced stores the final outcome of a waiting task that was not placed and that gets no further
// placement request. It also ends the task.
func (l *taskLifecycle) settleUnplaced(task *task, outcome taskOutcome, message string) {
	if outcome == outcomeRejected {
		l.stats.Rejected++
	} else {
		l.stats.Failed++
	}
	l.tasks.settle(task)
	l.publisher.publishUnplaced(task, outcome, message)
	l.reportSettled(task, outcome)
	l.stopTimer(task.retryTimer)
	task.retryTimer = nil
	l.terminate(task, false, retry.Rejected)
}

// reportSettled tells jobController the final outcome of a task if the task belongs to a Job.
func (l *taskLifecycle) reportSettled(task *task, outcome taskOutcome) {
	if task.job != nil {
		l.jobController.recordOutcome(task, outcome)
	}
}

// bind records that a node has accepted a task through the given attempt.
func (l *taskLifecycle) bind(task *task, attempt *attempt) {
	l.tasks.setState(task, taskBound)
	task.attempts.bind(attempt)
	attempt.node.addTask(task)
	l.stopTimer(task.retryTimer)
	task.retryTimer = nil
	if task.settled {
		l.publisher.publishNodeName(task, attempt.node.name)
		return
	}
	l.settlePlaced(task, "accepted by "+attempt.node.name)
}

// recordStart records that the node of a bound task reports the task as running.
func (l *taskLifecycle) recordStart(task *task) {
	if task.state == taskRunning {
		return
	}
	l.tasks.setState(task, taskRunning)
	runningAttempt := task.attempts.runningAttempt
	l.post(runningAttempt.usageEvent(placer.Started, float64(l.now-runningAttempt.sentAt)))
	l.publisher.publishStarted(task)
}

// taskEnd describes the end of a task that a node had accepted.
type taskEnd struct {
	result     placer.Result
	reason     placer.Reason
	podReason  string // reason for the Pod's status; "" unless the task failed or was stopped
	podMessage string // message for the Pod's status
}

// succeeded reports whether the task finished successfully.
func (end *taskEnd) succeeded() bool { return end.result == placer.Finished && end.podReason == "" }

// migrated reports whether the engine has stopped the task in order to start a new task on another node in
// its place.
func (end *taskEnd) migrated() bool {
	reason := stopReason(end.podReason)
	return reason == stopMigrated || reason == stopEvicted && end.result == placer.Cancelled
}

// recordEnd records the end of a task that a node had accepted. It does nothing if no attempt of the task is
// running.
func (l *taskLifecycle) recordEnd(task *task, end taskEnd) {
	endedAttempt := task.attempts.unbind()
	if endedAttempt == nil {
		return
	}
	l.stopTimer(endedAttempt.fenceTimer)
	endedAttempt.node.removeTask(task)
	event := endedAttempt.endedEvent(l.now, end.result, end.reason)
	event.Final = true
	l.post(event)
	l.requests.removeIfUnused(endedAttempt.request)
	cause := l.countTaskEnd(&end)
	l.publisher.publishEnded(task, &end)
	l.terminate(task, end.succeeded(), cause)
}

// countTaskEnd updates Stats for the end of a task. It returns the cause of the end, which determines whether
// and when the Job starts the completion index of the task again.
func (l *taskLifecycle) countTaskEnd(end *taskEnd) retry.Cause {
	switch {
	case end.result == placer.Finished:
		return retry.Failed // the task was not stopped: it ran until it succeeded or failed
	case end.reason == placer.Evicted:
		l.stats.EvictedTasks++
		return retry.Evicted
	case end.migrated():
		l.stats.MigratedTasks++
		return retry.Migrated
	case end.result == placer.Lost:
		l.stats.LostTasks++
	}
	return retry.Lost
}

// terminate ends a task that is not running and that gets no further placement request. It fences the
// attempts whose outcomes are unknown, and notifies the Job of the task.
func (l *taskLifecycle) terminate(task *task, succeeded bool, cause retry.Cause) {
	l.tasks.setState(task, taskTerminating)
	l.outcomes.fenceAll(task)
	if task.job != nil {
		l.jobController.recordTaskEnd(task, succeeded, cause)
	}
	l.removeIfResolved(task)
}

// removeIfResolved removes a terminating task unless an attempt of the task has an unknown outcome. If the
// Pod of the task is marked as being deleted, removeIfResolved also removes the Pod from the store.
func (l *taskLifecycle) removeIfResolved(task *task) {
	if task.state != taskTerminating || task.attempts.hasUnknownOutcome() {
		return
	}
	l.tasks.remove(task)
	if task.podDeleted && l.publisher.podOfTask(task) != nil {
		l.publisher.deletePod(task.namespace, task.name)
		l.jobController.recordPodRemoval(task)
	}
}
