package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func TestDrawIsUniformAndEmptierNodeComesFirst(t *testing.T) {
	seen, firsts := map[NodeID]int{}, map[NodeID]int{}
	const runs = 3000
	for seed := range runs {
		nodes := testNodes(6)
		for i := range nodes { // node 1 the fullest, node 6 the emptiest, by free share
			share := float64(i+1) / 8
			size := float64(16 * (nodes[i].NodeType + 1))
			nodes[i].FreeCores, nodes[i].FreeMemory = size*share, size*2*share
		}
		placer := newTestPlacer(t, testConfig(), uint64(seed), nodes)
		sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 0)))
		second := startedAttempt(t, endAttempt(placer, 100.2, sent, Rejected, InsufficientCores))
		if second.Node > sent.Node {
			t.Fatalf("seed %d: attempt on the fuller node %d before %d", seed, sent.Node, second.Node)
		}
		firsts[sent.Node]++
		seen[sent.Node]++
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
	for seed := range 200 {
		placer := newTestPlacer(t, testConfig(), uint64(seed), testNodes(6))
		node := placer.nodes.byID[3]
		node.tasks.unanswered = 9
		if sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 0))); sent.Node == 3 {
			t.Fatalf("seed %d: attempt on a node beyond the contender limit", seed)
		}
	}
	placer := newTestPlacer(t, testConfig(), 1, testNodes(6))
	placer.nodes.byID[1].load.addChange(capacityChange{at: 100, cores: 1, memory: 1, isBind: true})
	if placer.selector.contenders(101.9, placer.nodes.byID[1]) != 1 {
		t.Error("a bind of the last two seconds does not count")
	}
	if placer.selector.contenders(102.1, placer.nodes.byID[1]) != 0 {
		t.Error("a bind older than two seconds counts")
	}
	placer.nodes.byID[1].load.dropOldChanges(102.1) // as the filter does
	placer.requests.unanswered = 12
	if limit := placer.selector.contenderLimit(6); limit != 4 {
		t.Errorf("contender limit is %v for 12 pending on 6 nodes, want 4", limit)
	}
	if limit := placer.selector.contenderLimit(60); limit != 1 {
		t.Errorf("contender limit is %v, want at least 1", limit)
	}
}

func TestRedrawsAfterBothNodesReject(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 7, testNodes(6))
	sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 0)))
	resent := startedAttempt(t, endAttempt(placer, 100.2, sent, Rejected, InsufficientCores))
	if resent.Node == sent.Node {
		t.Fatal("the second attempt went to the node that rejected the first")
	}
	actions := endAttempt(placer, 100.3, resent, Rejected, InsufficientCores)
	timers := actionsOfKind(actions, SetTimer)
	if len(actionsOfKind(actions, StartAttempt)) != 0 || len(timers) != 1 || timers[0].After < 0.5 || timers[0].After > 1.5 {
		t.Fatalf("want a wait of about a second, got %+v", actions)
	}
	startedAttempt(t, placer.Handle(100.3+timers[0].After, Event{Kind: TimerFired, Token: timers[0].Token}, nil))
}

// A node without the program starts a task several times slower than one that runs the service.
func TestNodesWithCachedProgramArePreferred(t *testing.T) {
	hits := 0
	for seed := range 100 {
		placer := newTestPlacer(t, testConfig(), uint64(seed), testNodes(4))
		adoptTask(placer, 900, 2, 0)
		if startedAttempt(t, arrive(placer, 100.1, newTaskOf(5, 1, 0))).Node == 2 {
			hits++
		}
	}
	if hits < 95 {
		t.Fatalf("the node that runs the service was chosen %d times of 100", hits)
	}
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	placer.latency.coldStartTimes[0] = runningAverage{mean: 0.1, samples: 1} // cold starts are quick here
	if placer.latency.coldStartsAreSlow(0) {
		t.Fatal("quick cold starts count as slow")
	}
}

