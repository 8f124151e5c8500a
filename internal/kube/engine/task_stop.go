package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// stoppingMessage is the message of a task that is not placed because Engine.Stop was called. It is used
// for tasks that are waiting when Stop is called (stopAll), and for tasks that a Job starts later
// (jobStarter.startTask).
const stoppingMessage = "the scheduler stops"

// stopAll implements Engine.Stop. It does not change a task whose placement request is already at the
// placer, or that a node has accepted. A queued or waiting task gets its final outcome. If the outcomes
// of all its attempts are known, it gets the final outcome at once. Otherwise the engine may first wait
// until the unknown outcome of an attempt becomes known. The engine schedules no further retry of a
// placement request.
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

// withdrawQueuedRequest cancels the placement request of a queued task when the engine stops. If the
// outcomes of all attempts of the task are known, the task is waiting afterwards, and stopAll stores its
// final outcome. If an attempt has an unknown outcome, retryOrSettle either sets a timer for the wait for
// this outcome or stores the final outcome of the task. Without the call of retryOrSettle, the task would
// never get a final outcome, because no timer is pending for a queued task.
func (l *taskLifecycle) withdrawQueuedRequest(task *task) {
	l.requests.withdraw(task)
	if task.attempts.hasUnknownOutcome() {
		l.retryOrSettle(task, retry.Shed, 0)
		return
	}
	l.tasks.setState(task, taskWaiting)
}

// stop ends a task in any state. A task that runs on a node ends when the node has answered the stop
// order.
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
		// The engine cannot cancel an attempt at the node. The outcome of the attempt becomes unknown, and
		// the engine fences the attempt at once.
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
// then starts a new task in its place. After Engine.Stop, migrate does nothing, because no Job starts a task.
func (l *taskLifecycle) migrate(id placer.TaskID) {
	request := l.requests.get(id)
	if request == nil || l.stopping {
		return
	}
	task := request.task
	runningAttempt := task.attempts.runningAttempt
	if runningAttempt == nil || runningAttempt.request != request {
		return
	}
	l.stopForRestart(task, stopMigrated)
}

// stopForRestart stops a running task. The Job of the task then starts a new task in its place.
// stopForRestart does nothing if the task is already being stopped.
func (l *taskLifecycle) stopForRestart(task *task, reason stopReason) {
	if !task.isStopping() {
		task.stopReason = reason
		l.stopRunning(task)
	}
}
