//go:build linux

package server

import (
	"time"

	"heathshed/internal/control/clock"
)

// These constants are the durations of the phases of a graceful shutdown. A graceful shutdown begins when the
// scheduler process receives a stop signal.
const (
	// acceptGrace is the time from the stop signal until the listener closes. Clients still open connections
	// and send requests for at most 0.7 s after the stop signal.
	acceptGrace  = 850 * time.Millisecond
	pollInterval = 10 * time.Millisecond  // pollInterval is the time between two checks of whether the shutdown can proceed.
	closeGrace   = 500 * time.Millisecond // closeGrace is the maximum time that the server waits for clients to close connections.
	// minCloseGrace is the time that clients have to close their connections even if the timeout of the
	// shutdown has passed. It is shorter than stopReserve, so the scheduler is not killed within this time.
	minCloseGrace = 100 * time.Millisecond
)

// These constants determine when a graceful shutdown must be complete, because the environment that started
// the scheduler kills it some time after the stop signal. This time is the longest deadline of all task
// classes, limited to maxStopDeadline, plus stopMargin. The server stops earlier than this by stopReserve,
// because a busy processor may delay the shutdown.
const (
	maxStopDeadline = 3 * time.Second
	stopMargin      = 700 * time.Millisecond
	stopReserve     = 150 * time.Millisecond
)

// shutdown controls a graceful shutdown.
type shutdown struct {
	server      *Server
	requested   bool
	requestedAt clock.Instant
	onStopped   func()
}

// Stop starts a graceful shutdown. The server accepts client connections for acceptGrace, answers every
// placement request that it has received and then stops. Further calls of Stop have no effect.
func (s *Server) Stop() { s.shutdown.start() }

func (stop *shutdown) start() {
	if stop.requested {
		return
	}
	s := stop.server
	stop.requested = true
	stop.requestedAt = s.loop.Now()
	s.core.BeginShutdown(s.coreNow())
	s.log.Info().
		Int("open_requests", s.core.OpenRequests()).
		Int("running_tasks", s.core.RunningTasks()).
		Msg("stopping")
	s.loop.After(acceptGrace, stop.finish)
}

// finish closes the listener. It closes the client connections once every placement request is answered.
// While tasks run or input from clients remains to be handled, it also waits for them, but not beyond the
// timeout of the shutdown. During this time, the server notifies clients of tasks that end. If no scheduler
// learned that a task has ended, the client of the task would be notified late or never.
func (stop *shutdown) finish() {
	s := stop.server
	if !s.listener.Closed() {
		s.listener.AcceptPending()
		s.listener.Close()
	}
	inputRemains := s.clients.readAllConns()
	withinTimeout := s.loop.Now() < stop.requestedAt.Add(stop.timeout())
	if s.core.OpenRequests() > 0 || withinTimeout && (inputRemains || stop.canNotifyClients()) {
		s.loop.After(pollInterval, stop.finish)
		return
	}
	s.clients.closeGracefully()
	now := s.loop.Now()
	deadline := min(now.Add(closeGrace), stop.requestedAt.Add(stop.timeout()+minCloseGrace))
	stop.awaitClientsClosed(max(now.Add(minCloseGrace), deadline))
}

// canNotifyClients reports whether a task is running and a client is connected. If so, the task may still end
// and the server can notify the client.
func (stop *shutdown) canNotifyClients() bool {
	s := stop.server
	return s.core.RunningTasks() > 0 && len(s.clients.byID) > 0
}

// awaitClientsClosed completes the shutdown when all clients have closed their connections, or when the
// deadline has passed. If the process ended while data from a client was unread, the kernel would reset the
// connection of this client. The client would then lose the answers that it has not read yet.
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

// timeout returns how long after the stop signal the server may wait for running tasks. The scheduler is
// killed stopReserve after this time.
func (stop *shutdown) timeout() time.Duration {
	return min(stop.server.config.longestDeadline(), maxStopDeadline) + stopMargin - stopReserve
}
