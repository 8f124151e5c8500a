package engine

import (
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
)

// engineWithTask returns an engine that has one node and one task. The task has an open placement request.
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
	tasks := engine.tasks.tasksInCreationOrder()
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
		{"task is placed by its first attempt", []taskState{taskSubmitted, taskAttempting, taskBound, taskRunning, taskTerminating, taskRemoved}, ""},
		{"task is queued, rejected by a node and retried", []taskState{taskQueued, taskSubmitted, taskAttempting, taskSubmitted, taskWaiting,
			taskSubmitted, taskAttempting, taskBound}, ""},
		{"placement request is shed and not retried", []taskState{taskWaiting, taskTerminating, taskRemoved}, ""},
		{"node reports a queued task as running", []taskState{taskWaiting, taskQueued, taskBound}, ""},
		{"node reports a waiting task as running", []taskState{taskSubmitted, taskWaiting, taskBound, taskTerminating}, ""},
		{"task that already runs on a node is adopted", []taskState{taskBound, taskRunning}, ""},
		{"submitted task runs although no attempt was made", []taskState{taskSubmitted, taskRunning}, "made an illegal transition from submitted to running"},
		{"attempt is made while the placement request waits for admission", []taskState{taskQueued, taskAttempting}, "made an illegal transition from queued to attempting"},
		{"task is waiting although an attempt is in flight", []taskState{taskSubmitted, taskAttempting, taskWaiting}, "made an illegal transition from attempting to waiting"},
		{"bound task gets another placement request", []taskState{taskBound, taskSubmitted}, "made an illegal transition from bound to submitted"},
		{"running task is bound again", []taskState{taskBound, taskRunning, taskBound}, "made an illegal transition from running to bound"},
		{"terminating task is waiting again", []taskState{taskWaiting, taskTerminating, taskWaiting}, "made an illegal transition from terminating to waiting"},
		{"waiting task is removed before it has ended", []taskState{taskWaiting, taskRemoved}, "made an illegal transition from waiting to removed"},
		{"removed task is created again", []taskState{taskWaiting, taskTerminating, taskRemoved, taskCreated}, "made an illegal transition from removed to created"},
	})
}

func TestCheckInvariantsReportsCorruption(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(engine *Engine, corruptedTask *task)
		want    string
	}{
		{"attempt in flight without a placement request", func(_ *Engine, corrupted *task) { corrupted.request = nil },
			"a placement request must be open if and only if the task is queued, submitted or attempting"},
		{"bound task with an attempt in flight", func(_ *Engine, corrupted *task) { corrupted.state = taskBound },
			"an attempt must be in flight if and only if the task is in the state attempting"},
		{"task that is still in the state created", func(_ *Engine, corrupted *task) { corrupted.state = taskCreated },
			"a task in the task table must not be in the state created or removed"},
		{"unplaced task with a final outcome", func(_ *Engine, corrupted *task) { corrupted.settled = true },
			"a task must have its final outcome if and only if it is bound, running or terminating"},
		{"unplaced task with a stop reason", func(_ *Engine, corrupted *task) { corrupted.stopReason = stopEvicted },
			"a task that has a stop reason must be bound, running or terminating"},
		{"task with a deleted Pod and no stop reason", func(_ *Engine, corrupted *task) { corrupted.podDeleted = true },
			"a task whose Pod is deleted must have a stop reason"},
		{"node has no record of an attempt with an unknown outcome", func(engine *Engine, corrupted *task) {
			corrupted.attempts.unknownOutcomes = append(corrupted.attempts.unknownOutcomes, &attempt{task: corrupted, node: engine.nodes.getByName(nodeName)})
		}, "the node of each attempt with an unknown outcome must have a record of the attempt"},
		{"unplaced task with a running attempt", func(engine *Engine, corrupted *task) {
			corrupted.attempts.runningAttempt = &attempt{node: engine.nodes.getByName(nodeName)}
		},
			"an attempt must be running if and only if the task is bound or running"},
		{"retry timer that is pending while a placement request is open", func(engine *Engine, corrupted *task) { corrupted.retryTimer = engine.runAfter(1, func() {}) },
			"the retry timer may be pending only if the task is in the state waiting"},
		{"active completion index without a task", func(_ *Engine, corrupted *task) { corrupted.job.indexes.entries[0].task = nil },
			"completion index 0 must have a task if and only if it is active"},
		{"task with the wrong completion index", func(_ *Engine, corrupted *task) { corrupted.index = 1 },
			"the task of completion index 0 must refer to this index and to its Job"},
		{"wrong count of active completion indexes", func(_ *Engine, corrupted *task) { corrupted.job.indexes.activeIndexes = 0 },
			"1 completion indexes are active, but the count of active indexes is 0"},
		{"deleted Job in the job table", func(_ *Engine, corrupted *task) { corrupted.job.deletion = jobDeleted },
			"a deleted Job must not be in the job table"},
		{"failing Job without a failure reason", func(_ *Engine, corrupted *task) { corrupted.job.progress = jobFailing },
			"a Job must have a failure reason if and only if it fails as a whole"},
		{"Job that is being deleted in the foreground and has no Pods", func(_ *Engine, corrupted *task) {
			corrupted.job.deletion, corrupted.job.pods = jobDeletingForeground, nil
		}, "a Job that is being deleted in the foreground must still have Pods"},
		{"wrong count of tasks without a final outcome", func(engine *Engine, _ *task) { engine.tasks.openCount++ },
			"1 tasks have no final outcome, but the engine has counted 2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine, corruptedTask := engineWithTask(t)
			test.corrupt(engine, corruptedTask)
			err := engine.CheckInvariants()
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("CheckInvariants returned %v, want an error that contains %q", err, test.want)
			}
		})
	}
}
