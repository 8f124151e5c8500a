package placer_test

// The characterization tests in this file compare the actions of a Placer with recorded actions, to the last
// bit. They show whether a refactoring changes the behavior. Each scenario describes a seeded discrete-event
// simulation of nodes that drives one Placer. Every checkpointEvents events, the simulation records a running
// SHA-256 digest of all actions so far. If the behavior changes, the first checkpoint that differs from the
// golden file shows the interval of events in which the change occurred.
//
// The golden file contains the names of the scenarios, numbers and digests, and no Go identifiers. The test
// fails if the golden file is missing. To accept an intended change of behavior, regenerate the golden file
// and commit it with the change:
//
//	HEATHSHED_UPDATE_GOLDEN=1 go test ./placer -run Characterization
//
// The digests depend on the exact bits of floating-point numbers. The golden file was recorded on amd64. On
// other architectures, a compiler that fuses multiplication and addition may round differently.

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathshed/placer"
)

// checkpointEvents is the number of events between two recorded digests of a simulation.
const checkpointEvents = 500

// compareGolden compares a text with a golden file in testdata line by line. It rewrites the file instead if
// the environment variable HEATHSHED_UPDATE_GOLDEN is 1.
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
		t.Fatalf("cannot read the golden file: %v", err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("the actions differ from the golden file %s: the first difference is at line %d (the golden file has %d lines, and the new text has %d lines):\n got %q\nwant %q", name, i+1,
				len(wantLines), len(gotLines), lineOrPlaceholder(gotLines, i), lineOrPlaceholder(wantLines, i))
		}
	}
}

func lineOrPlaceholder(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(line missing)"
}

// scenario holds the parameters of a simulation: the configuration of the scheduler, the nodes and the load.
type scenario struct {
	name       string
	seed       uint64
	eventCount int
	config     placer.Config

	nodeCount              int            // number of nodes at the start
	zoneCount, rackCount   int            // number of zones and racks over which the nodes are spread
	serviceCount           int            // number of services to which the tasks belong
	arrivalsPerSecond      float64        // mean number of tasks that arrive per second
	lifetime               placer.Seconds // mean time for which a bound task runs
	taskCores              float64        // mean number of cores that a task requests
	taskMemory             float64        // mean amount of memory that a task requests
	churnInterval          placer.Seconds // mean time between two changes of nodes, such as restarts; 0 means no changes
	listInterval           placer.Seconds // time between two node lists that the Placer receives without a request
	listFailureProbability float64        // probability that a request for the node list fails
	failureProbability     float64        // probability that an attempt fails before the node accepts it
	brokenNodes            int            // number of nodes that never start a task
	lateOutcomeProbability float64        // probability that the outcome of an attempt arrives after the deadline
	lowLoadAfterEvents     int            // number of events after which fewer tasks arrive; 0 means never
	withdrawalProbability  float64        // amount by which the probability of an early withdrawal of a request exceeds 0.05
	relistDelay            placer.Seconds // time until a removed node is in the node lists again; 0 means that it stays removed
	extraMinUsageRatio     float64        // amount by which the lowest ratio of used to requested capacity exceeds 0.5
	nodesStartedAt         placer.Seconds // start time of the initial nodes; 0 means long ago
}

func classesWithSpread(domains ...placer.TopologyDomain) []placer.Class {
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
		all[i].SpreadDomain, all[i].MaxPerDomain = domains[i%len(domains)], 2+i%3
		if all[i].SpreadDomain == placer.ClusterDomain {
			all[i].MaxPerDomain = 12
		}
	}
	return all
}

