package dispatch

import (
	"heathshed/internal/control/eventqueue"
	"heathshed/internal/control/timerqueue"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// sharedState is the state that all components of a Core share: the settings, the clock, the timers, the
// effects for the caller and the events for the placer. The components change it only through its methods.
type sharedState struct {
	settings *simconfig.Settings
	limits   Limits
	counts   *Counts
	now      placer.Seconds
	timers   timerqueue.Queue[placer.Seconds]
	effects  []Effect // effects contains the effects that were added since the last call of takeEffects.
	events   eventqueue.Queue
	// passNextArrival passes a request that was held back to the placer, or returns false; see arrivalQueue.passNext.
	passNextArrival func() bool
}

// setClock sets the clock to the given time, unless that would move the clock backwards.
func (shared *sharedState) setClock(now placer.Seconds) { shared.now = max(shared.now, now) }

// addEffect adds an effect that the caller of Core.Ready has to carry out.
func (shared *sharedState) addEffect(effect Effect) { shared.effects = append(shared.effects, effect) }

// takeEffects returns the effects that were added since its last call. Its next call does not return them
// again.
func (shared *sharedState) takeEffects() []Effect {
	effects := shared.effects
	shared.effects = nil
	return effects
}

// postEvent queues an event for the placer.
func (shared *sharedState) postEvent(event placer.Event) { shared.events.Post(event) }

// runEvents passes all queued events to the placer and executes the actions that the placer returns. It then
// passes on the requests that the arrivalQueue no longer has to hold back.
func (shared *sharedState) runEvents() {
	shared.events.Run(shared.now)
	for shared.passNextArrival != nil && shared.passNextArrival() {
		shared.events.Run(shared.now)
	}
}

// runDueTimers sets the clock to the given time and fires the timers that are due.
func (shared *sharedState) runDueTimers(now placer.Seconds) {
	shared.setClock(now)
	for timer := shared.timers.Pop(shared.now); timer != nil; timer = shared.timers.Pop(shared.now) {
		timer.Run()
		shared.runEvents()
	}
}
