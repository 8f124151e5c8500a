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
	minTimerDelay           = 50 * time.Millisecond // between two looks at a connection's time limits
	maxUnreadBytesAfterHead = 64 << 10              // bytes that may wait unread beyond a head
	maxKeptBodyBytes        = 4 << 10               // bytes of a body's buffer that is kept for the next request
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// conn is one connection. It responds to one request at a time, in order.
type conn struct {
	server        *Server
	id            uint64
	transport     *eventloop.Conn
	decoder       http1.Decoder
	state         connState
	exchange      Exchange // the present request and its response; reused for the next
	deadlineTimer *eventloop.Timer

	requestStartedAt   clock.Instant // at which the first byte of the request that is being read came
	lastProgressAt     clock.Instant // at which the peer last took or sent something
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

// Closed implements eventloop.Handler. The reason of the end makes no difference to a request.
func (c *conn) Closed(*eventloop.Conn, error) {
	s := c.server
	c.deadlineTimer.Stop()
	s.memoryQuota.Remove(c.id)
	delete(s.connsByID, c.id)
	delete(s.conns, c)
	delete(s.streamingConns, c)
	c.closeStream()
	unanswered := c.state == stateHandling
	if c.state != stateEnded {
		c.setState(stateEnded)
	}
	if unanswered && c.exchange.OnDisconnect != nil {
		c.exchange.OnDisconnect()
	}
}

// consume reads requests from input, has them handled, and returns how many bytes it consumed.
func (c *conn) readRequests(input []byte) int {
	consumed := 0
	for c.state.acceptsRequestBytes() {
		if c.state == stateIdle {
			if c.transport.UnsentBytes() > c.server.options.OutputHighWaterMark {
				// The peer sends requests faster than it reads the responses: the next one waits until these have gone out.
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

// handleDecoded handles a part of a request that the decoder has found.
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

// rejectRequest responds to a request that cannot be read, and closes.
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

// nextRequest makes the connection ready for another request, or closes it if there is to be none.
func (c *conn) prepareForNextRequest() {
	c.lastProgressAt = c.server.loop.Now()
	if c.closeAfterResponse {
		c.setState(stateEnded)
		c.transport.CloseAfterFlush()
		return
	}
	c.setState(stateIdle)
	if cap(c.exchange.bodyBuffer) > maxKeptBodyBytes {
		c.exchange.bodyBuffer = nil
	}
	if c.transport.UnsentBytes() <= c.server.options.OutputHighWaterMark {
		c.transport.SetReadPaused(false)
	}
	c.transport.RedeliverInput()
}

// updateMemory tells the quota what the connection holds and closes the connections that are over it.
func (c *conn) reportMemoryUse() {
	if c.transport.Closed() {
		return
	}
	s := c.server
	held := c.transport.BufferMemoryBytes() + cap(c.exchange.bodyBuffer)
	s.memoryQuota.SetUsed(s.loop.Now(), c.id, int64(held))
	s.evictOverQuota()
}

// armTimer sets the connection's one timer for the time limit that now holds. It is set anew when it fires.
func (c *conn) armTimer() {
	loop := c.server.loop
	c.deadlineTimer = loop.At(max(c.deadline(), loop.Now().Add(minTimerDelay)), func() {
		c.checkDeadline()
		if !c.transport.Closed() {
			c.armTimer()
		}
	})
}

// shortenTimer sets the timer anew if it would fire later than after the limit.
func (c *conn) shortenTimer(limit time.Duration) {
	if c.deadlineTimer.Due() > c.server.loop.Now().Add(limit) {
		c.deadlineTimer.Stop()
		c.armTimer()
	}
}

// deadline is when the time limit that now holds is over.
func (c *conn) deadline() clock.Instant {
	options := &c.server.options
	switch {
	case c.state.isReceivingRequest():
		return c.requestStartedAt.Add(options.RequestTimeout)
	case c.transport.UnsentBytes() > 0:
		return c.lastProgressAt.Add(options.WriteTimeout)
	case c.state.awaitsResponseEnd():
		// No limit holds; look again by the time that output may have come to wait.
		return c.server.loop.Now().Add(options.WriteTimeout)
	}
	return c.lastProgressAt.Add(options.IdleTimeout)
}

// checkDeadline ends a connection whose time limit is over.
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

// isIdle reports whether there is neither a request nor a response, nor output that waits.
func (c *conn) isIdle() bool {
	return !c.state.isReceivingRequest() && !c.state.awaitsResponseEnd() && c.transport.UnsentBytes() == 0
}
