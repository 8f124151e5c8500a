package dispatch

import "heathshed/internal/platform/protocol"

// noCause stands for the absence of a cause. If replyTo is called with noCause, it returns a message without
// a cause.
const noCause protocol.Cause = -1

// replyTo returns a message with the given kind and cause about the task to which the message msg refers. If
// the given cause is negative, the returned message contains no cause.
func replyTo(msg *protocol.Message, kind protocol.Kind, cause protocol.Cause) protocol.Message {
	return protocol.Message{Kind: kind, UID: msg.UID, ID: msg.ID, Cause: max(cause, 0), HasCause: cause >= 0}
}
