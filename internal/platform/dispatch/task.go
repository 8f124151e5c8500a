package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// migrationConfirmTimeout is how long a node may take to confirm that it stopped a task for a migration. If
// the node takes longer, the task is assumed to have ended by itself.
const migrationConfirmTimeout placer.Seconds = 0.4

// causeLost is the cause in a notification that a task was lost together with its node.
const causeLost = protocol.CauseLost

// taskController manages tasks from their start to their end. It changes the state of a request together with
// the state of the attempt of the request, and notifies the client. It has no state of its own.
type taskController struct {
	*sharedState
	clients  *clientRegistry
	requests *requestTable
	attempts *attemptTable
	notifier *notifier
}

// handleAcceptance handles the message with which a node accepts an attempt in time: it answers the client
// and records that the task runs. The answer contains the given body.
func (t *taskController) handleAcceptance(attempt *Attempt, body string) {
	req := attempt.request
	t.attempts.markRunning(attempt)
	t.requests.markRunning(req)
	answer := replyTo(&req.message, protocol.Running, noCause)
	answer.Body = body
	t.clients.send(req.connID, answer)
	t.attempts.postAttemptBound(attempt)
}

// endTask ends a running task and notifies the client, except in two cases. In state requestStopping, the
// client requested the stop or was already notified. In state requestMigrating, the client is not notified if
// the node has confirmed that it stopped the task for the migration.
func (t *taskController) endTask(attempt *Attempt, outcome attemptOutcome, cause protocol.Cause) {
	req := attempt.request
	unconfirmedMigration := req.state == requestMigrating && cause != protocol.CauseCancelled
	notifyClient := !req.state.isFinal() || unconfirmedMigration
	t.attempts.remove(attempt)
	t.counts.TasksEnded++
	if outcome.result == placer.Lost {
		t.counts.TasksLost++
	}
	t.requests.transition(req, requestTerminated)
	if notifyClient {
		t.notifier.notify(req, replyTo(&req.message, protocol.Stop, cause))
	}
	t.attempts.postAttemptEnded(attempt, outcome)
	t.requests.remove(req)
}

// endLostTask ends a running task that was lost together with its node.
func (t *taskController) endLostTask(attempt *Attempt) {
	t.endTask(attempt, attemptOutcome{result: placer.Lost}, causeLost)
}

// endUnansweredRequest ends a request if the node reports the end of the task before the Running message of
// the node has arrived. The reason that the node gives proves that the task has run: the node evicted or
// preempted the task, or is draining. A node that has not accepted a task rejects the task for lack of
// capacity instead. The client is notified of the end of the task and may send a new request. The placer must
// not make another attempt, because that attempt would start the task again under the ID of a task that has
// already ended.
func (t *taskController) endUnansweredRequest(attempt *Attempt, outcome attemptOutcome, cause protocol.Cause) {
	req := attempt.request
	t.counts.TasksLost++
	t.requests.close(req, requestTerminated)
	t.clients.sendAnswer(req, replyTo(&req.message, protocol.Stop, cause))
	t.attempts.postAttemptBound(attempt)
	t.attempts.postAttemptEnded(attempt, outcome)
	t.requests.remove(req)
}

// migrateTask asks the client of a running task to request a new placement of the task, and asks the node to
// stop the task.
func (t *taskController) migrateTask(req *request) {
	attempt := req.runningAttempt()
	if attempt == nil || req.state.isFinal() {
		return
	}
	t.counts.Migrations++
	t.requests.transition(req, requestMigrating)
	t.notifier.notify(req, replyTo(&req.message, protocol.Migrate, noCause))
	t.requestStop(attempt, protocol.CauseCancelled)
}

// notifyUnconfirmedMigration tells the client of a migrating task that the task has ended, unless the node
// has confirmed that it stopped the task for the migration. The notification is needed because the task may
// have ended by itself while the Migrate message was in transit. In that case the client ignores the Migrate
// message.
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
	if attempt.request.state.isFinal() {
		return
	}
	t.requests.transition(attempt.request, requestStopping)
	t.requestStop(attempt, cause)
}

// stopTasksOn implements Core.NodeUnresponsive: it stops the tasks that run on an unresponsive node. It
// skips the tasks that the node was already asked to stop, and returns the number of the other tasks.
func (t *taskController) stopTasksOn(node *Node) (stoppedTasks int) {
	for _, attempt := range node.runningAttemptsByTaskID() {
		if attempt.stopSent {
			continue
		}
		stoppedTasks++
		t.counts.TasksLost++
		req := attempt.request
		if !req.state.isFinal() {
			t.requests.transition(req, requestStopping)
			t.notifier.notify(req, replyTo(&req.message, protocol.Stop, causeLost))
		}
		t.requestStop(attempt, protocol.CauseCancelled)
	}
	return stoppedTasks
}

// requestStop asks the node of a running task to stop the task. The task ends when the node confirms that it
// stopped the task, or when notificationRetention has passed.
func (t *taskController) requestStop(attempt *Attempt, cause protocol.Cause) {
	if !attempt.stopSent {
		t.awaitStopConfirmation(attempt)
	}
	t.attempts.sendStop(attempt, cause, false)
}

// awaitStopConfirmation sets the timers that limit how long the core waits for a node to confirm that it
// stopped a running task.
func (t *taskController) awaitStopConfirmation(attempt *Attempt) {
	if attempt.request.state == requestMigrating {
		t.timers.Add(t.now+migrationConfirmTimeout, func() { t.notifyUnconfirmedMigration(attempt) })
	}
	t.attempts.setTimer(attempt, t.now+notificationRetention, func() {
		t.endTask(attempt, attemptOutcome{result: placer.Cancelled}, protocol.CauseCancelled)
	})
}
