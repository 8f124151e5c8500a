// Package nodesim simulates one node of a cluster as a scheduler sees it. The node decides on one request at a time and accepts within
// limits, starts a few tasks at a time (more slowly while it warms up or if the program is not cached), evicts a task when memory runs out,
// preempts tasks of lower priority, terminates its tasks when it drains, and fails if it is overloaded while it warms up.
//
// Begin reading at Node in this file. Requests arrive by Submit (request.go), accepted ones become tasks (lifecycle.go), and callers fetch the
// effects by Ready or DispatchEffects. Package emulator serves a node on a socket, package simulation runs it in simulated time.
//
// The package is pure: time is passed in, random numbers come from a seed, and results are returned as effects.
package nodesim

import (
	"math"
	"math/rand/v2"
	"slices"

	"heathshed/internal/control/timerqueue"
	"heathshed/placer"
)

// amount is a quantity of both resources: cores, and memory in GiB.
type amount struct{ cores, memory float64 }

func (a *amount) add(cores, memory float64) {
	a.cores += cores
	a.memory += memory
}

func (a *amount) subtract(cores, memory float64) {
	a.cores -= cores
	a.memory -= memory
}

// Node is one incarnation of a node: after a crash the caller replaces it by a new one. It owns its tasks and its queue; callers only read the
// tasks. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	now     placer.Seconds // Unix time or simulated
	timers  timerqueue.Queue[placer.Seconds]
	effects []Effect

	warmUp   warmUpPhase
	overload overloadDetector
	programs programCache
	fences   fenceTable

	queue      []Request // waiting for a decision
	deciding   bool      // a decision on the first request of queue is in progress
	startQueue []*Task
	starting   int // starts in progress

	tasks    map[string]*Task // by UID, until TerminatedRetention after their end
	active   []*Task          // in order of acceptance; tasks that have ended are removed by activeTasks
	sequence int              // of the task accepted last
	started  map[string]bool  // UIDs whose start has begun

	requested    amount // sum over the active tasks
	used         amount // sum over the running tasks
	draining     bool
	overloaded   bool // the node has failed
	stalledUntil placer.Seconds

	// RejectHook, if set, is called for each request, and rejects it by returning a reason other than None. It is for fault injection.
	RejectHook func(*Request) Reason
	// Starts counts starts that have begun. DuplicateStarts counts those of a UID that had begun before; it is 0 unless the simulation has a fault.
	Starts, DuplicateStarts int
}

// randomStream is the second word of the seed of a node's random source.
const randomStream = 0x6d616368

// New returns a node that starts at the given time.
func New(cfg Config, now placer.Seconds) *Node {
	n := &Node{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		now:      now,
		warmUp:   newWarmUpPhase(cfg.WarmUp, now, cfg.Cold),
		overload: overloadDetector{config: cfg.Overload},
		programs: programCache{size: cfg.Starts.ProgramCacheSize, running: map[string]int{}},
		fences:   fenceTable{attempts: map[string]int{}},
		tasks:    map[string]*Task{},
		started:  map[string]bool{},
	}
	n.schedule(now+usageInterval, n.updateUsage)
	return n
}

// Ready returns the effects since the last call and clears them.
func (n *Node) Ready() []Effect {
	effects := n.effects
	n.effects = nil
	return effects
}

// DispatchEffects passes effects to handle in order, including those that occur meanwhile, until there are none left. If handle returns false,
// DispatchEffects stops and returns false.
func (n *Node) DispatchEffects(handle func(*Effect) bool) bool {
	for {
		effects := n.Ready()
		if len(effects) == 0 {
			return true
		}
		for i := range effects {
			if !handle(&effects[i]) {
				return false
			}
		}
	}
}

// NextWake returns the time at which Tick must be called next.
func (n *Node) NextWake() placer.Seconds { return n.timers.NextTimeOr(placer.Seconds(math.Inf(1))) }

// Tick runs the timers that are due.
func (n *Node) Tick(now placer.Seconds) {
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

// schedule sets a timer, whose function Tick runs at the given time.
func (n *Node) schedule(at placer.Seconds, run func()) { n.timers.Add(at, run) }

// emit adds an effect, which Ready returns.
func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

// Config returns the configuration that New was called with.
func (n *Node) Config() Config { return n.cfg }

// Free returns the resources that no active task requested. They are negative on an overcommitted node.
func (n *Node) Free() (cores, memory float64) {
	return n.cfg.Cores - n.requested.cores, n.cfg.Memory - n.requested.memory
}

// Unused returns the resources that are not in use, as of the last update.
func (n *Node) Unused() (cores, memory float64) {
	return max(n.cfg.Cores-n.used.cores, 0), max(n.cfg.Memory-n.used.memory, 0)
}

// Utilization returns the fraction of the cores in use, at most 1.
func (n *Node) Utilization() float64 { return min(n.used.cores/n.cfg.Cores, 1) }

// QueueLength returns the number of requests and starts that wait.
func (n *Node) QueueLength() int { return len(n.queue) + len(n.startQueue) }

// ActiveTasks returns the number of tasks that were accepted and have not ended.
func (n *Node) ActiveTasks() int {
	count := 0
	for _, task := range n.active {
		if !task.ended() {
			count++
		}
	}
	return count
}

// activeTasks returns the tasks that were accepted and have not ended, oldest first, in a slice that the caller may keep.
func (n *Node) activeTasks() []*Task {
	n.active = slices.DeleteFunc(n.active, (*Task).ended)
	return slices.Clone(n.active)
}

// StallUntil delays every decision and start that begins before the given time until then. It is for fault injection.
func (n *Node) StallUntil(until placer.Seconds) { n.stalledUntil = until }

// Draining reports whether the node drains.
func (n *Node) Draining() bool { return n.draining }

// SetDraining begins or cancels a drain.
func (n *Node) SetDraining(now placer.Seconds, draining bool) {
	if draining {
		n.Drain(now)
	} else {
		n.Undrain(now)
	}
}

// Drain rejects all requests from now on, and terminates the active tasks after DrainGrace.
func (n *Node) Drain(now placer.Seconds) {
	n.Tick(now)
	if n.draining {
		return
	}
	n.draining = true
	if n.cfg.DrainGrace < 0 {
		return
	}
	n.schedule(n.now+n.cfg.DrainGrace, func() {
		if !n.draining {
			return
		}
		for _, task := range n.activeTasks() {
			n.terminate(task, Terminated, Drained)
		}
	})
}

// Undrain cancels a drain. Tasks that the drain terminated are not started again.
func (n *Node) Undrain(now placer.Seconds) {
	n.Tick(now)
	n.draining = false
}
