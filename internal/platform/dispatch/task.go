package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// migrationConfirmTimeout is the time within which a node confirms that it stopped a task for a migration. If it does not, the task has already
// ended by itself.
const migrationConfirmTimeout placer.Seconds = 0.4

// causeLost is the cause in notifications of tasks that ended with their node.
const causeLost = protocol.CauseLost

// taskController takes tasks from their start to their end: it moves a request and its attempt together, and notifies the client. It has no state
// of its own.
type taskController struct {
	*environment
	clients  *clientRegistry
	requests *requestTable
	attempts *attemptTable
	notifier *notifier
}

// start records that a node has accepted a task, and answers the client.
func (t *taskController) start(attempt *Attempt, body string) {
	req := attempt.request
	t.attempts.accepted(attempt)
	t.requests.taskStarted(req)
	answer := replyTo(&req.message, protocol.Running, noCause)
	answer.Body = body
	t.clients.send(req.conn, answer)
	t.attempts.postBound(attempt)
}

// end ends a running task. Its client is notified, unless it stopped the task itself, or was asked to migrate it and the node confirms that.
func (t *taskController) end(attempt *Attempt, ended outcome, cause protocol.Cause) {
	req := attempt.request
	unconfirmedMigration := req.state == requestMigrating && cause != protocol.CauseCancelled
	notify := !req.state.closed() || unconfirmedMigration
	t.attempts.remove(attempt)
	t.counts.TasksEnded++
	if ended.result == placer.Lost {
		t.counts.TasksLost++
	}
	t.requests.transition(req, requestTerminated)
	if notify {
		t.notifier.notify(req, replyTo(&req.message, protocol.Stop, cause))
	}
	t.attempts.postEnded(attempt, ended)
	t.requests.remove(req)
}

// endLost ends a running task that was lost with its node.
func (t *taskController) endLost(attempt *Attempt) {
	t.end(attempt, outcome{result: placer.Lost}, causeLost)
}

// endUnanswered ends a request whose node accepted it and then evicted, preempted or drained the task, while the acceptance was lost or is late.
// (A node rejects for lack of capacity a task that it has not accepted.) The task ran and has ended. Its client is notified of that and may send a
// new request; another attempt would start the task again under an ID that has ended.
func (t *taskController) endUnanswered(attempt *Attempt, ended outcome, cause protocol.Cause) {
	req := attempt.request
	t.counts.TasksLost++
	t.requests.close(req, requestTerminated)
	t.clients.answer(req, replyTo(&req.message, protocol.Stop, cause))
	t.attempts.postBound(attempt)
	t.attempts.postEnded(attempt, ended)
	t.requests.remove(req)
}

// migrate asks the client of a running task to request its placement again, and the node to stop it.
func (t *taskController) migrate(req *request) {
	attempt := req.runningAttempt()
	if attempt == nil || req.state.closed() {
		return
	}
	t.counts.Migrations++
	t.requests.transition(req, requestMigrating)
	t.notifier.notify(req, replyTo(&req.message, protocol.Migrate, noCause))
	t.stop(attempt, protocol.CauseCancelled)
}

// notifyUnconfirmedMigration notifies the client of a migrating task that it has ended, if the node has not confirmed that it stopped it for
// the migration. A task may end by itself while the request to migrate is in transit, and its client then ignores that request.
func (t *taskController) notifyUnconfirmedMigration(attempt *Attempt) {
	req := attempt.request
	if attempt.state != attemptRunning || req.state != requestMigrating {
		return
	}
	t.requests.transition(req, requestStopping)
	t.notifier.notify(req, replyTo(&req.message, protocol.Stop, protocol.CauseCancelled))
}

// stopForClient stops a running task at the request of its client.
func (t *taskController) stopForClient(attempt *Attempt, cause protocol.Cause) {
	if attempt.request.state.closed() {
		return
	}
	t.requests.transition(attempt.request, requestStopping)
	t.stop(attempt, cause)
}

// stopOn stops all tasks that run on an unresponsive node; see Core.NodeUnresponsive.
func (t *taskController) stopOn(node *Node) (stopped int) {
	for _, attempt := range node.runningAttempts() {
		if attempt.stopSent {
			continue
		}
		stopped++
		t.counts.TasksLost++
		req := attempt.request
		if !req.state.closed() {
			t.requests.transition(req, requestStopping)
			t.notifier.notify(req, replyTo(&req.message, protocol.Stop, causeLost))
		}
		t.stop(attempt, protocol.CauseCancelled)
	}
	return stopped
}

// stop asks the node of a running task to stop it. The task ends when the node confirms that, or after notificationRetention.
func (t *taskController) stop(attempt *Attempt, cause protocol.Cause) {
	if !attempt.stopSent {
		t.awaitStop(attempt)
	}
	t.attempts.sendStop(attempt, cause, false)
}

// awaitStop sets the timers for the node's confirmation that it stopped a running task.
func (t *taskController) awaitStop(attempt *Attempt) {
	if attempt.request.state == requestMigrating {
		t.timers.Add(t.now+migrationConfirmTimeout, func() { t.notifyUnconfirmedMigration(attempt) })
	}
	t.attempts.setTimer(attempt, t.now+notificationRetention, func() {
		t.end(attempt, outcome{result: placer.Cancelled}, protocol.CauseCancelled)
	})
}
