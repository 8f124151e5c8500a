package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// stopConfirmTimeout is how long a node may take to confirm that it stopped a task for a migration. It is
	// shorter than the 8 s within which a client must learn that its task has ended: the task may have ended
	// when the order was sent.
	stopConfirmTimeout placer.Seconds = 6.0
	// migratedEndTimeout is how long a node may take to report how a migrated task ended. After this time, the
	// client is notified that the task was stopped.
	migratedEndTimeout placer.Seconds = 0.4
)

// causeLost is the cause in a notification that a task was lost together with its node.
const causeLost = protocol.CauseLost

// taskController manages tasks from their start to their end. It changes the state of a request together with
// the state of the attempt of the request, and notifies the client.
type taskController struct {
	*sharedState
	clients  *clientRegistry
	requests *requestTable
	attempts *attemptTable
	checks   *nodeChecks
	notifier *notifier

	shuttingDown bool // shuttingDown is set when the process will end soon.
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

// endTask ends a running task that has ended on its node, and notifies the client unless the client knows of
// the end already.
func (t *taskController) endTask(attempt *Attempt, outcome attemptOutcome, cause protocol.Cause) {
	req := attempt.request
	t.attempts.remove(attempt)
	t.counts.TasksEnded++
	state := req.state
	if outcome.result == placer.Lost && state != requestStopping { // A task that is being stopped was counted, or its client stops it.
		t.counts.TasksLost++
	}
	t.requests.transition(req, requestTerminated)
	t.notifyOfEnd(req, state, cause)
	t.attempts.postAttemptEnded(attempt, outcome)
	t.requests.remove(req)
}

// notifyOfEnd notifies the client of the end of a task. The parameter state is the state of the request
// before the end, and cause is the cause that the node reported.
func (t *taskController) notifyOfEnd(req *request, state requestState, cause protocol.Cause) {
	stoppedForMigration := cause == protocol.CauseCancelled
	switch {
	case state == requestMigrating && stoppedForMigration:
		t.notifyOfMigration(req)
	case state == requestMigrated && stoppedForMigration:
		// The client has received the Migrate message, and the node confirms it.
	case !state.isFinal() || state == requestMigrated:
		// A client that has received a Migrate message ignores it if the task ended otherwise.
		t.notifier.notify(req, replyTo(&req.message, protocol.Stop, cause))
	}
}

// notifyOfMigration asks the client to request a new placement of a task that its node has stopped.
func (t *taskController) notifyOfMigration(req *request) {
	t.counts.Migrations++
	t.notifier.notify(req, replyTo(&req.message, protocol.Migrate, noCause))
}

// endLostTask ends a running task that was lost together with its node.
//
// The node's process may still run the task, and the client may request it again, so the process is told to stop it.
func (t *taskController) endLostTask(attempt *Attempt) {
	if attempt.NodeConn != 0 && !attempt.connClosed {
		t.addEffect(Effect{Kind: StopLostTask, Attempt: attempt, Message: replyTo(&attempt.request.message, protocol.Stop, protocol.CauseCancelled)})
	}
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

// migrateTask begins the migration of a running task. It first checks that the node can be reached: if it
// cannot, the task keeps running and nothing has to be undone. The node is ordered to stop the task when it
// has answered the check, and the client is asked to request the task again when the node has stopped it.
func (t *taskController) migrateTask(req *request) {
	attempt := req.runningAttempt()
	if attempt == nil || req.state != requestRunning || t.shuttingDown {
		return
	}
	t.requests.transition(req, requestMigrationPlanned)
	t.checks.request(attempt)
}

// beginShutdown ends the migrations whose stop orders were not sent yet, and prevents new ones.
func (t *taskController) beginShutdown() { t.shuttingDown = true }

// handleCheckAnswer handles the answer of a node to the check that was sent for an attempt. If the node was
// ordered to stop the task, it has done so.
func (t *taskController) handleCheckAnswer(attempt *Attempt) {
	if attempt.state != attemptRunning {
		t.attempts.remove(attempt) // The wait for the confirmation was given up before.
		return
	}
	req := attempt.request
	switch req.state {
	case requestMigrationPlanned:
		t.continueMigration(attempt)
	case requestMigrating:
		t.requests.transition(req, requestMigrated)
		t.notifyOfMigration(req)
		t.timers.Stop(attempt.timer)
		t.attempts.setTimer(attempt, t.now+migratedEndTimeout, func() { t.endMigratedTask(attempt) })
	case requestStopping:
		t.endTask(attempt, attemptOutcome{result: placer.Cancelled}, protocol.CauseCancelled)
	}
}

// continueMigration orders the node of a task to stop the task for a migration. It cancels the migration
// instead if the process will end soon.
func (t *taskController) continueMigration(attempt *Attempt) {
	if t.shuttingDown {
		t.requests.transition(attempt.request, requestRunning)
		return
	}
	t.requests.transition(attempt.request, requestMigrating)
	t.timers.Add(t.now+stopConfirmTimeout, func() { t.giveUpMigration(attempt) })
	t.orderStop(attempt, protocol.CauseCancelled)
}

// giveUpMigration tells the client that its task is lost, because the node has not confirmed in time that it
// stopped the task for a migration. The task may have ended or may still run.
func (t *taskController) giveUpMigration(attempt *Attempt) {
	if attempt.state == attemptRunning && attempt.request.state == requestMigrating {
		t.giveUpTask(attempt)
	}
}

// endMigratedTask ends a migrated task whose end the node has not reported. The client is also notified of the
// end: if the task had ended by itself before the node read the stop order, the client ignores the Migrate
// message.
func (t *taskController) endMigratedTask(attempt *Attempt) {
	req := attempt.request
	t.notifier.notify(req, replyTo(&req.message, protocol.Stop, protocol.CauseCancelled))
	t.endTask(attempt, attemptOutcome{result: placer.Cancelled}, protocol.CauseCancelled)
}

// stopForClient stops a running task at the request of its client.
func (t *taskController) stopForClient(attempt *Attempt, cause protocol.Cause) {
	if attempt.request.state.isFinal() {
		return
	}
	t.requests.transition(attempt.request, requestStopping)
	t.orderStop(attempt, cause)
}

// stopTasksOn implements Core.NodeUnresponsive: it gives up the tasks that run on an unresponsive node and
// orders the node to stop them. It skips the tasks of which the clients know already that they are stopped,
// and returns the number of the other tasks.
func (t *taskController) stopTasksOn(node *Node) (stoppedTasks int) {
	for _, attempt := range node.runningAttemptsByTaskID() {
		if attempt.request.state.isFinal() {
			continue
		}
		stoppedTasks++
		t.giveUpTask(attempt)
	}
	return stoppedTasks
}

// giveUpTask tells the client that its task is lost, and orders the node to stop the task, which may still
// run.
func (t *taskController) giveUpTask(attempt *Attempt) {
	req := attempt.request
	t.counts.TasksLost++
	t.requests.transition(req, requestStopping)
	t.notifier.notify(req, replyTo(&req.message, protocol.Stop, causeLost))
	t.orderStop(attempt, protocol.CauseCancelled)
}

// orderStop orders the node of a running task to stop the task, unless the node has the order already. The
// task ends when the node has confirmed that it stopped the task, or when notificationRetention has passed.
func (t *taskController) orderStop(attempt *Attempt, cause protocol.Cause) {
	if attempt.stopOrdered {
		return
	}
	t.attempts.setTimer(attempt, t.now+notificationRetention, func() { t.endUnconfirmedTask(attempt) })
	t.attempts.orderStop(attempt, cause)
}

// withdrawStopOrders withdraws the unconfirmed orders to a node to stop the task with the given key. The
// client was told that the task is lost, has found it running on the node, and requests its adoption.
func (t *taskController) withdrawStopOrders(node placer.NodeID, taskKey string) {
	for _, attempt := range t.checks.attemptsAt(node) {
		if attempt.request.message.Get(protocol.Key) != taskKey {
			continue
		}
		switch {
		case attempt.state == attemptAbandoned:
			t.attempts.remove(attempt)
		case attempt.request.state == requestStopping:
			t.endTask(attempt, attemptOutcome{result: placer.Cancelled}, protocol.CauseCancelled)
		}
	}
}

// dropAdopted drops an adopted task that no node has confirmed, to make room for another one. The client is not
// notified: if the task runs, it runs on.
func (t *taskController) dropAdopted(attempt *Attempt) {
	req := attempt.request
	t.attempts.remove(attempt)
	t.requests.transition(req, requestTerminated)
	t.attempts.postAttemptEnded(attempt, attemptOutcome{result: placer.Cancelled})
	t.requests.remove(req)
}

// endUnconfirmedTask ends a task whose node has not confirmed in time that it stopped the task. The client was
// notified before. The order is kept for the time when the node can be reached again.
func (t *taskController) endUnconfirmedTask(attempt *Attempt) {
	req := attempt.request
	t.counts.TasksEnded++
	t.attempts.abandonRunning(attempt)
	t.requests.transition(req, requestTerminated)
	t.attempts.postAttemptEnded(attempt, attemptOutcome{result: placer.Cancelled})
	t.requests.remove(req)
}
