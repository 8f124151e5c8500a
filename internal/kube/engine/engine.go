// Package engine is the core of the scheduler behind the Kubernetes API: Jobs, their tasks, the attempts to place them, and the nodes.
//
// It is pure: no I/O, no clock, no goroutines, no globals. Callers pass the time in Unix seconds, which must not decrease, and take the
// effects of a call with Ready, to carry them out in order. The same calls at the same times give the same effects and the same stored
// objects, whether the caller uses sockets or a simulation.
//
// The engine does not decide where tasks are placed, which package placer does, nor when a placement request is retried, which package
// retry does.
//
// Errors of calls are ErrNotFound, ErrExists, ErrConflict, ErrTooMany, ErrStopping and *InvalidError. The other methods cannot fail: they ignore
// unknown nodes, tasks and attempts.
package engine

import (
	"fmt"
	"math"
	"math/rand/v2"

	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/eventqueue"
	"heathshed/internal/control/retry"
	"heathshed/internal/control/timerqueue"
	"heathshed/internal/kube/store"
	"heathshed/placer"
)

// Engine is the state of one scheduler. It must be used by one goroutine at a time.
type Engine struct {
	cfg            Config
	now            float64 // Unix seconds of the present call
	rng            *rand.Rand
	events         eventqueue.Queue // to the placer
	admission      *admission.Controller
	admissionTimer *timer
	store          *store.Store
	effects        []Effect // not handed out yet
	timers         timerqueue.Queue[float64]

	jobs           map[string]*job // by store.Key
	dirtyJobs      []*job          // Jobs whose status is to be written at the end of the call
	backlog        []*job          // Jobs with tasks to start
	startScheduled bool            // a timer to start tasks of the backlog is pending
	finishedJobs   []*job          // in order of their end; deleted ones are skipped

	tasks         map[types.UID]*task
	requests      map[placer.TaskID]*placementRequest
	lastRequestID placer.TaskID
	openTasks     int // tasks without a final outcome
	stopping      bool
	badTransition error // the first illegal transition of a task, for CheckInvariants

	nodes           map[string]*node
	nodesByID       map[placer.NodeID]*node
	zones           map[string]int // the placer's numbers of the zones
	racks           map[string]int // the placer's numbers of the racks
	inventoryListed bool           // the inventory was listed at least once

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

// rngStream selects the engine's stream among those of one seed.
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
	e := &Engine{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, rngStream)),
		admission: controller,
		store:     store.NewBounded(cfg.BaseRevision, cfg.History, cfg.MaxHistory),
		jobs:      map[string]*job{},
		tasks:     map[types.UID]*task{},
		requests:  map[placer.TaskID]*placementRequest{},
		nodes:     map[string]*node{},
		nodesByID: map[placer.NodeID]*node{},
		zones:     map[string]int{cfg.Zone: 0},
		racks:     map[string]int{},
	}
	e.events = eventqueue.Queue{Placer: policy, Execute: e.execute}
	e.addNamespaces()
	return e, nil
}

// Store returns the engine's store. It may be read between calls.
func (e *Engine) Store() *store.Store { return e.store }

// Config returns the configuration with defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Admission returns the admission controller. It may be read between calls.
func (e *Engine) Admission() *admission.Controller { return e.admission }

// OpenTasks returns the number of tasks without a final outcome.
func (e *Engine) OpenTasks() int { return e.openTasks }

// NextWake returns the time at which Tick is to be called, infinity if no timer is pending.
func (e *Engine) NextWake() float64 { return e.timers.NextOr(math.Inf(1)) }

// Tick runs the timers that are due.
func (e *Engine) Tick(now float64) {
	e.beginCall(now)
	// A timer that another one adds for the same time runs in the next call.
	for count := e.timers.Len(); count > 0; count-- {
		due := e.timers.Pop(e.now)
		if due == nil {
			break
		}
		due.Run()
	}
	e.endCall()
}

// Stop rejects new Jobs from now on and gives every task that waits to be requested its final outcome. Requests that the placer has are
// decided as usual, but not retried.
func (e *Engine) Stop(now float64) {
	e.beginCall(now)
	e.stopping = true
	for _, task := range inCreationOrder(e.tasks) {
		if task.state == taskQueued {
			e.withdrawQueuedRequest(task)
		}
		if task.state == taskWaiting && !task.hasUnknownOutcome() {
			e.settleUnplaced(task, task.unplacedReason(), stoppingMessage)
		}
	}
	e.endCall()
}

// withdrawQueuedRequest takes back a request that waits for admission while the engine stops. No timer of the task is pending then, so where
// the outcome of an earlier attempt is unknown, what follows is decided here.
func (e *Engine) withdrawQueuedRequest(task *task) {
	e.withdrawRequest(task)
	if task.hasUnknownOutcome() {
		e.retryOrSettle(task, retry.Shed, 0)
		return
	}
	e.setState(task, taskWaiting)
}

const stoppingMessage = "the scheduler stops"

// beginCall must be the first step of every call, endCall the last.
func (e *Engine) beginCall(now float64) { e.now = max(e.now, now) }

func (e *Engine) endCall() {
	e.drainEvents()
	e.admitRequests()
	dirty := e.dirtyJobs
	e.dirtyJobs = nil
	for _, job := range dirty {
		job.dirty = false
		e.writeJobStatus(job)
	}
	e.drainEvents()
}

// post queues an event for the placer.
func (e *Engine) post(event placer.Event) { e.events.Post(event) }

// drainEvents has the placer handle the queued events and executes its actions. It does nothing while an action is executed.
func (e *Engine) drainEvents() { e.events.Run(placer.Seconds(e.now)) }

// execute carries out an action of the placer.
func (e *Engine) execute(action *placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		e.startAttempt(action)
	case placer.Reject:
		e.requestEnded(action.Task, retry.Rejected, float64(action.After))
	case placer.Fail:
		e.requestEnded(action.Task, retry.Failed, 0)
	case placer.SetTimer:
		token := action.Token
		e.runAfter(float64(eventqueue.Delay(action.After)), func() {
			e.post(placer.Event{Kind: placer.TimerFired, Token: token})
			e.drainEvents()
		})
	case placer.WatchNodes, placer.ListNodes:
		e.emit(Effect{Kind: RelistNodes})
	case placer.Migrate:
		e.migrateTask(action.Task)
	}
}

// timer is a function that runs in a later Tick.
type timer = timerqueue.Timer[float64]

func (e *Engine) runAt(when float64, fn func()) *timer { return e.timers.Add(when, fn) }

func (e *Engine) runAfter(delay float64, fn func()) *timer { return e.runAt(e.now+max(delay, 0), fn) }

// stopTimer stops a timer. A nil timer and one that has run are ignored.
func (e *Engine) stopTimer(stopped *timer) { e.timers.Stop(stopped) }
