package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// usageKinds are the notes of update messages.
var usageKinds = map[string]placer.UsageKind{
	"up":    placer.Started,
	"cpu":   placer.CoresUsed,
	"mem":   placer.MemoryUsed,
	"share": placer.ServedFraction,
	"tight": placer.NodeMemory,
}

// stopReasons are the notes of stop messages. Others stand for no reason.
var stopReasons = map[string]placer.Reason{
	"cpu_full":   placer.InsufficientCores,
	"mem_full":   placer.InsufficientMemory,
	"busy":       placer.QueueFull,
	"wrong_host": placer.WrongNode,
	"oom":        placer.Evicted,
	"preempted":  placer.Preempted,
	"drained":    placer.Drained,
}

// ReceiveFromNode handles one message of a node. A message about a task that is not known at that node changes nothing but the counts, and
// that an early termination is recorded.
func (c *Core) ReceiveFromNode(now float64, node placer.NodeID, msg *protocol.Message) {
	c.setTime(now)
	key := attemptKey{node, msg.ID}
	attempt := c.attempts[key]
	if attempt == nil || attempt.state == attemptPending {
		c.handleUnknownTask(key, attempt, msg)
		return
	}
	switch msg.Kind {
	case protocol.Running:
		c.handleRunning(attempt, msg)
	case protocol.Stop:
		c.handleNodeStop(attempt, msg)
	case protocol.Update:
		c.handleUpdate(attempt, msg)
	}
	c.runEvents()
}

// handleUnknownTask handles a message about a task that the node was not sent, or that is no longer known. pending is the attempt that is yet
// to be sent to it, if there is one.
func (c *Core) handleUnknownTask(key attemptKey, pending *Attempt, msg *protocol.Message) {
	if msg.Kind == protocol.Running || msg.Kind == protocol.Stop {
		c.Counts.UnknownTasks++
	}
	if pending == nil && msg.Kind == protocol.Stop {
		c.earlyTerminations.record(key, msg.Cause)
	}
}

// handleUpdate passes a measurement of a running task to the placer.
func (c *Core) handleUpdate(attempt *Attempt, msg *protocol.Message) {
	kind, known := usageKinds[msg.Get(protocol.Note)]
	if !known || attempt.state != attemptRunning || attempt.request.state.closed() {
		return
	}
	value, _ := strconv.ParseFloat(msg.Get(protocol.Value), 64) // 0 for a value that is no number
	c.post(placer.Event{
		Kind:    placer.UsageReported,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Usage:   kind,
		Value:   value,
	})
}

// handleRunning handles a node's acceptance of an attempt.
func (c *Core) handleRunning(attempt *Attempt, msg *protocol.Message) {
	latest := attempt.request.deadline + float64(c.settings.Placer.Attempts.AnswerGrace)
	if attempt.state == attemptSent && c.now > latest {
		c.abandonAttempt(attempt, placer.TimedOut, false) // its timer is late, and the client no longer waits
	}
	switch attempt.state {
	case attemptSent:
		if msg.Body != "" { // without a body there is no answer to pass on
			c.startTask(attempt, msg.Body)
		}
	case attemptAbandoned:
		c.handleLateAnswer(attempt)
	}
}

// handleLateAnswer handles the acceptance of an attempt that was abandoned. A task that may run twice, or whose client withdrew it, takes
// capacity for nobody and is stopped at once. For the others the client asks the nodes after a while, and lists the task for adoption by a
// scheduler: to stop it meanwhile would undo a start that must not be repeated.
func (c *Core) handleLateAnswer(attempt *Attempt) {
	c.Counts.LateAnswers++
	idempotent := c.settings.Placer.Classes[attempt.request.class].Idempotency == placer.Idempotent
	if idempotent || attempt.request.state == requestWithdrawn {
		c.stopTask(attempt, protocol.CauseEnd, false)
	}
}

// handleNodeStop handles a node's rejection of an attempt or its report that a task has ended.
func (c *Core) handleNodeStop(attempt *Attempt, msg *protocol.Message) {
	switch attempt.state {
	case attemptSent:
		c.handleStopOfSent(attempt, msg)
	case attemptRunning:
		c.endTask(attempt, c.stopOutcome(msg, taskResult(msg.Cause)), msg.Cause)
	case attemptAbandoned:
		c.removeAttempt(attempt)
		c.earlyTerminations.record(attempt.key(), msg.Cause)
	}
}

// taskResult is the result of a running task that a node stopped with the given cause.
func taskResult(cause int) placer.Result {
	switch cause {
	case protocol.CauseEnd:
		return placer.Finished
	case protocol.CauseCancelled:
		return placer.Cancelled
	}
	return placer.Lost
}

// handleStopOfSent ends an attempt that its node did not accept, or whose acceptance was lost or is late.
func (c *Core) handleStopOfSent(attempt *Attempt, msg *protocol.Message) {
	c.removeAttempt(attempt)
	ended := c.stopOutcome(msg, placer.Lost)
	switch msg.Cause {
	case protocol.CauseFull:
		c.Counts.CapacityRejections++
		ended.result = placer.Rejected
	case protocol.CauseError:
		c.Counts.NodeErrors++
		ended.result = placer.Errored
	case protocol.CauseExpired:
		c.Counts.Expired++
		ended.result = placer.Expired
	default:
		c.Counts.ConnectionsLost++
		if impliesAcceptance(ended.reason) {
			c.endUnansweredTask(attempt, ended, msg.Cause)
			return
		}
	}
	c.postAttemptEnded(attempt, ended)
}

// impliesAcceptance reports whether a node gives the reason only for tasks that it had accepted.
func impliesAcceptance(reason placer.Reason) bool {
	return reason == placer.Evicted || reason == placer.Preempted || reason == placer.Drained
}

// stopOutcome returns the given result with the reason and the load report of a stop message.
func (c *Core) stopOutcome(msg *protocol.Message, result placer.Result) outcome {
	return outcome{
		result: result,
		reason: stopReasons[msg.Get(protocol.Note)],
		report: c.parseLoadReport(msg),
	}
}

// parseLoadReport reads the load report of a message, nil if it has none with a configured field.
func (c *Core) parseLoadReport(msg *protocol.Message) *placer.Report {
	text := msg.Get(protocol.LoadReport)
	if text == "" {
		return nil
	}
	report := simconfig.NoReport()
	known := false
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		amount, err := strconv.ParseFloat(value, 64)
		if err != nil || !slices.Contains(c.settings.ReportFields, name) {
			continue
		}
		simconfig.SetReportField(&report, name, amount)
		known = true
	}
	if !known {
		return nil
	}
	return &report
}
