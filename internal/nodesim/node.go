// Package machine is a model of one machine of the cluster as the schedulers meet it: it looks at one offer at a time,
// accepts within limits, starts a few tasks at a time, slowly while it is cold or has not the program, keeps programs, evicts
// when memory runs out, pushes out lower priorities, sends tasks away when it drains, and falls over when pushed while cold.
//
// It is pure: time is passed in, randomness comes from its seed, what happens comes out as effects. The stand-in puts it on a
// socket.
package nodesim

import (
	"math/rand/v2"
	"slices"
	"sort"

	"heathshed/internal/timerqueue"
)

// Config is a machine. Times are in seconds, memory in GiB.
type Config struct {
	Cores, Memory                      float64
	OvercommitCores, OvercommitMemory  float64 // accepts asks up to these multiples of its size
	DecisionDelayMin, DecisionDelayMax float64 // time to look at an offer
	MaxQueued                          int     // offers that may wait
	MaxConcurrentStarts                int
	StartSeconds                       float64 // time of a start with the program at hand, when warm
	UncachedStartFactor                float64 // and this many times it without
	ProgramCacheSize                   int
	InitialPace, WarmUpSeconds         float64 // pace of starts after it came up, and until it is whole
	OverloadFactor                     float64 // falls over at this many times what it can start
	OverloadWindow                     float64
	OverloadMinRequests                float64 // offers in a window that it always bears
	AnswerWhenRunning                  bool
	Preempts                           bool
	LifetimeMean                       float64 // of tasks that name none
	UsageMin, UsageMax                 float64 // part of what a task asks that it uses
	DrainGrace                         float64 // a draining machine sends its tasks away after this; below 0 never
	TerminatedRetention                float64 // how long ended tasks are shown
	Cold                               bool    // it comes up cold
	Seed                               uint64
}

// DefaultConfig is a mid-sized warm machine.
func DefaultConfig() Config {
	return Config{Cores: 32, Memory: 64, OvercommitCores: 2, OvercommitMemory: 1.5, DecisionDelayMin: 0.002, DecisionDelayMax: 0.006, MaxQueued: 64,
		MaxConcurrentStarts: 4, StartSeconds: 0.03, UncachedStartFactor: 6, ProgramCacheSize: 8, InitialPace: 0.2, WarmUpSeconds: 15, OverloadFactor: 4,
		OverloadWindow: 3, OverloadMinRequests: 8, Preempts: true, LifetimeMean: 20, UsageMin: 0.4, UsageMax: 0.8, DrainGrace: 0, TerminatedRetention: 60}
}

// Reason of a refusal or an end.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode
	Evicted
	Preempted
	Drained
	Stopped
	NeverRan // stopped or sent away before it ran
)

// Phase of a task.
type Phase uint8

// The phases.
const (
	Accepted Phase = iota
	Running
	Succeeded
	Terminated // see Reason
)

// Request is what a scheduler asks.
type Request struct {
	UID           string
	Attempt       int
	Service       string
	Cores, Memory float64
	Priority      int
	Lifetime      float64 // 0 draws one
	Payload       any
}

// Task is an accepted offer.
type Task struct {
	Request
	Phase                     Phase
	Reason                    Reason
	UsedCores, UsedMemory     float64
	ran                       bool
	answered                  bool
	coresFactor, memoryFactor float64
	startedAt, terminatedAt   float64
	sequence                  int
}

// Ran says whether the task ever ran.
func (task *Task) Ran() bool { return task.ran }

// EffectKind selects what an effect says.
type EffectKind uint8

// The effects: Answered has UID, Attempt and either Task or Reason; Changed has Task; Forgotten has Task; Fell: the machine
// fell over and is gone.
const (
	Answered EffectKind = iota + 1
	Changed
	Removed
	Overloaded
)

// Effect is something that others see.
type Effect struct {
	Kind    EffectKind
	UID     string
	Attempt int
	Task    *Task
	Reason  Reason
}

