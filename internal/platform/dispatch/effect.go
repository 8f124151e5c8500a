package dispatch

import "heathshed/internal/platform/protocol"

// EffectKind specifies what the caller has to do to carry out an Effect.
type EffectKind uint8

// These are the kinds of effects.
const (
	// SendToClient requires the caller to send Message on the client connection Conn.
	SendToClient EffectKind = iota + 1
	// SendAttempt requires the caller to send Attempt to its node. The caller has to call Core.PrepareSend
	// before it writes the first byte.
	SendAttempt
	// SendToNode requires the caller to send Message to the node of Attempt. The caller uses the connection
	// on which Attempt was sent if that connection is open, otherwise any connection to the node. If no
	// connection is established, the message is not sent: the end of the connection on which an attempt was
	// sent tells the node that the attempt was given up.
	SendToNode
	// ConnectNode requires the caller to connect to the node of Attempt. The node runs an adopted task and
	// needs a connection to report the end of the task.
	ConnectNode
	// NodesChanged reports that the set of nodes or their addresses may have changed.
	NodesChanged
	// StopTask requires the caller to send Message to the node of Attempt, and then a check, on one and the
	// same connection. The caller selects the connection as for SendToNode. When the node has answered the
	// check, the caller calls Core.CheckAnswered with the number in Check. If no connection to the node is
	// established, or if the connection closes before the answer arrives, the caller sends nothing more:
	// after the next call of Core.RepeatChecks, Ready returns the effect again.
	StopTask
	// CheckNode is like StopTask without the message: it requires the caller to send only a check.
	CheckNode
	// StopLostTask requires the caller to send Message on the connection on which Attempt was sent, if that
	// connection is still open. The task was reported as lost with its node, but the process at the other end, which
	// may be that of a new node at the same address, may still run the task.
	StopLostTask
)

// Effect is an action that the caller of Core.Ready has to carry out. Effects have to be carried out in the
// order in which Ready returns them.
type Effect struct {
	Kind    EffectKind
	Conn    ConnID
	Attempt *Attempt
	Message protocol.Message
	// TimedOut is set in a SendToNode effect if Attempt was not answered in time. The connection on which
	// Attempt was sent may then be broken.
	TimedOut bool
	Check    uint64 // Check is the number of the check in an effect of kind StopTask or CheckNode.
}
