package dispatch

import (
	"testing"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// TestDelaysBelowClockResolution: a delay too short for the clock's resolution must not wake the placer at the same time forever.
func TestDelaysBelowClockResolution(t *testing.T) {
	const now = 1.8e9 // Unix seconds: the resolution is 2.4e-7
	for _, after := range []placer.Seconds{0, 1e-9} {
		wakeups := 0
		core := &Core{sharedState: &sharedState{settings: &simconfig.Settings{}, now: now}}
		core.events = eventqueue.Queue{Execute: core.execute, Placer: placerFunc(func(placer.Event) []placer.Action {
			if wakeups++; wakeups > 1000 {
				t.Fatalf("woken %d times at one time, delays of %g s", wakeups, after)
			}
			return []placer.Action{{Kind: placer.SetTimer, After: after}}
		})}
		core.postEvent(placer.Event{Kind: placer.TimerFired})
		core.runEvents()
		core.Advance(now)
	}
}

type placerFunc func(placer.Event) []placer.Action

func (f placerFunc) Handle(_ placer.Seconds, ev placer.Event, actions []placer.Action) []placer.Action {
	return append(actions, f(ev)...)
}