// Node is one machine in one life.
type Node struct {
	cfg            Config
	rng            *rand.Rand
	now            float64
	warmUpStart    float64
	queue          []Request
	deciding       bool
	tasks          map[string]*Task
	active         []*Task        // in order of acceptance; ended ones are taken out at the next breath
	running        map[string]int // tasks that run, by service
	fenced         map[string]int // attempts up to this are not taken any more
	fencedOrder    []string       // of sealed, oldest first
	cachedPrograms []string
	starting       int
	startQueue     []*Task
	requested      struct{ cores, memory float64 }
	used           struct{ cores, memory float64 }
	recentRequests []recentRequest
	draining       bool
	overloaded     bool
	sequence       int
	timers         timerqueue.Queue
	effects        []Effect

	// Refuse, when set, refuses offers of its choice; Stall holds decisions back until then. For fault injection.
	RejectHook   func(o *Request) Reason
	stalledUntil float64
	// Starts and Duplicates count begun starts, and starts of a uid that had begun before in this life: always 0.
	Starts, DuplicateStarts int
	started                 map[string]bool
}

type recentRequest struct{ at, weight float64 }

// New makes a machine that comes up now.
func New(cfg Config, now float64) *Node {
	n := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d616368)), now: now, warmUpStart: now, tasks: map[string]*Task{},
		fenced: map[string]int{}, started: map[string]bool{}, running: map[string]int{}}
	if !cfg.Cold {
		n.warmUpStart = now - cfg.WarmUpSeconds
	}
	n.schedule(now+1, n.updateUsage)
	return n
}

// Ready takes the effects that have come up.
func (n *Node) Ready() []Effect {
	effects := n.effects
	n.effects = nil
	return effects
}

// NextWake is when Tick wants to be called.
func (n *Node) NextWake() float64 { return n.timers.Next() }

// Tick lets due timers run.
func (n *Node) Tick(now float64) {
	for !n.overloaded {
		timer := n.timers.Pop(now)
		if timer == nil {
			break
		}
		n.now = max(n.now, timer.At)
		timer.Run()
	}
	n.now = max(n.now, now)
}

// Free is what nobody asked for.
func (n *Node) Free() (cores, memory float64) {
	return n.cfg.Cores - n.requested.cores, n.cfg.Memory - n.requested.memory
}

// Unused is what is not in use.
func (n *Node) Unused() (cores, memory float64) {
	return max(n.cfg.Cores-n.used.cores, 0), max(n.cfg.Memory-n.used.memory, 0)
}

// Utilization is the part of the cores in use, Waiting the offers and starts that wait.
func (n *Node) Utilization() float64 { return min(n.used.cores/n.cfg.Cores, 1) }

// QueueLength is the number of offers and starts that wait.
func (n *Node) QueueLength() int { return len(n.queue) + len(n.startQueue) }

// ActiveTasks is the number of tasks held.
func (n *Node) ActiveTasks() int {
	count := 0
	for _, task := range n.active {
		if task.Phase <= Running {
			count++
		}
	}
	return count
}

// Config is what the machine was made with.
func (n *Node) Config() Config { return n.cfg }

// Draining says whether it drains.
func (n *Node) Draining() bool { return n.draining }

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

// pace is the part of its full pace at which the machine starts tasks now.
func (n *Node) pace() float64 {
	if n.cfg.WarmUpSeconds <= 0 || n.now >= n.warmUpStart+n.cfg.WarmUpSeconds {
		return 1
	}
	return n.cfg.InitialPace + (1-n.cfg.InitialPace)*(n.now-n.warmUpStart)/n.cfg.WarmUpSeconds
}

// Submit takes an offer. The answer comes as an effect, for a repeat or a full line at once.
func (n *Node) Submit(now float64, request Request) {
	n.Tick(now)
	if n.overloaded {
		return
	}
	n.recordRequest(request)
	if n.overloaded {
		return
	}
	if task := n.tasks[request.UID]; task.isRepeatedBy(&request) {
		// A repeat starts nothing.
		n.emit(Effect{Kind: Answered, UID: request.UID, Attempt: request.Attempt, Task: task})
		return
	}
	if len(n.queue) >= n.cfg.MaxQueued {
		n.reject(&request, QueueFull)
		return
	}
	n.queue = append(n.queue, request)
	n.decideNext()
}

