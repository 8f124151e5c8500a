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
	headerBytes          = 20
	uncountedHeaderBytes = 8 // The length in a batch header does not include the batch number and the length field.
	minRecordBytes       = 5
	nodeEntryBytes       = 31
	nodeAddressBytes     = 6
	maxReadChunkBytes    = 1 << 20 // A batch is read in chunks to limit the memory that a wrong length can allocate.
)

// Reader reads batches of events in the binary protocol of the simulator.
type Reader struct {
	input       io.Reader
	header      [headerBytes]byte
	body        []byte // body holds the records of the current batch.
	offset      int    // offset is the position of the next unread byte in body.
	recordCode  EventCode
	err         error       // err is the first error in the current batch; it stops all further reading of that batch.
	loadValues  []float32   // loadValues is the buffer for Event.LoadValues.
	nodeEntries []NodeEntry // nodeEntries is the buffer for Event.Entries.
}

// NewReader returns a Reader that reads from input.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// Next reads the next batch and returns its header. It returns io.EOF if the input ends before the first byte
// of a batch.
func (r *Reader) Next() (Batch, error) {
	if _, err := io.ReadFull(r.input, r.header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("simproto: read batch header: %w", err)
	}
	batch := Batch{
		Number:      binary.LittleEndian.Uint32(r.header[0:]),
		RecordCount: binary.LittleEndian.Uint32(r.header[8:]),
		Now:         placer.Seconds(math.Float64frombits(binary.LittleEndian.Uint64(r.header[12:]))),
	}
	countedBytes := binary.LittleEndian.Uint32(r.header[4:])
	if countedBytes < headerBytes-uncountedHeaderBytes {
		return batch, fmt.Errorf("simproto: batch %d: length field %d does not cover the header", batch.Number, countedBytes)
	}
	if now := float64(batch.Now); math.IsNaN(now) || math.IsInf(now, 0) {
		return batch, fmt.Errorf("simproto: batch %d: clock time %v is not finite", batch.Number, batch.Now)
	}
	recordBytes := int(countedBytes) - (headerBytes - uncountedHeaderBytes)
	if uint64(batch.RecordCount)*minRecordBytes > uint64(recordBytes) {
		return batch, fmt.Errorf("simproto: batch %d: %d records do not fit in %d bytes", batch.Number, batch.RecordCount, recordBytes)
	}
	if err := r.readBody(recordBytes); err != nil {
		return batch, fmt.Errorf("simproto: batch %d: body ends early: %w", batch.Number, err)
	}
	return batch, nil
}

// readBody reads the records of a batch, which are totalBytes long, into the body buffer.
func (r *Reader) readBody(totalBytes int) error {
	r.body = r.body[:0]
	r.offset = 0
	r.err = nil
	for len(r.body) < totalBytes {
		filledBytes := len(r.body)
		chunkBytes := min(maxReadChunkBytes, totalBytes-filledBytes)
		if cap(r.body) < filledBytes+chunkBytes {
			r.body = append(r.body, make([]byte, chunkBytes)...)
		} else {
			r.body = r.body[:filledBytes+chunkBytes]
		}
		if _, err := io.ReadFull(r.input, r.body[filledBytes:]); err != nil {
			return err
		}
	}
	return nil
}

// RemainingBytes returns the number of unread bytes of the current batch.
func (r *Reader) RemainingBytes() int { return len(r.body) - r.offset }

// Read reads the next record of the current batch into event. After an error, the rest of the batch cannot be
// read.
func (r *Reader) Read(event *Event) error {
	r.recordCode = 0
	start := r.offset
	*event = Event{Code: EventCode(r.readU8())}
	r.recordCode = event.Code
	if event.Code == EventDefineList {
		event.ListNumber = r.readU8()
		event.Entries = r.readNodeList()
		if r.err == nil && event.ListNumber >= MaxNodeLists {
			r.err = fmt.Errorf("simproto: node list number %d at byte %d exceeds the maximum %d", event.ListNumber, start, MaxNodeLists-1)
		}
		return r.err
	}
	event.Instance = r.readU32()
	if known := r.readTaskEvent(event) || r.readOtherEvent(event); !known && r.err == nil {
		r.err = fmt.Errorf("simproto: unknown event code %d at byte %d", event.Code, start)
	}
	return r.err
}

