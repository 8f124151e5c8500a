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
)

// frame builds a batch as the wire's page lays it out, with code that the package does not use.
type frame struct {
	body  []byte
	count uint32
}

func (f *frame) add(values ...any) *frame {
	var b bytes.Buffer
	for _, v := range values {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	f.body = append(f.body, b.Bytes()...)
	f.count++
	return f
}

func (f *frame) bytes(now float64) []byte {
	var b bytes.Buffer
	for _, v := range []any{uint32(7), uint32(12 + len(f.body)), f.count, now} {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return append(b.Bytes(), f.body...)
}

var addr = [6]byte{192, 168, 3, 4, 0x39, 0x30}

func packed(a [6]byte) NodeAddress {
	return NodeAddress(binary.LittleEndian.Uint32(a[:])) | NodeAddress(binary.LittleEndian.Uint16(a[4:]))<<32
}

func TestEveryEventIsRead(t *testing.T) {
	u8, u16, u32, u64 := func(v int) uint8 { return uint8(v) }, func(v int) uint16 { return uint16(v) },
		func(v int) uint32 { return uint32(v) }, func(v int) uint64 { return uint64(v) }
	f := (&frame{}).
		add(u8(16), u8(3), u32(1), addr, u8(1), float32(2.5), u8(0), u16(9), float32(-4), u8(2), float32(1), 77.5).
		add(u8(26), u32(5), u8(4), u32(41), u8(3)).
		add(u8(19), u32(5), u64(99), u32(2), []byte("{}")).
		add(u8(18), u32(5), u64(1001), u16(1), u16(2), u64(8), 12.5, 3.25, u64(6), float32(0.5), float32(1.5), u8(17)).
		add(u8(24), u32(5), u64(1002), addr, 3.25, 12.5, u16(1), u64(8), u8(16), float32(0.5), float32(1.5), u64(6), u16(2)).
		add(u8(25), u32(5), u64(1001), u8(2), 0.125, addr).
		add(u8(27), u32(5), u64(1001), u8(2), addr, u8(3), float32(0.75)).
		add(u8(17), u32(5), u64(1001), addr, 0.125, u8(5), u8(2), u8(1), u16(251), u8(2), float32(3), float32(4)).
		add(u8(22), u32(5), u64(1001)).add(u8(21), u32(5), u64(33)).add(u8(23), u32(5)).
		add(u8(20), u32(5), u16(253), addr, 0.5, u8(0)).
		add(u8(28), u32(5), u32(2), u16(3), []byte("abc"))
	r := NewReader(bytes.NewReader(f.bytes(100.5)))
	b, err := r.Next()
	if err != nil || b.Number != 7 || b.Now != 100.5 || b.Count != 13 {
		t.Fatalf("batch %+v, %v", b, err)
	}
	n := packed(addr)
	want := []Event{
		{Code: EventDefineList, ListNumber: 3, Entries: []NodeEntry{{n, 1, 0, 2.5, 9, -4, 2, 1, 77.5}}},
		{Code: EventNodesListed, Instance: 5, ListKind: 4, ListVersion: 41, ListNumber: 3},
		{Code: EventInstanceStart, Instance: 5, Seed: 99, Settings: []byte("{}")},
		{Code: EventTaskArrived, Instance: 5, ID: 1001, Class: 1, Tenant: 2, IdempotencyKey: 8, Deadline: 12.5, Lifetime: 3.25, Service: 6,
			Cores: 0.5, Memory: 1.5, Flags: 17},
		{Code: EventTaskAdopted, Instance: 5, ID: 1002, Node: n, Class: 1, Tenant: 2, IdempotencyKey: 8, Deadline: 12.5, Lifetime: 3.25, Service: 6,
			Cores: 0.5, Memory: 1.5, Flags: 16},
		{Code: EventAttemptBound, Instance: 5, ID: 1001, Attempt: 2, Elapsed: 0.125, Node: n},
		{Code: EventUsageReported, Instance: 5, ID: 1001, Attempt: 2, Node: n, UsageKind: 3, Value: 0.75},
		{Code: EventAttemptEnded, Instance: 5, ID: 1001, Node: n, Elapsed: 0.125, Reason: 5, Attempt: 2, Final: 1, Status: 251,
			Load: []float32{3, 4}},
		{Code: EventTaskWithdrawn, Instance: 5, ID: 1001}, {Code: EventTimerFired, Instance: 5, Token: 33}, {Code: EventInstanceStop, Instance: 5},
		{Code: EventHealthCheckResult, Instance: 5, Status: 253, Node: n, Elapsed: 0.5, Load: []float32{}},
		{Code: EventPeerMessage, Instance: 5, From: 2, Body: []byte("abc")},
	}
	for i := range want {
		var got Event
		if err := r.Read(&got); err != nil {
			t.Fatalf("event %d: %v", i, err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("event %d:\n got %+v\nwant %+v", i, got, want[i])
		}
	}
	if r.Remaining() != 0 {
		t.Errorf("%d bytes left", r.Remaining())
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last batch: %v", err)
	}
}

func TestActionsAreWritten(t *testing.T) {
	var w Writer
	w.Start(7)
	w.StartAttempt(5, 1001, 12.5, packed(addr))
	w.Reject(5, 1001, 0.25)
	w.Fail(5, 1001)
	w.SetTimer(5, 33, 0.5)
	w.WatchNodes(5)
	w.ListNodes(5)
	w.Migrate(5, 1001)
	w.Abort(5, 1001, 2)
	w.Log(5, "ab")
	w.ReportPanic(5, "cd")
	f := (&frame{}).add(uint8(86), uint32(5), uint64(1001), 12.5, addr).add(uint8(85), uint32(5), uint64(1001), 0.25).
		add(uint8(83), uint32(5), uint64(1001)).add(uint8(92), uint32(5), uint64(33), 0.5).
		add(uint8(91), uint32(5), uint8(1)).add(uint8(89), uint32(5)).add(uint8(87), uint32(5), uint64(1001)).
		add(uint8(80), uint32(5), uint64(1001), uint8(2)).add(uint8(82), uint32(5), uint16(2), []byte("ab")).
		add(uint8(90), uint32(5), uint16(2), []byte("cd"))
	var want bytes.Buffer
	for _, v := range []uint32{7, f.count, uint32(len(f.body))} {
		if err := binary.Write(&want, binary.LittleEndian, v); err != nil {
			t.Fatal(err)
		}
	}
	want.Write(f.body)
	if got := w.Finish(); !bytes.Equal(got, want.Bytes()) {
		t.Errorf("got  %x\nwant %x", got, want.Bytes())
	}
}

func TestMalformed(t *testing.T) {
	good := (&frame{}).add(uint8(22), uint32(5), uint64(1)).bytes(1)
	change := func(at int, v uint32) []byte {
		b := bytes.Clone(good)
		binary.LittleEndian.PutUint32(b[at:], v)
		return b
	}
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"header cut":      {good[:9], "batch header"},
		"body cut":        {good[:len(good)-3], "ends early"},
		"short length":    {change(4, 3), "under its own"},
		"too many":        {change(8, 1e9), "do not fit"},
		"huge length":     {change(4, math.MaxUint32), "ends early"},
		"unknown code":    {(&frame{}).add(uint8(99), uint32(5)).bytes(1), "unknown event code 99"},
		"list too long":   {(&frame{}).add(uint8(16), uint8(1), uint32(1<<30)).bytes(1), "does not fit"},
		"list number":     {(&frame{}).add(uint8(16), uint8(16), uint32(0)).bytes(1), "over 15"},
		"record cut":      {(&frame{}).add(uint8(22), uint32(5), uint8(1)).bytes(1), "wants 8 bytes"},
		"settings length": {(&frame{}).add(uint8(19), uint32(5), uint64(1), uint32(1<<31)).bytes(1), "wants"},
		"clock":           {(&frame{}).bytes(math.NaN()), "clock"},
	} {
		r := NewReader(bytes.NewReader(c.in))
		b, err := r.Next()
		for i := uint32(0); err == nil && i < b.Count; i++ {
			var ev Event
			err = r.Read(&ev)
		}
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
}
