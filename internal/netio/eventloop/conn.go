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

// Errors that are passed to Handler.Closed when this side closes a connection.
var (
	// ErrConnectTimeout means that a connection was not established within the timeout of Dial.
	ErrConnectTimeout = errors.New("connect: timed out")
	// ErrClosedLocally means that Close or CloseAfterFlush was called.
	ErrClosedLocally = errors.New("connection closed locally")
)

const (
	// DefaultMaxInputBytes is the default of Conn.MaxInputBytes.
	DefaultMaxInputBytes = 4 << 20

	// lingerTimeout limits how long a connection that has shut down its write side waits for the peer to
	// close. Closing at once, while the peer still sends a request body, would cause a reset, and the peer
	// could lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// Handler receives the events of one connection. Its methods are called on the goroutine of the loop.
type Handler interface {
	// Opened is called once, when a connection has been accepted or a dialed connection has been established.
	Opened(c *Conn)
	// Data receives all bytes that have not been consumed yet and returns how many of them it consumes. The
	// slice is valid only during the call.
	Data(c *Conn, b []byte) int
	// Drained is called when all queued output has been written to the socket.
	Drained(c *Conn)
	// Closed is called once, after all other methods. err is io.EOF if the peer closed the connection
	// without an error.
	Closed(c *Conn, err error)
}

// Conn is one non-blocking TCP connection. Its methods may be called only on the goroutine of the loop.
type Conn struct {
	// MaxInputBytes limits the unconsumed input. When the limit is exceeded, reading pauses until the
	// handler resumes it.
	MaxInputBytes int

	loop    *Loop
	handler Handler
	fd      int
	// generation distinguishes the connection from earlier ones with the same descriptor.
	generation int32
	peer       netip.AddrPort
	// registeredEvents is the set of epoll events that is registered for the descriptor.
	registeredEvents uint32
	// unconsumedInput holds received bytes that the handler has not consumed.
	unconsumedInput []byte
	// output holds queued output. Its first outputSentBytes bytes have been written to the socket.
	output          []byte
	outputSentBytes int
	// stateTimer limits the time that the connection dials or lingers. It is nil while the connection is
	// open or closing.
	stateTimer *Timer
	state      connState

	// The following conditions are independent of each other, and each can hold in several states.

	// countedAsAccepted reports that Loop.acceptedConns includes the connection.
	countedAsAccepted bool
	// readPaused reports that reading is paused, by the handler or because the input exceeds MaxInputBytes.
	readPaused bool
	// peerClosed reports that the peer has shut down its write side.
	peerClosed bool
	// deliveringInput reports that Handler.Data is running.
	deliveringInput bool
	// writeBlocked reports that the socket send buffer is full.
	writeBlocked bool
	// flushQueued reports that the connection is in Loop.flushQueue.
	flushQueued bool
	// redeliverQueued reports that the connection is in Loop.redeliverQueue.
	redeliverQueued bool
}

// Dial starts to connect to addr, which must be a literal IP address with a port. If connecting fails after
// Dial has returned, or takes longer than the timeout, Handler.Closed receives the error.
func (l *Loop) Dial(addr string, timeout time.Duration, h Handler) (*Conn, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	fd, err := newSocket(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: create socket: %w", addr, err)
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

// addConn registers a socket with the loop. If that fails, it closes the socket.
func (l *Loop) addConn(fd int, events uint32, state connState) (*Conn, error) {
	l.lastGeneration++
	c := &Conn{loop: l, fd: fd, generation: l.lastGeneration, registeredEvents: events, state: state, MaxInputBytes: DefaultMaxInputBytes}
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: c.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("register socket with epoll: %w", err)
	}
	for len(l.conns) <= fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[fd] = c
	return c, nil
}

// Peer returns the address of the peer.
func (c *Conn) Peer() string { return c.peer.String() }

// Loop returns the loop that the connection belongs to.
func (c *Conn) Loop() *Loop { return c.loop }

// UnsentBytes returns the number of queued bytes that have not been written to the socket.
func (c *Conn) UnsentBytes() int { return len(c.output) - c.outputSentBytes }

// BufferMemoryBytes returns the capacity of the input and output buffers of the connection.
func (c *Conn) BufferMemoryBytes() int { return cap(c.unconsumedInput) + cap(c.output) }

// Closed reports whether the connection is closed.
func (c *Conn) Closed() bool { return c.state == stateClosed }

// ReadPaused reports whether reading is paused. In that case, bytes or a close from the peer may not have
// been read yet.
func (c *Conn) ReadPaused() bool { return c.readPaused }

// SetReadPaused pauses or resumes reading. When reading resumes, unconsumed bytes are delivered again.
func (c *Conn) SetReadPaused(paused bool) {
	if c.state == stateClosed || c.readPaused == paused {
		return
	}
	c.readPaused = paused
	c.updateRegisteredEvents()
	if !paused && (len(c.unconsumedInput) > 0 || c.peerClosed) && !c.redeliverQueued {
		c.queueRedelivery()
	}
}

// RedeliverInput schedules unconsumed bytes to be delivered again in the next iteration of the loop.
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

// Close closes the connection immediately and discards queued output. Handler.Closed receives
// ErrClosedLocally.
func (c *Conn) Close() { c.closeWithError(ErrClosedLocally) }

// CloseAfterFlush closes the connection once queued output has been sent. Further output is discarded.
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

// shutdownWrite shuts down the write side of a closing connection and waits up to lingerTimeout for the
// peer to close.
func (c *Conn) shutdownWrite() {
	// Shutdown fails if the connection is broken or not established. Reading or dialing reports the same
	// error.
	_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.peerClosed {
		c.closeWithError(ErrClosedLocally)
		return
	}
	if c.state != stateClosing {
		return // The connection lingers already, or it still dials and has a timer for that.
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

// updateRegisteredEvents registers the events that the connection now waits for with epoll.
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
		c.closeWithError(fmt.Errorf("change epoll registration of socket: %w", err))
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

// finishDial handles the result of connecting.
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

// handleHangup handles a connection that failed or that both sides have closed.
func (c *Conn) handleHangup() {
	err := socketError(c.fd)
	switch {
	case err != nil:
		c.closeWithError(fmt.Errorf("socket error: %w", err))
	case !c.readPaused:
		c.readOnce()
	default:
		c.closeWithError(io.EOF)
	}
}
