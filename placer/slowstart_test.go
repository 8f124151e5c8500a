package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestNodeInSlowStartGetsOnlySchedulersShareOfAttempts(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].StartedAt = 98
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	requireNoAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 0)), "the scheduler has just started and does not know its earlier attempts")
	attemptCount := 0
	for i := range 20 {
		attemptCount += len(actionsOfKind(requestPlacement(placer, 103+Seconds(i)/20, newTaskWithDeadline(i+10, 0, 109)), StartAttempt))
	}
	if attemptCount != 4 { // each of the two schedulers may make half of the 8 attempts that MaxAttempts permits
		t.Fatalf("the scheduler made %d attempts within 2 s on a node in slow start, want 4, which is its share of the 8 attempts that MaxAttempts permits", attemptCount)
	}
}

func TestMoreSchedulersThanSlowStartAttempts(t *testing.T) {
	config := testConfig()
	config.Peers.Total = 20
	attemptCount := 0
	for self := range config.Peers.Total {
		config.Peers.Self = self
		nodes := testNodes(1)
		nodes[0].StartedAt = 98
		placer := newTestPlacer(t, config, uint64(self), nodes)
		for i := range 20 {
			attemptCount += len(actionsOfKind(requestPlacement(placer, 103+Seconds(i)/10, newTaskWithDeadline(i+1, 0, 109)), StartAttempt))
		}
	}
	if attemptCount == 0 || attemptCount > 8 {
		t.Fatalf("20 schedulers together made %d attempts within 2 s on a node in slow start, want at least one, and at most the 8 that MaxAttempts permits", attemptCount)
	}
}

// maxCountInWindow returns the maximum number of the given times that lie within any window of the given
// length. The times must be in ascending order.
func maxCountInWindow(times []Seconds, window Seconds) int {
	maxCount, firstIndex := 0, 0
	for i, at := range times {
		for at-times[firstIndex] > window {
			firstIndex++
		}
		maxCount = max(maxCount, i-firstIndex+1)
	}
	return maxCount
}

// The attempts of all schedulers together must not overload a node in slow start. In the test, 300 schedulers
// receive uneven traffic. Two thirds of the nodes are in slow start at the same time. The nodes reject all
// attempts, and schedulers restart at random times.
func TestAllSchedulersTogetherRespectMaxAttempts(t *testing.T) {
	config := testConfig()
	config.Peers = Peers{Total: 300}
	config.SlowStart.MaxAttempts, config.SlowStart.Duration = 7, 20
	config.Overcommit = Overcommit{Cores: 9, Memory: 9}
	nodes := testNodes(30)
	for i := range nodes {
		if i%3 > 0 {
			nodes[i].StartedAt = 99
		}
	}
	random := rand.New(rand.NewPCG(4, 4))
	attemptTimes, slowStartAttempts := map[NodeID][]Seconds{}, 0
	peers := make([]*Placer, config.Peers.Total)
	for now, id := Seconds(100), 0; now < 112; now += 0.05 {
		for self := range peers {
			if peers[self] == nil || random.IntN(2000) == 0 {
				config.Peers.Self = self
				peers[self] = startPlacer(t, now, config, uint64(self+id), nodes)
			}
			if random.IntN(1+self/20) > 0 {
				continue
			}
			id++
			actions := requestPlacement(peers[self], now, newTaskWithDeadline(id, 0, now+1.1))
			for attempts := actionsOfKind(actions, StartAttempt); len(attempts) > 0; attempts = actionsOfKind(actions, StartAttempt) {
				nodeID := attempts[0].Node
				if nodes[nodeID-1].StartedAt > 0 {
					slowStartAttempts++
					attemptTimes[nodeID] = append(attemptTimes[nodeID], now)
				}
				actions = endAttempt(peers[self], now, attempts[0], Rejected, []Reason{InsufficientCores, QueueFull}[random.IntN(2)])
			}
		}
	}
	for id, times := range attemptTimes {
		if maxCount := maxCountInWindow(times, config.SlowStart.OverloadWindow); float64(maxCount) > config.SlowStart.MaxAttempts {
			t.Errorf("%d attempts were made within the time OverloadWindow on node %d, which is in slow start; want at most MaxAttempts, which is %v", maxCount, id, config.SlowStart.MaxAttempts)
		}
	}
	if minAttempts := 20 * 12 / float64(config.SlowStart.OverloadWindow) * config.SlowStart.MaxAttempts / 4; float64(slowStartAttempts) < minAttempts {
		t.Errorf("%d attempts were made in total on nodes in slow start, want at least %v to test the slow-start rule", slowStartAttempts, minAttempts)
	}
}

