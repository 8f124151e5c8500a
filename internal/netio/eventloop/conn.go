//go:build linux

package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Errors that Handler.Closed gets when this side ends a connection.
var (
	// ErrConnectTimeout: a dialed connection was not established in time.
	ErrConnectTimeout = errors.New("connect: timed out")
	// ErrClosedLocally: Close or CloseAfterFlush was called.
	ErrClosedLocally = errors.New("closed on this side")
)

const (
	// DefaultMaxInputBytes is how many unconsumed bytes a connection holds before reading stops: see Conn.MaxInputBytes.
	DefaultMaxInputBytes = 4 << 20

	// lingerTimeout is how long a connection waits for the peer's end after its own, so that a response sent before the end of
	// a request's body is not lost to a reset.
	lingerTimeout = 500 * time.Millisecond
)

// Handler gets what happens to one connection, on the loop's goroutine.
type Handler interface {
	// Opened is called once: when an accepted connection begins, or a dialed one is established.
	Opened(c *Conn)
	// Data gets all bytes not yet consumed and returns how many it consumes. The slice is valid during the call only.
	Data(c *Conn, b []byte) int
	// Drained is called when all queued output has been given to the system.
	Drained(c *Conn)
	// Closed is called once, last. err is io.EOF if the peer ended the connection in order.
	Closed(c *Conn, err error)
}

// Conn is one non-blocking TCP connection. All methods are for the loop's goroutine.
type Conn struct {
	// MaxInputBytes is how many unconsumed bytes are held before reading stops until the handler resumes it.
	MaxInputBytes int

	loop             *Loop
	handler          Handler
	fd               int
	generation       int32 // tells it from an earlier connection with the same descriptor
	peer             netip.AddrPort
	registeredEvents uint32 // epoll events registered
	unconsumedInput  []byte // received and not consumed
	output           []byte // queued to be sent
	outputSentBytes  int    // bytes of output that the system has taken
	stateTimer       *Timer // limits dialing and lingering; nil otherwise
	state            connState

	// Each of these holds or not in several states, independently of the others.
	countedAsAccepted bool // counts in Loop.accepted
	readPaused        bool // by the handler, or because of MaxInputBytes
	peerClosed        bool // the peer has ended its side
	deliveringInput   bool // Handler.Data is running
	writeBlocked      bool // the system takes no output for now
	flushQueued       bool // in Loop.flushQueue
	redeliverQueued   bool // in Loop.redeliverQueue
}

// Dial connects to a literal address. If that fails later, or takes longer than the timeout, the handler's Closed
// gets the error.
func (l *Loop) Dial(addr string, timeout time.Duration, h Handler) (*Conn, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	fd, err := newSocket(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: socket: %w", addr, err)
	}
	setNoDelay(fd)
	if err := unix.Connect(fd, socketAddress(address)); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		closeFD(fd)
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c, err := l.addConn(fd, unix.EPOLLOUT, stateDialing)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c.handler = h
	c.peer = address
	c.stateTimer = l.After(timeout, func() { c.closeWithError(ErrConnectTimeout) })
	return c, nil
}

// addConn registers a socket with the loop; it closes the socket if that fails.
func (l *Loop) addConn(fd int, events uint32, state connState) (*Conn, error) {
	l.lastGeneration++
	c := &Conn{loop: l, fd: fd, generation: l.lastGeneration, registeredEvents: events, state: state, MaxInputBytes: DefaultMaxInputBytes}
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: c.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("epoll add: %w", err)
	}
	for len(l.conns) <= fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[fd] = c
	return c, nil
}

// Peer is the address at the other end.
func (c *Conn) Peer() string { return c.peer.String() }

// Loop is the loop that runs the connection.
func (c *Conn) Loop() *Loop { return c.loop }

// UnsentBytes is the number of queued bytes that the system has not taken.
func (c *Conn) UnsentBytes() int { return len(c.output) - c.outputSentBytes }

// BufferMemoryBytes is the memory that the connection's buffers take, in bytes.
func (c *Conn) BufferMemoryBytes() int { return cap(c.unconsumedInput) + cap(c.output) }

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool { return c.state == stateClosed }

// ReadPaused reports whether reading is paused, so that bytes and the peer's end may not have been read.
func (c *Conn) ReadPaused() bool { return c.readPaused }

