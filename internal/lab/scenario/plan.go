package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"heathshed/internal/lab/emulator/fault"
	"heathshed/placer"
)

// Seeds of the two random sequences of a plan, combined with the script's seed. The load does not depend on the random numbers of faults.
const (
	faultSeed = 0x626164646179
	loadSeed  = 0x6c6f6164
)

// Node is a node of the cluster to which a plan applies.
type Node struct{ Name, Zone, Rack, Kind string }

// ActionKind selects the operation of an action.
type ActionKind uint8

// The actions, with the fields that they read.
const (
	SubmitJob       ActionKind = iota + 1 // Job
	DeleteJob                             // Job
	InjectNodeFault                       // Node, NodeFault
	CutInventory                          // Outage
	KillScheduler                         // Scheduler, Downtime
	DrainNode                             // Node; ordered at every scheduler
	UndrainNode                           // Node; ordered at every scheduler
)

// Job is a job to submit or delete.
type Job struct {
	Name, Namespace, Class, Service string
	Scheduler                       int // index of the scheduler to which it is submitted
	Tasks                           int
	Cores, Memory                   float64        // of a task; memory in GiB
	Lifetime                        placer.Seconds // of a task
	BackoffLimit                    int
}

// Action is one step of a plan.
type Action struct {
	At        placer.Seconds // from the start
	Kind      ActionKind
	Job       *Job
	Node      string
	NodeFault fault.Node
	Outage    placer.Seconds
	Scheduler int
	Downtime  placer.Seconds
}

