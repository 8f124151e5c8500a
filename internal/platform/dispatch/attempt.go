package dispatch

import (
	"heathshed/internal/control/timerqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// NodeConnID identifies a connection to a node; the caller assigns it. The value 0 means no connection.
type NodeConnID uint64

// Attempt is one attempt to start a task on a node, or represents an adopted task. The attemptTable owns it;
// NodeConn is the only field that the caller may write.
type Attempt struct {
	Node    placer.NodeID
	Message protocol.Message // the launch message that is sent to the node
	// NodeConn is set by the caller to the connection on which the attempt was sent. It is 0 before that.
	NodeConn NodeConnID

	request      *request
	number       int // index among the attempts of its request
	state        attemptState
	expiresAt    placer.Seconds // an unanswered attempt is abandoned at this time
	createdAt    placer.Seconds // when the placer requested the attempt
	runningSince placer.Seconds // when the node's acceptance arrived or the task was adopted
	timer        *timerqueue.Timer[placer.Seconds]
	stopSent     bool // whether the node was asked to stop the task
}

// Live reports whether the attempt is waiting for its answer or runs the task.
func (a *Attempt) Live() bool { return a.state.isLive() }

// ClientConn returns the client connection on which the attempt's request arrived.
func (a *Attempt) ClientConn() ConnID { return a.request.conn }

// Pending reports whether the attempt has not been sent yet.
func (a *Attempt) Pending() bool { return a.state == attemptPending }

// Age returns the time since the placer requested the attempt.
func (a *Attempt) Age(now placer.Seconds) placer.Seconds { return now - a.createdAt }

// Unanswered reports whether the attempt is waiting for its connection or for its answer.
func (a *Attempt) Unanswered() bool { return a.state.isUnanswered() }

func (a *Attempt) key() attemptKey { return attemptKey{a.Node, a.request.message.ID} }

// attemptKey identifies the attempt that a message of a node refers to.
type attemptKey struct {
	node placer.NodeID
	id   protocol.ID
}

// attemptOutcome describes how an attempt ended, with the reason and the load report that the node sent.
type attemptOutcome struct {
	result placer.Result
	reason placer.Reason
	report *placer.Report // nil if the node sent no load report
}
