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

// TestWarmUpUsesSchedulerClock guards against trusting the clocks of nodes. The scheduler's clock decides
// when a node started: a node whose clock is behind must warm up after a start, and a node whose clock is
// ahead must not warm up forever.
func TestWarmUpUsesSchedulerClock(t *testing.T) {
	const relistedAt = listedAt + 100
	for _, test := range []struct {
		name          string
		first, second *corev1.Node // the node as listed at listedAt and at relistedAt
		want          placer.Seconds
	}{
		{"not restarted", listedNode("a", 0), listedNode("a", 0), 0},
		{"restarted, node clock behind", listedNode("a", 0), listedNode("b", 1050), relistedAt},
		{"restarted, node clock ahead", listedNode("a", 0), listedNode("b", 5000), relistedAt},
		{"started before the scheduler, node clock ahead", listedNode("a", 5000), listedNode("a", 5000), listedAt},
		{"started before the scheduler", listedNode("a", 990), listedNode("a", 990), 990},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t)
			engine.NodesListed(listedAt, FullList, []*corev1.Node{test.first}, nil)
			engine.NodesListed(relistedAt, Changes, []*corev1.Node{test.second}, nil)
			if got := engine.nodes.getByName(nodeName).listedStartedAt; got != test.want {
				t.Errorf("the node counts as started at %v, want %v", got, test.want)
			}
		})
	}
}

// TestLateListWithEarlierIncarnation guards against a late list that reverts a node to an earlier
// incarnation. Once the node itself has stated a new incarnation, lists with an earlier one must not replace
// it.
func TestLateListWithEarlierIncarnation(t *testing.T) {
	engine := newEngine(t)
	engine.NodesListed(1000, FullList, []*corev1.Node{listedNode("a", 0)}, nil)
	engine.NodePods(1001, nodeName, "a", 1, nil)
	engine.NodePods(1010, nodeName, "b", 1, nil)

	engine.NodesListed(1011, Changes, []*corev1.Node{listedNode("a", 0)}, nil)
	engine.nodes.observeIncarnation(engine.nodes.getByName(nodeName), "a")

	if got := engine.nodes.getByName(nodeName).incarnation; got != "b" {
		t.Errorf("the node has incarnation %q, want \"b\"", got)
	}
}

// TestStopAnsweredByAnotherIncarnation guards against running a task twice after a node restart. A node that
// does not have a task can answer only for its current incarnation. If the attempt was sent to an earlier
// incarnation, the task may have run there, and a task that must not run twice is not requested again.
func TestStopAnsweredByAnotherIncarnation(t *testing.T) {
	const end = createdAt + 59
	for _, test := range []struct {
		name        string
		incarnation string // incarnation of the node that answers the stop order
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

			attempts := 0 // the node answers no attempt
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
				t.Errorf("the engine made %d attempts, which is wrong for the incarnation that answered the stop", attempts)
			}
		})
	}
}

// TestFinishedJobsAreEvictedForNewOnes checks that finished Jobs are removed to make room for new ones, the
// oldest first, but not before clients had time to read their outcomes.
func TestFinishedJobsAreEvictedForNewOnes(t *testing.T) {
	engine := newEngine(t, func(config *Config) { config.MaxPods, config.MaxObjectBytes = 100, 1<<30 })
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
		t.Fatalf("creating a Job that exceeds MaxPods returned %v, want ErrTooMany", err)
	}
	// There is no node, so all tasks are rejected at their deadlines.
	for ; engine.OpenTasks() > 0 && now < 1100; now++ {
		engine.Tick(now)
	}

	if err := create(now, "b"); !errors.Is(err, ErrTooMany) {
		t.Fatalf("a Job that had just finished was evicted: CreateJob returned %v, want ErrTooMany", err)
	}
	if err := create(now+31, "b"); err != nil {
		t.Fatalf("a Job that finished long ago was not evicted: CreateJob returned %v", err)
	}
	if engine.Store().Get(store.Jobs, defaultNamespace, "a") != nil {
		t.Error("the evicted Job is still stored")
	}
}

