package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

const testSettings = `{"discovery":"push","me":1,"myZone":0,"peersTotal":2,"unheardOf":{"a":[1]},
 "extra":{"admitMemory":1.5,"apartBy":["none","cell"],"classKind":[-1,-1],"coresByKind":[8,16],"counts":"used",
  "cpuBooking":2,"freeInList":true,"fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16,32],"precedence":[0,2],
  "saysYes":"running","startBonusS":[5,6],"togetherMax":[0,2],"youngLimit":12},
 "lanes":[{"effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"effect":"deduplicated","hardLimitS":5,"keyScope":"cell","keyTtlS":3,"objectiveS":1,"worth":2}],
 "loadReport":{"fields":["x1","utilization"],"how":"answers"},"permissions":{"mostTries":3},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"fallS":1,"warmWithinS":8}}`

// testSettingsWithNames is the same with the names of classes, tenants, zones and node types, as a scheduler in production
// gets them.
var testSettingsWithNames = strings.NewReplacer(`"discovery":"push"`, `"discovery":"push","flavors":["small","large"],"zones":["a","b"],
 "orgs":[{"name":"north"},{"name":"south"}]`, `{"effect":"idempotent"`, `{"name":"query","effect":"idempotent"`,
	`{"effect":"dedup`, `{"name":"seats","effect":"dedup`).Replace(testSettings)

// batch is a batch of records in the simulator's protocol.
type batch struct {
	records bytes.Buffer
	count   uint32
}

// add adds one record.
func (b *batch) add(values ...any) *batch {
	for _, value := range values {
		if err := binary.Write(&b.records, binary.LittleEndian, value); err != nil {
			panic(err)
		}
	}
	b.count++
	return b
}

// bytes returns the batch, which is number 1 at time 10.
func (b *batch) bytes() []byte {
	var out bytes.Buffer
	for _, value := range []any{uint32(1), uint32(12 + b.records.Len()), b.count, 10.0} {
		if err := binary.Write(&out, binary.LittleEndian, value); err != nil {
			panic(err)
		}
	}
	return append(out.Bytes(), b.records.Bytes()...)
}

var node = [6]byte{10, 0, 0, 1, 1, 2}

// testInstance is the instance that the tests start.
const testInstance = uint32(4)

// beginInstance starts an instance and gives it a list of one node.
func beginInstance(settings string) *batch {
	return (&batch{}).add(uint8(19), testInstance, uint64(9), uint32(len(settings)), []byte(settings)).
		add(uint8(16), uint8(0), uint32(1), node, uint8(0), float32(8), uint8(0), uint16(1), float32(16), uint8(1),
			float32(1), 0.0).
		add(uint8(26), testInstance, uint8(1), uint32(1), uint8(0))
}

// arrives adds the request of a task to a batch.
func arrives(b *batch, instance uint32, id uint64) *batch {
	return b.add(uint8(18), instance, id, uint16(0), uint16(0), uint64(1), 14.0, 0.0, uint64(4), float32(1), float32(1), uint8(0))
}

// run returns the replies to batches and the warnings.
func run(batches ...[]byte) (replies, warnings string, err error) {
	var out, problems bytes.Buffer
	err = Run(bytes.NewReader(bytes.Join(batches, nil)), &out, &problems)
	return out.String(), problems.String(), err
}

