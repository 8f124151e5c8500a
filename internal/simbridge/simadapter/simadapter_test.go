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

// testSettingsWithNames extends testSettings by the names of task classes, tenants, zones and node types. The
// settings of a scheduler that runs outside the simulator contain these names.
var testSettingsWithNames = strings.NewReplacer(`"discovery":"push"`, `"discovery":"push","flavors":["small","large"],"zones":["a","b"],
 "orgs":[{"name":"north"},{"name":"south"}]`, `{"effect":"idempotent"`, `{"name":"query","effect":"idempotent"`,
	`{"effect":"dedup`, `{"name":"seats","effect":"dedup`).Replace(testSettings)

var testNodeAddress = [6]byte{10, 0, 0, 1, 1, 2}

// testInstance is the number of the scheduler instance that the tests start.
const testInstance = uint32(4)

// instanceStartRecords returns records that start the scheduler instance testInstance and give it a list of
// one node. The records in the argument further follow them.
func instanceStartRecords(settings string, further ...[]byte) [][]byte {
	return append([][]byte{
		simwire.Record(uint8(19), testInstance, uint64(9), uint32(len(settings)), []byte(settings)),
		simwire.Record(uint8(16), uint8(0), uint32(1), testNodeAddress, uint8(0), float32(8), uint8(0), uint16(1), float32(16), uint8(1), float32(1), 0.0),
		simwire.Record(uint8(26), testInstance, uint8(1), uint32(1), uint8(0)),
	}, further...)
}

// arrivalRecord returns the event record of a placement request for a task.
func arrivalRecord(instance uint32, taskID uint64) []byte {
	return simwire.Record(uint8(18), instance, taskID, uint16(0), uint16(0), uint64(1), 14.0, 0.0, uint64(4), float32(1), float32(1), uint8(0))
}

// runBatch runs the adapter on one batch with the given records and returns the reply and the warnings.
func runBatch(records ...[]byte) (reply, warnings string, err error) {
	return runInput(simwire.Batch(1, 10, records...))
}

// runInput runs the adapter on the given input bytes and returns all replies and warnings.
func runInput(input []byte) (replies, warnings string, err error) {
	var output, warningText bytes.Buffer
	err = Run(bytes.NewReader(input), &output, &warningText)
	return output.String(), warningText.String(), err
}

func TestTaskArrivalStartsAnAttempt(t *testing.T) {
	out, _, err := runBatch(instanceStartRecords(testSettings, arrivalRecord(4, 77))...)
	if err != nil {
		t.Fatal(err)
	}
	want := string(simwire.Record(uint8(86), uint32(4), uint64(77)))
	if !strings.Contains(out, want) || !strings.HasSuffix(out, string(testNodeAddress[:])) {
		t.Fatalf("reply %x must contain an attempt to start task 77 and end with the address of the only node", out)
	}
}

func TestUnmatchedEventsAreIgnored(t *testing.T) {
	wantReply, _, err := runBatch(instanceStartRecords(testSettings, arrivalRecord(4, 77))...)
	if err != nil {
		t.Fatal(err)
	}
	reply, warnings, err := runBatch(instanceStartRecords(testSettings,
		arrivalRecord(8, 5), // The scheduler instance does not exist.
		simwire.Record(uint8(22), uint32(4), uint64(12345)),                             // The task does not exist.
		simwire.Record(uint8(21), uint32(4), uint64(99999)),                             // The timer does not exist.
		simwire.Record(uint8(25), uint32(4), uint64(3), uint8(9), 0.1, testNodeAddress), // The attempt does not exist.
		arrivalRecord(4, 77))...)
	if err != nil || reply != wantReply || !strings.Contains(warnings, "has not begun") {
		t.Fatalf("reply with unmatched events: error %v, same reply as without these events %v, warnings %q; want the same reply and a warning", err, reply == wantReply, warnings)
	}
}