// Thirty schedulers place tasks on one node in slow start. Two of the schedulers receive half of the traffic,
// and every second scheduler restarts and loses its state. At most MaxAttempts attempts must arrive at the
// node within the time OverloadWindow. The test allows more if connection setup delays the attempts, because
// they may then arrive closer together than they were sent.
func TestThirtySchedulersOnOneNodeInSlowStart(t *testing.T) {
	for _, maxAttempts := range []float64{4, 12, 42, 100} {
		for _, delaysConnections := range []bool{false, true} {
			config := testConfig()
			config.Peers = Peers{Total: 30}
			config.SlowStart.MaxAttempts, config.SlowStart.Duration, config.SlowStart.OverloadWindow = maxAttempts, 30, 1
			config.Overcommit = Overcommit{Cores: 99, Memory: 99}
			nodes := testNodes(1)
			nodes[0].StartedAt = 99
			random := rand.New(rand.NewPCG(7, 7))
			var arrivals []Seconds
			peers := make([]*Placer, config.Peers.Total)
			// connectedAt holds, for each scheduler, the time at which its connection to the node opens.
			connectedAt := make([]Seconds, config.Peers.Total)
			restart := func(now Seconds, self, generation int) {
				config.Peers.Self = self
				peers[self], connectedAt[self] = startPlacer(t, now, config, uint64(self+100*generation), nodes), 0
			}
			for self := range peers {
				restart(99, self, 1) // the schedulers start no later than the node
			}
			id := 0
			for step := range 800 {
				now := 100 + Seconds(step)/50
				if step == 300 {
					for self := 0; self < config.Peers.Total; self += 2 {
						restart(now, self, 2)
					}
				}
				for self, placer := range peers {
					if self >= 2 && random.IntN(28) > 1 {
						continue
					}
					id++
					for _, attempt := range actionsOfKind(requestPlacement(placer, now, newTaskWithDeadline(id, 0, now+1.1)), StartAttempt) {
						if delaysConnections && connectedAt[self] == 0 {
							connectedAt[self] = now + Seconds(random.Float64())*config.Attempts.ConnectTimeout
						}
						at := max(now, connectedAt[self])
						arrivals = append(arrivals, at)
						placer.Handle(at, Event{Kind: Bound, TaskID: attempt.Task, Attempt: attempt.Attempt, Node: attempt.Node, Elapsed: at - now}, nil)
					}
				}
			}
			slices.Sort(arrivals)
			maxCount := maxCountInWindow(arrivals, config.SlowStart.OverloadWindow)
			maxArrivals := maxAttempts
			if delaysConnections {
				maxArrivals += 2*math.Sqrt(maxAttempts) + 2
			}
			if float64(maxCount) > maxArrivals {
				t.Errorf("with MaxAttempts=%v and delaysConnections=%v, %d attempts arrived at the node within OverloadWindow (1 s), want at most %.0f", maxAttempts, delaysConnections, maxCount, maxArrivals)
			}
			if float64(len(arrivals)) < 16*maxAttempts/4 {
				t.Errorf("with MaxAttempts=%v and delaysConnections=%v, only %d attempts arrived at the node in total, want at least 4 times MaxAttempts", maxAttempts, delaysConnections, len(arrivals))
			}
		}
	}
}

func TestSharesOfAllSchedulersAddUpToMaxAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		maxAttempts    float64
		schedulerCount int
	}{
		"MaxAttempts exceeds number of schedulers":          {42, 30},
		"MaxAttempts is below number of schedulers":         {7, 300},
		"there is only one scheduler":                       {8, 1},
		"MaxAttempts is a multiple of number of schedulers": {60, 20},
		"MaxAttempts is 0":                                  {0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			for id := range NodeID(20) {
				sum := 0.0
				for self := range test.schedulerCount {
					rule := &slowStart{limits: SlowStart{MaxAttempts: test.maxAttempts}, peers: Peers{Self: self, Total: test.schedulerCount}}
					sum += rule.attemptShare(newTrackedNode(id))
				}
				if sum != test.maxAttempts {
					t.Fatalf("node %d: the shares of all schedulers add up to %v, want %v", id, sum, test.maxAttempts)
				}
			}
		})
	}
}

func TestSlowStartRuleAllowsAttempts(t *testing.T) {
	limits := SlowStart{Duration: 10, OverloadWindow: 2, MaxAttempts: 2} // the counting window is 2.2 s
	for name, test := range map[string]struct {
		nodeStartedAt, schedulerStartedAt Seconds
		attemptTimes                      []Seconds
		want                              bool
	}{
		"node started long ago":                                               {0, 50, []Seconds{99, 99, 99}, true},
		"node is no longer in slow start":                                     {90, 50, []Seconds{99, 99, 99}, true},
		"no attempts were made on the node in slow start":                     {95, 50, nil, true},
		"number of recent attempts is below the scheduler's share":            {95, 50, []Seconds{99}, true},
		"number of recent attempts equals the scheduler's share":              {95, 50, []Seconds{98, 99}, false},
		"one of three attempts was made before the counting window":           {95, 50, []Seconds{97, 97.7, 99}, true},
		"scheduler started within counting window, during slow start of node": {95, 98, nil, false},
		"scheduler started before counting window, during slow start of node": {95, 97.7, nil, true},
		"scheduler started before the node":                                   {98.5, 98, nil, true},
		"scheduler and node started at the same time":                         {98, 98, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			rule := &slowStart{limits: limits, peers: Peers{Total: 1}, startedAt: test.schedulerStartedAt}
			node := newTrackedNode(1)
			node.StartedAt, node.slowStartAttempts = test.nodeStartedAt, test.attemptTimes
			if got := rule.allowsAttempt(100, node); got != test.want {
				t.Errorf("allowsAttempt returned %v for the node, want %v", got, test.want)
			}
			rule.attemptSent(100, node)
			if keptTimes := node.slowStartAttempts; rule.appliesTo(100, node) && (keptTimes[0] < 97.8 || keptTimes[len(keptTimes)-1] != 100) {
				t.Errorf("the times of the recorded attempts are %v, want none before 97.8 and the last at 100", keptTimes)
			}
		})
	}
}
