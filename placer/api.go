// Package placer decides where long-lived tasks run on shared machines.
//
// A Placer is the brain of one scheduler. Hand it events in the order in which they happened, each with a
// clock that never goes back, and carry out the actions it returns in the order in which they stand. Time is
// in seconds on any clock. Equal configurations, seeds and events give equal actions. A Placer does no I/O,
// reads no clock, starts no goroutine and is for one goroutine at a time.
package placer

import (
	"errors"
	"fmt"
	"math"
)

// TaskID names one ask for a placing; a task that comes again has a new one.
type TaskID uint64

// ServiceID names the service that a task belongs to.
type ServiceID uint64

// NodeID names a machine. It says nothing of where the machine stands.
type NodeID uint64

// Idempotency says what a second start of a task would do.
type Idempotency uint8

// The effects a class can have.
const (
	Idempotent      Idempotency = iota // a second copy does no harm
	IdempotentByKey                    // machines of one group drop repeats for a while
	NonIdempotent                      // must never be started twice
)

// TopologyDomain is a kind of location that a rule speaks of.
type TopologyDomain uint8

// The places: none, one machine, a rack, a zone, or all machines together.
const (
	NoDomain TopologyDomain = iota
	NodeDomain
	RackDomain
	ZoneDomain
	ClusterDomain
)

// Class is what tasks of one kind have in common.
type Class struct {
	Idempotency         Idempotency
	DedupDomain         TopologyDomain // Keyed: the machines that drop repeats
	DedupWindow         float64        // Keyed: for how long they do, from the first doubtful offer
	LatencyObjective    float64        // a first start within this earns full worth
	Deadline            float64        // how long an owner waits
	Weight              float64        // worth of a second of full service
	LateWeight          float64        // part of the start's worth between aim and deadline
	StartBonus          float64        // seconds of service that a start in time is worth
	Priority            int
	NodeType            int            // the kind of machine needed, or -1
	SpreadDomain        TopologyDomain // where tasks of a service must not crowd
	MaxPerDomain        int            // how many of a service may share such a place
	SaturationThreshold float64        // full service while the cores are busy up to this part
	DegradationRange    float64        // service falls to nothing over this much more
}

// NodeType is a type of machine.
type NodeType struct{ Cores, Memory float64 }

// Tenant is one of those who share the fleet.
type Tenant struct {
	Share float64 // its part of the service
	Cores float64 // cores it may ask for, over all schedulers, within its share
}

// Config is all that a scheduler is told at its start.
type Config struct {
	Self, Peers int // number of this scheduler and how many there are
	Zone        int // the zone of this scheduler
	Classes     []Class
	NodeTypes   []NodeType
	Tenants     []Tenant

	OvercommitCores, OvercommitMemory float64 // machines accept asks up to these multiples of their size
	AcknowledgesOnStart               bool    // a bind is told when the task runs, not when it was accepted
	ListShowsCapacity                 bool    // list entries carry room that nobody asked for
	ReportsUsage                      bool    // reports count use, not asks
	StickyServices                    bool    // the tasks of a service come to one scheduler while it is up
	Preempts                          bool    // machines push out lower priorities

	MaxAttempts        int
	AllowsHedging      bool    // two attempts of a task may be out together
	ConnectTimeout     float64 // a connection fails after this
	AnswerGrace        float64 // a final answer counts this long after the deadline
	DrainGrace         float64
	WarmupMinPace      float64 // a machine that just came up starts tasks at this part of its pace or better
	WarmupDuration     float64 // and is warm after this
	OverloadMultiple   float64 // a cold machine falls over at this multiple of what it can do
	OverloadWindow     float64 // kept up for this long
	WarmupAttempts     float64 // offers in a fall window, from all schedulers, that a cold machine always bears
	MustPollNodes      bool    // the list comes only when asked for
	MaxPollInterval    float64 // how long the list may go unasked
	SendsRetryAfter    bool    // owners are told when to come again
	MaxRetryAfter      float64 // and follow it up to this
	UnknownOutcomeWait float64 // how long owners of doubtful tasks wait
	NodeCost           float64 // of machines that hold a task beyond those needed, as a part of all
	CrossZoneCost      float64 // of tasks that run outside this scheduler's zone, as a part of all
	MigrationCost      float64 // of one move for each task
	OverQuotaWeight    float64 // worth of a task beyond its tenant's share
}

