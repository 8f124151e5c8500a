package placer

import "testing"

func TestDrainingAndTerminatedNodesGetNoAttempts(t *testing.T) {
	nodes := testNodes(4)
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	nodes[0].State = Draining
	placer.Handle(100.1, Event{Kind: NodesListed, List: Changes, Nodes: nodes[:1]}, nil)
	placer.Handle(100.2, Event{Kind: NodesListed, List: FullList, Nodes: append([]Node{nodes[0]}, nodes[2:]...)}, nil)
	for i := range 40 {
		for _, sent := range actionsOfKind(arrive(placer, 100.3, newTask(i+1, 0)), StartAttempt) {
			if sent.Node <= 2 {
				t.Fatalf("attempt on node %d, which is draining or terminated", sent.Node)
			}
		}
	}
}

func TestSpreadCountsAttemptsAndRunningTasks(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(1))
	adoptTask(placer, 900, 1, 1)
	sent := startedAttempt(t, arrive(placer, 100.1, newTaskOf(5, 1, 1)))
	requireNoAttempt(t, arrive(placer, 100.2, newTaskOf(5, 2, 1)), "two tasks of the service are on the only node")
	placer.Handle(100.3, Event{Kind: Withdrawn, TaskID: sent.Task}, nil) // the attempt is still outstanding and counts
	requireNoAttempt(t, arrive(placer, 100.4, newTaskOf(5, 3, 1)), "an attempt without an outcome counts")
	endAttempt(placer, 100.5, sent, Cancelled, NoReason)
	startedAttempt(t, arrive(placer, 100.6, newTaskOf(5, 4, 1)))
}

// A node evicts tasks when its memory in use, not the memory requested, is full.
func TestMemoryUsageLimitsCapacity(t *testing.T) {
	config := testConfig()
	config.Overcommit.Cores, config.Overcommit.Memory, config.NodeBehavior.ReportsUsage = 4, 4, true
	nodes := testNodes(1)
	nodes[0].FreeMemory = 2
	placer := newTestPlacer(t, config, 1, nodes)
	requireNoAttempt(t, arrive(placer, 100.1, newTask(1, 0)), "the node's memory is nearly all in use")
	placer.capacity.memoryUsageRatio.mean = 0.5 // tasks use half of what they request
	startedAttempt(t, arrive(placer, 100.2, newTask(2, 0)))
}

// Where reports do not count usage, the nodes themselves limit memory.
func TestMemoryLimitNeedsReportsOfUse(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].FreeMemory = 2
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	startedAttempt(t, arrive(placer, 100.1, newTask(1, 0)))
}

func TestOwnZoneFirstWhereCrossingHasAPrice(t *testing.T) {
	config := testConfig()
	for _, price := range []float64{0, 0.1} {
		config.Costs.CrossZone = price
		other := 0
		for seed := range 60 {
			placer := newTestPlacer(t, config, uint64(seed), testNodes(6))
			if sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 0))); placer.nodes.byID[sent.Node].Zone != 0 {
				other++
			}
		}
		if (price > 0) != (other == 0) {
			t.Fatalf("cost %v: %d of 60 attempts left the zone", price, other)
		}
	}
	nodes := testNodes(6)
	for i := 0; i < 6; i += 2 {
		nodes[i].FreeCores = 0
	}
	startedAttempt(t, arrive(newTestPlacer(t, config, 1, nodes), 100.1, newTask(1, 0))) // the own zone is full
}

// A scheduler with few tasks waits long for a report. Until then the usage of its own tasks is an estimate; otherwise it
// would take twice the nodes for needed and keep open those that others put on standby.
func TestTaskUsageIsUsedUntilFirstReport(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for i := range 20 {
		id := TaskID(900 + i)
		placer.Handle(100, Event{Kind: Adopted, Node: 2, Task: Task{ID: id, Service: 5, Cores: 2, Memory: 4}}, nil)
		placer.Handle(100, Event{Kind: UsageReported, TaskID: id, Usage: CoresUsed, Value: 1}, nil)
		placer.Handle(100, Event{Kind: UsageReported, TaskID: id, Usage: MemoryUsed, Value: 1}, nil)
	}
	cores, memory := placer.capacity.coresUsageRatio.mean, placer.capacity.memoryUsageRatio.mean
	if cores > 0.55 || cores < 0.5 || memory > 0.3 || memory < 0.25 {
		t.Errorf("usage is taken as %.2f of the cores and %.2f of the memory requested, want 0.5 and 0.25", cores, memory)
	}
}

// The rules permit no attempt after the end of a request, none beside another one, and no more than configured.
func TestAttemptAllowed(t *testing.T) {
	filter := &nodeFilter{cfg: &Config{Attempts: Attempts{Max: 3}}}
	const now, later = Seconds(100), Seconds(101)
	ended, pending, running := &attempt{state: attemptEnded}, &attempt{state: attemptPending}, &attempt{state: attemptRunning}
	for name, test := range map[string]struct {
		request placementRequest
		want    bool
	}{
		"first attempt":            {placementRequest{Task: Task{Deadline: later}}, true},
		"after ended ones":         {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{ended, ended}}, true},
		"as many as permitted":     {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{ended, ended, ended}}, false},
		"beside an unanswered one": {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{pending}}, false},
		"beside a running one":     {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{running, ended}}, false},
		"answered":                 {placementRequest{Task: Task{Deadline: later}, done: true}, false},
		"at its deadline":          {placementRequest{Task: Task{Deadline: now}}, false},
		"long after its deadline":  {placementRequest{Task: Task{Deadline: now - 50}}, false},
		"just before its deadline": {placementRequest{Task: Task{Deadline: now + 0.001}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := filter.attemptAllowed(now, &test.request); got != test.want {
				t.Errorf("allowed: %v, want %v", got, test.want)
			}
		})
	}
}
