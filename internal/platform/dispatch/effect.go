package dispatch

import "heathshed/internal/platform/protocol"

// EffectKind selects what the caller has to do for an Effect.
type EffectKind uint8

// The kinds of effect.
const (
	// SendToClient sends Message on the client connection Conn.
	SendToClient EffectKind = iota + 1
	// SendAttempt sends Attempt to its node. The caller calls Core.PrepareSend before the first byte is written.
	SendAttempt
	// SendToNode sends Message to the node of Attempt, on the connection on which Attempt was sent if that is open, otherwise on any.
	SendToNode
	// ConnectNode opens a connection to the node of Attempt, which runs a task that was adopted: the node needs one to report the task's end.
	ConnectNode
	// NodesChanged says that nodes or their addresses may have changed.
	NodesChanged
)

// Effect is an instruction to the caller. Effects have to be carried out in order.
type Effect struct {
	Kind    EffectKind
	Conn    ConnID
	Attempt *Attempt
	Message protocol.Message
	// TimedOut is set, with SendToNode, if the attempt was not answered in time: the connection on which it was sent may be broken.
	TimedOut bool
}
