package simproto_test

// These characterization tests detect changes of the binary protocol. They pin the event that is read for
// each event code, the bytes that Writer emits for each action, and which truncated inputs are rejected.
// Package goldentest documents how golden files are compared and written.

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"testing"

	"heathshed/internal/simbridge/simproto"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/internal/testsupport/simwire"
	"heathshed/placer"
)

var (
	testAddress  = [6]byte{192, 168, 3, 4, 0x39, 0x30}
	otherAddress = [6]byte{255, 254, 253, 252, 251, 250}
)

// sampleRecords returns at least one record of every event code. Some fields hold the limits of their types.
func sampleRecords() [][]byte {
	u8 := func(v int) uint8 { return uint8(v) }
	u16 := func(v int) uint16 { return uint16(v) }
	u32 := func(v int) uint32 { return uint32(v) }
	u64 := func(v uint64) uint64 { return v }
	nan := float32(math.NaN())
	return [][]byte{
		simwire.Record(u8(16), u8(3), u32(2), testAddress, u8(1), float32(2.5), u8(0), u16(9), float32(-4), u8(2), float32(1), 77.5,
			otherAddress, u8(255), nan, u8(254), u16(65535), float32(0.1), u8(0), float32(-0.5), math.Inf(1)),
		simwire.Record(u8(16), u8(15), u32(0)),
		simwire.Record(u8(17), u32(5), u64(1001), testAddress, 0.125, u8(5), u8(2), u8(1), u16(251), u8(3), float32(3), nan, float32(0.1)),
		simwire.Record(u8(17), u32(5), u64(math.MaxUint64), otherAddress, math.NaN(), u8(255), u8(254), u8(0), u16(65535), u8(0)),
		simwire.Record(u8(18), u32(5), u64(1001), u16(1), u16(2), u64(8), 12.5, 3.25, u64(6), float32(0.1), float32(1.5), u8(17)),
		simwire.Record(u8(19), u32(5), u64(99), u32(2), []byte("{}")),
		simwire.Record(u8(19), u32(math.MaxUint32), u64(0), u32(0)),
		simwire.Record(u8(20), u32(5), u16(253), testAddress, 0.5, u8(1), float32(7)),
		simwire.Record(u8(21), u32(5), u64(33)),
		simwire.Record(u8(22), u32(5), u64(1001)),
		simwire.Record(u8(23), u32(5)),
		simwire.Record(u8(24), u32(5), u64(1002), testAddress, 3.25, 12.5, u16(1), u64(8), u8(16), float32(0.5), float32(1.1), u64(6), u16(2)),
		simwire.Record(u8(25), u32(5), u64(1001), u8(2), 0.125, testAddress),
		simwire.Record(u8(26), u32(5), u8(4), u32(41), u8(3)),
		simwire.Record(u8(27), u32(5), u64(1001), u8(2), testAddress, u8(3), float32(0.7)),
		simwire.Record(u8(28), u32(5), u32(2), u16(3), []byte("abc")),
	}
}

// describeEvent returns all fields of an event as text in a fixed order. Floating point numbers are written
// as their bits and byte strings in hexadecimal. The label load precedes the number of load values, and the
// label list precedes the number of entries of a node list; the values and the entries follow these numbers.
func describeEvent(event *simproto.Event) string {
	var text strings.Builder
	bits := func(value placer.Seconds) uint64 { return math.Float64bits(float64(value)) }
	fmt.Fprintf(&text, "%d %d %d %d %d %d %d %d", event.Code, event.Instance, event.TaskID, event.IdempotencyKey, event.Service,
		uint64(event.Node), event.Class, event.Tenant)
	fmt.Fprintf(&text, " %x %x %x %x", bits(event.Deadline), bits(event.Lifetime), math.Float32bits(event.Cores),
		math.Float32bits(event.Memory))
	fmt.Fprintf(&text, " %d %d %x %d %d %d", event.Flags, event.Attempt, bits(event.Elapsed), event.Reason, event.Final, event.Status)
	fmt.Fprintf(&text, " load%d", len(event.LoadValues))
	for _, value := range event.LoadValues {
		fmt.Fprintf(&text, " %x", math.Float32bits(value))
	}
	fmt.Fprintf(&text, " %d %x %d %d %d %d", event.UsageKind, math.Float32bits(event.Value), event.Token, event.ListKind,
		event.ListNumber, event.ListVersion)
	fmt.Fprintf(&text, " %d [%x] %d [%x] list%d", event.Seed, event.Settings, event.SenderPeer, event.MessageBody, len(event.Entries))
	for _, entry := range event.Entries {
		fmt.Fprintf(&text, " (%d %d %d %x %d %x %d %x %x)", uint64(entry.Node), entry.Zone, entry.NodeType,
			math.Float32bits(entry.FreeCores), entry.Rack, math.Float32bits(entry.FreeMemory), entry.State,
			math.Float32bits(entry.Units), bits(entry.StartedAt))
	}
	return text.String()
}