func baseConfig() placer.Config {
	return placer.Config{
		Peers:           placer.Peers{Total: 1},
		Classes:         classesWithSpread(placer.NoDomain, placer.NodeDomain, placer.RackDomain, placer.ZoneDomain, placer.ClusterDomain),
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

func scenarios() []scenario {
	stickyServicesConfig := baseConfig()
	stickyServicesConfig.Peers.StickyServices, stickyServicesConfig.NodeBehavior.AcknowledgesOnStart, stickyServicesConfig.NodeBehavior.Preempts = true, true, true

	consolidatingConfig := baseConfig()
	consolidatingConfig.Peers.Self, consolidatingConfig.Peers.Total, consolidatingConfig.NodeBehavior.ListShowsCapacity, consolidatingConfig.NodeBehavior.ReportsUsage = 1, 3, true, true
	consolidatingConfig.Costs.Node, consolidatingConfig.Costs.Migration, consolidatingConfig.Retry.SendsRetryAfter = 0.3, 0.02, true
	consolidatingConfig.Classes = classesWithSpread(placer.NoDomain, placer.RackDomain)

	multipleZonesConfig := baseConfig()
	multipleZonesConfig.Peers.Self, multipleZonesConfig.Peers.Total, multipleZonesConfig.Zone, multipleZonesConfig.Costs.CrossZone, multipleZonesConfig.Discovery.MustPoll = 2, 8, 1, 0.2, true
	multipleZonesConfig.NodeBehavior.ListShowsCapacity, multipleZonesConfig.SlowStart.MaxAttempts, multipleZonesConfig.Attempts.AllowsHedging = true, 20, true
	multipleZonesConfig.Classes = classesWithSpread(placer.ZoneDomain, placer.NoDomain, placer.NodeDomain, placer.RackDomain)

	scarceCapacityConfig := baseConfig()
	scarceCapacityConfig.Peers.Self, scarceCapacityConfig.Peers.Total, scarceCapacityConfig.NodeBehavior.ReportsUsage, scarceCapacityConfig.Attempts.Max = 0, 2, true, 6
	scarceCapacityConfig.Discovery.MustPoll, scarceCapacityConfig.Discovery.MaxPollInterval, scarceCapacityConfig.Overcommit.Cores, scarceCapacityConfig.Overcommit.Memory = true, 3, 1, 1

	manyTasksConfig := baseConfig()
	manyTasksConfig.Peers.Total, manyTasksConfig.NodeBehavior.ListShowsCapacity, manyTasksConfig.Overcommit.Cores, manyTasksConfig.Overcommit.Memory = 2, true, 20, 20
	manyTasksConfig.Classes = classesWithSpread(placer.NoDomain)
	for i := range manyTasksConfig.Classes {
		manyTasksConfig.Classes[i].Deadline += 8
		manyTasksConfig.Classes[i].NodeType = -1
	}

	scarceMemoryConfig := baseConfig()
	scarceMemoryConfig.NodeBehavior.ListShowsCapacity, scarceMemoryConfig.NodeBehavior.ReportsUsage, scarceMemoryConfig.Overcommit.Cores, scarceMemoryConfig.Overcommit.Memory = true, true, 2, 2

	// In this configuration, a migration costs more than a node in use.
	expensiveMigrationConfig := consolidatingConfig
	expensiveMigrationConfig.Costs.Node, expensiveMigrationConfig.Costs.Migration, expensiveMigrationConfig.SlowStart.MaxAttempts = 0.1, 0.2, 30

	// In this configuration, the Placer rarely receives a node list.
	rareListsConfig := multipleZonesConfig
	rareListsConfig.Discovery.MaxPollInterval, rareListsConfig.Peers.Total = 400, 3

	return []scenario{
		{name: "stay", seed: 1, eventCount: 12000, config: stickyServicesConfig, nodeCount: 24, zoneCount: 2, rackCount: 6, serviceCount: 9, arrivalsPerSecond: 14,
			lifetime: 5, taskCores: 0.9, taskMemory: 1.5, churnInterval: 1.5, listInterval: 0.7, listFailureProbability: 0.1, failureProbability: 0.15, brokenNodes: 2,
			lateOutcomeProbability: 0.03},
		{name: "fleet", seed: 2, eventCount: 12000, config: consolidatingConfig, nodeCount: 30, zoneCount: 1, rackCount: 5, serviceCount: 30, arrivalsPerSecond: 10,
			lifetime: 8, taskCores: 0.7, taskMemory: 1.2, churnInterval: 6, listInterval: 0.5, failureProbability: 0.05, brokenNodes: 1, lateOutcomeProbability: 0.01,
			lowLoadAfterEvents: 6000},
		{name: "zones", seed: 3, eventCount: 12000, config: multipleZonesConfig, nodeCount: 40, zoneCount: 3, rackCount: 8, serviceCount: 40, arrivalsPerSecond: 12,
			lifetime: 6, taskCores: 1, taskMemory: 2, churnInterval: 0.3, listInterval: 0.6, listFailureProbability: 0.25, failureProbability: 0.2, brokenNodes: 3,
			lateOutcomeProbability: 0.02},
		{name: "tight", seed: 4, eventCount: 12000, config: scarceCapacityConfig, nodeCount: 6, zoneCount: 2, rackCount: 2, serviceCount: 5, arrivalsPerSecond: 9,
			lifetime: 9, taskCores: 2, taskMemory: 5, churnInterval: 5, listInterval: 1, listFailureProbability: 0.3, failureProbability: 0.35, brokenNodes: 1, lateOutcomeProbability: 0.05},
		{name: "slow", seed: 5, eventCount: 6000, config: stickyServicesConfig, nodeCount: 12, zoneCount: 2, rackCount: 3, serviceCount: 4, arrivalsPerSecond: 0.4,
			lifetime: 20, taskCores: 1, taskMemory: 2, churnInterval: 8, listInterval: 3, listFailureProbability: 0.05, failureProbability: 0.1, lateOutcomeProbability: 0.01},
		{name: "crowd", seed: 6, eventCount: 8000, config: manyTasksConfig, nodeCount: 4, zoneCount: 1, rackCount: 2, serviceCount: 200, arrivalsPerSecond: 3,
			lifetime: 1, taskCores: 0.05, taskMemory: 0.05, churnInterval: 4, listInterval: 0.5, failureProbability: 0.02, lateOutcomeProbability: 0.5, withdrawalProbability: 0.6},
		{name: "memory", seed: 7, eventCount: 6000, config: scarceMemoryConfig, nodeCount: 10, zoneCount: 2, rackCount: 4, serviceCount: 40, arrivalsPerSecond: 8,
			lifetime: 8, taskCores: 0.3, taskMemory: 4, listInterval: 0.3, failureProbability: 0.02, extraMinUsageRatio: 0.35},
		{name: "return", seed: 8, eventCount: 8000, config: consolidatingConfig, nodeCount: 20, zoneCount: 2, rackCount: 4, serviceCount: 15, arrivalsPerSecond: 3,
			lifetime: 2, taskCores: 1, taskMemory: 1, churnInterval: 5, listInterval: 0.5, failureProbability: 0.05, relistDelay: 59.5},
		{name: "dear", seed: 9, eventCount: 4000, config: expensiveMigrationConfig, nodeCount: 20, zoneCount: 1, rackCount: 4, serviceCount: 15, arrivalsPerSecond: 6,
			lifetime: 6, taskCores: 1, taskMemory: 1, listInterval: 0.5, failureProbability: 0.05, lowLoadAfterEvents: 2000, nodesStartedAt: 998},
		{name: "deaf", seed: 10, eventCount: 4000, config: rareListsConfig, nodeCount: 20, zoneCount: 2, rackCount: 4, serviceCount: 15, arrivalsPerSecond: 2,
			lifetime: 6, taskCores: 1, taskMemory: 1, churnInterval: 5, listInterval: 4, listFailureProbability: 0.85, failureProbability: 0.05},
	}
}

func TestCharacterizationOfScenarios(t *testing.T) {
	var text strings.Builder
	for _, testScenario := range scenarios() {
		runScenario(t, testScenario, &text)
	}
	compareGolden(t, "characterization.golden", text.String())
}

// TestCharacterizationRunsAreEqual verifies that two Placers in one process return the same actions in the
// same scenario.
func TestCharacterizationRunsAreEqual(t *testing.T) {
	var firstRun, secondRun strings.Builder
	consolidationScenario := scenarios()[1]
	consolidationScenario.eventCount = 2000
	runScenario(t, consolidationScenario, &firstRun)
	runScenario(t, consolidationScenario, &secondRun)
	if firstRun.String() != secondRun.String() {
		t.Fatalf("two simulations of the same scenario gave different actions:\nfirst run:\n%s\nsecond run:\n%s", firstRun.String(), secondRun.String())
	}
}

// TestCharacterizationOfConfigValidation verifies which configurations New accepts. The expected text has one
// digit for each configuration: 1 if New must accept it, and 0 if New must return an error.
func TestCharacterizationOfConfigValidation(t *testing.T) {
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
		t.Fatalf("New did not accept exactly the expected configurations (each digit stands for one configuration and is 1 if New accepts it):\n got %s\nwant %s", got.String(), want)
	}
}
