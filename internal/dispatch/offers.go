package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platformproto"
	"heathshed/internal/simconfig"
	"heathshed/placer"
)

// offer begins an attempt.
func (c *Core) offer(t *task, a *placer.Action) {
	o := &Attempt{Node: a.Node, Message: t.toNode(), t: t, attempt: len(t.offers), until: a.Until, sent: c.now}
	if a.Until <= 0 || a.Until > t.deadline {
		o.until = t.deadline
	}
	t.offers = append(t.offers, o)
	c.Counts.Attempts++
	if t.over || o.until <= c.now || len(t.offers) > c.s.Placer.MaxAttempts || c.nodes[a.Node] == nil {
		o.state = givenUp
		c.done(o, placer.Expired, placer.NoReason, nil)
		return
	}
	c.places[place{o.Node, t.m.ID}] = o
	o.timer = c.timers.Add(o.until, func() {
		if o.state == waiting {
			// Its connection did not come up in time: it never left.
			c.unsent(o, placer.Unreachable)
			return
		}
		c.giveUp(o, placer.TimedOut, true)
	})
	c.out = append(c.out, Effect{Kind: SendAttempt, Attempt: o})
}

// PrepareSend looks at an offer again before its first byte goes out, and fills in how long it may take. Where it says false the offer must not
// be sent, and nothing more is to be told of it.
func (c *Core) PrepareSend(now float64, o *Attempt) bool {
	c.tick(now)
	if o.state != waiting {
		return false
	}
	n := c.nodes[o.Node]
	if n == nil || n.State != placer.Ready || o.until <= c.now {
		c.unsent(o, placer.Expired)
		c.run()
		return false
	}
	o.Message.Set(platformproto.Left, strconv.Itoa(max(int((o.until-c.now)*1000), 1)))
	o.state = out
	return true
}

// ConnectFailed tells that no connection came up for an offer, so that it was never sent.
func (c *Core) ConnectFailed(now float64, o *Attempt) {
	c.tick(now)
	if o.state == waiting {
		c.Counts.ConnectFailures++
		c.unsent(o, placer.Unreachable)
		c.run()
	}
}

// ConnectionLost tells that the connection ended on which an offer was sent. It proves nothing.
func (c *Core) ConnectionLost(now float64, o *Attempt) {
	c.tick(now)
	if o.state == out {
		c.Counts.ConnectionsLost++
		o.state = givenUp // closing gave it up
		c.linger(o)
		c.done(o, placer.Lost, placer.NoReason, nil)
		c.run()
	}
}

// unsent ends an offer that never left.
func (c *Core) unsent(o *Attempt, as placer.Result) {
	c.forget(o)
	if as == placer.Expired {
		c.Counts.Expired++
	}
	c.done(o, as, placer.NoReason, nil)
}

// giveUp ends an offer that was not answered. Its machine is told, and what it says afterwards is late.
func (c *Core) giveUp(o *Attempt, as placer.Result, timedOut bool) {
	if o.state == waiting {
		c.unsent(o, placer.Expired)
		return
	}
	if timedOut {
		c.Counts.TimedOut++
	}
	o.state = givenUp
	c.linger(o)
	c.release(o, platformproto.CauseEnd, timedOut)
	c.done(o, as, placer.NoReason, nil)
}

// linger remembers an attempt that was given up for as long as its machine may speak of it.
func (c *Core) linger(o *Attempt) {
	c.timers.Stop(o.timer)
	o.timer = c.timers.Add(c.now+c.s.Placer.UnknownOutcomeWait+lateFor, func() { c.forget(o) })
}

// forget takes an offer out of all that machines may speak of.
func (c *Core) forget(o *Attempt) {
	c.timers.Stop(o.timer)
	if k := (place{o.Node, o.t.m.ID}); c.places[k] == o {
		delete(c.places, k)
	}
	if n := c.nodes[o.Node]; n != nil {
		delete(n.standing, o)
	}
	o.state = ended
}

