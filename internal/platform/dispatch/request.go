package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// request is one placement request of a client and, after the answer, the running task. The requestTable owns it; only the attemptTable adds
// attempts.
type request struct {
	taskID   placer.TaskID
	message  protocol.Message // as the client sent it
	conn     ConnID
	class    int
	deadline placer.Seconds
	state    requestState
	attempts []*Attempt
}

// runningAttempt returns the attempt that runs the task, or nil if the task does not run.
func (r *request) runningAttempt() *Attempt {
	if last := r.lastAttempt(); last != nil && last.state == attemptRunning {
		return last
	}
	return nil
}

// lastAttempt returns the latest attempt, or nil if there is none.
func (r *request) lastAttempt() *Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// addAttempt adds the latest attempt and numbers it.
func (r *request) addAttempt(attempt *Attempt) {
	attempt.number = len(r.attempts)
	r.attempts = append(r.attempts, attempt)
}

// launchMessage returns the request as it is sent to a node: ID, class, key, description and, if it has one, the idempotency key.
func (r *request) launchMessage() protocol.Message {
	msg := protocol.Message{Kind: protocol.Launch, UID: r.message.UID, ID: r.message.ID, Body: r.message.Body}
	msg.Set(protocol.Class, r.message.Get(protocol.Class))
	msg.Set(protocol.Key, r.message.Get(protocol.Key))
	if r.message.Has(protocol.IdempotencyKey) {
		msg.Set(protocol.IdempotencyKey, r.message.Get(protocol.IdempotencyKey))
	}
	return msg
}
