//go:build linux

// Package httpd implements an HTTP/1.1 server on the event loop. It connects the codec of package http1
// with the connections of package eventloop and adds time limits, back-pressure and a memory quota. The
// handler, which the user of the package provides, interprets the requests. A response body can be a
// stream: whenever output can be sent, the server calls http1.Stream.Pull to get the next data of the body.
// In this package, this is called pulling data from the stream.
package httpd

import (
	"time"

	"heathshed/internal/control/memquota"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/http1"
)

const (
	// pullRetryDelay is the delay before the server pulls data from the response streams again after the
	// memory quota had no room for it.
	pullRetryDelay = 10 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks whether all connections are closed.
	drainPollInterval = 20 * time.Millisecond
)

// Handler handles a request. It calls Exchange.Respond before or after it returns. The request body is
// valid until the call of Exchange.Respond.
type Handler func(e *Exchange)

// Options limits the time and memory that clients can use.
type Options struct {
	// Limits restricts the size of requests.
	Limits http1.Limits
	// RequestTimeout limits the time from receiving the first byte of a request to receiving its last byte.
	RequestTimeout time.Duration
	// IdleTimeout limits how long a connection may stay open without a request.
	IdleTimeout time.Duration
	// WriteTimeout limits the time during which a client accepts no output although some is queued.
	WriteTimeout time.Duration
	// OutputHighWaterMark limits the queued output of a connection in bytes. While more output is queued,
	// the connection pulls no data from its response stream and reads no further request.
	OutputHighWaterMark int
	// MemoryQuotaBytes limits the buffer memory of all connections together. When they exceed it, the
	// server closes the connections that Budget.ConnectionToEvict of package memquota selects.
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
	// streamingConns holds the connections whose current response has a stream as its body and is not
	// complete.
	streamingConns map[*conn]struct{}
	memoryQuota    *memquota.Budget
	draining       bool
	// evictionRunning reports that evictOverQuota is running.
	evictionRunning bool
	pullScheduled   bool

	// Requests counts the requests that were passed to the handler, and BadRequests counts those that were
	// rejected because they were invalid or took too long. Both are exported for metrics.
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

// Streams returns the number of responses that have a stream as their body and are not complete.
func (s *Server) Streams() int { return len(s.streamingConns) }

// MemoryQuota returns the memory quota that all connections share. Callers may read it on the goroutine of
// the loop and must not change it.
func (s *Server) MemoryQuota() *memquota.Budget { return s.memoryQuota }

// PullStreams pulls new data from the response streams and sends it to the clients. It skips streams whose
// client reads too slowly. Call it when streams may have new data.
func (s *Server) PullStreams() {
	for c := range s.streamingConns {
		c.pullStream()
		// The output is sent at once rather than at the end of the iteration. With thousands of streams,
		// the queued output of all of them together would exceed the memory quota.
		c.transport.Flush()
		c.reportMemoryUse()
	}
}

// schedulePull schedules a call of PullStreams after pullRetryDelay. It is called when the memory quota has
// no room for data from a stream.
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

// Drain stops accepting connections and closes each open connection after its current response. It calls
// done when all connections are closed.
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

// Close stops accepting connections and closes the open connections immediately.
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
// may cause output on other connections, which leads to nested calls of this method. Nested calls return at
// once, because the outermost call closes all selected connections.
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
