//go:build linux

package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Errors that end a connection.
var (
	ErrConnectTimeout = errors.New("connect: no answer in time")
	ErrClosedLocally  = errors.New("closed on this side")
)

const maxReadNowPieces = 64 // pieces at once, of a peer that sends as fast as they are read

// Handler gets what happens to one connection, on the loop's goroutine.
type Handler interface {
	// Opened is called once: when an accepted connection begins, or a dialled one is established.
	Opened(c *Conn)
	// Data gets all bytes that were not yet consumed and returns how many it takes. The slice is the loop's.
	Data(c *Conn, b []byte) int
	// Drained is called when everything written has gone to the system, if something had to wait.
	Drained(c *Conn)
	// Closed is called once, last. err is io.EOF when the peer closed in order.
	Closed(c *Conn, err error)
}

// Conn is one non-blocking TCP connection.
type Conn struct {
	// MaxInput is how many unconsumed bytes are held before reading stops until the handler resumes it.
	MaxInput int

	loop            *Loop
	handler         Handler
	fd              int
	generation      int32
	peer            netip.AddrPort
	interest        uint32
	input           []byte
	output          []byte
	outputSent      int
	accepted        bool
	dialing         bool
	readPaused      bool
	peerClosed      bool
	writeBlocked    bool // writing waits for the system
	flushQueued     bool
	redeliverQueued bool
	closeAfterFlush bool // close once drained
	closed          bool
	delivering      bool
	timer           *Timer
}

// Dial connects to a literal address. The handler's Closed gets the error if that fails or takes longer than the given
// number of seconds.
func (l *Loop) Dial(addr string, timeoutSeconds float64, h Handler) (*Conn, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	fd, err := unix.Socket(addressFamily(address), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("dial %s: socket: %w", addr, err)
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, socketAddress(address)); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c := l.addConn(fd, unix.EPOLLOUT)
	if c == nil {
		return nil, fmt.Errorf("dial %s: epoll add failed", addr)
	}
	c.handler, c.peer, c.dialing = h, address, true
	c.timer = l.After(timeoutSeconds, func() { c.closeWithError(ErrConnectTimeout) })
	return c, nil
}

// Peer is the address at the other end.
func (c *Conn) Peer() string { return c.peer.String() }

// Loop is the loop that the connection lives on.
func (c *Conn) Loop() *Loop { return c.loop }

// Buffered is the number of bytes written that the system has not taken.
func (c *Conn) Buffered() int { return len(c.output) - c.outputSent }

// BufferMemory is the memory that the connection's queues take, in bytes.
func (c *Conn) BufferMemory() int { return cap(c.input) + cap(c.output) }

// Closed says whether the connection is over.
func (c *Conn) Closed() bool { return c.closed }

// Paused says whether reading has stopped, so that bytes and the peer's end may be unread.
func (c *Conn) Paused() bool { return c.readPaused }

// ReadNow delivers what the system has received by now, the peer's end included, rather than what it had at the beginning of the turn. It
// does nothing within the connection's own Data, or while reading is paused.
func (c *Conn) ReadNow() {
	for range maxReadNowPieces {
		if c.closed || c.dialing || c.readPaused || c.peerClosed || c.delivering || !c.readOnce() {
			return
		}
	}
}

// Write queues bytes; they leave at the end of the turn. The slice is copied.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closeAfterFlush {
		return
	}
	c.output = append(c.OutputBuffer(), b...)
	c.queueFlush()
}

// OutputBuffer returns the queue of bytes to append to; give the result back to SetOut or Untouched.
func (c *Conn) OutputBuffer() []byte {
	if c.output == nil && len(c.loop.spareBuffers) > 0 {
		c.output = c.loop.spareBuffers[len(c.loop.spareBuffers)-1]
		c.loop.spareBuffers = c.loop.spareBuffers[:len(c.loop.spareBuffers)-1]
	}
	return c.output
}

// releaseOutput gives the queue's memory back: an idle connection holds none.
func (c *Conn) releaseOutput() {
	if n := cap(c.output); n > 0 && n <= maxSpareBufferSize && len(c.loop.spareBuffers) < maxSpareBuffers {
		c.loop.spareBuffers = append(c.loop.spareBuffers, c.output[:0])
	}
	c.output = nil
}

// CommitOutput puts back what was appended to Out.
func (c *Conn) CommitOutput(b []byte) {
	if c.closed || c.closeAfterFlush {
		return
	}
	c.output = b
	c.queueFlush()
}

// DiscardOutput puts back Out when nothing was appended to it.
func (c *Conn) DiscardOutput(b []byte) {
	if c.closed || c.closeAfterFlush {
		return
	}
	if c.output = b; len(b) == 0 && !c.flushQueued {
		c.releaseOutput()
	}
}

// Redeliver has bytes that were left unconsumed delivered again, on the next turn.
func (c *Conn) Redeliver() {
	if !c.closed && !c.readPaused && !c.redeliverQueued && (len(c.input) > 0 || c.peerClosed || c.delivering) {
		c.redeliverQueued = true
		c.loop.redeliverQueue = append(c.loop.redeliverQueue, c)
	}
}

// Flush hands what is queued to the system now rather than at the end of the turn, for who writes much to many.
func (c *Conn) Flush() {
	if !c.closed && !c.dialing && !c.writeBlocked && c.Buffered() > 0 {
		c.flush()
	}
}

func (c *Conn) queueFlush() {
	if !c.flushQueued && !c.dialing {
		c.flushQueued = true
		c.loop.flushQueue = append(c.loop.flushQueue, c)
	}
}

