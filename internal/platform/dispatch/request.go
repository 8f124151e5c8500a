package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// request is a placement request of a client and, once it was answered with success, the running task. The
// requestTable owns it; only the attemptTable adds attempts.
type request struct {
	taskID   placer.TaskID
	message  protocol.Message // the launch message of the client
	conn     ConnID
	class    int
	deadline placer.Seconds
	state    requestState
	attempts []*Attempt
}

// runningAttempt returns the attempt that runs the task, or nil if the task is not running.
func (r *request) runningAttempt() *Attempt {
	if last := r.lastAttempt(); last != nil && last.state == attemptRunning {
		return last
	}
	return nil
}

// lastAttempt returns the latest attempt, or nil if no attempt was made.
func (r *request) lastAttempt() *Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// addAttempt appends an attempt and sets its number.
func (r *request) addAttempt(attempt *Attempt) {
	attempt.number = len(r.attempts)
	r.attempts = append(r.attempts, attempt)
}

// launchMessage returns the launch message that is sent to a node. It contains the ID, class, key and
// description of the task, and the idempotency key if the request has one.
func (r *request) launchMessage() protocol.Message {
	msg := protocol.Message{Kind: protocol.Launch, UID: r.message.UID, ID: r.message.ID, Body: r.message.Body}
	msg.Set(protocol.Class, r.message.Get(protocol.Class))
	msg.Set(protocol.Key, r.message.Get(protocol.Key))
	if r.message.Has(protocol.IdempotencyKey) {
		msg.Set(protocol.IdempotencyKey, r.message.Get(protocol.IdempotencyKey))
	}
	return msg
}
