package placer

import (
	"errors"
	"fmt"
	"math"
)

// Idempotency says whether a task may be started twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second start is safe
	IdempotentByKey                    // nodes of one domain drop a repeat with the same key for a while
	NonIdempotent                      // the task must never start twice
)

// TopologyDomain is a kind of failure domain that a rule refers to.
type TopologyDomain uint8

// The kinds of domain, from none at all to all nodes together.
const (
	NoDomain TopologyDomain = iota
	NodeDomain
	RackDomain
	ZoneDomain
	ClusterDomain
)

// Class describes the tasks of one kind.
type Class struct {
	Idempotency         Idempotency
	DedupDomain         TopologyDomain // with IdempotentByKey: the nodes that drop repeats
	DedupWindow         Seconds        // with IdempotentByKey: the time for which they do, from the first attempt
	LatencyObjective    Seconds        // time from arrival within which a first start has its full weight
	Deadline            Seconds        // time for which a client waits for the answer
	Weight              float64        // value of a second of full service
	LateWeight          float64        // fraction of the start's value between LatencyObjective and Deadline
	StartBonus          Seconds        // value of a start in time, as so much time of full service
	Priority            int            // where nodes preempt: a higher priority evicts a lower one
	NodeType            int            // index of the node type that is required, or -1 for any
	SpreadDomain        TopologyDomain // the domain in which MaxPerDomain holds, or NoDomain
	MaxPerDomain        int            // tasks of one service that may run in one such domain
	SaturationThreshold float64        // utilization of the cores up to which tasks get full service
	DegradationRange    float64        // utilization beyond SaturationThreshold at which tasks get no service
}

// NodeType is the size of nodes of one type.
type NodeType struct {
	Cores  float64
	Memory float64 // in the unit of Task.Memory
}

// Tenant is one of the users that share the nodes.
type Tenant struct {
	Share float64 // its fraction of the service, between 0 and 1
	Cores float64 // cores that it may request, at all schedulers together
}

// Config is the configuration of one scheduler.
type Config struct {
	Zone            int // the zone of this scheduler
	Peers           Peers
	Classes         []Class
	NodeTypes       []NodeType
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of a task beyond its tenant's share

	NodeBehavior NodeBehavior
	Overcommit   Overcommit
	SlowStart    SlowStart
	Attempts     Attempts
	Retry        Retry
	Discovery    Discovery
	Costs        Costs
}

// Peers says which of the schedulers this one is. All schedulers place tasks on the same nodes.
type Peers struct {
	Self           int  // the number of this scheduler, from 0
	Total          int  // the number of all schedulers, this one included
	StickyServices bool // all tasks of a service arrive at one scheduler while it is up
}

// NodeBehavior is what nodes do and what they report.
type NodeBehavior struct {
	AcknowledgesOnStart bool // Bound is sent when the task starts, not when it is accepted
	ListShowsCapacity   bool // node lists carry the free capacity
	ReportsUsage        bool // reports count what is used, not what is requested
	Preempts            bool // nodes evict tasks of a lower priority
}

// Overcommit is how far nodes accept requests beyond their size, as multiples of it.
type Overcommit struct {
	Cores, Memory float64
}

// SlowStart limits the load on a node that has just started and is warming up.
type SlowStart struct {
	MinPace          float64 // fraction of its full pace at which a node starts tasks when it has just started
	Duration         Seconds // time after which a started node has its full pace
	OverloadMultiple float64 // multiple of its pace at which a warming node becomes overloaded
	OverloadWindow   Seconds // time for which the multiple must be exceeded
	MaxAttempts      float64 // attempts per OverloadWindow, by all schedulers, that do not overload a warming node
}

// Attempts limits the attempts for one request.
type Attempts struct {
	Max            int     // number of attempts for one request
	AllowsHedging  bool    // two attempts for a request may be outstanding at once
	ConnectTimeout Seconds // time after which a connection attempt fails
	AnswerGrace    Seconds // time after the deadline at which a final answer still counts
	DrainGrace     Seconds // time after a node starts to drain in which attempts are still permitted
}

