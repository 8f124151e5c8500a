package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// usageKindsByNote maps the field Note of an Update message to the kind of usage that the message reports.
var usageKindsByNote = map[string]placer.UsageKind{
	"up":    placer.Started,
	"cpu":   placer.CoresUsed,
	"mem":   placer.MemoryUsed,
	"share": placer.ServedFraction,
	"tight": placer.NodeMemory,
}

// stopReasonsByNote maps the field Note of a Stop message to the reason why the node rejected or ended the
// task. A note that is not in the map gives no reason.
var stopReasonsByNote = map[string]placer.Reason{
	"cpu_full":   placer.InsufficientCores,
	"mem_full":   placer.InsufficientMemory,
	"busy":       placer.QueueFull,
	"wrong_host": placer.WrongNode,
	"oom":        placer.Evicted,
	"preempted":  placer.Preempted,
	"drained":    placer.Drained,
}

// nodeMessageHandler handles the messages that nodes send.
type nodeMessageHandler struct {
	*sharedState
	nodes             *nodeRegistry
	attempts          *attemptTable
	tasks             *taskController
	earlyTerminations *earlyTerminationLog
}

// receive implements Core.ReceiveFromNode: it handles one message of a node.
func (h *nodeMessageHandler) receive(node placer.NodeID, msg *protocol.Message) error {
	figures := h.parseNodeFigures(h.nodes.get(node), msg)
	h.handle(node, msg, &figures)
	if figures.invalid != "" {
		return invalidMessage(InvalidFigure, "message %s %s: figure %.40q left out", msg.Kind, msg.UID, figures.invalid)
	}
	return nil
}

func (h *nodeMessageHandler) handle(node placer.NodeID, msg *protocol.Message, figures *nodeFigures) {
	key := attemptKey{node, msg.ID}
	attempt := h.attempts.get(key)
	if attempt == nil || attempt.state == attemptPending {
		h.handleUnmatchedMessage(key, attempt, msg)
		return
	}
	h.attempts.verify(attempt)
	switch msg.Kind {
	case protocol.Running:
		h.handleRunning(attempt, msg)
	case protocol.Stop:
		h.handleStop(attempt, msg, figures)
	case protocol.Update:
		h.handleUpdate(attempt, msg, figures)
	}
}

// handleUnmatchedMessage handles a message about a task if no attempt for the task was sent to the node, or
// if the sent attempt was already removed. The parameter unsentAttempt is the pending attempt with the given
// key, or nil if there is no such attempt.
func (h *nodeMessageHandler) handleUnmatchedMessage(key attemptKey, unsentAttempt *Attempt, msg *protocol.Message) {
	if msg.Kind == protocol.Running || msg.Kind == protocol.Stop {
		h.counts.UnknownTasks++
	}
	if unsentAttempt == nil && msg.Kind == protocol.Stop {
		h.earlyTerminations.add(key, msg.Cause)
	}
}

// handleUpdate handles an Update message: it passes the resource usage that a node measured for a running
// task to the placer. It ignores a message without a valid value, unless the message reports that the task has
// started.
func (h *nodeMessageHandler) handleUpdate(attempt *Attempt, msg *protocol.Message, figures *nodeFigures) {
	kind, known := usageKindsByNote[msg.Get(protocol.Note)]
	if !known || !figures.hasUsage && kind != placer.Started || attempt.state != attemptRunning || attempt.request.state.isFinal() {
		return
	}
	h.postEvent(placer.Event{
		Kind:    placer.UsageReported,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Usage:   kind,
		Value:   figures.usage,
	})
}

