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

// environment is what all parts of an Engine share: the settings, the time of the present call, the source of random numbers, the timers,
// the queue of events to the placer, and the pending effects.
type environment struct {
	cfg      Config
	now      placer.Seconds // Unix seconds of the present call
	rng      *rand.Rand
	events   eventqueue.Queue // to the placer
	effects  []Effect         // not yet returned by Ready
	timers   timerqueue.Queue[placer.Seconds]
	stats    *Stats
	stopping bool // Stop was called

	transitions transitionCheck
}

// advanceClock sets the time of a new call. The clock never goes back.
func (env *environment) advanceClock(now placer.Seconds) { env.now = max(env.now, now) }

// apiNow returns the time of the present call in the form of the API's objects.
func (env *environment) apiNow() metav1.Time { return wellknown.APITime(env.now) }

// post queues an event for the placer.
func (env *environment) post(event placer.Event) { env.events.Post(event) }

// drainEvents has the placer handle the queued events and executes its actions. It does nothing while an action is executed.
func (env *environment) drainEvents() { env.events.Run(env.now) }

// timer is a function that runs in a later Tick.
type timer = timerqueue.Timer[placer.Seconds]

// runAt schedules a function for the first call of Tick at or after a time.
func (env *environment) runAt(when placer.Seconds, fn func()) *timer { return env.timers.Add(when, fn) }

// runAfter schedules a function for the first call of Tick after a delay.
func (env *environment) runAfter(delay placer.Seconds, fn func()) *timer {
	return env.runAt(env.now+max(delay, 0), fn)
}

// stopTimer stops a timer. A nil timer and one that has run are ignored.
func (env *environment) stopTimer(timer *timer) { env.timers.Stop(timer) }

// idempotencyOf returns whether the class of a task permits running it twice.
func (env *environment) idempotencyOf(task *task) placer.Idempotency {
	return env.cfg.Placer.Classes[task.class].Idempotency
}

// newUID draws a version 4 UUID from the engine's own random source.
func (env *environment) newUID() types.UID {
	first, second := env.rng.Uint64(), env.rng.Uint64()
	return types.UID(fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x", uint32(first), uint16(first>>32), first>>52,
		0x8000|uint16(second)&0x3fff, second>>16))
}

const (
	nameSuffixAlphabet = "bcdfghjklmnpqrstvwxz2456789"
	nameSuffixLength   = 5
)

// randomSuffix draws the end of a generated name, in the form that the Kubernetes API uses.
func (env *environment) randomNameSuffix() string {
	letters := make([]byte, nameSuffixLength)
	for i := range letters {
		letters[i] = nameSuffixAlphabet[env.rng.IntN(len(nameSuffixAlphabet))]
	}
	return string(letters)
}