// recordRequest counts an offer against what a cold machine bears.
func (n *Node) recordRequest(request Request) {
	if n.now >= n.warmUpStart+n.cfg.WarmUpSeconds || n.cfg.OverloadWindow <= 0 {
		n.recentRequests = nil
		return
	}
	for len(n.recentRequests) > 0 && n.recentRequests[0].at < n.now-n.cfg.OverloadWindow {
		n.recentRequests = n.recentRequests[1:]
	}
	n.recentRequests = append(n.recentRequests, recentRequest{n.now, 1})
	total := 0.0
	for _, entry := range n.recentRequests {
		total += entry.weight
	}
	startable := n.pace() * float64(n.cfg.MaxConcurrentStarts) / max(n.cfg.StartSeconds, 1e-6) * n.cfg.OverloadWindow
	if total > n.cfg.OverloadMinRequests && total > n.cfg.OverloadFactor*startable {
		n.overloaded = true
		n.emit(Effect{Kind: Overloaded})
	}
}

func (n *Node) reject(request *Request, reason Reason) {
	n.emit(Effect{Kind: Answered, UID: request.UID, Attempt: request.Attempt, Reason: reason})
}

// decideNext takes the next offer in hand.
func (n *Node) decideNext() {
	if n.deciding || len(n.queue) == 0 {
		return
	}
	n.deciding = true
	delay := n.cfg.DecisionDelayMin + (n.cfg.DecisionDelayMax-n.cfg.DecisionDelayMin)*n.rng.Float64()
	n.schedule(max(n.now, n.stalledUntil)+delay, func() {
		if n.now < n.stalledUntil {
			n.deciding = false
			n.decideNext()
			return
		}
		n.deciding = false
		request := n.queue[0]
		n.queue = n.queue[1:]
		n.decide(&request)
		n.decideNext()
	})
}

// StallUntil holds every decision and start back until then.
func (n *Node) StallUntil(until float64) { n.stalledUntil = until }

// isRepeatedBy says whether an offer repeats one that was accepted: a later attempt of a task that ended here does not.
func (task *Task) isRepeatedBy(request *Request) bool {
	return task != nil && (task.Phase <= Running || request.Attempt <= task.Attempt)
}

func (n *Node) decide(request *Request) {
	if task := n.tasks[request.UID]; task.isRepeatedBy(request) {
		n.emit(Effect{Kind: Answered, UID: request.UID, Attempt: request.Attempt, Task: task})
		return
	}
	if n.RejectHook != nil {
		if reason := n.RejectHook(request); reason != None {
			n.reject(request, reason)
			return
		}
	}
	if n.draining || request.Attempt <= n.fenced[request.UID] {
		n.reject(request, WrongNode)
		return
	}
	if reason := n.shortage(request); reason != None {
		if !n.cfg.Preempts || !n.preemptFor(request) {
			n.reject(request, reason)
			return
		}
	}
	n.sequence++
	span := n.cfg.UsageMax - n.cfg.UsageMin
	task := &Task{Request: *request, coresFactor: n.cfg.UsageMin + span*n.rng.Float64(), memoryFactor: n.cfg.UsageMin + span*n.rng.Float64(), sequence: n.sequence}
	n.tasks[request.UID] = task
	n.active = append(n.active, task)
	n.requested.cores += request.Cores
	n.requested.memory += request.Memory
	n.emit(Effect{Kind: Changed, Task: task})
	if !n.cfg.AnswerWhenRunning {
		n.answer(task)
	}
	n.startQueue = append(n.startQueue, task)
	n.startQueued()
}

func (n *Node) answer(task *Task) {
	if !task.answered {
		task.answered = true
		n.emit(Effect{Kind: Answered, UID: task.UID, Attempt: task.Attempt, Task: task})
	}
}

func (n *Node) shortage(request *Request) Reason {
	const tolerance = 1e-9
	switch {
	case n.requested.cores+request.Cores > n.cfg.Cores*n.cfg.OvercommitCores+tolerance:
		return InsufficientCores
	case n.requested.memory+request.Memory > n.cfg.Memory*n.cfg.OvercommitMemory+tolerance:
		return InsufficientMemory
	}
	return None
}

