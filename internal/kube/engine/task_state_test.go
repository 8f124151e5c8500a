package engine

import (
	"strings"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
)

// engineWithTask returns an engine with one node and one task, which is queued, submitted or attempting.
func engineWithTask(t *testing.T) (*Engine, *task) {
	t.Helper()
	e := newEngine(t)
	e.NodesListed(1000, FullList, []*corev1.Node{listedNode("a", 0)}, nil)
	job := &batchv1.Job{}
	job.Name, job.Namespace = "j", defaultNamespace
	if _, err := e.CreateJob(1001, job, false); err != nil {
		t.Fatal(err)
	}
	e.Tick(1001)
	if err := e.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
	for _, created := range e.tasks.byUID {
		return e, created
	}
	t.Fatal("no task was started")
	return nil, nil
}

func TestTaskTransitions(t *testing.T) {
	for _, test := range []struct {
		name string
		path []taskState // from taskCreated on
		bad  string      // "" if the path is legal
	}{
		{"placed at once", []taskState{taskSubmitted, taskAttempting, taskBound, taskRunning, taskTerminating, taskRemoved}, ""},
		{"queued, rejected by a node, retried", []taskState{taskQueued, taskSubmitted, taskAttempting, taskSubmitted, taskWaiting,
			taskSubmitted, taskAttempting, taskBound}, ""},
		{"shed and given up", []taskState{taskWaiting, taskTerminating, taskRemoved}, ""},
		{"found running while queued", []taskState{taskWaiting, taskQueued, taskBound}, ""},
		{"found running while it waits", []taskState{taskSubmitted, taskWaiting, taskBound, taskTerminating}, ""},
		{"adopted", []taskState{taskBound, taskRunning}, ""},
		{"runs without a node", []taskState{taskSubmitted, taskRunning}, "goes from submitted to running"},
		{"attempted without the placer", []taskState{taskQueued, taskAttempting}, "goes from queued to attempting"},
		{"waits with an attempt in flight", []taskState{taskSubmitted, taskAttempting, taskWaiting}, "goes from attempting to waiting"},
		{"requested while it runs", []taskState{taskBound, taskSubmitted}, "goes from bound to submitted"},
		{"runs twice", []taskState{taskBound, taskRunning, taskBound}, "goes from running to bound"},
		{"lives again", []taskState{taskWaiting, taskTerminating, taskWaiting}, "goes from terminating to waiting"},
		{"removed while it waits", []taskState{taskWaiting, taskRemoved}, "goes from waiting to removed"},
		{"leaves the removed state", []taskState{taskWaiting, taskTerminating, taskRemoved, taskCreated}, "goes from removed to created"},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newEngine(t)
			walked := &task{uid: "u"}
			for _, next := range test.path {
				e.tasks.setState(walked, next)
			}
			err := e.CheckInvariants()
			if test.bad == "" && err != nil {
				t.Error(err)
			}
			if test.bad != "" && (err == nil || !strings.HasSuffix(err.Error(), test.bad)) {
				t.Errorf("%v, want an error that the task %s", err, test.bad)
			}
		})
	}
}

func TestInvariantsAreChecked(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(e *Engine, corrupted *task)
		want    string
	}{
		{"no request", func(_ *Engine, corrupted *task) { corrupted.request = nil }, "a request is open only before it is placed"},
		{"state without a transition", func(_ *Engine, corrupted *task) { corrupted.state = taskBound },
			"an attempt is in flight only while it is attempting"},
		{"created", func(_ *Engine, corrupted *task) { corrupted.state = taskCreated }, "it is kept"},
		{"settled early", func(_ *Engine, corrupted *task) { corrupted.settled = true }, "its outcome is final once"},
		{"stopped without an effect", func(_ *Engine, corrupted *task) { corrupted.stopReason = stopEvicted }, "a task that is to stop"},
		{"deleted without a reason", func(_ *Engine, corrupted *task) { corrupted.deleted = true }, "a deleted task is to stop"},
		{"unknown to its node", func(e *Engine, corrupted *task) {
			corrupted.attempts.unknown = append(corrupted.attempts.unknown, &attempt{task: corrupted, node: e.nodes.get("n")})
		}, "its unknown outcomes are known by their nodes"},
		{"two attempts", func(e *Engine, corrupted *task) { corrupted.attempts.running = &attempt{node: e.nodes.get("n")} },
			"an attempt runs only on a node"},
		{"retry while requested", func(e *Engine, corrupted *task) { corrupted.retryTimer = e.runAfter(1, func() {}) },
			"a retry is pending only while it waits"},
		{"no task of its index", func(_ *Engine, corrupted *task) { corrupted.job.indexes.all[0].task = nil },
			"index 0 has a task only while it is active"},
		{"another index", func(_ *Engine, corrupted *task) { corrupted.index = 1 }, "the task of index 0 knows its Job and its index"},
		{"active miscounted", func(_ *Engine, corrupted *task) { corrupted.job.indexes.active = 0 }, "1 indexes are active, 0 are counted"},
		{"deleted and held", func(_ *Engine, corrupted *task) { corrupted.job.deletion = jobDeleted }, "a deleted Job is not held"},
		{"fails for no reason", func(_ *Engine, corrupted *task) { corrupted.job.progress = jobFailing },
			"a Job has a reason to fail only if it fails as a whole"},
		{"deletion that waits for nothing", func(_ *Engine, corrupted *task) {
			corrupted.job.deletion, corrupted.job.pods = jobDeletingForeground, nil
		}, "held only for its Pods"},
		{"miscounted", func(e *Engine, _ *task) { e.tasks.open++ }, "1 tasks have no final outcome, 2 are counted"},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, corrupted := engineWithTask(t)
			test.corrupt(e, corrupted)
			err := e.CheckInvariants()
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}
