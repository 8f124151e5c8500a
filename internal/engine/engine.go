// Package engine is the running scheduler without its sockets: jobs, tasks, attempts and machines, and the path from an
// API call to an offer and back.
//
// It is pure: no I/O, no clock, no goroutine, no global. Calls bring in the time in Unix seconds, which must not go back;
// what must happen outside comes out as effects, which the caller takes with Ready after each call and carries out in
// order. The same calls at the same times give the same effects and the same objects, on sockets and in simulated time.
//
// It decides nothing about placing: that is placer's. What an owner does between asks is decided by package owner.
package engine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/admission"
	"heathshed/internal/eventqueue"
	"heathshed/internal/retry"
	"heathshed/internal/store"
	"heathshed/internal/timerqueue"
	"heathshed/placer"
)

// Config is what an engine is told at its start.
type Config struct {
	Name             string // of this scheduler; machines keep it with each Pod
	Placer           placer.Config
	Classes          []string // names, as in Placer.Classes
	DefaultClass     int
	NodeTypes        []string // names, as in Placer.Kinds
	Tenants          []string // namespaces, as in Placer.Tenants; every namespace may ask if there are none
	Zone             string   // of this scheduler
	Retry            retry.Policy
	Admission        admission.Config // of the front door; the zero value lets everything pass
	Seed             uint64
	BaseRevision     int64   // revisions begin above this
	History          int     // changes kept per table for watches
	MaxPods          int     // Pods held at a time; further Jobs are turned away
	MaxHistory       int64   // bytes of changes kept for watches, as store.Cost counts; 0 is no bound
	MaxObjects       int64   // bytes of objects held at a time, counted so; further Jobs are turned away. 0 is no bound
	FinishedTTL      float64 // seconds that a finished Job without a time of its own is kept
	NodeLossTimeout  float64 // seconds that a machine may be neither heard of nor listed before its tasks count as lost
	MaxStartsPerCall int     // tasks begun in one call; the rest follow in the next
}

// Defaults for what a Config leaves at zero.
const (
	DefaultHistory          = 20000
	DefaultMaxPods          = 200000
	DefaultNodeLossTimeout  = 8.0
	DefaultMaxPollInterval  = 10.0
	DefaultMaxStartsPerCall = 256
)

// EffectKind selects what an Effect asks for.
type EffectKind uint8

// The effects. SendOffer: POST Pod to the machine, answer with OfferDone. Abandon: stop waiting for the answer to an offer;
// OfferDone may still come. StopTask: DELETE the Pod at the machine and forbid attempts up to Attempt, answer with StopDone.
// FollowNode: list and watch the Pods of the machine. LeaveNode: stop that. Relist: list the machines anew.
const (
	SendAttempt EffectKind = iota + 1
	AbandonAttempt
	StopTask
	WatchNode
	UnwatchNode
	RelistNodes
)

// Effect is something that must happen outside.
type Effect struct {
	Kind                EffectKind
	Node                string
	Address             string // of the machine: host:port
	Pod                 *corev1.Pod
	UID                 types.UID
	Namespace           string
	Name                string
	Attempt             int
	Deadline            float64 // SendOffer: the answer is of no use after this
	AvoidUnknownOutcome bool    // SendOffer: a doubt whether it was read is dear
}

// Engine is one scheduler. It is for one goroutine.
type Engine struct {
	cfg            Config
	now            float64
	rng            *rand.Rand
	events         eventqueue.Queue
	admission      *admission.Controller
	admissionTimer *timer
	store          *store.Store

	effects []Effect

	timers timerqueue.Queue

	jobs            map[string]*job // by namespace/name
	tasks           map[types.UID]*task
	requests        map[placer.TaskID]*placementRequest
	lastRequestID   placer.TaskID
	nodes           map[string]*node
	nodesByID       map[placer.NodeID]*node
	zones           map[string]int
	racks           map[string]int
	dirtyJobs       []*job
	backlog         []*job // jobs with tasks to begin
	startScheduled  bool   // a timer for the backlog is set
	inventoryListed bool   // the inventory was heard of
	stopping        bool
	openTasks       int    // tasks that have no final answer yet
	finishedJobs    []*job // Jobs that have ended, the oldest first; those that are gone are skipped

	// Stats count what happened since the start.
	Stats Stats
}

// Stats are counters.
type Stats struct {
	PlacementRequests, Attempts, Accepted, Rejections, UnknownOutcomes, Adopted, Stops uint64
	Placed, Rejected, Failed                                                           uint64
	Shed, Retries, LostTasks, EvictedTasks, MigratedTasks, Recovered                   uint64
	JobsCreated, JobsFinished, PodsCreated, JobsRejected, LateAnswers                  uint64
}

