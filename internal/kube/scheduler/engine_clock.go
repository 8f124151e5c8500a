//go:build linux

package scheduler

import (
	"math"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/api"
	"heathshed/placer"
)

// The scheduler keeps durations and instants in Go's types; the engine, its API and the store count seconds in floating point. One becomes
// the other in this file only.

// engineNow returns the time of this iteration of the loop on the clock of the engine and its API.
func (s *Scheduler) engineNow() placer.Seconds { return s.loop.Now().UnixSeconds() }

// scheduleWake has the engine's timers run when the next is due. The engine answers infinity if it has none.
func (s *Scheduler) scheduleWake() {
	s.wakeTimer.Stop()
	at := s.engine.NextWake()
	if math.IsInf(float64(at), 1) {
		return
	}
	s.wakeTimer = s.loop.At(clock.FromUnixSeconds(at), func() {
		s.engine.Tick(s.engineNow())
		s.processEffects()
	})
}

// publishDelay returns how long changes are gathered before they are sent to watchers.
func (s *Scheduler) publishDelay() time.Duration {
	return clock.Duration(api.WatchBatchDelay(s.httpServer.Streams()))
}
