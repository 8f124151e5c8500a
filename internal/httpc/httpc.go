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
	ConnectWithin float64 // seconds
	Pool          connpool.Policy
	Limits        http1.Limits

	l     *eventloop.Loop
	addr  string
	idle  []*conn
	ages  []float64 // scratch
	open  int
	queue []*Call
}

// New returns a client for the server at a literal address.
func New(l *eventloop.Loop, addr string) *Client {
	lim := http1.DefaultLimits()
	lim.Body = 64 << 20
	return &Client{l: l, addr: addr, ConnectWithin: 1, Pool: connpool.DefaultPolicy(), Limits: lim}
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
	// Careful says that a request that may or may not have been read is dear: see package connpool.
	Careful bool

	c       *Client
	request []byte
	conn    *conn
	timer   *eventloop.Timer
	over    bool
	head    bool // a HEAD request
	body    []byte
}

// Do sends a request. Within bounds the whole call in seconds; 0 does not.
func (c *Client) Do(method, target string, header []http1.Field, body []byte, within float64, call *Call) *Call {
	b := http1.AppendRequestLine(make([]byte, 0, 256+len(body)), method, target)
	b = http1.AppendField(b, "Host", c.addr)
	for i := range header {
		b = http1.AppendField(b, header[i].Name, header[i].Value)
	}
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = http1.AppendLength(b, len(body))
	}
	b = append(b, "\r\n"...)
	call.c, call.request, call.head = c, append(b, body...), method == "HEAD"
	if within > 0 {
		call.timer = c.l.After(within, func() { call.abort(ErrTimeout) })
	}
	c.start(call)
	return call
}

func (c *Client) start(call *Call) {
	if call.Data == nil {
		c.ages = c.ages[:0]
		for _, k := range c.idle {
			c.ages = append(c.ages, c.l.Now()-k.since)
		}
		d := c.Pool.Choose(c.ages, c.open, call.Careful)
		var chosen *conn
		if d.Action == connpool.Use || d.Action == connpool.Replace {
			chosen = c.idle[d.Index]
		}
		stale := make([]*conn, 0, len(d.Stale))
		for _, i := range d.Stale {
			stale = append(stale, c.idle[i])
		}
		for _, k := range stale {
			k.lc.Close()
		}
		switch d.Action {
		case connpool.Use:
			c.forget(chosen)
			chosen.run(call)
			return
		case connpool.Replace:
			chosen.lc.Close()
		case connpool.Wait:
			c.queue = append(c.queue, call)
			return
		}
	}
	k := &conn{c: c, call: call, dec: http1.Decoder{Limits: c.Limits, Responses: true, NoBody: call.head}}
	if call.Data != nil {
		k.stream = true
		k.dec.Limits.Body = 0
	} else {
		c.open++
	}
	call.conn = k
	lc, err := c.l.Dial(c.addr, c.ConnectWithin, k)
	if err != nil {
		if !k.stream {
			c.open--
		}
		call.conn = nil
		// Later, so that no caller is called back before Do returns.
		c.l.After(0, func() { call.finish(nil, nil, &ConnectError{err}) })
		return
	}
	k.lc = lc
}

// forget takes a connection out of the idle ones.
func (c *Client) forget(k *conn) {
	if i := slices.Index(c.idle, k); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
	}
}

// Cancel ends the call; Done gets ErrCancelled.
func (call *Call) Cancel() { call.abort(ErrCancelled) }

func (call *Call) abort(err error) {
	if call.over {
		return
	}
	k := call.conn
	if k == nil || !k.opened {
		err = &ConnectError{err} // never sent
	}
	call.finish(nil, nil, err)
	if k != nil {
		k.lc.Close()
	}
}

func (call *Call) finish(h *http1.Head, body []byte, err error) {
	if call.over {
		return
	}
	call.over = true
	call.timer.Stop()
	call.Done(h, body, err)
}

// Close drops idle connections and fails what waits.
func (c *Client) Close() {
	c.CloseIdle()
	q := c.queue
	c.queue = nil
	for _, call := range q {
		call.finish(nil, nil, &ConnectError{ErrCancelled})
	}
}

// CloseIdle drops idle connections.
func (c *Client) CloseIdle() {
	idle := c.idle
	c.idle = nil
	for _, k := range idle {
		k.lc.Close()
	}
}

type conn struct {
	c      *Client
	lc     *eventloop.Conn
	dec    http1.Decoder
	call   *Call
	opened bool
	stream bool
	since  float64
}

func (k *conn) run(call *Call) {
	call.conn, k.call = k, call
	k.dec.NoBody = call.head
	k.lc.Write(call.request)
}

func (k *conn) Opened(lc *eventloop.Conn) {
	k.lc, k.opened = lc, true
	if k.call == nil || k.call.over {
		lc.Close()
		return
	}
	lc.Write(k.call.request)
}

func (k *conn) Data(lc *eventloop.Conn, b []byte) int {
	n := 0
	for {
		call := k.call
		if call == nil {
			lc.Close() // bytes that nobody asked for
			return len(b)
		}
		m, kind, err := k.dec.Next(b[n:])
		n += m
		if err != nil {
			call.finish(nil, nil, fmt.Errorf("%s: %w", k.c.addr, err))
			lc.Close()
			return len(b)
		}
		switch kind {
		case http1.More:
			return n
		case http1.HeadEnd:
			if call.Started != nil && k.dec.Head.Status >= 200 {
				call.Started(&k.dec.Head)
			}
		case http1.Data:
			if call.Data != nil && k.dec.Head.Status/100 == 2 {
				call.Data(k.dec.Body)
			} else {
				call.body = append(call.body, k.dec.Body...)
			}
		case http1.End:
			if k.dec.Head.Status < 200 {
				continue
			}
			k.call = nil
			keep := !k.dec.Head.Close && !k.stream
			call.finish(&k.dec.Head, call.body, nil)
			if lc.Closed() {
				return n
			}
			if !keep {
				lc.Close()
				return len(b)
			}
			k.since = k.c.l.Now()
			if len(k.c.queue) > 0 {
				k.c.next(k)
			} else {
				k.c.idle = append(k.c.idle, k)
			}
		}
		if lc.Closed() {
			return n
		}
	}
}

// next gives a free connection to the first call that waits.
func (c *Client) next(k *conn) {
	for len(c.queue) > 0 {
		call := c.queue[0]
		c.queue = c.queue[1:]
		if !call.over {
			if k != nil {
				k.run(call)
			} else {
				c.start(call)
			}
			return
		}
	}
	if k != nil {
		c.idle = append(c.idle, k)
	}
}

func (k *conn) Drained(*eventloop.Conn) {}

func (k *conn) Closed(_ *eventloop.Conn, err error) {
	if !k.stream {
		k.c.open--
	}
	k.c.forget(k)
	if call := k.call; call != nil {
		k.call = nil
		if !k.opened {
			call.finish(nil, nil, &ConnectError{err})
		} else if ok, eofErr := k.dec.EOF(0); ok && eofErr == nil && !call.over {
			call.finish(&k.dec.Head, call.body, nil)
		} else {
			call.finish(nil, nil, fmt.Errorf("%s: connection broke: %w", k.c.addr, err))
		}
	}
	k.c.next(nil)
}