// TestJobThatNeverFitsIsInvalid checks that a Job that exceeds the whole limit on object bytes is invalid
// rather than refused for now, because it would not fit later either.
func TestJobThatNeverFitsIsInvalid(t *testing.T) {
	engine := newEngine(t, func(config *Config) { config.MaxPods, config.MaxObjectBytes = 100, 1<<30 })
	big := newJob("big", 100)
	big.Spec.Template.Annotations = map[string]string{"x": strings.Repeat("x", 4<<20)}

	_, err := engine.CreateJob(createdAt, big, false)

	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("creating a Job of 400 MB returned %v, want an *InvalidError", err)
	}
}

// TestStopWhileTaskAwaitsRerun guards against attempts after Engine.Stop. A timer starts a task again after
// it ended without success. If the engine is stopped before this timer fires, the new Pod must get its final
// outcome without any attempt.
func TestStopWhileTaskAwaitsRerun(t *testing.T) {
	engine := newEngine(t)
	createJobOnOneNode(t, engine, 1)
	sent := takeAttempts(engine)
	now := tickUntil(engine, createdAt, 1010, func() bool {
		sent = append(sent, takeAttempts(engine)...)
		return len(sent) > 0
	})
	if len(sent) != 1 {
		t.Fatalf("the engine made %d attempts, want 1", len(sent))
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
		t.Fatalf("%d tasks have no final outcome before the retry, want 0", open)
	}

	engine.Stop(now)
	created := engine.Stats.PodsCreated
	now = tickUntil(engine, now, 1100, func() bool { return engine.Stats.PodsCreated != created })

	if engine.Stats.PodsCreated != created+1 {
		t.Fatal("the retry did not create exactly one Pod")
	}
	engine.Tick(now + 10)
	if retries := takeAttempts(engine); len(retries) > 0 {
		t.Errorf("the engine made %d attempts after the stop, want 0", len(retries))
	}
	if open := engine.OpenTasks(); open != 0 {
		t.Errorf("%d tasks have no final outcome, want 0", open)
	}
}

// TestNodeWithoutAnnotationsChanges guards against ignoring a change of a Node that has no annotations, as if
// only its free capacity had changed.
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
		t.Errorf("the stored node is %v, want one with the changed label", stored)
	}
}

// TestStopWhileRetryWithUnknownOutcomeIsQueued guards against tasks that never get a final outcome. A task
// may wait for admission while the outcome of an earlier attempt is unknown. If the engine is stopped in this
// state, the task must still get its final outcome.
func TestStopWhileRetryWithUnknownOutcomeIsQueued(t *testing.T) {
	engine := newEngine(t, func(config *Config) {
		config.Admission = admission.DefaultConfig()
		config.Admission.MinInFlight, config.Admission.MaxInFlight, config.Admission.InitialInFlight = 1, 1, 1
		config.Placer.Classes[0].Deadline = 2
		config.Placer.Attempts.Max = 1
		config.Placer.SlowStart = placer.SlowStart{}
	})
	createJobOnOneNode(t, engine, 3)
	// The node answers neither attempts nor stop orders.
	now := tickUntil(engine, createdAt, 1030, func() bool { return hasQueuedRetryWithUnknownOutcome(engine) })
	if !hasQueuedRetryWithUnknownOutcome(engine) {
		t.Fatal("no retry was queued while an outcome was unknown")
	}

	engine.Stop(now)
	tickUntil(engine, now, now+100, func() bool { return engine.OpenTasks() == 0 })

	if open := engine.OpenTasks(); open != 0 {
		t.Errorf("%d tasks have no final outcome 100 s after the stop, want 0", open)
	}
	if err := engine.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

func hasQueuedRetryWithUnknownOutcome(engine *Engine) bool {
	for _, task := range engine.tasks.inOrder() {
		if task.state == taskQueued && task.attempts.hasUnknownOutcome() {
			return true
		}
	}
	return false
}

// TestNodeWithoutLabelsGetsZone checks that a node shows the zone that the inventory states, even if an API
// update removed all labels of the node earlier.
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
