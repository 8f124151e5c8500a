package dispatch

import (
	"testing"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// TestDelaysBelowClockResolution checks that a core does not run in an endless loop if the placer repeatedly
// requests a timer whose delay is below the resolution of the clock.
func TestDelaysBelowClockResolution(t *testing.T) {
	const now = 1.8e9 // This is a Unix time in seconds. A float64 of this size has a resolution of 2.4e-7 s.
	for _, delay := range []placer.Seconds{0, 1e-9} {
		timerEvents := 0
		core := &Core{sharedState: &sharedState{settings: &simconfig.Settings{}, now: now}}
		core.events = eventqueue.Queue{Execute: core.execute, Placer: placerFunc(func(placer.Event) []placer.Action {
			if timerEvents++; timerEvents > 1000 {
				t.Fatalf("placer received %d timer events at the same time for timers with a delay of %g s, want at most 1000", timerEvents, delay)
			}
			return []placer.Action{{Kind: placer.SetTimer, After: delay}}
		})}
		core.postEvent(placer.Event{Kind: placer.TimerFired})
		core.runEvents()
		core.Advance(now)
	}
}

type placerFunc func(placer.Event) []placer.Action

func (f placerFunc) Handle(_ placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	return append(actions, f(event)...)
}
