package placer

import "testing"

func TestDrainingAndTerminatedNodesGetNoAttempts(t *testing.T) {
	nodes := testNodes(4)
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	nodes[0].State = Draining
	placer.Handle(100.1, Event{Kind: NodesListed, List: Changes, Nodes: nodes[:1]}, nil)
	placer.Handle(100.2, Event{Kind: NodesListed, List: FullList, Nodes: append([]Node{nodes[0]}, nodes[2:]...)}, nil)
	for i := range 40 {
		for _, attempt := range actionsOfKind(requestPlacement(placer, 100.3, newTestTask(i+1, 0)), StartAttempt) {
			if attempt.Node <= 2 {
				t.Fatalf("an attempt was made on node %d, which is draining or terminated; want attempts only on ready nodes", attempt.Node)
			}
		}
	}
}

func TestSpreadRuleCountsAttemptsAndRunningTasks(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(1))
	adoptTask(placer, 900, 1, 1)
	attempt := requireOneAttempt(t, requestPlacement(placer, 100.1, newTaskOfService(5, 1, 1)))
	requireNoAttempt(t, requestPlacement(placer, 100.2, newTaskOfService(5, 2, 1)), "the only node already has a running task and an attempt of the service")
	placer.Handle(100.3, Event{Kind: Withdrawn, TaskID: attempt.Task}, nil) // the attempt for the withdrawn request stays outstanding
	requireNoAttempt(t, requestPlacement(placer, 100.4, newTaskOfService(5, 3, 1)), "the attempt for the withdrawn request has no outcome yet and counts as a task of the service")
	endAttempt(placer, 100.5, attempt, Cancelled, NoReason)
	requireOneAttempt(t, requestPlacement(placer, 100.6, newTaskOfService(5, 4, 1)))
}

// A node evicts tasks when all its memory is in use, no matter how much memory the tasks have requested. A
// limit on the requested memory cannot prevent such evictions, so the filter must also limit the memory in
// use.
func TestMemoryUsageLimitsCapacity(t *testing.T) {
	config := testConfig()
	config.Overcommit.Cores, config.Overcommit.Memory, config.NodeBehavior.ReportsUsage = 4, 4, true
	nodes := testNodes(1)
	nodes[0].FreeMemory = 2
	placer := newTestPlacer(t, config, 1, nodes)
	requireNoAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 0)), "the memory of the node is almost all in use")
	placer.capacity.memoryUsageRatio.mean = 0.5 // tasks use half of the memory that they request
	requireOneAttempt(t, requestPlacement(placer, 100.2, newTestTask(2, 0)))
}

// If load reports do not contain the capacity in use, the Placer can only guess how much memory is in use.
// The filter must then not limit the memory in use, because the nodes themselves limit it.
func TestMemoryUsageIsNotLimitedWithoutUsageReports(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].FreeMemory = 2
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	requireOneAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 0)))
}

func TestOwnZoneIsPreferredIfCrossZoneHasCost(t *testing.T) {
	config := testConfig()
	for _, cost := range []float64{0, 0.1} {
		config.Costs.CrossZone = cost
		attemptsOutsideZone := 0
		for seed := range 60 {
			placer := newTestPlacer(t, config, uint64(seed), testNodes(6))
			if attempt := requireOneAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 0))); placer.nodes.byID[attempt.Node].Zone != 0 {
				attemptsOutsideZone++
			}
		}
		if (cost > 0) != (attemptsOutsideZone == 0) {
			t.Fatalf("with the cross-zone cost %v, %d of 60 attempts were made outside the zone of the scheduler; want none if the cost is above 0, and some if it is 0", cost, attemptsOutsideZone)
		}
	}
	nodes := testNodes(6)
	for i := 0; i < 6; i += 2 {
		nodes[i].FreeCores = 0
	}
	// The nodes in the zone of the scheduler are full, so the task must be attempted in another zone.
	requireOneAttempt(t, requestPlacement(newTestPlacer(t, config, 1, nodes), 100.1, newTestTask(1, 0)))
}

// A scheduler with few tasks may wait long for its first load report. Until then, it must estimate the ratio
// of used to requested capacity from its own tasks. If it assumed that tasks use all the capacity that they
// request, while they use only half of it, it would overestimate the number of nodes needed by a factor of
// two. The scheduler would then keep nodes active that other schedulers put on standby.
func TestUsageRatiosAreEstimatedFromTasksUntilFirstReport(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for i := range 20 {
		id := TaskID(900 + i)
		placer.Handle(100, Event{Kind: Adopted, Node: 2, Task: Task{ID: id, Service: 5, Cores: 2, Memory: 4}}, nil)
		placer.Handle(100, Event{Kind: UsageReported, TaskID: id, Usage: CoresUsed, Value: 1}, nil)
		placer.Handle(100, Event{Kind: UsageReported, TaskID: id, Usage: MemoryUsed, Value: 1}, nil)
	}
	coresRatio, memoryRatio := placer.capacity.coresUsageRatio.mean, placer.capacity.memoryUsageRatio.mean
	if coresRatio > 0.55 || coresRatio < 0.5 || memoryRatio > 0.3 || memoryRatio < 0.25 {
		t.Errorf("the estimated ratio of used to requested capacity is %.2f for cores and %.2f for memory, want about 0.5 and 0.25", coresRatio, memoryRatio)
	}
}

// No attempt is permitted for a request that is done, whose deadline has passed, or that has an outstanding
// attempt. A request gets at most Attempts.Max attempts.
func TestAttemptAllowed(t *testing.T) {
	filter := &nodeFilter{cfg: &Config{Attempts: Attempts{Max: 3}}}
	const now, later = Seconds(100), Seconds(101)
	endedAttempt, pendingAttempt, runningAttempt := &attempt{state: attemptEnded}, &attempt{state: attemptPending}, &attempt{state: attemptRunning}
	for name, test := range map[string]struct {
		request placementRequest
		want    bool
	}{
		"first attempt of the request":             {placementRequest{Task: Task{Deadline: later}}, true},
		"two earlier attempts have ended":          {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{endedAttempt, endedAttempt}}, true},
		"maximum number of attempts was made":      {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{endedAttempt, endedAttempt, endedAttempt}}, false},
		"earlier attempt is still pending":         {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{pendingAttempt}}, false},
		"task of an earlier attempt is running":    {placementRequest{Task: Task{Deadline: later}, attempts: []*attempt{runningAttempt, endedAttempt}}, false},
		"request is done":                          {placementRequest{Task: Task{Deadline: later}, done: true}, false},
		"deadline of the request is now":           {placementRequest{Task: Task{Deadline: now}}, false},
		"deadline of the request passed long ago":  {placementRequest{Task: Task{Deadline: now - 50}}, false},
		"deadline of the request is 1 ms from now": {placementRequest{Task: Task{Deadline: now + 0.001}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := filter.attemptAllowed(now, &test.request); got != test.want {
				t.Errorf("attemptAllowed returned %v, want %v", got, test.want)
			}
		})
	}
}
