//go:build linux

package httpc

import (
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

// Call is one request in flight. Set the exported fields before Client.Do.
type Call struct {
	// OnDone gets the response, or an error: a *ConnectError if the request was never sent. Head and body are valid during the
	// call only.
	OnDone func(head *http1.Head, body []byte, err error)
	// OnBodyData, if set, gets the body of a 2xx response piece by piece; OnDone then has no body.
	OnBodyData func(b []byte)
	// OnResponseHead, if set, is called at the head of the response.
	OnResponseHead func(head *http1.Head)
	// AvoidUnknownOutcome says that it is costly not to know whether the request has been read: see package connpool.
	AvoidUnknownOutcome bool

	client       *Client
	request      []byte
	conn         *conn // nil while the call waits for one
	timeoutTimer *eventloop.Timer
	finished     bool
	isHEAD       bool // the method is HEAD
	responseBody []byte
}

// Cancel ends the call; OnDone gets ErrCancelled.
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
