// Package wire reads batches of events and writes replies, as the simulator speaks them. It knows bytes and
// nothing of their meaning.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// The codes of events.
const (
	EventDefineList        = 16
	EventAttemptEnded      = 17
	EventTaskArrived       = 18
	EventInstanceStart     = 19
	EventHealthCheckResult = 20
	EventTimerFired        = 21
	EventTaskWithdrawn     = 22
	EventInstanceStop      = 23
	EventTaskAdopted       = 24
	EventAttemptBound      = 25
	EventNodesListed       = 26
	EventUsageReported     = 27
	EventPeerMessage       = 28
)

// The codes of actions.
const (
	ActionAbortAttempt = 80
	ActionLog          = 82
	ActionFail         = 83
	ActionReject       = 85
	ActionStartAttempt = 86
	ActionMigrate      = 87
	ActionListNodes    = 89
	ActionReportPanic  = 90
	ActionWatchNodes   = 91
	ActionSetTimer     = 92
)

const (
	headerBytes    = 20
	entryBytes     = 31
	readChunkBytes = 1 << 20 // a frame is read in such pieces, so that a false length allocates little
)

// NodeAddress is a node's address, packed; it goes back to the wire as it came.
type NodeAddress uint64

// NodeEntry is one line of a list.
type NodeEntry struct {
	Node           NodeAddress
	Zone, NodeType uint8
	FreeCores      float32
	Rack           uint16
	FreeMemory     float32
	State          uint8
	Units          float32
	StartedAt      float64
}

// Event is one record of a batch. Which fields hold depends on Code; slices are valid until the next Read.
type Event struct {
	Code                        uint8
	Instance                    uint32
	ID, IdempotencyKey, Service uint64
	Node                        NodeAddress
	Class, Tenant               uint16
	Deadline, Lifetime          float64
	Cores, Memory               float32
	Flags                       uint8
	Attempt                     uint8
	Elapsed                     float64
	Reason, Final               uint8
	Status                      uint16
	Load                        []float32
	UsageKind                   uint8
	Value                       float32
	Token                       uint64
	ListKind, ListNumber        uint8
	ListVersion                 uint32
	Seed                        uint64
	Settings                    []byte
	Entries                     []NodeEntry
	From                        uint32
	Body                        []byte
}

// Batch is one frame of events.
type Batch struct {
	Number uint32
	Count  uint32
	Now    float64
}

// Reader reads batches.
type Reader struct {
	input   io.Reader
	buf     []byte
	header  [headerBytes]byte
	offset  int
	code    uint8
	err     error
	load    []float32
	entries []NodeEntry
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{input: r} }

// Next reads the header and body of the next batch. At the end of input between batches it returns io.EOF.
func (r *Reader) Next() (Batch, error) {
	if _, err := io.ReadFull(r.input, r.header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("wire: batch header: %w", err)
	}
	header := r.header[:]
	batch := Batch{binary.LittleEndian.Uint32(header), binary.LittleEndian.Uint32(header[8:]),
		math.Float64frombits(binary.LittleEndian.Uint64(header[12:]))}
	length := binary.LittleEndian.Uint32(header[4:])
	if length < headerBytes-8 {
		return batch, fmt.Errorf("wire: batch %d: length %d is under its own header's", batch.Number, length)
	}
	if math.IsNaN(batch.Now) || math.IsInf(batch.Now, 0) {
		return batch, fmt.Errorf("wire: batch %d: clock %v", batch.Number, batch.Now)
	}
	size := int(length) - (headerBytes - 8)
	if uint64(batch.Count)*5 > uint64(size) { // no record is shorter
		return batch, fmt.Errorf("wire: batch %d: %d records do not fit in %d bytes", batch.Number, batch.Count, size)
	}
	r.buf, r.offset, r.err = r.buf[:0], 0, nil
	for len(r.buf) < size {
		step := min(readChunkBytes, size-len(r.buf))
		filled := len(r.buf)
		if cap(r.buf) < filled+step {
			r.buf = append(r.buf, make([]byte, step)...)
		} else {
			r.buf = r.buf[:filled+step]
		}
		if _, err := io.ReadFull(r.input, r.buf[filled:]); err != nil {
			return batch, fmt.Errorf("wire: batch %d: body ends early: %w", batch.Number, err)
		}
	}
	return batch, nil
}

