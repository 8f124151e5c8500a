package placer

import (
	"math/rand/v2"
	"testing"
)

func TestReplacedNodesAreEvicted(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for i := range 2000 {
		now := 100 + Seconds(i)
		terminatedNode, replacement := Node{ID: NodeID(i + 1), State: Terminated}, testNodes(1)[0]
		replacement.ID = NodeID(i + 5)
		placer.Handle(now, Event{Kind: NodesListed, List: Changes, Nodes: []Node{terminatedNode, replacement}}, nil)
		for token, timer := range placer.timers.pendingTimers {
			if timer.kind == timerConsolidate {
				placer.Handle(now, Event{Kind: TimerFired, Token: token}, nil)
				break
			}
		}
	}
	if nodeCount := len(placer.nodes.allNodes); Seconds(nodeCount) > 4+nodeRetention+2 || len(placer.nodes.byID) != nodeCount {
		t.Fatalf("after 2000 replacements of nodes, the node table has %d records in allNodes and %d in byID; want equal numbers, and no records of nodes that terminated more than nodeRetention ago", nodeCount, len(placer.nodes.byID))
	}
}

func TestNodeListIsPolledAgainAfterFailure(t *testing.T) {
	config := testConfig()
	config.Discovery.MustPoll = true
	placer, err := New(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	actions := placer.Handle(100, Event{Kind: NodesListed, List: CachedList, Nodes: testNodes(2)}, nil)
	if len(actionsOfKind(actions, WatchNodes)) != 1 {
		t.Fatal("the Placer did not poll the node list when it handled its first event, want one poll")
	}
	now := Seconds(100)
	for range 5 { // after each failed poll, the Placer must poll again within MaxPollInterval
		actions = placer.Handle(now, Event{Kind: NodesListed, List: ListFailed}, nil)
		failedAt := now
		for len(actionsOfKind(actions, WatchNodes)) == 0 {
			timers := actionsOfKind(actions, SetTimer)
			if len(timers) != 1 {
				t.Fatalf("after a failed poll, the Placer returned the actions %+v, want one timer for the next poll", actions)
			}
			now += timers[0].After
			actions = placer.Handle(now, Event{Kind: TimerFired, Token: timers[0].Token}, nil)
			if now-failedAt > config.Discovery.MaxPollInterval {
				t.Fatalf("%.1f s after a failed poll, the Placer has not polled the node list again, want a poll within MaxPollInterval", now-failedAt)
			}
		}
	}
}

// newTestPoller returns a poller whose polls are at most 12 s apart, and a function that checks what the
// poller did since the previous check. The function fails the test if the poller polled the node list and
// wantPoll is false, or if it did not poll the list and wantPoll is true. It returns the delay of the timer
// that the poller started.
func newTestPoller() (*nodeListPoller, func(t *testing.T, wantPoll bool) Seconds) {
	actions := &actionList{}
	poller := &nodeListPoller{
		maxInterval:       12,
		shortestObjective: 1,
		actions:           actions,
		timers:            newTimerTable(actions),
		jitter:            jitter{rng: rand.New(rand.NewPCG(1, 1))},
	}
	return poller, func(t *testing.T, wantPoll bool) Seconds {
		t.Helper()
		takenActions := actions.takeActions()
		if hasPolled := len(actionsOfKind(takenActions, WatchNodes)) == 1; hasPolled != wantPoll {
			t.Fatalf("the value of hasPolled is %v, want %v; it is true if the poller polled the node list since the previous check", hasPolled, wantPoll)
		}
		timers := actionsOfKind(takenActions, SetTimer)
		if len(timers) != 1 || timers[0].Token != poller.timerToken {
			t.Fatalf("the poller returned the actions %+v, want one timer with the token that the poller has stored", takenActions)
		}
		return timers[0].After
	}
}

func TestPollBackoffDoubles(t *testing.T) {
	poller, takeTimer := newTestPoller()
	// The backoff is at most half of the poller's maxInterval of 12 s.
	for failure, mean := range []Seconds{2, 4, 6, 6, 6, 6, 6} {
		poller.handleFailedPoll()
		if after := takeTimer(t, false); after < 0.8*mean || after > 1.2*mean {
			t.Errorf("the backoff is %v s after failed poll %d, want about %v s", after, failure+1, mean)
		}
	}
	poller.recordNodeList(100)
	poller.handleFailedPoll()
	if after := takeTimer(t, false); after > 2.4 {
		t.Errorf("a node list arrived, and the next poll failed; the backoff after this poll is %v s, want at most 2.4 s", after)
	}
}

func TestPollIsRepeatedAfterFailureOrMissingList(t *testing.T) {
	for name, test := range map[string]struct {
		listArrivesAt Seconds // time at which a node list arrives; 0 if none arrives
		pollFails     bool    // the poll fails before the timer of the poller fires
		timerFiresAt  Seconds // time at which the timer of the poller fires
		wantPoll      bool    // the poller must poll the node list again when the timer fires
	}{
		"node list arrived less than a third of maxInterval ago": {101, false, 104.9, false},
		"no node list arrived for a third of maxInterval":        {101, false, 105.1, true},
		"poll has been unanswered for less than 1 s":             {0, false, 100.9, false},
		"poll has been unanswered for more than 1 s":             {0, false, 101.1, true},
		"poll failed and was sent less than 1 s ago":             {0, true, 100.9, false},
		"poll failed and was sent more than 1 s ago":             {0, true, 101.1, true},
		"poll failed after a node list arrived":                  {100.5, true, 101.1, true},
		"node list arrived within 1 s of the poll":               {100.5, false, 101.1, false},
	} {
		t.Run(name, func(t *testing.T) {
			poller, takeTimer := newTestPoller()
			poller.requestNodeList(100)
			takeTimer(t, true)
			if test.listArrivesAt > 0 {
				poller.recordNodeList(test.listArrivesAt)
			}
			if test.pollFails {
				poller.handleFailedPoll()
				takeTimer(t, false)
			}
			poller.handleTimer(test.timerFiresAt, poller.timerToken-1) // an outdated timer must have no effect
			if actions := poller.actions.takeActions(); len(actions) != 0 {
				t.Fatalf("an outdated timer led to the actions %+v, want none", actions)
			}
			poller.handleTimer(test.timerFiresAt, poller.timerToken)
			takeTimer(t, test.wantPoll)
		})
	}
}

func TestNodeTableAppliesLists(t *testing.T) {
	entry := func(id NodeID, state NodeState) Node { return Node{ID: id, State: state} }
	for name, test := range map[string]struct {
		kind       ListKind
		entries    []Node
		wantStates []NodeState // expected states of the nodes with the IDs 1, 2 and so on
	}{
		"full list does not name node 1":    {FullList, []Node{entry(2, Ready)}, []NodeState{Terminated, Ready}},
		"cached list does not name node 1":  {CachedList, []Node{entry(2, Draining)}, []NodeState{Terminated, Draining}},
		"list of changes names only node 2": {Changes, []Node{entry(2, Draining)}, []NodeState{Ready, Draining}},
		"list of changes names a new node":  {Changes, []Node{entry(3, Ready)}, []NodeState{Ready, Ready, Ready}},
		"full list does not name any node":  {FullList, nil, []NodeState{Terminated, Terminated}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newNodeTable(nil)
			table.applyList(FullList, []Node{entry(1, Ready), entry(2, Ready)})
			table.applyList(test.kind, test.entries)
			for i, want := range test.wantStates {
				if got := table.byID[NodeID(i+1)].State; got != want {
					t.Errorf("node %d has state %v, want %v", i+1, got, want)
				}
			}
			if len(table.allNodes) != len(test.wantStates) || len(table.byID) != len(test.wantStates) {
				t.Errorf("the node table has %d nodes in allNodes and %d in byID, want %d in each", len(table.allNodes), len(table.byID), len(test.wantStates))
			}
		})
	}
}

func TestRestartResetsLoadAndHealth(t *testing.T) {
	table := newNodeTable(nil)
	table.applyList(FullList, []Node{{ID: 1, StartedAt: 50}})
	node := table.byID[1]
	node.health = nodeHealth{failures: 2, ejectedUntil: 200}
	node.load.recordRejection(100)
	node.load.setReport(100, &Report{})
	node.load.taskEnded(100, &Task{})
	node.tasks.cacheProgram(7)
	table.applyList(Changes, []Node{{ID: 1, StartedAt: 50}})
	if node.health.failures != 2 || !node.load.hasReport || !node.tasks.hasProgram(7) {
		t.Error("the load, health or cached programs of a node were reset, although the node did not restart; want no change")
	}
	table.applyList(Changes, []Node{{ID: 1, StartedAt: 60}})
	if node.health != (nodeHealth{}) || node.load.hasReport || node.load.rejectedRecently(100) ||
		len(node.load.recentChanges) != 0 || node.tasks.hasProgram(7) {
		t.Errorf("after the restart of a node, its recorded health is %+v and its recorded load is %+v; want both reset and no cached programs", node.health, node.load)
	}
}
