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

	events  []placer.Event
	actions []placer.Action
	running bool
}

// Post queues an event.
func (q *Queue) Post(event placer.Event) { q.events = append(q.events, event) }

// Run hands over all that is queued. Within Do it does nothing.
func (q *Queue) Run(now float64) {
	if q.running {
		return
	}
	q.running = true
	for len(q.events) > 0 {
		event := q.events[0]
		q.events = q.events[1:]
		q.actions = q.Placer.Handle(now, event, q.actions[:0])
		for i := range q.actions {
			q.Execute(&q.actions[i])
		}
	}
	q.events = nil
	q.running = false
}

// Delay is how long to wait where the module asked for so many seconds.
func Delay(after float64) float64 { return max(after, MinDelay) }
