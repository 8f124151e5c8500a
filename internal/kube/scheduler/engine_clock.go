//go:build linux

package scheduler

import (
	"math"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/api"
	"heathshed/placer"
)

// The scheduler uses time.Duration and clock.Instant. The engine, the API server and the store count
// seconds in floating point. Only this file converts between these types.

// engineNow returns the time at which the current iteration of the event loop began, in the unit of the
// engine.
func (s *Scheduler) engineNow() placer.Seconds { return s.loop.Now().UnixSeconds() }

// scheduleWake sets a timer for the time at which the engine next needs a call of Tick. NextWake returns
// infinity if the engine has no timers.
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

// publishDelay returns the time for which changes are batched before they are sent to watches.
func (s *Scheduler) publishDelay() time.Duration {
	return clock.Duration(api.WatchBatchDelay(s.httpServer.Streams()))
}
