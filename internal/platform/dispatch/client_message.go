package dispatch

import "heathshed/internal/platform/protocol"

// clientMessageHandler handles the messages that clients send.
type clientMessageHandler struct {
	*sharedState
	parser   requestParser
	clients  *clientRegistry
	requests *requestTable
	attempts *attemptTable
	tasks    *taskController
	adoption *adoption
	notifier *notifier
}

// receive handles one message of a client. If the message is invalid, the client receives an error answer.
func (h *clientMessageHandler) receive(client *clientConn, msg *protocol.Message) error {
	identity, err := h.handle(client, msg)
	if err != nil {
		h.counts.InvalidMessages++
		h.clients.send(client.id, replyTo(msg, protocol.Stop, protocol.CauseError))
		return err
	}
	if identity == clientUnknown {
		return nil
	}
	if h.clients.recordIdentity(client, identity) {
		h.notifier.redeliverToOwner(client)
	}
	h.notifier.sendPendingNotifications(client)
	return nil
}

// handle passes a message to the handler for its kind, and returns what the message shows about the client. It
// ignores messages of kinds that only nodes send.
func (h *clientMessageHandler) handle(client *clientConn, msg *protocol.Message) (clientIdentity, error) {
	switch msg.Kind {
	case protocol.Check:
		h.handleHealthCheck(client, msg)
		return clientProber, nil
	case protocol.Stopped:
		if h.notifier.acknowledge(client, msg.ID) {
			return clientOwner, nil
		}
	case protocol.Launch:
		return clientOwner, h.handleLaunch(client, msg)
	case protocol.Stop:
		return h.handleStop(client, msg)
	}
	return clientUnknown, nil
}

// healthCheckPassed is the cause in a Checked message that reports a healthy scheduler.
const healthCheckPassed protocol.Cause = 1

func (h *clientMessageHandler) handleHealthCheck(client *clientConn, msg *protocol.Message) {
	h.adoption.recordHealthCheck()
	h.clients.send(client.id, replyTo(msg, protocol.Checked, healthCheckPassed))
}

// handleLaunch handles a launch message, which is either a new placement request or an adoption request.
func (h *clientMessageHandler) handleLaunch(client *clientConn, msg *protocol.Message) error {
	h.counts.PlacementRequests++
	parsedReq, err := h.parser.parse(h.now, msg)
	if existingRequest := h.requests.getByID(msg.ID); existingRequest != nil {
		if err == nil && parsedReq.isAdoption() {
			return nil // The task was already adopted.
		}
		return h.rejectDuplicate(client, existingRequest, msg)
	}
	if err != nil {
		return err
	}
	if parsedReq.isAdoption() {
		return h.adoption.adopt(client, msg, parsedReq)
	}
	if h.attempts.mayRunUnder(msg.ID) {
		return invalidMessage(InvalidIDInUse, "launch message %s has the ID of a task that may run, although its client withdrew the request", msg.UID)
	}
	if !h.requests.admits(client.id, msg, &parsedReq.task) {
		h.counts.Overloaded++
		h.clients.send(client.id, replyTo(msg, protocol.Stop, protocol.CauseOverloaded))
		return nil
	}
	h.counts.Accepted++
	task := parsedReq.task
	req := h.requests.addNew(client.id, msg, &task)
	h.adoption.postArrival(req, task)
	return nil
}

// rejectDuplicate rejects a launch message that has the same ID as an existing request, because two requests
// with the same ID cannot both be answered. If the existing request is open and arrived on the same client
// connection, the existing request is withdrawn.
func (h *clientMessageHandler) rejectDuplicate(client *clientConn, existingRequest *request, msg *protocol.Message) error {
	if existingRequest.connID == client.id && existingRequest.runningAttempt() == nil {
		h.requests.withdraw(existingRequest)
	}
	return invalidMessage(InvalidIDInUse, "launch message %s has the same ID as an existing request", msg.UID)
}

// handleStop handles a Stop message, and returns what it shows about the client. A client sends a Stop message
// to withdraw an open request or to stop a running task.
func (h *clientMessageHandler) handleStop(client *clientConn, msg *protocol.Message) (clientIdentity, error) {
	req := h.requests.getByID(msg.ID)
	if req == nil {
		h.adoption.waiting.forget(msg.ID)
		return clientUnknown, nil // The request ended before the client's Stop message arrived, or there was none.
	}
	if attempt := req.runningAttempt(); attempt != nil {
		h.tasks.stopForClient(attempt, clientStopCause(msg))
		return clientOwner, nil
	}
	if req.connID != client.id {
		return clientUnknown, invalidMessage(InvalidStop, "stop message: request %s is open on another client connection", msg.UID)
	}
	h.requests.withdraw(req)
	return clientOwner, nil
}

// clientStopCause returns the cause that is sent to the node when a client stops its running task.
func clientStopCause(msg *protocol.Message) protocol.Cause {
	if msg.HasCause {
		return msg.Cause
	}
	return protocol.CauseCancelled
}
