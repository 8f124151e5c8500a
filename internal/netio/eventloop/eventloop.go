//go:build linux

// Package eventloop is a single-threaded event loop for Linux: epoll readiness, non-blocking TCP sockets, timers and
// posted functions, all run on the goroutine that calls Run.
//
// It moves bytes and knows nothing of protocols. Of the project it imports only the clock and the timer queue.
package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/timerqueue"
)

const (
	// DefaultMaxConns is how many accepted connections a loop keeps open unless SetMaxConns says otherwise.
	DefaultMaxConns = 16384

	maxEpollEvents      = 256      // descriptors taken from one call of epoll_wait
	readBufferBytes     = 64 << 10 // bytes, of one read
	maxSpareBufferBytes = 64 << 10 // bytes, of an output buffer that is kept for reuse
	maxSpareBuffers     = 256
	maxEpollWait        = time.Minute // of one call of epoll_wait
)

// Loop runs handlers, timers and posted functions one after another. Only Post and Stop may be called from other
// goroutines.
type Loop struct {
	epollFD        int
	eventFD        int // wakes epoll_wait for Post and Stop
	reserveFD      int // given up so that a connection can be accepted and closed when descriptors run out; -1 if there is none
	conns          []*Conn
	listeners      map[int]*Listener
	lastGeneration int32
	acceptedConns  int
	maxConns       int

	startTime time.Time // with the reading of the monotonic clock
	now       clock.Instant
	timers    timerqueue.Queue[clock.Instant]

	flushQueue         []*Conn  // connections with output to send at the end of this iteration
	redeliverQueue     []*Conn  // connections whose unconsumed input is delivered again
	iterationEndFuncs  []func() // see AtIterationEnd
	readBuffer         []byte
	spareOutputBuffers [][]byte // output buffers of connections that have nothing to send

	postMu      sync.Mutex // guards posted and stopped, and the life of eventFD
	postedFuncs []func()
	stopped     bool

	// Iterations and ReadinessEvents count iterations of the loop and ready descriptors, for metrics.
	Iterations, ReadinessEvents uint64
}

// New returns a loop. Its descriptors are closed at the end of Run.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	eventFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		closeFD(epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	wakeups := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(eventFD)}
	if err := unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, eventFD, &wakeups); err != nil {
		closeFD(epollFD)
		closeFD(eventFD)
		return nil, fmt.Errorf("epoll add: %w", err)
	}
	start := time.Now()
	return &Loop{
		epollFD:    epollFD,
		eventFD:    eventFD,
		reserveFD:  openReserveFD(),
		listeners:  map[int]*Listener{},
		maxConns:   DefaultMaxConns,
		startTime:  start,
		now:        clock.FromTime(start),
		readBuffer: make([]byte, readBufferBytes),
	}, nil
}

// SetMaxConns limits the accepted connections that are open at a time. Connections beyond it are closed at once.
func (l *Loop) SetMaxConns(n int) { l.maxConns = n }

// Now is the time of this iteration. It never goes back, even if the system's clock is set.
func (l *Loop) Now() clock.Instant { return l.now }

// readClock returns the start plus what the monotonic clock has counted since.
func (l *Loop) readClock() clock.Instant {
	return clock.FromTime(l.startTime).Add(time.Since(l.startTime))
}

// AcceptedConns is the number of accepted connections open now.
func (l *Loop) AcceptedConns() int { return l.acceptedConns }

// Post has f run on the loop in its next iteration. It may be called from any goroutine; after Stop it does nothing.
func (l *Loop) Post(f func()) {
	l.postMu.Lock()
	defer l.postMu.Unlock()
	if l.stopped {
		return
	}
	l.postedFuncs = append(l.postedFuncs, f)
	if len(l.postedFuncs) == 1 {
		l.wakeEpollWait()
	}
}

// AtIterationEnd has f run once at the end of this iteration: after all events, timers and redeliveries, before queued
// output is sent.
func (l *Loop) AtIterationEnd(f func()) { l.iterationEndFuncs = append(l.iterationEndFuncs, f) }

// Stop ends Run after the present iteration. It may be called from any goroutine.
func (l *Loop) Stop() {
	l.postMu.Lock()
	defer l.postMu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	l.wakeEpollWait()
}

// wakeSignal is the number that is added to the eventfd's counter; any but zero makes it readable.
var wakeSignal = []byte{1, 0, 0, 0, 0, 0, 0, 0}

// wake ends a wait of Run. The caller holds l.mu, so that the descriptor cannot be closed meanwhile.
func (l *Loop) wakeEpollWait() {
	// It fails only when the counter is at its limit: the eventfd is readable then anyway.
	_, _ = unix.Write(l.eventFD, wakeSignal)
}

