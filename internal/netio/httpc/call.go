//go:build linux

package httpc

import (
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

// Call is one request and its response. The exported fields must be set before the call is passed to
// Client.Do.
type Call struct {
	// OnDone is called once, with the response or with an error. The error is a *ConnectError if the
	// request was never sent. head and body are valid only until OnDone returns.
	OnDone func(head *http1.Head, body []byte, err error)
	// OnBodyData, if set, receives the body of a 2xx response in pieces as they arrive. OnDone then
	// receives no body.
	OnBodyData func(b []byte)
	// OnResponseHead, if set, is called when the status line and header of the response have been received.
	OnResponseHead func(head *http1.Head)
	// AvoidUnknownOutcome is set for a request that is not idempotent. It is then not sent on a connection that
	// has been idle for longer than MaxIdleNonIdempotent of the pool policy. The server may close such a
	// connection at the same moment, and the client could not tell whether the request was read.
	AvoidUnknownOutcome bool

	client *Client
	// request is the encoded request.
	request []byte
	// conn is the connection of the call. It is nil while the call waits for one.
	conn         *conn
	timeoutTimer *eventloop.Timer
	finished     bool
	// isHEAD reports that the request method is HEAD.
	isHEAD       bool
	responseBody []byte
}

// Cancel aborts the call. OnDone receives ErrCancelled, wrapped in a *ConnectError if the request was never
// sent.
func (call *Call) Cancel() { call.abort(ErrCancelled) }

func (call *Call) abort(err error) {
	if call.finished {
		return
	}
	connection := call.conn
	if connection == nil || !connection.established {
		err = &ConnectError{err}
	}
	call.finish(nil, nil, err)
	if connection != nil {
		connection.transport.Close()
	}
}

func (call *Call) finish(head *http1.Head, body []byte, err error) {
	if call.finished {
		return
	}
	call.finished = true
	call.timeoutTimer.Stop()
	call.OnDone(head, body, err)
}
