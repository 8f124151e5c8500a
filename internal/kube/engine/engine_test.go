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

// TestSlowStartUsesSchedulerClock guards against trusting the clocks of nodes. The start time of a node
// must be taken from the clock of the scheduler. A restarted node must get a slow start even if the clock
// of the node is behind, and the slow start must end even if the clock of the node is ahead.
func TestSlowStartUsesSchedulerClock(t *testing.T) {
	const relistedAt = listedAt + 100
	for _, test := range []struct {
		name                    string
		firstEntry, secondEntry *corev1.Node // Node objects that the inventory lists at listedAt and at relistedAt
		want                    placer.Seconds
	}{
		{"node that has not restarted", listedNode("a", 0), listedNode("a", 0), 0},
		{"restarted node whose clock is behind", listedNode("a", 0), listedNode("b", 1050), relistedAt},
		{"restarted node whose clock is ahead", listedNode("a", 0), listedNode("b", 5000), relistedAt},
		{"node that started before the scheduler and whose clock is ahead", listedNode("a", 5000), listedNode("a", 5000), listedAt},
		{"node that started before the scheduler", listedNode("a", 990), listedNode("a", 990), 990},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t)
			engine.NodesListed(listedAt, FullList, []*corev1.Node{test.firstEntry}, nil)
			engine.NodesListed(relistedAt, Changes, []*corev1.Node{test.secondEntry}, nil)
			if got := engine.nodes.getByName(nodeName).listedStartedAt; got != test.want {
				t.Errorf("the engine has recorded time %v as the start of the node, want %v", got, test.want)
			}
		})
	}
}

// TestLateListWithEarlierIncarnation guards against a list of nodes that arrives late and states an
// earlier incarnation of a node. Once the node itself has stated a new incarnation, such a list must not
// change the incarnation back.
func TestLateListWithEarlierIncarnation(t *testing.T) {
	engine := newEngine(t)
	engine.NodesListed(1000, FullList, []*corev1.Node{listedNode("a", 0)}, nil)
	engine.PodsListed(1001, nodeName, "a", 1, nil)
	engine.PodsListed(1010, nodeName, "b", 1, nil)

	engine.NodesListed(1011, Changes, []*corev1.Node{listedNode("a", 0)}, nil)
	engine.nodes.observeIncarnation(engine.nodes.getByName(nodeName), "a")

	if got := engine.nodes.getByName(nodeName).incarnation; got != "b" {
		t.Errorf("the engine has recorded incarnation %q of the node after a late list, want \"b\"", got)
	}
}

// TestStopAnsweredByAnotherIncarnation guards against running a task twice after a restart of its node. If
// a node answers a stop order and does not have the task, the answer holds only for the present
// incarnation of the node. If an earlier incarnation received the attempt, it may have run the task. The
// engine must then not make another attempt for a task that must not run twice.
func TestStopAnsweredByAnotherIncarnation(t *testing.T) {
	const endTime = createdAt + 59
	for _, test := range []struct {
		name        string
		incarnation string // incarnation of the node that answers the stop order
		wantRetry   bool
	}{
		{"stop order is answered by the incarnation that received the attempt", "a", true},
		{"stop order is answered by another incarnation of the node", "b", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newEngine(t, func(config *Config) {
				config.Placer.Classes[0].Idempotency = placer.NonIdempotent
				config.Placer.Classes[0].Deadline = 2
				config.Placer.Overcommit = placer.Overcommit{Cores: 2, Memory: 2}
				config.Placer.SlowStart = placer.SlowStart{}
			})
			createJobOnOneNode(t, engine, 1)

			attempts := 0 // number of attempts sent; the node answers none of them
			for now := createdAt; now < endTime; {
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
				now = min(engine.NextWake(), endTime)
				engine.Tick(now)
			}

			if (attempts > 1) != test.wantRetry {
				t.Errorf("the engine made %d attempts for the task; it must make a second attempt if and only if the incarnation that received the first one answers the stop order", attempts)
			}
		})
	}
}

