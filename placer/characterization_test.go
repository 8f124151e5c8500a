package placer_test

// Characterization tests: they pin what a Placer does, to the last bit, so that a refactoring can be shown to
// change nothing. Each script drives one Placer through a seeded discrete-event simulation of nodes and
// writes a running SHA-256 of all actions at fixed checkpoints. The first checkpoint that differs locates a
// change to within checkpointEvents events.
//
// The golden file holds numbers and digests only, never a Go identifier. A missing golden file fails the test.
// To accept an intended change of behaviour, regenerate it and commit it with the change:
//
//	HEATHSHED_UPDATE_GOLDEN=1 go test ./placer -run Characterization
//
// The digests cover floating-point bits. They were recorded on amd64; a compiler that fuses multiply and add
// on another architecture may round differently.

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathshed/placer"
)

// checkpointEvents is the number of events between two digests of a script.
const checkpointEvents = 500

// compareGolden compares text with a file in testdata line by line, or rewrites the file if asked to.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("HEATHSHED_UPDATE_GOLDEN") == "1" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s differs first at line %d of %d (now %d lines):\n got %q\nwant %q", name, i+1,
				len(wantLines), len(gotLines), lineAt(gotLines, i), lineAt(wantLines, i))
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// script is a scheduler configuration with nodes and a load.
type script struct {
	name   string
	seed   uint64
	events int
	config placer.Config

	nodes          int            // at the start
	zones, racks   int            // over which they are spread
	services       int            // that tasks belong to
	arrivalsPerSec float64        // mean rate of new tasks
	lifetime       placer.Seconds // mean time for which a bound task runs
	task           float64        // cores of a typical task
	taskMemory     float64        // memory of a typical task
	churnEvery     placer.Seconds // mean time between changes of the nodes, 0 for none
	listEvery      placer.Seconds // time between pushed lists
	listFails      float64        // part of the list answers that are failures
	failing        float64        // part of the attempts that end before they are bound
	brokenNodes    int            // nodes that never start a task
	lateOutcomes   float64        // part of the attempts whose outcome comes after the deadline
	lowLoadAfter   int            // events after which few tasks arrive, 0 for never
	withdrawn      float64        // part of the tasks that their clients withdraw early
	returnsAfter   placer.Seconds // time after which a removed node is listed again, 0 for never
	minUsageRatio  float64        // part of the requested capacity that is used at least
	firstSince     placer.Seconds // time of the nodes' last start, 0 for long ago
}

func classes(apart ...placer.TopologyDomain) []placer.Class {
	all := []placer.Class{
		{Idempotency: placer.Idempotent, DedupDomain: placer.ClusterDomain, LatencyObjective: 1, Deadline: 6, Weight: 1, StartBonus: 5,
			NodeType: -1, SaturationThreshold: 1, DegradationRange: 1},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.RackDomain, DedupWindow: 3, LatencyObjective: 0.5, Deadline: 5,
			Weight: 2, LateWeight: 0.5, NodeType: -1, SaturationThreshold: 0.8, DegradationRange: 0.4},
		{Idempotency: placer.NonIdempotent, LatencyObjective: 1.5, Deadline: 8, Weight: 4, Priority: 2, NodeType: 1,
			SaturationThreshold: 0.9, DegradationRange: 0.2},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.ClusterDomain, DedupWindow: 2, LatencyObjective: 2, Deadline: 4,
			Weight: 1, NodeType: 0, SaturationThreshold: 0.7, DegradationRange: 0.5},
		{Idempotency: placer.Idempotent, DedupDomain: placer.ZoneDomain, LatencyObjective: 0.8, Deadline: 3, Weight: 1, NodeType: -1,
			SaturationThreshold: 0.95},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.NodeDomain, DedupWindow: 6, LatencyObjective: 0.7, Deadline: 7,
			Weight: 1, NodeType: -1, SaturationThreshold: 1, DegradationRange: 0.1},
		{Idempotency: placer.IdempotentByKey, DedupDomain: placer.ZoneDomain, DedupWindow: 1, LatencyObjective: 1, Deadline: 6,
			Weight: 1, NodeType: -1, SaturationThreshold: 1},
	}
	for i := range all {
		all[i].SpreadDomain, all[i].MaxPerDomain = apart[i%len(apart)], 2+i%3
		if all[i].SpreadDomain == placer.ClusterDomain {
			all[i].MaxPerDomain = 12
		}
	}
	return all
}

