//go:build linux

package httpc

import (
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

// Call is one request and its response. The caller must set the exported fields before it passes the call
// to Client.Do.
type Call struct {
	// OnDone is called once, with the response or with an error. The error is a *ConnectError if the
	// request was never sent. head and body are valid only until OnDone returns.
	OnDone func(head *http1.Head, body []byte, err error)
	// OnBodyData, if set, makes the call a streaming call. OnBodyData then receives the body of a 2xx
	// response in pieces as they arrive, and OnDone receives no body of such a response.
	OnBodyData func(b []byte)
	// OnResponseHead, if set, is called when the status line and header of the response have been received.
	OnResponseHead func(head *http1.Head)
	// AvoidUnknownOutcome must be set if the request is not idempotent. The client then does not send the
	// request on a connection that has been idle for longer than MaxIdleNonIdempotent of the pool policy.
	// The server may be closing such a connection at that moment, and the client could not tell whether the
	// server has read the request.
	AvoidUnknownOutcome bool
	// MaySend, if set, is called immediately before the request is sent. If it returns false, the request is
	// not sent, and OnDone receives ErrNotSent, wrapped in a *ConnectError. A call may have waited for a
	// connection, and the reason for the request may be gone.
	MaySend func() bool

	client *Client
	// request holds the encoded bytes of the request, which are sent unchanged.
	request []byte
	// conn is the connection on which the request is sent. It is nil while the call waits for a connection.
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

// withdrawn reports whether MaySend keeps the request from being sent.
func (call *Call) withdrawn() bool { return call.MaySend != nil && !call.MaySend() }

func (call *Call) finish(head *http1.Head, body []byte, err error) {
	if call.finished {
		return
	}
	call.finished = true
	call.timeoutTimer.Stop()
	call.OnDone(head, body, err)
}