// SetReadPaused pauses or resumes reading. After resuming, unconsumed bytes are delivered again.
func (c *Conn) SetReadPaused(on bool) {
	if c.state == stateClosed || c.readPaused == on {
		return
	}
	c.readPaused = on
	c.updateRegisteredEvents()
	if !on && (len(c.unconsumedInput) > 0 || c.peerClosed) && !c.redeliverQueued {
		c.queueRedelivery()
	}
}

// RedeliverInput has unconsumed bytes delivered again in the next iteration.
func (c *Conn) RedeliverInput() {
	if c.state == stateClosed || c.readPaused || c.redeliverQueued {
		return
	}
	if len(c.unconsumedInput) > 0 || c.peerClosed || c.deliveringInput {
		c.queueRedelivery()
	}
}

func (c *Conn) queueRedelivery() {
	c.redeliverQueued = true
	c.loop.redeliverQueue = append(c.loop.redeliverQueue, c)
}

// Close closes the connection at once; queued output is lost. Handler.Closed gets ErrClosedLocally.
func (c *Conn) Close() { c.closeWithError(ErrClosedLocally) }

// CloseAfterFlush closes the connection once queued output has been sent, and queues no more.
func (c *Conn) CloseAfterFlush() {
	switch c.state {
	case stateDialing:
		c.setState(stateDialingThenClose)
	case stateOpen:
		c.setState(stateClosing)
	default:
		return
	}
	if c.UnsentBytes() == 0 && !c.flushQueued {
		c.shutdownWrite()
		return
	}
	c.queueFlush()
}

// shutdownWrite ends this side of a connection that closes and waits a little for the peer's end.
func (c *Conn) shutdownWrite() {
	// It fails when the connection is broken or not established; that is reported by reading or by the dial.
	_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.peerClosed {
		c.closeWithError(ErrClosedLocally)
		return
	}
	if c.state != stateClosing {
		return // lingering already, or dialing, which has its own time limit
	}
	c.setState(stateLingering)
	c.readPaused = false
	c.updateRegisteredEvents()
	c.stateTimer = c.loop.After(lingerTimeout, func() { c.closeWithError(ErrClosedLocally) })
}

func (c *Conn) closeWithError(err error) {
	if c.state == stateClosed {
		return
	}
	c.setState(stateClosed)
	c.stateTimer.Stop()
	c.loop.conns[c.fd] = nil
	closeFD(c.fd)
	if c.countedAsAccepted {
		c.loop.acceptedConns--
	}
	c.unconsumedInput = nil
	c.output = nil
	c.handler.Closed(c, err)
}

// updateInterest registers with epoll the events that the connection now waits for.
func (c *Conn) updateRegisteredEvents() {
	if c.state == stateClosed {
		return
	}
	var events uint32
	if c.state.isDialing() || c.writeBlocked {
		events |= unix.EPOLLOUT
	}
	if !c.readPaused && !c.peerClosed && !c.state.isDialing() {
		events |= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if events == c.registeredEvents {
		return
	}
	c.registeredEvents = events
	event := unix.EpollEvent{Events: events, Fd: int32(c.fd), Pad: c.generation}
	if err := unix.EpollCtl(c.loop.epollFD, unix.EPOLL_CTL_MOD, c.fd, &event); err != nil {
		c.closeWithError(fmt.Errorf("epoll mod: %w", err))
	}
}

// handleReady handles a readiness event of epoll.
func (c *Conn) handleReady(events uint32) {
	if c.state.isDialing() {
		c.finishDial()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.writeQueuedOutput()
	}
	if c.state == stateClosed {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.readPaused {
		c.readOnce()
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.handleHangup()
	}
}

// finishDial handles the answer to connect.
func (c *Conn) finishDial() {
	if err := socketError(c.fd); err != nil {
		c.closeWithError(fmt.Errorf("connect %s: %w", c.peer, err))
		return
	}
	if c.state == stateDialing {
		c.setState(stateOpen)
	} else {
		c.setState(stateClosing)
	}
	c.stateTimer.Stop()
	c.stateTimer = nil
	c.handler.Opened(c)
	c.updateRegisteredEvents()
	if c.UnsentBytes() > 0 {
		c.queueFlush()
	}
}

// handleHangup handles a connection that has broken or that both sides have ended.
func (c *Conn) handleHangup() {
	err := socketError(c.fd)
	switch {
	case err != nil:
		c.closeWithError(fmt.Errorf("socket: %w", err))
	case !c.readPaused:
		c.readOnce()
	default:
		c.closeWithError(io.EOF)
	}
}
