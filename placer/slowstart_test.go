package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestWarmingNodeGetsOnlyOwnShareOfAttempts(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].StartedAt = 98
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	requireNoAttempt(t, arrive(placer, 100.1, newTask(1, 0)), "the scheduler has just started and does not know its earlier attempts")
	count := 0
	for i := range 20 {
		count += len(actionsOfKind(arrive(placer, 103+Seconds(i)/20, newTaskUntil(i+10, 0, 109)), StartAttempt))
	}
	if count != 4 { // 8 for two peers
		t.Fatalf("%d attempts in an overload window, want this scheduler's share of 4", count)
	}
}

func TestPeersShareFewerWarmupAttemptsThanPeers(t *testing.T) {
	config := testConfig()
	config.Peers.Total = 20
	sent := 0
	for self := range config.Peers.Total {
		config.Peers.Self = self
		nodes := testNodes(1)
		nodes[0].StartedAt = 98
		placer := newTestPlacer(t, config, uint64(self), nodes)
		for i := range 20 {
			sent += len(actionsOfKind(arrive(placer, 103+Seconds(i)/10, newTaskUntil(i+1, 0, 109)), StartAttempt))
		}
	}
	if sent == 0 || sent > 8 {
		t.Fatalf("%d attempts in an overload window by 20 peers, want 1 to 8", sent)
	}
}

// mostInWindow returns the largest number of times, which are in order, that lie within a window.
func mostInWindow(times []Seconds, window Seconds) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// The attempts of all schedulers together must not overload a warming node: hundreds of schedulers, with most nodes
// warming up at once, uneven traffic, rejected attempts, and schedulers that restart.
func TestAllSchedulersRespectWarmupAttempts(t *testing.T) {
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
	sent, warming := map[NodeID][]Seconds{}, 0
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
			actions := arrive(peers[self], now, newTaskUntil(id, 0, now+1.1))
			for attempts := actionsOfKind(actions, StartAttempt); len(attempts) > 0; attempts = actionsOfKind(actions, StartAttempt) {
				id := attempts[0].Node
				if nodes[id-1].StartedAt > 0 {
					warming++
					sent[id] = append(sent[id], now)
				}
				actions = endAttempt(peers[self], now, attempts[0], Rejected, []Reason{InsufficientCores, QueueFull}[random.IntN(2)])
			}
		}
	}
	for id, times := range sent {
		if most := mostInWindow(times, config.SlowStart.OverloadWindow); float64(most) > config.SlowStart.MaxAttempts {
			t.Errorf("%d attempts in a window on warming node %d, want at most %v", most, id, config.SlowStart.MaxAttempts)
		}
	}
	if least := 20 * 12 / float64(config.SlowStart.OverloadWindow) * config.SlowStart.MaxAttempts / 4; float64(warming) < least {
		t.Errorf("%d attempts on warming nodes in all, want at least %v: the allowance is not used", warming, least)
	}
}