func TestCharacterizationOfEvents(t *testing.T) {
	allRecords := sampleRecords()
	reader := simproto.NewReader(bytes.NewReader(append(simwire.Batch(7, 100.5, allRecords...), simwire.Batch(8, -3)...)))
	var text strings.Builder
	for range 2 {
		batch, err := reader.Next()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "batch %d %d %x rest %d\n", batch.Number, batch.RecordCount, math.Float64bits(float64(batch.Now)), reader.RemainingBytes())
		for range batch.RecordCount {
			var event simproto.Event
			if err := reader.Read(&event); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "%s rest %d\n", describeEvent(&event), reader.RemainingBytes())
		}
	}
	goldentest.CheckText(t, "events", text.String())
}

// countReadable returns the number of records that are read from the input before an error, and whether an
// error occurred. The number is -1 if Next rejects the batch.
func countReadable(input []byte) (count int, rejected bool) {
	reader := simproto.NewReader(bytes.NewReader(input))
	batch, err := reader.Next()
	if err != nil {
		return -1, true
	}
	for range batch.RecordCount {
		var event simproto.Event
		if reader.Read(&event) != nil {
			return count, true
		}
		count++
	}
	return count, false
}

// TestCharacterizationOfInvalidInput pins whether the Reader accepts each record truncated to every length,
// every event code with zero fields, every list number, and a whole batch truncated to every length.
func TestCharacterizationOfInvalidInput(t *testing.T) {
	var text strings.Builder
	rejectedDigit := map[bool]byte{false: '0', true: '1'}
	for _, record := range sampleRecords() {
		fmt.Fprintf(&text, "%d ", record[0])
		for length := range len(record) + 1 {
			count, rejected := countReadable(simwire.Batch(1, 1, record[:length]))
			fmt.Fprintf(&text, "%d%c", count+1, rejectedDigit[rejected])
		}
		text.WriteByte('\n')
	}
	for code := range 256 {
		_, rejected := countReadable(simwire.Batch(1, 1, append([]byte{byte(code)}, make([]byte, 80)...)))
		text.WriteByte(rejectedDigit[rejected])
	}
	text.WriteByte('\n')
	for listNumber := range 256 {
		_, rejected := countReadable(simwire.Batch(1, 1, simwire.Record(uint8(16), uint8(listNumber), uint32(0))))
		text.WriteByte(rejectedDigit[rejected])
	}
	text.WriteByte('\n')
	wholeBatch := simwire.Batch(1, 1, sampleRecords()...)
	for length := range len(wholeBatch) + 1 {
		count, _ := countReadable(wholeBatch[:length])
		fmt.Fprintf(&text, "%d,", count)
	}
	text.WriteByte('\n')
	goldentest.CheckText(t, "refusals", text.String())
}

func TestCharacterizationOfActions(t *testing.T) {
	node := simproto.NodeAddress(binary.LittleEndian.Uint32(testAddress[:])) | simproto.NodeAddress(binary.LittleEndian.Uint16(testAddress[4:]))<<32
	longText := strings.Repeat("x", 70000)
	var text strings.Builder
	var writer simproto.Writer
	writeReply := func(batchNumber uint32, actions ...func()) {
		writer.Start(batchNumber)
		for _, action := range actions {
			action()
		}
		reply := writer.Finish()
		fmt.Fprintf(&text, "%d %x\n", len(reply), reply[:min(len(reply), 300)])
	}
	allActions := []func(){
		func() { writer.StartAttempt(5, 1001, 12.5, node) },
		func() {
			writer.StartAttempt(math.MaxUint32, math.MaxUint64, placer.Seconds(math.Inf(1)), simproto.NodeAddress(1<<48-1))
		},
		func() { writer.Reject(5, 1001, 0.1) },
		func() { writer.Fail(5, 1001) },
		func() { writer.SetTimer(5, 33, 0.5) },
		func() { writer.WatchNodes(5) },
		func() { writer.ListNodes(5) },
		func() { writer.Migrate(5, 1001) },
		func() { writer.AbortAttempt(5, 1001, 2) },
		func() { writer.Log(5, "ab") },
		func() { writer.ReportPanic(5, "cd") },
		func() { writer.ReportPanic(5, "") },
		func() { writer.Log(5, longText) },
	}
	writeReply(0)
	for i, action := range allActions {
		writeReply(uint32(i+1), action)
	}
	writeReply(math.MaxUint32, allActions...)
	goldentest.CheckText(t, "actions", text.String())
}
