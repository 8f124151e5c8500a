package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// taskLifecycle moves tasks between their states when a request ends, a node accepts a task, a task ends, or a task is to stop. It is stateless:
// it changes tasks through taskTable, and Pods through publisher.
type taskLifecycle struct {
	*environment
	tasks         *taskTable
	requests      *requestTable
	attempts      *attemptTracker
	outcomes      *outcomeReconciler
	jobController *jobController
	publisher     *publisher
}

// retryOrSettle decides on a task whose request ended without a placement. retryAfter is the placer's advice, 0 if it gave none.
func (l *taskLifecycle) retryOrSettle(task *task, cause retry.Cause, retryAfter placer.Seconds) {
	l.tasks.setState(task, taskWaiting)
	l.requests.release(task)
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
		OutcomeUnknown: task.attempts.hasUnknown(),
		MayHaveRun:     task.attempts.evidence == possiblyRan,
		RetryAfter:     retryAfter,
		Jitter:         l.rng.Float64(),
	})
	switch decision {
	case retry.RetryAt:
		task.retryBudget--
		task.retryTimer = l.runAt(at, func() {
			task.retryTimer = nil
			l.requests.place(task)
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

// settleUnplaced stores the final outcome of a waiting task that is not requested again, and ends the task.
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

// reportSettled notifies the Job of a task, if it has one, of the task's final outcome.
func (l *taskLifecycle) reportSettled(task *task, outcome taskOutcome) {
	if task.job != nil {
		l.jobController.recordSettled(task, outcome)
	}
}

// bind records that a node has accepted a task.
func (l *taskLifecycle) bind(task *task, accepted *attempt) {
	l.tasks.setState(task, taskBound)
	task.attempts.bind(accepted)
	accepted.node.addTask(task)
	l.stopTimer(task.retryTimer)
	task.retryTimer = nil
	if task.settled {
		l.publisher.publishNodeName(task, accepted.node.name)
		return
	}
	l.settlePlaced(task, "accepted by "+accepted.node.name)
}

// started records that the node of a bound task reports it as running.
func (l *taskLifecycle) started(task *task) {
	if task.state == taskRunning {
		return
	}
	l.tasks.setState(task, taskRunning)
	running := task.attempts.running
	l.post(running.usageEvent(placer.Started, float64(l.now-running.sentAt)))
	l.publisher.publishStarted(task)
}

// taskEnd describes the end of a task that a node had accepted.
type taskEnd struct {
	result  placer.Result
	reason  placer.Reason
	status  string // the reason in the Pod's status; "" unless the task failed or was stopped
	message string // the message in the Pod's status
}

// succeeded reports whether the task ended by itself with success.
func (end *taskEnd) succeeded() bool { return end.result == placer.Finished && end.status == "" }

// migrated reports whether the engine stopped the task to start it elsewhere.
func (end *taskEnd) migrated() bool {
	reason := stopReason(end.status)
	return reason == stopMigrated || reason == stopEvicted && end.result == placer.Cancelled
}

// ended ends a task that a node had accepted. It does nothing if no attempt of the task is running.
func (l *taskLifecycle) ended(task *task, end taskEnd) {
	ended := task.attempts.unbind()
	if ended == nil {
		return
	}
	l.stopTimer(ended.fenceTimer)
	ended.node.removeTask(task)
	event := ended.endedEvent(l.now, end.result, end.reason)
	event.Final = true
	l.post(event)
	l.requests.discard(ended.request)
	cause := l.countEnd(&end)
	l.publisher.publishEnded(task, &end)
	l.terminate(task, end.succeeded(), cause)
}

// countEnd counts the end of a task in Stats and returns the cause of its next start, if it is started again.
func (l *taskLifecycle) countEnd(end *taskEnd) retry.Cause {
	switch {
	case end.result == placer.Finished:
		return retry.Failed // by itself
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

// terminate ends a task that neither runs nor will be requested again. It fences the attempts whose outcome is unknown, and notifies the Job.
func (l *taskLifecycle) terminate(task *task, succeeded bool, cause retry.Cause) {
	l.tasks.setState(task, taskTerminating)
	l.outcomes.fenceAll(task)
	if task.job != nil {
		l.jobController.taskEnded(task, succeeded, cause)
	}
	l.discard(task)
}

// discard removes a terminating task once no outcome is unknown, and its Pod if that was deleted.
func (l *taskLifecycle) discard(task *task) {
	if task.state != taskTerminating || task.attempts.hasUnknown() {
		return
	}
	l.tasks.remove(task)
	if task.deleted && l.publisher.podOfTask(task) != nil {
		l.publisher.deletePod(task.namespace, task.name)
		l.jobController.podRemoved(task)
	}
}
