package dispatch

import "heathshed/internal/platform/protocol"

// noCause makes replyTo return a message without a cause.
const noCause protocol.Cause = -1

// replyTo returns a message with the given kind and cause about the task that msg refers to. If the cause is
// negative, the message contains no cause.
func replyTo(msg *protocol.Message, kind protocol.Kind, cause protocol.Cause) protocol.Message {
	return protocol.Message{Kind: kind, UID: msg.UID, ID: msg.ID, Cause: max(cause, 0), HasCause: cause >= 0}
}
