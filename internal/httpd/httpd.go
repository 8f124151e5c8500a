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
	Limits                http1.Limits
	RequestTimeoutSeconds float64 // seconds from the first byte of a request to its last
	IdleTimeoutSeconds    float64 // seconds between requests
	WriteTimeoutSeconds   float64 // seconds that a peer may take nothing of what waits for it
	HighWaterMark         int     // bytes that may wait to be sent before a stream is no longer pulled, or the next request taken
	MemoryBytes           int64   // bytes that all connections together may hold: see package budget
}

// DefaultOptions are those of the API server.
func DefaultOptions() Options {
	return Options{Limits: http1.DefaultLimits(), RequestTimeoutSeconds: 15, IdleTimeoutSeconds: 300, WriteTimeoutSeconds: 30, HighWaterMark: 256 << 10, MemoryBytes: 128 << 20}
}

// Server is a set of connections that share a handler.
type Server struct {
	loop          *eventloop.Loop
	options       Options
	handler       Handler
	listener      *eventloop.Listener
	conns         map[*conn]struct{}
	streams       map[*conn]struct{}
	draining      bool
	memory        *memquota.Budget
	lastConnID    uint64
	connsByID     map[uint64]*conn
	evicting      bool
	pullScheduled bool

	// Requests and BadRequests count for metrics.
	Requests, BadRequests uint64
}

