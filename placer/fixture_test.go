package placer

import "testing"

// testConfig returns the configuration of one of two schedulers. It has a task class for each kind of
// idempotency and a task class that requires a node type.
func testConfig() Config {
	return Config{
		Peers: Peers{Total: 2, StickyServices: true},
		Classes: []Class{
			{LatencyObjective: 1, Deadline: 5, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1, Weight: 1},
			{
				LatencyObjective: 1, Deadline: 6, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1, Weight: 3,
				Idempotency: NonIdempotent, SpreadDomain: NodeDomain, MaxPerDomain: 2,
			},
			{
				LatencyObjective: 1, Deadline: 6, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1, Weight: 3,
				Idempotency: IdempotentByKey, DedupDomain: RackDomain, DedupWindow: 4, SpreadDomain: RackDomain, MaxPerDomain: 3,
			},
			{LatencyObjective: 1, Deadline: 5, NodeType: 1, SaturationThreshold: 1, DegradationRange: 1, Weight: 1},
		},
		NodeTypes:    []NodeType{{Cores: 16, Memory: 32}, {Cores: 32, Memory: 64}},
		NodeBehavior: NodeBehavior{ListShowsCapacity: true},
		Overcommit:   Overcommit{Cores: 1, Memory: 1},
		SlowStart:    SlowStart{MinPace: 0.2, Duration: 10, OverloadMultiple: 2, OverloadWindow: 2, MaxAttempts: 8},
		Attempts:     Attempts{Max: 4, ConnectTimeout: 0.25, AnswerGrace: 0.01, DrainGrace: 1},
		Retry:        Retry{UnknownOutcomeWait: 3},
		Discovery:    Discovery{MaxPollInterval: 10},
	}
}

// testNodes returns ready nodes of alternating types and zones. Each rack has three nodes, and all capacity
// is free.
func testNodes(count int) []Node {
	var nodes []Node
	for i := range count {
		nodeType := i % 2
		nodes = append(nodes, Node{ID: NodeID(i + 1), Rack: i / 3, Zone: i % 2, NodeType: nodeType, State: Ready,
			FreeCores: float64(16 * (nodeType + 1)), FreeMemory: float64(32 * (nodeType + 1))})
	}
	return nodes
}

// newTestPlacer returns a Placer that received a node list at the time 100.
func newTestPlacer(tb testing.TB, config Config, seed uint64, nodes []Node) *Placer {
	tb.Helper()
	return startPlacer(tb, 100, config, seed, nodes)
}

// startPlacer returns a Placer that received a node list at the given time.
func startPlacer(tb testing.TB, now Seconds, config Config, seed uint64, nodes []Node) *Placer {
	tb.Helper()
	placer, err := New(config, seed)
	if err != nil {
		tb.Fatal(err)
	}
	placer.Handle(now, Event{Kind: NodesListed, List: CachedList, Nodes: nodes}, nil)
	return placer
}

// newTestTask returns a task with the deadline 105. The IDs of the task and of its service are equal.
func newTestTask(id, class int) Task { return newTaskWithDeadline(id, class, 105) }

func newTaskWithDeadline(id, class int, deadline Seconds) Task {
	return Task{ID: TaskID(id), Class: class, Service: ServiceID(id), Cores: 1, Memory: 1, Deadline: deadline}
}

// newTaskOfService returns a task of the given service with the deadline 105.
func newTaskOfService(service ServiceID, id, class int) Task {
	task := newTestTask(id, class)
	task.Service = service
	return task
}

// adoptTask tells the Placer at the time 100 that a task of service 5 was found running on a node.
func adoptTask(placer *Placer, id TaskID, node NodeID, class int) {
	task := Task{ID: id, Class: class, Service: 5, Cores: 1, Memory: 1}
	placer.Handle(100, Event{Kind: Adopted, Node: node, Task: task}, nil)
}

// requestPlacement sends a placement request for a task to the Placer and returns the resulting actions.
func requestPlacement(placer *Placer, now Seconds, task Task) []Action {
	return placer.Handle(now, Event{Kind: Arrived, Task: task}, nil)
}

// actionsOfKind returns the actions of the given kind.
func actionsOfKind(actions []Action, kind ActionKind) []Action {
	var matchingActions []Action
	for _, action := range actions {
		if action.Kind == kind {
			matchingActions = append(matchingActions, action)
		}
	}
	return matchingActions
}

// requireOneAttempt returns the only StartAttempt action among the given actions. It fails the test if there
// is not exactly one.
func requireOneAttempt(tb testing.TB, actions []Action) Action {
	tb.Helper()
	attempts := actionsOfKind(actions, StartAttempt)
	if len(attempts) != 1 {
		tb.Fatalf("the Placer returned the actions %+v, want exactly one StartAttempt action", actions)
	}
	return attempts[0]
}

// requireNoAttempt fails the test if the actions start an attempt. The parameter situation says why no
// attempt must be made. It completes the words "an attempt was made although" in the failure message.
func requireNoAttempt(tb testing.TB, actions []Action, situation string) {
	tb.Helper()
	if len(actionsOfKind(actions, StartAttempt)) != 0 {
		tb.Fatalf("an attempt was made although %s; the Placer returned the actions %+v, want no StartAttempt action", situation, actions)
	}
}

// requireNodeAvoided requests the placement of 30 tasks of different services. It fails the test if a task is
// attempted on the node. The parameter nodeDescription completes the words "a node that" in the failure
// message.
func requireNodeAvoided(tb testing.TB, placer *Placer, now Seconds, node NodeID, nodeDescription string) {
	tb.Helper()
	for i := range 30 {
		if attempt := requireOneAttempt(tb, requestPlacement(placer, now, newTestTask(i+1, 0))); attempt.Node == node {
			tb.Fatalf("the attempt for request %d was made on a node that %s; want another node", i, nodeDescription)
		}
	}
}

// endAttempt tells the Placer the outcome of an attempt and returns the resulting actions.
func endAttempt(placer *Placer, now Seconds, attempt Action, result Result, reason Reason) []Action {
	return placer.Handle(now, Event{Kind: Ended, TaskID: attempt.Task, Attempt: attempt.Attempt, Node: attempt.Node, Result: result, Reason: reason}, nil)
}

// bindAttempt tells the Placer that a node accepted an attempt.
func bindAttempt(placer *Placer, now Seconds, attempt Action) {
	placer.Handle(now, Event{Kind: Bound, TaskID: attempt.Task, Attempt: attempt.Attempt, Node: attempt.Node, Elapsed: 0.01}, nil)
}
