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
	Name         string // of this scheduler; machines keep it with each Pod
	Placer       placer.Config
	Classes      []string // names, as in Placer.Classes
	DefaultClass int
	NodeTypes    []string // names, as in Placer.Kinds
	Tenants      []string // namespaces, as in Placer.Tenants; every namespace may ask if there are none
	Zone         string   // of this scheduler
	Retry        retry.Policy
	Admission    admission.Config // of the front door; the zero value lets everything pass
	Seed         uint64
	BaseRev      int64   // revisions begin above this
	History      int     // changes kept per table for watches
	MaxPods      int     // Pods held at a time; further Jobs are turned away
	MaxHistory   int64   // bytes of changes kept for watches, as store.Cost counts; 0 is no bound
	MaxObjects   int64   // bytes of objects held at a time, counted so; further Jobs are turned away. 0 is no bound
	FinishedTTL  float64 // seconds that a finished Job without a time of its own is kept
	LostAfter    float64 // seconds that a machine may be neither heard of nor listed before its tasks count as lost
	AdmitBatch   int     // tasks begun in one call; the rest follow in the next
}

// Defaults for what a Config leaves at zero.
const (
	DefaultHistory         = 20000
	DefaultMaxPods         = 200000
	DefaultLostAfter       = 8.0
	DefaultMaxPollInterval = 10.0
	DefaultAdmitBatch      = 256
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
	Kind      EffectKind
	Node      string
	Address   string // of the machine: host:port
	Pod       *corev1.Pod
	UID       types.UID
	Namespace string
	Name      string
	Attempt   int
	Until     float64 // SendOffer: the answer is of no use after this
	Careful   bool    // SendOffer: a doubt whether it was read is dear
}