// done tells the module how an attempt ended.
func (c *Core) done(o *Attempt, as placer.Result, why placer.Reason, r *placer.Report) {
	c.post(placer.Event{Kind: placer.Ended, TaskID: o.t.id, Attempt: o.attempt, Node: o.Node, Result: as, Reason: why,
		Elapsed: c.now - o.sent, Final: o.t.over, Report: r})
}

// release tells a machine that a task is given up, or is to end. Of one that stood the machine's word is waited for, but not for good.
func (c *Core) release(o *Attempt, cause int, timedOut bool) {
	if o.state == bound && !o.ending {
		if o.t.moved {
			c.timers.Add(c.now+movedWord, func() { c.unmoved(o) })
		}
		o.timer = c.timers.Add(c.now+owedFor, func() { c.end(o, placer.Cancelled, placer.NoReason, nil, platformproto.CauseCancelled) })
	}
	o.ending = true
	c.out = append(c.out, Effect{Kind: SendToNode, Attempt: o, TimedOut: timedOut, Message: reply(&o.t.m, platformproto.Stop, cause)})
}

// ReceiveFromNode takes one message of a machine. What concerns nothing that is known there changes nothing.
func (c *Core) ReceiveFromNode(now float64, node placer.NodeID, m *platformproto.Message) {
	c.tick(now)
	o := c.places[place{node, m.ID}]
	if o == nil || o.state == waiting {
		if m.Kind == platformproto.Running || m.Kind == platformproto.Stop {
			c.Counts.UnknownTasks++
		}
		if o == nil && m.Kind == platformproto.Stop {
			c.noteEnd(place{node, m.ID}, m.Reason)
		}
		return
	}
	switch m.Kind {
	case platformproto.Running:
		c.accepted(o, m)
	case platformproto.Stop:
		c.stopped(o, m)
	case platformproto.Update:
		if use := slices.Index(uses[:], m.Get(platformproto.Note)); use > 0 && o.state == bound && !o.t.over {
			v, _ := strconv.ParseFloat(m.Get(platformproto.Value), 64)
			c.post(placer.Event{Kind: placer.UsageReported, TaskID: o.t.id, Attempt: o.attempt, Node: node, Usage: placer.UsageKind(use), Value: v})
		}
	}
	c.run()
}

var uses = [...]string{"", "up", "cpu", "mem", "share", "tight"}

var reasons = [...]string{"", "cpu_full", "mem_full", "busy", "wrong_host", "oom", "preempted", "drained"}

func (c *Core) accepted(o *Attempt, m *platformproto.Message) {
	t := o.t
	if o.state == out && c.now > t.deadline+c.s.Placer.AnswerGrace {
		c.giveUp(o, placer.TimedOut, false) // its timer is late, the owner waits no longer
	}
	switch o.state {
	case out:
		if m.Body == "" {
			return // not an answer that could be passed on
		}
		c.timers.Stop(o.timer)
		o.state, o.bound = bound, c.now
		c.Counts.Bound++
		c.Counts.Placed++
		c.open--
		if ow := c.owners[t.conn]; ow != nil {
			delete(ow.open, t)
			ow.good = c.now
		}
		if n := c.nodes[o.Node]; n != nil {
			n.standing[o] = struct{}{}
			if n.State == placer.Gone {
				c.expireTasks(n) // the list's word was first; no second one will come to end this task
			}
		}
		a := reply(&t.m, platformproto.Running, -1)
		a.Body = m.Body
		c.tell(t.conn, a)
		c.post(placer.Event{Kind: placer.Bound, TaskID: t.id, Attempt: o.attempt, Node: o.Node, Elapsed: c.now - o.sent})
	case givenUp:
		c.Counts.LateAnswers++
		// A copy of a task that may run twice, or one whose owner has gone, holds room for nobody: it is released at once. Of the others
		// the owner asks the machines after a while, and names the scheduler that is to look after what they hold: cutting it meanwhile
		// would undo a start that must not be made again.
		if t.gone || c.s.Placer.Classes[t.class].Idempotency == placer.Idempotent {
			c.release(o, platformproto.CauseEnd, false)
		}
	}
}

