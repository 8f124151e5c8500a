//go:build linux

// Package eventloop implements a single-threaded event loop for Linux. It handles epoll readiness events,
// non-blocking TCP sockets, timers, and functions that other goroutines post, all on the goroutine that
// calls Run.
//
// The package transfers bytes and does not interpret them. The only packages of this module that it imports
// are the clock and the timer queue.
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
	// DefaultMaxConns is the default limit on open accepted connections: see SetMaxConns.
	DefaultMaxConns = 16384

	// maxEpollEvents limits the ready descriptors that one call of epoll_wait returns.
	maxEpollEvents = 256
	// readBufferBytes is the size of the buffer into which all sockets are read. It limits the bytes of one
	// read.
	readBufferBytes = 64 << 10
	// maxSpareBufferBytes limits the capacity of an output buffer that is kept for reuse.
	maxSpareBufferBytes = 64 << 10
	// maxSpareBuffers limits the number of output buffers that are kept for reuse.
	maxSpareBuffers = 256
	// maxEpollWait limits the timeout of one call of epoll_wait.
	maxEpollWait = time.Minute
)

// Loop runs connection handlers, timers and posted functions one after another. Only Post and Stop may be
// called from other goroutines.
type Loop struct {
	epollFD int
	// eventFD is an eventfd through which Post and Stop wake epoll_wait.
	eventFD int
	// reserveFD is a spare descriptor. When the process has no other descriptor left,
	// rejectWithoutDescriptor closes reserveFD for a moment in order to accept and close a waiting
	// connection. It is -1 if it could not be opened.
	reserveFD int
	// conns holds the open connections, indexed by descriptor.
	conns []*Conn
	// listeners holds the open listeners by descriptor.
	listeners      map[int]*Listener
	lastGeneration int32
	acceptedConns  int
	maxConns       int

	// startTime is the time at which the loop was created, with a reading of the monotonic clock.
	startTime time.Time
	// now is the time of the current iteration.
	now    clock.Instant
	timers timerqueue.Queue[clock.Instant]

	// flushQueue holds the connections whose queued output is sent at the end of the iteration.
	flushQueue []*Conn
	// redeliverQueue holds the connections whose unconsumed input is to be passed to Handler.Data again.
	redeliverQueue []*Conn
	// iterationEndFuncs holds the functions that were passed to AtIterationEnd and have not run yet.
	iterationEndFuncs []func()
	readBuffer        []byte
	// spareOutputBuffers holds output buffers for reuse. Connections that have nothing to send release
	// their buffer to it.
	spareOutputBuffers [][]byte

	// postMu guards postedFuncs and stopped. It is also held while eventFD is written or closed, which
	// rules out a write to a closed descriptor.
	postMu      sync.Mutex
	postedFuncs []func()
	stopped     bool

	// Iterations counts the iterations of the loop, and ReadinessEvents counts the events that epoll_wait
	// returned. Both are exported for metrics.
	Iterations, ReadinessEvents uint64
}

// New returns a loop that does not run yet. Run closes the descriptors of the loop when it returns.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll instance: %w", err)
	}
	eventFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		closeFD(epollFD)
		return nil, fmt.Errorf("create eventfd: %w", err)
	}
	wakeupEvent := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(eventFD)}
	if err := unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, eventFD, &wakeupEvent); err != nil {
		closeFD(epollFD)
		closeFD(eventFD)
		return nil, fmt.Errorf("register eventfd with epoll: %w", err)
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

// SetMaxConns limits the accepted connections that are open at the same time. Further connections are
// closed as soon as they have been accepted.
func (l *Loop) SetMaxConns(limit int) { l.maxConns = limit }

// Now returns the time of the current iteration. It never decreases, even if the system clock is set back.
func (l *Loop) Now() clock.Instant { return l.now }

// readClock returns the start time of the loop plus the time that has passed since on the monotonic clock.
func (l *Loop) readClock() clock.Instant {
	return clock.FromTime(l.startTime).Add(time.Since(l.startTime))
}

// AcceptedConns returns the number of accepted connections that are open.
func (l *Loop) AcceptedConns() int { return l.acceptedConns }

// Post queues f to run on the loop in its next iteration. It may be called from any goroutine. After Stop
// it does nothing.
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

// AtIterationEnd queues f to run once at the end of the current iteration, after all events, timers and
// redelivered input have been handled and before queued output is sent.
func (l *Loop) AtIterationEnd(f func()) { l.iterationEndFuncs = append(l.iterationEndFuncs, f) }

// Stop makes Run return after the current iteration of the loop. It may be called from any goroutine.
func (l *Loop) Stop() {
	l.postMu.Lock()
	defer l.postMu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	l.wakeEpollWait()
}

// wakeSignal is the number that wakeEpollWait adds to the counter of the eventfd. Any number but zero makes
// the eventfd readable.
var wakeSignal = []byte{1, 0, 0, 0, 0, 0, 0, 0}

// wakeEpollWait interrupts epoll_wait in Run. The caller must hold postMu, because Loop.close may close the
// eventfd as soon as postMu is free.
func (l *Loop) wakeEpollWait() {
	// Write fails only if the counter is at its maximum. The eventfd is readable in that case too.
	_, _ = unix.Write(l.eventFD, wakeSignal)
}

// clearWakeup resets the counter of the eventfd, which makes the eventfd unreadable until the next wakeup.
func (l *Loop) clearWakeup() {
	var counter [8]byte
	// Read fails only if the counter is zero already.
	_, _ = unix.Read(l.eventFD, counter[:])
}

// Run handles events until Stop is called. It then closes all descriptors of the loop without calling the
// handlers again.
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
			return fmt.Errorf("wait for epoll events: %w", err)
		}
		l.now = max(l.now, l.readClock())
		l.Iterations++
		l.runIteration(events[:max(n, 0)])
	}
}

// epollTimeoutMillis returns the timeout for epoll_wait: 0 if work is queued, the time until the next
// timer, or -1, which means no timeout, if there is no timer.
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
	// The timeout is rounded up to whole milliseconds. Without this, epoll_wait would return before the
	// timer is due.
	return int(wait.Milliseconds()) + 1
}

// runIteration handles the ready descriptors and then all other work that is due, in a fixed order.
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

// dispatchEvent passes a readiness event to the listener or connection that owns the descriptor. It ignores
// events of descriptors that were closed earlier in the iteration: the generation distinguishes a new
// connection from an earlier one with the same descriptor.
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

// runTimers runs the timers that are due. It runs at most as many timers as were queued when it was
// called, which bounds the work of an iteration even if timers add further timers that are due.
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

// runIterationEndFuncs runs the functions that were passed to AtIterationEnd. If one of them passes a
// further function to AtIterationEnd, that function runs at the end of the next iteration.
func (l *Loop) runIterationEndFuncs() {
	for n := len(l.iterationEndFuncs); n > 0; n-- {
		f := l.iterationEndFuncs[0]
		l.iterationEndFuncs = l.iterationEndFuncs[1:]
		f()
	}
}

// flushAll sends the queued output of all connections. It runs once per iteration. As a result, the
// responses to several pipelined requests on a connection are sent with one system call.
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