// New makes an engine, or says which part of the configuration cannot be used.
func New(cfg Config) (*Engine, error) {
	if len(cfg.Classes) != len(cfg.Placer.Classes) {
		return nil, fmt.Errorf("engine: %d class names for %d classes", len(cfg.Classes), len(cfg.Placer.Classes))
	}
	if len(cfg.NodeTypes) != len(cfg.Placer.NodeTypes) {
		return nil, fmt.Errorf("engine: %d kind names for %d kinds", len(cfg.NodeTypes), len(cfg.Placer.NodeTypes))
	}
	if cfg.DefaultClass < 0 || cfg.DefaultClass >= len(cfg.Classes) {
		return nil, fmt.Errorf("engine: default class %d of %d", cfg.DefaultClass, len(cfg.Classes))
	}
	set := func(policy *int, v int) {
		if *policy <= 0 {
			*policy = v
		}
	}
	set(&cfg.History, DefaultHistory)
	set(&cfg.MaxPods, DefaultMaxPods)
	set(&cfg.MaxStartsPerCall, DefaultMaxStartsPerCall)
	if cfg.Placer.MaxPollInterval <= 0 {
		cfg.Placer.MaxPollInterval = DefaultMaxPollInterval
	}
	if cfg.NodeLossTimeout <= 0 {
		cfg.NodeLossTimeout = DefaultNodeLossTimeout
	}
	if cfg.Retry == (retry.Policy{}) {
		cfg.Retry = retry.DefaultPolicy()
	}
	e := &Engine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6865617468)),
		store: store.NewBounded(cfg.BaseRevision, cfg.History, cfg.MaxHistory), jobs: map[string]*job{}, tasks: map[types.UID]*task{},
		requests: map[placer.TaskID]*placementRequest{}, nodes: map[string]*node{}, nodesByID: map[placer.NodeID]*node{},
		zones: map[string]int{cfg.Zone: 0}, racks: map[string]int{}}
	e.cfg.Placer.Zone = 0
	policy, err := placer.New(e.cfg.Placer, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.events = eventqueue.Queue{Placer: policy, Execute: e.execute}
	if e.cfg.Admission.MaxQueued == 0 {
		e.cfg.Admission = admission.DefaultConfig()
		e.cfg.Admission.Disabled = true
	}
	e.cfg.Admission.Shares = nil
	for _, tenant := range cfg.Placer.Tenants {
		e.cfg.Admission.Shares = append(e.cfg.Admission.Shares, tenant.Share)
	}
	if e.admission, err = admission.New(e.cfg.Admission); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.addNamespaces()
	return e, nil
}

// Store is the engine's store, to be read between calls.
func (e *Engine) Store() *store.Store { return e.store }

// Config returns the configuration with defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Ready takes the effects that have come up, appended to dst.
func (e *Engine) Ready(dst []Effect) []Effect {
	dst = append(dst, e.effects...)
	clear(e.effects)
	e.effects = e.effects[:0]
	return dst
}

// NextWake is when Tick wants to be called, infinity if never.
func (e *Engine) NextWake() float64 { return e.timers.Next() }

// Tick lets due timers run.
func (e *Engine) Tick(now float64) {
	e.beginCall(now)
	// What is added meanwhile for now waits for the next call.
	for count := e.timers.Len(); count > 0; count-- {
		due := e.timers.Pop(e.now)
		if due == nil {
			break
		}
		due.Run()
	}
	e.endCall()
}

// Admission is the front door, to be read between calls.
func (e *Engine) Admission() *admission.Controller { return e.admission }

// OpenTasks is the number of tasks without a final answer.
func (e *Engine) OpenTasks() int { return e.openTasks }

// Stop turns new Jobs away from now on and gives every task that waits its final answer as soon as the rules allow: tasks
// are not asked again.
func (e *Engine) Stop(now float64) {
	e.beginCall(now)
	e.stopping = true
	for _, task := range e.sortedTasks() {
		if task.phase == phaseRequesting && task.request.queued {
			e.withdrawRequest(task)
			task.phase = phaseWaiting
		}
		if task.phase == phaseWaiting && !task.hasUnknownOutcome() {
			e.settle(task, e.failureReason(task), "the scheduler stops")
		}
	}
	e.endCall()
}

// beginCall and end stand around every call.
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

