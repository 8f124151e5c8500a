//go:build linux

package httpc

import (
	"fmt"

	"heathshed/internal/control/clock"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

// conn is one connection to the server. It carries at most one call at a time.
type conn struct {
	client    *Client
	transport *eventloop.Conn
	decoder   http1.Decoder
	// call is the call that the connection carries. It is nil if the connection is idle.
	call        *Call
	established bool
	// dedicatedToStream reports that the connection was opened for a streaming call. Such a connection is
	// not reused for another call.
	dedicatedToStream bool
	idleSince         clock.Instant
}

// send sends the request of a call on an established connection.
func (c *conn) send(call *Call) {
	call.conn = c
	c.call = call
	c.decoder.ResponseHasNoBody = call.isHEAD
	c.writeRequest()
}

// writeRequest sends the request of the connection's call, unless the call is withdrawn. The connection is then
// closed, because it may not be given to another call while this one ends.
func (c *conn) writeRequest() {
	call := c.call
	if !call.withdrawn() {
		c.transport.Write(call.request)
		return
	}
	c.call = nil
	c.client.loop.After(0, func() { call.finish(nil, nil, &ConnectError{ErrNotSent}) })
	c.transport.Close()
}

// Opened implements eventloop.Handler.
func (c *conn) Opened(transport *eventloop.Conn) {
	c.transport = transport
	c.established = true
	if c.call == nil || c.call.finished {
		transport.Close()
		return
	}
	c.writeRequest()
}

// Data implements eventloop.Handler.
func (c *conn) Data(transport *eventloop.Conn, input []byte) int {
	consumed := 0
	for {
		call := c.call
		if call == nil {
			// The server sent bytes that no call expects. TODO: This code is also reached when a response
			// has just ended and no call is waiting. As a result, a connection is never kept for a later
			// call.
			transport.Close()
			return len(input)
		}
		n, event, err := c.decoder.Next(input[consumed:])
		consumed += n
		if err != nil {
			call.finish(nil, nil, fmt.Errorf("response from %s: %w", c.client.addr, err))
			transport.Close()
			return len(input)
		}
		if event == http1.NeedMoreInput {
			return consumed
		}
		c.handleDecoderEvent(event)
		if transport.Closed() {
			return consumed
		}
	}
}

// handleDecoderEvent handles the part of a response that the decoder has just decoded.
func (c *conn) handleDecoderEvent(event http1.Event) {
	call := c.call
	head := &c.decoder.Head
	switch event {
	case http1.HeadComplete:
		if call.OnResponseHead != nil && !isInterim(head) {
			call.OnResponseHead(head)
		}
	case http1.BodyData:
		if call.OnBodyData != nil && http1.IsSuccess(head.Status) {
			call.OnBodyData(c.decoder.BodyPiece)
		} else {
			call.responseBody = append(call.responseBody, c.decoder.BodyPiece...)
		}
	case http1.MessageComplete:
		if !isInterim(head) {
			c.completeCall()
		}
	}
}

// isInterim reports whether the response has a 1xx status. Such a response is followed by another response
// to the same request.
func isInterim(head *http1.Head) bool { return head.Status < http1.StatusOK }

// completeCall finishes a call whose response is complete. If the connection can be reused, completeCall
// starts the next waiting call on it, or makes the connection idle if no call waits.
func (c *conn) completeCall() {
	call := c.call
	c.call = nil
	reusable := !c.decoder.Head.CloseConnection && !c.dedicatedToStream
	call.finish(&c.decoder.Head, call.responseBody, nil)
	if c.transport.Closed() {
		return
	}
	if !reusable {
		c.transport.Close()
		return
	}
	c.idleSince = c.client.loop.Now()
	c.client.startNextWaitingCall(c)
}

// Drained implements eventloop.Handler.
func (c *conn) Drained(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (c *conn) Closed(_ *eventloop.Conn, err error) {
	if !c.dedicatedToStream {
		c.client.openSharedConns--
	}
	c.client.removeIdleConn(c)
	if call := c.call; call != nil {
		c.call = nil
		c.finishCallOnClose(call, err)
	}
	c.client.startNextWaitingCall(nil)
}

// finishCallOnClose finishes a call whose connection was closed. The call succeeds if closing the
// connection marks the end of the response body, and fails otherwise.
func (c *conn) finishCallOnClose(call *Call, err error) {
	if !c.established {
		call.finish(nil, nil, &ConnectError{err})
		return
	}
	complete, eofErr := c.decoder.EOF(0)
	if complete && eofErr == nil && !call.finished {
		call.finish(&c.decoder.Head, call.responseBody, nil)
		return
	}
	call.finish(nil, nil, fmt.Errorf("response from %s: connection broke: %w", c.client.addr, err))
}
