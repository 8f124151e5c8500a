package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platformproto"
	"heathshed/internal/simconfig"
	"heathshed/placer"
)

// startAttempt begins an attempt.
func (c *Core) startAttempt(req *request, action *placer.Action) {
	attempt := &Attempt{Node: action.Node, Message: req.launchMessage(), request: req, number: len(req.attempts), expiresAt: action.Until, createdAt: c.now}
	if action.Until <= 0 || action.Until > req.deadline {
		attempt.expiresAt = req.deadline
	}
	req.attempts = append(req.attempts, attempt)
	c.Counts.Attempts++
	if req.closed || attempt.expiresAt <= c.now || len(req.attempts) > c.settings.Placer.MaxAttempts || c.nodes[action.Node] == nil {
		attempt.state = attemptAbandoned
		c.postAttemptEnded(attempt, placer.Expired, placer.NoReason, nil)
		return
	}
	c.attempts[attemptKey{attempt.Node, req.message.ID}] = attempt
	attempt.timer = c.timers.Add(attempt.expiresAt, func() {
		if attempt.state == attemptPending {
			// Its connection did not come up in time: it never left.
			c.endUnsentAttempt(attempt, placer.Unreachable)
			return
		}
		c.abandonAttempt(attempt, placer.TimedOut, true)
	})
	c.effects = append(c.effects, Effect{Kind: SendAttempt, Attempt: attempt})
}

// PrepareSend looks at an offer again before its first byte goes out, and fills in how long it may take. Where it says false the offer must not
// be sent, and nothing more is to be told of it.
func (c *Core) PrepareSend(now float64, attempt *Attempt) bool {
	c.setTime(now)
	if attempt.state != attemptPending {
		return false
	}
	node := c.nodes[attempt.Node]
	if node == nil || node.State != placer.Ready || attempt.expiresAt <= c.now {
		c.endUnsentAttempt(attempt, placer.Expired)
		c.runEvents()
		return false
	}
	attempt.Message.Set(platformproto.TimeLeft, strconv.Itoa(max(int((attempt.expiresAt-c.now)*1000), 1)))
	attempt.state = attemptSent
	return true
}

// ConnectFailed tells that no connection came up for an offer, so that it was never sent.
func (c *Core) ConnectFailed(now float64, attempt *Attempt) {
	c.setTime(now)
	if attempt.state == attemptPending {
		c.Counts.ConnectFailures++
		c.endUnsentAttempt(attempt, placer.Unreachable)
		c.runEvents()
	}
}

// ConnectionLost tells that the connection ended on which an offer was sent. It proves nothing.
func (c *Core) ConnectionLost(now float64, attempt *Attempt) {
	c.setTime(now)
	if attempt.state == attemptSent {
		c.Counts.ConnectionsLost++
		attempt.state = attemptAbandoned // closing gave it up
		c.retainAttempt(attempt)
		c.postAttemptEnded(attempt, placer.Lost, placer.NoReason, nil)
		c.runEvents()
	}
}

// endUnsentAttempt ends an offer that never left.
func (c *Core) endUnsentAttempt(attempt *Attempt, result placer.Result) {
	c.removeAttempt(attempt)
	if result == placer.Expired {
		c.Counts.Expired++
	}
	c.postAttemptEnded(attempt, result, placer.NoReason, nil)
}

// abandonAttempt ends an offer that was not answered. Its machine is told, and what it says afterwards is late.
func (c *Core) abandonAttempt(attempt *Attempt, result placer.Result, timedOut bool) {
	if attempt.state == attemptPending {
		c.endUnsentAttempt(attempt, placer.Expired)
		return
	}
	if timedOut {
		c.Counts.TimedOut++
	}
	attempt.state = attemptAbandoned
	c.retainAttempt(attempt)
	c.stopTask(attempt, platformproto.CauseEnd, timedOut)
	c.postAttemptEnded(attempt, result, placer.NoReason, nil)
}

// retainAttempt remembers an attempt that was given up for as long as its machine may speak of it.
func (c *Core) retainAttempt(attempt *Attempt) {
	c.timers.Stop(attempt.timer)
	attempt.timer = c.timers.Add(c.now+c.settings.Placer.UnknownOutcomeWait+lateAnswerRetention, func() { c.removeAttempt(attempt) })
}

// removeAttempt takes an offer out of all that machines may speak of.
func (c *Core) removeAttempt(attempt *Attempt) {
	c.timers.Stop(attempt.timer)
	if key := (attemptKey{attempt.Node, attempt.request.message.ID}); c.attempts[key] == attempt {
		delete(c.attempts, key)
	}
	if node := c.nodes[attempt.Node]; node != nil {
		delete(node.running, attempt)
	}
	attempt.state = attemptTerminated
}