// PauseRead stops or resumes reading. Bytes at hand are delivered again after resuming.
func (c *Conn) PauseRead(on bool) {
	if c.closed || c.readPaused == on {
		return
	}
	c.readPaused = on
	c.updateInterest()
	if !on && (len(c.input) > 0 || c.peerClosed) && !c.redeliverQueued {
		c.redeliverQueued = true
		c.loop.redeliverQueue = append(c.loop.redeliverQueue, c)
	}
}

// Close closes at once; what is queued is lost. The handler's Closed is called with ErrClosedHere.
func (c *Conn) Close() { c.closeWithError(ErrClosedLocally) }

// CloseAfterFlush closes once what is queued has gone out, and takes in no more.
func (c *Conn) CloseAfterFlush() {
	if c.closed || c.closeAfterFlush {
		return
	}
	c.closeAfterFlush = true
	if c.Buffered() == 0 && !c.flushQueued {
		c.shutdownWrite()
		return
	}
	c.queueFlush()
}

// shutdownWrite says the end to the peer and drains for a moment, so that an answer before the end of a body is not lost to a
// reset.
func (c *Conn) shutdownWrite() {
	unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.peerClosed {
		c.closeWithError(ErrClosedLocally)
		return
	}
	if c.timer == nil {
		c.readPaused = false
		c.updateInterest()
		c.timer = c.loop.After(0.5, func() { c.closeWithError(ErrClosedLocally) })
	}
}

func (c *Conn) updateInterest() {
	if c.closed {
		return
	}
	var want uint32
	if c.dialing || c.writeBlocked {
		want |= unix.EPOLLOUT
	}
	if !c.readPaused && !c.peerClosed && !c.dialing {
		want |= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if want == c.interest {
		return
	}
	c.interest = want
	ev := unix.EpollEvent{Events: want, Fd: int32(c.fd), Pad: c.generation}
	if err := unix.EpollCtl(c.loop.epollFD, unix.EPOLL_CTL_MOD, c.fd, &ev); err != nil {
		c.closeWithError(fmt.Errorf("epoll mod: %w", err))
	}
}

func (c *Conn) handleReady(events uint32) {
	if c.dialing {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.closeWithError(fmt.Errorf("connect %s: %w", c.peer, err))
			return
		}
		c.dialing = false
		c.timer.Stop()
		c.timer = nil
		c.handler.Opened(c)
		c.updateInterest()
		if c.Buffered() > 0 {
			c.queueFlush()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	if c.closed {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.readPaused {
		c.readOnce()
	} else if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		code, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if code != 0 {
			c.closeWithError(unix.Errno(code))
		} else if !c.readPaused {
			c.readOnce()
		} else {
			c.closeWithError(io.EOF)
		}
	}
}

// readOnce takes one piece, and says whether there may be more.
func (c *Conn) readOnce() bool {
	n, err := unix.Read(c.fd, c.loop.readBuffer)
	switch {
	case err == unix.EINTR:
		return true
	case err == unix.EAGAIN:
		return false
	case err != nil:
		c.closeWithError(fmt.Errorf("read: %w", err))
	case n == 0:
		c.peerClosed = true
		if c.closeAfterFlush {
			c.closeWithError(ErrClosedLocally)
			return false
		}
		c.updateInterest()
		c.deliver(nil)
	case c.closeAfterFlush:
	default:
		c.deliver(c.loop.readBuffer[:n])
	}
	return n > 0
}

// deliver hands bytes over; what is not consumed is kept. An idle connection holds no buffer.
func (c *Conn) deliver(b []byte) {
	if c.delivering {
		return
	}
	own := len(c.input) > 0
	if own {
		c.input = append(c.input, b...)
		b = c.input
	}
	if len(b) > 0 {
		c.delivering = true
		n := c.handler.Data(c, b)
		c.delivering = false
		if c.closed {
			return
		}
		rest := b[n:]
		switch {
		case len(rest) == 0:
			c.input = nil
		case own:
			c.input = c.input[:copy(c.input, rest)]
		default:
			c.input = append([]byte(nil), rest...)
		}
		if len(c.input) > c.MaxInput {
			c.PauseRead(true)
		}
	}
	if c.peerClosed && !c.readPaused && !c.closeAfterFlush {
		c.closeWithError(io.EOF)
	}
}

func (c *Conn) flush() {
	for c.outputSent < len(c.output) {
		n, err := unix.Write(c.fd, c.output[c.outputSent:])
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			if !c.writeBlocked {
				c.writeBlocked = true
				c.updateInterest()
			}
			// Keep the queue from growing by what has gone out.
			if c.outputSent > 1<<16 && c.outputSent > len(c.output)/2 {
				c.output = c.output[:copy(c.output, c.output[c.outputSent:])]
				c.outputSent = 0
			}
			// What has to wait for its reader waits in as little as it needs.
			if left := len(c.output) - c.outputSent; cap(c.output) > 2*left+4096 {
				small := append(make([]byte, 0, left), c.output[c.outputSent:]...)
				c.releaseOutput()
				c.output, c.outputSent = small, 0
			}
			return
		}
		if err != nil {
			c.closeWithError(fmt.Errorf("write: %w", err))
			return
		}
		c.outputSent += n
	}
	c.outputSent = 0
	c.output = c.output[:0]
	was := c.writeBlocked
	c.writeBlocked = false
	if was {
		c.updateInterest()
	}
	if c.closeAfterFlush {
		c.shutdownWrite()
		return
	}
	if c.closed {
		return
	}
	c.handler.Drained(c)
	if c.Buffered() == 0 && !c.flushQueued {
		c.releaseOutput()
	}
}

func (c *Conn) closeWithError(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.timer.Stop()
	c.loop.conns[c.fd] = nil
	unix.Close(c.fd)
	if c.accepted {
		c.loop.accepted--
	}
	c.input, c.output = nil, nil
	c.handler.Closed(c, err)
}