// Engine is one scheduler. It is for one goroutine.
type Engine struct {
	cfg    Config
	now    float64
	rng    *rand.Rand
	module eventqueue.Queue
	gate   *admission.Controller
	gateAt *timer
	store  *store.Store

	effects []Effect

	timers timerqueue.Queue

	jobs     map[string]*job // by namespace/name
	tasks    map[types.UID]*task
	asks     map[placer.TaskID]*ask
	lastAsk  placer.TaskID
	nodes    map[string]*node
	byID     map[placer.NodeID]*node
	zones    map[string]int
	racks    map[string]int
	dirty    []*job
	backlog  []*job // jobs with tasks to begin
	admits   bool   // a timer for the backlog is set
	listed   bool   // the inventory was heard of
	stopping bool
	unnamed  int    // tasks that have no final answer yet
	finished []*job // Jobs that have ended, the oldest first; those that are gone are skipped

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
	set := func(p *int, v int) {
		if *p <= 0 {
			*p = v
		}
	}
	set(&cfg.History, DefaultHistory)
	set(&cfg.MaxPods, DefaultMaxPods)
	set(&cfg.AdmitBatch, DefaultAdmitBatch)
	if cfg.Placer.MaxPollInterval <= 0 {
		cfg.Placer.MaxPollInterval = DefaultMaxPollInterval
	}
	if cfg.LostAfter <= 0 {
		cfg.LostAfter = DefaultLostAfter
	}
	if cfg.Retry == (retry.Policy{}) {
		cfg.Retry = retry.DefaultPolicy()
	}
	e := &Engine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6865617468)),
		store: store.NewBounded(cfg.BaseRev, cfg.History, cfg.MaxHistory), jobs: map[string]*job{}, tasks: map[types.UID]*task{},
		asks: map[placer.TaskID]*ask{}, nodes: map[string]*node{}, byID: map[placer.NodeID]*node{},
		zones: map[string]int{cfg.Zone: 0}, racks: map[string]int{}}
	e.cfg.Placer.Zone = 0
	p, err := placer.New(e.cfg.Placer, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.module = eventqueue.Queue{Placer: p, Execute: e.carryOut}
	if e.cfg.Admission.MaxWaiting == 0 {
		e.cfg.Admission = admission.DefaultConfig()
		e.cfg.Admission.Disabled = true
	}
	e.cfg.Admission.Shares = nil
	for _, t := range cfg.Placer.Tenants {
		e.cfg.Admission.Shares = append(e.cfg.Admission.Shares, t.Share)
	}
	if e.gate, err = admission.New(e.cfg.Admission); err != nil {
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
	e.begin(now)
	// What is added meanwhile for now waits for the next call.
	for n := e.timers.Len(); n > 0; n-- {
		t := e.timers.Pop(e.now)
		if t == nil {
			break
		}
		t.Run()
	}
	e.end()
}

// Admission is the front door, to be read between calls.
func (e *Engine) Admission() *admission.Controller { return e.gate }

// OpenTasks is the number of tasks without a final answer.
func (e *Engine) OpenTasks() int { return e.unnamed }

// Stop turns new Jobs away from now on and gives every task that waits its final answer as soon as the rules allow: tasks
// are not asked again.
func (e *Engine) Stop(now float64) {
	e.begin(now)
	e.stopping = true
	for _, t := range e.sortedTasks() {
		if t.phase == asking && t.ask.queued {
			e.withdraw(t)
			t.phase = waiting
		}
		if t.phase == waiting && !t.inDoubt() {
			e.settle(t, e.endOf(t), "the scheduler stops")
		}
	}
	e.end()
}

// begin and end stand around every call.
func (e *Engine) begin(now float64) { e.now = max(e.now, now) }

func (e *Engine) end() {
	e.drainQueue()
	e.openGate()
	dirty := e.dirty
	e.dirty = nil
	for _, j := range dirty {
		j.dirty = false
		e.flushJob(j)
	}
	e.drainQueue()
}

// feed queues an event for the module, drainQueue hands over what is queued.
func (e *Engine) feed(ev placer.Event) { e.module.Post(ev) }

func (e *Engine) drainQueue() { e.module.Run(e.now) }

func (e *Engine) carryOut(a *placer.Action) {
	switch a.Kind {
	case placer.StartAttempt:
		e.offer(a)
	case placer.Reject:
		e.answered(a.Task, retry.Rejected, a.After)
	case placer.Fail:
		e.answered(a.Task, retry.Failed, 0)
	case placer.SetTimer:
		token := a.Token
		e.after(eventqueue.Delay(a.After), func() { e.feed(placer.Event{Kind: placer.TimerFired, Token: token}); e.drainQueue() })
	case placer.WatchNodes, placer.ListNodes:
		e.effect(Effect{Kind: RelistNodes})
	case placer.Migrate:
		e.move(a.Task)
	}
}

func (e *Engine) effect(x Effect) { e.effects = append(e.effects, x) }

// timer is a function that runs in a later Tick.
type timer = timerqueue.Timer

func (e *Engine) at(at float64, fn func()) *timer { return e.timers.Add(at, fn) }

func (e *Engine) after(d float64, fn func()) *timer { return e.at(e.now+max(d, 0), fn) }

func (e *Engine) stopTimer(t *timer) { e.timers.Stop(t) }

// newUID makes a random identity in the form of a UUID, from the engine's own seed.
func (e *Engine) newUID() types.UID {
	a, b := e.rng.Uint64(), e.rng.Uint64()
	return types.UID(fmt.Sprintf("%08x-%04x-4%03x-%04x-%012x", uint32(a), uint16(a>>32), a>>52,
		0x8000|uint16(b)&0x3fff, b>>16))
}

const suffixLetters = "bcdfghjklmnpqrstvwxz2456789"

// suffix makes five letters for generated names, as the Kubernetes API does.
func (e *Engine) suffix() string {
	b := make([]byte, 5)
	for i := range b {
		b[i] = suffixLetters[e.rng.IntN(len(suffixLetters))]
	}
	return string(b)
}

// serviceID is the same at every scheduler for the same service.
func serviceID(namespace, service string) placer.ServiceID {
	return placer.ServiceID(xxhash.Sum64String(namespace + "/" + service))
}

func (e *Engine) sortedTasks() []*task {
	out := make([]*task, 0, len(e.tasks))
	for _, t := range e.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

func intern(m map[string]int, name string) int {
	i, ok := m[name]
	if !ok {
		i = len(m)
		m[name] = i
	}
	return i
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

func jobKey(j *batchv1.Job) string { return store.Key(j.Namespace, j.Name) }

func setCondition(conds []corev1.PodCondition, c corev1.PodCondition) []corev1.PodCondition {
	for i := range conds {
		if conds[i].Type == c.Type {
			if conds[i].Status == c.Status {
				c.LastTransitionTime = conds[i].LastTransitionTime
			}
			conds[i] = c
			return conds
		}
	}
	return append(conds, c)
}

// tenant is the number of a namespace, and whether it may ask.
func (e *Engine) tenant(namespace string) (int, bool) {
	for i, n := range e.cfg.Tenants {
		if n == namespace {
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
		ns := &corev1.Namespace{}
		ns.Name, ns.UID = name, e.newUID()
		ns.Labels = map[string]string{"kubernetes.io/metadata.name": name}
		ns.Status.Phase = corev1.NamespaceActive
		e.store.Put(store.Namespaces, ns)
	}
}
