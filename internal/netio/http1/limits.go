// Package http1 decodes and encodes HTTP/1.1 messages (RFC 9112). It has an incremental decoder for
// requests and responses, and functions that append the parts of a message to a buffer.
//
// The package does no I/O. It uses neither sockets nor a clock and imports no other package of this module.
package http1

import "fmt"

// Limits restricts the size of one message.
type Limits struct {
	// StartLineBytes limits the length of the request line or status line.
	StartLineBytes int
	// HeadBytes limits the length of the start line and the header together.
	HeadBytes int
	// HeaderFields limits the number of header fields.
	HeaderFields int
	// BodyBytes limits the length of the body, not counting the chunk framing. The value 0 means that there
	// is no limit.
	BodyBytes int
	// TrailerBytes limits the length of the trailer section of a chunked body.
	TrailerBytes int
}

// DefaultLimits returns the limits for requests to the API server.
func DefaultLimits() Limits {
	return Limits{
		StartLineBytes: 8 << 10,
		HeadBytes:      32 << 10,
		HeaderFields:   100,
		BodyBytes:      3 << 20,
		TrailerBytes:   4 << 10,
	}
}

// Error tells why a message was rejected. A server sends both fields to the client in its response.
type Error struct {
	// Status is the status code of the response that reports the error.
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func errBadRequest(format string, args ...any) *Error {
	return &Error{StatusBadRequest, fmt.Sprintf(format, args...)}
}

func errBodyTooLarge() *Error { return &Error{StatusContentTooLarge, "body over the limit"} }

func errLineTooLong() *Error { return &Error{StatusURITooLong, "start line over the limit"} }

func errHeaderTooLarge(reason string) *Error { return &Error{StatusHeaderFieldsTooLarge, reason} }

func errBareLineFeed() *Error { return errBadRequest("line feed without carriage return") }

func errBareCarriageReturn() *Error { return errBadRequest("carriage return without line feed") }
