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
	pairCounts, firstAttemptCounts := map[NodeID]int{}, map[NodeID]int{}
	const runs = 3000
	for seed := range runs {
		nodes := testNodes(6)
		for i := range nodes { // the free share increases from node 1 to node 6
			share := float64(i+1) / 8
			size := float64(16 * (nodes[i].NodeType + 1))
			nodes[i].FreeCores, nodes[i].FreeMemory = size*share, size*2*share
		}
		placer := newTestPlacer(t, testConfig(), uint64(seed), nodes)
		sent := startedAttempt(t, arrive(placer, 100.1, newTestTask(1, 0)))
		second := startedAttempt(t, endAttempt(placer, 100.2, sent, Rejected, InsufficientCores))
		if second.Node > sent.Node {
			t.Fatalf("seed %d: the first attempt was made on node %d, the second on the emptier node %d", seed, sent.Node, second.Node)
		}
		firstAttemptCounts[sent.Node]++
		pairCounts[sent.Node]++
		pairCounts[second.Node]++
	}
	for id := NodeID(1); id <= 6; id++ { // each node must be in a third of the pairs
		if got := float64(pairCounts[id]) / runs; math.Abs(got-1.0/3) > 0.04 {
			t.Errorf("node %d is in a fraction of %.3f of the pairs, want about 0.333", id, got)
		}
		if want := float64(id-1) / 15 * runs; math.Abs(float64(firstAttemptCounts[id])-want) > 0.04*runs {
			t.Errorf("node %d was attempted first %d times, want about %.0f", id, firstAttemptCounts[id], want)
		}
	}
}

func TestNodeBeyondContenderLimitIsSkipped(t *testing.T) {
	for seed := range 200 {
		placer := newTestPlacer(t, testConfig(), uint64(seed), testNodes(6))
		node := placer.nodes.byID[3]
		node.tasks.unansweredAttempts = 9
		if sent := startedAttempt(t, arrive(placer, 100.1, newTestTask(1, 0))); sent.Node == 3 {
			t.Fatalf("seed %d: an attempt was made on a node beyond the contender limit", seed)
		}
	}
	placer := newTestPlacer(t, testConfig(), 1, testNodes(6))
	placer.nodes.byID[1].load.addChange(capacityChange{at: 100, cores: 1, memory: 1, isBoundTask: true})
	if placer.selector.contenders(101.9, placer.nodes.byID[1]) != 1 {
		t.Error("a bind within the contender window of 2 s does not count as a contender")
	}
	if placer.selector.contenders(102.1, placer.nodes.byID[1]) != 0 {
		t.Error("a bind older than the contender window of 2 s counts as a contender")
	}
	placer.nodes.byID[1].load.dropOldChanges(102.1) // the filter does the same when it evaluates a node
	placer.requests.unansweredRequests = 12
	if limit := placer.selector.contenderLimit(6); limit != 4 {
		t.Errorf("contender limit is %v for 12 pending requests on 6 nodes, want 4", limit)
	}
	if limit := placer.selector.contenderLimit(60); limit != 1 {
		t.Errorf("contender limit is %v for 12 pending requests on 60 nodes, want the minimum of 1", limit)
	}
}

func TestPairIsRedrawnAfterBothNodesReject(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 7, testNodes(6))
	sent := startedAttempt(t, arrive(placer, 100.1, newTestTask(1, 0)))
	retried := startedAttempt(t, endAttempt(placer, 100.2, sent, Rejected, InsufficientCores))
	if retried.Node == sent.Node {
		t.Fatal("the second attempt was made on the node that rejected the first")
	}
	actions := endAttempt(placer, 100.3, retried, Rejected, InsufficientCores)
	timers := actionsOfKind(actions, SetTimer)
	if len(actionsOfKind(actions, StartAttempt)) != 0 || len(timers) != 1 || timers[0].After < 0.5 || timers[0].After > 1.5 {
		t.Fatalf("want only a timer of about 1 s and no attempt, got actions %+v", actions)
	}
	startedAttempt(t, placer.Handle(100.3+timers[0].After, Event{Kind: TimerFired, Token: timers[0].Token}, nil))
}

// A cold start takes several times as long as a start on a node that runs the service. The selector must
// therefore prefer nodes with the cached program, unless cold starts are known to be fast.
func TestNodesWithCachedProgramArePreferred(t *testing.T) {
	runsOnProgramNode := 0
	for seed := range 100 {
		placer := newTestPlacer(t, testConfig(), uint64(seed), testNodes(4))
		adoptTask(placer, 900, 2, 0)
		if startedAttempt(t, arrive(placer, 100.1, newTaskOfService(5, 1, 0))).Node == 2 {
			runsOnProgramNode++
		}
	}
	if runsOnProgramNode < 95 {
		t.Fatalf("the node that runs the service was chosen in %d of 100 runs, want at least 95", runsOnProgramNode)
	}
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	placer.latency.coldStartTimes[0] = runningAverage{mean: 0.1, samples: 1} // cold starts are far faster than the latency objective
	if placer.latency.coldStartsAreSlow(0) {
		t.Fatal("cold starts of 0.1 s count as slow for a latency objective of 1 s")
	}
}

// The tasks of a service arrive in batches, so no task of the service runs yet when the second one arrives.
// Unanswered attempts must count as a sign of the cached program, and the program must count as cached after
// its last task.
func TestUnansweredAttemptsAndEndedTasksImplyCachedProgram(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 3, testNodes(4))
	sent := startedAttempt(t, arrive(placer, 100.1, newTaskOfService(1, 1, 0)))
	secondSent := startedAttempt(t, arrive(placer, 100.1, newTaskOfService(1, 2, 0)))
	if secondSent.Node != sent.Node {
		t.Fatalf("the second task of a batch was attempted on node %d, the first on node %d", secondSent.Node, sent.Node)
	}
	for _, sent := range []Action{sent, secondSent} {
		bindAttempt(placer, 100.2, sent)
		endAttempt(placer, 101, sent, Finished, NoReason)
	}
	if !placer.nodes.byID[sent.Node].tasks.hasProgram(1) {
		t.Fatal("the program does not count as cached after its last task")
	}
}

