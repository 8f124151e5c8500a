package dispatch

import "heathshed/internal/platform/protocol"

// clientMessageHandler handles the messages of clients.
type clientMessageHandler struct {
	*environment
	parser   requestParser
	clients  *clientRegistry
	requests *requestTable
	tasks    *taskController
	adoption *adoption
	notifier *notifier
}

// receive handles a message. A client whose message is invalid is answered with an error.
func (h *clientMessageHandler) receive(client *clientConn, msg *protocol.Message) error {
	if err := h.handle(client, msg); err != nil {
		h.counts.InvalidMessages++
		h.clients.send(client.id, replyTo(msg, protocol.Stop, protocol.CauseError))
		return err
	}
	h.clients.messageValid(client)
	h.notifier.sendPending(client)
	return nil
}

// handle handles a message by its kind. Kinds that only nodes send are ignored.
func (h *clientMessageHandler) handle(client *clientConn, msg *protocol.Message) error {
	switch msg.Kind {
	case protocol.Check:
		h.handleHealthCheck(client, msg)
	case protocol.Stopped:
		h.notifier.acknowledge(client, msg.ID)
	case protocol.Launch:
		return h.handleLaunch(client, msg)
	case protocol.Stop:
		return h.handleStop(client, msg)
	}
	return nil
}

// healthCheckPassed is the cause of a Checked message that says that the scheduler is healthy.
const healthCheckPassed protocol.Cause = 1

func (h *clientMessageHandler) handleHealthCheck(client *clientConn, msg *protocol.Message) {
	h.adoption.healthCheckReceived()
	h.clients.send(client.id, replyTo(msg, protocol.Checked, healthCheckPassed))
}

// handleLaunch handles a new placement request, or a task that runs already and is to be adopted.
func (h *clientMessageHandler) handleLaunch(client *clientConn, msg *protocol.Message) error {
	h.counts.PlacementRequests++
	parsed, err := h.parser.parse(h.now, msg)
	if existing := h.requests.getByID(msg.ID); existing != nil {
		if err == nil && parsed.isAdoption() {
			return nil // adopted already
		}
		return h.rejectDuplicate(client, existing, msg)
	}
	if err != nil {
		return err
	}
	if h.requests.full() {
		h.clients.send(client.id, replyTo(msg, protocol.Stop, protocol.CauseOverloaded))
		return nil
	}
	if parsed.isAdoption() {
		return h.adoption.adopt(client, msg, parsed)
	}
	h.counts.Accepted++
	task := parsed.task
	req := h.requests.open(client.id, msg, &task)
	h.adoption.postArrival(req, task)
	return nil
}

// rejectDuplicate handles a launch message whose ID is in use. Two requests with one ID could not both be answered, so an open one on the same
// connection is withdrawn.
func (h *clientMessageHandler) rejectDuplicate(client *clientConn, existing *request, msg *protocol.Message) error {
	if existing.conn == client.id && existing.runningAttempt() == nil {
		h.requests.withdraw(existing)
	}
	return invalidMessage(InvalidIDInUse, "launch: id %s is in use", msg.UID)
}

// handleStop handles a client's message to withdraw an open request or to stop a running task.
func (h *clientMessageHandler) handleStop(client *clientConn, msg *protocol.Message) error {
	req := h.requests.getByID(msg.ID)
	if req == nil {
		return nil // the client sent it before it received the answer
	}
	if attempt := req.runningAttempt(); attempt != nil {
		h.tasks.stopForClient(attempt, clientStopCause(msg))
		return nil
	}
	if req.conn != client.id {
		return invalidMessage(InvalidStop, "stop: request %s is open on another connection", msg.UID)
	}
	h.requests.withdraw(req)
	return nil
}

// clientStopCause returns the cause with which a node is asked to stop a task for its client.
func clientStopCause(msg *protocol.Message) protocol.Cause {
	if msg.HasCause {
		return msg.Cause
	}
	return protocol.CauseCancelled
}