// postAttemptEnded tells the module how an attempt ended.
func (c *Core) postAttemptEnded(attempt *Attempt, result placer.Result, reason placer.Reason, report *placer.Report) {
	c.post(placer.Event{Kind: placer.Ended, TaskID: attempt.request.taskID, Attempt: attempt.number, Node: attempt.Node, Result: result, Reason: reason,
		Elapsed: c.now - attempt.createdAt, Final: attempt.request.closed, Report: report})
}

// stopTask tells a machine that a task is given up, or is to end. Of one that stood the machine's word is waited for, but not for good.
func (c *Core) stopTask(attempt *Attempt, cause int, timedOut bool) {
	if attempt.state == attemptRunning && !attempt.terminating {
		if attempt.request.migrating {
			c.timers.Add(c.now+migrationConfirmTimeout, func() { c.notifyUnconfirmedMigration(attempt) })
		}
		attempt.timer = c.timers.Add(c.now+notificationRetention, func() { c.endTask(attempt, placer.Cancelled, placer.NoReason, nil, platformproto.CauseCancelled) })
	}
	attempt.terminating = true
	c.effects = append(c.effects, Effect{Kind: SendToNode, Attempt: attempt, TimedOut: timedOut, Message: replyTo(&attempt.request.message, platformproto.Stop, cause)})
}

// ReceiveFromNode takes one message of a machine. What concerns nothing that is known there changes nothing.
func (c *Core) ReceiveFromNode(now float64, nodeID placer.NodeID, msg *platformproto.Message) {
	c.setTime(now)
	attempt := c.attempts[attemptKey{nodeID, msg.ID}]
	if attempt == nil || attempt.state == attemptPending {
		if msg.Kind == platformproto.Running || msg.Kind == platformproto.Stop {
			c.Counts.UnknownTasks++
		}
		if attempt == nil && msg.Kind == platformproto.Stop {
			c.recordEarlyTermination(attemptKey{nodeID, msg.ID}, msg.Cause)
		}
		return
	}
	switch msg.Kind {
	case platformproto.Running:
		c.handleRunning(attempt, msg)
	case platformproto.Stop:
		c.handleStop(attempt, msg)
	case platformproto.Update:
		if kind := slices.Index(usageNotes[:], msg.Get(platformproto.Note)); kind > 0 && attempt.state == attemptRunning && !attempt.request.closed {
			v, _ := strconv.ParseFloat(msg.Get(platformproto.Value), 64)
			c.post(placer.Event{Kind: placer.UsageReported, TaskID: attempt.request.taskID, Attempt: attempt.number, Node: nodeID, Usage: placer.UsageKind(kind), Value: v})
		}
	}
	c.runEvents()
}

var usageNotes = [...]string{"", "up", "cpu", "mem", "share", "tight"}

var stopNotes = [...]string{"", "cpu_full", "mem_full", "busy", "wrong_host", "oom", "preempted", "drained"}

func (c *Core) handleRunning(attempt *Attempt, msg *platformproto.Message) {
	req := attempt.request
	if attempt.state == attemptSent && c.now > req.deadline+c.settings.Placer.AnswerGrace {
		c.abandonAttempt(attempt, placer.TimedOut, false) // its timer is late, the owner waits no longer
	}
	switch attempt.state {
	case attemptSent:
		if msg.Body == "" {
			return // not an answer that could be passed on
		}
		c.timers.Stop(attempt.timer)
		attempt.state, attempt.runningSince = attemptRunning, c.now
		c.Counts.Bound++
		c.Counts.Placed++
		c.openRequests--
		if client := c.clients[req.conn]; client != nil {
			delete(client.openRequests, req)
			client.lastPlacedAt = c.now
		}
		if node := c.nodes[attempt.Node]; node != nil {
			node.running[attempt] = struct{}{}
			if node.State == placer.Terminated {
				c.scheduleTaskExpiry(node) // the list's word was first; no second one will come to end this task
			}
		}
		answer := replyTo(&req.message, platformproto.Running, -1)
		answer.Body = msg.Body
		c.sendToClient(req.conn, answer)
		c.post(placer.Event{Kind: placer.Bound, TaskID: req.taskID, Attempt: attempt.number, Node: attempt.Node, Elapsed: c.now - attempt.createdAt})
	case attemptAbandoned:
		c.Counts.LateAnswers++
		// A copy of a task that may run twice, or one whose owner has gone, holds room for nobody: it is released at once. Of the others
		// the owner asks the machines after a while, and names the scheduler that is to look after what they hold: cutting it meanwhile
		// would undo a start that must not be made again.
		if req.withdrawn || c.settings.Placer.Classes[req.class].Idempotency == placer.Idempotent {
			c.stopTask(attempt, platformproto.CauseEnd, false)
		}
	}
}

