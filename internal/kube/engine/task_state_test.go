package engine

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
)

// engineWithTask returns an engine with one node and one task. The task is queued, submitted or attempting.
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
		t.Fatalf("the engine started %d tasks, want 1", len(tasks))
	}
	return engine, tasks[0]
}

func TestTaskTransitions(t *testing.T) {
	newMachine := func(t *testing.T) stateMachine[taskState] {
		t.Helper()
		engine, task := newEngine(t), &task{podIdentity: podIdentity{uid: "u"}}
		return stateMachine[taskState]{func(next taskState) { engine.tasks.setState(task, next) }, engine.CheckInvariants}
	}
	checkStatePaths(t, newMachine, []statePath[taskState]{
		{"placed by the first attempt", []taskState{taskSubmitted, taskAttempting, taskBound, taskRunning, taskTerminating, taskRemoved}, ""},
		{"queued, rejected by a node, retried", []taskState{taskQueued, taskSubmitted, taskAttempting, taskSubmitted, taskWaiting,
			taskSubmitted, taskAttempting, taskBound}, ""},
		{"shed and not retried", []taskState{taskWaiting, taskTerminating, taskRemoved}, ""},
		{"found running while queued", []taskState{taskWaiting, taskQueued, taskBound}, ""},
		{"found running while waiting", []taskState{taskSubmitted, taskWaiting, taskBound, taskTerminating}, ""},
		{"adopted", []taskState{taskBound, taskRunning}, ""},
		{"running without an attempt", []taskState{taskSubmitted, taskRunning}, "made an illegal transition from submitted to running"},
		{"attempted while queued for admission", []taskState{taskQueued, taskAttempting}, "made an illegal transition from queued to attempting"},
		{"waiting with an attempt in flight", []taskState{taskSubmitted, taskAttempting, taskWaiting}, "made an illegal transition from attempting to waiting"},
		{"requested again while bound", []taskState{taskBound, taskSubmitted}, "made an illegal transition from bound to submitted"},
		{"bound again while running", []taskState{taskBound, taskRunning, taskBound}, "made an illegal transition from running to bound"},
		{"waiting after the end", []taskState{taskWaiting, taskTerminating, taskWaiting}, "made an illegal transition from terminating to waiting"},
		{"removed while waiting", []taskState{taskWaiting, taskRemoved}, "made an illegal transition from waiting to removed"},
		{"created again after removal", []taskState{taskWaiting, taskTerminating, taskRemoved, taskCreated}, "made an illegal transition from removed to created"},
	})
}

func TestCheckInvariantsReportsCorruption(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(engine *Engine, corrupted *task)
		want    string
	}{
		{"no placement request", func(_ *Engine, corrupted *task) { corrupted.request = nil },
			"a placement request is open if and only if the state requires one"},
		{"bound with an attempt in flight", func(_ *Engine, corrupted *task) { corrupted.state = taskBound },
			"an attempt is in flight if and only if the state is attempting"},
		{"state is still created", func(_ *Engine, corrupted *task) { corrupted.state = taskCreated },
			"the state of a stored task is neither created nor removed"},
		{"final outcome before placement", func(_ *Engine, corrupted *task) { corrupted.settled = true },
			"the outcome is final if and only if the task is on a node or has ended"},
		{"stop reason before placement", func(_ *Engine, corrupted *task) { corrupted.stopReason = stopEvicted },
			"a task with a stop reason is on a node or has ended"},
		{"deleted Pod without a stop reason", func(_ *Engine, corrupted *task) { corrupted.podDeleted = true },
			"a task whose Pod is deleted has a stop reason"},
		{"unknown outcome that the node does not list", func(engine *Engine, corrupted *task) {
			corrupted.attempts.unknownOutcomes = append(corrupted.attempts.unknownOutcomes, &attempt{task: corrupted, node: engine.nodes.getByName(nodeName)})
		}, "the node of each attempt with an unknown outcome lists the attempt"},
		{"second attempt", func(engine *Engine, corrupted *task) {
			corrupted.attempts.running = &attempt{node: engine.nodes.getByName(nodeName)}
		},
			"an attempt is running if and only if the task is on a node"},
		{"retry scheduled during a placement request", func(engine *Engine, corrupted *task) { corrupted.retryTimer = engine.runAfter(1, func() {}) },
			"a retry is scheduled only if the state is waiting"},
		{"active index without a task", func(_ *Engine, corrupted *task) { corrupted.job.indexes.entries[0].task = nil },
			"index 0 has a task if and only if it is active"},
		{"task with another index", func(_ *Engine, corrupted *task) { corrupted.index = 1 },
			"the task of index 0 refers to its Job and its index"},
		{"wrong count of active indexes", func(_ *Engine, corrupted *task) { corrupted.job.indexes.active = 0 },
			"1 indexes are active, but the count is 0"},
		{"deleted Job in the job table", func(_ *Engine, corrupted *task) { corrupted.job.deletion = jobDeleted },
			"a deleted Job is not in the job table"},
		{"failing Job without a reason", func(_ *Engine, corrupted *task) { corrupted.job.progress = jobFailing },
			"a Job has a failure reason if and only if it fails as a whole"},
		{"foreground deletion without Pods", func(_ *Engine, corrupted *task) {
			corrupted.job.deletion, corrupted.job.pods = jobDeletingForeground, nil
		}, "a Job that is deleted in the foreground is kept only for its Pods"},
		{"wrong count of open tasks", func(engine *Engine, _ *task) { engine.tasks.openCount++ },
			"1 tasks have no final outcome, but the count is 2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine, corrupted := engineWithTask(t)
			test.corrupt(engine, corrupted)
			err := engine.CheckInvariants()
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("CheckInvariants returned %v, want an error that contains %q", err, test.want)
			}
		})
	}
}
