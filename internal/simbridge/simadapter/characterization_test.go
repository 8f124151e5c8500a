package simadapter_test

// Characterization tests: they drive the adapter through a scripted run in a closed loop. A simulated peer reads
// each reply, carries out its actions and builds the next batch; a running SHA-256 covers all bytes of all
// replies. The first checkpoint that differs locates a change.
//
// The golden file holds numbers, wire bytes and float bits only, never a Go identifier. A missing golden file
// fails the test. To accept an intended change of behaviour, regenerate it and commit it with the change:
//
//	HEATHSHED_UPDATE_GOLDEN=1 go test ./internal/simadapter -run Characterization

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

// pendingRecord is a record that is sent once its time has come.
type pendingRecord struct {
	at     float64
	record []byte
}

// peer is the other end of the wire: Read gives the next batch, Write takes the reply to the one before.
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

// record encodes one record from values of fixed width, little endian.
func record(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func (p *peer) Read(into []byte) (int, error) {
	if len(p.rest) == 0 {
		if p.number == batches {
			return 0, io.EOF
		}
		p.rest = p.batch()
	}
	n := copy(into, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// batch is all that is due by now, with new tasks, lists and some records that mean nothing to the adapter.
func (p *peer) batch() []byte {
	p.number++
	p.now += 0.1 * p.rng.Float64()
	var records [][]byte
	if p.number == 1 {
		for who, settings := range []string{pushSettings, consolidatingSettings} {
			records = append(records, record(uint8(19), uint32(who), uint64(9+who), uint32(len(settings)), []byte(settings)))
		}
	}
	if p.number%10 == 1 {
		records = append(records, p.list(), p.nodesListed(0), p.nodesListed(1))
	}
	later := p.waiting[:0]
	for _, d := range p.waiting {
		if d.at <= p.now {
			records = append(records, d.record)
		} else {
			later = append(later, d)
		}
	}
	p.waiting = later
	for range p.rng.IntN(3) {
		records = append(records, p.task(uint32(p.rng.IntN(2))))
	}
	if p.number%40 == 7 {
		records = append(records, p.unmatchedRecords()...)
	}
	body := bytes.Join(records, nil)
	return append(record(p.number, uint32(12+len(body)), uint32(len(records)), p.now), body...)
}

func nodeAddress(i int) [6]byte { return [6]byte{10, 0, byte(i / 5), byte(i), 1, 2} }

// list defines list 2: twenty nodes, some of them draining, terminated or just started.
func (p *peer) list() []byte {
	var entries []byte
	const count = 20
	for i := range count {
		health, since := uint8(1), 0.0
		switch p.rng.IntN(12) {
		case 0:
			health = uint8(p.rng.IntN(4))
		case 1:
			since = p.now - 0.5
		}
		kind, free := i%2, 0.75+0.01*float32(i)
		entries = append(entries, record(nodeAddress(i), uint8(i%3), float32(8*(kind+1))*free, uint8(kind), uint16(i%6),
			float32(16*(kind+1))*free, health, float32(1), since)...)
	}
	return append(record(uint8(16), uint8(2), uint32(count)), entries...)
}

func (p *peer) nodesListed(who uint32) []byte {
	kinds := []uint8{0, 1, 2, 4, 4, 4}
	return record(uint8(26), who, kinds[p.rng.IntN(len(kinds))], p.number, uint8(2))
}

func (p *peer) task(who uint32) []byte {
	p.nextID++
	class := uint16(p.rng.IntN(2))
	service, cores, memory := uint64(1+p.rng.IntN(8)), 0.2+p.rng.Float32(), 0.5+p.rng.Float32()
	if p.rng.IntN(12) == 0 {
		node := nodeAddress(p.rng.IntN(20))
		p.later(4, record(uint8(17), who, p.nextID, node, 4.0, uint8(0), uint8(0), uint8(1), uint16(0), uint8(0)))
		return record(uint8(24), who, p.nextID, node, 30.0, p.now+30, class, uint64(3), uint8(16), cores, memory, service, uint16(0))
	}
	if p.rng.IntN(15) == 0 {
		p.later(0.5, record(uint8(22), who, p.nextID))
	}
	return record(uint8(18), who, p.nextID, class, uint16(p.rng.IntN(2)), uint64(3), p.now+4, 30.0, service, cores, memory,
		uint8(p.rng.IntN(32)))
}

// unmatchedRecords are records for instances, tasks and timers that do not exist, and of codes that have no use.
func (p *peer) unmatchedRecords() [][]byte {
	address := nodeAddress(3)
	return [][]byte{
		record(uint8(22), uint32(77), uint64(1)),
		record(uint8(21), uint32(0), uint64(1)<<50),
		record(uint8(25), uint32(1), uint64(1)<<50, uint8(9), 0.1, address),
		record(uint8(20), uint32(0), uint16(253), address, 0.5, uint8(1), float32(2)),
		record(uint8(28), uint32(1), uint32(0), uint16(3), []byte("abc")),
		record(uint8(19), uint32(5), uint64(p.number), uint32(len(pushSettings)), []byte(pushSettings)),
		record(uint8(23), uint32(5)),
	}
}

func (p *peer) later(seconds float64, r []byte) {
	p.waiting = append(p.waiting, pendingRecord{p.now + seconds, r})
}

// Write takes one reply.
func (p *peer) Write(reply []byte) (int, error) {
	p.digest.Write(reply)
	p.replies++
	p.carryOut(reply[12:])
	if p.replies%checkpointEvery == 0 {
		fmt.Fprintf(&p.text, "%d offers %d refusals %d failures %d timers %d watches %d moves %d %x\n", p.replies, p.actions[86],
			p.actions[85], p.actions[83], p.actions[92], p.actions[91], p.actions[87], p.digest.Sum(nil))
	}
	return len(reply), nil
}

// carryOut reads the actions of a reply and plans what comes of them.
func (p *peer) carryOut(actions []byte) {
	for len(actions) > 0 {
		code, who := actions[0], binary.LittleEndian.Uint32(actions[1:])
		fields := actions[5:]
		p.actions[code]++
		switch code {
		case 86:
			p.attemptStarted(who, binary.LittleEndian.Uint64(fields), [6]byte(fields[16:22]))
			actions = fields[22:]
		case 92:
			after := math.Float64frombits(binary.LittleEndian.Uint64(fields[8:]))
			p.later(after, record(uint8(21), who, binary.LittleEndian.Uint64(fields)))
			actions = fields[16:]
		case 87:
			id := binary.LittleEndian.Uint64(fields)
			p.later(0.2, record(uint8(17), who, id, [6]byte{}, 1.0, uint8(7), uint8(0), uint8(1), uint16(250), uint8(0)))
			actions = fields[8:]
		case 85:
			actions = fields[16:]
		case 83:
			actions = fields[8:]
		case 91:
			p.later(0.1, p.nodesListed(who))
			actions = fields[1:]
		default:
			p.problem = fmt.Errorf("reply %d: action of code %d", p.replies, code)
			return
		}
	}
}

// attemptStarted draws the outcome of an attempt. The action does not carry its number, so outcomes are sent for several.
func (p *peer) attemptStarted(who uint32, id uint64, node [6]byte) {
	status := []uint16{0, 255, 254, 254, 253, 252, 251, 250, 249}
	ends := func(after float64, attempt int) {
		load := p.load(who, node)
		r := record(uint8(17), who, id, node, 0.1, uint8(p.rng.IntN(8)), uint8(attempt), uint8(p.rng.IntN(2)),
			status[p.rng.IntN(len(status))], uint8(len(load)), load)
		p.later(after, r)
	}
	if p.rng.IntN(3) > 0 {
		p.later(0.1, record(uint8(25), who, id, uint8(0), 0.1, node))
		for sort := range 5 {
			p.later(0.3, record(uint8(27), who, id, uint8(0), node, uint8(sort+1), p.rng.Float32()))
		}
		ends(1+6*p.rng.Float64(), 0)
		return
	}
	for attempt := range 4 {
		ends(0.1+0.3*p.rng.Float64()*float64(attempt+1), attempt)
	}
}

// load is a report with values for all, some or more than the fields that the instance knows.
func (p *peer) load(who uint32, node [6]byte) []float32 {
	size := float32(8 * (1 + node[3]%2))
	free, freeMemory, busy := size*(0.8+0.1*p.rng.Float32()), 2*size*(0.8+0.1*p.rng.Float32()), 0.3*p.rng.Float32()
	all := []float32{free, freeMemory, busy, 2, 9}
	if who == 0 {
		all = []float32{freeMemory, busy, 9, 9, 9}
	}
	return all[:p.rng.IntN(len(all)+1)]
}

func TestCharacterizationOfARun(t *testing.T) {
	p := &peer{rng: rand.New(rand.NewPCG(6, 8)), now: 50, digest: sha256.New()}
	var problems bytes.Buffer
	if err := simadapter.Run(p, p, &problems); err != nil {
		t.Fatal(err)
	}
	if p.problem != nil {
		t.Fatal(p.problem)
	}
	fmt.Fprintf(&p.text, "problems %d %x\n", bytes.Count(problems.Bytes(), []byte("\n")), sha256.Sum256(problems.Bytes()))
	goldentest.CheckText(t, "run", p.text.String())
}

// TestCharacterizationOfRefusedInput pins which codes of lists and outcomes the adapter rejects: 1 for rejected.
func TestCharacterizationOfRefusedInput(t *testing.T) {
	var text strings.Builder
	rejected := func(r []byte) {
		begin := record(uint8(19), uint32(0), uint64(9), uint32(len(pushSettings)), []byte(pushSettings))
		body := append(begin, r...)
		in := append(record(uint32(1), uint32(12+len(body)), uint32(2), 50.0), body...)
		if simadapter.Run(bytes.NewReader(in), io.Discard, io.Discard) != nil {
			text.WriteByte('1')
		} else {
			text.WriteByte('0')
		}
	}
	for kind := range 16 {
		rejected(record(uint8(26), uint32(0), uint8(kind), uint32(1), uint8(0)))
	}
	text.WriteByte('\n')
	for sheet := range 20 {
		rejected(record(uint8(26), uint32(0), uint8(0), uint32(1), uint8(sheet)))
	}
	text.WriteByte('\n')
	for status := range 260 {
		rejected(record(uint8(17), uint32(0), uint64(1), [6]byte{}, 0.1, uint8(0), uint8(0), uint8(0), uint16(status), uint8(0)))
	}
	text.WriteByte('\n')
	goldentest.CheckText(t, "refused", text.String())
}
