//go:build linux

package server

import (
	"time"

	"heathshed/internal/control/clock"
)

// Times of a graceful stop. From the signal to stop, the platform sends clients and requests for 0.7 s at most.
const (
	acceptGrace   = 850 * time.Millisecond // from the signal until the listener closes
	pollInterval  = 10 * time.Millisecond  // between two looks at what is still open
	closeGrace    = 500 * time.Millisecond // for clients to close their side of their connections, at the end
	minCloseGrace = 100 * time.Millisecond // the least of that, when time is short; stopReserve covers it
)

// The platform kills a scheduler some time after its signal to stop: the longest deadline of a class, at most maxStopDeadline, and
// stopMargin. stopReserve is kept of that for a busy processor.
const (
	maxStopDeadline = 3 * time.Second
	stopMargin      = 700 * time.Millisecond
	stopReserve     = 150 * time.Millisecond
)

// shutdown is the sequence of a graceful stop.
type shutdown struct {
	server      *Server
	requested   bool
	requestedAt clock.Instant
	onStopped   func()
}

// Stop begins a graceful stop: the server goes on accepting clients for acceptGrace, answers every request that it has accepted and then
// stops. Further calls have no effect.
func (s *Server) Stop() { s.shutdown.begin() }

func (stop *shutdown) begin() {
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

// finish closes the listener, and the clients' connections once no accepted request is open. While tasks run, the server stays for as
// long as the platform surely lets it, to notify clients of tasks that end: the end of a task of which no scheduler learns is reported late
// or never.
func (stop *shutdown) finish() {
	s := stop.server
	if !s.listener.Closed() {
		s.listener.AcceptPending()
		s.listener.Close()
	}
	unread := s.clients.readAll()
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

// canNotifyClients reports whether a task may still end and a client is connected to be notified.
func (stop *shutdown) canNotifyClients() bool {
	s := stop.server
	return s.core.RunningTasks() > 0 && len(s.clients.byID) > 0
}

// awaitClientsClosed ends the server when the clients have closed their connections too, at the deadline at the latest. If
// the process ended while a byte of a client was unread, the system would reset that connection and destroy answers that the client has not
// read yet.
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

// timeout is how long after its signal to stop the platform surely leaves a scheduler running.
func (stop *shutdown) timeout() time.Duration {
	return min(stop.server.config.longestDeadline(), maxStopDeadline) + stopMargin - stopReserve
}