// The tasks of a service arrive in batches: none runs yet when the second arrives. A cached program outlives its tasks.
func TestAttemptsAndCachedProgramsCountAsWarm(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 3, testNodes(4))
	sent := startedAttempt(t, arrive(placer, 100.1, newTaskOf(1, 1, 0)))
	resent := startedAttempt(t, arrive(placer, 100.1, newTaskOf(1, 2, 0)))
	if resent.Node != sent.Node {
		t.Fatalf("second of a batch went to node %d, the first to %d", resent.Node, sent.Node)
	}
	for _, sent := range []Action{sent, resent} {
		bindAttempt(placer, 100.2, sent)
		endAttempt(placer, 101, sent, Finished, NoReason)
	}
	if !placer.nodes.byID[sent.Node].tasks.hasProgram(1) {
		t.Fatal("the program was dropped with its last task")
	}
}

// Capacity that becomes free while many wait should go to requests within their latency objective.
func TestLateTasksRedrawLessOften(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].FreeCores = 0
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	wakes := actionsOfKind(arrive(placer, 100.1, newTask(1, 0)), SetTimer)
	timer := wakes[len(wakes)-1] // the first is for the deadline
	early := timer.After
	now, late := Seconds(100.1), Seconds(0)
	for now < 103 {
		now += timer.After
		again := actionsOfKind(placer.Handle(now, Event{Kind: TimerFired, Token: timer.Token}, nil), SetTimer)
		if len(again) != 1 {
			t.Fatalf("at %.2f: %+v", now, again)
		}
		timer, late = again[0], again[0].After
	}
	if early > 0.3 || late < 2*early {
		t.Fatalf("waits of %.2f s in time and %.2f s late", early, late)
	}
}

// Where the tasks of a service arrive at many schedulers, each sees few of them: unless all choose the same nodes, each
// start is a cold one.
func TestSchedulersAgreeOnPreferredNodes(t *testing.T) {
	config := testConfig()
	config.Peers.Total, config.Peers.StickyServices = 300, false
	used := map[NodeID]bool{}
	for self := range 200 {
		config.Peers.Self = self
		placer := newTestPlacer(t, config, uint64(self), testNodes(90))
		used[startedAttempt(t, arrive(placer, 100.1, newTaskOf(7, self+1, 0))).Node] = true
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
	byHash := func(a, b NodeID) int {
		return cmp.Compare(hashToUnitInterval(service, uint64(b)), hashToUnitInterval(service, uint64(a)))
	}
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
			if got := candidateIDs(part.programNodesFirst(service, candidates)); !slices.Equal(got, test.want) {
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

// The preferred nodes are filtered in the memory of the list of all candidates. Where some of them are saturated and the
// others have too many contenders, the second draw is from a list in which nodes may be missing and others appear twice.
// docs/ROADMAP.md lists this as a fault; as a change would alter placements, this pins the nodes that 60 seeds draw.
func TestSecondDrawSeesListThatThePreferenceReordered(t *testing.T) {
	const want = "467564566454766576757746647565775465646644674565566656574655"
	var got strings.Builder
	for seed := range uint64(len(want)) {
		config := testConfig()
		config.Overcommit = Overcommit{Cores: 4, Memory: 4}
		nodes := testNodes(7)
		nodes[0].FreeCores = -16 // saturated, with capacity
		nodes[3].FreeCores, nodes[3].FreeMemory = 1, 1
		placer := newTestPlacer(t, config, seed, nodes)
		for i := range 3 { // the nodes 1 to 3 have the program
			adoptTask(placer, TaskID(900+i), NodeID(i+1), 0)
		}
		placer.nodes.byID[2].tasks.unanswered, placer.nodes.byID[3].tasks.unanswered = 50, 50
		got.WriteByte(byte('0' + startedAttempt(t, arrive(placer, 100.1, newTaskOf(5, 1, 0))).Node))
	}
	if got.String() != want {
		t.Errorf("nodes by seed\n got %s\nwant %s", got.String(), want)
	}
}
