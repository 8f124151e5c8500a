// Package simproto reads batches of events and writes replies in the binary protocol of the simulator. All
// numbers are little endian, and all times are floating point numbers of seconds. The package only encodes
// and decodes records. Package simadapter calls this package and translates the events and actions for the
// placer. Reader.Next and Writer.Start are the entry points.
//
// A batch consists of a header and event records. The header has four fields: the batch number (4 bytes), the
// number of bytes that follow this length field (4 bytes), the number of records (4 bytes) and the clock time
// (8 bytes). A reply consists of a header and action records. The header has three fields of 4 bytes each:
// the batch number, the number of records and the total length of the records in bytes. Each record begins
// with its code (1 byte). The number of the scheduler instance that the record concerns follows the code (4
// bytes), except in EventDefineList, whose lists are shared by all instances.
package simproto

import "heathshed/placer"

// EventCode identifies the kind of an event record.
type EventCode uint8

// The event codes of the protocol have these values.
const (
	// EventDefineList defines a numbered node list, to which later EventNodesListed events refer.
	EventDefineList        EventCode = 16
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

// ActionCode identifies the kind of an action record.
type ActionCode uint8

// The action codes of the protocol have these values.
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

// ListKind is the kind of a node list in an EventNodesListed event.
type ListKind uint8

// The kinds of node lists have these values in the protocol. ListFailed reports that the request for the list
// failed.
const (
	ListFull    ListKind = 0
	ListCached  ListKind = 1
	ListFailed  ListKind = 2
	ListChanges ListKind = 4
)

// Status is the outcome of an attempt or of a health check.
type Status uint16

// The outcomes of attempts and health checks have these values in the protocol.
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

// NodeState is the state of a node in an entry of a node list.
type NodeState uint8

// The states of a node have these values in the protocol. Any other value means that the node has terminated.
const (
	NodeReady    NodeState = 1
	NodeDraining NodeState = 2
)

// TaskFlags are the flag bits in the record of a task.
type TaskFlags uint8

// retryFlagMask contains the flag bits that mark a repeated request. Either bit alone marks the request as a
// retry.
const retryFlagMask TaskFlags = 2 | 16

// IsRetry reports whether the client has requested the same task before.
func (f TaskFlags) IsRetry() bool { return f&retryFlagMask != 0 }

// MaxNodeLists is the maximum number of node lists that the simulator can define. The lists are numbered from
// 0.
const MaxNodeLists = 16

// NodeAddress holds the six bytes of a node's address, packed into an integer. An address that was read and
// is written again has the same six bytes.
type NodeAddress uint64

// NodeEntry describes one node in a node list.
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

// Event holds the fields of one event record. The event code determines which fields are set. The slices are
// valid until the next call of Reader.Read.
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

// Batch holds the header of a batch of events.
type Batch struct {
	Number      uint32
	RecordCount uint32         // RecordCount is the number of records that follow the header.
	Now         placer.Seconds // Now is the time at which all events of the batch occur.
}
