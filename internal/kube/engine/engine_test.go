package engine

import (
	"errors"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/control/admission"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// TestWarmupUsesOwnClock: the start of a node is taken by the scheduler's clock. A node whose clock is behind must warm up after a start,
// and one whose clock is ahead must not warm up for ever.
func TestWarmupUsesOwnClock(t *testing.T) {
	const relistedAt = listedAt + 100
	for _, test := range []struct {
		name          string
		first, second *corev1.Node // as listed at listedAt and at relistedAt
		want          placer.Seconds
	}{
		{"long up", listedNode("a", 0), listedNode("a", 0), 0},
		{"restarted, clock behind", listedNode("a", 0), listedNode("b", 1050), relistedAt},
		{"restarted, clock ahead", listedNode("a", 0), listedNode("b", 5000), relistedAt},
		{"there before us, clock ahead", listedNode("a", 5000), listedNode("a", 5000), listedAt},
		{"there before us", listedNode("a", 990), listedNode("a", 990), 990},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t)
			engine.NodesListed(listedAt, FullList, []*corev1.Node{test.first}, nil)
			engine.NodesListed(relistedAt, Changes, []*corev1.Node{test.second}, nil)
			if got := engine.nodes.getByName(nodeName).listedStartedAt; got != test.want {
				t.Errorf("started at %v, want %v", got, test.want)
			}
		})
	}
}

// TestLateListWithEarlierIncarnation: a list may be late. An incarnation that the node itself has left does not end the present one.
func TestLateListWithEarlierIncarnation(t *testing.T) {
	engine := newEngine(t)
	engine.NodesListed(1000, FullList, []*corev1.Node{listedNode("a", 0)}, nil)
	engine.NodePods(1001, nodeName, "a", 1, nil)
	engine.NodePods(1010, nodeName, "b", 1, nil)

	engine.NodesListed(1011, Changes, []*corev1.Node{listedNode("a", 0)}, nil)
	engine.nodes.observeIncarnation(engine.nodes.getByName(nodeName), "a")

	if got := engine.nodes.getByName(nodeName).incarnation; got != "b" {
		t.Errorf("the node is taken back to incarnation %q", got)
	}
}

// TestStopAnsweredByAnotherIncarnation: a node that does not have a task says so of its present incarnation only. If the attempt was sent to
// an earlier one it may have run there, and a task that must not run twice is not requested again.
func TestStopAnsweredByAnotherIncarnation(t *testing.T) {
	const end = createdAt + 59
	for _, test := range []struct {
		name        string
		incarnation string // of the node that answers the stop
		retried     bool
	}{
		{"same incarnation", "a", true},
		{"another incarnation", "b", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t, func(config *Config) {
				config.Placer.Classes[0].Idempotency = placer.NonIdempotent
				config.Placer.Classes[0].Deadline = 2
				config.Placer.Overcommit = placer.Overcommit{Cores: 2, Memory: 2}
				config.Placer.SlowStart = placer.SlowStart{}
			})
			createJobOnOneNode(t, engine, 1)

			attempts := 0 // none is answered
			for now := createdAt; now < end; {
				for _, effect := range engine.Ready(nil) {
					switch effect.Kind {
					case SendAttempt:
						attempts++
					case StopTask:
						engine.StopDone(now, StopAnswer{
							UID:         effect.UID,
							Node:        effect.Node,
							Attempt:     effect.Attempt,
							Answered:    true,
							Incarnation: test.incarnation,
						})
					}
				}
				now = min(engine.NextWake(), end)
				engine.Tick(now)
			}

			if (attempts > 1) != test.retried {
				t.Errorf("%d attempts", attempts)
			}
		})
	}
}

// TestFinishedJobsAreEvictedForNewOnes: finished Jobs are removed for new ones, the oldest first, but not before their outcome could be read.
func TestFinishedJobsAreEvictedForNewOnes(t *testing.T) {
	engine := newEngine(t, func(config *Config) { config.MaxPods, config.MaxObjects = 100, 1<<30 })
	create := func(now placer.Seconds, name string) error {
		job := newJob(name, 60)
		noRetries := int32(0)
		job.Spec.BackoffLimit = &noRetries
		_, err := engine.CreateJob(now, job, false)
		for range 10 {
			engine.Tick(now)
		}
		return err
	}
	now := placer.Seconds(1000)
	if err := create(now, "a"); err != nil {
		t.Fatal(err)
	}
	if err := create(now, "b"); !errors.Is(err, ErrTooMany) {
		t.Fatalf("120 of 100 Pods: %v", err)
	}
	// There is no node: all are rejected at their deadline.
	for ; engine.OpenTasks() > 0 && now < 1100; now++ {
		engine.Tick(now)
	}

	if err := create(now, "b"); !errors.Is(err, ErrTooMany) {
		t.Fatalf("a Job that has just ended was evicted: %v", err)
	}
	if err := create(now+31, "b"); err != nil {
		t.Fatalf("a Job that ended long ago was not evicted: %v", err)
	}
	if engine.Store().Get(store.Jobs, defaultNamespace, "a") != nil {
		t.Error("the Job that ended is still there")
	}
}

// TestJobThatNeverFitsIsInvalid: a Job that takes more than all memory for objects would not fit later either.
func TestJobThatNeverFitsIsInvalid(t *testing.T) {
	engine := newEngine(t, func(config *Config) { config.MaxPods, config.MaxObjects = 100, 1<<30 })
	big := newJob("big", 100)
	big.Spec.Template.Annotations = map[string]string{"x": strings.Repeat("x", 4<<20)}

	_, err := engine.CreateJob(createdAt, big, false)

	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("a Job of 400 MB: %v", err)
	}
}

