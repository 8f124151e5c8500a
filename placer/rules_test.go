package placer

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// runRandomScript runs a random script with nine nodes and returns a text line for each action.
func runRandomScript(t *testing.T, seed uint64, steps int) []string {
	t.Helper()
	return runRandomScriptOnNodes(t, seed, steps, testConfig(), 9, false)
}

// runRandomScriptOnNodes runs a random script with the given configuration and number of nodes. It returns a
// text line for each action.
func runRandomScriptOnNodes(t *testing.T, seed uint64, steps int, config Config, nodeCount int, withFaults bool) []string {
	t.Helper()
	config.Peers.Self, config.Discovery.MustPoll = int(seed%2), seed%3 == 0
	config.Costs.Node, config.Costs.Migration = 0.1*float64(seed%2), 0.05
	config.NodeBehavior.ReportsUsage, config.NodeBehavior.AcknowledgesOnStart = seed%2 == 0, seed%5 == 0
	script := &randomScript{t: t, config: config, correlatedFaults: withFaults, rng: rand.New(rand.NewPCG(seed, 1)), now: 50,
		nodes: map[NodeID]Node{}, tasks: map[TaskID]*taskState{}, slowStartAttempts: map[NodeID][]Seconds{}}
	for _, node := range testNodes(nodeCount) {
		script.nodes[node.ID] = node
		script.nodeIDs = append(script.nodeIDs, node.ID)
	}
	var err error
	if script.placer, err = New(config, seed); err != nil {
		t.Fatal(err)
	}
	script.handleEvent(Event{Kind: NodesListed, List: CachedList, Nodes: testNodes(nodeCount)})
	for i := range steps {
		script.step(i)
	}
	if requestCount := len(script.placer.requests.byID); requestCount > len(script.taskOrder)+1 {
		t.Fatalf("the Placer still keeps %d requests, but the script has only %d tasks", requestCount, len(script.taskOrder))
	}
	return script.actionLog
}

// requireEnoughAttempts fails the test if a script led to too few attempts to test the rules.
func requireEnoughAttempts(t *testing.T, seed uint64, log []string) {
	t.Helper()
	attempts := 0
	for _, line := range log {
		if strings.Contains(line, "{Kind:1 ") { // the kind StartAttempt has the value 1
			attempts++
		}
	}
	if attempts < 300 {
		t.Fatalf("seed %d: the script led to only %d attempts, want at least 300 to test the rules", seed, attempts)
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		requireEnoughAttempts(t, seed, runRandomScript(t, seed, 8000))
	}
}

// The rules must also hold if many schedulers each have a small share of the attempts on nodes in slow start,
// and if faults affect many nodes at once.
func TestRulesHoldOnManyNodes(t *testing.T) {
	for seed := range uint64(6) {
		config := testConfig()
		config.Peers.Total, config.SlowStart.MaxAttempts, config.Peers.StickyServices = 200, 60, seed%2 > 0
		requireEnoughAttempts(t, seed, runRandomScriptOnNodes(t, seed, 8000, config, 60, true))
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	first, second := runRandomScript(t, 5, 5000), runRandomScript(t, 5, 5000)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("the Placer returned different actions in two runs with the same seed")
	}
}
