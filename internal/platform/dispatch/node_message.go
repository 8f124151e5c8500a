package dispatch

import (
	"strconv"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// usageKindsByNote maps the note of an Update message to the kind of usage that the message reports.
var usageKindsByNote = map[string]placer.UsageKind{
	"up":    placer.Started,
	"cpu":   placer.CoresUsed,
	"mem":   placer.MemoryUsed,
	"share": placer.ServedFraction,
	"tight": placer.NodeMemory,
}

// stopReasonsByNote maps the note of a Stop message to the reason for which the node rejected or ended the
// task. Any other note means that the node gives no reason.
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
	attempts          *attemptTable
	tasks             *taskController
	earlyTerminations *earlyTerminationLog
}

// receive handles one message of a node as Core.ReceiveFromNode describes.
func (h *nodeMessageHandler) receive(node placer.NodeID, msg *protocol.Message) {
	key := attemptKey{node, msg.ID}
	attempt := h.attempts.get(key)
	if attempt == nil || attempt.state == attemptPending {
		h.handleUnmatchedMessage(key, attempt, msg)
		return
	}
	switch msg.Kind {
	case protocol.Running:
		h.handleRunning(attempt, msg)
	case protocol.Stop:
		h.handleStop(attempt, msg)
	case protocol.Update:
		h.handleUpdate(attempt, msg)
	}
}

// handleUnknownTask handles a message about a task that was not sent to the node or that is no longer known.
// pending is the attempt that has yet to be sent to the node, or nil.
func (h *nodeMessageHandler) handleUnmatchedMessage(key attemptKey, unsentAttempt *Attempt, msg *protocol.Message) {
	if msg.Kind == protocol.Running || msg.Kind == protocol.Stop {
		h.counts.UnknownTasks++
	}
	if unsentAttempt == nil && msg.Kind == protocol.Stop {
		h.earlyTerminations.add(key, msg.Cause)
	}
}

// handleUpdate passes the usage of a running task, which its node has measured, to the placer.
func (h *nodeMessageHandler) handleUpdate(attempt *Attempt, msg *protocol.Message) {
	kind, known := usageKindsByNote[msg.Get(protocol.Note)]
	if !known || attempt.state != attemptRunning || attempt.request.state.isFinal() {
		return
	}
	value, _ := strconv.ParseFloat(msg.Get(protocol.Value), 64) // the value is 0 if the text is not a number
	h.postEvent(placer.Event{
		Kind:    placer.UsageReported,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Usage:   kind,
		Value:   value,
	})
}

// handleRunning handles a message with which a node accepts an attempt.
func (h *nodeMessageHandler) handleRunning(attempt *Attempt, msg *protocol.Message) {
	latestAnswerAt := attempt.request.deadline + h.settings.Placer.Attempts.AnswerGrace
	if attempt.state == attemptSent && h.now > latestAnswerAt {
		h.attempts.abandon(attempt, placer.TimedOut, false) // the client no longer waits, but the timer has not run yet
	}
	switch attempt.state {
	case attemptSent:
		if msg.Body != "" { // without a body, there is no answer to forward to the client
			h.tasks.handleAcceptance(attempt, msg.Body)
		}
	case attemptAbandoned:
		h.handleLateAnswer(attempt)
	}
}

// handleLateAnswer handles the acceptance of an attempt that was already abandoned. A task that may run a
// second time on another node, or that its client withdrew, uses capacity without benefit and is stopped at
// once. For any other task, the client later queries the nodes and lists the task for adoption by a
// scheduler. Stopping such a task would undo a start that must not be repeated.
func (h *nodeMessageHandler) handleLateAnswer(attempt *Attempt) {
	h.counts.LateAnswers++
	idempotent := h.settings.Placer.Classes[attempt.request.class].Idempotency == placer.Idempotent
	if idempotent || attempt.request.state == requestWithdrawn {
		h.attempts.sendStop(attempt, protocol.CauseEnd, false)
	}
}

// handleStop handles a Stop message, with which a node rejects an attempt or reports that a task has ended.
func (h *nodeMessageHandler) handleStop(attempt *Attempt, msg *protocol.Message) {
	switch attempt.state {
	case attemptSent:
		h.handleStopBeforeAnswer(attempt, msg)
	case attemptRunning:
		h.tasks.endTask(attempt, h.stopOutcome(msg, taskResult(msg.Cause)), msg.Cause)
	case attemptAbandoned:
		h.attempts.remove(attempt)
		h.earlyTerminations.add(attempt.key(), msg.Cause)
	}
}

// taskResult returns the result of a task that ran and whose end its node reported with the given cause.
func taskResult(cause protocol.Cause) placer.Result {
	switch cause {
	case protocol.CauseEnd:
		return placer.Finished
	case protocol.CauseCancelled:
		return placer.Cancelled
	}
	return placer.Lost
}

// handleStopBeforeAnswer handles a Stop message for an attempt without an answer. Either the node did not
// accept the attempt, or its acceptance was lost or has not arrived yet.
func (h *nodeMessageHandler) handleStopBeforeAnswer(attempt *Attempt, msg *protocol.Message) {
	h.attempts.remove(attempt)
	outcome := h.stopOutcome(msg, placer.Lost)
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

// impliesAcceptance reports whether nodes give a reason only for tasks that they had accepted.
func impliesAcceptance(reason placer.Reason) bool {
	return reason == placer.Evicted || reason == placer.Preempted || reason == placer.Drained
}

// stopOutcome returns an outcome with the given result and with the reason and the load report of a Stop
// message.
func (h *nodeMessageHandler) stopOutcome(msg *protocol.Message, result placer.Result) attemptOutcome {
	return attemptOutcome{
		result: result,
		reason: stopReasonsByNote[msg.Get(protocol.Note)],
		report: parseLoadReport(h.settings.ReportFields, msg),
	}
}
