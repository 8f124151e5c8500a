// Package badday plans a day of load and trouble: a script names how much is asked and what goes wrong when, and becomes a list of
// timed actions. The same plan is carried out over sockets by drill and in simulated time by model.
//
// It is pure: the same script gives the same plan.
package scenario

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"heathshed/internal/emulator/fault"
)

// Script is a day. Times are in seconds from its start.
type Script struct {
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Schedulers int     `json:"schedulers"`
	Nodes      int     `json:"nodes"`
	Load       Load    `json:"load"`
	Faults     []Fault `json:"trouble"`
	// Cooldown is how long nothing new is asked at the end, so that outcomes are in.
	Cooldown float64 `json:"calm"`
}

// Load is what is asked.
type Load struct {
	TasksPerSecond float64            `json:"tasksPerSecond"`
	TasksPerJob    float64            `json:"tasksPerJob"` // on average
	Services       int                `json:"services"`
	Classes        map[string]float64 `json:"classes"` // parts of all tasks
	Tenants        map[string]float64 `json:"tenants"` // parts of all tasks; default only if none
	Cores          float64            `json:"cores"`   // of a task, on average
	Memory         float64            `json:"memory"`
	Lifetime       float64            `json:"life"` // seconds, on average
	BackoffLimit   int                `json:"backoff"`
}

// Fault is something that goes wrong.
type Fault struct {
	Kind     string  `json:"kind"`
	At       float64 `json:"at"`
	Duration float64 `json:"for"`
	Fraction float64 `json:"part"`  // of the machines, services or schedulers
	Scale    float64 `json:"scale"` // of load, or of length
	Class    string  `json:"class"`
	Name     string  `json:"name"` // of a tenant or zone
}

// Node is a machine that the plan may speak of.
type Node struct{ Name, Zone, Rack, Kind string }

// ActionKind says what an action does.
type ActionKind uint8

// The actions. Submit and Delete have Job; Fault has Node and Faults; Inventory has Cut; Kill has Scheduler and For (down that
// long); Drain and Undrain have Node and are ordered at every scheduler.
const (
	SubmitJob ActionKind = iota + 1
	DeleteJob
	InjectNodeFault
	CutInventory
	KillScheduler
	DrainNode
	UndrainNode
)

// Job is a job to submit.
type Job struct {
	Name, Namespace, Class, Service string
	Scheduler                       int
	Tasks                           int
	Cores, Memory, Lifetime         float64
	BackoffLimit                    int
}

// Action is one step of a plan.
type Action struct {
	At              float64
	Kind            ActionKind
	Job             *Job
	Node            string
	NodeFault       fault.Node
	OutageSeconds   float64
	Scheduler       int
	DowntimeSeconds float64
}

// FaultKinds are the kinds of trouble, in order, with what each does.
var FaultKinds = map[string]string{
	"burst":          "load times scale",
	"tenant_burst":   "load of tenant name times scale",
	"class_fail":     "part of the machines answers offers of class with errors",
	"fast_errors":    "part of the machines answers every offer with an error at once",
	"refuse":         "part of the machines refuses everything",
	"crash":          "part of the machines dies at once and comes back cold after for",
	"mass_restart":   "part of the machines restarts, one after another, within for",
	"discovery_down": "the inventory is out of reach",
	"flush":          "part of the services is stopped by its owners and asked for again within seconds",
	"pauses":         "part of the machines stands still for 0.2 to 0.5 s every two seconds",
	"preempt":        "part of the machines of one kind is drained, dies two seconds later, and comes back after for",
	"reconnect":      "part of the machines breaks connections before reading offers",
	"lose_answers":   "part of the machines accepts and breaks the connection instead of answering",
	"trickle":        "part of the machines lets its answers trickle, a few bytes at a time",
	"clocks":         "the clocks of part of the machines are scale seconds behind, or half as many ahead",
	"shrink":         "part of the machines drains and goes away for for",
	"grow":           "part of the machines is there only from at on, cold",
	"zone_cut":       "the machines of zone or rack name (the first rack if none) cannot be reached, their tasks run on",
	"drain":          "part of the machines is drained by an order at the schedulers, and given back after for",
	"balancer_roll":  "part of the schedulers is killed and started again, one after another, within for",
}

