package dispatch

import "heathshed/internal/platform/protocol"

// EffectKind specifies what the caller has to do to carry out an Effect.
type EffectKind uint8

// These are the kinds of effects.
const (
	// SendToClient requests that Message be sent on the client connection Conn.
	SendToClient EffectKind = iota + 1
	// SendAttempt requests that Attempt be sent to its node. The caller has to call Core.PrepareSend before
	// it writes the first byte.
	SendAttempt
	// SendToNode requests that Message be sent to the node of Attempt. The connection on which Attempt was
	// sent is used if it is open, otherwise any connection to the node.
	SendToNode
	// ConnectNode requests a connection to the node of Attempt, which runs an adopted task. The node needs a
	// connection to report the end of the task.
	ConnectNode
	// NodesChanged reports that the set of nodes or their addresses may have changed.
	NodesChanged
)

// Effect is an action that the caller of Core.Ready has to carry out. Effects have to be carried out in the
// order in which Ready returns them.
type Effect struct {
	Kind    EffectKind
	Conn    ConnID
	Attempt *Attempt
	Message protocol.Message
	// TimedOut is set for SendToNode if the attempt was not answered in time. The connection on which the
	// attempt was sent may then be broken.
	TimedOut bool
}
