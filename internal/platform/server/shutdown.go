//go:build linux

package server

import (
	"time"

	"heathshed/internal/control/clock"
)

// These constants are the durations of the phases of a graceful stop, which begins when the platform signals
// the scheduler to stop.
const (
	// acceptGrace is the time from the stop signal until the listener closes. On the platform, clients still
	// open connections and send requests for at most 0.7 s after the stop signal.
	acceptGrace  = 850 * time.Millisecond
	pollInterval = 10 * time.Millisecond  // pollInterval is the time between two checks of whether the stop can proceed.
	closeGrace   = 500 * time.Millisecond // closeGrace is the time that clients have at the end to close their connections.
	// minCloseGrace is the part of closeGrace that clients have even if the stop is already late. stopReserve
	// is longer, so the platform does not kill the scheduler within this time.
	minCloseGrace = 100 * time.Millisecond
)

// These constants determine when a graceful stop must be complete. The platform kills a scheduler some time
// after the stop signal: after the longest deadline of all task classes, limited to maxStopDeadline, plus
// stopMargin. The server stops earlier by stopReserve, in case the processor is busy.
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

// Stop starts a graceful stop. The server accepts client connections for acceptGrace, answers every placement
// request that it has received and then stops. Further calls of Stop have no effect.
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

// finish closes the listener, and closes the client connections once no placement request is open. While tasks
// run, the server continues for as long as the platform reliably allows, in order to notify clients of tasks
// that end. If no scheduler learns of the end of a task, the client of the task is notified late or never.
func (stop *shutdown) finish() {
	s := stop.server
	if !s.listener.Closed() {
		s.listener.AcceptPending()
		s.listener.Close()
	}
	unread := s.clients.readAllConns()
	withinTimeout := s.loop.Now() < stop.requestedAt.Add(stop.timeout())
	if s.core.OpenRequests() > 0 || withinTimeout && (unread || stop.canNotifyClients()) {
		s.loop.After(pollInterval, stop.finish)
		return
	}
	s.clients.closeGracefully()
	now := s.loop.Now()
	deadline := min(now.Add(closeGrace), stop.requestedAt.Add(stop.timeout()+minCloseGrace))
	stop.awaitClientsClosed(max(now.Add(minCloseGrace), deadline))
}

// canNotifyClients reports whether tasks run whose end could still be reported to a connected client.
func (stop *shutdown) canNotifyClients() bool {
	s := stop.server
	return s.core.RunningTasks() > 0 && len(s.clients.byID) > 0
}

// awaitClientsClosed completes the stop when all clients have closed their connections, at the latest at the
// deadline. If the process ended while data from a client was unread, the kernel would reset the connection
// of this client and discard answers that the client has not read yet.
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

// timeout returns how long the platform reliably lets a scheduler run after the stop signal.
func (stop *shutdown) timeout() time.Duration {
	return min(stop.server.config.longestDeadline(), maxStopDeadline) + stopMargin - stopReserve
}
