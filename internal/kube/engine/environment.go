package engine

import (
	"fmt"
	"math/rand/v2"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/control/timerqueue"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// environment holds the state that all components of an Engine share: settings, the time of the current call,
// the random number generator, timers, the queue of events for the placer, and pending effects.
type environment struct {
	cfg      Config
	now      placer.Seconds // time of the current call in Unix seconds
	rng      *rand.Rand
	events   eventqueue.Queue // events for the placer
	effects  []Effect         // effects that Ready has not returned yet
	timers   timerqueue.Queue[placer.Seconds]
	stats    *Stats
	stopping bool // set by Engine.Stop

	transitions transitionCheck
}

// advanceClock sets the time of a new call. The time never goes backwards.
func (env *environment) advanceClock(now placer.Seconds) { env.now = max(env.now, now) }

// apiNow returns the time of the current call in the format of Kubernetes API objects.
func (env *environment) apiNow() metav1.Time { return wellknown.APITime(env.now) }

// post queues an event for the placer.
func (env *environment) post(event placer.Event) { env.events.Post(event) }

// drainEvents makes the placer handle the queued events, and executes the actions of the placer. It does
// nothing if it is called while an action is being executed.
func (env *environment) drainEvents() { env.events.Run(env.now) }

// A timer is a function that a later call of Tick runs at a given time.
type timer = timerqueue.Timer[placer.Seconds]

// runAt schedules a function for the first call of Tick at or after the given time.
func (env *environment) runAt(at placer.Seconds, callback func()) *timer {
	return env.timers.Add(at, callback)
}

// runAfter schedules a function for the first call of Tick after the given delay.
func (env *environment) runAfter(delay placer.Seconds, callback func()) *timer {
	return env.runAt(env.now+max(delay, 0), callback)
}

// stopTimer cancels a timer. A nil timer, or one that has already run, is ignored.
func (env *environment) stopTimer(timer *timer) { env.timers.Stop(timer) }

// idempotencyOf returns the idempotency of a task's class. The idempotency determines whether the task may
// run twice.
func (env *environment) idempotencyOf(task *task) placer.Idempotency {
	return env.cfg.Placer.Classes[task.class].Idempotency
}

// newUID generates a version 4 UUID with the engine's random number generator.
func (env *environment) newUID() types.UID {
	firstBits, secondBits := env.rng.Uint64(), env.rng.Uint64()
	return types.UID(fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x", uint32(firstBits), uint16(firstBits>>32), firstBits>>52,
		0x8000|uint16(secondBits)&0x3fff, secondBits>>16))
}

// The random suffixes of object names consist of characters of nameSuffixAlphabet. Their length in
// characters is nameSuffixLength.
const (
	nameSuffixAlphabet = "bcdfghjklmnpqrstvwxz2456789"
	nameSuffixLength   = 5
)

// randomNameSuffix generates a random suffix for an object name, in the format that the Kubernetes API
// uses.
func (env *environment) randomNameSuffix() string {
	suffix := make([]byte, nameSuffixLength)
	for i := range suffix {
		suffix[i] = nameSuffixAlphabet[env.rng.IntN(len(nameSuffixAlphabet))]
	}
	return string(suffix)
}