// TestStopWhileTaskAwaitsRerun: a task that ended without success is started again by a timer. If the engine is stopped before that timer
// fires, the new Pod gets its final outcome and nothing is sent for it.
func TestStopWhileTaskAwaitsRerun(t *testing.T) {
	engine := newEngine(t)
	createJobOnOneNode(t, engine, 1)
	sent := takeAttempts(engine)
	now := tickUntil(engine, createdAt, 1010, func() bool {
		sent = append(sent, takeAttempts(engine)...)
		return len(sent) > 0
	})
	if len(sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(sent))
	}
	running := sent[0].Pod.DeepCopy()
	running.Status.Phase = corev1.PodRunning
	engine.AttemptDone(now, AttemptAnswer{
		UID:         sent[0].UID,
		Node:        nodeName,
		Attempt:     sent[0].Attempt,
		Accepted:    true,
		Incarnation: "a",
		Revision:    2,
		Pod:         running,
	})
	now++
	failed := running.DeepCopy()
	failed.ResourceVersion = "3"
	failed.Status.Phase = corev1.PodFailed
	engine.NodePod(now, nodeName, failed, false)
	if open := engine.OpenTasks(); open != 0 {
		t.Fatalf("%d tasks are open before the retry, want 0", open)
	}

	engine.Stop(now)
	created := engine.Stats.PodsCreated
	now = tickUntil(engine, now, 1100, func() bool { return engine.Stats.PodsCreated != created })

	if engine.Stats.PodsCreated != created+1 {
		t.Fatal("the retry did not come due")
	}
	engine.Tick(now + 10)
	if retries := takeAttempts(engine); len(retries) > 0 {
		t.Errorf("%d attempts after the stop", len(retries))
	}
	if open := engine.OpenTasks(); open != 0 {
		t.Errorf("%d tasks have no final outcome", open)
	}
}

// TestNodeWithoutAnnotationsChanges: a Node of the inventory may have no annotations. A change of it must not be taken for a change of its
// free capacity.
func TestNodeWithoutAnnotationsChanges(t *testing.T) {
	engine := newEngine(t)
	first := listedNode("a", 0)
	first.Annotations = nil
	engine.NodesListed(1000, FullList, []*corev1.Node{first}, nil)

	changed := first.DeepCopy()
	changed.Labels["team"] = "records"
	engine.NodesListed(1001, Changes, []*corev1.Node{changed}, nil)

	stored, ok := engine.Store().Get(store.Nodes, "", nodeName).(*corev1.Node)
	if !ok || stored.Labels["team"] != "records" {
		t.Errorf("the stored node is %v, want the changed one", stored)
	}
}

// TestStopWhileRetryWithUnknownOutcomeIsQueued: a task may wait for admission while the outcome of an earlier attempt is unknown. Where the
// engine is stopped then, the task still gets its final outcome.
func TestStopWhileRetryWithUnknownOutcomeIsQueued(t *testing.T) {
	engine := newEngine(t, func(config *Config) {
		config.Admission = admission.DefaultConfig()
		config.Admission.MinInFlight, config.Admission.MaxInFlight, config.Admission.InitialInFlight = 1, 1, 1
		config.Placer.Classes[0].Deadline = 2
		config.Placer.Attempts.Max = 1
		config.Placer.SlowStart = placer.SlowStart{}
	})
	createJobOnOneNode(t, engine, 3)
	// No attempt and no stop is ever answered.
	now := tickUntil(engine, createdAt, 1030, func() bool { return hasQueuedRetryWithUnknownOutcome(engine) })
	if !hasQueuedRetryWithUnknownOutcome(engine) {
		t.Fatal("no retry was queued while an outcome was unknown")
	}

	engine.Stop(now)
	tickUntil(engine, now, now+100, func() bool { return engine.OpenTasks() == 0 })

	if open := engine.OpenTasks(); open != 0 {
		t.Errorf("%d tasks have no final outcome 100 s after the stop", open)
	}
	if err := engine.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

func hasQueuedRetryWithUnknownOutcome(engine *Engine) bool {
	for _, task := range engine.tasks.inOrder() {
		if task.state == taskQueued && task.attempts.hasUnknown() {
			return true
		}
	}
	return false
}

// TestNodeWithoutLabelsGetsZone: a node whose labels an API update took away shows the zone that the inventory states later.
func TestNodeWithoutLabelsGetsZone(t *testing.T) {
	engine := newEngine(t)
	unlabelled := listedNode("a", 0)
	unlabelled.Labels = map[string]string{"custom": "value"}
	engine.NodesListed(1000, FullList, []*corev1.Node{unlabelled}, nil)
	update := &corev1.Node{}
	update.Name = nodeName
	if _, err := engine.UpdateNode(1001, update, nil, false); err != nil {
		t.Fatal(err)
	}

	inZone := listedNode("a", 0)
	inZone.Labels = map[string]string{"custom": "value", wellknown.Zone: "z"}
	engine.NodesListed(1002, FullList, []*corev1.Node{inZone}, nil)

	shown := engine.Store().Get(store.Nodes, "", nodeName).(*corev1.Node).Labels
	if len(shown) != 1 || shown[wellknown.Zone] != "z" {
		t.Errorf("the node shows the labels %v, want only its zone", shown)
	}
}