// Retry is how clients request a task again that was not placed.
type Retry struct {
	SendsRetryAfter    bool    // rejections carry a Retry-After for the client
	MaxRetryAfter      Seconds // longest Retry-After that clients follow
	UnknownOutcomeWait Seconds // time for which clients wait after an unknown outcome
}

// Discovery is how the scheduler receives the node list.
type Discovery struct {
	MustPoll        bool    // node lists are sent only on request
	MaxPollInterval Seconds // longest time between two requests for the list
}

// Costs are given as fractions of the total value of all service.
type Costs struct {
	Node      float64 // cost of nodes in use beyond those needed
	CrossZone float64 // cost of tasks outside the scheduler's zone
	Migration float64 // cost of one migration of each task
}

// check returns an error that names the first field that cannot be used.
func (c *Config) check() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("config has no classes")
	case len(c.NodeTypes) == 0:
		return errors.New("config has no node types")
	case c.Peers.Total < 1:
		return fmt.Errorf("peers %d: want at least 1", c.Peers.Total)
	case c.Peers.Self < 0 || c.Peers.Self >= c.Peers.Total:
		return fmt.Errorf("self %d: want 0 to %d, one of the peers", c.Peers.Self, c.Peers.Total-1)
	case c.Attempts.Max < 1:
		return fmt.Errorf("max attempts %d: want at least 1", c.Attempts.Max)
	}
	if err := c.checkNotNegative(); err != nil {
		return err
	}
	for i, class := range c.Classes {
		if !(class.LatencyObjective > 0) || !(class.Deadline > 0) {
			return fmt.Errorf("class %d: latency objective %v and deadline %v must be positive",
				i, class.LatencyObjective, class.Deadline)
		}
	}
	for i, nodeType := range c.NodeTypes {
		if !(nodeType.Cores > 0) || !(nodeType.Memory > 0) {
			return fmt.Errorf("node type %d: cores %v and memory %v must be positive", i, nodeType.Cores, nodeType.Memory)
		}
	}
	return nil
}

// checkNotNegative returns an error that names the first amount or duration that is negative or not a number.
func (c *Config) checkNotNegative() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"warmup duration", float64(c.SlowStart.Duration)},
		{"overload window", float64(c.SlowStart.OverloadWindow)},
		{"warmup attempts", c.SlowStart.MaxAttempts},
		{"answer grace", float64(c.Attempts.AnswerGrace)},
		{"drain grace", float64(c.Attempts.DrainGrace)},
		{"max poll interval", float64(c.Discovery.MaxPollInterval)},
		{"node cost", c.Costs.Node},
		{"cross-zone cost", c.Costs.CrossZone},
		{"migration cost", c.Costs.Migration},
	} {
		if !(field.value >= 0) {
			return fmt.Errorf("%s %v: want 0 or more", field.name, field.value)
		}
	}
	return nil
}

// class returns the class of a request that was accepted.
func (c *Config) class(request *placementRequest) *Class { return &c.Classes[request.Class] }

// shortestObjective returns the shortest latency objective of all classes.
func (c *Config) shortestObjective() Seconds {
	shortest := Seconds(math.Inf(1))
	for i := range c.Classes {
		shortest = min(shortest, c.Classes[i].LatencyObjective)
	}
	return shortest
}

// accepts reports whether a task names a class, requests finite amounts and has a deadline after now.
func (c *Config) accepts(task *Task, now Seconds) bool {
	hasClass := task.Class >= 0 && task.Class < len(c.Classes)
	return hasClass && isFiniteAmount(task.Cores) && isFiniteAmount(task.Memory) && task.Deadline > now
}

// isFiniteAmount reports whether x is a number, not negative and not infinite.
func isFiniteAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
