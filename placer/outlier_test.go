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
		t.Fatalf("20 failures at the same time count as %d failures, want 1", placer.nodes.byID[2].health.failures)
	}
	requireNodeAvoided(t, placer, 100.1, 2, "has just failed")
	for id := NodeID(1); id <= 4; id++ { // ejected nodes must be used if all nodes are ejected
		placer.nodes.byID[id].health.failures, placer.nodes.byID[id].health.ejectedUntil = 3, 200
	}
	startedAttempt(t, arrive(placer, 100.2, newTestTask(99, 0)))
}

func TestTaskThatFailsOnTwoNodesEjectsNeither(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(6))
	for i := range 10 {
		at := 100 + 0.3*Seconds(i)
		sent := startedAttempt(t, arrive(placer, at, newTestTask(i+1, 0)))
		failed := Event{Kind: Ended, TaskID: sent.Task, Node: sent.Node, Attempt: sent.Attempt, Result: Errored}
		retried := startedAttempt(t, placer.Handle(at+0.01, failed, nil))
		if node := placer.nodes.byID[sent.Node]; node.health.failures != 1 || retried.Node == sent.Node {
			t.Fatalf("after one error, the node has %d failures, want 1; the next attempt is on node %d, the first was on node %d", node.health.failures, retried.Node, sent.Node)
		}
		failed.Node, failed.Attempt = retried.Node, retried.Attempt
		placer.Handle(at+0.02, failed, nil)
		for id, node := range placer.nodes.byID {
			if node.health.failures != 0 || node.health.ejectedUntil > at+0.02 {
				t.Fatalf("node %d has %d failures, or is ejected, because of a task that fails on every node", id, node.health.failures)
			}
		}
	}
}

// A node may start to drain before the node list shows it. Such a node gains free capacity with each task
// that it stops. If it were not ejected, it would receive all attempts.
func TestNodeThatStopsTasksToDrainIsEjected(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	adoptTask(placer, 900, 2, 0)
	endAttempt(placer, 100.1, Action{Task: 900}, Lost, Drained)
	for i := range 30 {
		if sent := startedAttempt(t, arrive(placer, 100.5, Task{ID: TaskID(i + 1), Cores: 1, Memory: 1, Deadline: 108})); sent.Node == 2 {
			t.Fatal("an attempt was made on a node that has stopped a task to drain")
		}
	}
}

// A dead node appears to have free capacity. If ejected nodes were used whenever the healthy nodes are full,
// the requests would use up their attempts on dead nodes.
func TestFullHealthyNodesDoNotSendTasksToDeadNodes(t *testing.T) {
	nodes := testNodes(4)
	for i := range 3 {
		nodes[i].FreeCores = 0
	}
	placer := newTestPlacer(t, testConfig(), 1, nodes)
	placer.outliers.recordFailure(100, placer.nodes.byID[4])
	requireNoAttempt(t, arrive(placer, 100.1, newTestTask(1, 0)), "all nodes are full or ejected")
}

// When a rack fails, the spread rule may leave only dead nodes to a service. The tasks of the service must
// then wait for healthy nodes.
func TestSpreadRuleDoesNotSendTasksToDeadNodes(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(6)) // each rack has three nodes
	for i := range 3 {
		placer.Handle(100, Event{Kind: Adopted, Node: 1, Task: Task{ID: TaskID(900 + i), Class: 2, Service: 5}}, nil)
	}
	for id := NodeID(4); id <= 6; id++ {
		placer.outliers.recordFailure(100, placer.nodes.byID[id])
	}
	requireNoAttempt(t, arrive(placer, 100.1, newTaskOfService(5, 1, 2)), "all nodes that the spread rule allows are ejected")
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
			t.Fatalf("failure %d of the node was not counted", failure)
		}
		if ejected := node.health.ejectedUntil - now; ejected < 0.8*mean || ejected > 1.2*mean {
			t.Errorf("failure %d ejects the node for %v s, want about %v s", failure, ejected, mean)
		}
		if failure < maxFailures {
			mean *= 2
		}
		now += 0.25
	}
	if node.health.failures != maxFailures {
		t.Errorf("%d failures were counted, want %d", node.health.failures, maxFailures)
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
			t.Fatalf("at the time %v the node has %d failures, want %d", step.now, node.health.failures, step.failures)
		}
	}
}

func TestEjectedNodeIsProbed(t *testing.T) {
	for name, test := range map[string]struct {
		health      nodeHealth
		unanswered  int
		idempotency Idempotency
		want        bool
	}{
		"healthy node":                                 {nodeHealth{}, 5, NonIdempotent, true},
		"node is still ejected":                        {nodeHealth{failures: 1, ejectedUntil: 100.1}, 0, Idempotent, false},
		"first attempt after the ejection":             {nodeHealth{failures: 1, ejectedUntil: 100}, 0, Idempotent, true},
		"second attempt while the first is unanswered": {nodeHealth{failures: 1, ejectedUntil: 100}, 1, Idempotent, false},
		"non-idempotent task after the ejection":       {nodeHealth{failures: 1, ejectedUntil: 100}, 0, NonIdempotent, false},
	} {
		t.Run(name, func(t *testing.T) {
			node := newTrackedNode(1)
			node.health, node.tasks.unansweredAttempts = test.health, test.unanswered
			if got := newTestDetector().permits(100, &Class{Idempotency: test.idempotency}, node); got != test.want {
				t.Errorf("attempt on the node is permitted: got %v, want %v", got, test.want)
			}
		})
	}
}

func TestEjectedNodesAreUsedIfTooFewAreHealthy(t *testing.T) {
	for name, test := range map[string]struct {
		healthy, ejected, draining int // numbers of healthy, ejected and draining nodes
		want                       bool
	}{
		"all ready nodes are healthy":                         {4, 0, 0, false},
		"a quarter of the ready nodes are healthy":            {1, 3, 0, false},
		"fewer than a quarter of the ready nodes are healthy": {1, 4, 0, true},
		"draining nodes are not counted":                      {1, 3, 9, false},
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
			add(test.healthy, Ready, nodeHealth{})
			add(test.ejected, Ready, nodeHealth{failures: 1, ejectedUntil: 101})
			add(test.draining, Draining, nodeHealth{})
			if got := newTestDetector().tooFewHealthy(100, &Class{}, nodes); got != test.want {
				t.Errorf("too few nodes are healthy: got %v, want %v", got, test.want)
			}
		})
	}
}
