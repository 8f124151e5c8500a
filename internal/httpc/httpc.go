//go:build linux

// Package httpc is an HTTP/1.1 client on the event loop, for one server a Client: calls with a whole answer, and
// streams whose answer goes on.
package httpc

import (
	"errors"
	"fmt"
	"slices"

	"heathshed/internal/connpool"
	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
)

// ErrTimeout ends a call that was not answered in time.
var ErrTimeout = errors.New("no answer in time")

// ErrCancelled ends a call that was cancelled here.
var ErrCancelled = errors.New("cancelled")

// ConnectError says that no connection came about: the request was never sent.
type ConnectError struct{ Err error }

func (e *ConnectError) Error() string { return e.Err.Error() }
func (e *ConnectError) Unwrap() error { return e.Err }

// Client calls one server.
type Client struct {
	ConnectTimeoutSeconds float64 // seconds
	Pool                  connpool.Policy
	Limits                http1.Limits

	loop      *eventloop.Loop
	addr      string
	idle      []*conn
	idleAges  []float64 // scratch
	openConns int
	waiting   []*Call
}

// New returns a client for the server at a literal address.
func New(loop *eventloop.Loop, addr string) *Client {
	limits := http1.DefaultLimits()
	limits.Body = 64 << 20
	return &Client{loop: loop, addr: addr, ConnectTimeoutSeconds: 1, Pool: connpool.DefaultPolicy(), Limits: limits}
}

// Addr is the server's address.
func (c *Client) Addr() string { return c.addr }

// Call is one request under way.
type Call struct {
	// Done gets the answer, or an error: a ConnectError if the request was never sent. Head and body are valid during
	// the call only.
	Done func(h *http1.Head, body []byte, err error)
	// Data, where set, gets the body of a 2xx answer piece by piece; Done then has no body. Started is called at the head.
	Started func(h *http1.Head)
	Data    func(b []byte)
	// AvoidUnknownOutcome says that a request that may or may not have been read is dear: see package connpool.
	AvoidUnknownOutcome bool

	client      *Client
	request     []byte
	conn        *conn
	timer       *eventloop.Timer
	finished    bool
	headRequest bool // a HEAD request
	body        []byte
}

// Do sends a request. Within bounds the whole call in seconds; 0 does not.
func (c *Client) Do(method, target string, header []http1.Field, body []byte, timeoutSeconds float64, call *Call) *Call {
	b := http1.AppendRequestLine(make([]byte, 0, 256+len(body)), method, target)
	b = http1.AppendField(b, "Host", c.addr)
	for i := range header {
		b = http1.AppendField(b, header[i].Name, header[i].Value)
	}
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = http1.AppendLength(b, len(body))
	}
	b = append(b, "\r\n"...)
	call.client, call.request, call.headRequest = c, append(b, body...), method == "HEAD"
	if timeoutSeconds > 0 {
		call.timer = c.loop.After(timeoutSeconds, func() { call.abort(ErrTimeout) })
	}
	c.start(call)
	return call
}

func (c *Client) start(call *Call) {
	if call.Data == nil {
		c.idleAges = c.idleAges[:0]
		for _, connection := range c.idle {
			c.idleAges = append(c.idleAges, c.loop.Now()-connection.idleSince)
		}
		decision := c.Pool.Choose(c.idleAges, c.openConns, call.AvoidUnknownOutcome)
		var chosen *conn
		if decision.Action == connpool.Use || decision.Action == connpool.Replace {
			chosen = c.idle[decision.Index]
		}
		stale := make([]*conn, 0, len(decision.Stale))
		for _, i := range decision.Stale {
			stale = append(stale, c.idle[i])
		}
		for _, connection := range stale {
			connection.transport.Close()
		}
		switch decision.Action {
		case connpool.Use:
			c.removeIdle(chosen)
			chosen.send(call)
			return
		case connpool.Replace:
			chosen.transport.Close()
		case connpool.Wait:
			c.waiting = append(c.waiting, call)
			return
		}
	}
	connection := &conn{client: c, call: call, decoder: http1.Decoder{Limits: c.Limits, Responses: true, NoBody: call.headRequest}}
	if call.Data != nil {
		connection.streaming = true
		connection.decoder.Limits.Body = 0
	} else {
		c.openConns++
	}
	call.conn = connection
	transport, err := c.loop.Dial(c.addr, c.ConnectTimeoutSeconds, connection)
	if err != nil {
		if !connection.streaming {
			c.openConns--
		}
		call.conn = nil
		// Later, so that no caller is called back before Do returns.
		c.loop.After(0, func() { call.finish(nil, nil, &ConnectError{err}) })
		return
	}
	connection.transport = transport
}

