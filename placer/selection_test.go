package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestDrawIsUniformAndEmptierNodeComesFirst(t *testing.T) {
	seen, firsts := map[NodeID]int{}, map[NodeID]int{}
	const runs = 3000
	for s := range runs {
		nodes := testNodes(6)
		for i := range nodes { // node 1 the fullest, node 6 the emptiest, by free share
			share := float64(i+1) / 8
			size := float64(16 * (nodes[i].NodeType + 1))
			nodes[i].FreeCores, nodes[i].FreeMemory = size*share, size*2*share
		}
		p := newTestPlacer(t, testConfig(), uint64(s), nodes)
		o := startedAttempt(t, arrive(p, 100.1, newTask(1, 0)))
		second := startedAttempt(t, endAttempt(p, 100.2, o, Rejected, InsufficientCores))
		if second.Node > o.Node {
			t.Fatalf("seed %d: attempt on the fuller node %d before %d", s, o.Node, second.Node)
		}
		firsts[o.Node]++
		seen[o.Node]++
		seen[second.Node]++
	}
	for id := NodeID(1); id <= 6; id++ { // each node is in a third of the pairs
		if got := float64(seen[id]) / runs; math.Abs(got-1.0/3) > 0.04 {
			t.Errorf("node %d in %.3f of the pairs, want 0.333", id, got)
		}
		if want := float64(id-1) / 15 * runs; math.Abs(float64(firsts[id])-want) > 0.04*runs {
			t.Errorf("node %d first %d times, want about %.0f", id, firsts[id], want)
		}
	}
}

func TestNodeBeyondContenderLimitIsSkipped(t *testing.T) {
	for s := range 200 {
		p := newTestPlacer(t, testConfig(), uint64(s), testNodes(6))
		node := p.nodes.byID[3]
		node.tasks.unanswered = 9
		if o := startedAttempt(t, arrive(p, 100.1, newTask(1, 0))); o.Node == 3 {
			t.Fatalf("seed %d: attempt on a node beyond the contender limit", s)
		}
	}
	p := newTestPlacer(t, testConfig(), 1, testNodes(6))
	p.nodes.byID[1].load.recentChanges = []capacityChange{{at: 100, cores: 1, memory: 1, isBind: true}}
	if p.selector.contenders(101.9, p.nodes.byID[1]) != 1 {
		t.Error("a bind of the last two seconds does not count")
	}
	if p.selector.contenders(102.1, p.nodes.byID[1]) != 0 {
		t.Error("a bind older than two seconds counts")
	}
	p.nodes.byID[1].load.dropOldChanges(102.1) // as the filter does
	p.requests.unanswered = 12
	if k := p.selector.contenderLimit(6); k != 4 {
		t.Errorf("contender limit is %v for 12 pending on 6 nodes, want 4", k)
	}
	if k := p.selector.contenderLimit(60); k != 1 {
		t.Errorf("contender limit is %v, want at least 1", k)
	}
}

func TestRedrawsAfterBothNodesReject(t *testing.T) {
	p := newTestPlacer(t, testConfig(), 7, testNodes(6))
	o := startedAttempt(t, arrive(p, 100.1, newTask(1, 0)))
	o2 := startedAttempt(t, endAttempt(p, 100.2, o, Rejected, InsufficientCores))
	if o2.Node == o.Node {
		t.Fatal("the second attempt went to the node that rejected the first")
	}
	acts := endAttempt(p, 100.3, o2, Rejected, InsufficientCores)
	w := actionsOfKind(acts, SetTimer)
	if len(actionsOfKind(acts, StartAttempt)) != 0 || len(w) != 1 || w[0].After < 0.5 || w[0].After > 1.5 {
		t.Fatalf("want a wait of about a second, got %+v", acts)
	}
	startedAttempt(t, p.Handle(100.3+w[0].After, Event{Kind: TimerFired, Token: w[0].Token}, nil))
}

// A node without the program starts a task several times slower than one that runs the service.
func TestNodesWithCachedProgramArePreferred(t *testing.T) {
	hits := 0
	for s := range 100 {
		p := newTestPlacer(t, testConfig(), uint64(s), testNodes(4))
		p.Handle(100, Event{Kind: Adopted, Node: 2, Task: Task{ID: 900, Service: 5, Cores: 1, Memory: 1}}, nil)
		k := newTask(1, 0)
		k.Service = 5
		if startedAttempt(t, arrive(p, 100.1, k)).Node == 2 {
			hits++
		}
	}
	if hits < 95 {
		t.Fatalf("the node that runs the service was chosen %d times of 100", hits)
	}
	p := newTestPlacer(t, testConfig(), 1, testNodes(4))
	p.latency.coldStarts[0] = runningAverage{mean: 0.1, samples: 1} // cold starts are quick here
	if p.latency.coldStartsSlow(0) {
		t.Fatal("quick cold starts count as slow")
	}
}

// The tasks of a service arrive in batches: none runs yet when the second arrives. A cached program outlives its tasks.
func TestAttemptsAndCachedProgramsCountAsWarm(t *testing.T) {
	p := newTestPlacer(t, testConfig(), 3, testNodes(4))
	k := newTask(1, 0)
	o := startedAttempt(t, arrive(p, 100.1, k))
	k.ID, k.Service = 2, 1
	o2 := startedAttempt(t, arrive(p, 100.1, k))
	if o2.Node != o.Node {
		t.Fatalf("second of a batch went to node %d, the first to %d", o2.Node, o.Node)
	}
	for _, x := range []Action{o, o2} {
		bindAttempt(p, 100.2, x)
		endAttempt(p, 101, x, Finished, NoReason)
	}
	if !p.nodes.byID[o.Node].tasks.hasProgram(1) {
		t.Fatal("the program was dropped with its last task")
	}
}

