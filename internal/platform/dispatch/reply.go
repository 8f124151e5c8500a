package dispatch

import "heathshed/internal/platform/protocol"

// noCause tells replyTo to omit the cause.
const noCause protocol.Cause = -1

// replyTo returns a message with the given kind and cause about the task that msg refers to. A negative cause
// is omitted.
func replyTo(msg *protocol.Message, kind protocol.Kind, cause protocol.Cause) protocol.Message {
	return protocol.Message{Kind: kind, UID: msg.UID, ID: msg.ID, Cause: max(cause, 0), HasCause: cause >= 0}
}
