package dispatch

import (
	"container/list"
	"strconv"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// lateAnswerRetention is how long an abandoned attempt is kept after the client has stopped querying the
// nodes for the task. A client queries the nodes for a task if the outcome of an attempt is unknown.
const lateAnswerRetention placer.Seconds = 5.0

// stopOrderRetention is how long an order to stop a task is still sent to its node after the wait for the
// node's confirmation was given up. It is as long as a terminated node is kept.
const stopOrderRetention = terminatedNodeRetention

// attemptTable owns the attempts about which nodes may still send messages. It changes their states and
// reports their outcomes to the placer.
type attemptTable struct {
	*sharedState
	nodes    *nodeRegistry
	checks   *nodeChecks
	arrivals *arrivalQueue
	quota    *adoptionQuota

	byKey map[attemptKey]*Attempt
	// abandoned contains the attempts in state attemptAbandoned that are kept, the oldest first. Their number is
	// limited: clients that take back their requests could otherwise make it grow without end.
	abandoned *list.List
	// abandonedByID contains the latest attempt in abandoned for each task ID.
	abandonedByID      map[protocol.ID]*Attempt
	illegalTransitions int // illegalTransitions counts the transitions that attemptStates does not allow.
}

func newAttemptTable(shared *sharedState, nodes *nodeRegistry, checks *nodeChecks, arrivals *arrivalQueue) *attemptTable {
	return &attemptTable{arrivals: arrivals, sharedState: shared, nodes: nodes, checks: checks, quota: newAdoptionQuota(shared), byKey: map[attemptKey]*Attempt{}, abandoned: list.New(), abandonedByID: map[protocol.ID]*Attempt{}}
}

// get returns the attempt with the given key, or nil if the table contains no such attempt.
func (t *attemptTable) get(key attemptKey) *Attempt { return t.byKey[key] }

// start carries out a StartAttempt action of the placer: it creates an attempt and adds the effect that sends
// the attempt. If the attempt must not be sent, the placer receives an event that reports the attempt as
// expired.
func (t *attemptTable) start(req *request, action *placer.Action) {
	attempt := &Attempt{
		Node:      action.Node,
		Message:   req.launchMessage(),
		request:   req,
		expiresAt: action.Until,
		createdAt: t.now,
	}
	if action.Until <= 0 || action.Until > req.deadline {
		attempt.expiresAt = req.deadline
	}
	req.addAttempt(attempt)
	t.arrivals.attemptStarted(req.connID)
	t.counts.Attempts++
	if !t.canStart(attempt) {
		t.transition(attempt, attemptAbandoned)
		t.postAttemptEnded(attempt, attemptOutcome{result: placer.Expired})
		return
	}
	t.byKey[attempt.key()] = attempt
	t.setTimer(attempt, attempt.expiresAt, func() { t.expire(attempt) })
	t.addEffect(Effect{Kind: SendAttempt, Attempt: attempt})
}

// canStart reports whether a new attempt may be sent. The caller must already have added the attempt to its
// request.
func (t *attemptTable) canStart(attempt *Attempt) bool {
	req := attempt.request
	if req.state.isFinal() || attempt.expiresAt <= t.now {
		return false
	}
	return len(req.attempts) <= t.settings.Placer.Attempts.Max && t.nodes.get(attempt.Node) != nil
}

// addAdopted adds an attempt for a task that already runs on a node, according to the given client.
func (t *attemptTable) addAdopted(req *request, node placer.NodeID, client *clientConn) *Attempt {
	attempt := &Attempt{
		Node:         node,
		Message:      req.launchMessage(),
		request:      req,
		state:        attemptRunning,
		createdAt:    t.now,
		runningSince: t.now,
	}
	req.addAttempt(attempt)
	t.quota.add(client, attempt)
	t.byKey[attempt.key()] = attempt
	t.nodes.addRunningAttempt(attempt)
	return attempt
}

// verify records that the node of an attempt has sent a message about the task, so that an adopted task exists.
func (t *attemptTable) verify(attempt *Attempt) { t.quota.remove(attempt) }

// expire ends an attempt that was not answered before its expiry time.
func (t *attemptTable) expire(attempt *Attempt) {
	if attempt.state == attemptPending { // The connection to the node was not established in time.
		t.endUnsent(attempt, placer.Unreachable)
		return
	}
	t.abandon(attempt, placer.TimedOut, true)
}

// prepareSend implements Core.PrepareSend. It changes a pending attempt to attemptSent, or ends the attempt
// if the attempt can no longer be sent.
func (t *attemptTable) prepareSend(attempt *Attempt) bool {
	if attempt.state != attemptPending {
		return false
	}
	node := t.nodes.get(attempt.Node)
	if node == nil || node.State != placer.Ready || attempt.expiresAt <= t.now {
		t.endUnsent(attempt, placer.Expired)
		return false
	}
	leftMS := int((attempt.expiresAt - t.now) * millisecondsPerSecond)
	attempt.Message.Set(protocol.TimeLeft, strconv.Itoa(max(leftMS, 1)))
	t.transition(attempt, attemptSent)
	return true
}

// handleConnectFailure ends an attempt that was not sent because no connection to its node could be
// established.
func (t *attemptTable) handleConnectFailure(attempt *Attempt) {
	if attempt.state != attemptPending {
		return
	}
	t.counts.ConnectFailures++
	t.endUnsent(attempt, placer.Unreachable)
}

// handleConnectionLoss abandons an attempt if its connection to the node closed before the node answered.
func (t *attemptTable) handleConnectionLoss(attempt *Attempt) {
	if attempt.state != attemptSent {
		return
	}
	t.counts.ConnectionsLost++
	t.transition(attempt, attemptAbandoned) // The node detects the closed connection and needs no Stop message.
	t.retainAbandoned(attempt)
	t.postAttemptEnded(attempt, attemptOutcome{result: placer.Lost})
}

// handleUnresponsiveNode abandons an attempt if its node does not answer on the connection of the attempt. The
// connection stays open, so the node is told that the attempt was given up.
func (t *attemptTable) handleUnresponsiveNode(attempt *Attempt) {
	if attempt.state != attemptSent {
		return
	}
	t.counts.ConnectionsLost++
	t.abandon(attempt, placer.Lost, false)
}

// markRunning changes the state of an attempt to attemptRunning, after the node has accepted the attempt.
func (t *attemptTable) markRunning(attempt *Attempt) {
	t.timers.Stop(attempt.timer)
	t.transition(attempt, attemptRunning)
	attempt.runningSince = t.now
	t.counts.Bound++
	t.nodes.addRunningAttempt(attempt)
}

// endUnsent ends an attempt that was never sent.
func (t *attemptTable) endUnsent(attempt *Attempt, result placer.Result) {
	t.remove(attempt)
	if result == placer.Expired {
		t.counts.Expired++
	}
	t.postAttemptEnded(attempt, attemptOutcome{result: result})
}

// abandonLastAttempt abandons the last attempt of a request if that attempt is unanswered.
func (t *attemptTable) abandonLastAttempt(req *request, result placer.Result) {
	if lastAttempt := req.lastAttempt(); lastAttempt != nil && lastAttempt.Unanswered() {
		t.abandon(lastAttempt, result, false)
	}
}

// abandon ends an unanswered attempt. If the attempt was sent, the node receives a Stop message, and an
// answer that arrives afterwards is treated as late. The parameter timedOut is set if the expiry timer of the
// attempt has fired.
func (t *attemptTable) abandon(attempt *Attempt, result placer.Result, timedOut bool) {
	if attempt.state == attemptPending {
		t.endUnsent(attempt, placer.Expired)
		return
	}
	if timedOut {
		t.counts.TimedOut++
	}
	t.transition(attempt, attemptAbandoned)
	t.retainAbandoned(attempt)
	t.sendGiveUp(attempt, timedOut)
	t.postAttemptEnded(attempt, attemptOutcome{result: result})
}

// sendGiveUp adds the effect that tells the node of an attempt that the scheduler has given the attempt up.
func (t *attemptTable) sendGiveUp(attempt *Attempt, timedOut bool) {
	t.addEffect(Effect{
		Kind:     SendToNode,
		Attempt:  attempt,
		Message:  replyTo(&attempt.request.message, protocol.Stop, protocol.CauseEnd),
		TimedOut: timedOut,
	})
}

// orderStop orders the node of a running task to stop the task, and sends a check after the order.
func (t *attemptTable) orderStop(attempt *Attempt, cause protocol.Cause) {
	attempt.stopOrdered = true
	attempt.stopCause = cause
	t.checks.request(attempt)
}

// abandonRunning gives up the wait for a node to confirm that it stopped a running task. The order to stop
// the task is still sent on the next connection to the node, for stopOrderRetention at most.
func (t *attemptTable) abandonRunning(attempt *Attempt) {
	t.counts.StopsUnconfirmed++
	t.nodes.removeRunningAttempt(attempt)
	t.transition(attempt, attemptAbandoned)
	t.keepAbandoned(attempt, stopOrderRetention)
}

// retainAbandoned sets a timer that removes an abandoned attempt. When the timer fires, the node is no longer
// expected to send messages about the attempt.
func (t *attemptTable) retainAbandoned(attempt *Attempt) {
	t.keepAbandoned(attempt, t.settings.Placer.Retry.UnknownOutcomeWait+lateAnswerRetention)
}

// mayRunUnder reports whether a task that must not be started twice may run under the given ID, because an attempt
// to start it was given up and its node has not answered.
func (t *attemptTable) mayRunUnder(id protocol.ID) bool {
	attempt := t.abandonedByID[id]
	return attempt != nil && t.settings.Placer.Classes[attempt.request.class].Idempotency == placer.NonIdempotent
}

// keepAbandoned keeps an abandoned attempt for the given time. If too many are kept, it drops the oldest one: a
// late message of its node then counts as one about an unknown task.
func (t *attemptTable) keepAbandoned(attempt *Attempt, retention placer.Seconds) {
	t.timers.Stop(attempt.timer)
	t.setTimer(attempt, t.now+retention, func() { t.remove(attempt) })
	attempt.abandonedEntry = t.abandoned.PushBack(attempt)
	t.abandonedByID[attempt.request.message.ID] = attempt
	if t.abandoned.Len() > t.limits.AbandonedAttempts {
		t.counts.AbandonedDropped++
		t.remove(t.abandoned.Front().Value.(*Attempt))
	}
}

// setTimer sets the timer of an attempt. The timer is stopped when the attempt is removed from the table.
func (t *attemptTable) setTimer(attempt *Attempt, at placer.Seconds, run func()) {
	attempt.timer = t.timers.Add(at, run)
}

// remove removes an attempt from the table. It is called when no further messages of the node about the
// attempt are expected.
func (t *attemptTable) remove(attempt *Attempt) {
	t.timers.Stop(attempt.timer)
	if key := attempt.key(); t.byKey[key] == attempt {
		delete(t.byKey, key)
	}
	if attempt.abandonedEntry != nil {
		t.abandoned.Remove(attempt.abandonedEntry)
		attempt.abandonedEntry = nil
		if id := attempt.request.message.ID; t.abandonedByID[id] == attempt {
			delete(t.abandonedByID, id)
		}
	}
	t.checks.cancel(attempt)
	t.quota.remove(attempt)
	t.nodes.removeRunningAttempt(attempt)
	t.transition(attempt, attemptTerminated)
}

// transition changes the state of an attempt.
func (t *attemptTable) transition(attempt *Attempt, next attemptState) {
	wasUnanswered := attempt.Unanswered()
	attemptStates.transition(&attempt.state, next, &t.illegalTransitions)
	if wasUnanswered && !attempt.Unanswered() {
		t.arrivals.attemptAnswered(attempt.request.connID)
	}
}

// postAttemptEnded reports to the placer how an attempt ended.
func (t *attemptTable) postAttemptEnded(attempt *Attempt, outcome attemptOutcome) {
	t.postEvent(placer.Event{
		Kind:    placer.Ended,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Result:  outcome.result,
		Reason:  outcome.reason,
		Elapsed: attempt.Age(t.now),
		Final:   attempt.request.state.isFinal(),
		Report:  outcome.report,
	})
}

// postAttemptBound reports to the placer that a node has accepted an attempt.
func (t *attemptTable) postAttemptBound(attempt *Attempt) {
	t.postEvent(placer.Event{
		Kind:    placer.Bound,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Elapsed: attempt.Age(t.now),
	})
}
