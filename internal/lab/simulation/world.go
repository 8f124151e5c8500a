// Package simulation runs schedulers, nodes and an inventory in simulated time: the engine and placer that also run on sockets, the nodes that
// the emulator also runs, links with latency and loss between them, and the plans of load and faults of package scenario.
//
// The command scenario and package metastability call it; package faultinjection uses its names of nodes and schedulers, its Jobs and its audit
// classes. Begin reading at World in this file: New starts everything, and Run performs a plan (plan.go) and runs timers in order of time. All
// code of a World runs in the goroutine that calls it.
//
// The package is pure: the same configuration and plan give the same events on any machine.
package simulation

import (
	"math"
	"math/rand/v2"

	"heathshed/internal/control/timerqueue"
	"heathshed/internal/kube/engine"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/lab/scenario"
	"heathshed/placer"
)

// NodeConfig configures one simulated node.
type NodeConfig struct {
	scenario.Node
	Sim nodesim.Config
}

// Config configures a World.
type Config struct {
	Seed       uint64
	StartTime  placer.Seconds // Unix time
	Schedulers []engine.Config
	Nodes      []NodeConfig
	Priorities map[string]int // of classes
	Links      Links
	Inventory  Inventory

	KeepEvents bool         // record events for the auditor
	Rules      audit.Config // that the auditor checks
	// AfterEngineCall, if set, is called after every call of an engine, to check invariants.
	AfterEngineCall func(world *World, scheduler int)
}

// Links describes the connections between schedulers and nodes.
type Links struct {
	LatencyMin, LatencyMax placer.Seconds // one way
	ConnectTimeout         placer.Seconds // until a connection to an unreachable node fails; 0 is the default
	AttemptLossRate        float64        // probability that a connection breaks before the node reads an attempt
	AnswerLossRate         float64        // probability that a connection breaks after the node has accepted an attempt
}

// Inventory configures the inventory. 0 selects the defaults of ReportInterval and UnresponsiveAfter.
type Inventory struct {
	ReportInterval    placer.Seconds // between reports of a node to the inventory
	ReportDelay       placer.Seconds // until the inventory shows a report
	UnresponsiveAfter placer.Seconds // without a report, a node is shown as not ready
}

// Defaults of a Config.
const (
	defaultConnectTimeout    placer.Seconds = 1
	defaultReportInterval    placer.Seconds = 0.5
	defaultUnresponsiveAfter placer.Seconds = 2
)

// never is the time of a timer that is not set.
var never = placer.Seconds(math.Inf(1))

// randomStream is the second word of the seed of a world's random source.
const randomStream = 0x6d6f64656c

// World is one run of a simulation. It owns the schedulers, the nodes, the inventory and the timers of all of them. It is not safe for concurrent
// use.
type World struct {
	cfg         Config
	rng         *rand.Rand
	now         placer.Seconds // Unix time
	timers      timerqueue.Queue[placer.Seconds]
	steps       int
	schedulers  []*scheduler
	nodes       []*node
	nodesByName map[string]*node
	inventory   inventory

	Events     []audit.Event    // if Config.KeepEvents is set
	Placements []Placement      // of all placed tasks, in order of their placement
	CreatedAt  []placer.Seconds // when each task was created
}

// Placement is a task that was placed.
type Placement struct {
	CreatedAt placer.Seconds
	Latency   placer.Seconds // from the creation to the placement
}

// New returns a world at its start: the nodes run and are listed, and the schedulers have just started.
func New(cfg Config) (*World, error) {
	if cfg.Links.ConnectTimeout <= 0 {
		cfg.Links.ConnectTimeout = defaultConnectTimeout
	}
	if cfg.Inventory.ReportInterval <= 0 {
		cfg.Inventory.ReportInterval = defaultReportInterval
	}
	if cfg.Inventory.UnresponsiveAfter <= 0 {
		cfg.Inventory.UnresponsiveAfter = defaultUnresponsiveAfter
	}
	w := &World{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		now:         cfg.StartTime,
		nodesByName: map[string]*node{},
	}
	w.inventory = inventory{world: w, entries: map[string]*inventoryEntry{}}
	for i := range cfg.Nodes {
		n := &node{world: w, cfg: cfg.Nodes[i]}
		w.nodes = append(w.nodes, n)
		w.nodesByName[n.cfg.Name] = n
		n.start(n.cfg.Sim.Cold)
		w.inventory.add(n.object())
		w.after(cfg.Inventory.ReportInterval*placer.Seconds(w.rng.Float64()), n.report)
	}
	for i := range cfg.Schedulers {
		s := &scheduler{world: w, index: i, cfg: cfg.Schedulers[i]}
		w.schedulers = append(w.schedulers, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	w.after(inventoryCheckInterval, w.inventory.checkUnresponsive)
	return w, nil
}

// Now returns the simulated time as Unix time.
func (w *World) Now() placer.Seconds { return w.now }

// Steps returns the number of timers that have run so far.
func (w *World) Steps() int { return w.steps }

// Engine returns the engine of a scheduler, nil while the scheduler is down.
func (w *World) Engine(i int) *engine.Engine { return w.schedulers[i].engine }

// after schedules a function to run after a delay. A negative delay counts as 0.
func (w *World) after(delay placer.Seconds, run func()) { w.at(w.now+max(delay, 0), run) }

// at schedules a function to run at a time, or now if that is in the past. Functions of equal time run in the order in which they were scheduled.
func (w *World) at(at placer.Seconds, run func()) { w.timers.Add(max(at, w.now), run) }

// Run performs a plan, whose times are relative to now, and advances the simulated time by a duration.
func (w *World) Run(plan []scenario.Action, duration placer.Seconds) {
	start := w.now
	for i := range plan {
		action := &plan[i]
		w.at(start+action.At, func() { w.perform(action) })
	}
	end := start + duration
	for next := w.timers.Pop(end); next != nil; next = w.timers.Pop(end) {
		w.now = next.At
		w.steps++
		next.Run()
	}
	w.now = end
}