// Remaining says how many bytes of the batch are unread.
func (r *Reader) Remaining() int { return len(r.buf) - r.offset }

func (r *Reader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.buf)-r.offset {
		r.err = fmt.Errorf("wire: record of code %d: wants %d bytes at %d, %d are left",
			r.code, n, r.offset, len(r.buf)-r.offset)
		return nil
	}
	b := r.buf[r.offset : r.offset+n]
	r.offset += n
	return b
}

func (r *Reader) u8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *Reader) u16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *Reader) u32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *Reader) u64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *Reader) f32() float32 { return math.Float32frombits(r.u32()) }
func (r *Reader) f64() float64 { return math.Float64frombits(r.u64()) }

func (r *Reader) node() NodeAddress {
	if b := r.bytes(6); b != nil {
		return NodeAddress(binary.LittleEndian.Uint32(b)) | NodeAddress(binary.LittleEndian.Uint16(b[4:]))<<32
	}
	return 0
}

func (r *Reader) report() []float32 {
	n := int(r.u8())
	r.load = r.load[:0]
	for i := 0; i < n && r.err == nil; i++ {
		r.load = append(r.load, r.f32())
	}
	return r.load
}

// Read reads the next record of the batch into ev.
func (r *Reader) Read(ev *Event) error {
	r.code = 0
	start := r.offset
	*ev = Event{Code: r.u8()}
	r.code = ev.Code
	if ev.Code == EventDefineList {
		ev.ListNumber = r.u8()
		ev.Entries = r.list()
		if r.err == nil && ev.ListNumber > 15 {
			r.err = fmt.Errorf("wire: list number %d at byte %d is over 15", ev.ListNumber, start)
		}
		return r.err
	}
	ev.Instance = r.u32()
	switch ev.Code {
	case EventInstanceStart:
		ev.Seed = r.u64()
		ev.Settings = r.bytes(int(r.u32()))
	case EventInstanceStop:
	case EventNodesListed:
		ev.ListKind, ev.ListVersion, ev.ListNumber = r.u8(), r.u32(), r.u8()
	case EventTaskArrived:
		ev.ID, ev.Class, ev.Tenant, ev.IdempotencyKey = r.u64(), r.u16(), r.u16(), r.u64()
		ev.Deadline, ev.Lifetime, ev.Service = r.f64(), r.f64(), r.u64()
		ev.Cores, ev.Memory, ev.Flags = r.f32(), r.f32(), r.u8()
	case EventTaskAdopted:
		ev.ID, ev.Node, ev.Lifetime, ev.Deadline = r.u64(), r.node(), r.f64(), r.f64()
		ev.Class, ev.IdempotencyKey, ev.Flags = r.u16(), r.u64(), r.u8()
		ev.Cores, ev.Memory, ev.Service, ev.Tenant = r.f32(), r.f32(), r.u64(), r.u16()
	case EventAttemptBound:
		ev.ID, ev.Attempt, ev.Elapsed, ev.Node = r.u64(), r.u8(), r.f64(), r.node()
	case EventUsageReported:
		ev.ID, ev.Attempt, ev.Node, ev.UsageKind, ev.Value = r.u64(), r.u8(), r.node(), r.u8(), r.f32()
	case EventAttemptEnded:
		ev.ID, ev.Node, ev.Elapsed = r.u64(), r.node(), r.f64()
		ev.Reason, ev.Attempt, ev.Final, ev.Status = r.u8(), r.u8(), r.u8(), r.u16()
		ev.Load = r.report()
	case EventTaskWithdrawn:
		ev.ID = r.u64()
	case EventTimerFired:
		ev.Token = r.u64()
	case EventHealthCheckResult:
		ev.Status, ev.Node, ev.Elapsed = r.u16(), r.node(), r.f64()
		ev.Load = r.report()
	case EventPeerMessage:
		ev.From = r.u32()
		ev.Body = r.bytes(int(r.u16()))
	default:
		if r.err == nil {
			r.err = fmt.Errorf("wire: unknown event code %d at byte %d", ev.Code, start)
		}
	}
	return r.err
}

