// Package placer decides on which nodes long-lived tasks run.
//
// A Placer makes the placement decisions of one scheduler. The caller passes events to the Placer in
// chronological order, each with its time, and carries out the returned actions in order. The times must not
// decrease. All times are Seconds on one clock, which the caller chooses. A Placer is deterministic: equal
// configurations, seeds and events give equal actions. It performs no I/O, reads no clock and starts no
// goroutines. It is not safe for concurrent use.
//
// The front ends of the scheduler (packages internal/platform/dispatch and internal/kube/engine) and the
// adapter for the simulator each run a Placer. The entry point is Placer.Handle in placer.go. Placer.place in
// placement.go shows how one request is placed. The file api.go defines the events, the actions and their
// types.
//
// The file docs/design.md describes the algorithm and explains the values of its constants.
package placer

// TaskID identifies one placement request and the task that it places. A client that requests a task again
// uses a new TaskID.
type TaskID uint64

// ServiceID identifies the service that a task belongs to. Tasks of one service run the same program.
type ServiceID uint64

// NodeID identifies a node. It says nothing about the node's location.
type NodeID uint64

// Task describes the task of a placement request.
type Task struct {
	ID            TaskID
	Class, Tenant int // indexes of the task class in Config.Classes and of the tenant in Config.Tenants
	Service       ServiceID
	Cores, Memory float64 // capacity that the task requests
	Deadline      Seconds // time by which the client must get the final answer
	IsRetry       bool    // the client has requested the task before, under another TaskID
}

// NodeState is the state of a node according to the node list.
type NodeState uint8

// The states of a node.
const (
	Terminated NodeState = iota
	Ready
	Draining // the node keeps running its tasks but accepts no new tasks
)

// Node is an entry of the node list.
type Node struct {
	ID                    NodeID
	Zone, Rack, NodeType  int // NodeType is an index into Config.NodeTypes
	State                 NodeState
	FreeCores, FreeMemory float64 // capacity that no task has requested; negative on an overcommitted node
	StartedAt             Seconds // time of the latest start of the node; 0 if the node started long ago
}

// Report is the load that a node reports. A value is NaN if the node does not report it.
type Report struct {
	// FreeCores and FreeMemory are the capacity that is not in use if NodeBehavior.ReportsUsage is set.
	// Otherwise, they are the capacity that no task has requested.
	FreeCores, FreeMemory float64
	Utilization           float64 // fraction of the node's cores that is in use
	QueueLength           float64 // number of tasks that wait on the node
}

// ListKind is the kind of a node list.
type ListKind uint8

// The kinds of node list.
const (
	FullList   ListKind = iota // the list names all nodes; a node that it does not name has terminated
	CachedList                 // the list names all nodes but may be out of date
	Changes                    // the list names only the nodes that have changed since the previous list
	ListFailed                 // the request for the node list failed
)

// Result is the outcome of an attempt.
type Result uint8

// The results of an attempt. Rejected, Unreachable and Expired prove that the task did not start.
const (
	Finished    Result = iota // the task ran to completion
	Errored                   // the node answered with an error, or the task failed
	Rejected                  // the node did not accept the task
	TimedOut                  // the node did not answer before the attempt timed out
	Unreachable               // no connection to the node could be established
	Lost                      // the connection to the node broke, or the node stopped the task
	Cancelled                 // the client withdrew the task
	Expired                   // the deadline of the request passed before the attempt was sent to the node
)

// provesNotStarted reports whether the result proves that the attempt did not start the task.
func (r Result) provesNotStarted() bool {
	return r == Rejected || r == Unreachable || r == Expired
}

// Reason is the reason that a node gives for the result of an attempt.
type Reason uint8

// The reasons that a node can give for the result of an attempt.
const (
	NoReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode // the node does not accept this task, for example because the node is draining
	Evicted   // the node stopped the task because the node ran out of memory
	Preempted // the node stopped the task in favor of a task of higher priority
	Drained   // the node stopped the task because the node is draining
)

// UsageKind selects the quantity that was measured for a usage report on a running task.
type UsageKind uint8

// The kinds of usage report.
const (
	Started        UsageKind = iota + 1 // the task has started
	CoresUsed                           // number of cores that the task uses
	MemoryUsed                          // amount of memory that the task uses
	ServedFraction                      // speed of the task as a fraction of its full speed
	NodeMemory                          // amount of memory in use on the node that runs the task
)

// EventKind selects the meaning of an Event and determines which of its fields are used.
type EventKind uint8

// The kinds of event.
const (
	// NodesListed means that a node list arrived. It uses the fields List and Nodes.
	NodesListed EventKind = iota + 1
	// Arrived means that a placement request arrived. It uses the field Task.
	Arrived
	// Adopted means that the scheduler found a task that already runs on a node. The running task becomes
	// attempt 0 of its request. The event uses the fields Task and Node.
	Adopted
	// Bound means that a node accepted an attempt. It uses the fields TaskID, Attempt, Node and Elapsed.
	Bound
	// Ended means that an attempt ended. It uses the fields TaskID, Attempt, Node, Elapsed, Result, Reason,
	// Final and Report.
	Ended
	// UsageReported means that the usage of a running task was measured. It uses the fields TaskID, Attempt,
	// Node, Usage and Value.
	UsageReported
	// Withdrawn means that the client withdrew a request. It uses the field TaskID.
	Withdrawn
	// TimerFired means that the timer of a SetTimer action fired. It uses the field Token.
	TimerFired
)

// Event is an input to the Placer, such as a placement request, a node list or the outcome of an attempt.
type Event struct {
	Kind    EventKind
	TaskID  TaskID
	Task    Task
	Node    NodeID
	Attempt int // index of the attempt among the attempts for its request; an adopted task has attempt 0
	Result  Result
	Reason  Reason
	Elapsed Seconds // time between the sending of the attempt and the event
	Final   bool    // no further attempt may be made for the request
	Report  *Report // load report of the node; nil if the event contains no load report
	List    ListKind
	Nodes   []Node // the Placer does not keep the slice after Handle returns
	Usage   UsageKind
	Value   float64 // measured quantity, whose kind and unit Usage determines
	Token   uint64
}

// ActionKind selects the meaning of an Action and determines which of its fields are used.
type ActionKind uint8

// The kinds of action.
const (
	// StartAttempt sends the task to a node. It uses the fields Task, Node, Attempt and Until.
	StartAttempt ActionKind = iota + 1
	// Reject tells the client that the task was not placed. It uses the fields Task and After.
	Reject
	// Fail tells the client that the outcome of its request is unknown. It uses the field Task.
	Fail
	// SetTimer starts a timer. When the timer fires, the scheduler passes a TimerFired event with the same
	// token to Handle. The action uses the fields Token and After. If the field Task is not 0, the timer belongs to
	// the request for this task and may be dropped once the request is answered, placed or withdrawn.
	SetTimer
	// WatchNodes requests the node list and its later changes.
	WatchNodes
	// ListNodes requests the node list once.
	ListNodes
	// Migrate stops a task that runs on a node. The client then requests the task again. It uses the field
	// Task.
	Migrate
)

// Action is an instruction that the scheduler must carry out immediately.
type Action struct {
	Kind    ActionKind
	Task    TaskID
	Node    NodeID
	Attempt int
	Until   Seconds // time at which the attempt times out
	After   Seconds // for SetTimer, the delay; for Reject, the Retry-After value, or 0 if there is none
	Token   uint64
}