// Plan returns the actions of a script in order of time.
func (s *Script) Plan(nodes []Node) []Action {
	p := &planner{script: s, nodes: nodes, rng: rand.New(rand.NewPCG(s.Seed, faultSeed))}
	for i := range s.Faults {
		spec := &s.Faults[i]
		if plan := faultPlanners[spec.Kind]; plan != nil {
			plan(p, spec)
		}
	}
	p.rng = rand.New(rand.NewPCG(s.Seed, loadSeed))
	p.addLoad()
	slices.SortStableFunc(p.actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return p.actions
}

// planner collects the actions of a plan. rng is the random sequence of the faults first, then that of the load.
type planner struct {
	script  *Script
	nodes   []Node
	rng     *rand.Rand
	actions []Action
}

// faultPlanners adds the actions of each kind of fault. Bursts and flushes are part of the load.
var faultPlanners = map[string]func(*planner, *Fault){
	classFail: func(p *planner, spec *Fault) {
		p.injectEach(spec, fault.Node{Error: spec.Duration, Class: spec.Class})
	},
	fastErrors:    func(p *planner, spec *Fault) { p.injectEach(spec, fault.Node{Error: spec.Duration}) },
	refuse:        func(p *planner, spec *Fault) { p.injectEach(spec, fault.Node{Reject: spec.Duration}) },
	crash:         func(p *planner, spec *Fault) { p.injectEach(spec, fault.Node{Crash: downtime(spec.Duration)}) },
	reconnect:     func(p *planner, spec *Fault) { p.injectEach(spec, fault.Node{Reset: spec.Duration}) },
	loseAnswers:   func(p *planner, spec *Fault) { p.injectEach(spec, fault.Node{LoseAnswer: spec.Duration}) },
	trickle:       func(p *planner, spec *Fault) { p.injectEach(spec, fault.Node{Trickle: spec.Duration}) },
	clocks:        (*planner).skewClocks,
	massRestart:   (*planner).restartNodes,
	discoveryDown: (*planner).cutInventory,
	pauses:        (*planner).pauseNodes,
	preempt:       (*planner).preemptNodes,
	shrink:        (*planner).shrinkCluster,
	grow:          (*planner).growCluster,
	zoneCut:       (*planner).cutZone,
	drain:         (*planner).drainNodes,
	rollingKill:   (*planner).killSchedulers,
}

// downtime returns the time for which a crashed node stays down. It is above 0, since a crash of 0 s is no fault.
func downtime(seconds float64) float64 { return max(seconds, 0.1) }

func (p *planner) add(action Action) { p.actions = append(p.actions, action) }

func (p *planner) inject(at float64, node Node, nodeFault fault.Node) {
	p.add(Action{At: placer.Seconds(at), Kind: InjectNodeFault, Node: node.Name, NodeFault: nodeFault})
}

// injectEach injects the same fault into the nodes of a spec, at its time.
func (p *planner) injectEach(spec *Fault, nodeFault fault.Node) {
	for _, node := range p.pickNodes(spec.Fraction, nil) {
		p.inject(spec.At, node, nodeFault)
	}
}

// pickNodes draws a fraction of the eligible nodes, at least one if there is any. A nil function makes all nodes eligible. A fraction of 0 means
// all of them.
func (p *planner) pickNodes(fraction float64, isEligible func(Node) bool) []Node {
	var eligible []Node
	for _, node := range p.nodes {
		if isEligible == nil || isEligible(node) {
			eligible = append(eligible, node)
		}
	}
	if fraction == 0 {
		fraction = 1
	}
	p.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	count := max(1, int(math.Round(fraction*float64(len(eligible)))))
	return eligible[:min(len(eligible), count)]
}

func (p *planner) skewClocks(spec *Fault) {
	for i, node := range p.pickNodes(spec.Fraction, nil) {
		skew := -spec.Scale
		if i%3 == 2 {
			skew = spec.Scale / 2
		}
		p.inject(spec.At, node, fault.Node{ClockSkew: skew})
	}
}

func (p *planner) restartNodes(spec *Fault) {
	for _, node := range p.pickNodes(spec.Fraction, nil) {
		at := spec.At + spec.Duration*p.rng.Float64()
		p.inject(at, node, fault.Node{Crash: 1 + p.rng.Float64()})
	}
}

func (p *planner) cutInventory(spec *Fault) {
	p.add(Action{At: placer.Seconds(spec.At), Kind: CutInventory, Outage: placer.Seconds(spec.Duration)})
}

func (p *planner) pauseNodes(spec *Fault) {
	const interval = 2 // seconds
	for _, node := range p.pickNodes(spec.Fraction, nil) {
		for at := spec.At + interval*p.rng.Float64(); at < spec.At+spec.Duration; at += interval {
			p.inject(at, node, fault.Node{Stall: 0.2 + 0.3*p.rng.Float64()})
		}
	}
}

func (p *planner) preemptNodes(spec *Fault) {
	const notice = 2 // seconds from the drain to the crash
	kind := p.nodes[p.rng.IntN(len(p.nodes))].Kind
	for _, node := range p.pickNodes(spec.Fraction, func(node Node) bool { return node.Kind == kind }) {
		p.inject(spec.At, node, startDrain())
		p.inject(spec.At+notice, node, fault.Node{Crash: downtime(spec.Duration)})
	}
}

func (p *planner) shrinkCluster(spec *Fault) {
	const notice = 3 // seconds from the drain to the crash
	for _, node := range p.pickNodes(spec.Fraction, nil) {
		at := spec.At + min(spec.Duration/3, 5)*p.rng.Float64()
		p.inject(at, node, startDrain())
		p.inject(at+notice, node, fault.Node{Crash: downtime(spec.Duration - notice)})
	}
}

func startDrain() fault.Node {
	draining := true
	return fault.Node{Drain: &draining}
}

// growCluster keeps nodes down from the start until the time of the fault.
func (p *planner) growCluster(spec *Fault) {
	for _, node := range p.pickNodes(spec.Fraction, nil) {
		p.inject(0, node, fault.Node{Crash: downtime(spec.At) + 3*p.rng.Float64()})
	}
}

func (p *planner) cutZone(spec *Fault) {
	name := spec.Name
	if name == "" {
		name = p.nodes[0].Rack
	}
	for _, node := range p.pickNodes(1, func(node Node) bool { return node.Zone == name || node.Rack == name }) {
		p.inject(spec.At, node, fault.Node{Unreachable: spec.Duration})
	}
}

func (p *planner) drainNodes(spec *Fault) {
	for _, node := range p.pickNodes(spec.Fraction, nil) {
		p.add(Action{At: placer.Seconds(spec.At), Kind: DrainNode, Node: node.Name})
		p.add(Action{At: placer.Seconds(spec.At + spec.Duration), Kind: UndrainNode, Node: node.Name})
	}
}

func (p *planner) killSchedulers(spec *Fault) {
	count := max(1, int(math.Round(max(spec.Fraction, 0.01)*float64(p.script.Schedulers))))
	for i, scheduler := range p.rng.Perm(p.script.Schedulers)[:count] {
		at := spec.At + spec.Duration*float64(i)/float64(count)
		restartAfter := placer.Seconds(1 + p.rng.Float64())
		p.add(Action{At: placer.Seconds(at), Kind: KillScheduler, Scheduler: scheduler, Downtime: restartAfter})
	}
}
