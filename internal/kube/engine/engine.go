// Package engine is the core of the scheduler behind the Kubernetes API: Jobs, their tasks, the attempts to place them, and the nodes.
// Packages scheduler and simulation call it, with sockets and in simulated time; package api calls it for requests that change objects.
//
// It is pure: no I/O, no clock, no goroutines, no globals. Callers pass the time in Unix seconds, which must not decrease. After each call they
// get its effects from Ready and carry them out in order. The same calls at the same times give the same effects and the same stored objects.
//
// The engine does not decide where tasks are placed (package placer does), nor when a placement request is retried (package retry does).
//
// Errors of calls are ErrNotFound, ErrExists, ErrConflict, ErrTooMany, ErrStopping and *InvalidError. The other methods cannot fail: they ignore
// unknown nodes, tasks and attempts.
//
// Begin reading at Engine and its calls (engine.go, calls.go) and at Effect (effect.go). wiring.go shows which part calls which; task_state.go
// and job_state.go have the state machines.
package engine

import (
	"fmt"
	"math"
	"math/rand/v2"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/eventqueue"
	"heathshed/internal/control/retry"
	"heathshed/internal/kube/store"
	"heathshed/placer"
)

// Engine is the state of one scheduler. It passes each call to one of its parts, which own the state, and executes the actions of the placer. It
// must be used by one goroutine at a time.
type Engine struct {
	*environment
	publisher     *publisher
	nodes         *nodeRegistry
	observer      *podObserver
	tasks         *taskTable
	lifecycle     *taskLifecycle
	requests      *requestTable
	attempts      *attemptTracker
	outcomes      *outcomeReconciler
	adopter       *adopter
	podController *podController
	jobs          *jobTable
	jobController *jobController
	jobStarter    *jobStarter
	jobStatus     *jobStatusWriter

	// Stats counts events since the start.
	Stats Stats
}

// Stats are counters since the start of an Engine.
type Stats struct {
	PlacementRequests, Attempts, Accepted, Rejections, UnknownOutcomes, Adopted, Stops uint64
	Placed, Rejected, Failed                                                           uint64 // tasks by final outcome
	Shed, Retries, LostTasks, EvictedTasks, MigratedTasks, Recovered                   uint64
	JobsCreated, JobsFinished, PodsCreated, JobsRejected, LateAnswers                  uint64
}

// rngStream selects the engine's random sequence among those of one seed.
const rngStream = 0x6865617468

// New returns an Engine without Jobs and nodes. It fails if the configuration cannot be used.
func New(cfg Config) (*Engine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	policy, err := placer.New(cfg.Placer, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	controller, err := admission.New(cfg.Admission)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e := &Engine{environment: &environment{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, rngStream))}}
	e.stats = &e.Stats
	e.events = eventqueue.Queue{Placer: policy, Execute: e.execute}
	e.wire(controller)
	e.publisher.addNamespaces()
	return e, nil
}

// Store returns the engine's store. It may be read between calls.
func (e *Engine) Store() *store.Store { return e.publisher.store }

// Config returns the configuration with defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Admission returns the admission controller. It may be read between calls.
func (e *Engine) Admission() *admission.Controller { return e.requests.admission }

// OpenTasks returns the number of tasks without a final outcome.
func (e *Engine) OpenTasks() int { return e.tasks.openCount }

// NextWake returns the time at which Tick must be called, infinity if no timer is pending.
func (e *Engine) NextWake() placer.Seconds { return e.timers.NextOr(placer.Seconds(math.Inf(1))) }

// Tick runs the timers that are due.
func (e *Engine) Tick(now placer.Seconds) {
	e.beginCall(now)
	// A timer that is added by another one for the same time runs in the next call.
	for count := e.timers.Len(); count > 0; count-- {
		due := e.timers.Pop(e.now)
		if due == nil {
			break
		}
		due.Run()
	}
	e.endCall()
}

// Stop rejects new Jobs from now on and settles every task that the placer does not know yet. The placer decides on open requests as usual,
// but they are not retried.
func (e *Engine) Stop(now placer.Seconds) {
	e.beginCall(now)
	e.lifecycle.stopAll()
	e.endCall()
}

// beginCall must be the first step of every call, endCall the last.
func (e *Engine) beginCall(now placer.Seconds) { e.advanceClock(now) }

// endCall lets the placer and the admission controller react to the call, and stores the statuses of Jobs that changed.
func (e *Engine) endCall() {
	e.drainEvents()
	e.requests.admitQueued()
	e.jobStatus.writeDirty()
	e.drainEvents()
}

// execute carries out an action of the placer.
func (e *Engine) execute(action *placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		e.attempts.start(action)
	case placer.Reject:
		e.requests.handleUnplaced(action.Task, retry.Rejected, action.After)
	case placer.Fail:
		e.requests.handleUnplaced(action.Task, retry.Failed, 0)
	case placer.SetTimer:
		token := action.Token
		e.runAfter(eventqueue.Delay(action.After), func() {
			e.post(placer.Event{Kind: placer.TimerFired, Token: token})
			e.drainEvents()
		})
	case placer.WatchNodes, placer.ListNodes:
		e.emit(Effect{Kind: RelistNodes})
	case placer.Migrate:
		e.lifecycle.migrate(action.Task)
	}
}

// CheckInvariants returns an error if a task, a Job or an index has made an illegal transition, if a task's state does not agree with its
// attempts, its request or its node, or if a Job does not agree with its tasks. It looks at every task and index: it is for tests and
// simulations, between calls.
func (e *Engine) CheckInvariants() error {
	if err := e.transitions.firstError; err != nil {
		return err
	}
	if err := e.tasks.checkInvariants(); err != nil {
		return err
	}
	return e.jobs.checkInvariants()
}