// check returns an error that names the first field that cannot be used.
func (c *Config) check() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("config has no classes")
	case len(c.NodeTypes) == 0:
		return errors.New("config has no kinds of machine")
	case c.Peers < 1:
		return fmt.Errorf("peers %d: want at least 1", c.Peers)
	case c.Self < 0 || c.Self >= c.Peers:
		return fmt.Errorf("self %d: want 0 to %d, one of the peers", c.Self, c.Peers-1)
	case c.MaxAttempts < 1:
		return fmt.Errorf("attempts %d: want at least 1", c.MaxAttempts)
	}
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"warm within", c.WarmupDuration}, {"fall window", c.OverloadWindow}, {"cold always", c.WarmupAttempts},
		{"answer slack", c.AnswerGrace}, {"drain grace", c.DrainGrace}, {"ask within", c.MaxPollInterval},
		{"fleet price", c.NodeCost}, {"cross price", c.CrossZoneCost}, {"move price", c.MigrationCost},
	} {
		if !(v.value >= 0) {
			return fmt.Errorf("%s %v: want 0 or more", v.name, v.value)
		}
	}
	for i, k := range c.Classes {
		if !(k.LatencyObjective > 0) || !(k.Deadline > 0) {
			return fmt.Errorf("class %d: aim %v or deadline %v not usable", i, k.LatencyObjective, k.Deadline)
		}
	}
	for i, k := range c.NodeTypes {
		if !(k.Cores > 0) || !(k.Memory > 0) {
			return fmt.Errorf("kind %d: cores %v or memory %v not usable", i, k.Cores, k.Memory)
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

// Task is one ask for a placing.
type Task struct {
	ID            TaskID
	Class, Tenant int
	Service       ServiceID
	Cores, Memory float64
	Deadline      float64 // clock time
	IsRetry       bool    // it came before
}

// NodeState is what the list says of a machine.
type NodeState uint8

// The states of a machine.
const (
	Terminated NodeState = iota
	Ready
	Draining
)

// Node is one entry of the list of machines.
type Node struct {
	ID                    NodeID
	Zone, Rack, NodeType  int
	State                 NodeState
	FreeCores, FreeMemory float64 // nobody asked for; may be negative
	StartedAt             float64 // clock time of the last start; 0 is long ago
}

// Report is what a machine says of its load. A value that was not told is NaN.
type Report struct{ FreeCores, FreeMemory, Utilization, QueueLength float64 }

// ListKind says how a list is meant.
type ListKind uint8

// The kinds of list.
const (
	FullList ListKind = iota
	CachedList
	Changes
	ListFailed
)

// Result says how an attempt ended.
type Result uint8

// The results of an attempt. Refused, Unreachable and Moot prove that the task never ran.
const (
	Finished Result = iota
	Errored
	Rejected
	TimedOut
	Unreachable
	Lost
	Cancelled
	Expired
)

// neverRan reports whether the result proves that the attempt did not start the task.
func (r Result) neverRan() bool {
	return r == Rejected || r == Unreachable || r == Expired
}

// Reason says more about a result.
type Reason uint8

// The reasons a machine gives.
const (
	NoReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode
	Evicted
	Preempted
	Drained
)

// UsageKind says what a note on a task measures.
type UsageKind uint8

// The notes on a running task.
const (
	Started UsageKind = iota + 1
	CoresUsed
	MemoryUsed
	ServedFraction
	NodeMemory
)

// EventKind selects what an Event says.
type EventKind uint8

// The events: Listed has List and Nodes; Arrived has Task; Running has Task and Node (attempt 0 is running
// there); Bound has ID, Attempt, Node and Elapsed; Ended has ID, Attempt, Node, Result, Reason, Elapsed, Over
// and Report; Noted has ID, Attempt, Node, Use and Value; Withdrawn has ID; Woken has Token.
const (
	NodesListed EventKind = iota + 1
	Arrived
	Adopted
	Bound
	Ended
	UsageReported
	Withdrawn
	TimerFired
)

// Event is something that happened to this scheduler.
type Event struct {
	Kind    EventKind
	TaskID  TaskID
	Task    Task
	Node    NodeID
	Attempt int
	Result  Result
	Reason  Reason
	Elapsed float64 // since the offer
	Final   bool    // the ask is over
	Report  *Report // nil when none came
	List    ListKind
	Nodes   []Node // read during Handle only
	Usage   UsageKind
	Value   float64
	Token   uint64
}

// ActionKind selects what an Action asks for.
type ActionKind uint8

// The actions: Offer has Task, Node, Attempt and Until (give up then); Refuse has Task and After (the owner
// should not come earlier; 0 is no advice); Fail has Task; Wake has Token and After; Watch and Fetch ask for
// the list, with changes from now on or once; Move stops a bound Task, whose owner then asks again.
const (
	StartAttempt ActionKind = iota + 1
	Reject
	Fail
	SetTimer
	WatchNodes
	ListNodes
	Migrate
)

// Action is something the scheduler must do now.
type Action struct {
	Kind    ActionKind
	Task    TaskID
	Node    NodeID
	Attempt int
	Until   float64
	After   float64
	Token   uint64
}
