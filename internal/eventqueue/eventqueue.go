// Package feed is the queue between a core and the module: events are handed over one after another, and the actions of one are carried out,
// in order, before the next is told. It is pure: time is passed in.
package eventqueue

import "heathshed/placer"

// MinDelay is the shortest wait in seconds. At the size of a Unix clock a wait below its grain (2.4e-7 s) brings the same moment back, and
// a module that waits for a deadline that is that near would be woken in it for ever.
const MinDelay = 1e-6

// Placer is a *placer.Placer, or what stands for it in a test.
type Placer interface {
	Handle(now float64, ev placer.Event, actions []placer.Action) []placer.Action
}

// Queue drives one module. Do carries out one action; events that come up meanwhile are posted and wait their turn.
type Queue struct {
	Placer  Placer
	Execute func(*placer.Action)

	queue   []placer.Event
	actions []placer.Action
	running bool
}

// Post queues an event.
func (f *Queue) Post(ev placer.Event) { f.queue = append(f.queue, ev) }

// Run hands over all that is queued. Within Do it does nothing.
func (f *Queue) Run(now float64) {
	if f.running {
		return
	}
	f.running = true
	for len(f.queue) > 0 {
		ev := f.queue[0]
		f.queue = f.queue[1:]
		f.actions = f.Placer.Handle(now, ev, f.actions[:0])
		for i := range f.actions {
			f.Execute(&f.actions[i])
		}
	}
	f.queue = nil
	f.running = false
}

// Delay is how long to wait where the module asked for so many seconds.
func Delay(after float64) float64 { return max(after, MinDelay) }