func (c *Core) handleStop(attempt *Attempt, msg *platformproto.Message) {
	reason := placer.Reason(max(slices.Index(stopNotes[:], msg.Get(platformproto.Note)), 0))
	report := c.parseLoadReport(msg)
	switch attempt.state {
	case attemptSent:
		c.removeAttempt(attempt)
		switch msg.Cause {
		case platformproto.CauseFull:
			c.Counts.CapacityRejections++
			c.postAttemptEnded(attempt, placer.Rejected, reason, report)
		case platformproto.CauseError:
			c.Counts.NodeErrors++
			c.postAttemptEnded(attempt, placer.Errored, reason, report)
		case platformproto.CauseExpired:
			c.Counts.Expired++
			c.postAttemptEnded(attempt, placer.Expired, reason, report)
		default:
			c.Counts.ConnectionsLost++
			if reason == placer.Evicted || reason == placer.Preempted || reason == placer.Drained {
				c.endAcceptedUnanswered(attempt, msg, reason, report)
				return
			}
			c.postAttemptEnded(attempt, placer.Lost, reason, report)
		}
	case attemptRunning:
		switch msg.Cause {
		case platformproto.CauseEnd:
			c.endTask(attempt, placer.Finished, reason, report, msg.Cause)
		case platformproto.CauseCancelled:
			c.endTask(attempt, placer.Cancelled, reason, report, msg.Cause)
		default:
			c.endTask(attempt, placer.Lost, reason, report, msg.Cause)
		}
	case attemptAbandoned:
		c.removeAttempt(attempt)
		c.recordEarlyTermination(attemptKey{attempt.Node, attempt.request.message.ID}, msg.Cause)
	}
}

// endAcceptedUnanswered ends a set-up whose machine accepted it, though its answer has not come, and then evicted it, pushed it out or sent it away: what it has
// not accepted, a machine hands back as full. The answer was lost or is late, the task has stood and is over, and that is its owner's to know,
// who comes again; another attempt would have a task stand anew under an id that is over.
func (c *Core) endAcceptedUnanswered(attempt *Attempt, msg *platformproto.Message, reason placer.Reason, report *placer.Report) {
	req := attempt.request
	c.Counts.TasksLost++
	c.closeRequest(req)
	if c.clients[req.conn] != nil {
		c.sendToClient(req.conn, replyTo(&req.message, platformproto.Stop, msg.Cause))
	}
	c.post(placer.Event{Kind: placer.Bound, TaskID: req.taskID, Attempt: attempt.number, Node: attempt.Node, Elapsed: c.now - attempt.createdAt})
	c.postAttemptEnded(attempt, placer.Lost, reason, report)
	c.removeRequest(req)
}

// recordEarlyTermination keeps the word of an end for as long as its owner may yet name the task as one that stands here. After a start a machine tells on
// its first connection what ended while nobody was connected, and may be quicker than the owners with their thousands of tasks. A machine may
// say a great many such things, so their number is bounded: the earliest go first.
func (c *Core) recordEarlyTermination(key attemptKey, cause int) {
	if _, known := c.earlyTerminations[key]; known {
		return
	}
	if len(c.earlyTerminationOrder) >= maxEarlyTerminations {
		delete(c.earlyTerminations, c.earlyTerminationOrder[0])
		c.earlyTerminationOrder = c.earlyTerminationOrder[1:]
	}
	c.earlyTerminationOrder = append(c.earlyTerminationOrder, key)
	c.earlyTerminations[key] = earlyTermination{cause, c.now + notificationRetention}
	if len(c.earlyTerminationOrder) == 1 {
		c.timers.Add(c.now+notificationRetention, c.expireEarlyTerminations)
	}
}

// expireEarlyTerminations drops the words of ends that are too old to matter, so that none is held when nothing more comes.
func (c *Core) expireEarlyTerminations() {
	expired := 0
	for expired < len(c.earlyTerminationOrder) && c.earlyTerminations[c.earlyTerminationOrder[expired]].expiresAt <= c.now {
		delete(c.earlyTerminations, c.earlyTerminationOrder[expired])
		expired++
	}
	c.earlyTerminationOrder = slices.Delete(c.earlyTerminationOrder, 0, expired)
	if len(c.earlyTerminationOrder) > 0 {
		c.timers.Add(c.earlyTerminations[c.earlyTerminationOrder[0]].expiresAt, c.expireEarlyTerminations)
	}
}

