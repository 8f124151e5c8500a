//go:build linux

// Package httpc implements an HTTP/1.1 client on the event loop. A Client sends requests to one server. A
// Call receives either the complete response or, if it is a streaming call, the pieces of the response body
// as they arrive.
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
	defaultMaxResponseBodyBytes = 64 << 20
	// requestHeadCapacity is the number of bytes that are allocated for the head of a request before it is
	// encoded.
	requestHeadCapacity = 256
)

var (
	// ErrTimeout means that the response to a call was not complete within the timeout of the call.
	ErrTimeout = errors.New("call timed out")
	// ErrCancelled means that Call.Cancel was called, or that Client.Close was called while the call waited
	// for a connection.
	ErrCancelled = errors.New("call cancelled")
	// ErrNotSent means that Call.MaySend returned false.
	ErrNotSent = errors.New("request withdrawn before it was sent")
)

// ConnectError means that the request was never sent, because no connection had been established for the
// call.
type ConnectError struct{ Err error }

func (e *ConnectError) Error() string { return e.Err.Error() }

// Unwrap returns the error that kept the request from being sent.
func (e *ConnectError) Unwrap() error { return e.Err }

// Client sends requests to one server. Its methods may be called only on the goroutine of the loop.
type Client struct {
	ConnectTimeout time.Duration
	PoolPolicy     connpool.Policy
	// ResponseLimits restricts the size of responses. The body limit does not apply to streaming calls.
	ResponseLimits http1.Limits

	loop      *eventloop.Loop
	addr      string
	idleConns []*conn
	// idleAges is a buffer that chooseConn reuses. It holds how long each connection in idleConns has been
	// idle.
	idleAges []time.Duration
	// openSharedConns counts the connections that are open or being established, except for those of
	// streaming calls.
	openSharedConns int
	// waitingCalls holds the calls that wait for a connection, in the order in which they were passed to
	// Do.
	waitingCalls []*Call
}

// New returns a client for the server at addr, which must be a literal IP address with a port.
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

// Addr returns the address of the server.
func (c *Client) Addr() string { return c.addr }

// Do sends a request and returns call, which receives the response. If timeout is not zero, it limits the
// time until the response is complete.
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

// assignConn sends the request of a call on an idle connection, opens a new connection for the call, or
// makes the call wait for a connection. A streaming call always gets a new connection.
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

// chooseConn asks the pool policy which connection the call uses, and closes the idle connections that the
// policy reports as stale.
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
	// All stale connections are collected before the first of them is closed. decision.Stale holds
	// indices into idleConns, and closing a connection changes idleConns.
	staleConns := make([]*conn, 0, len(decision.Stale))
	for _, i := range decision.Stale {
		staleConns = append(staleConns, c.idleConns[i])
	}
	for _, connection := range staleConns {
		connection.transport.Close()
	}
	return decision.Action, chosen
}

// dial opens a new connection for a call.
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
		// OnDone must not be called before Do has returned.
		c.loop.After(0, func() { call.finish(nil, nil, &ConnectError{err}) })
		return
	}
	connection.transport = transport
}

// startNextWaitingCall removes the first call that has not ended from waitingCalls. It sends the request of
// the call on freeConn or, if freeConn is nil, passes the call to assignConn. If there is no such call and
// freeConn is not nil, freeConn becomes idle.
func (c *Client) startNextWaitingCall(freeConn *conn) {
	for len(c.waitingCalls) > 0 {
		call := c.waitingCalls[0]
		c.waitingCalls = c.waitingCalls[1:]
		if call.finished {
			continue
		}
		if freeConn != nil {
			freeConn.send(call)
		} else {
			c.assignConn(call)
		}
		return
	}
	if freeConn != nil {
		c.idleConns = append(c.idleConns, freeConn)
	}
}

// removeIdleConn removes a connection from idleConns, if idleConns contains it.
func (c *Client) removeIdleConn(connection *conn) {
	if i := slices.Index(c.idleConns, connection); i >= 0 {
		c.idleConns = slices.Delete(c.idleConns, i, i+1)
	}
}

// Close closes the idle connections and ends the calls that wait for a connection with an error. Calls that
// have a connection continue.
func (c *Client) Close() {
	c.CloseIdle()
	waiting := c.waitingCalls
	c.waitingCalls = nil
	for _, call := range waiting {
		call.finish(nil, nil, &ConnectError{ErrCancelled})
	}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	idle := c.idleConns
	c.idleConns = nil
	for _, connection := range idle {
		connection.transport.Close()
	}
}