// Default is the day of the docs: every kind of trouble once, some at the same time.
func Default() Script {
	script := Script{Seed: 1, Seconds: 600, Schedulers: 3, Nodes: 24, Cooldown: 60,
		Load: Load{TasksPerSecond: 20, TasksPerJob: 5, Services: 40, Classes: map[string]float64{"web": 0.5, "batch": 0.25, "once": 0.05,
			"keyed": 0.1, "spread": 0.1}, Cores: 1, Memory: 2, Lifetime: 12, BackoffLimit: 3}}
	faults := []Fault{
		{Kind: "burst", Duration: 8, Scale: 2}, {Kind: "crash", Duration: 10, Fraction: 0.2}, {Kind: "discovery_down", Duration: 15},
		{Kind: "class_fail", Duration: 12, Fraction: 0.3, Class: "web"}, {Kind: "fast_errors", Duration: 8, Fraction: 0.15}, {Kind: "flush", Duration: 3, Fraction: 0.4},
		{Kind: "mass_restart", Duration: 25, Fraction: 0.8}, {Kind: "pauses", Duration: 20, Fraction: 0.4}, {Kind: "preempt", Duration: 10, Fraction: 0.5},
		{Kind: "reconnect", Duration: 4, Fraction: 0.3}, {Kind: "lose_answers", Duration: 6, Fraction: 0.3}, {Kind: "shrink", Duration: 25, Fraction: 0.3},
		{Kind: "zone_cut", Duration: 10}, {Kind: "tenant_burst", Duration: 8, Scale: 4}, {Kind: "balancer_roll", Duration: 20, Fraction: 1},
		{Kind: "drain", Duration: 20, Fraction: 0.2}, {Kind: "refuse", Duration: 6, Fraction: 0.5}, {Kind: "trickle", Duration: 8, Fraction: 0.3},
	}
	at := 20.0
	for _, fault := range faults {
		fault.At = at
		at += 28
		script.Faults = append(script.Faults, fault)
	}
	script.Faults = append(script.Faults, Fault{Kind: "grow", At: 60, Fraction: 0.15}, Fault{Kind: "clocks", At: 1, Fraction: 0.5, Scale: 40}, Fault{Kind: "crash", At: 140, Duration: 8, Fraction: 0.15},
		Fault{Kind: "discovery_down", At: 210, Duration: 12}, Fault{Kind: "balancer_roll", At: 300, Duration: 10, Fraction: 0.7},
		Fault{Kind: "burst", At: 385, Duration: 8, Scale: 2})
	return script
}

// minFaultDuration is how long a trouble lasts at least in a day that is made shorter, if it did before.
const minFaultDuration = 2.0 // seconds

// Stretch gives a day another length. All of its troubles stay within the part in which tasks are asked for; what is left at the end for
// outcomes to come in does not shrink as fast as the rest.
func (s *Script) Stretch(seconds float64) {
	cooldown := min(s.Cooldown*max(seconds/s.Seconds, 1), max(s.Cooldown*seconds/s.Seconds, seconds/5))
	factor := (seconds - cooldown) / max(s.Seconds-s.Cooldown, 1e-9)
	for i := range s.Faults {
		fault := &s.Faults[i]
		fault.At *= factor
		fault.Duration = min(max(fault.Duration*factor, min(fault.Duration, minFaultDuration)), max(seconds-cooldown-fault.At, 0))
	}
	s.Seconds, s.Cooldown = seconds, cooldown
}

// Validate says what of a script cannot be used, with the path of the field.
func (s *Script) Validate() (path, msg string) {
	load := &s.Load
	for _, field := range []struct {
		path      string
		v, lo, hi float64
	}{{"seconds", s.Seconds, 1, 86400}, {"calm", s.Cooldown, 0, 3600}, {"schedulers", float64(s.Schedulers), 1, 100},
		{"nodes", float64(s.Nodes), 1, 20000}, {"load.tasksPerSecond", load.TasksPerSecond, 0, 1e5}, {"load.tasksPerJob", load.TasksPerJob, 1, 1e5},
		{"load.services", float64(load.Services), 1, 1e6}, {"load.cores", load.Cores, 0, 1e4}, {"load.memory", load.Memory, 0, 1e5},
		{"load.life", load.Lifetime, 0.01, 1e6}, {"load.backoff", float64(load.BackoffLimit), 0, 1000}} {
		if !(field.v >= field.lo && field.v <= field.hi) {
			return field.path, fmt.Sprintf("%v: want %v to %v", field.v, field.lo, field.hi)
		}
	}
	if len(load.Classes) == 0 {
		return "load.classes", "want one at least"
	}
	for i, fault := range s.Faults {
		prefix := fmt.Sprintf("trouble[%d]", i)
		switch {
		case FaultKinds[fault.Kind] == "":
			return prefix + ".kind", fmt.Sprintf("%q: want one of %s", fault.Kind, strings.Join(slices.Sorted(maps.Keys(FaultKinds)), ", "))
		case !(fault.At >= 0) || !(fault.Duration >= 0):
			return prefix + ".at", "want 0 or more"
		case !(fault.Fraction >= 0 && fault.Fraction <= 1):
			return prefix + ".part", "want 0 to 1"
		case !(fault.Scale >= 0):
			return prefix + ".scale", "want 0 or more"
		}
	}
	return "", ""
}

