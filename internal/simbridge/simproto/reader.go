package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	headerBytes       = 20
	uncountedBytes    = 8 // of the header, which the length in it does not count
	minRecordBytes    = 5
	nodeEntryBytes    = 31
	nodeAddressBytes  = 6
	maxReadChunkBytes = 1 << 20 // a batch is read in such parts, so that a wrong length allocates little
)

// Reader reads batches of events.
type Reader struct {
	input   io.Reader
	header  [headerBytes]byte
	buf     []byte // the records of the present batch
	offset  int    // of the next byte to read in buf
	code    EventCode
	err     error // the first error in the present batch
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
		Number: binary.LittleEndian.Uint32(r.header[0:]),
		Count:  binary.LittleEndian.Uint32(r.header[8:]),
		Now:    math.Float64frombits(binary.LittleEndian.Uint64(r.header[12:])),
	}
	length := binary.LittleEndian.Uint32(r.header[4:])
	if length < headerBytes-uncountedBytes {
		return batch, fmt.Errorf("simproto: batch %d: length %d is under its own header's", batch.Number, length)
	}
	if math.IsNaN(batch.Now) || math.IsInf(batch.Now, 0) {
		return batch, fmt.Errorf("simproto: batch %d: clock %v", batch.Number, batch.Now)
	}
	size := int(length) - (headerBytes - uncountedBytes)
	if uint64(batch.Count)*minRecordBytes > uint64(size) {
		return batch, fmt.Errorf("simproto: batch %d: %d records do not fit in %d bytes", batch.Number, batch.Count, size)
	}
	if err := r.readBody(size); err != nil {
		return batch, fmt.Errorf("simproto: batch %d: body ends early: %w", batch.Number, err)
	}
	return batch, nil
}

func (r *Reader) readBody(size int) error {
	r.buf = r.buf[:0]
	r.offset = 0
	r.err = nil
	for len(r.buf) < size {
		filled := len(r.buf)
		step := min(maxReadChunkBytes, size-filled)
		if cap(r.buf) < filled+step {
			r.buf = append(r.buf, make([]byte, step)...)
		} else {
			r.buf = r.buf[:filled+step]
		}
		if _, err := io.ReadFull(r.input, r.buf[filled:]); err != nil {
			return err
		}
	}
	return nil
}

// Remaining returns the number of bytes of the batch that are unread.
func (r *Reader) Remaining() int { return len(r.buf) - r.offset }

// Read reads the next record of the batch into ev. After an error the batch cannot be read further.
func (r *Reader) Read(ev *Event) error {
	r.code = 0
	start := r.offset
	*ev = Event{Code: EventCode(r.u8())}
	r.code = ev.Code
	if ev.Code == EventDefineList {
		ev.ListNumber = r.u8()
		ev.Entries = r.list()
		if r.err == nil && ev.ListNumber >= MaxLists {
			r.err = fmt.Errorf("simproto: list number %d at byte %d is over %d", ev.ListNumber, start, MaxLists-1)
		}
		return r.err
	}
	ev.Instance = r.u32()
	if known := r.readTaskEvent(ev) || r.readOtherEvent(ev); !known && r.err == nil {
		r.err = fmt.Errorf("simproto: unknown event code %d at byte %d", ev.Code, start)
	}
	return r.err
}

// readTaskEvent reads the fields of an event that concerns a task or its attempts; false if it is another event.
// The fields of each record are read in the order in which they are written here.
func (r *Reader) readTaskEvent(ev *Event) bool {
	switch ev.Code {
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
	default:
		return false
	}
	return true
}

// readOtherEvent reads the fields of an event that concerns no task; false if the code is unknown.
func (r *Reader) readOtherEvent(ev *Event) bool {
	switch ev.Code {
	case EventInstanceStart:
		ev.Seed = r.u64()
		ev.Settings = r.bytes(int(r.u32()))
	case EventInstanceStop: // has no fields
	case EventNodesListed:
		ev.ListKind, ev.ListVersion, ev.ListNumber = r.u8(), r.u32(), r.u8()
	case EventTimerFired:
		ev.Token = r.u64()
	case EventHealthCheckResult:
		ev.Status, ev.Node, ev.Elapsed = r.u16(), r.node(), r.f64()
		ev.Load = r.report()
	case EventPeerMessage:
		ev.From = r.u32()
		ev.Body = r.bytes(int(r.u16()))
	default:
		return false
	}
	return true
}

func (r *Reader) list() []NodeEntry {
	n := r.u32()
	if r.err == nil && uint64(n)*nodeEntryBytes > uint64(r.Remaining()) {
		r.err = fmt.Errorf("simproto: list of %d entries does not fit in %d bytes", n, r.Remaining())
		return nil
	}
	r.entries = r.entries[:0]
	for i := uint32(0); i < n && r.err == nil; i++ {
		// The fields are read in this order.
		r.entries = append(r.entries, NodeEntry{
			Node:       r.node(),
			Zone:       r.u8(),
			FreeCores:  r.f32(),
			NodeType:   r.u8(),
			Rack:       r.u16(),
			FreeMemory: r.f32(),
			State:      r.u8(),
			Units:      r.f32(),
			StartedAt:  r.f64(),
		})
	}
	return r.entries
}

func (r *Reader) report() []float32 {
	n := int(r.u8())
	r.load = r.load[:0]
	for i := 0; i < n && r.err == nil; i++ {
		r.load = append(r.load, r.f32())
	}
	return r.load
}

// bytes returns the next n bytes, or nil after an error.
func (r *Reader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > r.Remaining() {
		r.err = fmt.Errorf("simproto: record of code %d: wants %d bytes at %d, %d are left", r.code, n, r.offset, r.Remaining())
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
	if b := r.bytes(nodeAddressBytes); b != nil {
		return NodeAddress(binary.LittleEndian.Uint32(b)) | NodeAddress(binary.LittleEndian.Uint16(b[4:]))<<32
	}
	return 0
}
