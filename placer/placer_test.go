package placer

import (
	"math"
	"strings"
	"testing"
)

func TestNewRejectsInvalidConfig(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"the configuration has no task classes": func(config *Config) { config.Classes = nil },
		"the configuration has no node types":   func(config *Config) { config.NodeTypes = nil },
		"number of peers 0":                     func(config *Config) { config.Peers.Total = 0 },
		"task class 0: latency objective NaN":   func(config *Config) { config.Classes[0].LatencyObjective = Seconds(math.NaN()) },
		"node type 0: cores 0":                  func(config *Config) { config.NodeTypes[0].Cores = 0 },
		"index of this scheduler (self) 2":      func(config *Config) { config.Peers.Self = config.Peers.Total },
		"node cost -1":                          func(config *Config) { config.Costs.Node = -1 },
		"overload window NaN":                   func(config *Config) { config.SlowStart.OverloadWindow = Seconds(math.NaN()) },
	} {
		t.Run(want, func(t *testing.T) {
			config := testConfig()
			invalidate(&config)
			if _, err := New(config, 1); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("New returned error %v, want an error that contains %q", err, want)
			}
		})
	}
}

func TestNonIdempotentTaskIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	for _, result := range []Result{Errored, TimedOut, Lost, Cancelled} {
		placer := newTestPlacer(t, testConfig(), 3, testNodes(6))
		attempt := requireOneAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 1)))
		actions := endAttempt(placer, 100.5, attempt, result, NoReason)
		if len(actionsOfKind(actions, StartAttempt))+len(actionsOfKind(actions, Reject)) != 0 || len(actionsOfKind(actions, Fail)) != 1 {
			t.Errorf("after an attempt whose Result has the value %d, the Placer returned the actions %+v, want one Fail, no Reject and no StartAttempt", result, actions)
		}
	}
	for _, result := range []Result{Rejected, Unreachable, Expired} {
		placer := newTestPlacer(t, testConfig(), 3, testNodes(6))
		attempt := requireOneAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 1)))
		if actions := endAttempt(placer, 100.5, attempt, result, WrongNode); len(actionsOfKind(actions, StartAttempt)) != 1 {
			t.Errorf("after an attempt whose Result has the value %d and proves that the task did not start, the Placer returned the actions %+v, want one StartAttempt", result, actions)
		}
	}
}

func TestIdempotentByKeyRetryStaysInDedupDomainAndWindow(t *testing.T) {
	for seed := range 100 {
		placer := newTestPlacer(t, testConfig(), uint64(seed), testNodes(9))
		firstAttempt := requireOneAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 2)))
		retry := requireOneAttempt(t, endAttempt(placer, 101, firstAttempt, TimedOut, NoReason))
		if (retry.Node-1)/3 != (firstAttempt.Node-1)/3 {
			t.Fatalf("seed %d: the retry after an unknown outcome was made outside the rack of the first attempt, want a node in this rack", seed)
		}
		// At the time 104.2, the DedupWindow of 4 s has ended.
		actions := endAttempt(placer, 104.2, retry, Rejected, InsufficientCores)
		if len(actionsOfKind(actions, StartAttempt))+len(actionsOfKind(actions, Reject)) != 0 || len(actionsOfKind(actions, Fail)) != 1 {
			t.Fatalf("seed %d: after the end of DedupWindow, the Placer returned the actions %+v, want one Fail, no Reject and no StartAttempt", seed, actions)
		}
	}
}

func TestInvalidTasksAreRejectedAtOnce(t *testing.T) {
	placer := newTestPlacer(t, testConfig(), 1, testNodes(4))
	for i, invalidate := range []func(*Task){
		func(task *Task) { task.Cores = math.NaN() }, func(task *Task) { task.Memory = -1 }, func(task *Task) { task.Class = 99 },
		func(task *Task) { task.Cores = math.Inf(1) }, func(task *Task) { task.Deadline = 99 }, func(task *Task) { task.Deadline = Seconds(math.NaN()) },
	} {
		task := newTestTask(i+1, 0)
		invalidate(&task)
		actions := requestPlacement(placer, 100.1, task)
		if len(actionsOfKind(actions, StartAttempt)) != 0 || len(actionsOfKind(actions, Reject)) != 1 {
			t.Errorf("invalid task with index %d: the Placer returned the actions %+v, want one Reject and no StartAttempt", i, actions)
		}
	}
}

// If nodes answer only when a task starts, a late answer may just mean that the task takes long to start. A
// timeout that depends on the learned answer times could end attempts whose tasks are still starting. The
// timeout must instead be a fixed fraction of the deadline of the task class.
func TestAttemptTimeoutIfAcknowledgedOnStart(t *testing.T) {
	config := testConfig()
	config.NodeBehavior.AcknowledgesOnStart = true
	placer := newTestPlacer(t, config, 1, testNodes(4))
	for range 50 {
		placer.latency.answerTimes[0].addSample(0.05, learningRate)
	}
	if attempt := requireOneAttempt(t, requestPlacement(placer, 100.1, newTestTask(1, 0))); attempt.Until < 100.1+0.69*5 {
		t.Fatalf("the attempt times out after %.2f s, want at least 3.45 s, which is 69 percent of the 5 s for which the client waits", attempt.Until-100.1)
	}
}