// TestFinishedJobsAreEvictedForNewOnes checks that the engine removes a finished Job to make room for a
// new Job. The engine must not remove the finished Job before clients have had time to read its outcome.
func TestFinishedJobsAreEvictedForNewOnes(t *testing.T) {
	engine := newEngine(t, func(config *Config) { config.MaxPods, config.MaxObjectBytes = 100, 1<<30 })
	createJob := func(now placer.Seconds, name string) error {
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
	if err := createJob(now, "a"); err != nil {
		t.Fatal(err)
	}
	if err := createJob(now, "b"); !errors.Is(err, ErrTooMany) {
		t.Fatalf("CreateJob returned error %v for a Job that exceeds MaxPods, want ErrTooMany", err)
	}
	// All tasks get the outcome Rejected at their deadlines, because there is no node.
	for ; engine.OpenTasks() > 0 && now < 1100; now++ {
		engine.Tick(now)
	}

	if err := createJob(now, "b"); !errors.Is(err, ErrTooMany) {
		t.Fatalf("CreateJob returned error %v when the only finished Job had just finished, want ErrTooMany", err)
	}
	if err := createJob(now+31, "b"); err != nil {
		t.Fatalf("CreateJob returned error %v when a Job that had finished 31 s before could be evicted, want no error", err)
	}
	if engine.Store().Get(store.Jobs, defaultNamespace, "a") != nil {
		t.Error("the finished Job is still stored after a new Job has taken its place")
	}
}

// TestJobThatNeverFitsIsInvalid checks the error for a Job that exceeds MaxObjectBytes even if no other
// objects are stored. The error must be an *InvalidError and not ErrTooMany, because the Job would not fit
// later either.
func TestJobThatNeverFitsIsInvalid(t *testing.T) {
	engine := newEngine(t, func(config *Config) { config.MaxPods, config.MaxObjectBytes = 100, 1<<30 })
	bigJob := newJob("big", 100)
	bigJob.Spec.Template.Annotations = map[string]string{"x": strings.Repeat("x", 4<<20)}

	_, err := engine.CreateJob(createdAt, bigJob, false)

	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("CreateJob returned error %v for a Job whose Pods alone exceed MaxObjectBytes, want an *InvalidError", err)
	}
}

// TestStopWhileTaskAwaitsRerun guards against attempts after Engine.Stop. If a task ends without success,
// a timer starts the completion index of the task again and thereby creates a new Pod. If the engine is
// stopped before this timer fires, the new Pod must get its final outcome without any attempt.
func TestStopWhileTaskAwaitsRerun(t *testing.T) {
	engine := newEngine(t)
	createJobOnOneNode(t, engine, 1)
	sentAttempts := takeAttempts(engine)
	now := tickUntil(engine, createdAt, 1010, func() bool {
		sentAttempts = append(sentAttempts, takeAttempts(engine)...)
		return len(sentAttempts) > 0
	})
	if len(sentAttempts) != 1 {
		t.Fatalf("the engine made %d attempts for a Job with one task, want 1", len(sentAttempts))
	}
	runningPod := sentAttempts[0].Pod.DeepCopy()
	runningPod.Status.Phase = corev1.PodRunning
	engine.AttemptDone(now, AttemptAnswer{
		UID:         sentAttempts[0].UID,
		Node:        nodeName,
		Attempt:     sentAttempts[0].Attempt,
		Accepted:    true,
		Incarnation: "a",
		Revision:    2,
		Pod:         runningPod,
	})
	now++
	failedPod := runningPod.DeepCopy()
	failedPod.ResourceVersion = "3"
	failedPod.Status.Phase = corev1.PodFailed
	engine.PodChanged(now, nodeName, failedPod, false)
	if openTasks := engine.OpenTasks(); openTasks != 0 {
		t.Fatalf("%d tasks have no final outcome after the only task of the Job has ended, want 0", openTasks)
	}

	engine.Stop(now)
	podsCreated := engine.Stats.PodsCreated
	now = tickUntil(engine, now, 1100, func() bool { return engine.Stats.PodsCreated != podsCreated })

	if engine.Stats.PodsCreated != podsCreated+1 {
		t.Fatal("the engine must create exactly one new Pod after the task has failed")
	}
	engine.Tick(now + 10)
	if retries := takeAttempts(engine); len(retries) > 0 {
		t.Errorf("the engine made %d attempts after Engine.Stop, want 0", len(retries))
	}
	if openTasks := engine.OpenTasks(); openTasks != 0 {
		t.Errorf("%d tasks have no final outcome after Engine.Stop, want 0", openTasks)
	}
}

