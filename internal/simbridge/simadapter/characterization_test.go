package simadapter_test

// These characterization tests detect changes in the replies of the adapter. A fake simulator reads each
// reply, executes its actions and builds the next batch from the results. The golden file of a run consists
// of checkpoints. A checkpoint is a line with the number of replies, the numbers of actions by kind and a
// SHA-256 digest of all replies up to that point. The first checkpoint that differs shows between which
// batches a change occurred. Package goldentest documents how golden files are compared and written.

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"heathshed/internal/simbridge/simadapter"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/internal/testsupport/simwire"
)

// With pushDiscoverySettings, discovery pushes node lists. With consolidatingSettings, the scheduler polls
// node lists, and each node in use has a cost. The node lists contain the free capacity in both cases.
const (
	pushDiscoverySettings = `{"discovery":"push","me":0,"myZone":0,"peersTotal":2,
 "extra":{"admitMemory":1.5,"apartBy":["none","cell"],"classKind":[-1,-1],"coresByKind":[8,16],"counts":"used","cpuBooking":2,
  "freeInList":true,"fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16,32],"precedence":[0,2],"saysYes":"running",
  "startBonusS":[5,6],"togetherMax":[0,2],"youngLimit":12},
 "lanes":[{"effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"effect":"deduplicated","hardLimitS":5,"keyScope":"cell","keyTtlS":3,"objectiveS":1,"worth":2}],
 "loadReport":{"fields":["x1","utilization"]},"permissions":{"mostTries":3},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"fallS":1,"warmWithinS":8}}`
	consolidatingSettings = `{"discovery":"ask","me":1,"myZone":1,"peersTotal":2,
 "extra":{"admitMemory":1,"apartBy":["machine","none"],"classKind":[-1],"coresByKind":[8,16],"counts":"used","cpuBooking":1.2,
  "freeInList":true,"fullUpTo":[0.9],"fadesOver":[0.3],"kindMemory":[16,32],"saysYes":"accepted","togetherMax":[3],"youngLimit":6,
  "bound":true},
 "lanes":[{"effect":"at_most_once","hardLimitS":6,"objectiveS":1,"worth":1},
  {"effect":"idempotent","hardLimitS":5,"objectiveS":0.5,"worth":2}],
 "loadReport":{"fields":["x0","x1","utilization","backlog"]},"permissions":{"mostTries":4},
 "tariffs":{"fleet":0.3,"crossZone":0.1,"moves":0.01},
 "rules":{"answerSlackS":0.05,"askWithinS":6,"fallS":1,"warmWithinS":3}}`
)

const (
	batchCount           = 1500
	batchesPerCheckpoint = 50
)

// scheduledRecord is an event record that the fake simulator sends at a later time.
type scheduledRecord struct {
	at     float64
	record []byte
}

// fakeSimulator replaces the simulator as the input and output of the adapter. Read returns the next batch,
// and Write receives the reply to the previous batch.
type fakeSimulator struct {
	rng          *rand.Rand
	now          float64
	batchNumber  uint32
	unread       []byte // unread holds the rest of the current batch.
	scheduled    []scheduledRecord
	lastTaskID   uint64
	digest       hash.Hash
	replyCount   int
	actionCounts [256]int // actionCounts holds the number of received actions by action code.
	checkpoints  strings.Builder
	actionError  error
}

// Read returns bytes of the current batch, or of the next one if the current batch is read completely.
func (sim *fakeSimulator) Read(into []byte) (int, error) {
	if len(sim.unread) == 0 {
		if sim.batchNumber == batchCount {
			return 0, io.EOF
		}
		sim.unread = sim.nextBatch()
	}
	n := copy(into, sim.unread)
	sim.unread = sim.unread[n:]
	return n, nil
}

