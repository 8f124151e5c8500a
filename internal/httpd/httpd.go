//go:build linux

// Package httpd serves HTTP/1.1 on the event loop: it joins the codec http1 to connections of loop. What a request
// means is the handler's business.
package httpd

import (
	"errors"

	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
	"heathshed/internal/memquota"
)

// Handler answers a request, at once or later, by Exchange.Respond. The request's Body is valid until then.
type Handler func(x *Exchange)

// Options bound what a peer may do.
type Options struct {
	Limits      http1.Limits
	HeadWithin  float64 // seconds from the first byte of a request to its last
	IdleWithin  float64 // seconds between requests
	StallWithin float64 // seconds that a peer may take nothing of what waits for it
	HighWater   int     // bytes that may wait to be sent before a stream is no longer pulled, or the next request taken
	Memory      int64   // bytes that all connections together may hold: see package budget
}

// DefaultOptions are those of the API server.
func DefaultOptions() Options {
	return Options{Limits: http1.DefaultLimits(), HeadWithin: 15, IdleWithin: 300, StallWithin: 30, HighWater: 256 << 10, Memory: 128 << 20}
}

// Server is a set of connections that share a handler.
type Server struct {
	l        *eventloop.Loop
	o        Options
	handler  Handler
	ln       *eventloop.Listener
	conns    map[*conn]struct{}
	streams  map[*conn]struct{}
	draining bool
	memory   *memquota.Budget
	lastID   uint64
	byID     map[uint64]*conn
	cutting  bool
	hungry   bool

	// Requests and BadRequests count for metrics.
	Requests, BadRequests uint64
}

// Listen serves at an address.
func Listen(l *eventloop.Loop, addr string, o Options, h Handler) (*Server, error) {
	s := &Server{l: l, o: o, handler: h, conns: map[*conn]struct{}{}, streams: map[*conn]struct{}{}, byID: map[uint64]*conn{}}
	if o.Memory <= 0 {
		s.o.Memory = DefaultOptions().Memory
	}
	s.memory = memquota.New(s.o.Memory)
	ln, err := l.Listen(addr, func(*eventloop.Conn) eventloop.Handler {
		return &conn{s: s, dec: http1.Decoder{Limits: o.Limits}}
	})
	if err != nil {
		return nil, err
	}
	s.ln = ln
	return s, nil
}

// Addr is the address served at.
func (s *Server) Addr() string { return s.ln.Addr() }

// Conns is the number of open connections, Streams that of those with an endless answer.
func (s *Server) Conns() int { return len(s.conns) }

// Streams is the number of answers that still go on.
func (s *Server) Streams() int { return len(s.streams) }

// Memory is what connections share, to be read between events.
func (s *Server) Memory() *memquota.Budget { return s.memory }

// held tells the budget what a connection holds, and cuts off whom the budget names.
func (c *conn) held() {
	s := c.s
	if c.lc.Closed() {
		return
	}
	s.memory.Hold(s.l.Now(), c.id, int64(c.lc.Held()+cap(c.ex.body)))
	if s.cutting {
		return
	}
	s.cutting = true
	for id, over := s.memory.Over(); over; id, over = s.memory.Over() {
		s.byID[id].lc.Close()
	}
	s.cutting = false
}

// Kick pulls every stream whose peer keeps up. Call it when something has happened that streams tell of.
func (s *Server) Kick() {
	for c := range s.streams {
		c.pull()
		// With thousands of streams, what all are told in one turn would be more than there is room for.
		c.lc.Flush()
		c.held()
	}
}

// later has streams that found no room pulled again soon.
func (s *Server) later() {
	if !s.hungry {
		s.hungry = true
		s.l.After(0.01, func() { s.hungry = false; s.Kick() })
	}
}

// Drain stops accepting and ends each connection after its present answer; done is called when none is left.
func (s *Server) Drain(done func()) {
	s.draining = true
	s.ln.Close()
	for c := range s.conns {
		if c.x == nil {
			c.lc.CloseAfterFlush()
		}
	}
	var wait func()
	wait = func() {
		if len(s.conns) == 0 {
			done()
			return
		}
		s.l.After(0.02, wait)
	}
	wait()
}

// Close ends all at once.
func (s *Server) Close() {
	s.ln.Close()
	s.CloseConns()
}

// conn is one connection; it answers one request at a time, in order.
type conn struct {
	s     *Server
	id    uint64
	lc    *eventloop.Conn
	dec   http1.Decoder
	x     *Exchange // the request being read or answered
	ex    Exchange  // reused
	begun float64   // first byte of the request being read; 0 between requests
	moved float64   // last time that the peer took or sent something
	timer *eventloop.Timer
	last  bool // no request after this one
}

// Exchange is one request and its answer.
type Exchange struct {
	http1.Request
	// OnGone, if set, is called when the peer goes away before the answer.
	OnGone func()

	c      *conn
	body   []byte
	asked  bool // handed to the handler
	done   bool
	stream http1.Stream
}