// Plan turns a script into actions in order of time.
func (s *Script) Plan(nodes []Node) []Action {
	planner := &planner{script: s, nodes: nodes, rng: rand.New(rand.NewPCG(s.Seed, 0x626164646179))}
	for i := range s.Faults {
		planner.addFault(&s.Faults[i])
	}
	planner.addLoad()
	sort.SliceStable(planner.actions, func(i, j int) bool { return planner.actions[i].At < planner.actions[j].At })
	return planner.actions
}

type planner struct {
	script  *Script
	nodes   []Node
	rng     *rand.Rand
	actions []Action
}

func (p *planner) add(action Action) { p.actions = append(p.actions, action) }

// pickNodes draws a part of the machines that pass, one at least.
func (p *planner) pickNodes(fraction float64, accept func(Node) bool) []Node {
	var eligible []Node
	for _, node := range p.nodes {
		if accept == nil || accept(node) {
			eligible = append(eligible, node)
		}
	}
	if fraction == 0 {
		fraction = 1
	}
	p.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:min(len(eligible), max(1, int(math.Round(fraction*float64(len(eligible))))))]
}

func (p *planner) addNodeFault(at float64, node Node, nodeFault fault.Node) {
	p.add(Action{At: at, Kind: InjectNodeFault, Node: node.Name, NodeFault: nodeFault})
}

func (p *planner) addFault(spec *Fault) {
	yes := true
	each := func(nodeFault fault.Node) {
		for _, n := range p.pickNodes(spec.Fraction, nil) {
			p.addNodeFault(spec.At, n, nodeFault)
		}
	}
	switch spec.Kind {
	case "class_fail":
		each(fault.Node{Error: spec.Duration, Class: spec.Class})
	case "fast_errors":
		each(fault.Node{Error: spec.Duration})
	case "refuse":
		each(fault.Node{Reject: spec.Duration})
	case "crash":
		each(fault.Node{Crash: max(spec.Duration, 0.1)})
	case "reconnect":
		each(fault.Node{Reset: spec.Duration})
	case "lose_answers":
		each(fault.Node{LoseAnswer: spec.Duration})
	case "trickle":
		each(fault.Node{Trickle: spec.Duration})
	case "clocks":
		for i, n := range p.pickNodes(spec.Fraction, nil) {
			skew := -spec.Scale
			if i%3 == 2 {
				skew = spec.Scale / 2
			}
			p.addNodeFault(spec.At, n, fault.Node{ClockSkew: skew})
		}
	case "mass_restart":
		for _, n := range p.pickNodes(spec.Fraction, nil) {
			p.addNodeFault(spec.At+spec.Duration*p.rng.Float64(), n, fault.Node{Crash: 1 + p.rng.Float64()})
		}
	case "discovery_down":
		p.add(Action{At: spec.At, Kind: CutInventory, OutageSeconds: spec.Duration})
	case "pauses":
		for _, n := range p.pickNodes(spec.Fraction, nil) {
			for at := spec.At + 2*p.rng.Float64(); at < spec.At+spec.Duration; at += 2 {
				p.addNodeFault(at, n, fault.Node{Stall: 0.2 + 0.3*p.rng.Float64()})
			}
		}
	case "preempt":
		kind := p.nodes[p.rng.IntN(len(p.nodes))].Kind
		for _, n := range p.pickNodes(spec.Fraction, func(n Node) bool { return n.Kind == kind }) {
			p.addNodeFault(spec.At, n, fault.Node{Drain: &yes})
			p.addNodeFault(spec.At+2, n, fault.Node{Crash: max(spec.Duration, 0.1)})
		}
	case "shrink":
		for _, n := range p.pickNodes(spec.Fraction, nil) {
			at := spec.At + min(spec.Duration/3, 5)*p.rng.Float64()
			p.addNodeFault(at, n, fault.Node{Drain: &yes})
			p.addNodeFault(at+3, n, fault.Node{Crash: max(spec.Duration-3, 0.1)})
		}
	case "grow":
		for _, n := range p.pickNodes(spec.Fraction, nil) {
			p.addNodeFault(0, n, fault.Node{Crash: max(spec.At, 0.1) + 3*p.rng.Float64()})
		}
	case "zone_cut":
		name := spec.Name
		if name == "" {
			name = p.nodes[0].Rack
		}
		for _, n := range p.pickNodes(1, func(n Node) bool { return n.Zone == name || n.Rack == name }) {
			p.addNodeFault(spec.At, n, fault.Node{Unreachable: spec.Duration})
		}
	case "drain":
		for _, n := range p.pickNodes(spec.Fraction, nil) {
			p.add(Action{At: spec.At, Kind: DrainNode, Node: n.Name})
			p.add(Action{At: spec.At + spec.Duration, Kind: UndrainNode, Node: n.Name})
		}
	case "balancer_roll":
		n := max(1, int(math.Round(max(spec.Fraction, 0.01)*float64(p.script.Schedulers))))
		for i, scheduler := range p.rng.Perm(p.script.Schedulers)[:n] {
			p.add(Action{At: spec.At + spec.Duration*float64(i)/float64(n), Kind: KillScheduler, Scheduler: scheduler, DowntimeSeconds: 1 + p.rng.Float64()})
		}
	}
}