// TestNodeWithoutAnnotationsChanges guards against losing changes of a Node that has no annotations. The
// engine stores a change of the free capacity, which is an annotation, only after a delay. It must not
// delay other changes of a Node without annotations.
func TestNodeWithoutAnnotationsChanges(t *testing.T) {
	engine := newEngine(t)
	firstNode := listedNode("a", 0)
	firstNode.Annotations = nil
	engine.NodesListed(1000, FullList, []*corev1.Node{firstNode}, nil)

	changedNode := firstNode.DeepCopy()
	changedNode.Labels["team"] = "records"
	engine.NodesListed(1001, Changes, []*corev1.Node{changedNode}, nil)

	storedNode, ok := engine.Store().Get(store.Nodes, "", nodeName).(*corev1.Node)
	if !ok || storedNode.Labels["team"] != "records" {
		t.Errorf("the stored Node is %v, want a Node with the label team=records", storedNode)
	}
}

// TestStopWhileRetryWithUnknownOutcomeIsQueued guards against tasks that never get a final outcome. While
// a placement request of a task waits for admission, the outcome of an earlier attempt for the task may be
// unknown. If the engine is stopped in this situation, the task must still get its final outcome.
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
		t.Fatal("the admission controller queued no retry of a task that has an attempt with an unknown outcome")
	}

	engine.Stop(now)
	tickUntil(engine, now, now+100, func() bool { return engine.OpenTasks() == 0 })

	if openTasks := engine.OpenTasks(); openTasks != 0 {
		t.Errorf("%d tasks have no final outcome 100 s after Engine.Stop, want 0", openTasks)
	}
	if err := engine.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// hasQueuedRetryWithUnknownOutcome reports whether the placement request of any task waits for admission
// while the outcome of an attempt for the task is unknown.
func hasQueuedRetryWithUnknownOutcome(engine *Engine) bool {
	for _, task := range engine.tasks.tasksInCreationOrder() {
		if task.state == taskQueued && task.attempts.hasUnknownOutcome() {
			return true
		}
	}
	return false
}

// TestNodeWithoutLabelsGetsZone checks that the stored Node has the zone that the inventory states, even
// if an API client has removed all labels of the Node before.
func TestNodeWithoutLabelsGetsZone(t *testing.T) {
	engine := newEngine(t)
	nodeWithoutZone := listedNode("a", 0)
	nodeWithoutZone.Labels = map[string]string{"custom": "value"}
	engine.NodesListed(1000, FullList, []*corev1.Node{nodeWithoutZone}, nil)
	update := &corev1.Node{}
	update.Name = nodeName
	if _, err := engine.UpdateNode(1001, update, nil, false); err != nil {
		t.Fatal(err)
	}

	nodeInZone := listedNode("a", 0)
	nodeInZone.Labels = map[string]string{"custom": "value", wellknown.Zone: "z"}
	engine.NodesListed(1002, FullList, []*corev1.Node{nodeInZone}, nil)

	shownLabels := engine.Store().Get(store.Nodes, "", nodeName).(*corev1.Node).Labels
	if len(shownLabels) != 1 || shownLabels[wellknown.Zone] != "z" {
		t.Errorf("the stored Node has the labels %v, want only the label of its zone", shownLabels)
	}
}
