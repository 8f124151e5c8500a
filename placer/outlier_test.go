package placer

import (
	"math/rand/v2"
	"testing"
)

func TestSimultaneousFailuresCountAsOne(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for range 20 {
		placer.outliers.recordFailure(100, placer.nodes.byID[2])
	}
	if placer.nodes.byID[2].health.failures != 1 {
		t.Fatalf("20 simultaneous failures of a node were counted as %d failures, want 1", placer.nodes.byID[2].health.failures)
	}
	requireNodeAvoided(t, placer, 100.1, 2, "has just failed")
	for id := NodeID(1); id <= 4; id++ { // ejected nodes must be used if all nodes are ejected
		placer.nodes.byID[id].health.failures, placer.nodes.byID[id].health.ejectedUntil = 3, 200
	}
	requireOneAttempt(t, requestPlacement(placer, 100.2, newTestTask(99, 0)))
}

func TestTaskThatFailsOnTwoNodesEjectsNeither(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(6))
	for i := range 10 {
		at := 100 + 0.3*Seconds(i)
		firstAttempt := requireOneAttempt(t, requestPlacement(placer, at, newTestTask(i+1, 0)))
		errorEvent := Event{Kind: Ended, TaskID: firstAttempt.Task, Node: firstAttempt.Node, Attempt: firstAttempt.Attempt, Result: Errored}
		retry := requireOneAttempt(t, placer.Handle(at+0.01, errorEvent, nil))
		if node := placer.nodes.byID[firstAttempt.Node]; node.health.failures != 1 || retry.Node == firstAttempt.Node {
			t.Fatalf("after an error of its first attempt, the node has %d failures, want 1; the second attempt was made on node %d, want a node other than node %d", node.health.failures, retry.Node, firstAttempt.Node)
		}
		errorEvent.Node, errorEvent.Attempt = retry.Node, retry.Attempt
		placer.Handle(at+0.02, errorEvent, nil)
		for id, node := range placer.nodes.byID {
			if node.health.failures != 0 || node.health.ejectedUntil > at+0.02 {
				t.Fatalf("after a task has failed on two nodes, node %d is ejected or has failures (its failure count is %d), want no failures and no ejection", id, node.health.failures)
			}
		}
	}
}

// A node may start to drain before the node list shows it. A draining node stops its tasks, so its free
// capacity grows until it appears to be the emptiest node. If the node were not ejected, it would get all
// attempts and reject them.
func TestNodeThatStopsTasksToDrainIsEjected(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	adoptTask(placer, 900, 2, 0)
	endAttempt(placer, 100.1, Action{Task: 900}, Lost, Drained)
	for i := range 30 {
		if attempt := requireOneAttempt(t, requestPlacement(placer, 100.5, Task{ID: TaskID(i + 1), Cores: 1, Memory: 1, Deadline: 108})); attempt.Node == 2 {
			t.Fatal("an attempt was made on node 2, which has stopped a task because it is draining; want another node")
		}
	}
}

// A dead node appears to have free capacity, because its tasks are lost. If ejected nodes were used whenever
// the healthy nodes are full, requests would spend their limited number of attempts on dead nodes.
func TestEjectedNodesGetNoAttemptsIfHealthyNodesAreFull(t *testing.T) {
	nodes := testNodes(4)
	for i := range 3 {
		nodes[i].FreeCores = 0
	}
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	placer.outliers.recordFailure(100, placer.nodes.byID[4])
	requireNoAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 0)), "all nodes are full or ejected")
}

// After the failure of a rack, all nodes that the spread rule permits for a service may be in this rack. The
// tasks of the service must then wait, because attempts on the dead nodes of the rack would fail.
func TestEjectedNodesGetNoAttemptsIfSpreadRuleExcludesOthers(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(6)) // each rack has three nodes
	for i := range 3 {
		placer.Handle(100, Event{Kind: Adopted, Node: 1, Task: Task{ID: TaskID(900 + i), Class: 2, Service: 5}}, nil)
	}
	for id := NodeID(4); id <= 6; id++ {
		placer.outliers.recordFailure(100, placer.nodes.byID[id])
	}
	requireNoAttempt(t, requestPlacement(placer, 100.1, newTaskOfService(5, 1, 2)), "all nodes that the spread rule allows for the service are ejected")
}

