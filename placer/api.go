// Package placer decides on which nodes long-lived tasks run.
//
// A Placer decides for one scheduler. The caller hands it events in the order in which they happened, each with the
// time, which never goes back, and carries out the returned actions in their order. All times are in seconds on any
// one clock. Equal configurations, seeds and events give equal actions. A Placer does no I/O, reads no clock, starts no
// goroutine, and must not be used by several goroutines at once.
//
// The algorithm and the origin of its constants are described in docs/design.md.
package placer

import (
	"errors"
	"fmt"
	"math"
)

// TaskID identifies one placement request and the task that it places. A task that is requested again has a new ID.
type TaskID uint64

// ServiceID identifies the service that a task belongs to. Tasks of one service run the same program.
type ServiceID uint64

// NodeID identifies a node. It says nothing about the node's location.
type NodeID uint64

// Idempotency is the effect of starting a task twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second copy does no harm
	IdempotentByKey                    // nodes of one domain drop a repeat for a while, by its key
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

// Class holds what tasks of one kind have in common.
type Class struct {
	Idempotency         Idempotency
	DedupDomain         TopologyDomain // with IdempotentByKey: the nodes that drop repeats
	DedupWindow         float64        // with IdempotentByKey: seconds for which they do, from the first attempt
	LatencyObjective    float64        // seconds from arrival within which a first start has its full weight
	Deadline            float64        // seconds for which a client waits for the answer
	Weight              float64        // value of a second of full service
	LateWeight          float64        // part of the start's value between LatencyObjective and Deadline
	StartBonus          float64        // value of a start in time, in seconds of service
	Priority            int            // where nodes preempt: a higher priority evicts a lower one
	NodeType            int            // index of the node type that is required, or -1 for any
	SpreadDomain        TopologyDomain // the domain in which MaxPerDomain holds, or NoDomain
	MaxPerDomain        int            // tasks of one service that may run in one such domain
	SaturationThreshold float64        // utilization of the cores up to which tasks get full service
	DegradationRange    float64        // utilization beyond it over which the service falls to nothing
}

// NodeType is the size of nodes of one type.
type NodeType struct {
	Cores  float64
	Memory float64 // in the unit of Task.Memory
}

// Tenant is one of the users that share the nodes.
type Tenant struct {
	Share float64 // its part of the service, between 0 and 1
	Cores float64 // cores that it may request, at all schedulers together
}

// Config is the configuration of one scheduler. Durations are in seconds.
type Config struct {
	Self, Peers int // the number of this scheduler, from 0, and the number of all schedulers
	Zone        int // the zone of this scheduler
	Classes     []Class
	NodeTypes   []NodeType
	Tenants     []Tenant

	OvercommitCores, OvercommitMemory float64 // nodes accept requests up to these multiples of their size
	AcknowledgesOnStart               bool    // Bound is sent when the task starts, not when it is accepted
	ListShowsCapacity                 bool    // node lists carry the free capacity
	ReportsUsage                      bool    // reports count what is used, not what is requested
	StickyServices                    bool    // all tasks of a service arrive at one scheduler while it is up
	Preempts                          bool    // nodes evict tasks of a lower priority

	MaxAttempts        int     // attempts for one request
	AllowsHedging      bool    // two attempts for a request may be outstanding at once
	ConnectTimeout     float64 // time after which a connection attempt fails
	AnswerGrace        float64 // time after the deadline at which a final answer still counts
	DrainGrace         float64 // time after a node starts to drain in which attempts are still permitted
	WarmupMinPace      float64 // part of its pace at which a node starts tasks when it has just started
	WarmupDuration     float64 // time after which a started node has its full pace
	OverloadMultiple   float64 // multiple of its pace at which a warming node becomes overloaded
	OverloadWindow     float64 // time for which this must last
	WarmupAttempts     float64 // attempts per OverloadWindow, by all schedulers, that a warming node withstands
	MustPollNodes      bool    // node lists are sent only on request
	MaxPollInterval    float64 // longest time between two requests for the list
	SendsRetryAfter    bool    // rejections carry a Retry-After for the client
	MaxRetryAfter      float64 // longest Retry-After that clients follow
	UnknownOutcomeWait float64 // time for which clients wait after an unknown outcome
	NodeCost           float64 // cost of nodes in use beyond those needed, as a part of the total value
	CrossZoneCost      float64 // cost of tasks outside the scheduler's zone, as a part of the total value
	MigrationCost      float64 // cost of one migration of each task, as a part of the total value
	OverQuotaWeight    float64 // weight of a task beyond its tenant's share
}

// check returns an error that names the first field that cannot be used.
func (c *Config) check() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("config has no classes")
	case len(c.NodeTypes) == 0:
		return errors.New("config has no node types")
	case c.Peers < 1:
		return fmt.Errorf("peers %d: want at least 1", c.Peers)
	case c.Self < 0 || c.Self >= c.Peers:
		return fmt.Errorf("self %d: want 0 to %d, one of the peers", c.Self, c.Peers-1)
	case c.MaxAttempts < 1:
		return fmt.Errorf("max attempts %d: want at least 1", c.MaxAttempts)
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

func (c *Config) checkNotNegative() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"warmup duration", c.WarmupDuration},
		{"overload window", c.OverloadWindow},
		{"warmup attempts", c.WarmupAttempts},
		{"answer grace", c.AnswerGrace},
		{"drain grace", c.DrainGrace},
		{"max poll interval", c.MaxPollInterval},
		{"node cost", c.NodeCost},
		{"cross-zone cost", c.CrossZoneCost},
		{"migration cost", c.MigrationCost},
	} {
		if !(field.value >= 0) {
			return fmt.Errorf("%s %v: want 0 or more", field.name, field.value)
		}
	}
	return nil
}

