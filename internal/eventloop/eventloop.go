//go:build linux

// Package loop is the one event loop that every heathshed process runs on: epoll readiness, non-blocking
// sockets, timers and posted functions, all on the goroutine that calls Run.
//
// It knows bytes and connections and nothing of what they mean. It may touch the operating system; of the project it
// imports only the queue of timers.
package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"heathshed/internal/timerqueue"
)

// Limits that hold for every connection unless set otherwise.
const (
	// DefaultMaxInput is how many bytes a handler may leave unread before reading stops.
	DefaultMaxInput = 4 << 20
	// DefaultMaxConns is how many accepted connections a loop holds.
	DefaultMaxConns      = 16384
	readBufferSize       = 64 << 10
	socketSendBufferSize = 128 << 10 // of the system, for an accepted connection; it takes twice as much
	acceptBatch          = 64
	maxBacklog           = 4096 // connections that wait to be accepted
	maxSpareBufferSize   = 64 << 10
	maxSpareBuffers      = 256
)

// ErrMaxConns closes a connection over the limit.
var ErrMaxConns = errors.New("too many connections")

// Loop runs handlers, timers and posted functions one after another. Only Post and Stop may be called from other
// goroutines.
type Loop struct {
	epollFD, eventFD int
	reserveFD        int // a descriptor kept to close, so that accept can refuse when descriptors run out
	conns            []*Conn
	listeners        map[int]*Listener
	lastGeneration   int32
	accepted         int
	maxConns         int

	startTime         time.Time
	startSeconds      float64 // Unix seconds at start
	now               float64
	timers            timerqueue.Queue
	flushQueue        []*Conn
	redeliverQueue    []*Conn
	iterationEndFuncs []func()
	readBuffer        []byte
	spareBuffers      [][]byte // queues of connections that have nothing to send

	mu      sync.Mutex
	posted  []func()
	stopped bool

	// Iterations and Events count turns of the loop and ready descriptors, for metrics.
	Iterations, Events uint64
}

// New makes a loop. Close it by letting Run end.
func New() (*Loop, error) {
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	evfd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epfd)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(evfd)}
	if err := unix.EpollCtl(epfd, unix.EPOLL_CTL_ADD, evfd, &ev); err != nil {
		unix.Close(epfd)
		unix.Close(evfd)
		return nil, fmt.Errorf("epoll add: %w", err)
	}
	t := time.Now()
	l := &Loop{epollFD: epfd, eventFD: evfd, listeners: map[int]*Listener{}, maxConns: DefaultMaxConns,
		startTime: t, startSeconds: float64(t.UnixNano()) / 1e9, readBuffer: make([]byte, readBufferSize)}
	l.reserveFD, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	l.now = l.startSeconds
	return l, nil
}

// SetMaxConns bounds the accepted connections held at a time.
func (l *Loop) SetMaxConns(n int) { l.maxConns = n }

// Now is the time of this turn in Unix seconds. It never goes back, whatever is done to the clock of the machine.
func (l *Loop) Now() float64 { return l.now }

func (l *Loop) readClock() float64 { return l.startSeconds + time.Since(l.startTime).Seconds() }

// Accepted is the number of accepted connections open now.
func (l *Loop) Accepted() int { return l.accepted }

// Post has f run on the loop soon. It may be called from any goroutine; after Stop it does nothing.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	stopped := l.stopped
	first := len(l.posted) == 0
	if !stopped {
		l.posted = append(l.posted, f)
		if first {
			// Under the lock, so that the descriptor cannot be closed in between.
			unix.Write(l.eventFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		}
	}
	l.mu.Unlock()
}

// AtIterationEnd has f run once at the end of this turn, after all that was ready and due, before what handlers wrote goes out.
func (l *Loop) AtIterationEnd(f func()) { l.iterationEndFuncs = append(l.iterationEndFuncs, f) }