// nextBatch returns a batch of the scheduled records that are due, new tasks and node lists. Some batches
// also contain records that the adapter ignores.
func (sim *fakeSimulator) nextBatch() []byte {
	sim.batchNumber++
	sim.now += 0.1 * sim.rng.Float64()
	var records [][]byte
	if sim.batchNumber == 1 {
		for instance, settings := range []string{pushDiscoverySettings, consolidatingSettings} {
			records = append(records, simwire.Record(uint8(19), uint32(instance), uint64(9+instance), uint32(len(settings)), []byte(settings)))
		}
	}
	if sim.batchNumber%10 == 1 {
		records = append(records, sim.defineListRecord(), sim.nodesListedRecord(0), sim.nodesListedRecord(1))
	}
	stillPending := sim.scheduled[:0]
	for _, pending := range sim.scheduled {
		if pending.at <= sim.now {
			records = append(records, pending.record)
		} else {
			stillPending = append(stillPending, pending)
		}
	}
	sim.scheduled = stillPending
	for range sim.rng.IntN(3) {
		records = append(records, sim.taskRecord(uint32(sim.rng.IntN(2))))
	}
	if sim.batchNumber%40 == 7 {
		records = append(records, sim.unmatchedRecords()...)
	}
	return simwire.Batch(sim.batchNumber, sim.now, records...)
}

// nodeAddress returns the address of the node with the given index.
func nodeAddress(i int) [6]byte { return [6]byte{10, 0, byte(i / 5), byte(i), 1, 2} }

// defineListRecord returns an EventDefineList record, which defines node list 2 with twenty nodes. Some of
// the nodes are draining, have terminated or started 0.5 s ago.
func (sim *fakeSimulator) defineListRecord() []byte {
	var entries []byte
	const count = 20
	for i := range count {
		nodeState, startedAt := uint8(1), 0.0
		switch sim.rng.IntN(12) {
		case 0:
			nodeState = uint8(sim.rng.IntN(4))
		case 1:
			startedAt = sim.now - 0.5
		}
		nodeType, freeFraction := i%2, 0.75+0.01*float32(i)
		entries = append(entries, simwire.Record(nodeAddress(i), uint8(i%3), float32(8*(nodeType+1))*freeFraction, uint8(nodeType), uint16(i%6),
			float32(16*(nodeType+1))*freeFraction, nodeState, float32(1), startedAt)...)
	}
	return append(simwire.Record(uint8(16), uint8(2), uint32(count)), entries...)
}

// nodesListedRecord returns an EventNodesListed record, which passes node list 2 to the instance as a list of
// a random kind.
func (sim *fakeSimulator) nodesListedRecord(instance uint32) []byte {
	listKinds := []uint8{0, 1, 2, 4, 4, 4}
	return simwire.Record(uint8(26), instance, listKinds[sim.rng.IntN(len(listKinds))], sim.batchNumber, uint8(2))
}

// taskRecord returns the record of a new task, which is either a placement request or the adoption of a
// running task.
func (sim *fakeSimulator) taskRecord(instance uint32) []byte {
	sim.lastTaskID++
	class := uint16(sim.rng.IntN(2))
	service, cores, memory := uint64(1+sim.rng.IntN(8)), 0.2+sim.rng.Float32(), 0.5+sim.rng.Float32()
	if sim.rng.IntN(12) == 0 {
		node := nodeAddress(sim.rng.IntN(20))
		sim.schedule(4, simwire.Record(uint8(17), instance, sim.lastTaskID, node, 4.0, uint8(0), uint8(0), uint8(1), uint16(0), uint8(0)))
		return simwire.Record(uint8(24), instance, sim.lastTaskID, node, 30.0, sim.now+30, class, uint64(3), uint8(16), cores, memory, service, uint16(0))
	}
	if sim.rng.IntN(15) == 0 {
		sim.schedule(0.5, simwire.Record(uint8(22), instance, sim.lastTaskID))
	}
	return simwire.Record(uint8(18), instance, sim.lastTaskID, class, uint16(sim.rng.IntN(2)), uint64(3), sim.now+4, 30.0, service, cores, memory,
		uint8(sim.rng.IntN(32)))
}

