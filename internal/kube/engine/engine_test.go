package engine

import (
	"errors"
	"strings"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/control/admission"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// listedNode returns a ready node as the inventory lists it. A start time of 0 is not stated.
func listedNode(incarnation string, started placer.Seconds) *corev1.Node {
	node := &corev1.Node{}
	node.Name = "n"
	node.Labels = map[string]string{wellknown.Kind: "k"}
	node.Annotations = map[string]string{}
	if started > 0 {
		node.Annotations[wellknown.Started] = wellknown.FormatTimestamp(float64(started))
	}
	node.Status.NodeInfo.BootID = incarnation
	node.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	node.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: "127.0.0.1"}}
	node.Status.DaemonEndpoints.KubeletEndpoint.Port = 1
	return node
}

func newEngine(t *testing.T) *Engine {
	t.Helper()
	e, err := New(Config{Name: "s", Classes: []string{"c"}, NodeTypes: []string{"k"}, Placer: placer.Config{
		Peers:        placer.Peers{Total: 1},
		Classes:      []placer.Class{{LatencyObjective: 1, Deadline: 8, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1}},
		NodeTypes:    []placer.NodeType{{Cores: 8, Memory: 8}},
		NodeBehavior: placer.NodeBehavior{ListShowsCapacity: true},
		Overcommit:   placer.Overcommit{Cores: 1, Memory: 1},
		SlowStart:    placer.SlowStart{Duration: 15},
		Attempts:     placer.Attempts{Max: 3, AnswerGrace: 0.1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// createJobOnOneNode lists a node with free capacity, which runs nothing, and creates a Job of so many tasks at 1001 s.
func createJobOnOneNode(t *testing.T, e *Engine, tasks int32) {
	t.Helper()
	node := listedNode("a", 0)
	node.Annotations[wellknown.FreeCapacity] = "cores=8.0, memory=8.0"
	e.NodesListed(1000, FullList, []*corev1.Node{node}, nil)
	e.NodePods(1000, "n", "a", 1, nil)
	job := &batchv1.Job{}
	job.Name, job.Namespace = "j", "default"
	job.Spec.Completions, job.Spec.Parallelism = &tasks, &tasks
	if _, err := e.CreateJob(1001, job, false); err != nil {
		t.Fatal(err)
	}
}

// The start of a node is taken by the scheduler's clock: a node whose clock is behind must warm up after a start, and one whose clock is
// ahead must not warm up for ever.
func TestWarmupUsesOwnClock(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second *corev1.Node // as listed at 1000 and at 1100
		want          placer.Seconds
	}{
		{"long up", listedNode("a", 0), listedNode("a", 0), 0},
		{"restarted, clock behind", listedNode("a", 0), listedNode("b", 1050), 1100},
		{"restarted, clock ahead", listedNode("a", 0), listedNode("b", 5000), 1100},
		{"there before us, clock ahead", listedNode("a", 5000), listedNode("a", 5000), 1000},
		{"there before us", listedNode("a", 990), listedNode("a", 990), 990},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newEngine(t)
			e.NodesListed(1000, FullList, []*corev1.Node{test.first}, nil)
			e.NodesListed(1100, Changes, []*corev1.Node{test.second}, nil)
			if got := e.nodes.get("n").listedStartedAt; got != test.want {
				t.Errorf("started at %v, want %v", got, test.want)
			}
		})
	}
}

// A list may be late: an incarnation that the node itself has left does not end the present one.
func TestLateListWithEarlierIncarnation(t *testing.T) {
	e := newEngine(t)
	e.NodesListed(1000, FullList, []*corev1.Node{listedNode("a", 0)}, nil)
	e.NodePods(1001, "n", "a", 1, nil)
	e.NodePods(1010, "n", "b", 1, nil)
	e.NodesListed(1011, Changes, []*corev1.Node{listedNode("a", 0)}, nil)
	e.nodes.observeIncarnation(e.nodes.get("n"), "a")
	if got := e.nodes.get("n").incarnation; got != "b" {
		t.Errorf("the node is taken back to incarnation %q", got)
	}
}

// A node that does not have a task says so of its present incarnation only. If the attempt was sent to an earlier one it may have run
// there, and a task that must not run twice is not requested again.
func TestStopAnsweredByAnotherIncarnation(t *testing.T) {
	for _, test := range []struct {
		name, incarnation string
		again             bool // it is requested again
	}{{"same incarnation", "a", true}, {"another incarnation", "b", false}} {
		t.Run(test.name, func(t *testing.T) {
			e, err := New(Config{Name: "s", Classes: []string{"once"}, NodeTypes: []string{"k"}, Placer: placer.Config{
				Peers: placer.Peers{Total: 1},
				Classes: []placer.Class{{Idempotency: placer.NonIdempotent, LatencyObjective: 1, Deadline: 2, NodeType: -1,
					SaturationThreshold: 1, DegradationRange: 1}},
				NodeTypes:    []placer.NodeType{{Cores: 8, Memory: 8}},
				NodeBehavior: placer.NodeBehavior{ListShowsCapacity: true},
				Overcommit:   placer.Overcommit{Cores: 2, Memory: 2},
				Attempts:     placer.Attempts{Max: 3, AnswerGrace: 0.1},
			}})
			if err != nil {
				t.Fatal(err)
			}
			createJobOnOneNode(t, e, 1)
			attempts, now := 0, placer.Seconds(1001)
			for now < 1060 {
				for _, effect := range e.Ready(nil) {
					switch effect.Kind {
					case SendAttempt:
						attempts++ // it is never answered
					case StopTask:
						e.StopDone(now, StopAnswer{UID: effect.UID, Node: effect.Node, Attempt: effect.Attempt, Answered: true,
							Incarnation: test.incarnation})
					}
				}
				now = min(e.NextWake(), 1060)
				e.Tick(now)
			}
			if (attempts > 1) != test.again {
				t.Errorf("%d attempts", attempts)
			}
		})
	}
}

// Finished Jobs are removed for new ones, the oldest first, but not before their outcome could be read.
func TestFinishedJobsAreEvictedForNewOnes(t *testing.T) {
	e := newEngine(t)
	e.cfg.MaxPods, e.cfg.MaxObjects = 100, 1<<30
	create := func(now placer.Seconds, name string, tasks int) error {
		job := &batchv1.Job{}
		job.Name, job.Namespace = name, "default"
		completions, zero := int32(tasks), int32(0)
		job.Spec.Completions, job.Spec.Parallelism, job.Spec.BackoffLimit = &completions, &completions, &zero
		_, err := e.CreateJob(now, job, false)
		for range 10 {
			e.Tick(now)
		}
		return err
	}
	now := placer.Seconds(1000)
	if err := create(now, "a", 60); err != nil {
		t.Fatal(err)
	}
	if err := create(now, "b", 60); !errors.Is(err, ErrTooMany) {
		t.Fatalf("120 of 100 Pods: %v", err)
	}
	// There is no node: all are rejected at their deadline.
	for ; e.OpenTasks() > 0 && now < 1100; now++ {
		e.Tick(now)
	}
	if err := create(now, "b", 60); !errors.Is(err, ErrTooMany) {
		t.Fatalf("a Job that has just ended was taken away: %v", err)
	}
	if err := create(now+31, "b", 60); err != nil {
		t.Fatalf("what is over makes no room: %v", err)
	}
	if e.Store().Get(store.Jobs, "default", "a") != nil {
		t.Error("the Job that ended is still there")
	}
	big := &batchv1.Job{}
	big.Name, big.Namespace = "big", "default"
	tasks := int32(100)
	big.Spec.Completions, big.Spec.Parallelism = &tasks, &tasks
	big.Spec.Template.Annotations = map[string]string{"x": strings.Repeat("x", 4<<20)}
	var invalid *InvalidError
	if _, err := e.CreateJob(now+32, big, false); !errors.As(err, &invalid) {
		t.Errorf("a Job of 400 MB: %v", err)
	}
}

// A task that ended without success is started again by a timer. If the engine is stopped before that timer fires, the new Pod gets its
// final outcome and nothing is sent for it.
func TestStopWhileTaskAwaitsRerun(t *testing.T) {
	e := newEngine(t)
	createJobOnOneNode(t, e, 1)
	attempts := func() (sent []Effect) {
		for _, effect := range e.Ready(nil) {
			if effect.Kind == SendAttempt {
				sent = append(sent, effect)
			}
		}
		return sent
	}
	now := placer.Seconds(1001)
	sent := attempts()
	for ; len(sent) == 0 && now < 1010; sent = attempts() {
		now = e.NextWake()
		e.Tick(now)
	}
	if len(sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(sent))
	}
	pod := sent[0].Pod.DeepCopy()
	pod.Status.Phase = corev1.PodRunning
	e.AttemptDone(now, AttemptAnswer{UID: sent[0].UID, Node: "n", Attempt: sent[0].Attempt, Accepted: true, Incarnation: "a",
		Revision: 2, Pod: pod})
	now++
	failed := pod.DeepCopy()
	failed.ResourceVersion = "3"
	failed.Status.Phase = corev1.PodFailed
	e.NodePod(now, "n", failed, false)
	if e.OpenTasks() != 0 {
		t.Fatalf("%d tasks are open before the retry, want 0", e.OpenTasks())
	}
	e.Stop(now)
	created := e.Stats.PodsCreated
	for now < 1100 && e.Stats.PodsCreated == created {
		now = min(e.NextWake(), 1100)
		e.Tick(now)
	}
	if e.Stats.PodsCreated != created+1 {
		t.Fatal("the retry did not come due")
	}
	e.Tick(now + 10)
	if again := attempts(); len(again) > 0 {
		t.Errorf("%d attempts after the stop", len(again))
	}
	if e.OpenTasks() != 0 {
		t.Errorf("%d tasks have no final outcome", e.OpenTasks())
	}
}

// A Node of the inventory may have no annotations. A change of it must not be taken for a change of its free capacity.
func TestNodeWithoutAnnotationsChanges(t *testing.T) {
	e := newEngine(t)
	first := listedNode("a", 0)
	first.Annotations = nil
	e.NodesListed(1000, FullList, []*corev1.Node{first}, nil)
	changed := first.DeepCopy()
	changed.Labels["team"] = "records"
	e.NodesListed(1001, Changes, []*corev1.Node{changed}, nil)
	stored, ok := e.Store().Get(store.Nodes, "", "n").(*corev1.Node)
	if !ok || stored.Labels["team"] != "records" {
		t.Errorf("the stored node is %v, want the changed one", stored)
	}
}

// A task may wait for admission while the outcome of an earlier attempt is unknown. Where the engine is stopped then, the task still gets
// its final outcome.
func TestStopWhileRetryWithUnknownOutcomeIsQueued(t *testing.T) {
	limits := admission.DefaultConfig()
	limits.MinInFlight, limits.MaxInFlight, limits.InitialInFlight = 1, 1, 1
	e, err := New(Config{
		Name:      "s",
		Classes:   []string{"c"},
		NodeTypes: []string{"k"},
		Admission: limits,
		Placer: placer.Config{
			Peers:        placer.Peers{Total: 1},
			Classes:      []placer.Class{{LatencyObjective: 1, Deadline: 2, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1}},
			NodeTypes:    []placer.NodeType{{Cores: 8, Memory: 8}},
			NodeBehavior: placer.NodeBehavior{ListShowsCapacity: true},
			Overcommit:   placer.Overcommit{Cores: 1, Memory: 1},
			Attempts:     placer.Attempts{Max: 1, AnswerGrace: 0.1},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	createJobOnOneNode(t, e, 3)
	queued := func() bool {
		for _, task := range e.tasks.byUID {
			if task.state == taskQueued && task.attempts.hasUnknown() {
				return true
			}
		}
		return false
	}
	// No attempt and no stop is ever answered.
	now := placer.Seconds(1001)
	for !queued() {
		if now = e.NextWake(); now > 1030 {
			t.Fatal("no retry was queued while an outcome was unknown")
		}
		e.Tick(now)
	}
	e.Stop(now)
	for end := now + 100; e.OpenTasks() > 0 && now < end; {
		now = min(e.NextWake(), end)
		e.Tick(now)
	}
	if open := e.OpenTasks(); open != 0 {
		t.Errorf("%d tasks have no final outcome 100 s after the stop", open)
	}
	if err := e.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// TestNodeWithoutLabelsGetsZone checks that a node whose labels an API update took away shows the zone that the inventory states later.
func TestNodeWithoutLabelsGetsZone(t *testing.T) {
	e := newEngine(t)
	unlabelled := listedNode("a", 0)
	unlabelled.Labels = map[string]string{"custom": "value"}
	e.NodesListed(1000, FullList, []*corev1.Node{unlabelled}, nil)
	update := &corev1.Node{}
	update.Name = "n"
	if _, err := e.UpdateNode(1001, update, nil, false); err != nil {
		t.Fatal(err)
	}

	inZone := listedNode("a", 0)
	inZone.Labels = map[string]string{"custom": "value", wellknown.Zone: "z"}
	e.NodesListed(1002, FullList, []*corev1.Node{inZone}, nil)

	shown := e.Store().Get(store.Nodes, "", "n").(*corev1.Node).Labels
	if len(shown) != 1 || shown[wellknown.Zone] != "z" {
		t.Errorf("the node shows the labels %v, want only its zone", shown)
	}
}