func baseConfig() placer.Config {
	return placer.Config{
		Peers:           placer.Peers{Total: 1},
		Classes:         classes(placer.NoDomain, placer.NodeDomain, placer.RackDomain, placer.ZoneDomain, placer.ClusterDomain),
		NodeTypes:       []placer.NodeType{{Cores: 8, Memory: 16}, {Cores: 16, Memory: 32}, {Cores: 4, Memory: 64}},
		Tenants:         []placer.Tenant{{Share: 0.6, Cores: 100}, {Share: 0.4, Cores: 60}},
		OverQuotaWeight: 0.2,
		Overcommit:      placer.Overcommit{Cores: 1.5, Memory: 1.2},
		SlowStart:       placer.SlowStart{MinPace: 0.3, Duration: 6, OverloadMultiple: 2, OverloadWindow: 1, MaxAttempts: 4},
		Attempts:        placer.Attempts{Max: 4, ConnectTimeout: 0.2, AnswerGrace: 0.1, DrainGrace: 2},
		Retry:           placer.Retry{MaxRetryAfter: 5, UnknownOutcomeWait: 2},
		Discovery:       placer.Discovery{MaxPollInterval: 9},
	}
}

func scripts() []script {
	stay := baseConfig()
	stay.Peers.StickyServices, stay.NodeBehavior.AcknowledgesOnStart, stay.NodeBehavior.Preempts = true, true, true

	fleet := baseConfig()
	fleet.Peers.Self, fleet.Peers.Total, fleet.NodeBehavior.ListShowsCapacity, fleet.NodeBehavior.ReportsUsage = 1, 3, true, true
	fleet.Costs.Node, fleet.Costs.Migration, fleet.Retry.SendsRetryAfter = 0.3, 0.02, true
	fleet.Classes = classes(placer.NoDomain, placer.RackDomain)

	zones := baseConfig()
	zones.Peers.Self, zones.Peers.Total, zones.Zone, zones.Costs.CrossZone, zones.Discovery.MustPoll = 2, 8, 1, 0.2, true
	zones.NodeBehavior.ListShowsCapacity, zones.SlowStart.MaxAttempts, zones.Attempts.AllowsHedging = true, 20, true
	zones.Classes = classes(placer.ZoneDomain, placer.NoDomain, placer.NodeDomain, placer.RackDomain)

	tight := baseConfig()
	tight.Peers.Self, tight.Peers.Total, tight.NodeBehavior.ReportsUsage, tight.Attempts.Max = 0, 2, true, 6
	tight.Discovery.MustPoll, tight.Discovery.MaxPollInterval, tight.Overcommit.Cores, tight.Overcommit.Memory = true, 3, 1, 1

	crowd := baseConfig()
	crowd.Peers.Total, crowd.NodeBehavior.ListShowsCapacity, crowd.Overcommit.Cores, crowd.Overcommit.Memory = 2, true, 20, 20
	crowd.Classes = classes(placer.NoDomain)
	for i := range crowd.Classes {
		crowd.Classes[i].Deadline += 8
		crowd.Classes[i].NodeType = -1
	}

	memory := baseConfig()
	memory.NodeBehavior.ListShowsCapacity, memory.NodeBehavior.ReportsUsage, memory.Overcommit.Cores, memory.Overcommit.Memory = true, true, 2, 2

	dear := fleet // migrations cost more than the nodes that they free
	dear.Costs.Node, dear.Costs.Migration, dear.SlowStart.MaxAttempts = 0.1, 0.2, 30

	deaf := zones // lists hardly ever arrive
	deaf.Discovery.MaxPollInterval, deaf.Peers.Total = 400, 3

	return []script{
		{name: "stay", seed: 1, events: 12000, config: stay, nodes: 24, zones: 2, racks: 6, services: 9, arrivalsPerSec: 14,
			lifetime: 5, task: 0.9, taskMemory: 1.5, churnEvery: 1.5, listEvery: 0.7, listFails: 0.1, failing: 0.15, brokenNodes: 2,
			lateOutcomes: 0.03},
		{name: "fleet", seed: 2, events: 12000, config: fleet, nodes: 30, zones: 1, racks: 5, services: 30, arrivalsPerSec: 10,
			lifetime: 8, task: 0.7, taskMemory: 1.2, churnEvery: 6, listEvery: 0.5, failing: 0.05, brokenNodes: 1, lateOutcomes: 0.01,
			lowLoadAfter: 6000},
		{name: "zones", seed: 3, events: 12000, config: zones, nodes: 40, zones: 3, racks: 8, services: 40, arrivalsPerSec: 12,
			lifetime: 6, task: 1, taskMemory: 2, churnEvery: 0.3, listEvery: 0.6, listFails: 0.25, failing: 0.2, brokenNodes: 3,
			lateOutcomes: 0.02},
		{name: "tight", seed: 4, events: 12000, config: tight, nodes: 6, zones: 2, racks: 2, services: 5, arrivalsPerSec: 9,
			lifetime: 9, task: 2, taskMemory: 5, churnEvery: 5, listEvery: 1, listFails: 0.3, failing: 0.35, brokenNodes: 1, lateOutcomes: 0.05},
		{name: "slow", seed: 5, events: 6000, config: stay, nodes: 12, zones: 2, racks: 3, services: 4, arrivalsPerSec: 0.4,
			lifetime: 20, task: 1, taskMemory: 2, churnEvery: 8, listEvery: 3, listFails: 0.05, failing: 0.1, lateOutcomes: 0.01},
		{name: "crowd", seed: 6, events: 8000, config: crowd, nodes: 4, zones: 1, racks: 2, services: 200, arrivalsPerSec: 3,
			lifetime: 1, task: 0.05, taskMemory: 0.05, churnEvery: 4, listEvery: 0.5, failing: 0.02, lateOutcomes: 0.5, withdrawn: 0.6},
		{name: "memory", seed: 7, events: 6000, config: memory, nodes: 10, zones: 2, racks: 4, services: 40, arrivalsPerSec: 8,
			lifetime: 8, task: 0.3, taskMemory: 4, listEvery: 0.3, failing: 0.02, minUsageRatio: 0.35},
		{name: "return", seed: 8, events: 8000, config: fleet, nodes: 20, zones: 2, racks: 4, services: 15, arrivalsPerSec: 3,
			lifetime: 2, task: 1, taskMemory: 1, churnEvery: 5, listEvery: 0.5, failing: 0.05, returnsAfter: 59.5},
		{name: "dear", seed: 9, events: 4000, config: dear, nodes: 20, zones: 1, racks: 4, services: 15, arrivalsPerSec: 6,
			lifetime: 6, task: 1, taskMemory: 1, listEvery: 0.5, failing: 0.05, lowLoadAfter: 2000, firstSince: 998},
		{name: "deaf", seed: 10, events: 4000, config: deaf, nodes: 20, zones: 2, racks: 4, services: 15, arrivalsPerSec: 2,
			lifetime: 6, task: 1, taskMemory: 1, churnEvery: 5, listEvery: 4, listFails: 0.85, failing: 0.05},
	}
}

