package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"heathshed/placer"
)

const (
	headerBytes       = 20
	uncountedBytes    = 8 // bytes of the header that its length field does not include
	minRecordBytes    = 5
	nodeEntryBytes    = 31
	nodeAddressBytes  = 6
	maxReadChunkBytes = 1 << 20 // a batch is read in chunks of this size, so that a wrong length allocates little memory
)

// Reader reads batches of events.
type Reader struct {
	input   io.Reader
	header  [headerBytes]byte
	body    []byte // the records of the current batch
	offset  int    // of the next byte to read in body
	code    EventCode
	err     error // the first error in the current batch
	load    []float32
	entries []NodeEntry
}

// NewReader returns a Reader that reads from input.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// Next reads the next batch and returns its header. At the end of input between batches it returns io.EOF.
func (r *Reader) Next() (Batch, error) {
	if _, err := io.ReadFull(r.input, r.header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("simproto: batch header: %w", err)
	}
	batch := Batch{
		Number:      binary.LittleEndian.Uint32(r.header[0:]),
		RecordCount: binary.LittleEndian.Uint32(r.header[8:]),
		Now:         placer.Seconds(math.Float64frombits(binary.LittleEndian.Uint64(r.header[12:]))),
	}
	length := binary.LittleEndian.Uint32(r.header[4:])
	if length < headerBytes-uncountedBytes {
		return batch, fmt.Errorf("simproto: batch %d: length %d is under its own header's", batch.Number, length)
	}
	if now := float64(batch.Now); math.IsNaN(now) || math.IsInf(now, 0) {
		return batch, fmt.Errorf("simproto: batch %d: clock %v", batch.Number, batch.Now)
	}
	size := int(length) - (headerBytes - uncountedBytes)
	if uint64(batch.RecordCount)*minRecordBytes > uint64(size) {
		return batch, fmt.Errorf("simproto: batch %d: %d records do not fit in %d bytes", batch.Number, batch.RecordCount, size)
	}
	if err := r.readBody(size); err != nil {
		return batch, fmt.Errorf("simproto: batch %d: body ends early: %w", batch.Number, err)
	}
	return batch, nil
}

// readBody reads the records of a batch.
func (r *Reader) readBody(size int) error {
	r.body = r.body[:0]
	r.offset = 0
	r.err = nil
	for len(r.body) < size {
		filled := len(r.body)
		step := min(maxReadChunkBytes, size-filled)
		if cap(r.body) < filled+step {
			r.body = append(r.body, make([]byte, step)...)
		} else {
			r.body = r.body[:filled+step]
		}
		if _, err := io.ReadFull(r.input, r.body[filled:]); err != nil {
			return err
		}
	}
	return nil
}

// RemainingBytes returns the number of unread bytes of the current batch.
func (r *Reader) RemainingBytes() int { return len(r.body) - r.offset }

// Read reads the next record of the batch into event. After an error the batch cannot be read further.
func (r *Reader) Read(event *Event) error {
	r.code = 0
	start := r.offset
	*event = Event{Code: EventCode(r.u8())}
	r.code = event.Code
	if event.Code == EventDefineList {
		event.ListNumber = r.u8()
		event.Entries = r.list()
		if r.err == nil && event.ListNumber >= MaxNodeLists {
			r.err = fmt.Errorf("simproto: list number %d at byte %d is over %d", event.ListNumber, start, MaxNodeLists-1)
		}
		return r.err
	}
	event.Instance = r.u32()
	if known := r.readTaskEvent(event) || r.readOtherEvent(event); !known && r.err == nil {
		r.err = fmt.Errorf("simproto: unknown event code %d at byte %d", event.Code, start)
	}
	return r.err
}