// If many requests wait, capacity that becomes free should go to requests that are within their latency
// objective. Late requests must therefore draw new nodes less often.
func TestLateRequestsRedrawLessOften(t *testing.T) {
	nodes := testNodes(1)
	nodes[0].FreeCores = 0
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	timers := actionsOfKind(arrive(placer, 100.1, newTestTask(1, 0)), SetTimer)
	timer := timers[len(timers)-1] // the first timer is for the deadline
	inTimeWait := timer.After
	now, lateWait := Seconds(100.1), Seconds(0)
	for now < 103 {
		now += timer.After
		newTimers := actionsOfKind(placer.Handle(now, Event{Kind: TimerFired, Token: timer.Token}, nil), SetTimer)
		if len(newTimers) != 1 {
			t.Fatalf("at the time %.2f: want one timer, got %+v", now, newTimers)
		}
		timer, lateWait = newTimers[0], newTimers[0].After
	}
	if inTimeWait > 0.3 || lateWait < 2*inTimeWait {
		t.Fatalf("wait is %.2f s before and %.2f s after the latency objective, want at most 0.30 s before and at least twice as much after", inTimeWait, lateWait)
	}
}

// If the tasks of a service arrive at many schedulers, each scheduler receives few of them. All schedulers
// must prefer the same nodes, because otherwise every start would be a cold start.
func TestSchedulersAgreeOnPreferredNodes(t *testing.T) {
	config := testConfig()
	config.Peers.Total, config.Peers.StickyServices = 300, false
	used := map[NodeID]bool{}
	for self := range 200 {
		config.Peers.Self = self
		placer := newTestPlacer(t, config, uint64(self), testNodes(90))
		used[startedAttempt(t, arrive(placer, 100.1, newTaskOfService(7, self+1, 0))).Node] = true
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

// prefer filters the slice of its caller in place. A second call on the same slice therefore uses the
// contents that the first call left.
func TestPreferFiltersCandidatesInPlace(t *testing.T) {
	for name, test := range map[string]struct {
		saturated  []NodeID
		want, left []NodeID
	}{
		"all preferred":  {nil, []NodeID{1, 2, 3, 4}, []NodeID{1, 2, 3, 4}},
		"none preferred": {[]NodeID{1, 2, 3, 4}, []NodeID{1, 2, 3, 4}, []NodeID{1, 2, 3, 4}},
		"some preferred": {[]NodeID{1, 3}, []NodeID{2, 4}, []NodeID{2, 4, 3, 4}},
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
				t.Errorf("the slice contains %v after the call, want %v", got, test.left)
			}
		})
	}
}

func TestProgramNodesFirst(t *testing.T) {
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
			testSelector := &selector{peers: test.peers}
			if got := candidateIDs(testSelector.programNodesFirst(service, candidates)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			all := candidateIDs(candidates)
			slices.Sort(all)
			if !slices.Equal(all, []NodeID{1, 2, 3, 4, 5, 6}) {
				t.Errorf("the slice of candidates contains the nodes %v after the call, want each of the nodes 1 to 6 once", all)
			}
		})
	}
}

func TestLastDrawnPairIsUsedIfAllNodesExceedContenderLimit(t *testing.T) {
	testSelector := &selector{nodes: newNodeTable(nil), requests: newRequestTable(), rng: rand.New(rand.NewPCG(1, 1))}
	candidates := newCandidates(2)
	candidates[0].node.tasks.unansweredAttempts, candidates[1].node.tasks.unansweredAttempts = 9, 8
	drawn := testSelector.drawPair(100, &placementRequest{}, candidates)
	if drawn.first.ID != 2 || drawn.second.ID != 1 {
		t.Errorf("the pair is node %d before node %d, want the node with fewer contenders first", drawn.first.ID, drawn.second.ID)
	}
}

// The selector filters the preferred nodes in the slice that holds all candidates. If some preferred nodes
// are saturated and the others have too many contenders, some nodes may be missing from this slice and others
// may appear twice in the second draw. docs/ROADMAP.md lists this as a known fault. A correction would change
// placements, so the test fixes the nodes that are drawn with 60 seeds.
func TestSecondDrawUsesReorderedCandidates(t *testing.T) {
	const want = "467564566454766576757746647565775465646644674565566656574655"
	var got strings.Builder
	for seed := range uint64(len(want)) {
		config := testConfig()
		config.Overcommit = Overcommit{Cores: 4, Memory: 4}
		nodes := testNodes(7)
		nodes[0].FreeCores = -16 // the cores are saturated, but overcommit leaves capacity
		nodes[3].FreeCores, nodes[3].FreeMemory = 1, 1
		placer := newTestPlacer(t, config, seed, nodes)
		for i := range 3 { // the nodes 1 to 3 have the cached program
			adoptTask(placer, TaskID(900+i), NodeID(i+1), 0)
		}
		placer.nodes.byID[2].tasks.unansweredAttempts, placer.nodes.byID[3].tasks.unansweredAttempts = 50, 50
		got.WriteByte(byte('0' + startedAttempt(t, arrive(placer, 100.1, newTaskOfService(5, 1, 0))).Node))
	}
	if got.String() != want {
		t.Errorf("drawn nodes, one digit for each seed:\n got %s\nwant %s", got.String(), want)
	}
}
