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
	Seed       uint64    `json:"seed"`
	Seconds    float64   `json:"seconds"`
	Schedulers int       `json:"schedulers"`
	Nodes      int       `json:"nodes"`
	Load       Load      `json:"load"`
	Trouble    []Trouble `json:"trouble"`
	// Calm is how long nothing new is asked at the end, so that outcomes are in.
	Calm float64 `json:"calm"`
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
	Life           float64            `json:"life"` // seconds, on average
	Backoff        int                `json:"backoff"`
}

// Trouble is something that goes wrong.
type Trouble struct {
	Kind  string  `json:"kind"`
	At    float64 `json:"at"`
	For   float64 `json:"for"`
	Part  float64 `json:"part"`  // of the machines, services or schedulers
	Scale float64 `json:"scale"` // of load, or of length
	Class string  `json:"class"`
	Name  string  `json:"name"` // of a tenant or zone
}

// Node is a machine that the plan may speak of.
type Node struct{ Name, Zone, Rack, Kind string }

// Do says what an action does.
type Do uint8

// The actions. Submit and Delete have Job; Fault has Node and Faults; Inventory has Cut; Kill has Scheduler and For (down that
// long); Drain and Undrain have Node and are ordered at every scheduler.
const (
	Submit Do = iota + 1
	Delete
	Fault
	Inventory
	Kill
	Drain
	Undrain
)

// Job is a job to submit.
type Job struct {
	Name, Namespace, Class, Service string
	Scheduler                       int
	Tasks                           int
	Cores, Memory, Life             float64
	Backoff                         int
}

// Action is one step of a plan.
type Action struct {
	At        float64
	Do        Do
	Job       *Job
	Node      string
	Faults    fault.Node
	Cut       float64
	Scheduler int
	For       float64
}

// Kinds are the kinds of trouble, in order, with what each does.
var Kinds = map[string]string{
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
	s := Script{Seed: 1, Seconds: 600, Schedulers: 3, Nodes: 24, Calm: 60,
		Load: Load{TasksPerSecond: 20, TasksPerJob: 5, Services: 40, Classes: map[string]float64{"web": 0.5, "batch": 0.25, "once": 0.05,
			"keyed": 0.1, "spread": 0.1}, Cores: 1, Memory: 2, Life: 12, Backoff: 3}}
	order := []Trouble{
		{Kind: "burst", For: 8, Scale: 2}, {Kind: "crash", For: 10, Part: 0.2}, {Kind: "discovery_down", For: 15},
		{Kind: "class_fail", For: 12, Part: 0.3, Class: "web"}, {Kind: "fast_errors", For: 8, Part: 0.15}, {Kind: "flush", For: 3, Part: 0.4},
		{Kind: "mass_restart", For: 25, Part: 0.8}, {Kind: "pauses", For: 20, Part: 0.4}, {Kind: "preempt", For: 10, Part: 0.5},
		{Kind: "reconnect", For: 4, Part: 0.3}, {Kind: "lose_answers", For: 6, Part: 0.3}, {Kind: "shrink", For: 25, Part: 0.3},
		{Kind: "zone_cut", For: 10}, {Kind: "tenant_burst", For: 8, Scale: 4}, {Kind: "balancer_roll", For: 20, Part: 1},
		{Kind: "drain", For: 20, Part: 0.2}, {Kind: "refuse", For: 6, Part: 0.5}, {Kind: "trickle", For: 8, Part: 0.3},
	}
	at := 20.0
	for _, t := range order {
		t.At = at
		at += 28
		s.Trouble = append(s.Trouble, t)
	}
	s.Trouble = append(s.Trouble, Trouble{Kind: "grow", At: 60, Part: 0.15}, Trouble{Kind: "clocks", At: 1, Part: 0.5, Scale: 40}, Trouble{Kind: "crash", At: 140, For: 8, Part: 0.15},
		Trouble{Kind: "discovery_down", At: 210, For: 12}, Trouble{Kind: "balancer_roll", At: 300, For: 10, Part: 0.7},
		Trouble{Kind: "burst", At: 385, For: 8, Scale: 2})
	return s
}

// leastSpan is how long a trouble lasts at least in a day that is made shorter, if it did before.
const leastSpan = 2.0 // seconds

// Stretch gives a day another length. All of its troubles stay within the part in which tasks are asked for; what is left at the end for
// outcomes to come in does not shrink as fast as the rest.
func (s *Script) Stretch(seconds float64) {
	calm := min(s.Calm*max(seconds/s.Seconds, 1), max(s.Calm*seconds/s.Seconds, seconds/5))
	k := (seconds - calm) / max(s.Seconds-s.Calm, 1e-9)
	for i := range s.Trouble {
		t := &s.Trouble[i]
		t.At *= k
		t.For = min(max(t.For*k, min(t.For, leastSpan)), max(seconds-calm-t.At, 0))
	}
	s.Seconds, s.Calm = seconds, calm
}

