package dispatch

import (
	"heathshed/internal/control/timerqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// NodeConnID is the caller's number of a connection to a node, or 0 for none.
type NodeConnID uint64

// Attempt is one attempt to start a task on a node, or the run of an adopted task. The attemptTable owns it; of its fields the caller writes only
// NodeConn.
type Attempt struct {
	Node    placer.NodeID
	Message protocol.Message // the request as it is sent to the node
	// NodeConn is set by the caller: the connection that the attempt was sent on, 0 until then.
	NodeConn NodeConnID

	request      *request
	number       int // among the attempts of its request, from 0
	state        attemptState
	expiresAt    placer.Seconds // it is abandoned if it has no answer by then
	createdAt    placer.Seconds // when the placer requested it
	runningSince placer.Seconds // when the node's answer arrived, or when the task was adopted
	timer        *timerqueue.Timer[placer.Seconds]
	stopSent     bool // the node was asked to stop the task
}

// Live reports whether the attempt waits for its answer or runs the task.
func (a *Attempt) Live() bool { return a.state.live() }

// ClientConn returns the connection on which the request arrived.
func (a *Attempt) ClientConn() ConnID { return a.request.conn }

// Pending reports whether the attempt is still to be sent.
func (a *Attempt) Pending() bool { return a.state == attemptPending }

// Age returns the time since the placer requested the attempt.
func (a *Attempt) Age(now placer.Seconds) placer.Seconds { return now - a.createdAt }

// Unanswered reports whether the attempt waits for its connection or its answer.
func (a *Attempt) Unanswered() bool { return a.state.unanswered() }

func (a *Attempt) key() attemptKey { return attemptKey{a.Node, a.request.message.ID} }

// attemptKey identifies an attempt in messages of nodes.
type attemptKey struct {
	node placer.NodeID
	id   protocol.ID
}

// outcome is how an attempt ended, with the reason and the load report that the node gave.
type outcome struct {
	result placer.Result
	reason placer.Reason
	report *placer.Report // nil if the node sent none
}
