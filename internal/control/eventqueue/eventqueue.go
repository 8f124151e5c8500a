// Package eventqueue is the queue between a scheduler's core and its placer: events are passed to the placer one after another, and the
// actions that it returns for one event are executed, in order, before the next event is passed. It is pure: the time is passed in. The cores
// of both fronts, packages dispatch and engine, own one Queue each.
package eventqueue

import "heathshed/placer"

// MinDelay is the shortest delay of a timer. A clock that counts Unix seconds in floating point has steps of 2.4e-7 s, so that
// adding less to it may give the same time again, and a placer that waits for a deadline so close would have its timer fire at that time
// forever.
const MinDelay placer.Seconds = 1e-6

// Placer makes the placement decisions: a *placer.Placer, or a substitute in tests.
type Placer interface {
	// Handle handles one event at the given clock time, and returns actions with its own appended.
	Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action
}

// Queue passes events to one placer and executes its actions. It is to be used by one goroutine at a time.
type Queue struct {
	Placer Placer
	// Execute executes one action. Events that it posts are passed after all actions of the current event.
	Execute func(*placer.Action)

	events  []placer.Event
	actions []placer.Action // the buffer for Handle
	running bool
}

// Post queues an event.
func (q *Queue) Post(event placer.Event) { q.events = append(q.events, event) }

// Run passes all queued events to the placer. It does nothing if it is called within Execute.
func (q *Queue) Run(now placer.Seconds) {
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

// TimerDelay returns the delay of a timer that the placer requested with the given one: no less than MinDelay.
func TimerDelay(after placer.Seconds) placer.Seconds { return max(after, MinDelay) }