// Check says what of a script cannot be used, with the path of the field.
func (s *Script) Check() (path, msg string) {
	l := &s.Load
	for _, f := range []struct {
		path      string
		v, lo, hi float64
	}{{"seconds", s.Seconds, 1, 86400}, {"calm", s.Calm, 0, 3600}, {"schedulers", float64(s.Schedulers), 1, 100},
		{"nodes", float64(s.Nodes), 1, 20000}, {"load.tasksPerSecond", l.TasksPerSecond, 0, 1e5}, {"load.tasksPerJob", l.TasksPerJob, 1, 1e5},
		{"load.services", float64(l.Services), 1, 1e6}, {"load.cores", l.Cores, 0, 1e4}, {"load.memory", l.Memory, 0, 1e5},
		{"load.life", l.Life, 0.01, 1e6}, {"load.backoff", float64(l.Backoff), 0, 1000}} {
		if !(f.v >= f.lo && f.v <= f.hi) {
			return f.path, fmt.Sprintf("%v: want %v to %v", f.v, f.lo, f.hi)
		}
	}
	if len(l.Classes) == 0 {
		return "load.classes", "want one at least"
	}
	for i, t := range s.Trouble {
		p := fmt.Sprintf("trouble[%d]", i)
		switch {
		case Kinds[t.Kind] == "":
			return p + ".kind", fmt.Sprintf("%q: want one of %s", t.Kind, strings.Join(slices.Sorted(maps.Keys(Kinds)), ", "))
		case !(t.At >= 0) || !(t.For >= 0):
			return p + ".at", "want 0 or more"
		case !(t.Part >= 0 && t.Part <= 1):
			return p + ".part", "want 0 to 1"
		case !(t.Scale >= 0):
			return p + ".scale", "want 0 or more"
		}
	}
	return "", ""
}

// Plan turns a script into actions in order of time.
func (s *Script) Plan(nodes []Node) []Action {
	p := &planner{s: s, nodes: nodes, rng: rand.New(rand.NewPCG(s.Seed, 0x626164646179))}
	for i := range s.Trouble {
		p.trouble(&s.Trouble[i])
	}
	p.load()
	sort.SliceStable(p.out, func(i, j int) bool { return p.out[i].At < p.out[j].At })
	return p.out
}

type planner struct {
	s     *Script
	nodes []Node
	rng   *rand.Rand
	out   []Action
}

func (p *planner) add(a Action) { p.out = append(p.out, a) }

// some draws a part of the machines that pass, one at least.
func (p *planner) some(part float64, pass func(Node) bool) []Node {
	var all []Node
	for _, n := range p.nodes {
		if pass == nil || pass(n) {
			all = append(all, n)
		}
	}
	if part == 0 {
		part = 1
	}
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), max(1, int(math.Round(part*float64(len(all))))))]
}

func (p *planner) fault(at float64, n Node, f fault.Node) {
	p.add(Action{At: at, Do: Fault, Node: n.Name, Faults: f})
}

func (p *planner) trouble(t *Trouble) {
	yes := true
	each := func(f fault.Node) {
		for _, n := range p.some(t.Part, nil) {
			p.fault(t.At, n, f)
		}
	}
	switch t.Kind {
	case "class_fail":
		each(fault.Node{Error: t.For, Class: t.Class})
	case "fast_errors":
		each(fault.Node{Error: t.For})
	case "refuse":
		each(fault.Node{Refuse: t.For})
	case "crash":
		each(fault.Node{Crash: max(t.For, 0.1)})
	case "reconnect":
		each(fault.Node{Reset: t.For})
	case "lose_answers":
		each(fault.Node{LoseAnswer: t.For})
	case "trickle":
		each(fault.Node{Trickle: t.For})
	case "clocks":
		for i, n := range p.some(t.Part, nil) {
			off := -t.Scale
			if i%3 == 2 {
				off = t.Scale / 2
			}
			p.fault(t.At, n, fault.Node{Clock: off})
		}
	case "mass_restart":
		for _, n := range p.some(t.Part, nil) {
			p.fault(t.At+t.For*p.rng.Float64(), n, fault.Node{Crash: 1 + p.rng.Float64()})
		}
	case "discovery_down":
		p.add(Action{At: t.At, Do: Inventory, Cut: t.For})
	case "pauses":
		for _, n := range p.some(t.Part, nil) {
			for at := t.At + 2*p.rng.Float64(); at < t.At+t.For; at += 2 {
				p.fault(at, n, fault.Node{Stall: 0.2 + 0.3*p.rng.Float64()})
			}
		}
	case "preempt":
		kind := p.nodes[p.rng.IntN(len(p.nodes))].Kind
		for _, n := range p.some(t.Part, func(n Node) bool { return n.Kind == kind }) {
			p.fault(t.At, n, fault.Node{Drain: &yes})
			p.fault(t.At+2, n, fault.Node{Crash: max(t.For, 0.1)})
		}
	case "shrink":
		for _, n := range p.some(t.Part, nil) {
			at := t.At + min(t.For/3, 5)*p.rng.Float64()
			p.fault(at, n, fault.Node{Drain: &yes})
			p.fault(at+3, n, fault.Node{Crash: max(t.For-3, 0.1)})
		}
	case "grow":
		for _, n := range p.some(t.Part, nil) {
			p.fault(0, n, fault.Node{Crash: max(t.At, 0.1) + 3*p.rng.Float64()})
		}
	case "zone_cut":
		name := t.Name
		if name == "" {
			name = p.nodes[0].Rack
		}
		for _, n := range p.some(1, func(n Node) bool { return n.Zone == name || n.Rack == name }) {
			p.fault(t.At, n, fault.Node{Cut: t.For})
		}
	case "drain":
		for _, n := range p.some(t.Part, nil) {
			p.add(Action{At: t.At, Do: Drain, Node: n.Name})
			p.add(Action{At: t.At + t.For, Do: Undrain, Node: n.Name})
		}
	case "balancer_roll":
		n := max(1, int(math.Round(max(t.Part, 0.01)*float64(p.s.Schedulers))))
		for i, k := range p.rng.Perm(p.s.Schedulers)[:n] {
			p.add(Action{At: t.At + t.For*float64(i)/float64(n), Do: Kill, Scheduler: k, For: 1 + p.rng.Float64()})
		}
	}
}