// handleRunning handles a Running message. A node sends a Running message to accept an attempt.
func (h *nodeMessageHandler) handleRunning(attempt *Attempt, msg *protocol.Message) {
	latestAnswerAt := attempt.request.deadline + h.settings.Placer.Attempts.AnswerGrace
	if attempt.state == attemptSent && h.now > latestAnswerAt {
		// The client no longer waits, although the expiry timer of the attempt has not fired yet.
		h.attempts.abandon(attempt, placer.TimedOut, false)
	}
	switch attempt.state {
	case attemptSent:
		if msg.Body != "" { // A message without a body contains no answer that could be forwarded to the client.
			h.tasks.handleAcceptance(attempt, msg.Body)
		}
	case attemptAbandoned:
		h.handleLateAnswer(attempt)
	}
}

// handleLateAnswer handles a Running message for an attempt that was already abandoned. If the task is
// idempotent, it may run a second time on another node. The running task then uses capacity without benefit,
// so the node is asked to stop the task at once. The same applies if the client withdrew the request. Any
// other task must not start a second time, so the task is not stopped. The client later queries the nodes and
// requests the adoption of the task.
func (h *nodeMessageHandler) handleLateAnswer(attempt *Attempt) {
	h.counts.LateAnswers++
	idempotent := h.settings.Placer.Classes[attempt.request.class].Idempotency == placer.Idempotent
	if idempotent || attempt.request.state == requestWithdrawn {
		h.attempts.sendGiveUp(attempt, false)
	}
}

// handleStop handles a Stop message. A node sends a Stop message to reject an attempt or to report the end of
// a task.
func (h *nodeMessageHandler) handleStop(attempt *Attempt, msg *protocol.Message, figures *nodeFigures) {
	switch attempt.state {
	case attemptSent:
		h.handleStopBeforeAnswer(attempt, msg, figures)
	case attemptRunning:
		h.tasks.endTask(attempt, stopOutcome(msg, figures, taskResult(msg.Cause)), msg.Cause)
	case attemptAbandoned:
		h.attempts.remove(attempt)
		h.earlyTerminations.add(attempt.key(), msg.Cause)
	}
}

// taskResult returns the result of a running task after the node has reported the end of the task with the
// given cause.
func taskResult(cause protocol.Cause) placer.Result {
	switch cause {
	case protocol.CauseEnd:
		return placer.Finished
	case protocol.CauseCancelled:
		return placer.Cancelled
	}
	return placer.Lost
}

// handleStopBeforeAnswer handles a Stop message for an attempt that its node has not answered. Either the
// node did not accept the attempt, or the Running message of the node was lost or has not arrived yet.
func (h *nodeMessageHandler) handleStopBeforeAnswer(attempt *Attempt, msg *protocol.Message, figures *nodeFigures) {
	h.attempts.remove(attempt)
	outcome := stopOutcome(msg, figures, placer.Lost)
	switch msg.Cause {
	case protocol.CauseNoCapacity:
		h.counts.CapacityRejections++
		outcome.result = placer.Rejected
	case protocol.CauseError:
		h.counts.NodeErrors++
		outcome.result = placer.Errored
	case protocol.CauseDeadlineExceeded:
		h.counts.Expired++
		outcome.result = placer.Expired
	default:
		h.counts.ConnectionsLost++
		if impliesAcceptance(outcome.reason) {
			h.tasks.endUnansweredRequest(attempt, outcome, msg.Cause)
			return
		}
	}
	h.attempts.postAttemptEnded(attempt, outcome)
}

// impliesAcceptance reports whether a Stop message with the given reason proves that the node had accepted
// the attempt. A node can evict or preempt a task, or end a task because the node is draining, only after the
// node has accepted the task.
func impliesAcceptance(reason placer.Reason) bool {
	return reason == placer.Evicted || reason == placer.Preempted || reason == placer.Drained
}

// stopOutcome returns an outcome that contains the given result, and the reason and the load report of a Stop
// message.
func stopOutcome(msg *protocol.Message, figures *nodeFigures, result placer.Result) attemptOutcome {
	return attemptOutcome{
		result: result,
		reason: stopReasonsByNote[msg.Get(protocol.Note)],
		report: figures.report,
	}
}
