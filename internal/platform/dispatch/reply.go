package dispatch

import "heathshed/internal/platform/protocol"

// noCause makes replyTo omit the cause.
const noCause protocol.Cause = -1

// replyTo returns a message about the task of msg. A negative cause is omitted.
func replyTo(msg *protocol.Message, kind protocol.Kind, cause protocol.Cause) protocol.Message {
	return protocol.Message{Kind: kind, UID: msg.UID, ID: msg.ID, Cause: max(cause, 0), HasCause: cause >= 0}
}
