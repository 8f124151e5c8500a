//go:build linux

package scheduler

import (
	"sync"
	"time"

	"heathshed/internal/control/clock"
)

const (
	openTasksPollInterval = 20 * time.Millisecond
	drainTimeout          = 2 * time.Second // that API connections have to end in order
)

// Stop accepts no new tasks, waits until every task that was accepted has its final answer, at most for the timeout, ends
// watches and connections in order, and calls done.
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

func (s *Scheduler) awaitFinalAnswers(deadline clock.Instant, done func()) {
	open := s.engine.OpenTasks()
	if open > 0 && s.loop.Now() < deadline {
		s.loop.After(openTasksPollInterval, func() { s.awaitFinalAnswers(deadline, done) })
		return
	}
	if open > 0 {
		s.options.Log.Error().Int("open", open).Msg("stopped with tasks that have no final answer")
	}
	s.inventory.Stop()
	for name := range s.nodes {
		s.unwatchNode(name)
	}
	s.closeConnections(done)
}

// closeConnections ends watches and connections in order, or at once when that takes too long.
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
