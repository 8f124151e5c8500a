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
	ErrClosedHere     = errors.New("closed on this side")
)

const maxReadNow = 64 // pieces at once, of a peer that sends as fast as they are read

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
	// MaxIn is how many unconsumed bytes are held before reading stops until the handler resumes it.
	MaxIn int

	l        *Loop
	h        Handler
	fd       int
	gen      int32
	peer     netip.AddrPort
	interest uint32
	in       []byte
	out      []byte
	sent     int
	accepted bool
	dialling bool
	paused   bool
	eof      bool
	blocked  bool // writing waits for the system
	dirty    bool
	again    bool
	closing  bool // close once drained
	closed   bool
	inData   bool
	timer    *Timer
}

// Dial connects to a literal address. The handler's Closed gets the error if that fails or takes longer than the given
// number of seconds.
func (l *Loop) Dial(addr string, within float64, h Handler) (*Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	fd, err := unix.Socket(family(ap), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("dial %s: socket: %w", addr, err)
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sockaddr(ap)); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c := l.add(fd, unix.EPOLLOUT)
	if c == nil {
		return nil, fmt.Errorf("dial %s: epoll add failed", addr)
	}
	c.h, c.peer, c.dialling = h, ap, true
	c.timer = l.After(within, func() { c.fail(ErrConnectTimeout) })
	return c, nil
}

// Peer is the address at the other end.
func (c *Conn) Peer() string { return c.peer.String() }

// Loop is the loop that the connection lives on.
func (c *Conn) Loop() *Loop { return c.l }

// Buffered is the number of bytes written that the system has not taken.
func (c *Conn) Buffered() int { return len(c.out) - c.sent }

// Held is the memory that the connection's queues take, in bytes.
func (c *Conn) Held() int { return cap(c.in) + cap(c.out) }

// Closed says whether the connection is over.
func (c *Conn) Closed() bool { return c.closed }

// Paused says whether reading has stopped, so that bytes and the peer's end may be unread.
func (c *Conn) Paused() bool { return c.paused }

// ReadNow delivers what the system has received by now, the peer's end included, rather than what it had at the beginning of the turn. It
// does nothing within the connection's own Data, or while reading is paused.
func (c *Conn) ReadNow() {
	for range maxReadNow {
		if c.closed || c.dialling || c.paused || c.eof || c.inData || !c.read() {
			return
		}
	}
}

// Write queues bytes; they leave at the end of the turn. The slice is copied.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	c.out = append(c.Out(), b...)
	c.touch()
}

// Out returns the queue of bytes to append to; give the result back to SetOut or Untouched.
func (c *Conn) Out() []byte {
	if c.out == nil && len(c.l.spare) > 0 {
		c.out = c.l.spare[len(c.l.spare)-1]
		c.l.spare = c.l.spare[:len(c.l.spare)-1]
	}
	return c.out
}

// release gives the queue's memory back: an idle connection holds none.
func (c *Conn) release() {
	if n := cap(c.out); n > 0 && n <= maxSpare && len(c.l.spare) < maxSpares {
		c.l.spare = append(c.l.spare, c.out[:0])
	}
	c.out = nil
}

// SetOut puts back what was appended to Out.
func (c *Conn) SetOut(b []byte) {
	if c.closed || c.closing {
		return
	}
	c.out = b
	c.touch()
}

// Untouched puts back Out when nothing was appended to it.
func (c *Conn) Untouched(b []byte) {
	if c.closed || c.closing {
		return
	}
	if c.out = b; len(b) == 0 && !c.dirty {
		c.release()
	}
}

// Redeliver has bytes that were left unconsumed delivered again, on the next turn.
func (c *Conn) Redeliver() {
	if !c.closed && !c.paused && !c.again && (len(c.in) > 0 || c.eof || c.inData) {
		c.again = true
		c.l.again = append(c.l.again, c)
	}
}

// Flush hands what is queued to the system now rather than at the end of the turn, for who writes much to many.
func (c *Conn) Flush() {
	if !c.closed && !c.dialling && !c.blocked && c.Buffered() > 0 {
		c.flush()
	}
}