// readTaskEvent reads the fields of an event about a task or its attempts. It returns false if the event is another one.
// The fields of each record are read in the order in which they are written here.
func (r *Reader) readTaskEvent(event *Event) bool {
	switch event.Code {
	case EventTaskArrived:
		event.TaskID, event.Class, event.Tenant, event.IdempotencyKey = r.u64(), r.u16(), r.u16(), r.u64()
		event.Deadline, event.Lifetime, event.Service = r.seconds(), r.seconds(), r.u64()
		event.Cores, event.Memory, event.Flags = r.f32(), r.f32(), TaskFlags(r.u8())
	case EventTaskAdopted:
		event.TaskID, event.Node, event.Lifetime, event.Deadline = r.u64(), r.node(), r.seconds(), r.seconds()
		event.Class, event.IdempotencyKey, event.Flags = r.u16(), r.u64(), TaskFlags(r.u8())
		event.Cores, event.Memory, event.Service, event.Tenant = r.f32(), r.f32(), r.u64(), r.u16()
	case EventAttemptBound:
		event.TaskID, event.Attempt, event.Elapsed, event.Node = r.u64(), r.u8(), r.seconds(), r.node()
	case EventUsageReported:
		event.TaskID, event.Attempt, event.Node, event.UsageKind, event.Value = r.u64(), r.u8(), r.node(), r.u8(), r.f32()
	case EventAttemptEnded:
		event.TaskID, event.Node, event.Elapsed = r.u64(), r.node(), r.seconds()
		event.Reason, event.Attempt, event.Final, event.Status = r.u8(), r.u8(), r.u8(), Status(r.u16())
		event.LoadValues = r.report()
	case EventTaskWithdrawn:
		event.TaskID = r.u64()
	default:
		return false
	}
	return true
}

// readOtherEvent reads the fields of an event that is not about a task. It returns false if the code is unknown.
func (r *Reader) readOtherEvent(event *Event) bool {
	switch event.Code {
	case EventInstanceStart:
		event.Seed = r.u64()
		event.Settings = r.bytes(int(r.u32()))
	case EventInstanceStop: // has no fields
	case EventNodesListed:
		event.ListKind, event.ListVersion, event.ListNumber = ListKind(r.u8()), r.u32(), r.u8()
	case EventTimerFired:
		event.Token = r.u64()
	case EventHealthCheckResult:
		event.Status, event.Node, event.Elapsed = Status(r.u16()), r.node(), r.seconds()
		event.LoadValues = r.report()
	case EventPeerMessage:
		event.SenderPeer = r.u32()
		event.MessageBody = r.bytes(int(r.u16()))
	default:
		return false
	}
	return true
}

// list reads a node list, which is valid until the next call.
func (r *Reader) list() []NodeEntry {
	count := r.u32()
	if r.err == nil && uint64(count)*nodeEntryBytes > uint64(r.RemainingBytes()) {
		r.err = fmt.Errorf("simproto: list of %d entries does not fit in %d bytes", count, r.RemainingBytes())
		return nil
	}
	r.entries = r.entries[:0]
	for i := uint32(0); i < count && r.err == nil; i++ {
		// The fields are read in this order.
		r.entries = append(r.entries, NodeEntry{
			Node:       r.node(),
			Zone:       r.u8(),
			FreeCores:  r.f32(),
			NodeType:   r.u8(),
			Rack:       r.u16(),
			FreeMemory: r.f32(),
			State:      NodeState(r.u8()),
			Units:      r.f32(),
			StartedAt:  r.seconds(),
		})
	}
	return r.entries
}

// report reads the values of a load report, which are valid until the next call.
func (r *Reader) report() []float32 {
	count := int(r.u8())
	r.load = r.load[:0]
	for i := 0; i < count && r.err == nil; i++ {
		r.load = append(r.load, r.f32())
	}
	return r.load
}

// bytes returns the next bytes, or nil after an error.
func (r *Reader) bytes(count int) []byte {
	if r.err != nil {
		return nil
	}
	if count < 0 || count > r.RemainingBytes() {
		r.err = fmt.Errorf("simproto: record of code %d: wants %d bytes at %d, %d are left", r.code, count, r.offset, r.RemainingBytes())
		return nil
	}
	start := r.offset
	r.offset += count
	return r.body[start:r.offset]
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

// seconds reads a time or duration.
func (r *Reader) seconds() placer.Seconds { return placer.Seconds(math.Float64frombits(r.u64())) }

func (r *Reader) node() NodeAddress {
	if b := r.bytes(nodeAddressBytes); b != nil {
		return NodeAddress(binary.LittleEndian.Uint32(b)) | NodeAddress(binary.LittleEndian.Uint16(b[4:]))<<32
	}
	return 0
}