// unmatchedRecords returns records for scheduler instances, tasks and timers that do not exist, records with
// event codes that the adapter does not use, and the start and stop of scheduler instance 5.
func (sim *fakeSimulator) unmatchedRecords() [][]byte {
	address := nodeAddress(3)
	return [][]byte{
		simwire.Record(uint8(22), uint32(77), uint64(1)),
		simwire.Record(uint8(21), uint32(0), uint64(1)<<50),
		simwire.Record(uint8(25), uint32(1), uint64(1)<<50, uint8(9), 0.1, address),
		simwire.Record(uint8(20), uint32(0), uint16(253), address, 0.5, uint8(1), float32(2)),
		simwire.Record(uint8(28), uint32(1), uint32(0), uint16(3), []byte("abc")),
		simwire.Record(uint8(19), uint32(5), uint64(sim.batchNumber), uint32(len(pushDiscoverySettings)), []byte(pushDiscoverySettings)),
		simwire.Record(uint8(23), uint32(5)),
	}
}

// schedule makes the fake simulator send a record after the given delay.
func (sim *fakeSimulator) schedule(delaySeconds float64, record []byte) {
	sim.scheduled = append(sim.scheduled, scheduledRecord{sim.now + delaySeconds, record})
}

// Write receives one reply and executes its actions. Every batchesPerCheckpoint replies, it adds a checkpoint
// to the text for the golden file. In that text, an offer is a StartAttempt action, a refusal is a Reject
// action, and a move is a Migrate action.
func (sim *fakeSimulator) Write(reply []byte) (int, error) {
	sim.digest.Write(reply)
	sim.replyCount++
	sim.executeActions(reply[12:])
	if sim.replyCount%batchesPerCheckpoint == 0 {
		fmt.Fprintf(&sim.checkpoints, "%d offers %d refusals %d failures %d timers %d watches %d moves %d %x\n", sim.replyCount, sim.actionCounts[86],
			sim.actionCounts[85], sim.actionCounts[83], sim.actionCounts[92], sim.actionCounts[91], sim.actionCounts[87], sim.digest.Sum(nil))
	}
	return len(reply), nil
}

// executeActions reads the actions of a reply and schedules the event records that result from them. The
// numbers in its cases are the action codes of package simproto.
func (sim *fakeSimulator) executeActions(actions []byte) {
	for len(actions) > 0 {
		code, instance := actions[0], binary.LittleEndian.Uint32(actions[1:])
		fields := actions[5:]
		sim.actionCounts[code]++
		switch code {
		case 86:
			sim.scheduleAttemptOutcome(instance, binary.LittleEndian.Uint64(fields), [6]byte(fields[16:22]))
			actions = fields[22:]
		case 92:
			after := math.Float64frombits(binary.LittleEndian.Uint64(fields[8:]))
			sim.schedule(after, simwire.Record(uint8(21), instance, binary.LittleEndian.Uint64(fields)))
			actions = fields[16:]
		case 87:
			id := binary.LittleEndian.Uint64(fields)
			sim.schedule(0.2, simwire.Record(uint8(17), instance, id, [6]byte{}, 1.0, uint8(7), uint8(0), uint8(1), uint16(250), uint8(0)))
			actions = fields[8:]
		case 85:
			actions = fields[16:]
		case 83:
			actions = fields[8:]
		case 91:
			sim.schedule(0.1, sim.nodesListedRecord(instance))
			actions = fields[1:]
		default:
			sim.actionError = fmt.Errorf("reply %d contains an unexpected action with code %d", sim.replyCount, code)
			return
		}
	}
}

