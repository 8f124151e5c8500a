//go:build linux

package eventloop

import "heathshed/internal/control/timerqueue"

// Timer is a function that runs later on the loop.
type Timer struct {
	timer *timerqueue.Timer[float64]
	loop  *Loop
}

// At has f run on the loop at the given time in Unix seconds, or soon after.
func (l *Loop) At(at float64, f func()) *Timer { return &Timer{l.timers.Add(at, f), l} }

// After has f run once the given number of seconds has passed since the start of this iteration.
func (l *Loop) After(seconds float64, f func()) *Timer { return l.At(l.now+seconds, f) }

// Stop cancels the timer. It may be called on a nil timer or one that has run.
func (t *Timer) Stop() {
	if t != nil {
		t.loop.timers.Stop(t.timer)
	}
}

// Due is when the timer runs, in Unix seconds.
func (t *Timer) Due() float64 { return t.timer.At }
