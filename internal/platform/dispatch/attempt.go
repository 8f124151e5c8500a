package dispatch

import (
	"container/list"

	"heathshed/internal/control/timerqueue"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// NodeConnID identifies a connection to a node. The caller of the core assigns the IDs. The value 0 stands
// for the absence of a connection.
type NodeConnID uint64

// Attempt is one attempt to start a task on a node. An adopted task also has an Attempt. That Attempt is in
// state attemptRunning from the start. Attempts are owned by attemptTable. The caller of the core may write
// only the field NodeConn.
type Attempt struct {
	Node placer.NodeID
	// Message is the launch message that is sent to the node. Once the request is no longer open, it has only the
	// ID and the field Key.
	Message protocol.Message
	// NodeConn is the connection on which the attempt was sent. It is 0 until the attempt is sent. The
	// caller of the core sets it.
	NodeConn NodeConnID

	request      *request
	number       int // number is the index of the attempt in request.attempts.
	state        attemptState
	expiresAt    placer.Seconds // expiresAt is the time at which an unanswered attempt is abandoned.
	createdAt    placer.Seconds // createdAt is when the placer requested the attempt or when the task was adopted.
	runningSince placer.Seconds // runningSince is when the node's acceptance arrived or when the task was adopted.
	timer        *timerqueue.Timer[placer.Seconds]
	// unverifiedOf contains the attempt until the node has sent a message about the adopted task. It is nil for
	// other attempts, and unverifiedIndex is the position in it.
	unverifiedOf    *connAdoptions
	unverifiedIndex int
	abandonedEntry  *list.Element  // abandonedEntry is the attempt's entry in attemptTable.abandoned, or nil.
	connClosed      bool           // connClosed is set if the connection NodeConn has ended.
	stopOrdered     bool           // stopOrdered is set if the node was ordered to stop the running task.
	stopCause       protocol.Cause // stopCause is the cause of the stop order.
	awaitedCheck    uint64         // awaitedCheck is the number of the check that the node has not answered, or 0.
}

// Live reports whether the attempt is live: either it waits for the answer of its node, or its task runs.
func (a *Attempt) Live() bool { return a.state.isLive() }

// ClientConn returns the ID of the client connection on which the placement request of the attempt arrived.
func (a *Attempt) ClientConn() ConnID { return a.request.connID }

// Pending reports whether the attempt has not been sent yet.
func (a *Attempt) Pending() bool { return a.state == attemptPending }

// Age returns the time since the placer requested the attempt or, for an adopted task, since the adoption.
func (a *Attempt) Age(now placer.Seconds) placer.Seconds { return now - a.createdAt }

// Unanswered reports whether the attempt waits for a connection to its node or for the node's answer.
func (a *Attempt) Unanswered() bool { return a.state.isUnanswered() }

// stopMessage returns the order to the node to stop the running task.
func (a *Attempt) stopMessage() protocol.Message {
	return replyTo(&a.request.message, protocol.Stop, a.stopCause)
}

func (a *Attempt) key() attemptKey { return attemptKey{a.Node, a.request.message.ID} }

// attemptKey identifies the attempt to which a message of a node refers. It consists of the node that sent
// the message and the task ID in the message.
type attemptKey struct {
	node placer.NodeID
	id   protocol.ID
}

// attemptOutcome describes how an attempt ended. It includes the reason that the node gave and the load
// report that the node sent.
type attemptOutcome struct {
	result placer.Result
	reason placer.Reason
	report *placer.Report // report is nil if the node sent no load report.
}
