// Package simproto reads batches of events and writes replies in the binary protocol of the simulator. All numbers are
// little endian, all times are floating point numbers of seconds. It only encodes and decodes: package simadapter, which
// calls it, knows what events and actions mean. Begin reading at Reader.Next and Writer.Start.
//
// A batch is a header, which is the batch number, the length of the rest in bytes, the number of records (each 4 bytes)
// and the clock time (8 bytes), followed by the records. A reply is the batch number, the number of records and the
// length of the records in bytes, followed by the records. A record begins with its code and, except for
// EventDefineList, the number of the scheduler instance that it concerns.
package simproto

import "heathshed/placer"

// EventCode is the kind of an event record.
type EventCode uint8

// The codes of events.
const (
	EventDefineList        EventCode = 16 // the node list of a number, for later EventNodesListed
	EventAttemptEnded      EventCode = 17
	EventTaskArrived       EventCode = 18
	EventInstanceStart     EventCode = 19
	EventHealthCheckResult EventCode = 20
	EventTimerFired        EventCode = 21
	EventTaskWithdrawn     EventCode = 22
	EventInstanceStop      EventCode = 23
	EventTaskAdopted       EventCode = 24
	EventAttemptBound      EventCode = 25
	EventNodesListed       EventCode = 26
	EventUsageReported     EventCode = 27
	EventPeerMessage       EventCode = 28
)

// ActionCode is the kind of an action record.
type ActionCode uint8

// The codes of actions.
const (
	ActionAbortAttempt ActionCode = 80
	ActionLog          ActionCode = 82
	ActionFail         ActionCode = 83
	ActionReject       ActionCode = 85
	ActionStartAttempt ActionCode = 86
	ActionMigrate      ActionCode = 87
	ActionListNodes    ActionCode = 89
	ActionReportPanic  ActionCode = 90
	ActionWatchNodes   ActionCode = 91
	ActionSetTimer     ActionCode = 92
)

// ListKind is the kind of a node list.
type ListKind uint8

// The kinds of list.
const (
	ListFull    ListKind = 0
	ListCached  ListKind = 1
	ListFailed  ListKind = 2
	ListChanges ListKind = 4
)

// Status is the outcome of an attempt.
type Status uint16

// The outcomes.
const (
	StatusFinished    Status = 0
	StatusExpired     Status = 249
	StatusCancelled   Status = 250
	StatusLost        Status = 251
	StatusUnreachable Status = 252
	StatusTimedOut    Status = 253
	StatusRejected    Status = 254
	StatusErrored     Status = 255
)

// NodeState is the state of a node.
type NodeState uint8

// The states that are distinguished; nodes in any other state have terminated.
const (
	NodeReady    NodeState = 1
	NodeDraining NodeState = 2
)

// TaskFlags are bits that say more about a task.
type TaskFlags uint8

// retryFlags are the bits of which any says that the client requested the task before.
const retryFlags TaskFlags = 2 | 16

// IsRetry reports whether the client requested the task before.
func (f TaskFlags) IsRetry() bool { return f&retryFlags != 0 }

// MaxNodeLists is the number of node lists that may be defined, numbered from 0.
const MaxNodeLists = 16

// NodeAddress is a node's address of six bytes, packed into an integer. It is written as it was read.
type NodeAddress uint64

// NodeEntry is one entry of a node list.
type NodeEntry struct {
	Node           NodeAddress
	Zone, NodeType uint8
	FreeCores      float32
	Rack           uint16
	FreeMemory     float32
	State          NodeState
	Units          float32
	StartedAt      placer.Seconds
}

// Event is one event record. Which fields are set depends on Code. Slices are valid until the next Read.
type Event struct {
	Code                            EventCode
	Instance                        uint32
	TaskID, IdempotencyKey, Service uint64
	Node                            NodeAddress
	Class, Tenant                   uint16
	Deadline, Lifetime              placer.Seconds
	Cores, Memory                   float32
	Flags                           TaskFlags
	Attempt                         uint8
	Elapsed                         placer.Seconds
	Reason, Final                   uint8
	Status                          Status
	LoadValues                      []float32
	UsageKind                       uint8
	Value                           float32
	Token                           uint64
	ListKind                        ListKind
	ListNumber                      uint8
	ListVersion                     uint32
	Seed                            uint64
	Settings                        []byte
	Entries                         []NodeEntry
	SenderPeer                      uint32
	MessageBody                     []byte
}

// Batch is the header of a batch of events.
type Batch struct {
	Number      uint32
	RecordCount uint32         // records that follow
	Now         placer.Seconds // the time of all events of the batch
}
