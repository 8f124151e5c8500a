//go:build linux

// Package httpd serves HTTP/1.1 on the event loop: it joins the codec of package http1 to connections of package
// eventloop, with time limits, back-pressure and a memory quota. What a request means is the handler's business.
package httpd

import (
	"time"

	"heathshed/internal/control/memquota"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

const (
	pullRetryDelay    = 10 * time.Millisecond // until streams without memory to write to are pulled again
	drainPollInterval = 20 * time.Millisecond // between looks at whether all connections have ended
)

// Handler responds to a request, at once or later, by Exchange.Respond. The request's Body is valid until then.
type Handler func(e *Exchange)

// Options bound what a peer may do.
type Options struct {
	Limits              http1.Limits
	RequestTimeout      time.Duration // from the first byte of a request to its last
	IdleTimeout         time.Duration // between requests
	WriteTimeout        time.Duration // that a peer may take nothing of what waits for it
	OutputHighWaterMark int           // bytes that may wait to be sent before a stream is no longer pulled, or the next request read
	MemoryQuotaBytes    int64         // that all connections together may hold: see package memquota
}

// DefaultOptions are those of the API server.
func DefaultOptions() Options {
	return Options{
		Limits:              http1.DefaultLimits(),
		RequestTimeout:      15 * time.Second,
		IdleTimeout:         5 * time.Minute,
		WriteTimeout:        30 * time.Second,
		OutputHighWaterMark: 256 << 10,
		MemoryQuotaBytes:    128 << 20,
	}
}

// Server is a set of connections that share a handler. Its methods are for the loop's goroutine.
type Server struct {
	loop            *eventloop.Loop
	options         Options
	handler         Handler
	listener        *eventloop.Listener
	conns           map[*conn]struct{}
	connsByID       map[uint64]*conn
	lastConnID      uint64
	streamingConns  map[*conn]struct{} // connections whose response is a stream that goes on
	memoryQuota     *memquota.Budget
	draining        bool
	evictionRunning bool // connections over the memory quota are being closed
	pullScheduled   bool

	// Requests and BadRequests count for metrics.
	Requests, BadRequests uint64
	// IllegalTransitions counts faults of this package: transitions that a connection's state machine does not have.
	IllegalTransitions uint64
}

// Listen starts a server at an address.
func Listen(loop *eventloop.Loop, addr string, options Options, handler Handler) (*Server, error) {
	if options.MemoryQuotaBytes <= 0 {
		options.MemoryQuotaBytes = DefaultOptions().MemoryQuotaBytes
	}
	s := &Server{
		loop:           loop,
		options:        options,
		handler:        handler,
		conns:          map[*conn]struct{}{},
		connsByID:      map[uint64]*conn{},
		streamingConns: map[*conn]struct{}{},
		memoryQuota:    memquota.New(options.MemoryQuotaBytes),
	}
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

// Conns is the number of open connections.
func (s *Server) Conns() int { return len(s.conns) }

// Streams is the number of responses that still go on.
func (s *Server) Streams() int { return len(s.streamingConns) }

// MemoryQuota is the quota that connections share, to be read between events.
func (s *Server) MemoryQuota() *memquota.Budget { return s.memoryQuota }

// PullStreams pulls every stream whose peer keeps up. Call it when streams may have something new to send.
func (s *Server) PullStreams() {
	for c := range s.streamingConns {
		c.pullStream()
		// Sent at once: with thousands of streams, the output of all of them would not fit into the quota.
		c.transport.Flush()
		c.reportMemoryUse()
	}
}

// schedulePull has streams that found no memory pulled again soon.
func (s *Server) schedulePull() {
	if s.pullScheduled {
		return
	}
	s.pullScheduled = true
	s.loop.After(pullRetryDelay, func() {
		s.pullScheduled = false
		s.PullStreams()
	})
}

// Drain stops accepting and ends each connection after its present response; done is called when none is left.
func (s *Server) Drain(done func()) {
	s.draining = true
	s.listener.Close()
	for c := range s.conns {
		if !c.state.hasUnfinishedExchange() {
			c.transport.CloseAfterFlush()
		}
	}
	s.pollDrained(done)
}

func (s *Server) pollDrained(done func()) {
	if len(s.conns) == 0 {
		done()
		return
	}
	s.loop.After(drainPollInterval, func() { s.pollDrained(done) })
}

// Close stops accepting and closes every connection at once.
func (s *Server) Close() {
	s.listener.Close()
	s.CloseConns()
}

// CloseConns closes every open connection at once; the server goes on accepting.
func (s *Server) CloseConns() {
	for c := range s.conns {
		c.transport.Close()
	}
}

// evictOverQuota closes the connections that the memory quota names. Closing one may write to others, so calls may nest;
// the outermost does it all.
func (s *Server) evictOverQuota() {
	if s.evictionRunning {
		return
	}
	s.evictionRunning = true
	for id, over := s.memoryQuota.UserToEvict(); over; id, over = s.memoryQuota.UserToEvict() {
		s.connsByID[id].transport.Close()
	}
	s.evictionRunning = false
}
