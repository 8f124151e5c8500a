package dispatch

import (
	"errors"
	"fmt"
)

// ErrClientNotConnected is the error of a message on a client connection that is not open.
var ErrClientNotConnected = errors.New("client connection is not open")

// InvalidReason is the reason why a message is invalid. Its values appear in logs and as labels of metrics.
type InvalidReason string

// The reasons why a message is invalid.
const (
	InvalidBody     InvalidReason = "body"      // a launch without a description of the task
	InvalidClass    InvalidReason = "class"     // an unknown class
	InvalidTenant   InvalidReason = "tenant"    // an unknown tenant
	InvalidKey      InvalidReason = "key"       // a key that is not an ID
	InvalidExtras   InvalidReason = "extras"    // missing or malformed extras
	InvalidTimeLeft InvalidReason = "left"      // a time left that is not a number or is out of range
	InvalidNode     InvalidReason = "at"        // an adoption from a node that is not in the registry
	InvalidIDInUse  InvalidReason = "id in use" // a launch with the ID of another task
	InvalidStop     InvalidReason = "stop"      // a stop for another connection's request
)

// InvalidMessageError is the error of an invalid message.
type InvalidMessageError struct {
	Reason InvalidReason
	Err    error
}

func (e *InvalidMessageError) Error() string { return e.Err.Error() }

// Unwrap returns the error that describes what is invalid.
func (e *InvalidMessageError) Unwrap() error { return e.Err }

func invalidMessage(reason InvalidReason, format string, args ...any) error {
	return &InvalidMessageError{reason, fmt.Errorf(format, args...)}
}
