package placer

import "testing"

func TestDrainingAndTerminatedNodesGetNoAttempts(t *testing.T) {
	nodes := testNodes(4)
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	nodes[0].State = Draining
	placer.Handle(100.1, Event{Kind: NodesListed, List: Changes, Nodes: nodes[:1]}, nil)
	placer.Handle(100.2, Event{Kind: NodesListed, List: FullList, Nodes: append([]Node{nodes[0]}, nodes[2:]...)}, nil)
	for i := range 40 {
		for _, sent := range actionsOfKind(arrive(placer, 100.3, newTestTask(i+1, 0)), StartAttempt) {
			if sent.Node <= 2 {
				t.Fatalf("an attempt was made on node %d, which is draining or terminated", sent.Node)
			}
		}
	}
}

func TestSpreadRuleCountsAttemptsAndRunningTasks(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(1))
	adoptTask(placer, 900, 1, 1)
	sent := startedAttempt(t, arrive(placer, 100.1, newTaskOfService(5, 1, 1)))
	requireNoAttempt(t, arrive(placer, 100.2, newTaskOfService(5, 2, 1)), "the only node already has a running task and an attempt of the service")
	placer.Handle(100.3, Event{Kind: Withdrawn, TaskID: sent.Task}, nil) // the attempt stays outstanding
	requireNoAttempt(t, arrive(placer, 100.4, newTaskOfService(5, 3, 1)), "the attempt for the withdrawn request has no outcome yet and counts as a task")
	endAttempt(placer, 100.5, sent, Cancelled, NoReason)
	startedAttempt(t, arrive(placer, 100.6, newTaskOfService(5, 4, 1)))
}

// A node evicts tasks when all its memory is in use, no matter how much memory the tasks have requested. The
// filter must therefore limit the memory in use.
func TestMemoryUsageLimitsCapacity(t *testing.T) {
	config := testConfig()
	config.Overcommit.Cores, config.Overcommit.Memory, config.NodeBehavior.ReportsUsage = 4, 4, true
	nodes := testNodes(1)
	nodes[0].FreeMemory = 2
	placer := newTestPlacer(t, config, 1, nodes)
	requireNoAttempt(t, arrive(placer, 100.1, newTestTask(1, 0)), "the memory of the node is almost all in use")
	placer.capacity.memoryUsageRatio.mean = 0.5 // tasks use half of the memory that they request
	startedAttempt(t, arrive(placer, 100.2, newTestTask(2, 0)))
}

// If load reports do not contain the capacity in use, the filter must not limit the memory in use. The nodes
// limit it themselves.
func TestMemoryUsageIsNotLimitedWithoutUsageReports(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].FreeMemory = 2
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	startedAttempt(t, arrive(placer, 100.1, newTestTask(1, 0)))
}

func TestOwnZoneIsPreferredIfCrossZoneHasCost(t *testing.T) {
	config := testConfig()
	for _, cost := range []float64{0, 0.1} {
		config.Costs.CrossZone = cost
		outsideZone := 0
		for seed := range 60 {
			placer := newTestPlacer(t, config, uint64(seed), testNodes(6))
			if sent := startedAttempt(t, arrive(placer, 100.1, newTestTask(1, 0))); placer.nodes.byID[sent.Node].Zone != 0 {
				outsideZone++
			}
		}
		if (cost > 0) != (outsideZone == 0) {
			t.Fatalf("cross-zone cost %v: %d of 60 attempts were made outside the zone of the scheduler", cost, outsideZone)
		}
	}
	nodes := testNodes(6)
	for i := 0; i < 6; i += 2 {
		nodes[i].FreeCores = 0
	}
	// The zone of the scheduler is full, so the task must be attempted in another zone.
	startedAttempt(t, arrive(newTestPlacer(t, config, 1, nodes), 100.1, newTestTask(1, 0)))
}

// A scheduler with few tasks may wait long for its first load report. Until then, it must estimate the ratio
// of used to requested capacity from its own tasks. Otherwise, it would overestimate the number of nodes
// needed by a factor of two, and keep nodes active that other schedulers put on standby.
func TestUsageRatiosAreEstimatedFromTasksUntilFirstReport(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for i := range 20 {
		id := TaskID(900 + i)
		placer.Handle(100, Event{Kind: Adopted, Node: 2, Task: Task{ID: id, Service: 5, Cores: 2, Memory: 4}}, nil)
		placer.Handle(100, Event{Kind: UsageReported, TaskID: id, Usage: CoresUsed, Value: 1}, nil)
		placer.Handle(100, Event{Kind: UsageReported, TaskID: id, Usage: MemoryUsed, Value: 1}, nil)
	}
	cores, memory := placer.capacity.coresUsageRatio.mean, placer.capacity.memoryUsageRatio.mean
	if cores > 0.55 || cores < 0.5 || memory > 0.3 || memory < 0.25 {
		t.Errorf("ratio of used to requested capacity is %.2f for cores and %.2f for memory, want about 0.5 and 0.25", cores, memory)
	}
}

// The rules permit no attempt after a request is done or its deadline has passed, none while another attempt
// is outstanding, and not more than Attempts.Max.
func TestAttemptAllowed(t *testing.T) {
	filter := &nodeFilter{cfg: &Config{Attempts: Attempts{Max: 3}}}
	const now, later = Seconds(100), Seconds(101)
	ended, pending, running := &attempt{state: attemptEnded}, &attempt{state: attemptPending}, &attempt{state: attemptRunning}
	for name, test := range map[string]struct {
		request placementRequest
		want    bool
	}{
		"first attempt of the request":        {placementRequest{Task: Task{Deadline: later}}, true},
		"all earlier attempts ended":          {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{ended, ended}}, true},
		"maximum number of attempts was made": {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{ended, ended, ended}}, false},
		"another attempt is pending":          {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{pending}}, false},
		"another attempt is running":          {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{running, ended}}, false},
		"request is done":                     {placementRequest{Task: Task{Deadline: later}, done: true}, false},
		"request at its deadline":             {placementRequest{Task: Task{Deadline: now}}, false},
		"request long after its deadline":     {placementRequest{Task: Task{Deadline: now - 50}}, false},
		"request just before its deadline":    {placementRequest{Task: Task{Deadline: now + 0.001}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := filter.attemptAllowed(now, &test.request); got != test.want {
				t.Errorf("another attempt is allowed: got %v, want %v", got, test.want)
			}
		})
	}
}
