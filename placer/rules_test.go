package placer

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// runRandomEvents sends random events to a Placer that places tasks on nine nodes. It returns a text line for
// each action of the Placer.
func runRandomEvents(t *testing.T, seed uint64, steps int) []string {
	t.Helper()
	return runRandomEventsOnNodes(t, seed, steps, testConfig(), 9, false)
}

// runRandomEventsOnNodes sends random events to a Placer with the given configuration and number of nodes. It
// returns a text line for each action of the Placer.
func runRandomEventsOnNodes(t *testing.T, seed uint64, steps int, config Config, nodeCount int, withFaults bool) []string {
	t.Helper()
	config.Peers.Self, config.Discovery.MustPoll = int(seed%2), seed%3 == 0
	config.Costs.Node, config.Costs.Migration = 0.1*float64(seed%2), 0.05
	config.NodeBehavior.ReportsUsage, config.NodeBehavior.AcknowledgesOnStart = seed%2 == 0, seed%5 == 0
	driver := &randomDriver{t: t, config: config, correlatedFaults: withFaults, rng: rand.New(rand.NewPCG(seed, 1)), now: 50,
		nodes: map[NodeID]Node{}, tasks: map[TaskID]*taskState{}, slowStartAttempts: map[NodeID][]Seconds{}}
	for _, node := range testNodes(nodeCount) {
		driver.nodes[node.ID] = node
		driver.nodeIDs = append(driver.nodeIDs, node.ID)
	}
	var err error
	if driver.placer, err = New(config, seed); err != nil {
		t.Fatal(err)
	}
	driver.handleEvent(Event{Kind: NodesListed, List: CachedList, Nodes: testNodes(nodeCount)})
	for i := range steps {
		driver.step(i)
	}
	if requestCount := len(driver.placer.requests.byID); requestCount > len(driver.taskOrder)+1 {
		t.Fatalf("the Placer still keeps %d requests, but the test driver has only %d tasks left, want at most one request more than tasks", requestCount, len(driver.taskOrder))
	}
	return driver.actionLog
}

// requireEnoughAttempts fails the test if the random events led to too few attempts to test the placement
// rules. The parameter log contains a text line for each action.
func requireEnoughAttempts(t *testing.T, seed uint64, log []string) {
	t.Helper()
	attempts := 0
	for _, line := range log {
		if strings.Contains(line, "{Kind:1 ") { // the kind StartAttempt has the value 1
			attempts++
		}
	}
	if attempts < 300 {
		t.Fatalf("seed %d: the random events led to only %d attempts, want at least 300 to test the placement rules", seed, attempts)
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		requireEnoughAttempts(t, seed, runRandomEvents(t, seed, 8000))
	}
}

// The placement rules must also hold if many schedulers each have a small share of the attempts on nodes in
// slow start, and if faults affect many nodes at once.
func TestRulesHoldOnManyNodes(t *testing.T) {
	for seed := range uint64(6) {
		config := testConfig()
		config.Peers.Total, config.SlowStart.MaxAttempts, config.Peers.StickyServices = 200, 60, seed%2 > 0
		requireEnoughAttempts(t, seed, runRandomEventsOnNodes(t, seed, 8000, config, 60, true))
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	firstActions, secondActions := runRandomEvents(t, 5, 5000), runRandomEvents(t, 5, 5000)
	if !reflect.DeepEqual(firstActions, secondActions) {
		t.Fatal("two Placers returned different actions for the same seed and events, want equal actions")
	}
}
