package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// request is one placement request of a client, and after it was answered the running task.
type request struct {
	taskID   placer.TaskID
	message  protocol.Message // as the client sent it
	conn     ConnID
	class    int
	deadline float64
	state    requestState
	attempts []*Attempt
}

// runningAttempt returns the attempt that runs the task, nil if the task does not run.
func (r *request) runningAttempt() *Attempt {
	if last := r.lastAttempt(); last != nil && last.state == attemptRunning {
		return last
	}
	return nil
}

// lastAttempt returns the latest attempt, nil if there is none.
func (r *request) lastAttempt() *Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// launchMessage returns the request as a node receives it: ID, class, key, description and, if it has one, the idempotency key.
func (r *request) launchMessage() protocol.Message {
	msg := protocol.Message{Kind: protocol.Launch, UID: r.message.UID, ID: r.message.ID, Body: r.message.Body}
	msg.Set(protocol.Class, r.message.Get(protocol.Class))
	msg.Set(protocol.Key, r.message.Get(protocol.Key))
	if r.message.Has(protocol.IdempotencyKey) {
		msg.Set(protocol.IdempotencyKey, r.message.Get(protocol.IdempotencyKey))
	}
	return msg
}

// transition moves a request to its next state. A scheduler in service goes on after an illegal transition; it is counted, and tests require
// that there is none.
func (c *Core) transition(req *request, next requestState) {
	if !req.state.canBecome(next) {
		c.illegalTransitions++
	}
	req.state = next
}

// addRequest enters a request whose message is valid.
func (c *Core) addRequest(conn ConnID, msg *protocol.Message, task *placer.Task, state requestState) *request {
	c.lastTaskID++
	task.ID = c.lastTaskID
	req := &request{
		taskID:   c.lastTaskID,
		message:  *msg,
		conn:     conn,
		class:    task.Class,
		deadline: float64(task.Deadline),
		state:    state,
	}
	c.requests[req.taskID] = req
	c.requestsByID[msg.ID] = req
	return req
}

// openRequest enters a new request and passes it to the placer.
func (c *Core) openRequest(client *clientConn, msg *protocol.Message, task placer.Task) {
	req := c.addRequest(client.id, msg, &task, requestOpen)
	c.openRequests++
	c.clients.requestOpened(req)
	c.postArrival(req, task)
}

// answerRequest gives an open request its final answer, other than that its task runs.
func (c *Core) answerRequest(req *request, answer protocol.Message) {
	if req.state.closed() {
		return
	}
	c.closeRequest(req, requestAnswered)
	c.clients.answer(req, answer)
	c.abandonLastAttempt(req, placer.TimedOut)
	c.removeRequest(req)
}

// withdrawRequest ends an open request whose client no longer waits.
func (c *Core) withdrawRequest(req *request) {
	if req.state.closed() {
		return
	}
	c.Counts.Withdrawn++
	c.closeRequest(req, requestWithdrawn)
	c.post(placer.Event{Kind: placer.Withdrawn, TaskID: req.taskID})
	c.abandonLastAttempt(req, placer.Cancelled)
	c.removeRequest(req)
}

// closeRequest moves an open request to a closed state.
func (c *Core) closeRequest(req *request, next requestState) {
	c.transition(req, next)
	c.removeFromOpen(req)
}

// removeFromOpen removes a request from the open ones.
func (c *Core) removeFromOpen(req *request) {
	c.openRequests--
	c.clients.requestClosed(req)
}

// removeRequest removes a request that has ended. Its attempts stay for as long as nodes may send messages about them.
func (c *Core) removeRequest(req *request) {
	if c.requestsByID[req.message.ID] == req {
		delete(c.requestsByID, req.message.ID)
	}
	delete(c.requests, req.taskID)
}

// abandonLastAttempt abandons the attempt that waits for its answer, if there is one.
func (c *Core) abandonLastAttempt(req *request, result placer.Result) {
	if last := req.lastAttempt(); last != nil && last.Unanswered() {
		c.abandonAttempt(last, result, false)
	}
}
