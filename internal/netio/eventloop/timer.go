//go:build linux

package eventloop

import (
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/timerqueue"
)

// Timer is a function that is scheduled to run on the loop.
type Timer struct {
	timer *timerqueue.Timer[clock.Instant]
	loop  *Loop
}

// At schedules f to run on the loop at the given time or soon after.
func (l *Loop) At(at clock.Instant, f func()) *Timer { return &Timer{l.timers.Add(at, f), l} }

// After schedules f to run when the given duration has passed since the start of the current iteration.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now.Add(d), f) }

// Stop cancels the timer. It has no effect on a nil timer or on one that has run.
func (t *Timer) Stop() {
	if t != nil {
		t.loop.timers.Stop(t.timer)
	}
}

// Due returns the time at which the timer is due.
func (t *Timer) Due() clock.Instant { return t.timer.At }
