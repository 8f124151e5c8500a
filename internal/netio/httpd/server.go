//go:build linux

// Package httpd implements an HTTP/1.1 server on the event loop. It connects the codec of package http1
// with the connections of package eventloop and adds time limits, back-pressure and a memory quota. The
// handler interprets requests.
package httpd

import (
	"time"

	"heathshed/internal/control/memquota"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

const (
	// pullRetryDelay is the time after which streams that could not write for lack of memory are pulled
	// again.
	pullRetryDelay = 10 * time.Millisecond
	// drainPollInterval is the time between checks whether all connections are closed.
	drainPollInterval = 20 * time.Millisecond
)

// Handler handles a request. It calls Exchange.Respond directly or later; the request body is valid until
// then.
type Handler func(e *Exchange)

// Options limits the time and memory that clients can use.
type Options struct {
	// Limits restricts the size of requests.
	Limits http1.Limits
	// RequestTimeout limits the time from the first byte of a request to its last.
	RequestTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection.
	IdleTimeout time.Duration
	// WriteTimeout limits the time during which a client accepts no output although some is queued.
	WriteTimeout time.Duration
	// OutputHighWaterMark limits the queued output of a connection in bytes. Above the limit, the connection
	// neither pulls its stream nor reads the next request.
	OutputHighWaterMark int
	// MemoryQuotaBytes limits the memory of all connections together: see package memquota.
	MemoryQuotaBytes int64
}

// DefaultOptions returns the options of the API server.
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

// Server accepts connections and passes their requests to one handler. Its methods may be called only on
// the goroutine of the loop.
type Server struct {
	loop       *eventloop.Loop
	options    Options
	handler    Handler
	listener   *eventloop.Listener
	conns      map[*conn]struct{}
	connsByID  map[uint64]*conn
	lastConnID uint64
	// streamingConns holds the connections whose response is a stream that is not complete.
	streamingConns map[*conn]struct{}
	memoryQuota    *memquota.Budget
	draining       bool
	// evictionRunning reports that evictOverQuota is closing connections.
	evictionRunning bool
	pullScheduled   bool

	// Requests counts the requests that were passed to the handler, and BadRequests the rejected ones. Both
	// are exported for metrics.
	Requests, BadRequests uint64
	// IllegalTransitions counts attempts to make a transition that the state machine of a connection does
	// not allow. Each one is a bug in this package.
	IllegalTransitions uint64
}

// Listen starts a server at addr, which must be a literal IP address with a port.
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

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr() }

// Conns returns the number of open connections.
func (s *Server) Conns() int { return len(s.conns) }

// Streams returns the number of streamed responses that are not complete.
func (s *Server) Streams() int { return len(s.streamingConns) }

// MemoryQuota returns the memory quota that all connections share. Callers may read it between events.
func (s *Server) MemoryQuota() *memquota.Budget { return s.memoryQuota }

// PullStreams pulls every stream whose client keeps up with its output. Call it when streams may have new
// data.
func (s *Server) PullStreams() {
	for c := range s.streamingConns {
		c.pullStream()
		// The output is sent at once. With thousands of streams, the output of all of them would exceed the
		// memory quota.
		c.transport.Flush()
		c.reportMemoryUse()
	}
}

// schedulePull schedules another pull of all streams, for those that could not write for lack of memory.
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

// Drain stops accepting connections and closes each open one after its current response. It calls done when
// all are closed.
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

// Close stops accepting connections and closes the open ones immediately.
func (s *Server) Close() {
	s.listener.Close()
	s.CloseConns()
}

// CloseConns closes all open connections immediately. The server continues to accept connections.
func (s *Server) CloseConns() {
	for c := range s.conns {
		c.transport.Close()
	}
}

// evictOverQuota closes the connections that the memory quota selects for eviction. Closing a connection
// may cause writes to others and nested calls of this method; these return at once, and the outermost call
// closes all selected connections.
func (s *Server) evictOverQuota() {
	if s.evictionRunning {
		return
	}
	s.evictionRunning = true
	for id, exceeded := s.memoryQuota.ConnectionToEvict(); exceeded; id, exceeded = s.memoryQuota.ConnectionToEvict() {
		s.connsByID[id].transport.Close()
	}
	s.evictionRunning = false
}
