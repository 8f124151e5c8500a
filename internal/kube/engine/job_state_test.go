package engine

import (
	"strings"
	"testing"
)

// statePath is a test case. It contains the states that a state machine enters one after another,
// beginning after the initial state.
type statePath[S any] struct {
	name      string
	path      []S
	wantError string // suffix of the error about the first illegal transition; "" if all transitions are legal
}

// stateMachine is a state machine in its initial state. firstError returns an error about the first illegal
// transition, or nil if there was none.
type stateMachine[S any] struct {
	setState   func(next S)
	firstError func() error
}

// checkStatePaths runs each test case on a new state machine. The machine enters the states of the path,
// and checkStatePaths checks which transition is the first illegal one.
func checkStatePaths[S any](t *testing.T, newMachine func(t *testing.T) stateMachine[S], paths []statePath[S]) {
	t.Helper()
	for _, test := range paths {
		t.Run(test.name, func(t *testing.T) {
			machine := newMachine(t)
			for _, next := range test.path {
				machine.setState(next)
			}
			err := machine.firstError()
			switch {
			case test.wantError == "" && err != nil:
				t.Error(err)
			case test.wantError != "" && (err == nil || !strings.HasSuffix(err.Error(), test.wantError)):
				t.Errorf("the error about the first illegal transition is %v, want an error that ends with %q", err, test.wantError)
			}
		})
	}
}

func TestJobProgressTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[jobProgress] {
		transitions := &transitionCheck{}
		return stateMachine[jobProgress]{(&job{key: "default/j", transitions: transitions}).setProgress, func() error { return transitions.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[jobProgress]{
		{"all completion indexes of the Job end", []jobProgress{jobEnded}, ""},
		{"Job fails as a whole", []jobProgress{jobFailing, jobFailed}, ""},
		{"Job has failed before its tasks were stopped", []jobProgress{jobFailed}, "made an illegal transition from running to failed"},
		{"Job that fails as a whole ends as if it had not failed", []jobProgress{jobFailing, jobEnded}, "made an illegal transition from failing to ended"},
		{"Job fails as a whole after its end", []jobProgress{jobEnded, jobFailing}, "made an illegal transition from ended to failing"},
		{"failed Job runs again", []jobProgress{jobFailing, jobFailed, jobRunning}, "made an illegal transition from failed to running"},
	})
}

func TestJobDeletionTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[jobDeletion] {
		transitions := &transitionCheck{}
		return stateMachine[jobDeletion]{(&job{key: "default/j", transitions: transitions}).setDeletion, func() error { return transitions.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[jobDeletion]{
		{"Job is deleted in the background", []jobDeletion{jobDeleted}, ""},
		{"Job is deleted in the foreground", []jobDeletion{jobDeletingForeground, jobDeleted}, ""},
		{"Job is deleted twice", []jobDeletion{jobDeleted, jobDeleted}, "made an illegal transition of its deletion state from deleted to deleted"},
		{"deleted Job is deleted again in the foreground", []jobDeletion{jobDeleted, jobDeletingForeground}, "made an illegal transition of its deletion state from deleted to deleting foreground"},
		{"deletion of a Job is undone", []jobDeletion{jobDeletingForeground, jobKept}, "made an illegal transition of its deletion state from deleting foreground to kept"},
	})
}

func TestIndexTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[indexState] {
		transitions := &transitionCheck{}
		table := newCompletionIndexTable("default/j", transitions, 1, 0)
		return stateMachine[indexState]{func(next indexState) { table.setState(0, next) }, func() error { return transitions.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[indexState]{
		{"task of the index succeeds", []indexState{indexActive, indexRetrying, indexFinished}, ""},
		{"index gets another task after its task has failed", []indexState{indexActive, indexRetrying, indexActive}, ""},
		{"index is started again after its Job was suspended", []indexState{indexActive, indexRetrying, indexPending, indexActive}, ""},
		{"index fails because no node has reported its task", []indexState{indexFinished}, ""},
		{"task of the index is adopted after the index has finished", []indexState{indexFinished, indexActive}, ""},
		{"index finishes while it has a task", []indexState{indexActive, indexFinished}, "completion index 0 of Job default/j made an illegal transition from active to finished"},
		{"index gets a second task while the first one runs", []indexState{indexActive, indexActive}, "made an illegal transition from active to active"},
		{"index is retried although it had no task", []indexState{indexRetrying}, "made an illegal transition from pending to retrying"},
		{"finished index becomes pending", []indexState{indexFinished, indexPending}, "made an illegal transition from finished to pending"},
	})
}

// TestIndexCounts checks the counts of a completionIndexTable with three indexes while tasks of these
// indexes start and end.
func TestIndexCounts(t *testing.T) {
	const parallelism = 2
	table := newCompletionIndexTable("default/j", &transitionCheck{}, 3, 1)
	for _, want := range []int{0, 1} {
		index, ok := table.takeNext(parallelism)
		if !ok || index != want {
			t.Fatalf("takeNext returned index %d and ok=%v, want index %d and ok=true", index, ok, want)
		}
		table.start(index, &task{index: index})
	}
	if index, ok := table.takeNext(parallelism); ok {
		t.Errorf("takeNext returned index %d although the number of active indexes has reached the parallelism, want no index", index)
	}

	table.recordTaskEnd(0)
	table.succeed(0)
	table.recordTaskEnd(1)
	table.fail(1, true)
	if table.activeIndexes != 0 || table.succeededTasks != 1 || table.failedTasks != 1 || table.failedIndexes != 0 || table.allEnded() {
		t.Errorf("the counts of the table are wrong after one index has succeeded and the task of another has failed and will be retried: %+v", table)
	}

	table.restart(1)
	if index, ok := table.takeNext(parallelism); !ok || index != 1 {
		t.Errorf("takeNext returned index %d and ok=%v, want the restarted index 1 and ok=true", index, ok)
	}
	table.failUnreported(1)
	table.failUnreported(2)
	if table.failedTasks != 3 || table.failedIndexes != 2 || !table.allEnded() || !table.unplacedMayHaveRun {
		t.Errorf("the counts of the table are wrong after one index has succeeded and two indexes have failed: %+v", table)
	}
	if table.adopt(2, &task{index: 2}); table.failedIndexes != 1 || table.activeIndexes != 1 || table.outcomeCounts[outcomeFailed] != 2 {
		t.Errorf("the counts of the table are wrong after a task was adopted for a failed index: %+v", table)
	}
}