// Capacity that becomes free while many wait should go to requests within their latency objective.
func TestLateTasksRedrawLessOften(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].FreeCores = 0
	p := newTestPlacer(t, testConfig(), 1, nodes)
	wakes := actionsOfKind(arrive(p, 100.1, newTask(1, 0)), SetTimer)
	w := wakes[len(wakes)-1] // the first is for the deadline
	early := w.After
	now, late := Seconds(100.1), Seconds(0)
	for now < 103 {
		now += w.After
		again := actionsOfKind(p.Handle(now, Event{Kind: TimerFired, Token: w.Token}, nil), SetTimer)
		if len(again) != 1 {
			t.Fatalf("at %.2f: %+v", now, again)
		}
		w, late = again[0], again[0].After
	}
	if early > 0.3 || late < 2*early {
		t.Fatalf("waits of %.2f s in time and %.2f s late", early, late)
	}
}

// Where the tasks of a service arrive at many schedulers, each sees few of them: unless all choose the same nodes, each
// start is a cold one.
func TestSchedulersAgreeOnPreferredNodes(t *testing.T) {
	c := testConfig()
	c.Peers.Total, c.Peers.StickyServices = 300, false
	used := map[NodeID]bool{}
	for self := range 200 {
		c.Peers.Self = self
		p := newTestPlacer(t, c, uint64(self), testNodes(90))
		k := newTask(self+1, 0)
		k.Service = 7
		used[startedAttempt(t, arrive(p, 100.1, k)).Node] = true
	}
	if len(used) > preferredNodeCount {
		t.Errorf("tasks of one service ran on %d nodes, want at most %d", len(used), preferredNodeCount)
	}
}

// newCandidates returns candidates for nodes with the IDs 1 to count.
func newCandidates(count int) []candidate {
	var candidates []candidate
	for i := range count {
		candidates = append(candidates, candidate{node: newTrackedNode(NodeID(i + 1))})
	}
	return candidates
}

func candidateIDs(candidates []candidate) []NodeID {
	ids := []NodeID{}
	for i := range candidates {
		ids = append(ids, candidates[i].node.ID)
	}
	return ids
}

// The callers' slice is filtered in place: a second preference of the same slice sees what the first one left.
func TestPrefer(t *testing.T) {
	for name, test := range map[string]struct {
		saturated  []NodeID
		want, left []NodeID
	}{
		"all are wanted":  {nil, []NodeID{1, 2, 3, 4}, []NodeID{1, 2, 3, 4}},
		"none is wanted":  {[]NodeID{1, 2, 3, 4}, []NodeID{1, 2, 3, 4}, []NodeID{1, 2, 3, 4}},
		"some are wanted": {[]NodeID{1, 3}, []NodeID{2, 4}, []NodeID{2, 4, 3, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			candidates := newCandidates(4)
			for _, id := range test.saturated {
				candidates[id-1].saturationExcess = 0.1
			}
			if got := candidateIDs(prefer(candidates, (*candidate).belowSaturation)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if got := candidateIDs(candidates); !slices.Equal(got, test.left) {
				t.Errorf("the slice is left as %v, want %v", got, test.left)
			}
		})
	}
}

func TestNodesWithProgram(t *testing.T) {
	const service = 7
	byHash := func(a, b NodeID) int { return cmp.Compare(hashUnit(service, uint64(b)), hashUnit(service, uint64(a))) }
	hashed := slices.SortedFunc(slices.Values([]NodeID{1, 3, 4, 6}), byHash)
	for name, test := range map[string]struct {
		peers Peers
		want  []NodeID
	}{
		"few peers":       {Peers{Total: 4}, []NodeID{2, 5}},
		"many peers":      {Peers{Total: 5}, []NodeID{2, 5, hashed[0], hashed[1]}},
		"sticky services": {Peers{Total: 5, StickyServices: true}, []NodeID{2, 5}},
	} {
		t.Run(name, func(t *testing.T) {
			candidates := newCandidates(6)
			candidates[1].node.tasks.cacheProgram(service)
			candidates[4].node.tasks.attemptSent(&attempt{request: &placementRequest{Task: Task{Service: service}}})
			part := &selector{peers: test.peers}
			if got := candidateIDs(part.withProgram(service, candidates)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			all := candidateIDs(candidates)
			slices.Sort(all)
			if !slices.Equal(all, []NodeID{1, 2, 3, 4, 5, 6}) {
				t.Errorf("the candidates are now %v", all)
			}
		})
	}
}

func TestLastPairStaysWhereAllHaveTooManyContenders(t *testing.T) {
	part := &selector{nodes: newNodeTable(nil), requests: newRequestTable(), rng: rand.New(rand.NewPCG(1, 1))}
	candidates := newCandidates(2)
	candidates[0].node.tasks.unanswered, candidates[1].node.tasks.unanswered = 9, 8
	drawn := part.drawPair(100, &placementRequest{}, candidates)
	if drawn.first.ID != 2 || drawn.second.ID != 1 {
		t.Errorf("drew %d before %d, want the node with fewer contenders first", drawn.first.ID, drawn.second.ID)
	}
}
