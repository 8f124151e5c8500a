package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// stoppingMessage is the reason why tasks are not placed once Stop was called: those that wait then (stopAll), and those that a Job starts
// later (jobStarter.startTask).
const stoppingMessage = "the scheduler stops"

// stopAll implements Engine.Stop: every task that the placer does not know yet gets its final outcome, and no request is retried.
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

// withdrawQueuedRequest cancels a request that waits for admission while the engine stops. No timer of the task is pending then, so if the
// outcome of an earlier attempt is unknown, the next step must be decided here.
func (l *taskLifecycle) withdrawQueuedRequest(task *task) {
	l.requests.withdraw(task)
	if task.attempts.hasUnknownOutcome() {
		l.retryOrSettle(task, retry.Shed, 0)
		return
	}
	l.tasks.setState(task, taskWaiting)
}

// stop ends a task, whatever its state. A running task ends when its node has answered.
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
		// The attempt cannot be cancelled at the node: its outcome becomes unknown, and it is fenced at once.
		l.attempts.abandon(inFlight, placer.Cancelled)
	}
	l.tasks.setState(task, taskWaiting)
	l.settleUnplaced(task, outcomeFailed, "deleted before it was placed")
}

// stopRunning orders the node of a running task to stop it. It does nothing if the task does not run.
func (l *taskLifecycle) stopRunning(task *task) {
	if running := task.attempts.running; running != nil {
		l.emitStopTask(running.node, task.podIdentity, running.number)
	}
}

// migrate carries out the placer's decision to move a running task: it is stopped, and its Job starts it again.
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

// stopForRestart stops a running task, which its Job starts again. It does nothing if the task is to stop already.
func (l *taskLifecycle) stopForRestart(task *task, reason stopReason) {
	if !task.isStopping() {
		task.stopReason = reason
		l.stopRunning(task)
	}
}
