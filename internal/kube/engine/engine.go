// Package engine is the core of the scheduler behind the Kubernetes API. It manages Jobs, their tasks, the
// attempts to place these tasks, and the nodes. Packages scheduler and simulation drive the engine: scheduler
// with sockets, simulation in simulated time. Package api calls the engine for requests that change objects.
//
// The engine is deterministic. It does no I/O, reads no clock, starts no goroutines and has no global
// state. Callers pass the time in Unix seconds to each call; this time must not decrease. After each call,
// the caller gets the resulting effects from Ready and carries them out in order. The same calls at the
// same times produce the same effects and the same stored objects.
//
// Package placer decides on which node a task is placed, and package retry decides when a placement request
// is retried. The inventory is a server that lists all nodes. The engine reaches the nodes and the inventory
// only through effects.
//
// An attempt is in flight until its node has answered or the engine has abandoned it. If the node may have
// accepted an abandoned attempt, the outcome of the attempt is unknown and the attempt is unresolved. A task
// is bound to the attempt that its node has accepted, and it is settled once it has its final outcome.
//
// Methods that return an error return ErrNotFound, ErrExists, ErrConflict, ErrTooMany, ErrStopping or an
// *InvalidError. The other methods cannot fail: they ignore unknown nodes, tasks and attempts.
//
// New readers should start with Engine and its methods (engine.go, calls.go) and with Effect (effect.go).
// wiring.go shows which component of the engine calls which other components. task_state.go and job_state.go
// define the state machines.
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

// Engine holds the state of one scheduler. It passes each call to the component that owns the affected state,
// and executes the actions of the placer. Only one goroutine at a time may use an Engine.
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

	// Stats counts events since the Engine was created.
	Stats Stats
}

// Stats contains counters of events since an Engine was created.
type Stats struct {
	PlacementRequests, Attempts, Accepted, Rejections, UnknownOutcomes, Adopted, Stops uint64
	Placed, Rejected, Failed                                                           uint64 // numbers of tasks by their final outcome
	Shed, Retries, LostTasks, EvictedTasks, MigratedTasks, Recovered                   uint64
	JobsCreated, JobsFinished, PodsCreated, JobsRejected, LateAnswers                  uint64
	ForeignNodeAnswers                                                                 uint64 // lists, changes and answers that another process sent from the address of a node
}

// rngStream selects the random sequence of the engine; other components use other sequences of the same seed.
const rngStream = 0x6865617468

// New returns an Engine without Jobs and nodes. It returns an error if the configuration is invalid.
func New(cfg Config) (*Engine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	newPlacer, err := placer.New(cfg.Placer, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	admissionController, err := admission.New(cfg.Admission)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e := &Engine{environment: &environment{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, rngStream))}}
	e.stats = &e.Stats
	e.events = eventqueue.Queue{Placer: newPlacer, Execute: e.execute}
	e.wire(admissionController)
	e.publisher.addNamespaces()
	return e, nil
}

// Store returns the store of the engine. Callers may read it between calls of the engine.
func (e *Engine) Store() *store.Store { return e.publisher.store }

// Config returns the configuration with all defaults set.
func (e *Engine) Config() Config { return e.cfg }

// Admission returns the admission controller. Callers may read its state between calls of the engine.
func (e *Engine) Admission() *admission.Controller { return e.requests.admission }

// OpenTasks returns the number of tasks without a final outcome.
func (e *Engine) OpenTasks() int { return e.tasks.openCount }

// NextWake returns the time at which the caller must call Tick. The time is infinite if no timer is pending.
func (e *Engine) NextWake() placer.Seconds { return e.timers.NextTimeOr(placer.Seconds(math.Inf(1))) }

// Tick runs the timers that are due.
func (e *Engine) Tick(now placer.Seconds) {
	e.beginCall(now)
	// A timer that runs may add another timer that is due at once. The number of timers that one call of
	// Tick runs is limited, because Tick must end even if this happens again and again.
	for count := e.timers.Len(); count > 0; count-- {
		dueTimer := e.timers.Pop(e.now)
		if dueTimer == nil {
			break
		}
		dueTimer.Run()
	}
	e.endCall()
}

// Stop makes the engine reject new Jobs. The placer still gives final answers to the placement requests
// that it has, but the engine does not retry these requests. A task without such a request gets its final
// outcome at once, unless an attempt of the task has an unknown outcome. In this case the engine first
// waits for the outcome of the attempt.
func (e *Engine) Stop(now placer.Seconds) {
	e.beginCall(now)
	e.lifecycle.stopAll()
	e.endCall()
}

// beginCall sets the time of a call. Every exported method that changes the state of the engine must call
// beginCall first and endCall last.
func (e *Engine) beginCall(now placer.Seconds) { e.advanceClock(now) }

// endCall makes the placer and the admission controller handle the events of the current call, and stores
// the changed statuses of Jobs.
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
		e.runAfter(eventqueue.TimerDelay(action.After), func() {
			e.post(placer.Event{Kind: placer.TimerFired, Token: token})
			e.drainEvents()
		})
	case placer.WatchNodes, placer.ListNodes:
		e.emit(Effect{Kind: RelistNodes})
	case placer.Migrate:
		e.lifecycle.migrate(action.Task)
	}
}

// CheckInvariants returns an error if a task, a Job or a completion index has made an illegal transition, if
// the state of a task contradicts its attempts, its placement request or its node, or if a Job contradicts
// its tasks. It examines every task and completion index, and is meant for tests and simulations. It must not
// be called during another call of the engine.
func (e *Engine) CheckInvariants() error {
	if err := e.transitions.firstError; err != nil {
		return err
	}
	if err := e.tasks.checkInvariants(); err != nil {
		return err
	}
	return e.jobs.checkInvariants()
}