// notifyUnconfirmedMigration tells the owner of a task that was moved that it is over, where its machine has not confirmed that it ended by the move. When a
// task comes to its end at the moment of the move, its owner takes neither for the release that it is owed: on a day of vanishing machines
// one of 129 moves crossed such an end, and the owner was told of nothing.
func (c *Core) notifyUnconfirmedMigration(attempt *Attempt) {
	if attempt.state == attemptRunning && attempt.request.migrating {
		attempt.request.migrating = false
		c.notifyClient(attempt.request, replyTo(&attempt.request.message, platformproto.Stop, platformproto.CauseCancelled))
	}
}

// endTask closes a task that stood. Its owner is told, but for one that ended it itself, or was told of a move that the machine confirms.
func (c *Core) endTask(attempt *Attempt, result placer.Result, reason placer.Reason, report *placer.Report, cause int) {
	req := attempt.request
	c.removeAttempt(attempt)
	c.Counts.TasksEnded++
	if result == placer.Lost {
		c.Counts.TasksLost++
	}
	if !req.closed || req.migrating && cause != platformproto.CauseCancelled {
		req.closed = true
		c.notifyClient(req, replyTo(&req.message, platformproto.Stop, cause))
	}
	c.postAttemptEnded(attempt, result, reason, report)
	c.removeRequest(req)
}

// parseLoadReport reads a load report, nil if none came.
func (c *Core) parseLoadReport(msg *platformproto.Message) *placer.Report {
	text := msg.Get(platformproto.LoadReport)
	if text == "" {
		return nil
	}
	report := simconfig.NoReport()
	known := false
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if amount, err := strconv.ParseFloat(value, 64); err == nil && slices.Contains(c.settings.ReportFields, name) {
			simconfig.SetReportField(&report, name, amount)
			known = true
		}
	}
	if !known {
		return nil
	}
	return &report
}

// scheduleTaskExpiry takes what stands at a machine that has gone for lost, once it has stayed away for a moment: its own word of its tasks comes by
// its connections and says more than the list's.
func (c *Core) scheduleTaskExpiry(node *Node) {
	if len(node.running) == 0 {
		return
	}
	terminatedAt := node.stateChangedAt
	if node.expiryScheduledFor == terminatedAt {
		return // is looked after
	}
	node.expiryScheduledFor = terminatedAt
	c.timers.Add(max(c.now, terminatedAt+TerminationGrace), func() {
		node.expiryScheduledFor = 0
		if node.State == placer.Terminated && node.stateChangedAt == terminatedAt {
			c.NodeDead(c.now, node.ID)
		}
	})
}

// scheduleNodeRemoval takes a machine that has gone for good out of the books.
func (c *Core) scheduleNodeRemoval(node *Node) {
	if node.removalScheduled {
		return
	}
	node.removalScheduled = true
	c.timers.Add(max(node.stateChangedAt+terminatedNodeRetention, c.now+TerminationGrace), func() {
		node.removalScheduled = false
		switch {
		case node.State != placer.Terminated:
		case len(node.running) > 0 || node.stateChangedAt+terminatedNodeRetention > c.now:
			c.scheduleNodeRemoval(node)
		default:
			delete(c.nodes, node.ID)
		}
	})
}

// NodeDead ends all that stands at a machine whose process has ended, or that has gone.
func (c *Core) NodeDead(now float64, id placer.NodeID) {
	c.setTime(now)
	if node := c.nodes[id]; node != nil {
		for _, attempt := range node.runningAttempts() {
			c.endTask(attempt, placer.Lost, placer.NoReason, nil, causeLost)
		}
	}
	c.runEvents()
}

// NodeUnresponsive gives up all that stands at a machine that says nothing, and returns how much that is. Owners are told at once. But the tasks may
// well run on, if the machine is only cut off: it is told to end them as soon as it can be reached, and the module has them there until it
// says that it did, or for as long as a release is owed. Else it would count a service's room as free that a machine about to come back has in
// use, and break the limit on how many of a service run in one place.
func (c *Core) NodeUnresponsive(now float64, id placer.NodeID) (tasks int) {
	c.setTime(now)
	if node := c.nodes[id]; node != nil {
		for _, attempt := range node.runningAttempts() {
			if attempt.terminating {
				continue
			}
			tasks++
			c.Counts.TasksLost++
			if !attempt.request.closed {
				attempt.request.closed = true
				c.notifyClient(attempt.request, replyTo(&attempt.request.message, platformproto.Stop, causeLost))
			}
			c.stopTask(attempt, platformproto.CauseCancelled, false)
		}
	}
	c.runEvents()
	return tasks
}
