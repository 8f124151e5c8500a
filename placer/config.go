package placer

import (
	"errors"
	"fmt"
	"math"
)

// Idempotency specifies whether it is safe to start a task twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second start of the task is safe
	IdempotentByKey                    // nodes ignore an attempt whose idempotency key they have already received
	NonIdempotent                      // the task must never start twice
)

// TopologyDomain is a level of the topology, such as a rack or a zone. The spread rule and the rule on
// retries each apply within one domain of a configured level.
type TopologyDomain uint8

// The levels of the topology, from no domain to the whole cluster.
const (
	NoDomain TopologyDomain = iota
	NodeDomain
	RackDomain
	ZoneDomain
	ClusterDomain
)

// Class is a task class. It holds the properties that all tasks of the class share.
type Class struct {
	Idempotency Idempotency
	// DedupDomain and DedupWindow apply only to IdempotentByKey. For the time DedupWindow after the first
	// attempt, the nodes in the same DedupDomain ignore further attempts with the same idempotency key.
	DedupDomain         TopologyDomain
	DedupWindow         Seconds
	LatencyObjective    Seconds        // time after arrival within which the task of a request should start
	Deadline            Seconds        // time for which a client waits for the final answer
	Weight              float64        // value of one second in which the task runs at full speed
	LateWeight          float64        // value of a start after LatencyObjective, as a fraction of the value of an earlier start
	StartBonus          Seconds        // time at full speed that is worth as much as a start within LatencyObjective
	Priority            int            // nodes may preempt a task in favor of a task of higher priority
	NodeType            int            // index of the required type in Config.NodeTypes, or -1 for any type of node
	SpreadDomain        TopologyDomain // domain to which MaxPerDomain applies, or NoDomain for no limit
	MaxPerDomain        int            // maximum number of tasks of one service in one SpreadDomain
	SaturationThreshold float64        // highest utilization of a node's cores at which tasks run at full speed
	DegradationRange    float64        // excess of the utilization over SaturationThreshold at which the speed of tasks is 0
}

// NodeType is the capacity of the nodes of one type.
type NodeType struct {
	Cores  float64
	Memory float64 // amount of memory, in the unit of Task.Memory
}

// Tenant is one of the users that share the nodes.
type Tenant struct {
	Share float64 // fraction of the cluster that the tenant is entitled to use, between 0 and 1
	Cores float64 // cores that the tenant may request in total from all schedulers
}

// Config is the configuration of one scheduler.
type Config struct {
	Zone            int // zone in which this scheduler runs
	Peers           Peers
	Classes         []Class
	NodeTypes       []NodeType
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of a task that exceeds the share of its tenant

	NodeBehavior NodeBehavior
	Overcommit   Overcommit
	SlowStart    SlowStart
	Attempts     Attempts
	Retry        Retry
	Discovery    Discovery
	Costs        Costs
}

// Peers describes the group of schedulers to which this scheduler belongs. All of them place tasks on the
// same nodes.
type Peers struct {
	Self           int  // index of this scheduler among its peers, from 0
	Total          int  // number of schedulers, including this one
	StickyServices bool // all tasks of a service arrive at the same scheduler while that scheduler is up
}

// NodeBehavior describes how nodes behave and what they report.
type NodeBehavior struct {
	AcknowledgesOnStart bool // a node acknowledges a task when the task starts, not when the node accepts it
	ListShowsCapacity   bool // node lists contain the free capacity of each node
	ReportsUsage        bool // load reports contain the capacity in use, not the requested capacity
	Preempts            bool // nodes evict tasks of lower priority in favor of tasks of higher priority
}

// Overcommit is the total capacity that tasks may request on a node, as a multiple of the size of the node.
type Overcommit struct {
	Cores, Memory float64
}

// SlowStart limits the attempts on a node in slow start, that is, on a node that started less than Duration
// ago. Such a node cannot yet start tasks at its full rate.
type SlowStart struct {
	MinPace          float64 // rate at which a new node can start tasks, as a fraction of its full rate
	Duration         Seconds // time from the start of a node until it can start tasks at its full rate
	OverloadMultiple float64 // rate of attempts that overloads a node, as a multiple of its rate of task starts
	OverloadWindow   Seconds // length of the time window in which the rate of attempts is measured
	MaxAttempts      float64 // number of attempts by all schedulers together that a node can handle in OverloadWindow
}