// scheduleAttemptOutcome schedules a random outcome of an attempt. A StartAttempt action does not contain the
// number of the attempt. For this reason, an attempt that is not bound gets one outcome for each of four
// attempt numbers.
func (sim *fakeSimulator) scheduleAttemptOutcome(instance uint32, taskID uint64, node [6]byte) {
	statuses := []uint16{0, 255, 254, 254, 253, 252, 251, 250, 249}
	scheduleEnd := func(delaySeconds float64, attempt int) {
		values := sim.loadValues(instance, node)
		endRecord := simwire.Record(uint8(17), instance, taskID, node, 0.1, uint8(sim.rng.IntN(8)), uint8(attempt), uint8(sim.rng.IntN(2)),
			statuses[sim.rng.IntN(len(statuses))], uint8(len(values)), values)
		sim.schedule(delaySeconds, endRecord)
	}
	if sim.rng.IntN(3) > 0 {
		sim.schedule(0.1, simwire.Record(uint8(25), instance, taskID, uint8(0), 0.1, node))
		for usageKind := range 5 {
			sim.schedule(0.3, simwire.Record(uint8(27), instance, taskID, uint8(0), node, uint8(usageKind+1), sim.rng.Float32()))
		}
		scheduleEnd(1+6*sim.rng.Float64(), 0)
		return
	}
	for attempt := range 4 {
		scheduleEnd(0.1+0.3*sim.rng.Float64()*float64(attempt+1), attempt)
	}
}

// loadValues returns the values of a load report. Their number can be smaller or larger than the number of
// report fields in the settings of the instance.
func (sim *fakeSimulator) loadValues(instance uint32, node [6]byte) []float32 {
	nodeCores := float32(8 * (1 + node[3]%2))
	freeCores, freeMemory, utilization := nodeCores*(0.8+0.1*sim.rng.Float32()), 2*nodeCores*(0.8+0.1*sim.rng.Float32()), 0.3*sim.rng.Float32()
	allValues := []float32{freeCores, freeMemory, utilization, 2, 9}
	if instance == 0 {
		allValues = []float32{freeMemory, utilization, 9, 9, 9}
	}
	return allValues[:sim.rng.IntN(len(allValues)+1)]
}

// TestCharacterizationOfARun pins the replies and the warnings of a run with two scheduler instances.
func TestCharacterizationOfARun(t *testing.T) {
	simulator := &fakeSimulator{rng: rand.New(rand.NewPCG(6, 8)), now: 50, digest: sha256.New()}
	var warnings bytes.Buffer
	if err := simadapter.Run(simulator, simulator, &warnings); err != nil {
		t.Fatal(err)
	}
	if simulator.actionError != nil {
		t.Fatal(simulator.actionError)
	}
	// The last line of the golden file contains the number of warnings and the SHA-256 digest of their text.
	fmt.Fprintf(&simulator.checkpoints, "problems %d %x\n", bytes.Count(warnings.Bytes(), []byte("\n")), sha256.Sum256(warnings.Bytes()))
	goldentest.CheckText(t, "run", simulator.checkpoints.String())
}

// TestCharacterizationOfRejectedInput pins which list kinds, list numbers and attempt outcomes the adapter
// rejects. The golden file contains 1 for a rejected value and 0 for an accepted value.
func TestCharacterizationOfRejectedInput(t *testing.T) {
	var text strings.Builder
	writeRejected := func(testedRecord []byte) {
		startRecord := simwire.Record(uint8(19), uint32(0), uint64(9), uint32(len(pushDiscoverySettings)), []byte(pushDiscoverySettings))
		if simadapter.Run(bytes.NewReader(simwire.Batch(1, 50, startRecord, testedRecord)), io.Discard, io.Discard) != nil {
			text.WriteByte('1')
		} else {
			text.WriteByte('0')
		}
	}
	for listKind := range 16 {
		writeRejected(simwire.Record(uint8(26), uint32(0), uint8(listKind), uint32(1), uint8(0)))
	}
	text.WriteByte('\n')
	for listNumber := range 20 {
		writeRejected(simwire.Record(uint8(26), uint32(0), uint8(0), uint32(1), uint8(listNumber)))
	}
	text.WriteByte('\n')
	for status := range 260 {
		writeRejected(simwire.Record(uint8(17), uint32(0), uint64(1), [6]byte{}, 0.1, uint8(0), uint8(0), uint8(0), uint16(status), uint8(0)))
	}
	text.WriteByte('\n')
	goldentest.CheckText(t, "refused", text.String())
}
