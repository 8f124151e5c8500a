// Package placer decides on which nodes long-lived tasks run.
//
// A Placer decides for one scheduler. The caller passes it events in the order in which they happened, each with the
// time, which never decreases, and carries out the returned actions in their order. All times are Seconds on any
// one clock. Equal configurations, seeds and events give equal actions. A Placer does no I/O, reads no clock, starts no
// goroutine, and must not be used by several goroutines at once.
//
// The fronts of the scheduler, packages internal/platform/dispatch and internal/kube/engine, and the simulator's adapter
// each run a Placer. Begin reading at Placer.Handle in placer.go; Placer.place in placement.go is the way of one request.
// This file has the events, the actions and the types that they consist of.
//
// The algorithm and the origin of its constants are described in docs/design.md.
package placer

// TaskID identifies one placement request and the task that it places. A task that is requested again has a new ID.
type TaskID uint64

// ServiceID identifies the service that a task belongs to. Tasks of one service run the same program.
type ServiceID uint64

// NodeID identifies a node. It says nothing about the node's location.
type NodeID uint64

// Task is a request to place a task.
type Task struct {
	ID            TaskID
	Class, Tenant int // indexes in Config
	Service       ServiceID
	Cores, Memory float64 // requested capacity
	Deadline      Seconds // time by which the final answer is due
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
	StartedAt             Seconds // time of the last start; 0 is long ago
}

// Report is a node's report of its load. A value that is not reported is NaN.
type Report struct {
	FreeCores, FreeMemory float64 // not in use where Config.ReportsUsage, otherwise not requested
	Utilization           float64 // fraction of the cores in use
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
	TimedOut                  // no answer arrived in time
	Unreachable               // no connection to the node
	Lost                      // the connection broke, or the node stopped the task
	Cancelled                 // the client withdrew the task
	Expired                   // the attempt was not sent before its deadline
)

// neverRan reports whether the result proves that the attempt did not start the task.
func (r Result) neverRan() bool {
	return r == Rejected || r == Unreachable || r == Expired
}

// Reason is the reason that a node gives for a result.
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
	ServedFraction                      // fraction of full service that the task gives
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
	TimerFired                         // the timer of a SetTimer action has fired: Token
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
	Elapsed Seconds // since the attempt was sent
	Final   bool    // no further attempt may be made
	Report  *Report // nil if there is none
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
	SetTimer                           // report TimerFired later: Token, After
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
	Until   Seconds // time at which the attempt times out
	After   Seconds // for Reject the Retry-After, or 0 for none
	Token   uint64
}