// Attempts limits the attempts for one request.
type Attempts struct {
	Max            int     // maximum number of attempts for one request
	AllowsHedging  bool    // two attempts for a request may be outstanding at the same time
	ConnectTimeout Seconds // time after which opening a connection to a node fails
	AnswerGrace    Seconds // time after the deadline within which a final answer still counts as in time
	DrainGrace     Seconds // time after a node starts to drain during which attempts are still permitted
}

// Retry describes how clients retry a request whose task was not placed.
type Retry struct {
	SendsRetryAfter    bool    // a rejection tells the client in Retry-After when to try again
	MaxRetryAfter      Seconds // longest Retry-After value that clients respect
	UnknownOutcomeWait Seconds // time that clients wait after an unknown outcome before they retry
}

// Discovery describes how the scheduler receives the node list.
type Discovery struct {
	MustPoll        bool    // the scheduler receives node lists only on request
	MaxPollInterval Seconds // longest time between two requests for the node list
}

// Costs holds costs as fractions of the total value of all tasks.
type Costs struct {
	Node      float64 // cost of the nodes in use beyond the number that the tasks need
	CrossZone float64 // cost of running tasks outside the zone of the scheduler
	Migration float64 // cost of migrating every task once
}

// validate returns an error that names the first invalid field.
func (c *Config) validate() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("the configuration has no task classes")
	case len(c.NodeTypes) == 0:
		return errors.New("the configuration has no node types")
	case c.Peers.Total < 1:
		return fmt.Errorf("number of peers %d must be at least 1", c.Peers.Total)
	case c.Peers.Self < 0 || c.Peers.Self >= c.Peers.Total:
		return fmt.Errorf("index of this scheduler (self) %d must be between 0 and %d", c.Peers.Self, c.Peers.Total-1)
	case c.Attempts.Max < 1:
		return fmt.Errorf("maximum number of attempts %d must be at least 1", c.Attempts.Max)
	}
	if err := c.validateNotNegative(); err != nil {
		return err
	}
	for i, class := range c.Classes {
		if !(class.LatencyObjective > 0) || !(class.Deadline > 0) {
			return fmt.Errorf("task class %d: latency objective %v and deadline %v must be positive",
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

// validateNotNegative returns an error that names the first amount or duration that is negative or NaN.
func (c *Config) validateNotNegative() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"slow-start duration", float64(c.SlowStart.Duration)},
		{"overload window", float64(c.SlowStart.OverloadWindow)},
		{"maximum number of slow-start attempts", c.SlowStart.MaxAttempts},
		{"answer grace", float64(c.Attempts.AnswerGrace)},
		{"drain grace", float64(c.Attempts.DrainGrace)},
		{"maximum poll interval", float64(c.Discovery.MaxPollInterval)},
		{"node cost", c.Costs.Node},
		{"cross-zone cost", c.Costs.CrossZone},
		{"migration cost", c.Costs.Migration},
	} {
		if !(field.value >= 0) {
			return fmt.Errorf("%s %v must not be negative or NaN", field.name, field.value)
		}
	}
	return nil
}

// classOf returns the task class of a request. The task of the request must be valid.
func (c *Config) classOf(request *placementRequest) *Class { return &c.Classes[request.Class] }

// shortestObjective returns the shortest latency objective of all task classes.
func (c *Config) shortestObjective() Seconds {
	shortest := Seconds(math.Inf(1))
	for i := range c.Classes {
		shortest = min(shortest, c.Classes[i].LatencyObjective)
	}
	return shortest
}

// isValidTask reports whether a task has a configured task class, requests finite amounts and has a deadline
// after now.
func (c *Config) isValidTask(task *Task, now Seconds) bool {
	hasClass := task.Class >= 0 && task.Class < len(c.Classes)
	return hasClass && isFiniteAmount(task.Cores) && isFiniteAmount(task.Memory) && task.Deadline > now
}

// isFiniteAmount reports whether x is neither negative nor infinite nor NaN.
func isFiniteAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
