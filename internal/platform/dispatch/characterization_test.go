package dispatch_test

import (
	"fmt"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterization runs random scripts with fixed seeds and the scenarios of runScenarios against cores,
// and compares digests of the observable behavior with a golden file. Each digest covers all steps up to its
// checkpoint. If the digest of a checkpoint differs from the golden file and the digest of the preceding
// checkpoint does not, the behavior first differs in a step between these checkpoints. The digests cover only
// numbers, wire bytes and float bits, and do not depend on names in the source. The environment variable
// HEATHSHED_UPDATE_GOLDEN=1 makes the test rewrite the golden file. The test fails if the golden file is
// missing.
func TestCharacterization(t *testing.T) {
	var lines []string
	for settingsIndex := range settingsVariants {
		for seed := uint64(1); seed <= 6; seed++ {
			lines = append(lines, runRandomScript(t, settingsIndex, seed, false)...)
		}
		for seed := uint64(21); seed <= 26; seed++ {
			lines = append(lines, runRandomScript(t, settingsIndex, seed, true)...)
		}
	}
	lines = append(lines, runScenarios(t)...)
	record := goldentest.NewRecorder()
	for _, line := range lines {
		record.Line("%s", line)
	}
	record.Check(t, "characterization")
}

// settingsVariants contains the settings with which the scripts run. The variants differ in every setting
// that the core reads, and in the settings that change the decisions of the placer.
var settingsVariants = []string{
	dispatch.TestSettings,
	`{"discovery":"pushed","me":1,"myZone":1,"peersTotal":3,"flavors":["std","big"],"zones":["a","b"],
 "extra":{"admitMemory":1,"apartBy":["machine","zone"],"classKind":[-1,1],"checkAfterS":0.5,"coresByKind":[8,16],"cpuBooking":1,
  "counts":"used","pushesOut":true,"precedence":[0,2],"quotaCores":[6,4],"togetherMax":[3,2],
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16,32],"saysYes":"running","youngLimit":4},
 "lanes":[{"name":"query","effect":"deduplicated","hardLimitS":3,"keyScope":"zone","keyTtlS":2,"objectiveS":0.5,"worth":1},
  {"name":"seats","effect":"idempotent","hardLimitS":2,"keyScope":"all","objectiveS":1,"worth":3}],
 "orgs":[{"name":"south","share":1},{"name":"north","share":2}],"loadReport":{"fields":["utilization","backlog","x0"],"how":"answers"},
 "permissions":{"mostTries":2,"mayDuplicate":true,"retryAfter":true,"maxRetryAfterS":1,"connectTimeoutS":0.25},
 "tariffs":{"crossZone":0.1,"fleet":0.2,"moves":0.01},"overShareWorth":0.5,
 "rules":{"answerSlackS":0.2,"askWithinS":4,"drainGraceS":3,"fallS":1,"warmWithinS":2,"overloadFactor":2}}`,
	`{"discovery":"ask","me":0,"myZone":0,"peersTotal":2,"flavors":["std"],"zones":["a"],
 "extra":{"admitMemory":1,"bound":true,"apartBy":["cell"],"classKind":[-1],"checkAfterS":6,"coresByKind":[4],"cpuBooking":1,
  "freeInList":true,"fullUpTo":[0.9],"fadesOver":[0.5],"kindMemory":[8],"saysYes":"accepted","startBonusS":[0.5]},
 "lanes":[{"name":"query","effect":"at_most_once","hardLimitS":8,"keyScope":"machine","objectiveS":2,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":1,"keyScope":"all","objectiveS":0.2,"worth":2,"lateValue":0.5}],
 "loadReport":{"fields":[],"how":"none"},
 "permissions":{"mostTries":6,"retryAfter":false,"connectTimeoutS":0.1},"tariffs":{"moves":0.001},
 "rules":{"answerSlackS":0,"askWithinS":2,"drainGraceS":10,"fallS":1,"warmWithinS":8}}`,
}

// scriptTenants contains the valid tenant names for each element of settingsVariants.
var scriptTenants = [][]string{{"south"}, {"south", "north"}, {""}}

// TestCharacterizationInitialEvents checks for which initial discovery events dispatch.New returns an error.
// If there is no error, the test checks the number of nodes and the last event number of the new core.
func TestCharacterizationInitialEvents(t *testing.T) {
	settings, err := simconfig.Parse([]byte(settingsVariants[0]))
	if err != nil {
		t.Fatal(err)
	}
	firstNode := `{"uid":"s-00000001","state":"in_service"}`
	secondNode := `{"uid":"s-00000002","state":"in_service"}`
	eventList := func(lastNumber int, events string) string {
		return fmt.Sprintf(`{"no":%d,"items":[%s]}`, lastNumber, events)
	}
	for _, test := range []struct {
		name, initialEvents string
		lastEvent           uint64
		nodeCount           int
		invalid             bool
	}{
		{name: "initial events are empty", initialEvents: ""},
		{name: "initial events are an empty JSON object", initialEvents: "{}"},
		{name: "event list has a last event number but no events", initialEvents: `{"no":5}`, lastEvent: 5},
		{name: "event number is higher than the last event number of the event list", initialEvents: eventList(2, dispatch.DiscoveryEventJSON(7, false, firstNode)), lastEvent: 7, nodeCount: 1},
		{name: "first of two events has no node list", initialEvents: eventList(9, `{"no":3},`+dispatch.DiscoveryEventJSON(7, true, firstNode, secondNode)), lastEvent: 9, nodeCount: 2},
		{name: "node has no UID", initialEvents: eventList(9, dispatch.DiscoveryEventJSON(7, true, `{"uid":"","state":"in_service"}`)), invalid: true},
		{name: "node has an unknown state", initialEvents: eventList(9, dispatch.DiscoveryEventJSON(7, true, `{"uid":"x","state":"gone"}`)), invalid: true},
		{name: "JSON text of the initial events is truncated", initialEvents: `{"no":`, invalid: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			policy, err := placer.New(settings.Placer, 1)
			if err != nil {
				t.Fatal(err)
			}

			core, err := dispatch.New(5, settings, policy, []byte(test.initialEvents))

			if (err != nil) != test.invalid {
				t.Fatalf("with initial events %s, New returned error %v, want an error only for invalid events", test.initialEvents, err)
			}
			if test.invalid {
				return
			}
			nodeCount := 0
			core.EachNode(func(*dispatch.Node) { nodeCount++ })
			if core.LastDiscoveryEvent() != test.lastEvent || nodeCount != test.nodeCount {
				t.Errorf("with initial events %s, the last event number is %d and the core has %d nodes, want event number %d and %d nodes", test.initialEvents, core.LastDiscoveryEvent(), nodeCount, test.lastEvent, test.nodeCount)
			}
		})
	}
}
