//go:build linux

package server

import (
	"time"

	"heathshed/internal/control/clock"
)

// The durations of a graceful stop follow from the platform's behavior: for at most 0.7 s after its signal to
// stop, the platform still opens client connections to a scheduler and sends requests.
const (
	acceptGrace  = 850 * time.Millisecond // acceptGrace is the time from the signal until the listener closes.
	pollInterval = 10 * time.Millisecond  // pollInterval is the time between two checks whether the stop can proceed.
	closeGrace   = 500 * time.Millisecond // closeGrace is the time for clients to close their connections at the end.
	// minCloseGrace is the time that clients get even if the stop is late. stopReserve is longer and covers
	// it.
	minCloseGrace = 100 * time.Millisecond
)

// The platform kills a scheduler some time after it has signaled the scheduler to stop. That time is the
// longest deadline of a class, limited to maxStopDeadline, plus stopMargin. The server stops earlier by
// stopReserve, in case the processor is busy.
const (
	maxStopDeadline = 3 * time.Second
	stopMargin      = 700 * time.Millisecond
	stopReserve     = 150 * time.Millisecond
)

// shutdown controls a graceful stop.
type shutdown struct {
	server      *Server
	requested   bool
	requestedAt clock.Instant
	onStopped   func()
}

// Stop starts a graceful stop. The server accepts clients for acceptGrace, answers every request that it has
// accepted and then stops. Further calls have no effect.
func (s *Server) Stop() { s.shutdown.start() }

func (stop *shutdown) start() {
	if stop.requested {
		return
	}
	s := stop.server
	stop.requested = true
	stop.requestedAt = s.loop.Now()
	s.log.Info().
		Int("open_requests", s.core.OpenRequests()).
		Int("running_tasks", s.core.RunningTasks()).
		Msg("stopping")
	s.loop.After(acceptGrace, stop.finish)
}

// finish closes the listener, and then the connections of clients once no accepted request is open. While
// tasks run, the server continues for as long as the platform reliably allows, so that it can notify clients
// of tasks that end. If no scheduler learns that a task has ended, the client is notified late or never.
func (stop *shutdown) finish() {
	s := stop.server
	if !s.listener.Closed() {
		s.listener.AcceptPending()
		s.listener.Close()
	}
	unread := s.clients.readAllConns()
	inTime := s.loop.Now() < stop.requestedAt.Add(stop.timeout())
	if s.core.OpenRequests() > 0 || inTime && (unread || stop.canNotifyClients()) {
		s.loop.After(pollInterval, stop.finish)
		return
	}
	s.clients.closeGracefully()
	now := s.loop.Now()
	deadline := min(now.Add(closeGrace), stop.requestedAt.Add(stop.timeout()+minCloseGrace))
	stop.awaitClientsClosed(max(now.Add(minCloseGrace), deadline))
}

// canNotifyClients reports whether a task may still end and a client is connected that could be notified.
func (stop *shutdown) canNotifyClients() bool {
	s := stop.server
	return s.core.RunningTasks() > 0 && len(s.clients.byID) > 0
}

// awaitClientsClosed completes the stop when the clients have closed their connections, or at the deadline.
// If the process ended while data from a client was unread, the kernel would reset that connection and
// discard answers that the client has not read yet.
func (stop *shutdown) awaitClientsClosed(deadline clock.Instant) {
	s := stop.server
	if len(s.clients.byID) > 0 && s.loop.Now() < deadline {
		s.loop.After(pollInterval, func() { stop.awaitClientsClosed(deadline) })
		return
	}
	s.logStats()
	s.log.Info().Msg("stopped")
	stop.onStopped()
}

// timeout returns how long after its signal to stop the platform reliably lets a scheduler run.
func (stop *shutdown) timeout() time.Duration {
	return min(stop.server.config.longestDeadline(), maxStopDeadline) + stopMargin - stopReserve
}
