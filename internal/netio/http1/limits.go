// Package http1 reads and writes HTTP/1.1 messages (RFC 9112): an incremental decoder for requests and responses, and
// append functions for what is sent.
//
// It is a codec: it takes and gives bytes, knows neither sockets nor time, and imports nothing of the project.
package http1

import "fmt"

// Limits bound what one message may take.
type Limits struct {
	StartLineBytes int // bytes of the start line
	HeadBytes      int // bytes of start line and header fields together
	HeaderFields   int // number of header fields
	BodyBytes      int // bytes of the body, without chunk framing; 0 is no limit
	TrailerBytes   int // bytes of the trailer section
}

// DefaultLimits are those of a server for the API.
func DefaultLimits() Limits {
	return Limits{
		StartLineBytes: 8 << 10,
		HeadBytes:      32 << 10,
		HeaderFields:   100,
		BodyBytes:      3 << 20,
		TrailerBytes:   4 << 10,
	}
}

// Error is the reason why a message is rejected. Both fields are sent to the peer.
type Error struct {
	Status int // of the response that fits
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
