package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// stoppingMessage states why a task is not placed after Engine.Stop. It is the message of tasks that are
// waiting when Stop is called (stopAll), and of tasks that a Job starts later (jobStarter.startTask).
const stoppingMessage = "the scheduler stops"

// stopAll implements Engine.Stop. Every task whose placement request the placer does not have gets its final
// outcome, at once or after the wait for an unknown outcome. No placement request is retried.
func (l *taskLifecycle) stopAll() {
	l.stopping = true
	for _, task := range l.tasks.tasksInCreationOrder() {
		if task.state == taskQueued {
			l.withdrawQueuedRequest(task)
		}
		if task.state == taskWaiting && !task.attempts.hasUnknownOutcome() {
			l.settleUnplaced(task, task.unplacedOutcome(), stoppingMessage)
		}
	}
}

// withdrawQueuedRequest cancels the placement request of a queued task when the engine stops. A queued task
// has no pending timer. If an attempt of the task has an unknown outcome, withdrawQueuedRequest must set the
// timer for the wait for this outcome, or settle the task.
func (l *taskLifecycle) withdrawQueuedRequest(task *task) {
	l.requests.withdraw(task)
	if task.attempts.hasUnknownOutcome() {
		l.retryOrSettle(task, retry.Shed, 0)
		return
	}
	l.tasks.setState(task, taskWaiting)
}

// stop ends a task in any state. A running task ends when its node has answered the stop order.
func (l *taskLifecycle) stop(task *task, reason stopReason) {
	if !task.isStopping() {
		task.stopReason = reason
	}
	switch {
	case task.state.isOnNode():
		l.stopRunning(task)
		return
	case task.state == taskTerminating:
		l.outcomes.fenceAll(task)
		l.removeIfResolved(task)
		return
	}
	l.requests.withdraw(task)
	if inFlightAttempt := task.attempts.inFlightAttempt; inFlightAttempt != nil {
		// An attempt cannot be cancelled at the node. Its outcome becomes unknown, and the attempt is fenced
		// at once.
		l.attempts.abandon(inFlightAttempt, placer.Cancelled)
	}
	l.tasks.setState(task, taskWaiting)
	l.settleUnplaced(task, outcomeFailed, "deleted before it was placed")
}

// stopRunning orders the node of a running task to stop the task. It does nothing if the task is not running.
func (l *taskLifecycle) stopRunning(task *task) {
	if runningAttempt := task.attempts.runningAttempt; runningAttempt != nil {
		l.emitStopTask(runningAttempt.node, task.podIdentity, runningAttempt.number)
	}
}

// migrate stops a running task that the placer has decided to move to another node. The Job of the task
// starts it again.
func (l *taskLifecycle) migrate(id placer.TaskID) {
	request := l.requests.get(id)
	if request == nil {
		return
	}
	task := request.task
	runningAttempt := task.attempts.runningAttempt
	if runningAttempt == nil || runningAttempt.request != request {
		return
	}
	l.stopForRestart(task, stopMigrated)
}

// stopForRestart stops a running task that its Job will start again. It does nothing if the task is already
// being stopped.
func (l *taskLifecycle) stopForRestart(task *task, reason stopReason) {
	if !task.isStopping() {
		task.stopReason = reason
		l.stopRunning(task)
	}
}