// accepts reports whether a task names a class, requests finite amounts and has a deadline after now.
func (c *Config) accepts(task *Task, now float64) bool {
	hasClass := task.Class >= 0 && task.Class < len(c.Classes)
	return hasClass && isFiniteAmount(task.Cores) && isFiniteAmount(task.Memory) && task.Deadline > now
}

// isFiniteAmount reports whether x is a number, not negative and not infinite.
func isFiniteAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// Task is a request to place a task.
type Task struct {
	ID            TaskID
	Class, Tenant int // indexes in Config
	Service       ServiceID
	Cores, Memory float64 // requested capacity
	Deadline      float64 // time by which the final answer is due
	IsRetry       bool    // the client requested the task before
}

// NodeState is the state of a node as the node list shows it.
type NodeState uint8

// The states of a node.
const (
	Terminated NodeState = iota
	Ready
	Draining // runs its tasks but accepts no others
)

// Node is an entry of the node list.
type Node struct {
	ID                    NodeID
	Zone, Rack, NodeType  int // NodeType is an index in Config
	State                 NodeState
	FreeCores, FreeMemory float64 // capacity that is not requested; negative on an overcommitted node
	StartedAt             float64 // time of the last start; 0 is long ago
}

// Report is a node's report of its load. A value that is not reported is NaN.
type Report struct {
	FreeCores, FreeMemory float64 // not in use where Config.ReportsUsage, otherwise not requested
	Utilization           float64 // part of the cores in use; 1 is all
	QueueLength           float64 // tasks that wait on the node
}

// ListKind is the kind of a node list.
type ListKind uint8

// The kinds of list.
const (
	FullList   ListKind = iota // all nodes; others have terminated
	CachedList                 // a full list that may be out of date
	Changes                    // only the nodes that have changed
	ListFailed                 // the request for the list failed
)

// Result is the outcome of an attempt.
type Result uint8

// The results of an attempt. Rejected, Unreachable and Expired prove that the task did not start.
const (
	Finished    Result = iota // the task has run to its end
	Errored                   // the node answered with an error, or the task failed
	Rejected                  // the node did not accept the task
	TimedOut                  // no answer came in time
	Unreachable               // no connection to the node
	Lost                      // the connection broke, or the node stopped the task
	Cancelled                 // the client withdrew the task
	Expired                   // the attempt was not sent before its deadline
)

// neverRan reports whether the result proves that the attempt did not start the task.
func (r Result) neverRan() bool {
	return r == Rejected || r == Unreachable || r == Expired
}

// Reason says more about a result.
type Reason uint8

// The reasons that a node gives.
const (
	NoReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode // the node does not take this task, for example since it is draining
	Evicted   // the node ran out of memory
	Preempted // a task of a higher priority took its place
	Drained   // the node stopped the task as it drains
)

// UsageKind is what a usage report on a running task measures.
type UsageKind uint8

// The kinds of usage report.
const (
	Started        UsageKind = iota + 1 // the task has started
	CoresUsed                           // cores in use by the task
	MemoryUsed                          // memory in use by the task
	ServedFraction                      // part of full service that it gives
	NodeMemory                          // memory in use on its node
)

// EventKind selects the meaning of an Event.
type EventKind uint8

// The kinds of event, with the fields that they use.
const (
	NodesListed   EventKind = iota + 1 // a node list arrived: List, Nodes
	Arrived                            // a placement request arrived: Task
	Adopted                            // a task was found running, as attempt 0: Task, Node
	Bound                              // a node accepted an attempt: TaskID, Attempt, Node, Elapsed
	Ended                              // an attempt ended: as Bound, and Result, Reason, Final, Report
	UsageReported                      // a running task was measured: TaskID, Attempt, Node, Usage, Value
	Withdrawn                          // the client gave up a request: TaskID
	TimerFired                         // a timer that was set has fired: Token
)

// Event is something that happened to the scheduler.
type Event struct {
	Kind    EventKind
	TaskID  TaskID
	Task    Task
	Node    NodeID
	Attempt int // number of the attempt for its request, from 0
	Result  Result
	Reason  Reason
	Elapsed float64 // seconds since the attempt was sent
	Final   bool    // no further attempt is permitted
	Report  *Report // nil if none came
	List    ListKind
	Nodes   []Node // read during Handle only
	Usage   UsageKind
	Value   float64 // in the unit of Usage
	Token   uint64
}

// ActionKind selects the meaning of an Action.
type ActionKind uint8

// The kinds of action, with the fields that they use.
const (
	StartAttempt ActionKind = iota + 1 // send the task to a node: Task, Node, Attempt, Until
	Reject                             // answer the client that the task was not placed: Task, After
	Fail                               // answer the client that the outcome is not known: Task
	SetTimer                           // hand in TimerFired later: Token, After
	WatchNodes                         // request the node list and later changes
	ListNodes                          // request the node list once
	Migrate                            // stop a bound task, which the client then requests again: Task
)

// Action is something that the scheduler must do now.
type Action struct {
	Kind    ActionKind
	Task    TaskID
	Node    NodeID
	Attempt int
	Until   float64 // time at which the attempt times out
	After   float64 // seconds; for Reject the Retry-After, or 0 for none
	Token   uint64
}
