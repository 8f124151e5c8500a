package engine

import (
	"strings"
	"testing"
)

// statePath is a sequence of states that follows the initial state of a state machine.
type statePath[S any] struct {
	name    string
	path    []S
	illegal string // end of the error about the first illegal transition; "" if all transitions are legal
}

// stateMachine is a state machine in its initial state. firstIllegal returns the first illegal transition as
// an error.
type stateMachine[S any] struct {
	setState     func(next S)
	firstIllegal func() error
}

// checkStatePaths moves a new state machine along each path, and checks which transition is the first illegal
// one.
func checkStatePaths[S any](t *testing.T, newMachine func(t *testing.T) stateMachine[S], paths []statePath[S]) {
	t.Helper()
	for _, test := range paths {
		t.Run(test.name, func(t *testing.T) {
			machine := newMachine(t)
			for _, next := range test.path {
				machine.setState(next)
			}
			err := machine.firstIllegal()
			switch {
			case test.illegal == "" && err != nil:
				t.Error(err)
			case test.illegal != "" && (err == nil || !strings.HasSuffix(err.Error(), test.illegal)):
				t.Errorf("got error %v, want one that ends in %q", err, test.illegal)
			}
		})
	}
}

func TestJobProgressTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[jobProgress] {
		check := &transitionCheck{}
		return stateMachine[jobProgress]{(&job{key: "default/j", transitions: check}).setProgress, func() error { return check.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[jobProgress]{
		{"all indexes end", []jobProgress{jobEnded}, ""},
		{"fails as a whole", []jobProgress{jobFailing, jobFailed}, ""},
		{"failed without stopping its tasks", []jobProgress{jobFailed}, "made an illegal transition from running to failed"},
		{"ended while failing", []jobProgress{jobFailing, jobEnded}, "made an illegal transition from failing to ended"},
		{"failing after the end", []jobProgress{jobEnded, jobFailing}, "made an illegal transition from ended to failing"},
		{"running again after a failure", []jobProgress{jobFailing, jobFailed, jobRunning}, "made an illegal transition from failed to running"},
	})
}

func TestJobDeletionTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[jobDeletion] {
		check := &transitionCheck{}
		return stateMachine[jobDeletion]{(&job{key: "default/j", transitions: check}).setDeletion, func() error { return check.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[jobDeletion]{
		{"background deletion", []jobDeletion{jobDeleted}, ""},
		{"foreground deletion", []jobDeletion{jobDeletingForeground, jobDeleted}, ""},
		{"deleted twice", []jobDeletion{jobDeleted, jobDeleted}, "made an illegal transition of its deletion state from deleted to deleted"},
		{"foreground deletion of a deleted Job", []jobDeletion{jobDeleted, jobDeletingForeground}, "made an illegal transition of its deletion state from deleted to deleting foreground"},
		{"deletion undone", []jobDeletion{jobDeletingForeground, jobKept}, "made an illegal transition of its deletion state from deleting foreground to kept"},
	})
}

func TestIndexTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[indexState] {
		check := &transitionCheck{}
		table := newCompletionIndexTable("default/j", check, 1, 0)
		return stateMachine[indexState]{func(next indexState) { table.setState(0, next) }, func() error { return check.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[indexState]{
		{"succeeds", []indexState{indexActive, indexRetrying, indexFinished}, ""},
		{"is retried", []indexState{indexActive, indexRetrying, indexActive}, ""},
		{"starts again after a suspension", []indexState{indexActive, indexRetrying, indexPending, indexActive}, ""},
		{"fails because no node reported it", []indexState{indexFinished}, ""},
		{"a duplicate task is adopted after the end", []indexState{indexFinished, indexActive}, ""},
		{"finishes while it has a task", []indexState{indexActive, indexFinished}, "index 0 of Job default/j made an illegal transition from active to finished"},
		{"gets a second task", []indexState{indexActive, indexActive}, "made an illegal transition from active to active"},
		{"retries before its first task", []indexState{indexRetrying}, "made an illegal transition from pending to retrying"},
		{"pending after the end", []indexState{indexFinished, indexPending}, "made an illegal transition from finished to pending"},
	})
}

// TestIndexCounts checks the counts of an index table while three completion indexes start and end.
func TestIndexCounts(t *testing.T) {
	const parallelism = 2
	table := newCompletionIndexTable("default/j", &transitionCheck{}, 3, 1)
	for _, want := range []int{0, 1} {
		index, ok := table.takeNext(parallelism)
		if !ok || index != want {
			t.Fatalf("takeNext returned %d, %v, want %d, true", index, ok, want)
		}
		table.start(index, &task{index: index})
	}
	if index, ok := table.takeNext(parallelism); ok {
		t.Errorf("takeNext returned index %d although two indexes are active, want none", index)
	}

	table.end(0)
	table.succeed(0)
	table.end(1)
	table.fail(1, true)
	if table.active != 0 || table.succeededTasks != 1 || table.failedTasks != 1 || table.failedIndexes != 0 || table.allEnded() {
		t.Errorf("wrong counts after a success and a failure that is retried: %+v", table)
	}

	table.restart(1)
	if index, ok := table.takeNext(parallelism); !ok || index != 1 {
		t.Errorf("takeNext returned %d, %v, want the restarted index 1, true", index, ok)
	}
	table.failUnreported(1)
	table.failUnreported(2)
	if table.failedTasks != 3 || table.failedIndexes != 2 || !table.allEnded() || !table.unplacedMayHaveRun {
		t.Errorf("wrong counts after all indexes have ended: %+v", table)
	}
	if table.adopt(2, &task{index: 2}); table.failedIndexes != 1 || table.active != 1 || table.outcomeCounts[outcomeFailed] != 2 {
		t.Errorf("wrong counts after a duplicate task was adopted: %+v", table)
	}
}
