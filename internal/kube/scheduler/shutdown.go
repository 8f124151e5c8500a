//go:build linux

package scheduler

import (
	"sync"
	"time"

	"heathshed/internal/control/clock"
)

const (
	openTasksPollInterval = 20 * time.Millisecond
	drainTimeout          = 2 * time.Second // time after which remaining API connections are closed
)

// Stop shuts the scheduler down gracefully. The scheduler accepts no new tasks, and waits up to timeout
// until every accepted task has a final answer. Then it ends watches and API connections, and calls done.
// Stop does not block.
func (s *Scheduler) Stop(timeout time.Duration, done func()) {
	if s.phase == phaseStopping {
		return
	}
	s.setPhase(phaseStopping)
	s.engine.Stop(s.engineNow())
	s.processEffects()
	s.options.Log.Info().Int("open", s.engine.OpenTasks()).Msg("stopping: waiting for final answers")
	s.awaitFinalAnswers(s.loop.Now().Add(timeout), done)
}

// awaitFinalAnswers closes all connections once no task is open or the deadline has passed. Until then it
// polls the number of open tasks.
func (s *Scheduler) awaitFinalAnswers(deadline clock.Instant, done func()) {
	open := s.engine.OpenTasks()
	if open > 0 && s.loop.Now() < deadline {
		s.loop.After(openTasksPollInterval, func() { s.awaitFinalAnswers(deadline, done) })
		return
	}
	if open > 0 {
		s.options.Log.Error().Int("open", open).Msg("stopped with tasks that have no final answer")
	}
	s.inventoryReflector.Stop()
	for name := range s.nodes {
		s.unwatchNode(name)
	}
	s.closeConnections(done)
}

// closeConnections ends all watches, and closes each API connection after its current response. It closes the
// remaining connections after drainTimeout. It calls done once.
func (s *Scheduler) closeConnections(done func()) {
	finish := sync.OnceFunc(done)
	s.apiServer.CloseWatches()
	s.httpServer.PullStreams()
	s.httpServer.Drain(finish)
	s.loop.After(drainTimeout, func() {
		s.httpServer.Close()
		finish()
	})
}
