package dispatch

import (
	"strconv"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// lateAnswerRetention is the time for which an abandoned attempt is kept after clients have stopped looking for tasks with an unknown outcome.
const lateAnswerRetention placer.Seconds = 5.0

// attemptTable owns the attempts about which nodes may still send messages, moves them from state to state, and reports their outcomes to the
// placer.
type attemptTable struct {
	*environment
	nodes *nodeRegistry

	byKey              map[attemptKey]*Attempt
	illegalTransitions int // see stateTable.transition
}

func newAttemptTable(env *environment, nodes *nodeRegistry) *attemptTable {
	return &attemptTable{environment: env, nodes: nodes, byKey: map[attemptKey]*Attempt{}}
}

// get returns an attempt, or nil if there is none.
func (t *attemptTable) get(key attemptKey) *Attempt { return t.byKey[key] }

// start starts an attempt, or reports it as expired if it can no longer be sent.
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
	t.counts.Attempts++
	if !t.canStart(attempt) {
		t.transition(attempt, attemptAbandoned)
		t.postEnded(attempt, outcome{result: placer.Expired})
		return
	}
	t.byKey[attempt.key()] = attempt
	t.setTimer(attempt, attempt.expiresAt, func() { t.expire(attempt) })
	t.emit(Effect{Kind: SendAttempt, Attempt: attempt})
}

// canStart reports whether a new attempt, the last of its request, may be sent.
func (t *attemptTable) canStart(attempt *Attempt) bool {
	req := attempt.request
	if req.state.closed() || attempt.expiresAt <= t.now {
		return false
	}
	return len(req.attempts) <= t.settings.Placer.Attempts.Max && t.nodes.get(attempt.Node) != nil
}

// adopt adds the attempt of a task that runs on a node already.
func (t *attemptTable) adopt(req *request, node placer.NodeID) *Attempt {
	attempt := &Attempt{
		Node:         node,
		Message:      req.launchMessage(),
		request:      req,
		state:        attemptRunning,
		createdAt:    t.now,
		runningSince: t.now,
	}
	req.addAttempt(attempt)
	t.byKey[attempt.key()] = attempt
	t.nodes.taskStarted(attempt)
	return attempt
}

// expire ends an attempt that was not answered in time.
func (t *attemptTable) expire(attempt *Attempt) {
	if attempt.state == attemptPending { // its connection was not established in time
		t.endUnsent(attempt, placer.Unreachable)
		return
	}
	t.abandon(attempt, placer.TimedOut, true)
}

// prepareSend moves an attempt to attemptSent, or ends it; see Core.PrepareSend.
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

// connectFailed ends an attempt that was not sent because no connection could be established.
func (t *attemptTable) connectFailed(attempt *Attempt) {
	if attempt.state != attemptPending {
		return
	}
	t.counts.ConnectFailures++
	t.endUnsent(attempt, placer.Unreachable)
}

// connectionLost abandons an attempt whose connection ended before its answer arrived.
func (t *attemptTable) connectionLost(attempt *Attempt) {
	if attempt.state != attemptSent {
		return
	}
	t.counts.ConnectionsLost++
	t.transition(attempt, attemptAbandoned) // the node needs no Stop: it sees that the connection has ended
	t.retain(attempt)
	t.postEnded(attempt, outcome{result: placer.Lost})
}

// accepted moves an attempt that its node has accepted to attemptRunning.
func (t *attemptTable) accepted(attempt *Attempt) {
	t.timers.Stop(attempt.timer)
	t.transition(attempt, attemptRunning)
	attempt.runningSince = t.now
	t.counts.Bound++
	t.nodes.taskStarted(attempt)
}

// endUnsent ends an attempt that was not sent.
func (t *attemptTable) endUnsent(attempt *Attempt, result placer.Result) {
	t.remove(attempt)
	if result == placer.Expired {
		t.counts.Expired++
	}
	t.postEnded(attempt, outcome{result: result})
}

// abandonLast abandons the latest attempt of a request if it waits for its answer.
func (t *attemptTable) abandonLast(req *request, result placer.Result) {
	if last := req.lastAttempt(); last != nil && last.Unanswered() {
		t.abandon(last, result, false)
	}
}

// abandon ends an attempt without an answer. If the attempt was sent, its node is sent a Stop, and an answer that still arrives is late.
func (t *attemptTable) abandon(attempt *Attempt, result placer.Result, timedOut bool) {
	if attempt.state == attemptPending {
		t.endUnsent(attempt, placer.Expired)
		return
	}
	if timedOut {
		t.counts.TimedOut++
	}
	t.transition(attempt, attemptAbandoned)
	t.retain(attempt)
	t.sendStop(attempt, protocol.CauseEnd, timedOut)
	t.postEnded(attempt, outcome{result: result})
}

// sendStop asks the node of an attempt to stop the task, or not to start it.
func (t *attemptTable) sendStop(attempt *Attempt, cause protocol.Cause, timedOut bool) {
	attempt.stopSent = true
	t.emit(Effect{
		Kind:     SendToNode,
		Attempt:  attempt,
		Message:  replyTo(&attempt.request.message, protocol.Stop, cause),
		TimedOut: timedOut,
	})
}

// retain keeps an abandoned attempt until its node is no longer expected to send messages about it.
func (t *attemptTable) retain(attempt *Attempt) {
	t.timers.Stop(attempt.timer)
	retention := t.settings.Placer.Retry.UnknownOutcomeWait + lateAnswerRetention
	t.setTimer(attempt, t.now+retention, func() { t.remove(attempt) })
}

// setTimer sets the timer of an attempt, which remove stops.
func (t *attemptTable) setTimer(attempt *Attempt, at placer.Seconds, run func()) {
	attempt.timer = t.timers.Add(at, run)
}

// remove removes an attempt about which no further messages are expected.
func (t *attemptTable) remove(attempt *Attempt) {
	t.timers.Stop(attempt.timer)
	if key := attempt.key(); t.byKey[key] == attempt {
		delete(t.byKey, key)
	}
	t.nodes.taskEnded(attempt)
	t.transition(attempt, attemptTerminated)
}

// transition moves an attempt to its next state.
func (t *attemptTable) transition(attempt *Attempt, next attemptState) {
	attemptStates.transition(&attempt.state, next, &t.illegalTransitions)
}

// postEnded reports to the placer how an attempt ended.
func (t *attemptTable) postEnded(attempt *Attempt, ended outcome) {
	t.post(placer.Event{
		Kind:    placer.Ended,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Result:  ended.result,
		Reason:  ended.reason,
		Elapsed: attempt.Age(t.now),
		Final:   attempt.request.state.closed(),
		Report:  ended.report,
	})
}

// postBound reports to the placer that a node accepted an attempt.
func (t *attemptTable) postBound(attempt *Attempt) {
	t.post(placer.Event{
		Kind:    placer.Bound,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Elapsed: attempt.Age(t.now),
	})
}
