package dispatch

import (
	"strconv"

	"heathshed/internal/control/timerqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// lateAnswerRetention is for how long an abandoned attempt is kept beyond the time in which clients look for tasks with an unknown outcome.
const lateAnswerRetention = 5.0

// NodeConnID is the caller's number of a connection to a node; 0 is none.
type NodeConnID uint64

// Attempt is one attempt to start a task on a node.
type Attempt struct {
	Node    placer.NodeID
	Message protocol.Message // the request as it goes to the node
	// Conn is set by the caller: the connection that the attempt was sent on, 0 until then.
	Conn NodeConnID

	request      *request
	number       int // among the attempts of its request, from 0
	state        attemptState
	expiresAt    float64 // it is abandoned if it has no answer by then
	createdAt    float64 // when the placer asked for it
	runningSince float64 // when the node's answer came, or when the task was adopted
	timer        *timerqueue.Timer[float64]
	stopSent     bool // the node was told to stop the task
}

// Live reports whether the attempt waits for its answer or runs the task.
func (a *Attempt) Live() bool { return a.state.live() }

// Client returns the connection that the request came on.
func (a *Attempt) Client() ConnID { return a.request.conn }

// Pending reports whether the attempt is still to be sent.
func (a *Attempt) Pending() bool { return a.state == attemptPending }

// Age returns the seconds since the placer asked for the attempt.
func (a *Attempt) Age(now float64) float64 { return now - a.createdAt }

// Unanswered reports whether the attempt waits for its connection or its answer.
func (a *Attempt) Unanswered() bool { return a.state.unanswered() }

func (a *Attempt) key() attemptKey { return attemptKey{a.Node, a.request.message.ID} }

// attemptKey identifies an attempt in messages of nodes.
type attemptKey struct {
	node placer.NodeID
	id   protocol.ID
}

// transitionAttempt moves an attempt to its next state. Like transition it goes on after an illegal one, and counts it.
func (c *Core) transitionAttempt(attempt *Attempt, next attemptState) {
	if !attempt.state.canBecome(next) {
		c.illegalTransitions++
	}
	attempt.state = next
}

// startAttempt begins an attempt, or reports it as expired if it cannot be sent any more.
func (c *Core) startAttempt(req *request, action *placer.Action) {
	attempt := &Attempt{
		Node:      action.Node,
		Message:   req.launchMessage(),
		request:   req,
		number:    len(req.attempts),
		expiresAt: float64(action.Until),
		createdAt: c.now,
	}
	if action.Until <= 0 || float64(action.Until) > req.deadline {
		attempt.expiresAt = req.deadline
	}
	req.attempts = append(req.attempts, attempt)
	c.Counts.Attempts++
	if !c.canStart(attempt) {
		c.transitionAttempt(attempt, attemptAbandoned)
		c.postAttemptEnded(attempt, outcome{result: placer.Expired})
		return
	}
	c.attempts[attempt.key()] = attempt
	attempt.timer = c.timers.Add(attempt.expiresAt, func() { c.expireAttempt(attempt) })
	c.emit(Effect{Kind: SendAttempt, Attempt: attempt})
}

// canStart reports whether a new attempt, the last of its request, may be sent.
func (c *Core) canStart(attempt *Attempt) bool {
	req := attempt.request
	if req.state.closed() || attempt.expiresAt <= c.now {
		return false
	}
	return len(req.attempts) <= c.settings.Placer.Attempts.Max && c.nodes.get(attempt.Node) != nil
}

// expireAttempt ends an attempt that has no answer in time.
func (c *Core) expireAttempt(attempt *Attempt) {
	if attempt.state == attemptPending { // its connection did not come up in time
		c.endUnsentAttempt(attempt, placer.Unreachable)
		return
	}
	c.abandonAttempt(attempt, placer.TimedOut, true)
}

// PrepareSend checks an attempt again before its first byte goes out, and sets the time that the node may take. If it returns false, the
// attempt must not be sent, and has ended.
func (c *Core) PrepareSend(now float64, attempt *Attempt) bool {
	c.setTime(now)
	if attempt.state != attemptPending {
		return false
	}
	node := c.nodes.get(attempt.Node)
	if node == nil || node.State != placer.Ready || attempt.expiresAt <= c.now {
		c.endUnsentAttempt(attempt, placer.Expired)
		c.runEvents()
		return false
	}
	leftMS := int((attempt.expiresAt - c.now) * 1000)
	attempt.Message.Set(protocol.TimeLeft, strconv.Itoa(max(leftMS, 1)))
	c.transitionAttempt(attempt, attemptSent)
	return true
}

// ConnectFailed reports that no connection came up for an attempt, so that it was not sent.
func (c *Core) ConnectFailed(now float64, attempt *Attempt) {
	c.setTime(now)
	if attempt.state != attemptPending {
		return
	}
	c.Counts.ConnectFailures++
	c.endUnsentAttempt(attempt, placer.Unreachable)
	c.runEvents()
}

// ConnectionLost reports that the connection ended that an attempt was sent on. The outcome of the attempt is unknown.
func (c *Core) ConnectionLost(now float64, attempt *Attempt) {
	c.setTime(now)
	if attempt.state != attemptSent {
		return
	}
	c.Counts.ConnectionsLost++
	c.transitionAttempt(attempt, attemptAbandoned) // the node needs no Stop: the end of the connection tells it
	c.retainAttempt(attempt)
	c.postAttemptEnded(attempt, outcome{result: placer.Lost})
	c.runEvents()
}

// endUnsentAttempt ends an attempt that was not sent.
func (c *Core) endUnsentAttempt(attempt *Attempt, result placer.Result) {
	c.removeAttempt(attempt)
	if result == placer.Expired {
		c.Counts.Expired++
	}
	c.postAttemptEnded(attempt, outcome{result: result})
}

// abandonAttempt ends an attempt without an answer. Its node is told to stop the task if the attempt was sent; an answer is late from now on.
func (c *Core) abandonAttempt(attempt *Attempt, result placer.Result, timedOut bool) {
	if attempt.state == attemptPending {
		c.endUnsentAttempt(attempt, placer.Expired)
		return
	}
	if timedOut {
		c.Counts.TimedOut++
	}
	c.transitionAttempt(attempt, attemptAbandoned)
	c.retainAttempt(attempt)
	c.stopTask(attempt, protocol.CauseEnd, timedOut)
	c.postAttemptEnded(attempt, outcome{result: result})
}

// retainAttempt keeps an abandoned attempt for as long as its node may send messages about it.
func (c *Core) retainAttempt(attempt *Attempt) {
	c.timers.Stop(attempt.timer)
	retention := float64(c.settings.Placer.Retry.UnknownOutcomeWait) + lateAnswerRetention
	attempt.timer = c.timers.Add(c.now+retention, func() { c.removeAttempt(attempt) })
}

// removeAttempt removes an attempt about which no more messages are expected.
func (c *Core) removeAttempt(attempt *Attempt) {
	c.timers.Stop(attempt.timer)
	if key := attempt.key(); c.attempts[key] == attempt {
		delete(c.attempts, key)
	}
	c.nodes.taskEnded(attempt)
	c.transitionAttempt(attempt, attemptTerminated)
}

// outcome is how an attempt ended, with the reason and the load report that the node gave.
type outcome struct {
	result placer.Result
	reason placer.Reason
	report *placer.Report // nil if the node sent none
}

// postAttemptEnded tells the placer how an attempt ended.
func (c *Core) postAttemptEnded(attempt *Attempt, ended outcome) {
	c.post(placer.Event{
		Kind:    placer.Ended,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Result:  ended.result,
		Reason:  ended.reason,
		Elapsed: placer.Seconds(attempt.Age(c.now)),
		Final:   attempt.request.state.closed(),
		Report:  ended.report,
	})
}

// postBound tells the placer that a node accepted an attempt.
func (c *Core) postBound(attempt *Attempt) {
	c.post(placer.Event{
		Kind:    placer.Bound,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Elapsed: placer.Seconds(attempt.Age(c.now)),
	})
}
