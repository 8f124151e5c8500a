package dispatch

import (
	"container/list"
	"slices"

	"heathshed/internal/control/timerqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// request is a placement request of a client. After a node has accepted an attempt of the request, the
// request also represents the running task. Requests are owned by requestTable, but only attemptTable adds
// attempts to a request.
type request struct {
	taskID placer.TaskID
	// message is the launch message of the client. Once the request is no longer open, it has only the ID and the
	// field Key; see releaseMessage.
	message    protocol.Message
	connID     ConnID // connID identifies the client connection on which the launch message arrived.
	class      int
	tenant     int
	quotaBytes int // quotaBytes is the size that counts towards the requestQuota while the request is open.
	deadline   placer.Seconds
	state      requestState
	attempts   []*Attempt
	// arrivalTimer passes the request to the placer when no more adoption requests are expected, or when the
	// arrivalQueue must not hold it back any longer. It is nil if the placer has the request.
	arrivalTimer *timerqueue.Timer[placer.Seconds]
	waitingEntry *list.Element // waitingEntry is the request's entry in the arrivalQueue, or nil.
	// placerTimers contains the timers that the placer has set for the open request, and that have not fired.
	placerTimers []*timerqueue.Timer[placer.Seconds]
}

// addPlacerTimer adds a timer that the placer has set for the request, and removes those that have fired.
func (r *request) addPlacerTimer(timer *timerqueue.Timer[placer.Seconds]) {
	r.placerTimers = slices.DeleteFunc(r.placerTimers, func(timer *timerqueue.Timer[placer.Seconds]) bool { return !timer.Pending() })
	r.placerTimers = append(r.placerTimers, timer)
}

// releaseMessage frees what only a further attempt would need of the launch message, which is up to 16 KiB. The
// request and its attempts are kept much longer.
func (r *request) releaseMessage() {
	r.message = identifyingPart(&r.message)
	for _, attempt := range r.attempts {
		attempt.Message = identifyingPart(&attempt.Message)
	}
}

// identifyingPart returns a launch message without everything that does not identify the task.
func identifyingPart(launch *protocol.Message) protocol.Message {
	part := protocol.Message{Kind: launch.Kind, UID: launch.UID, ID: launch.ID}
	part.Set(protocol.Key, launch.Get(protocol.Key))
	return part
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