func (c *Conn) touch() {
	if !c.dirty && !c.dialling {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// PauseRead stops or resumes reading. Bytes at hand are delivered again after resuming.
func (c *Conn) PauseRead(on bool) {
	if c.closed || c.paused == on {
		return
	}
	c.paused = on
	c.update()
	if !on && (len(c.in) > 0 || c.eof) && !c.again {
		c.again = true
		c.l.again = append(c.l.again, c)
	}
}

// Close closes at once; what is queued is lost. The handler's Closed is called with ErrClosedHere.
func (c *Conn) Close() { c.fail(ErrClosedHere) }

// CloseAfterFlush closes once what is queued has gone out, and takes in no more.
func (c *Conn) CloseAfterFlush() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	if c.Buffered() == 0 && !c.dirty {
		c.finish()
		return
	}
	c.touch()
}

// finish says the end to the peer and drains for a moment, so that an answer before the end of a body is not lost to a
// reset.
func (c *Conn) finish() {
	unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.eof {
		c.fail(ErrClosedHere)
		return
	}
	if c.timer == nil {
		c.paused = false
		c.update()
		c.timer = c.l.After(0.5, func() { c.fail(ErrClosedHere) })
	}
}

func (c *Conn) update() {
	if c.closed {
		return
	}
	var want uint32
	if c.dialling || c.blocked {
		want |= unix.EPOLLOUT
	}
	if !c.paused && !c.eof && !c.dialling {
		want |= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if want == c.interest {
		return
	}
	c.interest = want
	ev := unix.EpollEvent{Events: want, Fd: int32(c.fd), Pad: c.gen}
	if err := unix.EpollCtl(c.l.epfd, unix.EPOLL_CTL_MOD, c.fd, &ev); err != nil {
		c.fail(fmt.Errorf("epoll mod: %w", err))
	}
}

func (c *Conn) ready(events uint32) {
	if c.dialling {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.fail(fmt.Errorf("connect %s: %w", c.peer, err))
			return
		}
		c.dialling = false
		c.timer.Stop()
		c.timer = nil
		c.h.Opened(c)
		c.update()
		if c.Buffered() > 0 {
			c.touch()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	if c.closed {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.paused {
		c.read()
	} else if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		code, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if code != 0 {
			c.fail(unix.Errno(code))
		} else if !c.paused {
			c.read()
		} else {
			c.fail(io.EOF)
		}
	}
}

// read takes one piece, and says whether there may be more.
func (c *Conn) read() bool {
	n, err := unix.Read(c.fd, c.l.buf)
	switch {
	case err == unix.EINTR:
		return true
	case err == unix.EAGAIN:
		return false
	case err != nil:
		c.fail(fmt.Errorf("read: %w", err))
	case n == 0:
		c.eof = true
		if c.closing {
			c.fail(ErrClosedHere)
			return false
		}
		c.update()
		c.deliver(nil)
	case c.closing:
	default:
		c.deliver(c.l.buf[:n])
	}
	return n > 0
}

// deliver hands bytes over; what is not consumed is kept. An idle connection holds no buffer.
func (c *Conn) deliver(b []byte) {
	if c.inData {
		return
	}
	own := len(c.in) > 0
	if own {
		c.in = append(c.in, b...)
		b = c.in
	}
	if len(b) > 0 {
		c.inData = true
		n := c.h.Data(c, b)
		c.inData = false
		if c.closed {
			return
		}
		rest := b[n:]
		switch {
		case len(rest) == 0:
			c.in = nil
		case own:
			c.in = c.in[:copy(c.in, rest)]
		default:
			c.in = append([]byte(nil), rest...)
		}
		if len(c.in) > c.MaxIn {
			c.PauseRead(true)
		}
	}
	if c.eof && !c.paused && !c.closing {
		c.fail(io.EOF)
	}
}

func (c *Conn) flush() {
	for c.sent < len(c.out) {
		n, err := unix.Write(c.fd, c.out[c.sent:])
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			if !c.blocked {
				c.blocked = true
				c.update()
			}
			// Keep the queue from growing by what has gone out.
			if c.sent > 1<<16 && c.sent > len(c.out)/2 {
				c.out = c.out[:copy(c.out, c.out[c.sent:])]
				c.sent = 0
			}
			// What has to wait for its reader waits in as little as it needs.
			if left := len(c.out) - c.sent; cap(c.out) > 2*left+4096 {
				small := append(make([]byte, 0, left), c.out[c.sent:]...)
				c.release()
				c.out, c.sent = small, 0
			}
			return
		}
		if err != nil {
			c.fail(fmt.Errorf("write: %w", err))
			return
		}
		c.sent += n
	}
	c.sent = 0
	c.out = c.out[:0]
	was := c.blocked
	c.blocked = false
	if was {
		c.update()
	}
	if c.closing {
		c.finish()
		return
	}
	if c.closed {
		return
	}
	c.h.Drained(c)
	if c.Buffered() == 0 && !c.dirty {
		c.release()
	}
}

func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.timer.Stop()
	c.l.conns[c.fd] = nil
	unix.Close(c.fd)
	if c.accepted {
		c.l.accepted--
	}
	c.in, c.out = nil, nil
	c.h.Closed(c, err)
}