// removeIdle takes a connection out of the idle ones.
func (c *Client) removeIdle(connection *conn) {
	if i := slices.Index(c.idle, connection); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
	}
}

// Cancel ends the call; Done gets ErrCancelled.
func (call *Call) Cancel() { call.abort(ErrCancelled) }

func (call *Call) abort(err error) {
	if call.finished {
		return
	}
	connection := call.conn
	if connection == nil || !connection.connected {
		err = &ConnectError{err} // never sent
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
	call.timer.Stop()
	call.Done(head, body, err)
}

// Close drops idle connections and fails what waits.
func (c *Client) Close() {
	c.CloseIdle()
	waiting := c.waiting
	c.waiting = nil
	for _, call := range waiting {
		call.finish(nil, nil, &ConnectError{ErrCancelled})
	}
}

// CloseIdle drops idle connections.
func (c *Client) CloseIdle() {
	idle := c.idle
	c.idle = nil
	for _, connection := range idle {
		connection.transport.Close()
	}
}

type conn struct {
	client    *Client
	transport *eventloop.Conn
	decoder   http1.Decoder
	call      *Call
	connected bool
	streaming bool
	idleSince float64
}

func (c *conn) send(call *Call) {
	call.conn, c.call = c, call
	c.decoder.NoBody = call.headRequest
	c.transport.Write(call.request)
}

func (c *conn) Opened(transport *eventloop.Conn) {
	c.transport, c.connected = transport, true
	if c.call == nil || c.call.finished {
		transport.Close()
		return
	}
	transport.Write(c.call.request)
}

func (c *conn) Data(transport *eventloop.Conn, input []byte) int {
	consumed := 0
	for {
		call := c.call
		if call == nil {
			transport.Close() // bytes that nobody asked for
			return len(input)
		}
		taken, kind, err := c.decoder.Next(input[consumed:])
		consumed += taken
		if err != nil {
			call.finish(nil, nil, fmt.Errorf("%s: %w", c.client.addr, err))
			transport.Close()
			return len(input)
		}
		switch kind {
		case http1.NeedMore:
			return consumed
		case http1.HeadComplete:
			if call.Started != nil && c.decoder.Head.Status >= 200 {
				call.Started(&c.decoder.Head)
			}
		case http1.BodyData:
			if call.Data != nil && c.decoder.Head.Status/100 == 2 {
				call.Data(c.decoder.Body)
			} else {
				call.body = append(call.body, c.decoder.Body...)
			}
		case http1.MessageComplete:
			if c.decoder.Head.Status < 200 {
				continue
			}
			c.call = nil
			keep := !c.decoder.Head.Close && !c.streaming
			call.finish(&c.decoder.Head, call.body, nil)
			if transport.Closed() {
				return consumed
			}
			if !keep {
				transport.Close()
				return len(input)
			}
			c.idleSince = c.client.loop.Now()
			if len(c.client.waiting) > 0 {
				c.client.runNext(c)
			} else {
				c.client.idle = append(c.client.idle, c)
			}
		}
		if transport.Closed() {
			return consumed
		}
	}
}

// runNext gives a free connection to the first call that waits.
func (c *Client) runNext(connection *conn) {
	for len(c.waiting) > 0 {
		call := c.waiting[0]
		c.waiting = c.waiting[1:]
		if !call.finished {
			if connection != nil {
				connection.send(call)
			} else {
				c.start(call)
			}
			return
		}
	}
	if connection != nil {
		c.idle = append(c.idle, connection)
	}
}

func (c *conn) Drained(*eventloop.Conn) {}

func (c *conn) Closed(_ *eventloop.Conn, err error) {
	if !c.streaming {
		c.client.openConns--
	}
	c.client.removeIdle(c)
	if call := c.call; call != nil {
		c.call = nil
		if !c.connected {
			call.finish(nil, nil, &ConnectError{err})
		} else if ok, eofErr := c.decoder.EOF(0); ok && eofErr == nil && !call.finished {
			call.finish(&c.decoder.Head, call.body, nil)
		} else {
			call.finish(nil, nil, fmt.Errorf("%s: connection broke: %w", c.client.addr, err))
		}
	}
	c.client.runNext(nil)
}