// readTaskEvent reads the fields of an event that concerns a task or one of its attempts. It returns false
// for any other event. The order of the read calls is the order of the fields in the record.
func (r *Reader) readTaskEvent(event *Event) bool {
	switch event.Code {
	case EventTaskArrived:
		event.TaskID, event.Class, event.Tenant, event.IdempotencyKey = r.readU64(), r.readU16(), r.readU16(), r.readU64()
		event.Deadline, event.Lifetime, event.Service = r.readSeconds(), r.readSeconds(), r.readU64()
		event.Cores, event.Memory, event.Flags = r.readF32(), r.readF32(), TaskFlags(r.readU8())
	case EventTaskAdopted:
		event.TaskID, event.Node, event.Lifetime, event.Deadline = r.readU64(), r.readNodeAddress(), r.readSeconds(), r.readSeconds()
		event.Class, event.IdempotencyKey, event.Flags = r.readU16(), r.readU64(), TaskFlags(r.readU8())
		event.Cores, event.Memory, event.Service, event.Tenant = r.readF32(), r.readF32(), r.readU64(), r.readU16()
	case EventAttemptBound:
		event.TaskID, event.Attempt, event.Elapsed, event.Node = r.readU64(), r.readU8(), r.readSeconds(), r.readNodeAddress()
	case EventUsageReported:
		event.TaskID, event.Attempt, event.Node, event.UsageKind, event.Value = r.readU64(), r.readU8(), r.readNodeAddress(), r.readU8(), r.readF32()
	case EventAttemptEnded:
		event.TaskID, event.Node, event.Elapsed = r.readU64(), r.readNodeAddress(), r.readSeconds()
		event.Reason, event.Attempt, event.Final, event.Status = r.readU8(), r.readU8(), r.readU8(), Status(r.readU16())
		event.LoadValues = r.readLoadReport()
	case EventTaskWithdrawn:
		event.TaskID = r.readU64()
	default:
		return false
	}
	return true
}

// readOtherEvent reads the fields of an event that does not concern a task. It returns false if the event
// code is unknown.
func (r *Reader) readOtherEvent(event *Event) bool {
	switch event.Code {
	case EventInstanceStart:
		event.Seed = r.readU64()
		event.Settings = r.readBytes(int(r.readU32()))
	case EventInstanceStop: // An EventInstanceStop record has no further fields.
	case EventNodesListed:
		event.ListKind, event.ListVersion, event.ListNumber = ListKind(r.readU8()), r.readU32(), r.readU8()
	case EventTimerFired:
		event.Token = r.readU64()
	case EventHealthCheckResult:
		event.Status, event.Node, event.Elapsed = Status(r.readU16()), r.readNodeAddress(), r.readSeconds()
		event.LoadValues = r.readLoadReport()
	case EventPeerMessage:
		event.SenderPeer = r.readU32()
		event.MessageBody = r.readBytes(int(r.readU16()))
	default:
		return false
	}
	return true
}

// readNodeList reads the entries of a node list. The result is valid until the next call of readNodeList.
func (r *Reader) readNodeList() []NodeEntry {
	count := r.readU32()
	if r.err == nil && uint64(count)*nodeEntryBytes > uint64(r.RemainingBytes()) {
		r.err = fmt.Errorf("simproto: node list of %d entries does not fit in the remaining %d bytes", count, r.RemainingBytes())
		return nil
	}
	r.nodeEntries = r.nodeEntries[:0]
	for i := uint32(0); i < count && r.err == nil; i++ {
		// The order of the read calls is the order of the fields in the entry.
		r.nodeEntries = append(r.nodeEntries, NodeEntry{
			Node:       r.readNodeAddress(),
			Zone:       r.readU8(),
			FreeCores:  r.readF32(),
			NodeType:   r.readU8(),
			Rack:       r.readU16(),
			FreeMemory: r.readF32(),
			State:      NodeState(r.readU8()),
			Units:      r.readF32(),
			StartedAt:  r.readSeconds(),
		})
	}
	return r.nodeEntries
}

// readLoadReport reads the values of a load report. The result is valid until the next call of readLoadReport.
func (r *Reader) readLoadReport() []float32 {
	count := int(r.readU8())
	r.loadValues = r.loadValues[:0]
	for i := 0; i < count && r.err == nil; i++ {
		r.loadValues = append(r.loadValues, r.readF32())
	}
	return r.loadValues
}

// readBytes returns the next count bytes of the batch. It returns nil after an error or if fewer bytes remain.
func (r *Reader) readBytes(count int) []byte {
	if r.err != nil {
		return nil
	}
	if count < 0 || count > r.RemainingBytes() {
		r.err = fmt.Errorf("simproto: record with event code %d needs %d bytes at byte %d of the batch, but only %d remain", r.recordCode, count, r.offset, r.RemainingBytes())
		return nil
	}
	start := r.offset
	r.offset += count
	return r.body[start:r.offset]
}

func (r *Reader) readU8() uint8 {
	if b := r.readBytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *Reader) readU16() uint16 {
	if b := r.readBytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *Reader) readU32() uint32 {
	if b := r.readBytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *Reader) readU64() uint64 {
	if b := r.readBytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *Reader) readF32() float32 { return math.Float32frombits(r.readU32()) }

// readSeconds reads a time or a duration.
func (r *Reader) readSeconds() placer.Seconds {
	return placer.Seconds(math.Float64frombits(r.readU64()))
}

func (r *Reader) readNodeAddress() NodeAddress {
	if b := r.readBytes(nodeAddressBytes); b != nil {
		return NodeAddress(binary.LittleEndian.Uint32(b)) | NodeAddress(binary.LittleEndian.Uint16(b[4:]))<<32
	}
	return 0
}