func (c *conn) Opened(lc *eventloop.Conn) {
	c.lc, c.moved = lc, lc.Loop().Now()
	lc.MaxIn = c.s.o.Limits.Head + 64<<10
	c.s.conns[c] = struct{}{}
	c.s.lastID++
	c.id = c.s.lastID
	c.s.byID[c.id] = c
	c.s.memory.Join(c.moved, c.id)
	c.arm()
}

// within sees to it that the timer fires within so many seconds, for a time-out shorter than that of an idle connection.
func (c *conn) within(d float64) {
	if c.timer.Due() > c.s.l.Now()+d {
		c.timer.Stop()
		c.arm()
	}
}

// arm sees to the time-outs with one timer a connection, that is set anew when it fires, or by within.
func (c *conn) arm() {
	l, o := c.s.l, &c.s.o
	at := c.moved + o.IdleWithin
	switch {
	case c.begun > 0:
		at = c.begun + o.HeadWithin
	case c.lc.Buffered() > 0:
		at = c.moved + o.StallWithin
	case c.x != nil:
		at = l.Now() + o.StallWithin
	}
	c.timer = l.At(max(at, l.Now()+0.05), func() {
		now := l.Now()
		switch {
		case c.begun > 0 && now >= c.begun+o.HeadWithin:
			c.refuse(&http1.Error{Status: 408, Reason: "request took too long"})
		case c.lc.Buffered() > 0 && now >= c.moved+o.StallWithin:
			c.lc.Close()
		case c.x == nil && c.begun == 0 && c.lc.Buffered() == 0 && now >= c.moved+o.IdleWithin:
			c.lc.CloseAfterFlush()
		}
		if !c.lc.Closed() {
			c.arm()
		}
	})
}

func (c *conn) Data(lc *eventloop.Conn, b []byte) int {
	n := c.take(lc, b)
	if !lc.Closed() {
		c.held()
	}
	return n
}