// rate is the load at a time, in parts of the usual, for a tenant.
func (p *planner) rate(at float64, tenant string) float64 {
	r := 1.0
	for i := range p.s.Trouble {
		t := &p.s.Trouble[i]
		if at < t.At || at >= t.At+t.For {
			continue
		}
		if t.Kind == "burst" || t.Kind == "tenant_burst" && (t.Name == tenant || t.Name == "") {
			r *= max(t.Scale, 0)
		}
	}
	return r
}

type service struct {
	name, class, tenant string
	cores, memory, life float64
}

func draw(rng *rand.Rand, parts map[string]float64, or string) string {
	total := 0.0
	names := slices.Sorted(maps.Keys(parts))
	for _, n := range names {
		total += parts[n]
	}
	x := rng.Float64() * total
	for _, n := range names {
		if x -= parts[n]; x < 0 {
			return n
		}
	}
	return or
}

// load draws services, and jobs of them as a Poisson process whose rate follows the script. A service has one class, one size,
// one tenant and one scheduler.
func (p *planner) load() {
	// Numbers of its own: the same load with any trouble.
	p.rng = rand.New(rand.NewPCG(p.s.Seed, 0x6c6f6164))
	l := &p.s.Load
	var services []service
	for i := range l.Services {
		size := math.Exp2(float64(p.rng.IntN(4)) - 1.5)
		services = append(services, service{name: fmt.Sprintf("service-%03d", i+1), class: draw(p.rng, l.Classes, ""),
			tenant: draw(p.rng, l.Tenants, "default"), cores: max(0.05, math.Round(l.Cores*size*20)/20),
			memory: max(0.05, math.Round(l.Memory*size*20)/20), life: l.Life * (0.5 + p.rng.Float64())})
	}
	if l.TasksPerSecond <= 0 {
		return
	}
	// Thinning: candidates at the highest rate, kept in proportion.
	top := 1.0
	for i := range p.s.Trouble {
		if t := &p.s.Trouble[i]; strings.HasSuffix(t.Kind, "burst") {
			top *= max(t.Scale, 1)
		}
	}
	n := 0
	var jobs []Action
	for at := 0.0; ; {
		at += p.rng.ExpFloat64() * l.TasksPerJob / (l.TasksPerSecond * top)
		if at >= p.s.Seconds-p.s.Calm {
			break
		}
		k := p.rng.IntN(len(services))
		v := services[k]
		keep := p.rng.Float64()*top < p.rate(at, v.tenant)
		tasks := 1 + int(p.rng.ExpFloat64()*(l.TasksPerJob-1)+0.5)
		if !keep {
			continue
		}
		n++
		jobs = append(jobs, Action{At: at, Do: Submit, Job: &Job{Name: fmt.Sprintf("job-%05d", n), Namespace: v.tenant, Class: v.class,
			Service: v.name, Scheduler: k % p.s.Schedulers, Tasks: tasks, Cores: v.cores, Memory: v.memory, Life: v.life, Backoff: l.Backoff}})
	}
	// A flush deletes what of a service was asked in the last while, and asks for it again.
	for i := range p.s.Trouble {
		t := &p.s.Trouble[i]
		if t.Kind != "flush" {
			continue
		}
		hit := map[string]bool{}
		for _, v := range services {
			hit[v.name] = p.rng.Float64() < t.Part
		}
		for _, a := range slices.Clone(jobs) {
			if !hit[a.Job.Service] || a.At > t.At || a.At < t.At-2*a.Job.Life {
				continue
			}
			p.add(Action{At: t.At, Do: Delete, Job: a.Job})
			again := *a.Job
			n++
			again.Name = fmt.Sprintf("job-%05d", n)
			p.add(Action{At: t.At + 0.2 + t.For*p.rng.Float64(), Do: Submit, Job: &again})
		}
	}
	p.out = append(p.out, jobs...)
}
