// Package scenario plans the load and the faults of a fault-injection run. A Script (script.go) states the submitted load and the times of
// faults; Script.Plan (plan.go) draws a list of timed actions from it and its seed. Package faultinjection executes a plan over sockets, package
// simulation in simulated time.
//
// The package is pure: the same script gives the same plan.
package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Script is a scenario. Times are in seconds from its start.
type Script struct {
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Schedulers int     `json:"schedulers"`
	Nodes      int     `json:"nodes"`
	Load       Load    `json:"load"`
	Faults     []Fault `json:"faults"`
	// Cooldown is the time at the end in which nothing is submitted, so that all outcomes arrive before the end.
	Cooldown float64 `json:"cooldown"`
}

// Load is what clients submit.
type Load struct {
	TasksPerSecond float64            `json:"tasksPerSecond"`
	TasksPerJob    float64            `json:"tasksPerJob"` // mean
	Services       int                `json:"services"`
	Classes        map[string]float64 `json:"classes"`      // weights
	Tenants        map[string]float64 `json:"tenants"`      // weights; none is the tenant "default" alone
	Cores          float64            `json:"cores"`        // of a task, mean
	Memory         float64            `json:"memory"`       // of a task, mean, GiB
	Lifetime       float64            `json:"lifetime"`     // of a task, mean, seconds
	BackoffLimit   int                `json:"backoffLimit"` // retries of a job
}

// Fault is one fault of a scenario.
type Fault struct {
	Kind     string  `json:"kind"` // a key of FaultKinds
	At       float64 `json:"at"`
	Duration float64 `json:"duration"`
	Fraction float64 `json:"fraction"` // of the nodes, services or schedulers; 0 is all nodes
	Scale    float64 `json:"scale"`    // factor of the load, or seconds of clock skew
	Class    string  `json:"class"`    // of class_fail
	Name     string  `json:"name"`     // of a tenant, zone or rack
}

// active reports whether the fault lasts at the given time.
func (fault *Fault) active(at float64) bool {
	return at >= fault.At && at < fault.At+fault.Duration
}

// The kinds of faults.
const (
	burst         = "burst"
	tenantBurst   = "tenant_burst"
	classFail     = "class_fail"
	fastErrors    = "fast_errors"
	refuse        = "refuse"
	crash         = "crash"
	massRestart   = "mass_restart"
	discoveryDown = "discovery_down"
	flush         = "flush"
	pauses        = "pauses"
	preempt       = "preempt"
	reconnect     = "reconnect"
	loseAnswers   = "lose_answers"
	trickle       = "trickle"
	clocks        = "clocks"
	shrink        = "shrink"
	grow          = "grow"
	zoneCut       = "zone_cut"
	drain         = "drain"
	rollingKill   = "balancer_roll"
)

const (
	defaultTenant      = "default"
	minFaultDuration   = 2.0 // seconds; a shortened script does not shorten faults below this
	minCooldownDivisor = 5   // a shortened script keeps at least one part in so many as cooldown
)

// FaultKinds describes the effect of each kind of fault in terms of the fields of Fault.
var FaultKinds = map[string]string{
	burst:         "load times scale",
	tenantBurst:   "load of tenant name times scale",
	classFail:     "fraction of the nodes answers attempts of class with errors",
	fastErrors:    "fraction of the nodes answers every attempt with an error at once",
	refuse:        "fraction of the nodes rejects everything",
	crash:         "fraction of the nodes crashes at once and comes back cold after duration",
	massRestart:   "fraction of the nodes restarts, one after another, within duration",
	discoveryDown: "the inventory is unreachable",
	flush:         "fraction of the services is deleted by its clients and submitted again within seconds",
	pauses:        "fraction of the nodes stalls for 0.2 to 0.5 s every two seconds",
	preempt:       "fraction of the nodes of one kind is drained, crashes two seconds later, and comes back after duration",
	reconnect:     "fraction of the nodes breaks connections before reading attempts",
	loseAnswers:   "fraction of the nodes accepts and breaks the connection instead of answering",
	trickle:       "fraction of the nodes sends its answers a few bytes at a time",
	clocks:        "the clocks of fraction of the nodes are scale seconds behind, or half as many ahead",
	shrink:        "fraction of the nodes drains and goes away for duration",
	grow:          "fraction of the nodes is there only from at on, cold",
	zoneCut:       "the nodes of zone or rack name (the first rack if none) are unreachable, their tasks run on",
	drain:         "fraction of the nodes is drained by an order at the schedulers, and given back after duration",
	rollingKill:   "fraction of the schedulers is killed and started again, one after another, within duration",
}