func (c *conn) take(lc *eventloop.Conn, b []byte) int {
	n := 0
	for !c.last && (c.x == nil || !c.x.asked) {
		if c.x == nil && c.begun == 0 && lc.Buffered() > c.s.o.HighWater {
			// It asks faster than it reads the answers: the next request waits until these have gone.
			lc.PauseRead(true)
			return n
		}
		if c.begun == 0 {
			if len(b) == n {
				break
			}
			c.begun = c.s.l.Now()
		}
		m, k, err := c.dec.Next(b[n:])
		n += m
		if err != nil {
			c.refuse(err)
			return len(b)
		}
		switch k {
		case http1.More:
			c.within(c.s.o.HeadWithin)
			return n
		case http1.HeadEnd:
			c.ex = Exchange{c: c, body: c.ex.body[:0]}
			c.x = &c.ex
			c.x.Head, c.x.Peer = &c.dec.Head, lc.Peer()
			if c.dec.Head.Expect {
				lc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		case http1.Data:
			c.x.body = append(c.x.body, c.dec.Body...)
		case http1.End:
			c.begun, c.moved = 0, c.s.l.Now()
			c.x.Body, c.x.asked = c.x.body, true
			c.last = c.dec.Head.Close
			c.s.Requests++
			c.s.handler(c.x)
			if lc.Closed() {
				return n
			}
		}
	}
	if c.last && c.x == nil {
		return len(b)
	}
	if c.x != nil && c.x.asked && len(b)-n > lc.MaxIn/2 {
		lc.PauseRead(true)
	}
	return n
}

// refuse answers what cannot be taken and closes.
func (c *conn) refuse(err error) {
	c.s.BadRequests++
	status := 400
	var e *http1.Error
	if errors.As(err, &e) {
		status = e.Status
	}
	c.last, c.begun = true, 0
	if c.x != nil && c.x.asked {
		c.lc.Close()
		return
	}
	body := []byte(err.Error() + "\n")
	out := http1.AppendStatus(c.lc.Out(), status)
	out = http1.AppendField(out, "Content-Type", "text/plain; charset=utf-8")
	out = http1.AppendLength(out, len(body))
	out = append(out, "Connection: close\r\n\r\n"...)
	c.lc.SetOut(append(out, body...))
	c.x = nil
	c.lc.CloseAfterFlush()
}

// Gone says whether the peer went away, so that an answer is of no use.
func (x *Exchange) Gone() bool { return x.done || x.c.lc.Closed() || x.c.x != x }

// Reset breaks the connection without an answer; stand-ins use it to be faulty.
func (x *Exchange) Reset() {
	if !x.Gone() {
		x.c.lc.Close()
	}
}

// Respond sends the answer. It may be called once, from the handler or later.
func (x *Exchange) Respond(r http1.Response) {
	c := x.c
	if x.Gone() {
		if r.Stream != nil {
			r.Stream.Stopped()
		}
		return
	}
	x.done = true
	if c.s.draining {
		c.last = true
	}
	out := http1.AppendStatus(c.lc.Out(), r.Status)
	for i := range r.Header {
		out = http1.AppendField(out, r.Header[i].Name, r.Header[i].Value)
	}
	if r.Stream != nil && x.Head.Minor == 0 {
		c.last = true // HTTP/1.0 knows no chunks: the body ends with the connection
	}
	if c.last {
		out = append(out, "Connection: close\r\n"...)
	}
	if r.Stream != nil {
		if x.Head.Minor > 0 {
			out = append(out, "Transfer-Encoding: chunked\r\n"...)
		}
		c.lc.SetOut(append(out, "\r\n"...))
		if x.Head.Method == "HEAD" {
			r.Stream.Stopped()
			c.next()
			return
		}
		x.stream = r.Stream
		c.s.streams[c] = struct{}{}
		c.within(c.s.o.StallWithin)
		c.pull()
		return
	}
	if r.Status != 204 && r.Status != 304 && r.Status >= 200 {
		out = http1.AppendLength(out, len(r.Body))
	}
	out = append(out, "\r\n"...)
	if x.Head.Method != "HEAD" {
		out = append(out, r.Body...)
	}
	c.lc.SetOut(out)
	c.within(c.s.o.StallWithin)
	c.held()
	if !c.lc.Closed() {
		c.next()
	}
}

// next makes the connection ready for another request.
func (c *conn) next() {
	c.x = nil
	c.moved = c.s.l.Now()
	if c.last {
		c.lc.CloseAfterFlush()
		return
	}
	if cap(c.ex.body) > 4<<10 {
		c.ex.body = nil
	}
	if c.lc.Buffered() <= c.s.o.HighWater {
		c.lc.PauseRead(false)
	}
	c.lc.Redeliver()
}

// pull has the stream of the present answer write what it may.
func (c *conn) pull() {
	x := c.x
	if x == nil || x.stream == nil {
		return
	}
	// What goes out at the end of this turn counts until then.
	for c.lc.Buffered() < c.s.o.HighWater && x.stream != nil && !c.lc.Closed() {
		room := min(c.s.o.HighWater-c.lc.Buffered(), int(c.s.memory.Room(c.id)))
		if room <= 0 {
			if c.lc.Buffered() == 0 {
				c.s.later()
			}
			return
		}
		if !c.pullOnce(x, room) {
			c.held()
			return
		}
		c.held()
	}
}

// pullOnce pulls once, and says whether there may be more.
func (c *conn) pullOnce(x *Exchange, room int) bool {
	out := c.lc.Out()
	before := len(out)
	chunked := x.Head.Minor > 0
	if chunked {
		// The chunk's size stands before its data: leave room for eight digits.
		out = append(out, "00000000\r\n"...)
	}
	start := len(out)
	out, done := x.stream.Pull(out, room)
	size := len(out) - start
	switch {
	case size == 0:
		// Nothing came: take the size line back without waking the writer.
		c.lc.Untouched(out[:before])
	case chunked:
		const hex = "0123456789abcdef"
		for i, v := 7, size; i >= 0; i, v = i-1, v>>4 {
			out[before+i] = hex[v&15]
		}
		c.lc.SetOut(append(out, "\r\n"...))
	default:
		c.lc.SetOut(out)
	}
	if !done {
		return size > 0
	}
	if b, ok := x.stream.(interface{ Broken() bool }); ok && b.Broken() {
		c.lc.Close() // it must not look whole
		return false
	}
	if chunked {
		c.lc.Write([]byte(http1.LastChunk))
	}
	c.endStream()
	return false
}

func (c *conn) endStream() {
	x := c.x
	delete(c.s.streams, c)
	x.stream.Stopped()
	x.stream = nil
	c.next()
}

func (c *conn) Drained(*eventloop.Conn) {
	c.moved = c.s.l.Now()
	c.pull()
	if c.x == nil && !c.last && !c.lc.Closed() {
		c.lc.PauseRead(false)
	}
	c.held()
}

func (c *conn) Closed(*eventloop.Conn, error) {
	c.timer.Stop()
	c.s.memory.Leave(c.id)
	delete(c.s.byID, c.id)
	delete(c.s.conns, c)
	delete(c.s.streams, c)
	if c.x != nil && c.x.stream != nil {
		c.x.stream.Stopped()
		c.x.stream = nil
	}
	if x := c.x; x != nil && x.asked && !x.done && x.OnGone != nil {
		x.done = true
		x.OnGone()
	}
	c.x = nil
}

// CloseConns breaks every open connection; the server goes on.
func (s *Server) CloseConns() {
	for c := range s.conns {
		c.lc.Close()
	}
}