func TestInvalidInputEndsWithoutReply(t *testing.T) {
	startBatch := func(settings string, further ...[]byte) []byte {
		return simwire.Batch(1, 10, instanceStartRecords(settings, further...)...)
	}
	for name, testCase := range map[string]struct {
		input     []byte
		wantError string
	}{
		"settings are not JSON":                {startBatch("{"), "settings"},
		"unknown idempotency in key effect":    {startBatch(strings.Replace(testSettings, "idempotent", "maybe", 1)), "lanes[0].effect"},
		"unknown spread domain in key apartBy": {startBatch(strings.Replace(testSettings, `"none","cell"`, `"moon"`, 1)), "apartBy[0]"},
		"fewer memory sizes than node types":   {startBatch(strings.Replace(testSettings, `"kindMemory":[16,32]`, `"kindMemory":[16]`, 1)), "kindMemory"},
		"maximum of zero attempts":             {startBatch(strings.Replace(testSettings, `"mostTries":3`, `"mostTries":0`, 1)), "maximum number of attempts 0 must be at least 1"},
		"unknown list kind":                    {startBatch(testSettings, simwire.Record(uint8(26), uint32(4), uint8(9), uint32(1), uint8(0))), "unknown list kind 9"},
		"bytes after the last record":          {simwire.BatchOfCount(1, 10, 2, instanceStartRecords(testSettings)...), "follow the last"},
	} {
		out, _, err := runInput(testCase.input)
		if err == nil || !strings.Contains(err.Error(), testCase.wantError) || out != "" {
			t.Errorf("%s: got error %v and %d bytes of replies, want the error for this input and no reply", name, err, len(out))
		}
	}
	if out, _, err := runInput(nil); err != nil || out != "" {
		t.Errorf("run with empty input: got error %v, want no error and no reply", err)
	}
}

func TestSettingsConfigureThePlacer(t *testing.T) {
	settings, err := simconfig.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	config, reportFields := settings.Placer, settings.ReportFields
	if config.Peers != (placer.Peers{Self: 1, Total: 2}) || config.Attempts.Max != 3 {
		t.Errorf("got peers %+v and attempt settings %+v, want scheduler 1 of 2 peers and at most 3 attempts", config.Peers, config.Attempts)
	}
	if !config.NodeBehavior.AcknowledgesOnStart || !config.NodeBehavior.ReportsUsage {
		t.Errorf("got node behavior %+v, want acknowledgement on start and reports of usage", config.NodeBehavior)
	}
	class := config.Classes[1]
	if class.Idempotency != placer.IdempotentByKey || class.DedupDomain != placer.RackDomain || class.DedupWindow != 3 ||
		class.SpreadDomain != placer.RackDomain || class.MaxPerDomain != 2 {
		t.Errorf("got second task class %+v, want deduplication by rack for 3 s, and spread by rack with at most 2 tasks per rack", class)
	}
	if config.Classes[0].SpreadDomain != placer.NoDomain || config.NodeTypes[1].Memory != 32 || len(reportFields) != 2 {
		t.Errorf("got settings %+v, want no spread domain for the first task class, memory 32 for the second node type and 2 report fields", settings)
	}
	target := instance{reportFields: reportFields}
	report := target.parseLoadReport([]float32{3, 0.5})
	if report.FreeMemory != 3 || report.Utilization != 0.5 || !math.IsNaN(report.FreeCores) {
		t.Errorf("got load report %+v, want free memory 3, utilization 0.5 and no free cores", report)
	}
}

func TestPanicIsReportedForTheInstance(t *testing.T) {
	testAdapter := &adapter{instances: map[uint32]*instance{}}
	testAdapter.writer.Start(1)
	// The call panics because the instance has no placer.
	testAdapter.handlePlacerEvent(10, testInstance, &instance{}, placer.Event{Kind: placer.Arrived})
	reply := string(testAdapter.writer.Finish())
	if reply[12] != 90 || !strings.Contains(reply, "panic") {
		t.Fatalf("reply %x must contain code 90 (ReportPanic) at byte 12 and a text with the word panic", reply)
	}
}