func (r *Reader) list() []NodeEntry {
	n := r.u32()
	if r.err == nil && uint64(n)*entryBytes > uint64(r.Remaining()) {
		r.err = fmt.Errorf("wire: list of %d entries does not fit in %d bytes", n, r.Remaining())
		return nil
	}
	r.entries = r.entries[:0]
	for i := uint32(0); i < n && r.err == nil; i++ {
		r.entries = append(r.entries, NodeEntry{Node: r.node(), Zone: r.u8(), FreeCores: r.f32(), NodeType: r.u8(),
			Rack: r.u16(), FreeMemory: r.f32(), State: r.u8(), Units: r.f32(), StartedAt: r.f64()})
	}
	return r.entries
}

// Writer builds one reply at a time.
type Writer struct {
	buf   []byte
	count uint32
}

// Start begins the reply to a batch.
func (w *Writer) Start(number uint32) {
	w.buf = append(w.buf[:0], make([]byte, 12)...)
	binary.LittleEndian.PutUint32(w.buf, number)
	w.count = 0
}

// Finish returns the bytes of the reply, valid until the next Start.
func (w *Writer) Finish() []byte {
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	binary.LittleEndian.PutUint32(w.buf[8:], uint32(len(w.buf)-12))
	return w.buf
}

func (w *Writer) action(code uint8, instance uint32) {
	w.count++
	w.buf = append(w.buf, code)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, instance)
}

func (w *Writer) u64(v uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *Writer) f64(v float64) { w.u64(math.Float64bits(v)) }

func (w *Writer) node(node NodeAddress) {
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(node))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(node>>32))
}

func (w *Writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(s)))
	w.buf = append(w.buf, s...)
}

// StartAttempt offers a task to a node until the given clock time.
func (w *Writer) StartAttempt(instance uint32, id uint64, until float64, node NodeAddress) {
	w.action(ActionStartAttempt, instance)
	w.u64(id)
	w.f64(until)
	w.node(node)
}

// Reject refuses a task.
func (w *Writer) Reject(instance uint32, id uint64, afterSeconds float64) {
	w.action(ActionReject, instance)
	w.u64(id)
	w.f64(afterSeconds)
}

// Fail fails a task.
func (w *Writer) Fail(instance uint32, id uint64) {
	w.action(ActionFail, instance)
	w.u64(id)
}

// SetTimer asks for a tick.
func (w *Writer) SetTimer(instance uint32, token uint64, afterSeconds float64) {
	w.action(ActionSetTimer, instance)
	w.u64(token)
	w.f64(afterSeconds)
}

// WatchNodes asks for the list and its changes.
func (w *Writer) WatchNodes(instance uint32) {
	w.action(ActionWatchNodes, instance)
	w.buf = append(w.buf, 1)
}

// ListNodes asks for the list once.
func (w *Writer) ListNodes(instance uint32) { w.action(ActionListNodes, instance) }

// Migrate stops a placed task.
func (w *Writer) Migrate(instance uint32, id uint64) {
	w.action(ActionMigrate, instance)
	w.u64(id)
}

// Abort ceases waiting for an attempt.
func (w *Writer) Abort(instance uint32, id uint64, attempt uint8) {
	w.action(ActionAbortAttempt, instance)
	w.u64(id)
	w.buf = append(w.buf, attempt)
}

// Log adds a line to the report.
func (w *Writer) Log(instance uint32, text string) {
	w.action(ActionLog, instance)
	w.text(text)
}

// ReportPanic tells that the decision code failed.
func (w *Writer) ReportPanic(instance uint32, text string) {
	w.action(ActionReportPanic, instance)
	w.text(text)
}