func (c *Core) stopped(o *Attempt, m *platformproto.Message) {
	why := placer.Reason(max(slices.Index(reasons[:], m.Get(platformproto.Note)), 0))
	r := c.report(m)
	switch o.state {
	case out:
		c.forget(o)
		switch m.Reason {
		case platformproto.CauseFull:
			c.Counts.CapacityRejections++
			c.done(o, placer.Rejected, why, r)
		case platformproto.CauseError:
			c.Counts.NodeErrors++
			c.done(o, placer.Errored, why, r)
		case platformproto.CauseExpired:
			c.Counts.Expired++
			c.done(o, placer.Expired, why, r)
		default:
			c.Counts.ConnectionsLost++
			if why == placer.Evicted || why == placer.Preempted || why == placer.Drained {
				c.stood(o, m, why, r)
				return
			}
			c.done(o, placer.Lost, why, r)
		}
	case bound:
		switch m.Reason {
		case platformproto.CauseEnd:
			c.end(o, placer.Finished, why, r, m.Reason)
		case platformproto.CauseCancelled:
			c.end(o, placer.Cancelled, why, r, m.Reason)
		default:
			c.end(o, placer.Lost, why, r, m.Reason)
		}
	case givenUp:
		c.forget(o)
		c.noteEnd(place{o.Node, o.t.m.ID}, m.Reason)
	}
}

// stood ends a set-up whose machine accepted it, though its answer has not come, and then evicted it, pushed it out or sent it away: what it has
// not accepted, a machine hands back as full. The answer was lost or is late, the task has stood and is over, and that is its owner's to know,
// who comes again; another attempt would have a task stand anew under an id that is over.
func (c *Core) stood(o *Attempt, m *platformproto.Message, why placer.Reason, r *placer.Report) {
	t := o.t
	c.Counts.TasksLost++
	c.close(t)
	if c.owners[t.conn] != nil {
		c.tell(t.conn, reply(&t.m, platformproto.Stop, m.Reason))
	}
	c.post(placer.Event{Kind: placer.Bound, TaskID: t.id, Attempt: o.attempt, Node: o.Node, Elapsed: c.now - o.sent})
	c.done(o, placer.Lost, why, r)
	c.drop(t)
}

// noteEnd keeps the word of an end for as long as its owner may yet name the task as one that stands here. After a start a machine tells on
// its first connection what ended while nobody was connected, and may be quicker than the owners with their thousands of tasks. A machine may
// say a great many such things, so their number is bounded: the earliest go first.
func (c *Core) noteEnd(p place, cause int) {
	if _, twice := c.ends[p]; twice {
		return
	}
	if len(c.endsBy) >= maxEnds {
		delete(c.ends, c.endsBy[0])
		c.endsBy = c.endsBy[1:]
	}
	c.endsBy = append(c.endsBy, p)
	c.ends[p] = gone{cause, c.now + owedFor}
	if len(c.endsBy) == 1 {
		c.timers.Add(c.now+owedFor, c.forgetEnds)
	}
}

// forgetEnds drops the words of ends that are too old to matter, so that none is held when nothing more comes.
func (c *Core) forgetEnds() {
	n := 0
	for n < len(c.endsBy) && c.ends[c.endsBy[n]].until <= c.now {
		delete(c.ends, c.endsBy[n])
		n++
	}
	c.endsBy = slices.Delete(c.endsBy, 0, n)
	if len(c.endsBy) > 0 {
		c.timers.Add(c.ends[c.endsBy[0]].until, c.forgetEnds)
	}
}

