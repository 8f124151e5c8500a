//go:build linux

package eventloop

import (
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/timerqueue"
)

// Timer is a function that runs later on the loop.
type Timer struct {
	timer *timerqueue.Timer[clock.Instant]
	loop  *Loop
}

// At has f run on the loop at the given time, or soon after.
func (l *Loop) At(at clock.Instant, f func()) *Timer { return &Timer{l.timers.Add(at, f), l} }

// After has f run once the given time has passed since the start of this iteration.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now.Add(d), f) }

// Stop cancels the timer. It may be called on a nil timer or one that has run.
func (t *Timer) Stop() {
	if t != nil {
		t.loop.timers.Stop(t.timer)
	}
}

// Due is when the timer runs.
func (t *Timer) Due() clock.Instant { return t.timer.At }
