package engine

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
)

// engineWithTask returns an engine with one node and one task, which is queued, submitted or attempting.
func engineWithTask(t *testing.T) (*Engine, *task) {
	t.Helper()
	engine := newEngine(t)
	engine.NodesListed(listedAt, FullList, []*corev1.Node{listedNode("a", 0)}, nil)
	if _, err := engine.CreateJob(createdAt, newJob(jobName, 1), false); err != nil {
		t.Fatal(err)
	}
	engine.Tick(createdAt)
	if err := engine.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
	tasks := engine.tasks.inOrder()
	if len(tasks) != 1 {
		t.Fatalf("%d tasks were started, want 1", len(tasks))
	}
	return engine, tasks[0]
}

func TestTaskTransitions(t *testing.T) {
	newMachine := func(t *testing.T) machine[taskState] {
		t.Helper()
		engine, walked := newEngine(t), &task{podIdentity: podIdentity{uid: "u"}}
		return machine[taskState]{func(next taskState) { engine.tasks.setState(walked, next) }, engine.CheckInvariants}
	}
	checkPaths(t, newMachine, []statePath[taskState]{
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
	})
}

func TestInvariantsAreChecked(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(engine *Engine, corrupted *task)
		want    string
	}{
		{"no request", func(_ *Engine, corrupted *task) { corrupted.request = nil }, "a request is open only before it is placed"},
		{"state without a transition", func(_ *Engine, corrupted *task) { corrupted.state = taskBound },
			"an attempt is in flight only while it is attempting"},
		{"created", func(_ *Engine, corrupted *task) { corrupted.state = taskCreated }, "it is kept"},
		{"settled early", func(_ *Engine, corrupted *task) { corrupted.settled = true }, "its outcome is final once"},
		{"stopped without an effect", func(_ *Engine, corrupted *task) { corrupted.stopReason = stopEvicted }, "a task that is to stop"},
		{"deleted without a reason", func(_ *Engine, corrupted *task) { corrupted.deleted = true }, "a deleted task is to stop"},
		{"unknown to its node", func(engine *Engine, corrupted *task) {
			corrupted.attempts.unknown = append(corrupted.attempts.unknown, &attempt{task: corrupted, node: engine.nodes.getByName(nodeName)})
		}, "its unknown outcomes are known by their nodes"},
		{"two attempts", func(engine *Engine, corrupted *task) {
			corrupted.attempts.running = &attempt{node: engine.nodes.getByName(nodeName)}
		},
			"an attempt runs only on a node"},
		{"retry while requested", func(engine *Engine, corrupted *task) { corrupted.retryTimer = engine.runAfter(1, func() {}) },
			"a retry is pending only while it waits"},
		{"no task of its index", func(_ *Engine, corrupted *task) { corrupted.job.indexes.all[0].task = nil },
			"index 0 has a task only while it is active"},
		{"another index", func(_ *Engine, corrupted *task) { corrupted.index = 1 }, "the task of index 0 knows its Job and its index"},
		{"active miscounted", func(_ *Engine, corrupted *task) { corrupted.job.indexes.active = 0 }, "1 indexes are active, 0 are counted"},
		{"deleted and held", func(_ *Engine, corrupted *task) { corrupted.job.deletion = jobDeleted }, "a deleted Job is not in the job table"},
		{"fails for no reason", func(_ *Engine, corrupted *task) { corrupted.job.progress = jobFailing },
			"a Job has a reason to fail only if it fails as a whole"},
		{"deletion that waits for nothing", func(_ *Engine, corrupted *task) {
			corrupted.job.deletion, corrupted.job.pods = jobDeletingForeground, nil
		}, "kept only for its Pods"},
		{"miscounted", func(engine *Engine, _ *task) { engine.tasks.open++ }, "1 tasks have no final outcome, 2 are counted"},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine, corrupted := engineWithTask(t)
			test.corrupt(engine, corrupted)
			err := engine.CheckInvariants()
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}