// unmoved tells the owner of a task that was moved that it is over, where its machine has not confirmed that it ended by the move. When a
// task comes to its end at the moment of the move, its owner takes neither for the release that it is owed: on a day of vanishing machines
// one of 129 moves crossed such an end, and the owner was told of nothing.
func (c *Core) unmoved(o *Attempt) {
	if o.state == bound && o.t.moved {
		o.t.moved = false
		c.toOwner(o.t, reply(&o.t.m, platformproto.Stop, platformproto.CauseCancelled))
	}
}

// end closes a task that stood. Its owner is told, but for one that ended it itself, or was told of a move that the machine confirms.
func (c *Core) end(o *Attempt, as placer.Result, why placer.Reason, r *placer.Report, cause int) {
	t := o.t
	c.forget(o)
	c.Counts.TasksEnded++
	if as == placer.Lost {
		c.Counts.TasksLost++
	}
	if !t.over || t.moved && cause != platformproto.CauseCancelled {
		t.over = true
		c.toOwner(t, reply(&t.m, platformproto.Stop, cause))
	}
	c.done(o, as, why, r)
	c.drop(t)
}

// report reads a load report, nil if none came.
func (c *Core) report(m *platformproto.Message) *placer.Report {
	text := m.Get(platformproto.Load)
	if text == "" {
		return nil
	}
	r := simconfig.NoReport()
	some := false
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		if v, err := strconv.ParseFloat(value, 64); err == nil && slices.Contains(c.s.ReportFields, name) {
			simconfig.SetReportField(&r, name, v)
			some = true
		}
	}
	if !some {
		return nil
	}
	return &r
}

// expireTasks takes what stands at a machine that has gone for lost, once it has stayed away for a moment: its own word of its tasks comes by
// its connections and says more than the list's.
func (c *Core) expireTasks(n *Node) {
	if len(n.standing) == 0 {
		return
	}
	at := n.toldAt
	if n.lostAt == at {
		return // is looked after
	}
	n.lostAt = at
	c.timers.Add(max(c.now, at+TerminationGrace), func() {
		n.lostAt = 0
		if n.State == placer.Gone && n.toldAt == at {
			c.NodeDead(c.now, n.ID)
		}
	})
}

// expireNode takes a machine that has gone for good out of the books.
func (c *Core) expireNode(n *Node) {
	if n.leaving {
		return
	}
	n.leaving = true
	c.timers.Add(max(n.toldAt+forgetAfter, c.now+TerminationGrace), func() {
		n.leaving = false
		switch {
		case n.State != placer.Gone:
		case len(n.standing) > 0 || n.toldAt+forgetAfter > c.now:
			c.expireNode(n)
		default:
			delete(c.nodes, n.ID)
		}
	})
}

// NodeDead ends all that stands at a machine whose process has ended, or that has gone.
func (c *Core) NodeDead(now float64, id placer.NodeID) {
	c.tick(now)
	if n := c.nodes[id]; n != nil {
		for _, o := range n.tasks() {
			c.end(o, placer.Lost, placer.NoReason, nil, causeLost)
		}
	}
	c.run()
}

// NodeUnresponsive gives up all that stands at a machine that says nothing, and returns how much that is. Owners are told at once. But the tasks may
// well run on, if the machine is only cut off: it is told to end them as soon as it can be reached, and the module has them there until it
// says that it did, or for as long as a release is owed. Else it would count a service's room as free that a machine about to come back has in
// use, and break the limit on how many of a service run in one place.
func (c *Core) NodeUnresponsive(now float64, id placer.NodeID) (tasks int) {
	c.tick(now)
	if n := c.nodes[id]; n != nil {
		for _, o := range n.tasks() {
			if o.ending {
				continue
			}
			tasks++
			c.Counts.TasksLost++
			if !o.t.over {
				o.t.over = true
				c.toOwner(o.t, reply(&o.t.m, platformproto.Stop, causeLost))
			}
			c.release(o, platformproto.CauseCancelled, false)
		}
	}
	c.run()
	return tasks
}
