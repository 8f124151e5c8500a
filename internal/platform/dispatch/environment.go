package dispatch

import (
	"heathshed/internal/control/eventqueue"
	"heathshed/internal/control/timerqueue"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// environment is what all parts of a core share: the settings, the clock, the timers, the effects for the caller, and the events for the
// placer. The parts change it by its methods only.
type environment struct {
	settings *simconfig.Settings
	counts   *Counts
	now      placer.Seconds
	timers   timerqueue.Queue[placer.Seconds]
	effects  []Effect // since the last call of takeEffects
	events   eventqueue.Queue
}

// setTime sets the clock, which never decreases.
func (env *environment) setTime(now placer.Seconds) { env.now = max(env.now, now) }

// emit adds an effect for the caller.
func (env *environment) emit(effect Effect) { env.effects = append(env.effects, effect) }

// takeEffects returns the effects since the last call.
func (env *environment) takeEffects() []Effect {
	effects := env.effects
	env.effects = nil
	return effects
}

// post queues an event for the placer.
func (env *environment) post(event placer.Event) { env.events.Post(event) }

// runEvents passes all queued events to the placer and executes its actions.
func (env *environment) runEvents() { env.events.Run(env.now) }

// advance runs the timers that are due.
func (env *environment) advance(now placer.Seconds) {
	env.setTime(now)
	for timer := env.timers.Pop(env.now); timer != nil; timer = env.timers.Pop(env.now) {
		timer.Run()
		env.runEvents()
	}
}
