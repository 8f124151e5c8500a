package placer

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// playScript plays a script on nine nodes, and returns its actions.
func playScript(t *testing.T, seed uint64, steps int) []string {
	t.Helper()
	return playScriptOnNodes(t, seed, steps, testConfig(), 9, false)
}

// playScriptOnNodes plays a script, and returns its actions.
func playScriptOnNodes(t *testing.T, seed uint64, steps int, config Config, nodeCount int, withFaults bool) []string {
	t.Helper()
	config.Peers.Self, config.Discovery.MustPoll = int(seed%2), seed%3 == 0
	config.Costs.Node, config.Costs.Migration = 0.1*float64(seed%2), 0.05
	config.NodeBehavior.ReportsUsage, config.NodeBehavior.AcknowledgesOnStart = seed%2 == 0, seed%5 == 0
	script := &randomScript{t: t, config: config, correlatedFaults: withFaults, rng: rand.New(rand.NewPCG(seed, 1)), now: 50,
		nodes: map[NodeID]Node{}, tasks: map[TaskID]*taskState{}, warmupAttempts: map[NodeID][]Seconds{}}
	for _, node := range testNodes(nodeCount) {
		script.nodes[node.ID] = node
		script.ids = append(script.ids, node.ID)
	}
	var err error
	if script.placer, err = New(config, seed); err != nil {
		t.Fatal(err)
	}
	script.handle(Event{Kind: NodesListed, List: CachedList, Nodes: testNodes(nodeCount)})
	for i := range steps {
		script.step(i)
	}
	if held := len(script.placer.requests.byID); held > len(script.order)+1 {
		t.Fatalf("%d requests are held, %d are live", held, len(script.order))
	}
	return script.log
}

// checkScript fails if the log of a script shows too few attempts to test anything.
func checkScript(t *testing.T, seed uint64, log []string) {
	t.Helper()
	attempts := 0
	for _, line := range log {
		if strings.Contains(line, "{Kind:1 ") {
			attempts++
		}
	}
	if attempts < 300 {
		t.Fatalf("seed %d: only %d attempts, the script tests nothing", seed, attempts)
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		checkScript(t, seed, playScript(t, seed, 8000))
	}
}

// The same with many peers, each of which sees few tasks, small shares of warmup attempts, and correlated faults.
func TestRulesHoldOnManyNodes(t *testing.T) {
	for seed := range uint64(6) {
		config := testConfig()
		config.Peers.Total, config.SlowStart.MaxAttempts, config.Peers.StickyServices = 200, 60, seed%2 > 0
		checkScript(t, seed, playScriptOnNodes(t, seed, 8000, config, 60, true))
	}
}

func TestSameEventsSameActions(t *testing.T) {
	first, second := playScript(t, 5, 5000), playScript(t, 5, 5000)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs of the same events differ")
	}
}