// Listen serves at an address.
func Listen(loop *eventloop.Loop, addr string, options Options, handler Handler) (*Server, error) {
	s := &Server{loop: loop, options: options, handler: handler, conns: map[*conn]struct{}{}, streams: map[*conn]struct{}{}, connsByID: map[uint64]*conn{}}
	if options.MemoryBytes <= 0 {
		s.options.MemoryBytes = DefaultOptions().MemoryBytes
	}
	s.memory = memquota.New(s.options.MemoryBytes)
	listener, err := loop.Listen(addr, func(*eventloop.Conn) eventloop.Handler {
		return &conn{server: s, decoder: http1.Decoder{Limits: options.Limits}}
	})
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// Addr is the address served at.
func (s *Server) Addr() string { return s.listener.Addr() }

// Conns is the number of open connections, Streams that of those with an endless answer.
func (s *Server) Conns() int { return len(s.conns) }

// Streams is the number of answers that still go on.
func (s *Server) Streams() int { return len(s.streams) }

// Memory is what connections share, to be read between events.
func (s *Server) Memory() *memquota.Budget { return s.memory }

// updateMemory tells the budget what a connection holds, and cuts off whom the budget names.
func (c *conn) updateMemory() {
	s := c.server
	if c.transport.Closed() {
		return
	}
	s.memory.SetUsed(s.loop.Now(), c.id, int64(c.transport.BufferMemory()+cap(c.exchangeStorage.body)))
	if s.evicting {
		return
	}
	s.evicting = true
	for id, over := s.memory.OverQuota(); over; id, over = s.memory.OverQuota() {
		s.connsByID[id].transport.Close()
	}
	s.evicting = false
}

// PullStreams pulls every stream whose peer keeps up. Call it when something has happened that streams tell of.
func (s *Server) PullStreams() {
	for c := range s.streams {
		c.pullStream()
		// With thousands of streams, what all are told in one turn would be more than there is room for.
		c.transport.Flush()
		c.updateMemory()
	}
}

// schedulePull has streams that found no room pulled again soon.
func (s *Server) schedulePull() {
	if !s.pullScheduled {
		s.pullScheduled = true
		s.loop.After(0.01, func() { s.pullScheduled = false; s.PullStreams() })
	}
}

// Drain stops accepting and ends each connection after its present answer; done is called when none is left.
func (s *Server) Drain(done func()) {
	s.draining = true
	s.listener.Close()
	for c := range s.conns {
		if c.exchange == nil {
			c.transport.CloseAfterFlush()
		}
	}
	var wait func()
	wait = func() {
		if len(s.conns) == 0 {
			done()
			return
		}
		s.loop.After(0.02, wait)
	}
	wait()
}

// Close ends all at once.
func (s *Server) Close() {
	s.listener.Close()
	s.CloseConns()
}

// conn is one connection; it answers one request at a time, in order.
type conn struct {
	server             *Server
	id                 uint64
	transport          *eventloop.Conn
	decoder            http1.Decoder
	exchange           *Exchange // the request being read or answered
	exchangeStorage    Exchange  // reused
	requestStartedAt   float64   // first byte of the request being read; 0 between requests
	lastProgressAt     float64   // last time that the peer took or sent something
	timer              *eventloop.Timer
	closeAfterResponse bool // no request after this one
}

// Exchange is one request and its answer.
type Exchange struct {
	http1.Request
	// OnGone, if set, is called when the peer goes away before the answer.
	OnDisconnect func()

	conn       *conn
	body       []byte
	dispatched bool // handed to the handler
	finished   bool
	stream     http1.Stream
}

func (c *conn) Opened(transport *eventloop.Conn) {
	c.transport, c.lastProgressAt = transport, transport.Loop().Now()
	transport.MaxInput = c.server.options.Limits.Head + 64<<10
	c.server.conns[c] = struct{}{}
	c.server.lastConnID++
	c.id = c.server.lastConnID
	c.server.connsByID[c.id] = c
	c.server.memory.Add(c.lastProgressAt, c.id)
	c.armTimer()
}

// shortenTimer sees to it that the timer fires within so many seconds, for a time-out shorter than that of an idle connection.
func (c *conn) shortenTimer(seconds float64) {
	if c.timer.Due() > c.server.loop.Now()+seconds {
		c.timer.Stop()
		c.armTimer()
	}
}

// armTimer sees to the time-outs with one timer a connection, that is set anew when it fires, or by within.
func (c *conn) armTimer() {
	loop, options := c.server.loop, &c.server.options
	at := c.lastProgressAt + options.IdleTimeoutSeconds
	switch {
	case c.requestStartedAt > 0:
		at = c.requestStartedAt + options.RequestTimeoutSeconds
	case c.transport.Buffered() > 0:
		at = c.lastProgressAt + options.WriteTimeoutSeconds
	case c.exchange != nil:
		at = loop.Now() + options.WriteTimeoutSeconds
	}
	c.timer = loop.At(max(at, loop.Now()+0.05), func() {
		now := loop.Now()
		switch {
		case c.requestStartedAt > 0 && now >= c.requestStartedAt+options.RequestTimeoutSeconds:
			c.rejectRequest(&http1.Error{Status: 408, Reason: "request took too long"})
		case c.transport.Buffered() > 0 && now >= c.lastProgressAt+options.WriteTimeoutSeconds:
			c.transport.Close()
		case c.exchange == nil && c.requestStartedAt == 0 && c.transport.Buffered() == 0 && now >= c.lastProgressAt+options.IdleTimeoutSeconds:
			c.transport.CloseAfterFlush()
		}
		if !c.transport.Closed() {
			c.armTimer()
		}
	})
}

func (c *conn) Data(transport *eventloop.Conn, b []byte) int {
	n := c.consume(transport, b)
	if !transport.Closed() {
		c.updateMemory()
	}
	return n
}

func (c *conn) consume(transport *eventloop.Conn, input []byte) int {
	consumed := 0
	for !c.closeAfterResponse && (c.exchange == nil || !c.exchange.dispatched) {
		if c.exchange == nil && c.requestStartedAt == 0 && transport.Buffered() > c.server.options.HighWaterMark {
			// It asks faster than it reads the answers: the next request waits until these have gone.
			transport.PauseRead(true)
			return consumed
		}
		if c.requestStartedAt == 0 {
			if len(input) == consumed {
				break
			}
			c.requestStartedAt = c.server.loop.Now()
		}
		taken, kind, err := c.decoder.Next(input[consumed:])
		consumed += taken
		if err != nil {
			c.rejectRequest(err)
			return len(input)
		}
		switch kind {
		case http1.NeedMore:
			c.shortenTimer(c.server.options.RequestTimeoutSeconds)
			return consumed
		case http1.HeadComplete:
			c.exchangeStorage = Exchange{conn: c, body: c.exchangeStorage.body[:0]}
			c.exchange = &c.exchangeStorage
			c.exchange.Head, c.exchange.Peer = &c.decoder.Head, transport.Peer()
			if c.decoder.Head.Expect {
				transport.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		case http1.BodyData:
			c.exchange.body = append(c.exchange.body, c.decoder.Body...)
		case http1.MessageComplete:
			c.requestStartedAt, c.lastProgressAt = 0, c.server.loop.Now()
			c.exchange.Body, c.exchange.dispatched = c.exchange.body, true
			c.closeAfterResponse = c.decoder.Head.Close
			c.server.Requests++
			c.server.handler(c.exchange)
			if transport.Closed() {
				return consumed
			}
		}
	}
	if c.closeAfterResponse && c.exchange == nil {
		return len(input)
	}
	if c.exchange != nil && c.exchange.dispatched && len(input)-consumed > transport.MaxInput/2 {
		transport.PauseRead(true)
	}
	return consumed
}

// rejectRequest answers what cannot be taken and closes.
func (c *conn) rejectRequest(err error) {
	c.server.BadRequests++
	status := 400
	var httpErr *http1.Error
	if errors.As(err, &httpErr) {
		status = httpErr.Status
	}
	c.closeAfterResponse, c.requestStartedAt = true, 0
	if c.exchange != nil && c.exchange.dispatched {
		c.transport.Close()
		return
	}
	body := []byte(err.Error() + "\n")
	out := http1.AppendStatus(c.transport.OutputBuffer(), status)
	out = http1.AppendField(out, "Content-Type", "text/plain; charset=utf-8")
	out = http1.AppendLength(out, len(body))
	out = append(out, "Connection: close\r\n\r\n"...)
	c.transport.CommitOutput(append(out, body...))
	c.exchange = nil
	c.transport.CloseAfterFlush()
}

// Finished says whether the peer went away, so that an answer is of no use.
func (e *Exchange) Finished() bool {
	return e.finished || e.conn.transport.Closed() || e.conn.exchange != e
}

// Reset breaks the connection without an answer; stand-ins use it to be faulty.
func (e *Exchange) Reset() {
	if !e.Finished() {
		e.conn.transport.Close()
	}
}

// Respond sends the answer. It may be called once, from the handler or later.
func (e *Exchange) Respond(response http1.Response) {
	c := e.conn
	if e.Finished() {
		if response.Stream != nil {
			response.Stream.Close()
		}
		return
	}
	e.finished = true
	if c.server.draining {
		c.closeAfterResponse = true
	}
	out := http1.AppendStatus(c.transport.OutputBuffer(), response.Status)
	for i := range response.Header {
		out = http1.AppendField(out, response.Header[i].Name, response.Header[i].Value)
	}
	if response.Stream != nil && e.Head.Minor == 0 {
		c.closeAfterResponse = true // HTTP/1.0 knows no chunks: the body ends with the connection
	}
	if c.closeAfterResponse {
		out = append(out, "Connection: close\r\n"...)
	}
	if response.Stream != nil {
		if e.Head.Minor > 0 {
			out = append(out, "Transfer-Encoding: chunked\r\n"...)
		}
		c.transport.CommitOutput(append(out, "\r\n"...))
		if e.Head.Method == "HEAD" {
			response.Stream.Close()
			c.nextRequest()
			return
		}
		e.stream = response.Stream
		c.server.streams[c] = struct{}{}
		c.shortenTimer(c.server.options.WriteTimeoutSeconds)
		c.pullStream()
		return
	}
	if response.Status != 204 && response.Status != 304 && response.Status >= 200 {
		out = http1.AppendLength(out, len(response.Body))
	}
	out = append(out, "\r\n"...)
	if e.Head.Method != "HEAD" {
		out = append(out, response.Body...)
	}
	c.transport.CommitOutput(out)
	c.shortenTimer(c.server.options.WriteTimeoutSeconds)
	c.updateMemory()
	if !c.transport.Closed() {
		c.nextRequest()
	}
}

// nextRequest makes the connection ready for another request.
func (c *conn) nextRequest() {
	c.exchange = nil
	c.lastProgressAt = c.server.loop.Now()
	if c.closeAfterResponse {
		c.transport.CloseAfterFlush()
		return
	}
	if cap(c.exchangeStorage.body) > 4<<10 {
		c.exchangeStorage.body = nil
	}
	if c.transport.Buffered() <= c.server.options.HighWaterMark {
		c.transport.PauseRead(false)
	}
	c.transport.Redeliver()
}

// pullStream has the stream of the present answer write what it may.
func (c *conn) pullStream() {
	exchange := c.exchange
	if exchange == nil || exchange.stream == nil {
		return
	}
	// What goes out at the end of this turn counts until then.
	for c.transport.Buffered() < c.server.options.HighWaterMark && exchange.stream != nil && !c.transport.Closed() {
		room := min(c.server.options.HighWaterMark-c.transport.Buffered(), int(c.server.memory.Available(c.id)))
		if room <= 0 {
			if c.transport.Buffered() == 0 {
				c.server.schedulePull()
			}
			return
		}
		if !c.pullChunk(exchange, room) {
			c.updateMemory()
			return
		}
		c.updateMemory()
	}
}

// pullChunk pulls once, and says whether there may be more.
func (c *conn) pullChunk(exchange *Exchange, room int) bool {
	out := c.transport.OutputBuffer()
	before := len(out)
	chunked := exchange.Head.Minor > 0
	if chunked {
		// The chunk's size stands before its data: leave room for eight digits.
		out = append(out, "00000000\r\n"...)
	}
	start := len(out)
	out, done := exchange.stream.Pull(out, room)
	size := len(out) - start
	switch {
	case size == 0:
		// Nothing came: take the size line back without waking the writer.
		c.transport.DiscardOutput(out[:before])
	case chunked:
		const hex = "0123456789abcdef"
		for i, v := 7, size; i >= 0; i, v = i-1, v>>4 {
			out[before+i] = hex[v&15]
		}
		c.transport.CommitOutput(append(out, "\r\n"...))
	default:
		c.transport.CommitOutput(out)
	}
	if !done {
		return size > 0
	}
	if b, ok := exchange.stream.(interface{ Broken() bool }); ok && b.Broken() {
		c.transport.Close() // it must not look whole
		return false
	}
	if chunked {
		c.transport.Write([]byte(http1.LastChunk))
	}
	c.endStream()
	return false
}

func (c *conn) endStream() {
	exchange := c.exchange
	delete(c.server.streams, c)
	exchange.stream.Close()
	exchange.stream = nil
	c.nextRequest()
}

func (c *conn) Drained(*eventloop.Conn) {
	c.lastProgressAt = c.server.loop.Now()
	c.pullStream()
	if c.exchange == nil && !c.closeAfterResponse && !c.transport.Closed() {
		c.transport.PauseRead(false)
	}
	c.updateMemory()
}

func (c *conn) Closed(*eventloop.Conn, error) {
	c.timer.Stop()
	c.server.memory.Remove(c.id)
	delete(c.server.connsByID, c.id)
	delete(c.server.conns, c)
	delete(c.server.streams, c)
	if c.exchange != nil && c.exchange.stream != nil {
		c.exchange.stream.Close()
		c.exchange.stream = nil
	}
	if exchange := c.exchange; exchange != nil && exchange.dispatched && !exchange.finished && exchange.OnDisconnect != nil {
		exchange.finished = true
		exchange.OnDisconnect()
	}
	c.exchange = nil
}

// CloseConns breaks every open connection; the server goes on.
func (s *Server) CloseConns() {
	for c := range s.conns {
		c.transport.Close()
	}
}