// clearWakeup makes the eventfd unreadable again.
func (l *Loop) clearWakeup() {
	var counter [8]byte
	// It fails only when the counter is zero, which is what is wanted.
	_, _ = unix.Read(l.eventFD, counter[:])
}

// Run handles events until Stop. It then closes all descriptors; handlers get no further calls.
func (l *Loop) Run() error {
	defer l.close()
	events := make([]unix.EpollEvent, maxEpollEvents)
	for {
		l.postMu.Lock()
		stopped := l.stopped
		hasPosted := len(l.postedFuncs) > 0
		l.postMu.Unlock()
		if stopped {
			return nil
		}
		n, err := unix.EpollWait(l.epollFD, events, l.epollTimeoutMillis(hasPosted))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.now = max(l.now, l.readClock())
		l.Iterations++
		l.runIteration(events[:max(n, 0)])
	}
}

// waitMilliseconds is how long epoll_wait may wait: not at all if there is work at hand, until the next timer, or -1 for
// ever.
func (l *Loop) epollTimeoutMillis(hasPosted bool) int {
	if hasPosted || len(l.redeliverQueue) > 0 || len(l.iterationEndFuncs) > 0 {
		return 0
	}
	if l.timers.Len() == 0 {
		return -1
	}
	wait := l.timers.NextTimeOr(l.now).Sub(l.readClock())
	switch {
	case wait <= 0:
		return 0
	case wait > maxEpollWait:
		return int(maxEpollWait.Milliseconds())
	}
	return int(wait.Milliseconds()) + 1 // epoll_wait counts whole milliseconds: rather late than early
}

// runIteration handles ready descriptors, then what else is due, in a fixed order.
func (l *Loop) runIteration(events []unix.EpollEvent) {
	l.ReadinessEvents += uint64(len(events))
	for i := range events {
		l.dispatchEvent(&events[i])
	}
	l.runPosted()
	l.runTimers()
	l.redeliverQueued()
	l.runIterationEndFuncs()
	l.flushAll()
}

// dispatch hands a readiness event to the descriptor's owner. Events of descriptors closed earlier in this iteration are
// dropped: a connection's generation tells it from an earlier one with the same descriptor.
func (l *Loop) dispatchEvent(event *unix.EpollEvent) {
	fd := int(event.Fd)
	if fd == l.eventFD {
		l.clearWakeup()
		return
	}
	if listener := l.listeners[fd]; listener != nil {
		listener.accept()
		return
	}
	if fd >= len(l.conns) {
		return
	}
	if conn := l.conns[fd]; conn != nil && conn.generation == event.Pad {
		conn.handleReady(event.Events)
	}
}

func (l *Loop) runPosted() {
	l.postMu.Lock()
	posted := l.postedFuncs
	l.postedFuncs = nil
	l.postMu.Unlock()
	for _, f := range posted {
		f()
	}
}

// runTimers runs the timers that are due, and at most as many as there are now: one that a timer adds waits its turn.
func (l *Loop) runTimers() {
	for n := l.timers.Len(); n > 0; n-- {
		timer := l.timers.Pop(l.now)
		if timer == nil {
			return
		}
		timer.Run()
	}
}

func (l *Loop) redeliverQueued() {
	queue := l.redeliverQueue
	l.redeliverQueue = nil
	for _, conn := range queue {
		conn.redeliverQueued = false
		if conn.state != stateClosed && !conn.readPaused {
			conn.deliverInput(nil)
		}
	}
}

// runIterationEndFuncs runs the functions that are queued now; those that they add run in the next iteration.
func (l *Loop) runIterationEndFuncs() {
	for n := len(l.iterationEndFuncs); n > 0; n-- {
		f := l.iterationEndFuncs[0]
		l.iterationEndFuncs = l.iterationEndFuncs[1:]
		f()
	}
}

// flushAll sends what handlers wrote. It is done once an iteration so that the answers of a pipeline share a system call.
func (l *Loop) flushAll() {
	for len(l.flushQueue) > 0 {
		queue := l.flushQueue
		l.flushQueue = nil
		for _, conn := range queue {
			conn.flushQueued = false
			if conn.state != stateClosed {
				conn.writeQueuedOutput()
			}
		}
	}
}

func (l *Loop) close() {
	l.postMu.Lock()
	l.stopped = true
	l.postedFuncs = nil
	closeFD(l.eventFD)
	l.postMu.Unlock()
	for _, conn := range l.conns {
		if conn != nil {
			closeFD(conn.fd)
		}
	}
	for fd := range l.listeners {
		closeFD(fd)
	}
	if l.reserveFD >= 0 {
		closeFD(l.reserveFD)
	}
	closeFD(l.epollFD)
}
