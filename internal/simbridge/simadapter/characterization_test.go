package simadapter_test

// Characterization tests: they drive the adapter through a scripted run in a closed loop. A simulated peer reads
// each reply, carries out its actions and builds the next batch; a running SHA-256 covers all bytes of all
// replies. The first checkpoint that differs locates a change.
// Package goldentest says how golden files are compared and written.

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

// With pushSettings node lists are pushed and carry the free capacity; with consolidatingSettings nodes in use have a cost
// and lists are polled.
const (
	pushSettings = `{"discovery":"push","me":0,"myZone":0,"peersTotal":2,
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
	batches         = 1500
	checkpointEvery = 50
)

// pendingRecord is a record that is sent at a later time.
type pendingRecord struct {
	at     float64
	record []byte
}

// peer simulates the simulator's end of the connection: Read returns the next batch, Write receives the reply to the one before.
type peer struct {
	rng     *rand.Rand
	now     float64
	number  uint32
	rest    []byte // of the batch being read
	waiting []pendingRecord
	nextID  uint64
	digest  hash.Hash
	replies int
	actions [256]int // by code
	text    strings.Builder
	problem error
}

func (sim *peer) Read(into []byte) (int, error) {
	if len(sim.rest) == 0 {
		if sim.number == batches {
			return 0, io.EOF
		}
		sim.rest = sim.batch()
	}
	n := copy(into, sim.rest)
	sim.rest = sim.rest[n:]
	return n, nil
}

// batch returns the records that are due by now, with new tasks, lists and some records that mean nothing to the adapter.
func (sim *peer) batch() []byte {
	sim.number++
	sim.now += 0.1 * sim.rng.Float64()
	var records [][]byte
	if sim.number == 1 {
		for instance, settings := range []string{pushSettings, consolidatingSettings} {
			records = append(records, simwire.Record(uint8(19), uint32(instance), uint64(9+instance), uint32(len(settings)), []byte(settings)))
		}
	}
	if sim.number%10 == 1 {
		records = append(records, sim.list(), sim.nodesListed(0), sim.nodesListed(1))
	}
	later := sim.waiting[:0]
	for _, pending := range sim.waiting {
		if pending.at <= sim.now {
			records = append(records, pending.record)
		} else {
			later = append(later, pending)
		}
	}
	sim.waiting = later
	for range sim.rng.IntN(3) {
		records = append(records, sim.task(uint32(sim.rng.IntN(2))))
	}
	if sim.number%40 == 7 {
		records = append(records, sim.unmatchedRecords()...)
	}
	return simwire.Batch(sim.number, sim.now, records...)
}

func nodeAddress(i int) [6]byte { return [6]byte{10, 0, byte(i / 5), byte(i), 1, 2} }

// list defines list 2: twenty nodes, some of them draining, terminated or just started.
func (sim *peer) list() []byte {
	var entries []byte
	const count = 20
	for i := range count {
		health, since := uint8(1), 0.0
		switch sim.rng.IntN(12) {
		case 0:
			health = uint8(sim.rng.IntN(4))
		case 1:
			since = sim.now - 0.5
		}
		kind, free := i%2, 0.75+0.01*float32(i)
		entries = append(entries, simwire.Record(nodeAddress(i), uint8(i%3), float32(8*(kind+1))*free, uint8(kind), uint16(i%6),
			float32(16*(kind+1))*free, health, float32(1), since)...)
	}
	return append(simwire.Record(uint8(16), uint8(2), uint32(count)), entries...)
}

func (sim *peer) nodesListed(instance uint32) []byte {
	kinds := []uint8{0, 1, 2, 4, 4, 4}
	return simwire.Record(uint8(26), instance, kinds[sim.rng.IntN(len(kinds))], sim.number, uint8(2))
}

func (sim *peer) task(instance uint32) []byte {
	sim.nextID++
	class := uint16(sim.rng.IntN(2))
	service, cores, memory := uint64(1+sim.rng.IntN(8)), 0.2+sim.rng.Float32(), 0.5+sim.rng.Float32()
	if sim.rng.IntN(12) == 0 {
		node := nodeAddress(sim.rng.IntN(20))
		sim.later(4, simwire.Record(uint8(17), instance, sim.nextID, node, 4.0, uint8(0), uint8(0), uint8(1), uint16(0), uint8(0)))
		return simwire.Record(uint8(24), instance, sim.nextID, node, 30.0, sim.now+30, class, uint64(3), uint8(16), cores, memory, service, uint16(0))
	}
	if sim.rng.IntN(15) == 0 {
		sim.later(0.5, simwire.Record(uint8(22), instance, sim.nextID))
	}
	return simwire.Record(uint8(18), instance, sim.nextID, class, uint16(sim.rng.IntN(2)), uint64(3), sim.now+4, 30.0, service, cores, memory,
		uint8(sim.rng.IntN(32)))
}

// unmatchedRecords are records for instances, tasks and timers that do not exist, and of codes that have no use.
func (sim *peer) unmatchedRecords() [][]byte {
	address := nodeAddress(3)
	return [][]byte{
		simwire.Record(uint8(22), uint32(77), uint64(1)),
		simwire.Record(uint8(21), uint32(0), uint64(1)<<50),
		simwire.Record(uint8(25), uint32(1), uint64(1)<<50, uint8(9), 0.1, address),
		simwire.Record(uint8(20), uint32(0), uint16(253), address, 0.5, uint8(1), float32(2)),
		simwire.Record(uint8(28), uint32(1), uint32(0), uint16(3), []byte("abc")),
		simwire.Record(uint8(19), uint32(5), uint64(sim.number), uint32(len(pushSettings)), []byte(pushSettings)),
		simwire.Record(uint8(23), uint32(5)),
	}
}

func (sim *peer) later(seconds float64, planned []byte) {
	sim.waiting = append(sim.waiting, pendingRecord{sim.now + seconds, planned})
}

// Write receives one reply.
func (sim *peer) Write(reply []byte) (int, error) {
	sim.digest.Write(reply)
	sim.replies++
	sim.carryOut(reply[12:])
	if sim.replies%checkpointEvery == 0 {
		fmt.Fprintf(&sim.text, "%d offers %d refusals %d failures %d timers %d watches %d moves %d %x\n", sim.replies, sim.actions[86],
			sim.actions[85], sim.actions[83], sim.actions[92], sim.actions[91], sim.actions[87], sim.digest.Sum(nil))
	}
	return len(reply), nil
}

// carryOut reads the actions of a reply and schedules their results.
func (sim *peer) carryOut(actions []byte) {
	for len(actions) > 0 {
		code, instance := actions[0], binary.LittleEndian.Uint32(actions[1:])
		fields := actions[5:]
		sim.actions[code]++
		switch code {
		case 86:
			sim.attemptStarted(instance, binary.LittleEndian.Uint64(fields), [6]byte(fields[16:22]))
			actions = fields[22:]
		case 92:
			after := math.Float64frombits(binary.LittleEndian.Uint64(fields[8:]))
			sim.later(after, simwire.Record(uint8(21), instance, binary.LittleEndian.Uint64(fields)))
			actions = fields[16:]
		case 87:
			id := binary.LittleEndian.Uint64(fields)
			sim.later(0.2, simwire.Record(uint8(17), instance, id, [6]byte{}, 1.0, uint8(7), uint8(0), uint8(1), uint16(250), uint8(0)))
			actions = fields[8:]
		case 85:
			actions = fields[16:]
		case 83:
			actions = fields[8:]
		case 91:
			sim.later(0.1, sim.nodesListed(instance))
			actions = fields[1:]
		default:
			sim.problem = fmt.Errorf("reply %d: action of code %d", sim.replies, code)
			return
		}
	}
}

// attemptStarted draws the outcome of an attempt. The action does not carry its number, so outcomes are sent for several.
func (sim *peer) attemptStarted(instance uint32, id uint64, node [6]byte) {
	status := []uint16{0, 255, 254, 254, 253, 252, 251, 250, 249}
	ends := func(after float64, attempt int) {
		load := sim.load(instance, node)
		ended := simwire.Record(uint8(17), instance, id, node, 0.1, uint8(sim.rng.IntN(8)), uint8(attempt), uint8(sim.rng.IntN(2)),
			status[sim.rng.IntN(len(status))], uint8(len(load)), load)
		sim.later(after, ended)
	}
	if sim.rng.IntN(3) > 0 {
		sim.later(0.1, simwire.Record(uint8(25), instance, id, uint8(0), 0.1, node))
		for sort := range 5 {
			sim.later(0.3, simwire.Record(uint8(27), instance, id, uint8(0), node, uint8(sort+1), sim.rng.Float32()))
		}
		ends(1+6*sim.rng.Float64(), 0)
		return
	}
	for attempt := range 4 {
		ends(0.1+0.3*sim.rng.Float64()*float64(attempt+1), attempt)
	}
}

// load is a report with values for all, some or more than the fields of the instance's settings.
func (sim *peer) load(instance uint32, node [6]byte) []float32 {
	size := float32(8 * (1 + node[3]%2))
	free, freeMemory, busy := size*(0.8+0.1*sim.rng.Float32()), 2*size*(0.8+0.1*sim.rng.Float32()), 0.3*sim.rng.Float32()
	all := []float32{free, freeMemory, busy, 2, 9}
	if instance == 0 {
		all = []float32{freeMemory, busy, 9, 9, 9}
	}
	return all[:sim.rng.IntN(len(all)+1)]
}

func TestCharacterizationOfARun(t *testing.T) {
	sim := &peer{rng: rand.New(rand.NewPCG(6, 8)), now: 50, digest: sha256.New()}
	var problems bytes.Buffer
	if err := simadapter.Run(sim, sim, &problems); err != nil {
		t.Fatal(err)
	}
	if sim.problem != nil {
		t.Fatal(sim.problem)
	}
	fmt.Fprintf(&sim.text, "problems %d %x\n", bytes.Count(problems.Bytes(), []byte("\n")), sha256.Sum256(problems.Bytes()))
	goldentest.CheckText(t, "run", sim.text.String())
}

// TestCharacterizationOfRefusedInput pins which codes of lists and outcomes the adapter rejects: 1 for rejected.
func TestCharacterizationOfRefusedInput(t *testing.T) {
	var text strings.Builder
	rejected := func(last []byte) {
		begin := simwire.Record(uint8(19), uint32(0), uint64(9), uint32(len(pushSettings)), []byte(pushSettings))
		if simadapter.Run(bytes.NewReader(simwire.Batch(1, 50, begin, last)), io.Discard, io.Discard) != nil {
			text.WriteByte('1')
		} else {
			text.WriteByte('0')
		}
	}
	for kind := range 16 {
		rejected(simwire.Record(uint8(26), uint32(0), uint8(kind), uint32(1), uint8(0)))
	}
	text.WriteByte('\n')
	for sheet := range 20 {
		rejected(simwire.Record(uint8(26), uint32(0), uint8(0), uint32(1), uint8(sheet)))
	}
	text.WriteByte('\n')
	for status := range 260 {
		rejected(simwire.Record(uint8(17), uint32(0), uint64(1), [6]byte{}, 0.1, uint8(0), uint8(0), uint8(0), uint16(status), uint8(0)))
	}
	text.WriteByte('\n')
	goldentest.CheckText(t, "refused", text.String())
}