// preemptFor pushes out tasks of lower priority, the lowest and youngest first, if that is enough.
func (n *Node) preemptFor(request *Request) bool {
	var candidates []*Task
	var lowCores, lowMemory float64
	for _, task := range n.activeTasks() {
		if task.Priority < request.Priority {
			candidates = append(candidates, task)
			lowCores += task.Cores
			lowMemory += task.Memory
		}
	}
	if n.requested.cores-lowCores+request.Cores > n.cfg.Cores*n.cfg.OvercommitCores || n.requested.memory-lowMemory+request.Memory > n.cfg.Memory*n.cfg.OvercommitMemory {
		return false
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		if candidates[i].Priority != candidates[j].Priority {
			return candidates[i].Priority < candidates[j].Priority
		}
		return candidates[i].sequence > candidates[j].sequence
	})
	for _, task := range candidates {
		if n.shortage(request) == None {
			break
		}
		n.terminate(task, Terminated, Preempted)
	}
	return n.shortage(request) == None
}

// activeTasks returns the tasks held, oldest first.
func (n *Node) activeTasks() []*Task {
	n.active = slices.DeleteFunc(n.active, func(task *Task) bool { return task.Phase > Running })
	return slices.Clone(n.active)
}

// startQueued begins as many starts as may go on at a time.
func (n *Node) startQueued() {
	for n.starting < n.cfg.MaxConcurrentStarts && len(n.startQueue) > 0 {
		task := n.startQueue[0]
		n.startQueue = n.startQueue[1:]
		if task.Phase != Accepted {
			continue
		}
		n.starting++
		n.Starts++
		if n.started[task.UID] {
			n.DuplicateStarts++
		}
		n.started[task.UID] = true
		work := n.cfg.StartSeconds
		if !n.programCached(task) {
			work *= max(n.cfg.UncachedStartFactor, 1)
		}
		n.schedule(max(n.now, n.stalledUntil)+work/n.pace(), func() {
			n.starting--
			n.taskStarted(task)
			n.startQueued()
		})
	}
}

// programCached says whether the program of the task's service is at hand.
func (n *Node) programCached(task *Task) bool {
	return n.running[task.Service] > 0 || slices.Contains(n.cachedPrograms, task.Service)
}

func (n *Node) taskStarted(task *Task) {
	if task.Phase != Accepted {
		return
	}
	task.Phase, task.ran, task.startedAt = Running, true, n.now
	n.running[task.Service]++
	n.measureTask(task)
	n.emit(Effect{Kind: Changed, Task: task})
	n.answer(task)
	lifetime := task.Lifetime
	if lifetime <= 0 {
		lifetime = n.cfg.LifetimeMean * (0.3 + n.rng.ExpFloat64()*0.7)
	}
	n.schedule(n.now+lifetime, func() {
		if task.Phase == Running {
			n.terminate(task, Succeeded, None)
		}
	})
}

func (n *Node) terminate(task *Task, phase Phase, reason Reason) {
	if task.Phase > Running {
		return
	}
	n.used.cores -= task.UsedCores
	n.used.memory -= task.UsedMemory
	if task.Phase == Running {
		if n.running[task.Service]--; n.running[task.Service] <= 0 {
			delete(n.running, task.Service)
		}
		if i := slices.Index(n.cachedPrograms, task.Service); i >= 0 {
			n.cachedPrograms = slices.Delete(n.cachedPrograms, i, i+1)
		}
		if n.cachedPrograms = append(n.cachedPrograms, task.Service); len(n.cachedPrograms) > n.cfg.ProgramCacheSize {
			n.cachedPrograms = n.cachedPrograms[1:]
		}
	} else if phase == Terminated && (reason == Stopped || reason == Drained || reason == Preempted) {
		reason = NeverRan
	}
	task.Phase, task.Reason, task.terminatedAt = phase, reason, n.now
	n.requested.cores -= task.Cores
	n.requested.memory -= task.Memory
	if !task.answered {
		task.answered = true
		n.emit(Effect{Kind: Answered, UID: task.UID, Attempt: task.Attempt, Reason: WrongNode})
	}
	n.emit(Effect{Kind: Changed, Task: task})
	n.fence(task.UID, task.Attempt)
	n.schedule(n.now+n.cfg.TerminatedRetention, func() {
		if n.tasks[task.UID] == task {
			delete(n.tasks, task.UID)
			n.emit(Effect{Kind: Removed, Task: task})
		}
	})
}

