package dispatch

import (
	"errors"
	"fmt"
)

// ErrClientNotConnected is returned for a message on a client connection that is not open.
var ErrClientNotConnected = errors.New("client connection is not open")

// InvalidReason is the reason why a message of a client, or a part of a message of a node, is invalid. Its values appear in logs and as metric
// labels.
type InvalidReason string

// These are the reasons why a message of a client is invalid.
const (
	InvalidBody     InvalidReason = "body"      // The launch message has no body. The body has to describe the task.
	InvalidClass    InvalidReason = "class"     // The launch message names an unknown task class.
	InvalidTenant   InvalidReason = "tenant"    // The launch message names no tenant or an unknown one.
	InvalidKey      InvalidReason = "key"       // The field Key does not consist of 16 hexadecimal digits.
	InvalidExtras   InvalidReason = "extras"    // A value in the field Extras is missing or malformed.
	InvalidTimeLeft InvalidReason = "left"      // The field TimeLeft is not a number or is out of range.
	InvalidNode     InvalidReason = "at"        // The adoption request names a node that is not in the node registry.
	InvalidIDInUse  InvalidReason = "id in use" // The launch message has the ID of another placement request.
	InvalidStop     InvalidReason = "stop"      // The Stop message refers to a request on another client connection.
	InvalidFigure   InvalidReason = "figure"    // A figure in a message of a node is not a number or is out of range.
)

// InvalidMessageError is the error that Core.ReceiveFromClient returns for an invalid message, and that
// Core.ReceiveFromNode returns for a message of which a part was left out.
type InvalidMessageError struct {
	Reason InvalidReason
	Err    error
}

func (e *InvalidMessageError) Error() string { return e.Err.Error() }

// Unwrap returns the error that describes the invalid part of the message.
func (e *InvalidMessageError) Unwrap() error { return e.Err }

func invalidMessage(reason InvalidReason, format string, args ...any) error {
	return &InvalidMessageError{reason, fmt.Errorf(format, args...)}
}
