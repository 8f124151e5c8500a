package dispatch

import (
	"strconv"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// usageKinds are the kinds of usage by the note of an Update message.
var usageKinds = map[string]placer.UsageKind{
	"up":    placer.Started,
	"cpu":   placer.CoresUsed,
	"mem":   placer.MemoryUsed,
	"share": placer.ServedFraction,
	"tight": placer.NodeMemory,
}

// stopReasons are the reasons by the note of a Stop message. Any other note means no reason.
var stopReasons = map[string]placer.Reason{
	"cpu_full":   placer.InsufficientCores,
	"mem_full":   placer.InsufficientMemory,
	"busy":       placer.QueueFull,
	"wrong_host": placer.WrongNode,
	"oom":        placer.Evicted,
	"preempted":  placer.Preempted,
	"drained":    placer.Drained,
}

// nodeMessageHandler handles the messages of nodes.
type nodeMessageHandler struct {
	*environment
	attempts          *attemptTable
	tasks             *taskController
	earlyTerminations *earlyTerminationLog
}

// receive handles a message; see Core.ReceiveFromNode.
func (h *nodeMessageHandler) receive(node placer.NodeID, msg *protocol.Message) {
	key := attemptKey{node, msg.ID}
	attempt := h.attempts.get(key)
	if attempt == nil || attempt.state == attemptPending {
		h.handleUnknownTask(key, attempt, msg)
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

// handleUnknownTask handles a message about a task that the node was not sent, or that is no longer known. pending is the attempt that is yet
// to be sent to it, if there is one.
func (h *nodeMessageHandler) handleUnknownTask(key attemptKey, pending *Attempt, msg *protocol.Message) {
	if msg.Kind == protocol.Running || msg.Kind == protocol.Stop {
		h.counts.UnknownTasks++
	}
	if pending == nil && msg.Kind == protocol.Stop {
		h.earlyTerminations.record(key, msg.Cause)
	}
}

// handleUpdate passes a measurement of a running task to the placer.
func (h *nodeMessageHandler) handleUpdate(attempt *Attempt, msg *protocol.Message) {
	kind, known := usageKinds[msg.Get(protocol.Note)]
	if !known || attempt.state != attemptRunning || attempt.request.state.closed() {
		return
	}
	value, _ := strconv.ParseFloat(msg.Get(protocol.Value), 64) // 0 for a value that is not a number
	h.post(placer.Event{
		Kind:    placer.UsageReported,
		TaskID:  attempt.request.taskID,
		Attempt: attempt.number,
		Node:    attempt.Node,
		Usage:   kind,
		Value:   value,
	})
}

// handleRunning handles a node's acceptance of an attempt.
func (h *nodeMessageHandler) handleRunning(attempt *Attempt, msg *protocol.Message) {
	latest := attempt.request.deadline + h.settings.Placer.Attempts.AnswerGrace
	if attempt.state == attemptSent && h.now > latest {
		h.attempts.abandon(attempt, placer.TimedOut, false) // its timer is late, and the client no longer waits
	}
	switch attempt.state {
	case attemptSent:
		if msg.Body != "" { // without a body there is no answer to forward
			h.tasks.start(attempt, msg.Body)
		}
	case attemptAbandoned:
		h.handleLateAnswer(attempt)
	}
}

// handleLateAnswer handles the acceptance of an attempt that was abandoned. A task that may run twice, or whose client withdrew it, uses
// capacity without benefit and is stopped at once. For any other task, the client queries the nodes after a while and lists the task for adoption
// by a scheduler: stopping it meanwhile would undo a start that must not be repeated.
func (h *nodeMessageHandler) handleLateAnswer(attempt *Attempt) {
	h.counts.LateAnswers++
	idempotent := h.settings.Placer.Classes[attempt.request.class].Idempotency == placer.Idempotent
	if idempotent || attempt.request.state == requestWithdrawn {
		h.attempts.sendStop(attempt, protocol.CauseEnd, false)
	}
}

// handleStop handles a node's rejection of an attempt or its report that a task has ended.
func (h *nodeMessageHandler) handleStop(attempt *Attempt, msg *protocol.Message) {
	switch attempt.state {
	case attemptSent:
		h.handleStopOfSent(attempt, msg)
	case attemptRunning:
		h.tasks.end(attempt, h.stopOutcome(msg, taskResult(msg.Cause)), msg.Cause)
	case attemptAbandoned:
		h.attempts.remove(attempt)
		h.earlyTerminations.record(attempt.key(), msg.Cause)
	}
}

// taskResult returns the result of a running task that a node stopped with the given cause.
func taskResult(cause protocol.Cause) placer.Result {
	switch cause {
	case protocol.CauseEnd:
		return placer.Finished
	case protocol.CauseCancelled:
		return placer.Cancelled
	}
	return placer.Lost
}

// handleStopOfSent ends an attempt that its node did not accept, or whose acceptance was lost or is late.
func (h *nodeMessageHandler) handleStopOfSent(attempt *Attempt, msg *protocol.Message) {
	h.attempts.remove(attempt)
	ended := h.stopOutcome(msg, placer.Lost)
	switch msg.Cause {
	case protocol.CauseNoCapacity:
		h.counts.CapacityRejections++
		ended.result = placer.Rejected
	case protocol.CauseError:
		h.counts.NodeErrors++
		ended.result = placer.Errored
	case protocol.CauseDeadlineExceeded:
		h.counts.Expired++
		ended.result = placer.Expired
	default:
		h.counts.ConnectionsLost++
		if impliesAcceptance(ended.reason) {
			h.tasks.endUnanswered(attempt, ended, msg.Cause)
			return
		}
	}
	h.attempts.postEnded(attempt, ended)
}

// impliesAcceptance reports whether a node gives this reason only for tasks that it has accepted.
func impliesAcceptance(reason placer.Reason) bool {
	return reason == placer.Evicted || reason == placer.Preempted || reason == placer.Drained
}

// stopOutcome returns the given result with the reason and the load report of a stop message.
func (h *nodeMessageHandler) stopOutcome(msg *protocol.Message, result placer.Result) outcome {
	return outcome{
		result: result,
		reason: stopReasons[msg.Get(protocol.Note)],
		report: parseLoadReport(h.settings.ReportFields, msg),
	}
}