// Default returns the built-in script, which has every kind of fault at least once, some at the same time.
func Default() Script {
	script := Script{Seed: 1, Seconds: 600, Schedulers: 3, Nodes: 24, Cooldown: 60,
		Load: Load{TasksPerSecond: 20, TasksPerJob: 5, Services: 40, Cores: 1, Memory: 2, Lifetime: 12, BackoffLimit: 3,
			Classes: map[string]float64{"web": 0.5, "batch": 0.25, "once": 0.05, "keyed": 0.1, "spread": 0.1}}}
	inSequence := []Fault{
		{Kind: burst, Duration: 8, Scale: 2},
		{Kind: crash, Duration: 10, Fraction: 0.2},
		{Kind: discoveryDown, Duration: 15},
		{Kind: classFail, Duration: 12, Fraction: 0.3, Class: "web"},
		{Kind: fastErrors, Duration: 8, Fraction: 0.15},
		{Kind: flush, Duration: 3, Fraction: 0.4},
		{Kind: massRestart, Duration: 25, Fraction: 0.8},
		{Kind: pauses, Duration: 20, Fraction: 0.4},
		{Kind: preempt, Duration: 10, Fraction: 0.5},
		{Kind: reconnect, Duration: 4, Fraction: 0.3},
		{Kind: loseAnswers, Duration: 6, Fraction: 0.3},
		{Kind: shrink, Duration: 25, Fraction: 0.3},
		{Kind: zoneCut, Duration: 10},
		{Kind: tenantBurst, Duration: 8, Scale: 4},
		{Kind: rollingKill, Duration: 20, Fraction: 1},
		{Kind: drain, Duration: 20, Fraction: 0.2},
		{Kind: refuse, Duration: 6, Fraction: 0.5},
		{Kind: trickle, Duration: 8, Fraction: 0.3},
	}
	const first, interval = 20.0, 28.0 // seconds
	for i, fault := range inSequence {
		fault.At = first + interval*float64(i)
		script.Faults = append(script.Faults, fault)
	}
	script.Faults = append(script.Faults,
		Fault{Kind: grow, At: 60, Fraction: 0.15},
		Fault{Kind: clocks, At: 1, Fraction: 0.5, Scale: 40},
		Fault{Kind: crash, At: 140, Duration: 8, Fraction: 0.15},
		Fault{Kind: discoveryDown, At: 210, Duration: 12},
		Fault{Kind: rollingKill, At: 300, Duration: 10, Fraction: 0.7},
		Fault{Kind: burst, At: 385, Duration: 8, Scale: 2})
	return script
}

// Stretch changes the length of a script. All of its faults stay within the time in which tasks are submitted; a cooldown shrinks less than that
// time.
func (s *Script) Stretch(seconds float64) {
	cooldown := min(s.Cooldown*max(seconds/s.Seconds, 1), max(s.Cooldown*seconds/s.Seconds, seconds/minCooldownDivisor))
	factor := (seconds - cooldown) / max(s.Seconds-s.Cooldown, 1e-9)
	for i := range s.Faults {
		fault := &s.Faults[i]
		fault.At *= factor
		shortest := min(fault.Duration, minFaultDuration)
		fault.Duration = min(max(fault.Duration*factor, shortest), max(seconds-cooldown-fault.At, 0))
	}
	s.Seconds = seconds
	s.Cooldown = cooldown
}

// FieldError reports a field of a Script with an invalid value.
type FieldError struct {
	Path   string // of the field in the script's JSON form, such as load.cores
	Reason string
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns a *FieldError for the first invalid field, nil if there is none.
func (s *Script) Validate() error {
	load := &s.Load
	for _, field := range []struct {
		path            string
		value, low, top float64
	}{
		{"seconds", s.Seconds, 1, 86400},
		{"cooldown", s.Cooldown, 0, 3600},
		{"schedulers", float64(s.Schedulers), 1, 100},
		{"nodes", float64(s.Nodes), 1, 20000},
		{"load.tasksPerSecond", load.TasksPerSecond, 0, 1e5},
		{"load.tasksPerJob", load.TasksPerJob, 1, 1e5},
		{"load.services", float64(load.Services), 1, 1e6},
		{"load.cores", load.Cores, 0, 1e4},
		{"load.memory", load.Memory, 0, 1e5},
		{"load.lifetime", load.Lifetime, 0.01, 1e6},
		{"load.backoffLimit", float64(load.BackoffLimit), 0, 1000},
	} {
		if !within(field.value, field.low, field.top) {
			return &FieldError{Path: field.path, Reason: fmt.Sprintf("%v: want %v to %v", field.value, field.low, field.top)}
		}
	}
	if len(load.Classes) == 0 {
		return &FieldError{Path: "load.classes", Reason: "want one at least"}
	}
	for i := range s.Faults {
		if invalid := s.Faults[i].validate(fmt.Sprintf("faults[%d]", i)); invalid != nil {
			return invalid
		}
	}
	return nil
}

// within reports whether a value is in a closed range. NaN never is.
func within(value, low, top float64) bool { return value >= low && value <= top }

// nonNegative reports whether a value is at least 0. NaN is not.
func nonNegative(value float64) bool { return value >= 0 }

// validate returns a *FieldError for the first invalid field of the fault at a path, nil if there is none.
func (fault *Fault) validate(path string) *FieldError {
	switch {
	case FaultKinds[fault.Kind] == "":
		kinds := strings.Join(slices.Sorted(maps.Keys(FaultKinds)), ", ")
		return &FieldError{Path: path + ".kind", Reason: fmt.Sprintf("%q: want one of %s", fault.Kind, kinds)}
	case !nonNegative(fault.At) || !nonNegative(fault.Duration):
		return &FieldError{Path: path + ".at", Reason: "want 0 or more"}
	case !within(fault.Fraction, 0, 1):
		return &FieldError{Path: path + ".fraction", Reason: "want 0 to 1"}
	case !nonNegative(fault.Scale):
		return &FieldError{Path: path + ".scale", Reason: "want 0 or more"}
	}
	return nil
}