func TestCharacterizationOfScripts(t *testing.T) {
	var text strings.Builder
	for _, script := range scripts() {
		runScript(t, script, &text)
	}
	compareGolden(t, "characterization.golden", text.String())
}

// TestCharacterizationRunsAreEqual shows that two Placers in one process do the same for the same script.
func TestCharacterizationRunsAreEqual(t *testing.T) {
	var first, second strings.Builder
	fleet := scripts()[1]
	fleet.events = 2000
	runScript(t, fleet, &first)
	runScript(t, fleet, &second)
	if first.String() != second.String() {
		t.Fatalf("two runs of one script differ:\n%s\n%s", first.String(), second.String())
	}
}

// TestCharacterizationOfConfigChecks pins which configurations New accepts; one digit each, 1 for accepted.
func TestCharacterizationOfConfigChecks(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	changes := []func(*placer.Config){
		func(*placer.Config) {},
		func(c *placer.Config) { c.Classes = nil },
		func(c *placer.Config) { c.NodeTypes = nil },
		func(c *placer.Config) { c.Peers.Total = 0 },
		func(c *placer.Config) { c.Peers.Self = -1 },
		func(c *placer.Config) { c.Peers.Self = 1 },
		func(c *placer.Config) { c.Attempts.Max = 0 },
		func(c *placer.Config) { c.SlowStart.Duration = -1 },
		func(c *placer.Config) { c.SlowStart.OverloadWindow = placer.Seconds(nan) },
		func(c *placer.Config) { c.SlowStart.MaxAttempts = -0.5 },
		func(c *placer.Config) { c.Attempts.AnswerGrace = -1 },
		func(c *placer.Config) { c.Attempts.DrainGrace = -1 },
		func(c *placer.Config) { c.Discovery.MaxPollInterval = placer.Seconds(nan) },
		func(c *placer.Config) { c.Costs.Node = -1 },
		func(c *placer.Config) { c.Costs.CrossZone = -1 },
		func(c *placer.Config) { c.Costs.Migration = -1 },
		func(c *placer.Config) { c.Costs.Migration = inf },
		func(c *placer.Config) { c.Classes[1].LatencyObjective = 0 },
		func(c *placer.Config) { c.Classes[1].Deadline = placer.Seconds(nan) },
		func(c *placer.Config) { c.NodeTypes[0].Cores = 0 },
		func(c *placer.Config) { c.NodeTypes[1].Memory = -1 },
		func(c *placer.Config) { c.Tenants = nil },
		func(c *placer.Config) { c.Overcommit.Cores = -1 },
	}
	const want = "10000000000000001000011"
	var got strings.Builder
	for _, change := range changes {
		config := baseConfig()
		change(&config)
		if _, err := placer.New(config, 1); err != nil {
			got.WriteByte('0')
		} else {
			got.WriteByte('1')
		}
	}
	if got.String() != want {
		t.Fatalf("accepted configurations\n got %s\nwant %s", got.String(), want)
	}
}
