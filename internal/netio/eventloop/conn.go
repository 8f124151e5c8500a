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

// These errors are passed to Handler.Closed when the local side closes a connection.
var (
	// ErrConnectTimeout means that a connection was not established within the timeout that was passed to
	// Dial.
	ErrConnectTimeout = errors.New("connect: timed out")
	// ErrClosedLocally means that Close or CloseAfterFlush was called.
	ErrClosedLocally = errors.New("connection closed locally")
)

const (
	// DefaultMaxInputBytes is the default value of Conn.MaxInputBytes.
	DefaultMaxInputBytes = 4 << 20

	// lingerTimeout limits how long a connection that has shut down its write side waits for the peer to
	// close the connection. If the socket were closed at once while the peer still sends a request body,
	// the kernel would reset the connection, and the peer could lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// Handler receives the events of one connection. Its methods are called on the goroutine of the loop.
type Handler interface {
	// Opened is called once, when a connection has been accepted or a dialed connection has been established.
	Opened(c *Conn)
	// Data is called with all received bytes that have not been consumed yet, and returns how many of them
	// it consumes. The slice b is valid only during the call.
	Data(c *Conn, b []byte) int
	// Drained is called when all queued output has been written to the socket.
	Drained(c *Conn)
	// Closed is called once, when the connection is closed. No method of the handler is called after
	// it. err is io.EOF if the peer closed the connection without an error.
	Closed(c *Conn, err error)
}

// Conn is one non-blocking TCP connection. Its methods may be called only on the goroutine of the loop.
type Conn struct {
	// MaxInputBytes limits the unconsumed input. When the limit is exceeded, the loop stops reading from
	// the socket until the handler calls SetReadPaused(false).
	MaxInputBytes int

	loop    *Loop
	handler Handler
	fd      int
	// generation distinguishes the connection from earlier connections with the same descriptor.
	generation int32
	peer       netip.AddrPort
	// registeredEvents is the set of epoll events that is registered for the descriptor.
	registeredEvents uint32
	// unconsumedInput holds received bytes that the handler has not consumed.
	unconsumedInput []byte
	// consumedBytes is the number of received bytes that the handler has consumed.
	consumedBytes uint64
	// output holds queued output. Its first outputSentBytes bytes have been written to the socket.
	output          []byte
	outputSentBytes int
	// stateTimer closes the connection if it stays too long in a dialing state or in stateLingering. It is
	// nil in stateOpen and stateClosing, which have no time limit.
	stateTimer *Timer
	state      connState

	// The following fields are independent of each other. Each of them can be true in more than one
	// state of the connection.

	// countedAsAccepted reports that Loop.acceptedConns includes the connection.
	countedAsAccepted bool
	// readPaused reports that the loop does not read from the socket, because the handler has paused
	// reading or the unconsumed input exceeds MaxInputBytes.
	readPaused bool
	// peerClosed reports that the peer has shut down its write side.
	peerClosed bool
	// deliveringInput reports that Handler.Data is running for the connection.
	deliveringInput bool
	// writeBlocked reports that the socket send buffer is full.
	writeBlocked bool
	// flushQueued reports that the connection is in Loop.flushQueue, which means that its queued output is
	// sent at the end of the iteration.
	flushQueued bool
	// redeliverQueued reports that the connection is in Loop.redeliverQueue, which means that its
	// unconsumed input will be passed to Handler.Data again.
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

// addConn registers a socket with epoll and adds a connection for it to the loop. If that fails, it closes
// the socket.
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

// PeerHost returns the address of the peer's host, without the port.
func (c *Conn) PeerHost() string { return c.peer.Addr().String() }

// Loop returns the loop that the connection belongs to.
func (c *Conn) Loop() *Loop { return c.loop }

// UnsentBytes returns the number of queued bytes that have not been written to the socket.
func (c *Conn) UnsentBytes() int { return len(c.output) - c.outputSentBytes }

// ConsumedBytes returns the number of received bytes that the handler has consumed.
func (c *Conn) ConsumedBytes() uint64 { return c.consumedBytes }

// ArrivedBytes returns the number of bytes that have arrived from the peer. It includes those that the handler
// has not consumed, and those that the loop has not read from the socket. When ConsumedBytes reaches this number,
// the handler has seen everything that has arrived by now.
func (c *Conn) ArrivedBytes() uint64 {
	arrived := c.consumedBytes + uint64(len(c.unconsumedInput))
	if c.state == stateClosed {
		return arrived
	}
	return arrived + uint64(socketInputBytes(c.fd))
}

// PeerHasClosed reports whether the peer has closed the connection or shut down its write side, even if the loop
// has not read what the peer sent before.
func (c *Conn) PeerHasClosed() bool {
	return c.state == stateClosed || c.peerClosed || socketPeerHasClosed(c.fd)
}

// BufferMemoryBytes returns the memory of the input and output buffers of the connection. Output that is sent at
// the end of the iteration counts with its length, since its buffer, which may be much larger, is then reused for
// other connections.
func (c *Conn) BufferMemoryBytes() int {
	outputBytes := cap(c.output)
	if !c.writeBlocked {
		outputBytes = len(c.output)
	}
	return cap(c.unconsumedInput) + outputBytes
}

// Closed reports whether the connection is closed.
func (c *Conn) Closed() bool { return c.state == stateClosed }

// ReadPaused reports whether reading is paused. While reading is paused, the peer may have sent bytes or
// closed the connection without the loop having noticed.
func (c *Conn) ReadPaused() bool { return c.readPaused }

// SetReadPaused pauses or resumes reading. When reading resumes, unconsumed bytes are passed to
// Handler.Data again.
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

// RedeliverInput schedules unconsumed bytes to be passed to Handler.Data again, in the current iteration of
// the loop or in the next one.
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

// CloseAfterFlush closes the connection once queued output has been sent. Output that is written after this
// call is discarded.
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
// peer to close the connection.
func (c *Conn) shutdownWrite() {
	// Shutdown fails if the connection is broken or not established. Its error is ignored, because
	// reading from the connection or establishing it reports the same error.
	_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.peerClosed {
		c.closeWithError(ErrClosedLocally)
		return
	}
	if c.state != stateClosing {
		return // In stateLingering and in the dialing states, stateTimer is set already.
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

// updateRegisteredEvents registers with epoll the events that the connection now waits for.
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

// handleReady handles a readiness event that epoll has reported for the connection.
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

// finishDial handles the outcome of Dial: the connection is established, or connecting has failed.
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

// handleHangup handles an error or hang-up event of epoll: the connection has failed, or both sides have
// shut it down.
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
