package simproto

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"heathshed/internal/testsupport/simwire"
)

var testAddress = [6]byte{192, 168, 3, 4, 0x39, 0x30}

// packAddress converts the six bytes of a node address to a NodeAddress.
func packAddress(address [6]byte) NodeAddress {
	return NodeAddress(binary.LittleEndian.Uint32(address[:])) | NodeAddress(binary.LittleEndian.Uint16(address[4:]))<<32
}

func TestEveryEventIsRead(t *testing.T) {
	u8, u16, u32, u64 := func(v int) uint8 { return uint8(v) }, func(v int) uint16 { return uint16(v) },
		func(v int) uint32 { return uint32(v) }, func(v int) uint64 { return uint64(v) }
	records := [][]byte{
		simwire.Record(u8(16), u8(3), u32(1), testAddress, u8(1), float32(2.5), u8(0), u16(9), float32(-4), u8(2), float32(1), 77.5),
		simwire.Record(u8(26), u32(5), u8(4), u32(41), u8(3)),
		simwire.Record(u8(19), u32(5), u64(99), u32(2), []byte("{}")),
		simwire.Record(u8(18), u32(5), u64(1001), u16(1), u16(2), u64(8), 12.5, 3.25, u64(6), float32(0.5), float32(1.5), u8(17)),
		simwire.Record(u8(24), u32(5), u64(1002), testAddress, 3.25, 12.5, u16(1), u64(8), u8(16), float32(0.5), float32(1.5), u64(6), u16(2)),
		simwire.Record(u8(25), u32(5), u64(1001), u8(2), 0.125, testAddress),
		simwire.Record(u8(27), u32(5), u64(1001), u8(2), testAddress, u8(3), float32(0.75)),
		simwire.Record(u8(17), u32(5), u64(1001), testAddress, 0.125, u8(5), u8(2), u8(1), u16(251), u8(2), float32(3), float32(4)),
		simwire.Record(u8(22), u32(5), u64(1001)),
		simwire.Record(u8(21), u32(5), u64(33)),
		simwire.Record(u8(23), u32(5)),
		simwire.Record(u8(20), u32(5), u16(253), testAddress, 0.5, u8(0)),
		simwire.Record(u8(28), u32(5), u32(2), u16(3), []byte("abc")),
	}
	reader := NewReader(bytes.NewReader(simwire.Batch(7, 100.5, records...)))
	batch, err := reader.Next()
	if err != nil || batch.Number != 7 || batch.Now != 100.5 || batch.RecordCount != 13 {
		t.Fatalf("got batch header %+v, error %v; want number 7, time 100.5 and 13 records", batch, err)
	}
	node := packAddress(testAddress)
	want := []Event{
		{Code: EventDefineList, ListNumber: 3, Entries: []NodeEntry{{node, 1, 0, 2.5, 9, -4, 2, 1, 77.5}}},
		{Code: EventNodesListed, Instance: 5, ListKind: 4, ListVersion: 41, ListNumber: 3},
		{Code: EventInstanceStart, Instance: 5, Seed: 99, Settings: []byte("{}")},
		{Code: EventTaskArrived, Instance: 5, TaskID: 1001, Class: 1, Tenant: 2, IdempotencyKey: 8, Deadline: 12.5, Lifetime: 3.25, Service: 6,
			Cores: 0.5, Memory: 1.5, Flags: 17},
		{Code: EventTaskAdopted, Instance: 5, TaskID: 1002, Node: node, Class: 1, Tenant: 2, IdempotencyKey: 8, Deadline: 12.5, Lifetime: 3.25, Service: 6,
			Cores: 0.5, Memory: 1.5, Flags: 16},
		{Code: EventAttemptBound, Instance: 5, TaskID: 1001, Attempt: 2, Elapsed: 0.125, Node: node},
		{Code: EventUsageReported, Instance: 5, TaskID: 1001, Attempt: 2, Node: node, UsageKind: 3, Value: 0.75},
		{Code: EventAttemptEnded, Instance: 5, TaskID: 1001, Node: node, Elapsed: 0.125, Reason: 5, Attempt: 2, Final: 1, Status: 251,
			LoadValues: []float32{3, 4}},
		{Code: EventTaskWithdrawn, Instance: 5, TaskID: 1001}, {Code: EventTimerFired, Instance: 5, Token: 33}, {Code: EventInstanceStop, Instance: 5},
		{Code: EventHealthCheckResult, Instance: 5, Status: 253, Node: node, Elapsed: 0.5, LoadValues: []float32{}},
		{Code: EventPeerMessage, Instance: 5, SenderPeer: 2, MessageBody: []byte("abc")},
	}
	for i := range want {
		var got Event
		if err := reader.Read(&got); err != nil {
			t.Fatalf("read event %d: %v", i, err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("event %d:\n got %+v\nwant %+v", i, got, want[i])
		}
	}
	if reader.RemainingBytes() != 0 {
		t.Errorf("%d bytes remain unread after the last event, want 0", reader.RemainingBytes())
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("Next after the last batch returned error %v, want io.EOF", err)
	}
}

func TestActionsAreWritten(t *testing.T) {
	var writer Writer
	writer.Start(7)
	writer.StartAttempt(5, 1001, 12.5, packAddress(testAddress))
	writer.Reject(5, 1001, 0.25)
	writer.Fail(5, 1001)
	writer.SetTimer(5, 33, 0.5)
	writer.WatchNodes(5)
	writer.ListNodes(5)
	writer.Migrate(5, 1001)
	writer.AbortAttempt(5, 1001, 2)
	writer.Log(5, "ab")
	writer.ReportPanic(5, "cd")
	actions := [][]byte{
		simwire.Record(uint8(86), uint32(5), uint64(1001), 12.5, testAddress),
		simwire.Record(uint8(85), uint32(5), uint64(1001), 0.25),
		simwire.Record(uint8(83), uint32(5), uint64(1001)),
		simwire.Record(uint8(92), uint32(5), uint64(33), 0.5),
		simwire.Record(uint8(91), uint32(5), uint8(1)),
		simwire.Record(uint8(89), uint32(5)),
		simwire.Record(uint8(87), uint32(5), uint64(1001)),
		simwire.Record(uint8(80), uint32(5), uint64(1001), uint8(2)),
		simwire.Record(uint8(82), uint32(5), uint16(2), []byte("ab")),
		simwire.Record(uint8(90), uint32(5), uint16(2), []byte("cd")),
	}
	body := bytes.Join(actions, nil)
	want := append(simwire.Record(uint32(7), uint32(len(actions)), uint32(len(body))), body...)
	if got := writer.Finish(); !bytes.Equal(got, want) {
		t.Errorf("reply with one record of each action:\n got %x\nwant %x", got, want)
	}
}

func TestMalformedBatchIsRejected(t *testing.T) {
	validBatch := simwire.Batch(7, 1, simwire.Record(uint8(22), uint32(5), uint64(1)))
	withUint32At := func(offset int, value uint32) []byte {
		modified := bytes.Clone(validBatch)
		binary.LittleEndian.PutUint32(modified[offset:], value)
		return modified
	}
	for name, testCase := range map[string]struct {
		input     []byte
		wantError string
	}{
		"truncated batch header":            {validBatch[:9], "read batch header"},
		"truncated batch body":              {validBatch[:len(validBatch)-3], "ends early"},
		"batch length below header length":  {withUint32At(4, 3), "does not cover the header"},
		"record count too large for length": {withUint32At(8, 1e9), "do not fit"},
		"batch length beyond the input":     {withUint32At(4, math.MaxUint32), "ends early"},
		"unknown event code":                {simwire.Batch(7, 1, simwire.Record(uint8(99), uint32(5))), "unknown event code 99"},
		"node list longer than the batch":   {simwire.Batch(7, 1, simwire.Record(uint8(16), uint8(1), uint32(1<<30))), "does not fit"},
		"list number above the maximum":     {simwire.Batch(7, 1, simwire.Record(uint8(16), uint8(16), uint32(0))), "exceeds the maximum 15"},
		"record shorter than its fields":    {simwire.Batch(7, 1, simwire.Record(uint8(22), uint32(5), uint8(1))), "needs 8 bytes"},
		"settings text beyond the batch":    {simwire.Batch(7, 1, simwire.Record(uint8(19), uint32(5), uint64(1), uint32(1<<31))), "needs"},
		"clock time is not a number":        {simwire.Batch(7, math.NaN()), "clock time NaN is not finite"},
	} {
		reader := NewReader(bytes.NewReader(testCase.input))
		batch, err := reader.Next()
		for i := uint32(0); err == nil && i < batch.RecordCount; i++ {
			var event Event
			err = reader.Read(&event)
		}
		if err == nil || !strings.Contains(err.Error(), testCase.wantError) {
			t.Errorf("%s: got error %v, want an error that contains %q", name, err, testCase.wantError)
		}
	}
}

func TestRetryFlagsMarkRepeatedRequests(t *testing.T) {
	for flags, want := range map[TaskFlags]bool{0: false, 1: false, 2: true, 16: true, 18: true, 17: true, 0xED: false} {
		if got := flags.IsRetry(); got != want {
			t.Errorf("IsRetry for task flags %b: got %v, want %v", flags, got, want)
		}
	}
}
