//go:build linux

// Package httpc is an HTTP/1.1 client on the event loop. A Client calls one server; a Call gets either a complete response
// or the pieces of one that goes on.
package httpc

import (
	"errors"
	"slices"
	"time"

	"heathshed/internal/control/connpool"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

const (
	defaultConnectTimeout       = time.Second
	defaultMaxResponseBodyBytes = 64 << 20 // bytes of a response
	requestHeadCapacity         = 256      // bytes for which there is space in a request at first, beside its body
)

var (
	// ErrTimeout ends a call that was not answered in time.
	ErrTimeout = errors.New("call timed out")
	// ErrCancelled ends a call by Call.Cancel or Client.Close.
	ErrCancelled = errors.New("cancelled")
)

// ConnectError says that there was no connection: the request was never sent.
type ConnectError struct{ Err error }

func (e *ConnectError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *ConnectError) Unwrap() error { return e.Err }

// Client calls one server. Its methods are for the loop's goroutine.
type Client struct {
	ConnectTimeout time.Duration
	PoolPolicy     connpool.Policy
	ResponseLimits http1.Limits // of a response

	loop            *eventloop.Loop
	addr            string
	idleConns       []*conn
	idleAges        []time.Duration // scratch space of chooseConn
	openSharedConns int             // without those of streams
	waitingCalls    []*Call         // for a connection
}

// New returns a client for the server at a literal address.
func New(loop *eventloop.Loop, addr string) *Client {
	limits := http1.DefaultLimits()
	limits.BodyBytes = defaultMaxResponseBodyBytes
	return &Client{
		loop:           loop,
		addr:           addr,
		ConnectTimeout: defaultConnectTimeout,
		PoolPolicy:     connpool.DefaultPolicy(),
		ResponseLimits: limits,
	}
}

// Addr is the server's address.
func (c *Client) Addr() string { return c.addr }

// Do sends a request. If timeout is not zero it bounds the whole call. The call is returned.
func (c *Client) Do(method, target string, header []http1.Field, body []byte, timeout time.Duration, call *Call) *Call {
	call.client = c
	call.request = c.appendRequest(make([]byte, 0, requestHeadCapacity+len(body)), method, target, header, body)
	call.isHEAD = method == "HEAD"
	if timeout > 0 {
		call.timeoutTimer = c.loop.After(timeout, func() { call.abort(ErrTimeout) })
	}
	c.assignConn(call)
	return call
}

func (c *Client) appendRequest(b []byte, method, target string, header []http1.Field, body []byte) []byte {
	b = http1.AppendRequestLine(b, method, target)
	b = http1.AppendField(b, "Host", c.addr)
	for i := range header {
		b = http1.AppendField(b, header[i].Name, header[i].Value)
	}
	if len(body) > 0 || methodTakesBody(method) {
		b = http1.AppendContentLength(b, len(body))
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

func methodTakesBody(method string) bool {
	return method == "POST" || method == "PUT" || method == "PATCH"
}

// start sends a call on an idle connection or a new one, or has it wait for one. A stream gets a connection of its own.
func (c *Client) assignConn(call *Call) {
	if call.OnBodyData != nil {
		c.dial(call)
		return
	}
	switch decision, chosen := c.chooseConn(call); decision {
	case connpool.UseIdle:
		c.removeIdleConn(chosen)
		chosen.send(call)
	case connpool.Wait:
		c.waitingCalls = append(c.waitingCalls, call)
	case connpool.ReplaceIdle:
		chosen.transport.Close()
		c.dial(call)
	default:
		c.dial(call)
	}
}

// chooseConn asks the pool's policy for a connection and closes those that it finds stale.
func (c *Client) chooseConn(call *Call) (connpool.Action, *conn) {
	c.idleAges = c.idleAges[:0]
	for _, connection := range c.idleConns {
		c.idleAges = append(c.idleAges, c.loop.Now().Sub(connection.idleSince))
	}
	decision := c.PoolPolicy.Choose(c.idleAges, c.openSharedConns, call.AvoidUnknownOutcome)
	var chosen *conn
	if decision.Action == connpool.UseIdle || decision.Action == connpool.ReplaceIdle {
		chosen = c.idleConns[decision.Index]
	}
	// Closing one changes c.idle, to which the indices refer.
	stale := make([]*conn, 0, len(decision.Stale))
	for _, i := range decision.Stale {
		stale = append(stale, c.idleConns[i])
	}
	for _, connection := range stale {
		connection.transport.Close()
	}
	return decision.Action, chosen
}

// dial opens a connection for a call.
func (c *Client) dial(call *Call) {
	connection := &conn{
		client:            c,
		call:              call,
		dedicatedToStream: call.OnBodyData != nil,
		decoder:           http1.Decoder{Limits: c.ResponseLimits, DecodeResponses: true, ResponseHasNoBody: call.isHEAD},
	}
	if connection.dedicatedToStream {
		connection.decoder.Limits.BodyBytes = 0
	} else {
		c.openSharedConns++
	}
	call.conn = connection
	transport, err := c.loop.Dial(c.addr, c.ConnectTimeout, connection)
	if err != nil {
		if !connection.dedicatedToStream {
			c.openSharedConns--
		}
		call.conn = nil
		// Later, so that no caller is called back before Do returns.
		c.loop.After(0, func() { call.finish(nil, nil, &ConnectError{err}) })
		return
	}
	connection.transport = transport
}

// runNext starts the first call that waits, on the given free connection or, if that is nil, on any.
func (c *Client) startNextWaitingCall(free *conn) {
	for len(c.waitingCalls) > 0 {
		call := c.waitingCalls[0]
		c.waitingCalls = c.waitingCalls[1:]
		if call.finished {
			continue
		}
		if free != nil {
			free.send(call)
		} else {
			c.assignConn(call)
		}
		return
	}
	if free != nil {
		c.idleConns = append(c.idleConns, free)
	}
}

// removeIdle removes a connection from the idle ones.
func (c *Client) removeIdleConn(connection *conn) {
	if i := slices.Index(c.idleConns, connection); i >= 0 {
		c.idleConns = slices.Delete(c.idleConns, i, i+1)
	}
}

// Close closes idle connections and fails the calls that wait for one.
func (c *Client) Close() {
	c.CloseIdle()
	waiting := c.waitingCalls
	c.waitingCalls = nil
	for _, call := range waiting {
		call.finish(nil, nil, &ConnectError{ErrCancelled})
	}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	idle := c.idleConns
	c.idleConns = nil
	for _, connection := range idle {
		connection.transport.Close()
	}
}