// post queues an event for the module, drainQueue hands over what is queued.
func (e *Engine) post(event placer.Event) { e.events.Post(event) }

func (e *Engine) drainEvents() { e.events.Run(e.now) }

func (e *Engine) execute(action *placer.Action) {
	switch action.Kind {
	case placer.StartAttempt:
		e.startAttempt(action)
	case placer.Reject:
		e.requestEnded(action.Task, retry.Rejected, action.After)
	case placer.Fail:
		e.requestEnded(action.Task, retry.Failed, 0)
	case placer.SetTimer:
		token := action.Token
		e.runAfter(eventqueue.Delay(action.After), func() { e.post(placer.Event{Kind: placer.TimerFired, Token: token}); e.drainEvents() })
	case placer.WatchNodes, placer.ListNodes:
		e.emit(Effect{Kind: RelistNodes})
	case placer.Migrate:
		e.migrateTask(action.Task)
	}
}

func (e *Engine) emit(effect Effect) { e.effects = append(e.effects, effect) }

// timer is a function that runs in a later Tick.
type timer = timerqueue.Timer

func (e *Engine) runAt(when float64, fn func()) *timer { return e.timers.Add(when, fn) }

func (e *Engine) runAfter(delay float64, fn func()) *timer { return e.runAt(e.now+max(delay, 0), fn) }

func (e *Engine) stopTimer(task *timer) { e.timers.Stop(task) }

// newUID makes a random identity in the form of a UUID, from the engine's own seed.
func (e *Engine) newUID() types.UID {
	first, second := e.rng.Uint64(), e.rng.Uint64()
	return types.UID(fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x", uint32(first), uint16(first>>32), first>>52,
		0x8000|uint16(second)&0x3fff, second>>16))
}

const suffixLetters = "bcdfghjklmnpqrstvwxz2456789"

// randomSuffix makes five letters for generated names, as the Kubernetes API does.
func (e *Engine) randomSuffix() string {
	letters := make([]byte, 5)
	for i := range letters {
		letters[i] = suffixLetters[e.rng.IntN(len(suffixLetters))]
	}
	return string(letters)
}

// serviceID is the same at every scheduler for the same service.
func serviceID(namespace, service string) placer.ServiceID {
	return placer.ServiceID(xxhash.Sum64String(namespace + "/" + service))
}

func (e *Engine) sortedTasks() []*task {
	tasks := make([]*task, 0, len(e.tasks))
	for _, task := range e.tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, job int) bool { return tasks[i].sequence < tasks[job].sequence })
	return tasks
}

func intern(indexes map[string]int, name string) int {
	index, ok := indexes[name]
	if !ok {
		index = len(indexes)
		indexes[name] = index
	}
	return index
}

// Errors of calls. The API turns them into statuses.
var (
	ErrNotFound = errors.New("not found")
	ErrExists   = errors.New("already exists")
	ErrConflict = errors.New("the object has been modified; read it again")
	ErrTooMany  = errors.New("too many tasks are held; try again later")
	ErrStopping = errors.New("the scheduler stops and takes no new tasks")
)

// InvalidError is an object that cannot be used; Field names the first bad field.
type InvalidError struct {
	Field, Detail string
	Value         any
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Field, e.Value, e.Detail) }

func jobKey(object *batchv1.Job) string { return store.Key(object.Namespace, object.Name) }

func setCondition(conditions []corev1.PodCondition, condition corev1.PodCondition) []corev1.PodCondition {
	for i := range conditions {
		if conditions[i].Type == condition.Type {
			if conditions[i].Status == condition.Status {
				condition.LastTransitionTime = conditions[i].LastTransitionTime
			}
			conditions[i] = condition
			return conditions
		}
	}
	return append(conditions, condition)
}

// tenantOf is the number of a namespace, and whether it may ask.
func (e *Engine) tenantOf(namespace string) (int, bool) {
	for i, name := range e.cfg.Tenants {
		if name == namespace {
			return i, true
		}
	}
	return 0, len(e.cfg.Tenants) == 0 || namespace == "default"
}

func (e *Engine) addNamespaces() {
	for _, name := range append([]string{"default"}, e.cfg.Tenants...) {
		if e.store.Get(store.Namespaces, "", name) != nil {
			continue
		}
		namespace := &corev1.Namespace{}
		namespace.Name, namespace.UID = name, e.newUID()
		namespace.Labels = map[string]string{"kubernetes.io/metadata.name": name}
		namespace.Status.Phase = corev1.NamespaceActive
		e.store.Put(store.Namespaces, namespace)
	}
}
