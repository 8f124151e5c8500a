package dispatch

import (
	"errors"
	"fmt"
)

// ErrClientNotConnected is returned for a message on a client connection that is not open.
var ErrClientNotConnected = errors.New("client connection is not open")

// InvalidReason is the reason why a message is invalid. Its values appear in logs and as metric labels.
type InvalidReason string

// The reasons for which a message is invalid.
const (
	InvalidBody     InvalidReason = "body"      // the launch message does not describe the task
	InvalidClass    InvalidReason = "class"     // the class is unknown
	InvalidTenant   InvalidReason = "tenant"    // the tenant is unknown
	InvalidKey      InvalidReason = "key"       // the key is not an ID
	InvalidExtras   InvalidReason = "extras"    // the extras are missing or malformed
	InvalidTimeLeft InvalidReason = "left"      // the time left is not a number or is out of range
	InvalidNode     InvalidReason = "at"        // the node that runs the task to adopt is not in the registry
	InvalidIDInUse  InvalidReason = "id in use" // the launch message has the ID of another task
	InvalidStop     InvalidReason = "stop"      // the request to stop belongs to another connection
)

// InvalidMessageError is returned for an invalid message.
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
