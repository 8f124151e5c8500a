package simadapter

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/testsupport/simwire"
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

var node = [6]byte{10, 0, 0, 1, 1, 2}

// testInstance is the instance that the tests start.
const testInstance = uint32(4)

// beginInstance returns records that start an instance and give it a list of one node, and the given ones.
func beginInstance(settings string, more ...[]byte) [][]byte {
	return append([][]byte{
		simwire.Record(uint8(19), testInstance, uint64(9), uint32(len(settings)), []byte(settings)),
		simwire.Record(uint8(16), uint8(0), uint32(1), node, uint8(0), float32(8), uint8(0), uint16(1), float32(16), uint8(1), float32(1), 0.0),
		simwire.Record(uint8(26), testInstance, uint8(1), uint32(1), uint8(0)),
	}, more...)
}

// arrival is the record of a request for a task.
func arrival(instance uint32, id uint64) []byte {
	return simwire.Record(uint8(18), instance, id, uint16(0), uint16(0), uint64(1), 14.0, 0.0, uint64(4), float32(1), float32(1), uint8(0))
}

// run returns the reply to one batch of records and the warnings.
func run(records ...[]byte) (reply, warnings string, err error) {
	return runInput(simwire.Batch(1, 10, records...))
}

func runInput(in []byte) (replies, warnings string, err error) {
	var out, problems bytes.Buffer
	err = Run(bytes.NewReader(in), &out, &problems)
	return out.String(), problems.String(), err
}

func TestTaskArrivalStartsAnAttempt(t *testing.T) {
	out, _, err := run(beginInstance(testSettings, arrival(4, 77))...)
	if err != nil {
		t.Fatal(err)
	}
	want := string(simwire.Record(uint8(86), uint32(4), uint64(77)))
	if !strings.Contains(out, want) || !strings.HasSuffix(out, string(node[:])) {
		t.Fatalf("no attempt on the node in %x", out)
	}
}

func TestUnmatchedEventsAreIgnored(t *testing.T) {
	plain, _, err := run(beginInstance(testSettings, arrival(4, 77))...)
	if err != nil {
		t.Fatal(err)
	}
	out, problems, err := run(beginInstance(testSettings,
		arrival(8, 5), // an instance that has not begun
		simwire.Record(uint8(22), uint32(4), uint64(12345)),                  // an unknown task
		simwire.Record(uint8(21), uint32(4), uint64(99999)),                  // an unknown timer
		simwire.Record(uint8(25), uint32(4), uint64(3), uint8(9), 0.1, node), // an unknown attempt
		arrival(4, 77))...)
	if err != nil || out != plain || !strings.Contains(problems, "has not begun") {
		t.Fatalf("err %v, same %v, warnings %q", err, out == plain, problems)
	}
}

func TestInvalidInputEndsWithoutReply(t *testing.T) {
	begin := func(settings string, more ...[]byte) []byte {
		return simwire.Batch(1, 10, beginInstance(settings, more...)...)
	}
	for name, test := range map[string]struct {
		in   []byte
		want string
	}{
		"no json":    {begin("{"), "settings"},
		"effect":     {begin(strings.Replace(testSettings, "idempotent", "maybe", 1)), "lanes[0].effect"},
		"place":      {begin(strings.Replace(testSettings, `"none","cell"`, `"moon"`, 1)), "apartBy[0]"},
		"kinds":      {begin(strings.Replace(testSettings, `"kindMemory":[16,32]`, `"kindMemory":[16]`, 1)), "kindMemory"},
		"attempts":   {begin(strings.Replace(testSettings, `"mostTries":3`, `"mostTries":0`, 1)), "attempts 0"},
		"list kind":  {begin(testSettings, simwire.Record(uint8(26), uint32(4), uint8(9), uint32(1), uint8(0))), "list kind 9"},
		"bytes left": {simwire.BatchOfCount(1, 10, 2, beginInstance(testSettings)...), "follow the last"},
	} {
		out, _, err := runInput(test.in)
		if err == nil || !strings.Contains(err.Error(), test.want) || out != "" {
			t.Errorf("%s: error %v, %d bytes out", name, err, len(out))
		}
	}
	if out, _, err := runInput(nil); err != nil || out != "" {
		t.Errorf("end of input: %v", err)
	}
}

func TestSettingsConfigureThePlacer(t *testing.T) {
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
