// Package eventqueue passes events to a placer one after another. It executes the actions that the placer
// returns for one event, in order, before it passes the next event.
//
// The package reads no clock: callers pass in the time. Packages dispatch and engine, the schedulers of the
// platform protocol and of the Kubernetes API, own one Queue each.
package eventqueue

import "heathshed/placer"

// MinDelay is the shortest delay of a timer. A floating-point number that counts seconds since the Unix epoch
// has steps of 2.4e-7 s today, so adding less than a step can yield the same time again. Without a minimum
// delay, a placer that waits for a deadline less than a step away would have its timer fire at the same time
// forever.
const MinDelay placer.Seconds = 1e-6

// Placer makes the placement decisions. It is a *placer.Placer, or a substitute for it in tests.
type Placer interface {
	// Handle processes one event at the given clock time. It appends the resulting actions to the slice that
	// it receives and returns the extended slice.
	Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action
}

// Queue passes events to one placer and executes the actions that the placer returns. It is not safe for
// concurrent use.
type Queue struct {
	Placer Placer
	// Execute carries out one action. Events that it posts are passed to the placer after all actions of the
	// current event.
	Execute func(*placer.Action)

	events  []placer.Event
	actions []placer.Action // actions is a buffer that is reused for the actions of each event.
	running bool
}

// Post appends an event to the queue.
func (q *Queue) Post(event placer.Event) { q.events = append(q.events, event) }

// Run passes all queued events to the placer. A nested call from Execute does nothing, because the outer call
// continues with the new events.
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

// TimerDelay returns the delay with which a timer is set when the placer requests the given delay. It is
// never less than MinDelay.
func TimerDelay(after placer.Seconds) placer.Seconds { return max(after, MinDelay) }