// loadFactor is the load at a time, in parts of the usual, for a tenant.
func (p *planner) loadFactor(at float64, tenant string) float64 {
	factor := 1.0
	for i := range p.script.Faults {
		fault := &p.script.Faults[i]
		if at < fault.At || at >= fault.At+fault.Duration {
			continue
		}
		if fault.Kind == "burst" || fault.Kind == "tenant_burst" && (fault.Name == tenant || fault.Name == "") {
			factor *= max(fault.Scale, 0)
		}
	}
	return factor
}

type service struct {
	name, class, tenant string
	cores, memory, life float64
}

func drawWeighted(rng *rand.Rand, weights map[string]float64, fallback string) string {
	total := 0.0
	names := slices.Sorted(maps.Keys(weights))
	for _, name := range names {
		total += weights[name]
	}
	rest := rng.Float64() * total
	for _, name := range names {
		if rest -= weights[name]; rest < 0 {
			return name
		}
	}
	return fallback
}

// addLoad draws services, and jobs of them as a Poisson process whose rate follows the script. A service has one class, one size,
// one tenant and one scheduler.
func (p *planner) addLoad() {
	// Numbers of its own: the same load with any trouble.
	p.rng = rand.New(rand.NewPCG(p.script.Seed, 0x6c6f6164))
	load := &p.script.Load
	var services []service
	for i := range load.Services {
		size := math.Exp2(float64(p.rng.IntN(4)) - 1.5)
		services = append(services, service{name: fmt.Sprintf("service-%03d", i+1), class: drawWeighted(p.rng, load.Classes, ""),
			tenant: drawWeighted(p.rng, load.Tenants, "default"), cores: max(0.05, math.Round(load.Cores*size*20)/20),
			memory: max(0.05, math.Round(load.Memory*size*20)/20), life: load.Lifetime * (0.5 + p.rng.Float64())})
	}
	if load.TasksPerSecond <= 0 {
		return
	}
	// Thinning: candidates at the highest rate, kept in proportion.
	peakFactor := 1.0
	for i := range p.script.Faults {
		if fault := &p.script.Faults[i]; strings.HasSuffix(fault.Kind, "burst") {
			peakFactor *= max(fault.Scale, 1)
		}
	}
	jobCount := 0
	var jobs []Action
	for at := 0.0; ; {
		at += p.rng.ExpFloat64() * load.TasksPerJob / (load.TasksPerSecond * peakFactor)
		if at >= p.script.Seconds-p.script.Cooldown {
			break
		}
		index := p.rng.IntN(len(services))
		service := services[index]
		keep := p.rng.Float64()*peakFactor < p.loadFactor(at, service.tenant)
		tasks := 1 + int(p.rng.ExpFloat64()*(load.TasksPerJob-1)+0.5)
		if !keep {
			continue
		}
		jobCount++
		jobs = append(jobs, Action{At: at, Kind: SubmitJob, Job: &Job{Name: fmt.Sprintf("job-%05d", jobCount), Namespace: service.tenant, Class: service.class,
			Service: service.name, Scheduler: index % p.script.Schedulers, Tasks: tasks, Cores: service.cores, Memory: service.memory, Lifetime: service.life, BackoffLimit: load.BackoffLimit}})
	}
	// A flush deletes what of a service was asked in the last while, and asks for it again.
	for i := range p.script.Faults {
		fault := &p.script.Faults[i]
		if fault.Kind != "flush" {
			continue
		}
		flushed := map[string]bool{}
		for _, service := range services {
			flushed[service.name] = p.rng.Float64() < fault.Fraction
		}
		for _, action := range slices.Clone(jobs) {
			if !flushed[action.Job.Service] || action.At > fault.At || action.At < fault.At-2*action.Job.Lifetime {
				continue
			}
			p.add(Action{At: fault.At, Kind: DeleteJob, Job: action.Job})
			again := *action.Job
			jobCount++
			again.Name = fmt.Sprintf("job-%05d", jobCount)
			p.add(Action{At: fault.At + 0.2 + fault.Duration*p.rng.Float64(), Kind: SubmitJob, Job: &again})
		}
	}
	p.actions = append(p.actions, jobs...)
}
