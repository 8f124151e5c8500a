package placer

import (
	"math"
	"strings"
	"testing"
)

func TestNewRejectsInvalidConfig(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"classes":           func(config *Config) { config.Classes = nil },
		"node types":        func(config *Config) { config.NodeTypes = nil },
		"peers":             func(config *Config) { config.Peers.Total = 0 },
		"latency objective": func(config *Config) { config.Classes[0].LatencyObjective = Seconds(math.NaN()) },
		"cores":             func(config *Config) { config.NodeTypes[0].Cores = 0 },
		"self":              func(config *Config) { config.Peers.Self = config.Peers.Total },
		"node cost":         func(config *Config) { config.Costs.Node = -1 },
		"overload window":   func(config *Config) { config.SlowStart.OverloadWindow = Seconds(math.NaN()) },
	} {
		t.Run(want, func(t *testing.T) {
			config := testConfig()
			invalidate(&config)
			if _, err := New(config, 1); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one that names %s", err, want)
			}
		})
	}
}

func TestNonIdempotentTaskIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	for _, result := range []Result{Errored, TimedOut, Lost, Cancelled} {
		placer := newTestPlacer(t, testConfig(), 3, testNodes(6))
		sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 1)))
		actions := endAttempt(placer, 100.5, sent, result, NoReason)
		if len(actionsOfKind(actions, StartAttempt))+len(actionsOfKind(actions, Reject)) != 0 || len(actionsOfKind(actions, Fail)) != 1 {
			t.Errorf("result %d: %+v", result, actions)
		}
	}
	for _, result := range []Result{Rejected, Unreachable, Expired} {
		placer := newTestPlacer(t, testConfig(), 3, testNodes(6))
		sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 1)))
		if actions := endAttempt(placer, 100.5, sent, result, WrongNode); len(actionsOfKind(actions, StartAttempt)) != 1 {
			t.Errorf("result %d proves that nothing ran, got %+v", result, actions)
		}
	}
}

func TestIdempotentByKeyRetryStaysInDedupDomainAndWindow(t *testing.T) {
	for seed := range 100 {
		placer := newTestPlacer(t, testConfig(), uint64(seed), testNodes(9))
		sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 2)))
		resent := startedAttempt(t, endAttempt(placer, 101, sent, TimedOut, NoReason))
		if (resent.Node-1)/3 != (sent.Node-1)/3 {
			t.Fatalf("seed %d: repeat left the rack", seed)
		}
		actions := endAttempt(placer, 104.2, resent, Rejected, InsufficientCores) // past what the rack remembers
		if len(actionsOfKind(actions, StartAttempt))+len(actionsOfKind(actions, Reject)) != 0 || len(actionsOfKind(actions, Fail)) != 1 {
			t.Fatalf("seed %d: after the window: %+v", seed, actions)
		}
	}
}

func TestInvalidTasksAreRejectedAtOnce(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for i, invalidate := range []func(*Task){
		func(task *Task) { task.Cores = math.NaN() }, func(task *Task) { task.Memory = -1 }, func(task *Task) { task.Class = 99 },
		func(task *Task) { task.Cores = math.Inf(1) }, func(task *Task) { task.Deadline = 99 }, func(task *Task) { task.Deadline = Seconds(math.NaN()) },
	} {
		task := newTask(i+1, 0)
		invalidate(&task)
		actions := arrive(placer, 100.1, task)
		if len(actionsOfKind(actions, StartAttempt)) != 0 || len(actionsOfKind(actions, Reject)) != 1 {
			t.Errorf("case %d: %+v", i, actions)
		}
	}
}

// A slow start is not an unresponsive node.
func TestAttemptTimeoutWhereAcknowledgedOnStart(t *testing.T) {
	config := testConfig()
	config.NodeBehavior.AcknowledgesOnStart = true
	placer := newTestPlacer(t, config, 1, testNodes(4))
	for range 50 {
		placer.latency.answerTimes[0].add(0.05, learningRate)
	}
	if sent := startedAttempt(t, arrive(placer, 100.1, newTask(1, 0))); sent.Until < 100.1+0.69*5 {
		t.Fatalf("attempt times out after %.2f s", sent.Until-100.1)
	}
}
