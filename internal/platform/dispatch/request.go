package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// request is a placement request of a client. After a node has accepted an attempt of the request, the
// request also represents the running task. Requests are owned by requestTable, but only attemptTable adds
// attempts to a request.
type request struct {
	taskID   placer.TaskID
	message  protocol.Message // message is the launch message of the client.
	connID   ConnID           // connID identifies the client connection on which the launch message arrived.
	class    int
	deadline placer.Seconds
	state    requestState
	attempts []*Attempt
}

// runningAttempt returns the attempt that runs the task, or nil if the task is not running.
func (r *request) runningAttempt() *Attempt {
	if lastAttempt := r.lastAttempt(); lastAttempt != nil && lastAttempt.state == attemptRunning {
		return lastAttempt
	}
	return nil
}

// lastAttempt returns the last attempt of the request, or nil if no attempt was made.
func (r *request) lastAttempt() *Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// addAttempt appends an attempt to the attempts of the request and sets the number of the attempt.
func (r *request) addAttempt(attempt *Attempt) {
	attempt.number = len(r.attempts)
	r.attempts = append(r.attempts, attempt)
}

// launchMessage returns the launch message that is sent to a node. The ID, the body, the fields Class and
// Key, and the idempotency key, if there is one, are copied from the launch message of the client.
func (r *request) launchMessage() protocol.Message {
	msg := protocol.Message{Kind: protocol.Launch, UID: r.message.UID, ID: r.message.ID, Body: r.message.Body}
	msg.Set(protocol.Class, r.message.Get(protocol.Class))
	msg.Set(protocol.Key, r.message.Get(protocol.Key))
	if r.message.Has(protocol.IdempotencyKey) {
		msg.Set(protocol.IdempotencyKey, r.message.Get(protocol.IdempotencyKey))
	}
	return msg
}
