// Package eventqueue passes events to a placer one after another. It executes the actions that the placer
// returns for one event, in order, before it passes the next event.
//
// The package reads no clock: callers pass in the time. Two packages own one Queue each: platform/dispatch, the
// scheduler for clients and nodes that exchange JSON messages, and kube/engine, the scheduler behind the
// Kubernetes API.
package eventqueue

import "heathshed/placer"

// MinDelay is the shortest delay of a timer. Present-day times, as floating-point seconds since the Unix
// epoch, are multiples of 2.4e-7 s. If a shorter delay is added to such a time, the sum can be rounded to the
// same time. A placer that waits for a deadline less than 2.4e-7 s away would then set a timer that fires at
// the current time, and would do so again and again.
const MinDelay placer.Seconds = 1e-6

// Placer makes the placement decisions. Tests replace the *placer.Placer with another implementation.
type Placer interface {
	// Handle processes one event at the given time. It appends the actions that result from the event to the
	// given slice and returns the extended slice.
	Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action
}

// Queue passes events to one placer and executes the actions that the placer returns. It is not safe for
// concurrent use.
type Queue struct {
	Placer Placer
	// Execute carries out one action of the placer. If it posts events, the queue passes them to the placer
	// after all actions of the current event are executed.
	Execute func(*placer.Action)

	events  []placer.Event
	actions []placer.Action // actions is a buffer that is reused for the actions of each event.
	running bool            // running means that a call of Run is in progress.
}

// Post appends an event to the queue. The next call of Run passes the event to the placer.
func (q *Queue) Post(event placer.Event) { q.events = append(q.events, event) }

// Run passes all queued events to the placer and executes the resulting actions. A nested call of Run from
// Execute does nothing, because the outer call also passes on the events that are posted meanwhile.
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

// TimerDelay returns the delay after which a timer fires if the placer requests the given delay. The result is
// never less than MinDelay.
func TimerDelay(requestedDelay placer.Seconds) placer.Seconds { return max(requestedDelay, MinDelay) }