func TestTaskArrivalStartsAnAttempt(t *testing.T) {
	out, _, err := run(arrives(beginInstance(testSettings), 4, 77).bytes())
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	for _, value := range []any{uint8(86), uint32(4), uint64(77)} {
		if err := binary.Write(&want, binary.LittleEndian, value); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(out, want.String()) || !strings.HasSuffix(out, string(node[:])) {
		t.Fatalf("no attempt on the node in %x", out)
	}
}

func TestUnmatchedEventsAreIgnored(t *testing.T) {
	plain, _, err := run(arrives(beginInstance(testSettings), 4, 77).bytes())
	if err != nil {
		t.Fatal(err)
	}
	records := beginInstance(testSettings)
	arrives(records, 8, 5)                                            // an instance that has not begun
	records.add(uint8(22), uint32(4), uint64(12345))                  // an unknown task
	records.add(uint8(21), uint32(4), uint64(99999))                  // an unknown timer
	records.add(uint8(25), uint32(4), uint64(3), uint8(9), 0.1, node) // an unknown attempt
	out, problems, err := run(arrives(records, 4, 77).bytes())
	if err != nil || out != plain || !strings.Contains(problems, "has not begun") {
		t.Fatalf("err %v, same %v, warnings %q", err, out == plain, problems)
	}
}

func TestInvalidInputEndsWithoutReply(t *testing.T) {
	for name, test := range map[string]struct {
		in   []byte
		want string
	}{
		"no json":    {beginInstance("{").bytes(), "settings"},
		"effect":     {beginInstance(strings.Replace(testSettings, "idempotent", "maybe", 1)).bytes(), "lanes[0].effect"},
		"place":      {beginInstance(strings.Replace(testSettings, `"none","cell"`, `"moon"`, 1)).bytes(), "apartBy[0]"},
		"kinds":      {beginInstance(strings.Replace(testSettings, `"kindMemory":[16,32]`, `"kindMemory":[16]`, 1)).bytes(), "kindMemory"},
		"attempts":   {beginInstance(strings.Replace(testSettings, `"mostTries":3`, `"mostTries":0`, 1)).bytes(), "attempts 0"},
		"list kind":  {beginInstance(testSettings).add(uint8(26), uint32(4), uint8(9), uint32(1), uint8(0)).bytes(), "list kind 9"},
		"bytes left": {func() []byte { short := beginInstance(testSettings); short.count--; return short.bytes() }(), "follow the last"},
	} {
		out, _, err := run(test.in)
		if err == nil || !strings.Contains(err.Error(), test.want) || out != "" {
			t.Errorf("%s: error %v, %d bytes out", name, err, len(out))
		}
	}
	if out, _, err := run(); err != nil || out != "" {
		t.Errorf("end of input: %v", err)
	}
}

func TestSettings(t *testing.T) {
	settings, err := simconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	config, fields := settings.Placer, settings.ReportFields
	if config.Peers != (placer.Peers{Self: 1, Total: 2}) || config.Attempts.Max != 3 {
		t.Errorf("peers %+v, attempts %+v", config.Peers, config.Attempts)
	}
	if !config.NodeBehavior.AcknowledgesOnStart || !config.NodeBehavior.ReportsUsage {
		t.Errorf("behavior of nodes %+v", config.NodeBehavior)
	}
	class := config.Classes[1]
	if class.Idempotency != placer.IdempotentByKey || class.DedupDomain != placer.RackDomain || class.DedupWindow != 3 ||
		class.SpreadDomain != placer.RackDomain || class.MaxPerDomain != 2 {
		t.Errorf("second class %+v", class)
	}
	if config.Classes[0].SpreadDomain != placer.NoDomain || config.NodeTypes[1].Memory != 32 || len(fields) != 2 {
		t.Errorf("settings %+v", settings)
	}
	target := instance{reportFields: fields}
	report := target.parseReport([]float32{3, 0.5})
	if report.FreeMemory != 3 || report.Utilization != 0.5 || !math.IsNaN(report.FreeCores) {
		t.Errorf("report %+v", report)
	}
}

func TestPanicIsReportedForTheInstance(t *testing.T) {
	broken := &adapter{instances: map[uint32]*instance{}}
	broken.writer.Start(1)
	broken.decide(10, testInstance, &instance{}, placer.Event{Kind: placer.Arrived}) // no placer: the call panics
	out := string(broken.writer.Finish())
	if out[12] != 90 || !strings.Contains(out, "panic") {
		t.Fatalf("%x", out)
	}
}