const maxFenced = 100000

// fence forbids attempts of a task up to the given number.
func (n *Node) fence(uid string, attempt int) {
	if _, ok := n.fenced[uid]; !ok {
		n.fencedOrder = append(n.fencedOrder, uid)
		if len(n.fencedOrder) > maxFenced {
			delete(n.fenced, n.fencedOrder[0])
			n.fencedOrder = n.fencedOrder[1:]
		}
	}
	n.fenced[uid] = max(n.fenced[uid], attempt)
}

// Stop stops a task if the machine has it, and forbids attempts up to the given number if not. had says that it has or had
// the task, ran that it ran.
func (n *Node) Stop(now float64, uid string, attempt int) (had, ran bool) {
	n.Tick(now)
	n.fence(uid, attempt)
	i := slices.IndexFunc(n.queue, func(request Request) bool { return request.UID == uid && request.Attempt <= attempt })
	if i >= 0 && !(i == 0 && n.deciding) {
		request := n.queue[i]
		n.queue = slices.Delete(n.queue, i, i+1)
		n.reject(&request, WrongNode)
	}
	task := n.tasks[uid]
	if task == nil {
		return false, n.started[uid]
	}
	n.terminate(task, Terminated, Stopped)
	return true, task.ran
}

// Drain takes no more tasks, and sends those that it holds away after its grace.
func (n *Node) Drain(now float64) {
	n.Tick(now)
	if n.draining {
		return
	}
	n.draining = true
	if n.cfg.DrainGrace < 0 {
		return
	}
	n.schedule(n.now+n.cfg.DrainGrace, func() {
		if n.draining {
			for _, task := range n.activeTasks() {
				n.terminate(task, Terminated, Drained)
			}
		}
	})
}

// Undrain takes tasks again.
func (n *Node) Undrain(now float64) {
	n.Tick(now)
	n.draining = false
}

// updateUsage lets use wander and evicts when memory runs out.
func (n *Node) updateUsage() {
	for _, task := range n.activeTasks() {
		if task.Phase == Running {
			task.coresFactor = min(max(task.coresFactor+0.04*(n.rng.Float64()-0.5), n.cfg.UsageMin), n.cfg.UsageMax)
		}
	}
	n.sumUsage()
	for n.used.memory > n.cfg.Memory {
		active := n.activeTasks()
		var worst *Task
		for _, task := range active {
			if task.Phase == Running && (worst == nil || task.Priority < worst.Priority ||
				task.Priority == worst.Priority && task.UsedMemory-task.Memory > worst.UsedMemory-worst.Memory) {
				worst = task
			}
		}
		if worst == nil {
			break
		}
		n.terminate(worst, Terminated, Evicted)
	}
	n.schedule(n.now+1, n.updateUsage)
}

// sumUsage adds up what is in use.
func (n *Node) sumUsage() {
	n.used.cores, n.used.memory = 0, 0
	for _, task := range n.activeTasks() {
		if task.Phase == Running {
			task.UsedCores, task.UsedMemory = 0, 0
			n.measureTask(task)
		}
	}
}

// measureTask brings what a task uses up to date. Memory grows over three seconds after a start.
func (n *Node) measureTask(task *Task) {
	n.used.cores -= task.UsedCores
	n.used.memory -= task.UsedMemory
	task.UsedCores = task.Cores * task.coresFactor
	task.UsedMemory = task.Memory * task.memoryFactor * min(1, 0.4+0.2*(n.now-task.startedAt))
	n.used.cores += task.UsedCores
	n.used.memory += task.UsedMemory
}

func (n *Node) schedule(at float64, run func()) { n.timers.Add(at, run) }
