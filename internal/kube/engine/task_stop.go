package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// stoppingMessage says why a task is not placed after Engine.Stop. It applies to tasks that are waiting when
// Stop is called (stopAll), and to tasks that a Job starts later (jobStarter.startTask).
const stoppingMessage = "the scheduler stops"

// stopAll implements Engine.Stop. Every task that the placer does not know yet gets its final outcome, and no
// placement request is retried.
func (l *taskLifecycle) stopAll() {
	l.stopping = true
	for _, task := range l.tasks.inOrder() {
		if task.state == taskQueued {
			l.withdrawQueuedRequest(task)
		}
		if task.state == taskWaiting && !task.attempts.hasUnknownOutcome() {
			l.settleUnplaced(task, task.unplacedOutcome(), stoppingMessage)
		}
	}
}

// withdrawQueuedRequest cancels a placement request that waits for admission when the engine stops. A queued
// task has no pending timer, so withdrawQueuedRequest must also decide on the next step of a task with an
// unknown outcome.
func (l *taskLifecycle) withdrawQueuedRequest(task *task) {
	l.requests.withdraw(task)
	if task.attempts.hasUnknownOutcome() {
		l.retryOrSettle(task, retry.Shed, 0)
		return
	}
	l.tasks.setState(task, taskWaiting)
}

// stop ends a task in any state. A running task ends when its node has answered.
func (l *taskLifecycle) stop(task *task, reason stopReason) {
	if !task.isStopping() {
		task.stopReason = reason
	}
	switch {
	case task.state.onNode():
		l.stopRunning(task)
		return
	case task.state == taskTerminating:
		l.outcomes.fenceAll(task)
		l.removeIfResolved(task)
		return
	}
	l.requests.withdraw(task)
	if inFlight := task.attempts.inFlight; inFlight != nil {
		// An attempt cannot be cancelled at the node. Its outcome becomes unknown, and the attempt is fenced
		// at once.
		l.attempts.abandon(inFlight, placer.Cancelled)
	}
	l.tasks.setState(task, taskWaiting)
	l.settleUnplaced(task, outcomeFailed, "deleted before it was placed")
}

// stopRunning orders the node of a running task to stop the task. It does nothing if the task is not running.
func (l *taskLifecycle) stopRunning(task *task) {
	if running := task.attempts.running; running != nil {
		l.emitStopTask(running.node, task.podIdentity, running.number)
	}
}

// migrate stops a running task that the placer decided to move. The Job of the task starts it again.
func (l *taskLifecycle) migrate(id placer.TaskID) {
	request := l.requests.get(id)
	if request == nil {
		return
	}
	task := request.task
	running := task.attempts.running
	if running == nil || running.request != request {
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