// newTestDetector returns an outlier detector with a latency objective of 1 s.
func newTestDetector() *outlierDetector {
	return &outlierDetector{shortestObjective: 1, jitter: jitter{rng: rand.New(rand.NewPCG(1, 1))}}
}

func TestEjectionDoublesWithEachFailure(t *testing.T) {
	detector, node := newTestDetector(), newTrackedNode(1)
	now, mean := Seconds(100), Seconds(1)
	for failure := 1; failure <= maxFailures+2; failure++ {
		if !detector.recordFailure(now, node) {
			t.Fatalf("failure %d of the node was not counted, want each failure to be counted", failure)
		}
		if ejectionTime := node.health.ejectedUntil - now; ejectionTime < 0.8*mean || ejectionTime > 1.2*mean {
			t.Errorf("failure %d of the node ejects it for %v s, want about %v s", failure, ejectionTime, mean)
		}
		if failure < maxFailures {
			mean *= 2
		}
		now += 0.25
	}
	if node.health.failures != maxFailures {
		t.Errorf("the failure count of the node is %d, want the maximum of %d", node.health.failures, maxFailures)
	}
}

func TestSuccessCancelsOneFailureAtATime(t *testing.T) {
	detector, node := newTestDetector(), newTrackedNode(1)
	node.health = nodeHealth{failures: 3, ejectedUntil: 100}
	for _, step := range []struct {
		now      Seconds
		failures int
	}{{99.9, 3}, {100, 2}, {100.2, 2}, {100.25, 1}, {101, 0}, {102, 0}} {
		detector.recordSuccess(step.now, node)
		if node.health.failures != step.failures {
			t.Fatalf("after a success at the time %v, the failure count of the node is %d, want %d", step.now, node.health.failures, step.failures)
		}
	}
}

func TestAttemptsOnNodeWithFailuresAreLimited(t *testing.T) {
	for name, test := range map[string]struct {
		health             nodeHealth
		unansweredAttempts int
		idempotency        Idempotency
		want               bool
	}{
		"node is healthy":                              {nodeHealth{}, 5, NonIdempotent, true},
		"node is still ejected":                        {nodeHealth{failures: 1, ejectedUntil: 100.1}, 0, Idempotent, false},
		"ejection has ended, no attempt is unanswered": {nodeHealth{failures: 1, ejectedUntil: 100}, 0, Idempotent, true},
		"ejection has ended, an attempt is unanswered": {nodeHealth{failures: 1, ejectedUntil: 100}, 1, Idempotent, false},
		"ejection has ended, task is not idempotent":   {nodeHealth{failures: 1, ejectedUntil: 100}, 0, NonIdempotent, false},
	} {
		t.Run(name, func(t *testing.T) {
			node := newTrackedNode(1)
			node.health, node.tasks.unansweredAttempts = test.health, test.unansweredAttempts
			if got := newTestDetector().allowsAttempt(100, &Class{Idempotency: test.idempotency}, node); got != test.want {
				t.Errorf("allowsAttempt returned %v for the node, want %v", got, test.want)
			}
		})
	}
}

func TestEjectedNodesAreUsedIfTooFewAreHealthy(t *testing.T) {
	for name, test := range map[string]struct {
		healthyNodes, ejectedNodes, drainingNodes int // numbers of nodes; the healthy and ejected nodes are ready
		want                                      bool
	}{
		"all ready nodes are healthy":                         {4, 0, 0, false},
		"a quarter of the ready nodes are healthy":            {1, 3, 0, false},
		"fewer than a quarter of the ready nodes are healthy": {1, 4, 0, true},
		"many nodes are draining":                             {1, 3, 9, false},
		"there are no nodes":                                  {0, 0, 0, false},
		"all ready nodes are ejected":                         {0, 1, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			var nodes []*trackedNode
			add := func(count int, state NodeState, health nodeHealth) {
				for range count {
					node := newTrackedNode(NodeID(len(nodes)))
					node.State, node.health = state, health
					nodes = append(nodes, node)
				}
			}
			add(test.healthyNodes, Ready, nodeHealth{})
			add(test.ejectedNodes, Ready, nodeHealth{failures: 1, ejectedUntil: 101})
			add(test.drainingNodes, Draining, nodeHealth{})
			if got := newTestDetector().tooFewHealthy(100, &Class{}, nodes); got != test.want {
				t.Errorf("tooFewHealthy returned %v, want %v", got, test.want)
			}
		})
	}
}
