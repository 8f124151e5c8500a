package dispatch

import (
	"errors"
	"fmt"
)

// ErrClientNotConnected is returned for a message on a client connection that is not open.
var ErrClientNotConnected = errors.New("client connection is not open")

// InvalidReason is the reason why a message of a client is invalid. Its values appear in logs and as metric
// labels.
type InvalidReason string

// These are the reasons why a message of a client is invalid.
const (
	InvalidBody     InvalidReason = "body"      // the launch message has no body, which would describe the task
	InvalidClass    InvalidReason = "class"     // the launch message names an unknown task class
	InvalidTenant   InvalidReason = "tenant"    // the launch message names an unknown tenant, or none
	InvalidKey      InvalidReason = "key"       // the field Key is not an ID of 16 hexadecimal digits
	InvalidExtras   InvalidReason = "extras"    // a value in the field Extras is missing or malformed
	InvalidTimeLeft InvalidReason = "left"      // the field TimeLeft is not a number or is out of range
	InvalidNode     InvalidReason = "at"        // the task to adopt runs on a node that is not in the registry
	InvalidIDInUse  InvalidReason = "id in use" // the launch message has the ID of another task
	InvalidStop     InvalidReason = "stop"      // the request to stop was opened on another connection
)

// InvalidMessageError is the error that Core.ReceiveFromClient returns for an invalid message.
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
