//go:build linux

package httpd

import (
	"errors"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

const (
	// minTimerDelay is the minimum time between two checks of the time limits of a connection.
	minTimerDelay = 50 * time.Millisecond
	// maxUnreadBytesAfterHead is the number of input bytes that a connection may buffer in addition to a
	// request head of the maximum size.
	maxUnreadBytesAfterHead = 64 << 10
	// maxKeptBodyBytes is the largest capacity of a request body buffer that a connection keeps for its
	// next request. A larger buffer is released.
	maxKeptBodyBytes = 4 << 10
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// conn is one connection from a client. It handles one request at a time, in the order of arrival.
type conn struct {
	server    *Server
	id        uint64
	transport *eventloop.Conn
	decoder   http1.Decoder
	state     connState
	// exchange is the current request and its response. It is reused for the next request.
	exchange      Exchange
	deadlineTimer *eventloop.Timer

	// requestStartedAt is the time at which the first byte of the current request was received.
	requestStartedAt clock.Instant
	// lastProgressAt is the time at which the connection last made progress: all queued output was
	// sent, a request was received completely, or a response was completed. Before the first progress,
	// it is the time at which the connection was opened.
	lastProgressAt     clock.Instant
	closeAfterResponse bool
}

// Opened implements eventloop.Handler.
func (c *conn) Opened(transport *eventloop.Conn) {
	s := c.server
	c.transport = transport
	c.lastProgressAt = s.loop.Now()
	transport.MaxInputBytes = s.options.Limits.HeadBytes + maxUnreadBytesAfterHead
	s.conns[c] = struct{}{}
	s.lastConnID++
	c.id = s.lastConnID
	s.connsByID[c.id] = c
	s.memoryQuota.Add(c.lastProgressAt, c.id)
	c.armTimer()
}

// Data implements eventloop.Handler.
func (c *conn) Data(transport *eventloop.Conn, input []byte) int {
	consumed := c.readRequests(input)
	if !transport.Closed() {
		c.reportMemoryUse()
	}
	return consumed
}

// Drained implements eventloop.Handler.
func (c *conn) Drained(*eventloop.Conn) {
	c.lastProgressAt = c.server.loop.Now()
	c.pullStream()
	if !c.state.hasUnfinishedExchange() && c.state != stateEnded {
		c.transport.SetReadPaused(false)
	}
	c.reportMemoryUse()
}

// Closed implements eventloop.Handler. It ignores the error, because the connection is cleaned up in the
// same way whatever the cause.
func (c *conn) Closed(*eventloop.Conn, error) {
	s := c.server
	c.deadlineTimer.Stop()
	s.memoryQuota.Remove(c.id)
	delete(s.connsByID, c.id)
	delete(s.conns, c)
	delete(s.streamingConns, c)
	c.closeStream()
	responsePending := c.state == stateHandling
	if c.state != stateEnded {
		c.setState(stateEnded)
	}
	if responsePending && c.exchange.OnDisconnect != nil {
		c.exchange.OnDisconnect()
	}
}

// readRequests decodes requests from input, passes each complete request to the handler, and returns how
// many bytes of input it consumed.
func (c *conn) readRequests(input []byte) int {
	consumed := 0
	for c.state.acceptsRequestBytes() {
		if c.state == stateIdle {
			if c.transport.UnsentBytes() > c.server.options.OutputHighWaterMark {
				// The client sends requests faster than it reads responses. The next request is not read
				// until the queued responses have been sent.
				c.transport.SetReadPaused(true)
				return consumed
			}
			if consumed == len(input) {
				return consumed
			}
			c.requestStartedAt = c.server.loop.Now()
			c.setState(stateReadingHead)
		}
		n, event, err := c.decoder.Next(input[consumed:])
		consumed += n
		if err != nil {
			c.rejectRequest(err)
			return len(input)
		}
		if event == http1.NeedMoreInput {
			c.shortenTimer(c.server.options.RequestTimeout)
			return consumed
		}
		c.handleDecoderEvent(event)
		if c.transport.Closed() {
			return consumed
		}
	}
	if c.state == stateEnded {
		return len(input)
	}
	if len(input)-consumed > c.transport.MaxInputBytes/2 {
		c.transport.SetReadPaused(true)
	}
	return consumed
}

// handleDecoderEvent handles the part of a request that the decoder has just decoded.
func (c *conn) handleDecoderEvent(event http1.Event) {
	e := &c.exchange
	switch event {
	case http1.HeadComplete:
		c.setState(stateReadingBody)
		*e = Exchange{conn: c, bodyBuffer: e.bodyBuffer[:0]}
		e.Head = &c.decoder.Head
		e.Peer = c.transport.Peer()
		if e.Head.ExpectContinue {
			c.transport.Write([]byte(continueResponse))
		}
	case http1.BodyData:
		e.bodyBuffer = append(e.bodyBuffer, c.decoder.BodyPiece...)
	case http1.MessageComplete:
		c.setState(stateHandling)
		c.lastProgressAt = c.server.loop.Now()
		c.closeAfterResponse = e.Head.CloseConnection
		e.Body = e.bodyBuffer
		c.server.Requests++
		c.server.handler(e)
	}
}

// rejectRequest responds with an error status to a request that is invalid or took too long, and closes the
// connection.
func (c *conn) rejectRequest(err error) {
	c.server.BadRequests++
	c.setState(stateEnded)
	status := http1.StatusBadRequest
	var rejection *http1.Error
	if errors.As(err, &rejection) {
		status = rejection.Status
	}
	body := []byte(err.Error() + "\n")
	out := http1.AppendStatusLine(c.transport.OutputBuffer(), status)
	out = http1.AppendField(out, "Content-Type", "text/plain; charset=utf-8")
	out = http1.AppendContentLength(out, len(body))
	out = append(out, "Connection: close\r\n\r\n"...)
	c.transport.CommitOutput(append(out, body...))
	c.transport.CloseAfterFlush()
}

// prepareForNextRequest is called when a response is complete. It prepares the connection for the next
// request, or closes the connection if no further request is allowed.
func (c *conn) prepareForNextRequest() {
	c.lastProgressAt = c.server.loop.Now()
	if c.closeAfterResponse {
		c.setState(stateEnded)
		c.transport.CloseAfterFlush()
		return
	}
	c.setState(stateIdle)
	c.decoder.Head = http1.Head{} // An idle connection keeps no head.
	if cap(c.exchange.bodyBuffer) > maxKeptBodyBytes {
		c.exchange.bodyBuffer = nil
	}
	if c.transport.UnsentBytes() <= c.server.options.OutputHighWaterMark {
		c.transport.SetReadPaused(false)
	}
	c.transport.RedeliverInput()
}

// reportMemoryUse reports the memory use of the connection to the memory quota and closes connections if
// the quota is exceeded.
func (c *conn) reportMemoryUse() {
	if c.transport.Closed() {
		return
	}
	s := c.server
	usedBytes := c.transport.BufferMemoryBytes() + cap(c.exchange.bodyBuffer) + c.decoder.Head.MemoryBytes()
	s.memoryQuota.SetUsed(s.loop.Now(), c.id, int64(usedBytes))
	s.evictOverQuota()
}

// armTimer sets deadlineTimer to fire when the time limit that currently applies expires, but not
// before minTimerDelay has passed. When the timer fires, it calls checkDeadline and then, unless
// the connection is closed, armTimer.
func (c *conn) armTimer() {
	loop := c.server.loop
	c.deadlineTimer = loop.At(max(c.deadline(), loop.Now().Add(minTimerDelay)), func() {
		c.checkDeadline()
		if !c.transport.Closed() {
			c.armTimer()
		}
	})
}

// shortenTimer is called when a shorter time limit begins to apply. If deadlineTimer is due more than
// maxDelay from now, shortenTimer stops it and calls armTimer, which sets it to the end of the new time
// limit.
func (c *conn) shortenTimer(maxDelay time.Duration) {
	if c.deadlineTimer.Due() > c.server.loop.Now().Add(maxDelay) {
		c.deadlineTimer.Stop()
		c.armTimer()
	}
}

// deadline returns the time at which the time limit that currently applies expires.
func (c *conn) deadline() clock.Instant {
	options := &c.server.options
	switch {
	case c.state.isReceivingRequest():
		return c.requestStartedAt.Add(options.RequestTimeout)
	case c.transport.UnsentBytes() > 0:
		return c.lastProgressAt.Add(options.WriteTimeout)
	case c.state.awaitsResponseEnd():
		// No time limit applies while the handler prepares the response. The write timeout of output that
		// is queued from now on cannot expire before the returned time.
		return c.server.loop.Now().Add(options.WriteTimeout)
	}
	return c.lastProgressAt.Add(options.IdleTimeout)
}

// checkDeadline closes the connection if a time limit has expired. If a request took too long, it sends a
// response with status 408 first.
func (c *conn) checkDeadline() {
	now := c.server.loop.Now()
	options := &c.server.options
	buffered := c.transport.UnsentBytes()
	switch {
	case c.state.isReceivingRequest() && now >= c.requestStartedAt.Add(options.RequestTimeout):
		c.rejectRequest(&http1.Error{Status: http1.StatusRequestTimeout, Reason: "request took too long"})
	case buffered > 0 && now >= c.lastProgressAt.Add(options.WriteTimeout):
		c.transport.Close()
	case c.isIdle() && now >= c.lastProgressAt.Add(options.IdleTimeout):
		c.transport.CloseAfterFlush()
	}
}

// isIdle reports whether the connection is neither receiving a request nor waiting for the end of a
// response, and has no output queued.
func (c *conn) isIdle() bool {
	return !c.state.isReceivingRequest() && !c.state.awaitsResponseEnd() && c.transport.UnsentBytes() == 0
}