// Thirty schedulers and one warming node, half of the traffic at two of them, half of them restarted meanwhile, which
// loses their state. No more is sent within a window than MaxAttempts. Where an attempt waits for its connection, the
// number that arrives within a window may exceed it by a random part.
func TestThirtySchedulersOverOneWarmingNode(t *testing.T) {
	for _, always := range []float64{4, 12, 42, 100} {
		for _, dials := range []bool{false, true} {
			config := testConfig()
			config.Peers = Peers{Total: 30}
			config.SlowStart.MaxAttempts, config.SlowStart.Duration, config.SlowStart.OverloadWindow = always, 30, 1
			config.Overcommit = Overcommit{Cores: 99, Memory: 99}
			nodes := testNodes(1)
			nodes[0].StartedAt = 99
			random := rand.New(rand.NewPCG(7, 7))
			var arrivals []Seconds
			peers := make([]*Placer, config.Peers.Total)
			connected := make([]Seconds, config.Peers.Total) // when the connection of each was established
			fresh := func(now Seconds, self, life int) {
				config.Peers.Self = self
				peers[self], connected[self] = startPlacer(t, now, config, uint64(self+100*life), nodes), 0
			}
			for self := range peers {
				fresh(99, self, 1) // before the node has started
			}
			id := 0
			for step := range 800 {
				now := 100 + Seconds(step)/50
				if step == 300 {
					for self := 0; self < config.Peers.Total; self += 2 {
						fresh(now, self, 2)
					}
				}
				for self, placer := range peers {
					if self >= 2 && random.IntN(28) > 1 {
						continue
					}
					id++
					for _, sent := range actionsOfKind(arrive(placer, now, newTaskUntil(id, 0, now+1.1)), StartAttempt) {
						if dials && connected[self] == 0 {
							connected[self] = now + Seconds(random.Float64())*config.Attempts.ConnectTimeout
						}
						at := max(now, connected[self])
						arrivals = append(arrivals, at)
						placer.Handle(at, Event{Kind: Bound, TaskID: sent.Task, Attempt: sent.Attempt, Node: sent.Node, Elapsed: at - now}, nil)
					}
				}
			}
			slices.Sort(arrivals)
			most := mostInWindow(arrivals, config.SlowStart.OverloadWindow)
			bound := always
			if dials {
				bound += 2*math.Sqrt(always) + 2
			}
			if float64(most) > bound {
				t.Errorf("%v withstood, dials %v: %d in a window, want at most %.0f", always, dials, most, bound)
			}
			if float64(len(arrivals)) < 16*always/4 {
				t.Errorf("%v withstood, dials %v: %d in all: the allowance is not used", always, dials, len(arrivals))
			}
		}
	}
}

func TestSharesAddUpToWhatNodeWithstands(t *testing.T) {
	for name, test := range map[string]struct {
		attempts float64
		peers    int
	}{
		"more attempts than peers":  {42, 30},
		"fewer attempts than peers": {7, 300},
		"one peer":                  {8, 1},
		"divisible":                 {60, 20},
		"no attempts":               {0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			for id := range NodeID(20) {
				sum := 0.0
				for self := range test.peers {
					part := &slowStart{limits: SlowStart{MaxAttempts: test.attempts}, peers: Peers{Self: self, Total: test.peers}}
					sum += part.share(newTrackedNode(id))
				}
				if sum != test.attempts {
					t.Fatalf("node %d: the shares add up to %v, want %v", id, sum, test.attempts)
				}
			}
		})
	}
}

func TestSlowStartAllows(t *testing.T) {
	limits := SlowStart{Duration: 10, OverloadWindow: 2, MaxAttempts: 2} // the window is 2.2 s
	for name, test := range map[string]struct {
		nodeStarted, schedulerStarted Seconds
		attempts                      []Seconds
		want                          bool
	}{
		"started long ago":                {0, 50, []Seconds{99, 99, 99}, true},
		"has warmed up":                   {90, 50, []Seconds{99, 99, 99}, true},
		"warming up":                      {95, 50, nil, true},
		"below its share":                 {95, 50, []Seconds{99}, true},
		"share used up":                   {95, 50, []Seconds{98, 99}, false},
		"old attempts do not count":       {95, 50, []Seconds{97, 97.7, 99}, true},
		"scheduler has just started":      {95, 98, nil, false},
		"scheduler started a while ago":   {95, 97.7, nil, true},
		"scheduler started first":         {98.5, 98, nil, true},
		"both started at the same moment": {98, 98, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			part := &slowStart{limits: limits, peers: Peers{Total: 1}, startedAt: test.schedulerStarted}
			node := newTrackedNode(1)
			node.StartedAt, node.warmupAttempts = test.nodeStarted, test.attempts
			if got := part.allows(100, node); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			part.attemptSent(100, node)
			if kept := node.warmupAttempts; part.warmingUp(100, node) && (kept[0] < 97.8 || kept[len(kept)-1] != 100) {
				t.Errorf("attempts kept: %v", kept)
			}
		})
	}
}