// Stop ends Run after the present turn.
func (l *Loop) Stop() {
	l.mu.Lock()
	if !l.stopped {
		l.stopped = true
		unix.Write(l.eventFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	}
	l.mu.Unlock()
}

// Run turns the loop until Stop. At its end every descriptor is closed; handlers get no further calls.
func (l *Loop) Run() error {
	defer l.close()
	events := make([]unix.EpollEvent, 256)
	for {
		l.mu.Lock()
		stopped, waiting := l.stopped, len(l.posted) > 0
		l.mu.Unlock()
		if stopped {
			return nil
		}
		timeoutMilliseconds := -1
		if waiting || len(l.redeliverQueue) > 0 || len(l.iterationEndFuncs) > 0 {
			timeoutMilliseconds = 0
		} else if l.timers.Len() > 0 {
			untilTimer := l.timers.Next() - l.readClock()
			switch {
			case untilTimer <= 0:
				timeoutMilliseconds = 0
			case untilTimer > 60:
				timeoutMilliseconds = 60000
			default:
				timeoutMilliseconds = int(untilTimer*1000) + 1
			}
		}
		n, err := unix.EpollWait(l.epollFD, events, timeoutMilliseconds)
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.now = max(l.now, l.readClock())
		l.Iterations++
		l.runIteration(events[:max(n, 0)])
	}
}

func (l *Loop) runIteration(events []unix.EpollEvent) {
	l.Events += uint64(len(events))
	for i := range events {
		ev := &events[i]
		fd := int(ev.Fd)
		if fd == l.eventFD {
			var b [8]byte
			unix.Read(l.eventFD, b[:])
			continue
		}
		if ln := l.listeners[fd]; ln != nil {
			ln.accept()
			continue
		}
		if fd < len(l.conns) && l.conns[fd] != nil && l.conns[fd].generation == ev.Pad {
			l.conns[fd].handleReady(ev.Events)
		}
	}
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
	for n := l.timers.Len(); n > 0; n-- {
		t := l.timers.Pop(l.now)
		if t == nil {
			break
		}
		t.Run()
	}
	again := l.redeliverQueue
	l.redeliverQueue = nil
	for _, c := range again {
		if c.redeliverQueued = false; !c.closed && !c.readPaused {
			c.deliver(nil)
		}
	}
	for n := len(l.iterationEndFuncs); n > 0; n-- {
		f := l.iterationEndFuncs[0]
		l.iterationEndFuncs = l.iterationEndFuncs[1:]
		f()
	}
	// What handlers wrote goes out once a turn, so that the answers of a pipeline share a system call.
	for len(l.flushQueue) > 0 {
		dirty := l.flushQueue
		l.flushQueue = nil
		for _, c := range dirty {
			if c.flushQueued = false; !c.closed {
				c.flush()
			}
		}
	}
}

func (l *Loop) close() {
	l.mu.Lock()
	l.stopped, l.posted = true, nil
	unix.Close(l.eventFD)
	l.mu.Unlock()
	for _, c := range l.conns {
		if c != nil {
			unix.Close(c.fd)
		}
	}
	for fd := range l.listeners {
		unix.Close(fd)
	}
	if l.reserveFD >= 0 {
		unix.Close(l.reserveFD)
	}
	unix.Close(l.epollFD)
}

// Timer is a function that runs later.
type Timer struct {
	timer *timerqueue.Timer
	loop  *Loop
}

// At has f run on the loop at the given time in Unix seconds, or soon after.
func (l *Loop) At(at float64, f func()) *Timer { return &Timer{l.timers.Add(at, f), l} }

// After has f run once the given number of seconds has passed.
func (l *Loop) After(seconds float64, f func()) *Timer { return l.At(l.now+seconds, f) }

// Stop takes the timer back. It may be called on a nil or spent timer.
func (t *Timer) Stop() {
	if t != nil {
		t.loop.timers.Stop(t.timer)
	}
}

// Due is when the timer runs, in Unix seconds.
func (t *Timer) Due() float64 { return t.timer.At }

// Listener accepts connections.
type Listener struct {
	loop    *Loop
	fd      int
	addr    netip.AddrPort
	handler func(*Conn) Handler
}

// Listen accepts TCP connections at a loopback or other literal address, such as 127.0.0.1:0. Each gets the handler
// that the function returns.
func (l *Loop) Listen(addr string, handler func(*Conn) Handler) (*Listener, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	fd, err := unix.Socket(addressFamily(address), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listen %s: socket: %w", addr, err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, socketAddress(address)); err == nil {
		err = unix.Listen(fd, maxBacklog)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	listener := &Listener{loop: l, fd: fd, addr: address, handler: handler}
	if boundAddress, err := unix.Getsockname(fd); err == nil {
		listener.addr = addrPort(boundAddress)
	}
	ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen %s: epoll add: %w", addr, err)
	}
	l.listeners[fd] = listener
	return listener, nil
}

// Addr is the address listened at, with the port that the system chose.
func (ln *Listener) Addr() string { return ln.addr.String() }

// Closed says whether the listener no longer accepts.
func (ln *Listener) Closed() bool { return ln.loop.listeners[ln.fd] != ln }

// Close stops accepting.
func (ln *Listener) Close() {
	if ln.loop.listeners[ln.fd] == ln {
		delete(ln.loop.listeners, ln.fd)
		unix.Close(ln.fd)
	}
}

// Drain accepts what has come by now: connections that the system has taken in are reset when their listener closes, with all that was sent
// on them.
func (ln *Listener) Drain() {
	for n := 0; n < maxBacklog && !ln.Closed() && ln.accept(); n += acceptBatch {
	}
}

// accept takes in some connections, and says whether there may be more.
func (ln *Listener) accept() bool {
	l := ln.loop
	// Few at a time where there are few seats: whoever makes room for a newcomer has to have heard those that came before it, or a crowd
	// that says nothing takes all seats in one turn.
	for range min(acceptBatch, max(l.maxConns/4, 1)) {
		fd, peerAddress, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE, unix.ENFILE:
			// No descriptor left: the connection would stay ready and the loop would spin. The reserve takes it
			// in, so that it can be closed.
			if l.reserveFD >= 0 {
				unix.Close(l.reserveFD)
				if fd, _, err := unix.Accept4(ln.fd, unix.SOCK_CLOEXEC); err == nil {
					unix.Close(fd)
				}
				l.reserveFD, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
				continue
			}
			return false
		default:
			return false
		}
		if l.accepted >= l.maxConns {
			unix.Close(fd)
			continue
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		// The system's own queue for a reader that does not read is memory too.
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketSendBufferSize)
		c := l.addConn(fd, unix.EPOLLIN|unix.EPOLLRDHUP)
		if c == nil {
			continue
		}
		c.accepted, c.peer = true, addrPort(peerAddress)
		l.accepted++
		c.handler = ln.handler(c)
		c.handler.Opened(c)
	}
	return true
}

func (l *Loop) addConn(fd int, events uint32) *Conn {
	l.lastGeneration++
	c := &Conn{loop: l, fd: fd, generation: l.lastGeneration, interest: events, MaxInput: DefaultMaxInput}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: c.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		unix.Close(fd)
		return nil
	}
	for len(l.conns) <= fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[fd] = c
	return c
}

func addressFamily(address netip.AddrPort) int {
	if address.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func socketAddress(address netip.AddrPort) unix.Sockaddr {
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch s := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), uint16(s.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(s.Addr), uint16(s.Port))
	}
	return netip.AddrPort{}
}
