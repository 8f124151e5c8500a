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
			walked := newMachine(t)
			for _, next := range test.path {
				walked.setState(next)
			}
			err := walked.firstIllegal()
			switch {
			case test.illegal == "" && err != nil:
				t.Error(err)
			case test.illegal != "" && (err == nil || !strings.HasSuffix(err.Error(), test.illegal)):
				t.Errorf("%v, want an error that ends in %q", err, test.illegal)
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
		{"fails without stopping its tasks", []jobProgress{jobFailed}, "goes from running to failed"},
		{"ends while it fails", []jobProgress{jobFailing, jobEnded}, "goes from failing to ended"},
		{"fails after its end", []jobProgress{jobEnded, jobFailing}, "goes from ended to failing"},
		{"runs again", []jobProgress{jobFailing, jobFailed, jobRunning}, "goes from failed to running"},
	})
}

func TestJobDeletionTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[jobDeletion] {
		check := &transitionCheck{}
		return stateMachine[jobDeletion]{(&job{key: "default/j", transitions: check}).setDeletion, func() error { return check.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[jobDeletion]{
		{"in the background", []jobDeletion{jobDeleted}, ""},
		{"in the foreground", []jobDeletion{jobDeletingForeground, jobDeleted}, ""},
		{"twice", []jobDeletion{jobDeleted, jobDeleted}, "goes from deleted to deleted"},
		{"in the foreground after its deletion", []jobDeletion{jobDeleted, jobDeletingForeground}, "goes from deleted to deleting foreground"},
		{"taken back", []jobDeletion{jobDeletingForeground, jobKept}, "goes from deleting foreground to kept"},
	})
}

func TestIndexTransitions(t *testing.T) {
	newMachine := func(*testing.T) stateMachine[indexState] {
		check := &transitionCheck{}
		table := newIndexTable("default/j", check, 1, 0)
		return stateMachine[indexState]{func(next indexState) { table.setState(0, next) }, func() error { return check.firstError }}
	}
	checkStatePaths(t, newMachine, []statePath[indexState]{
		{"succeeds", []indexState{indexActive, indexRetrying, indexFinished}, ""},
		{"is retried", []indexState{indexActive, indexRetrying, indexActive}, ""},
		{"starts anew after a suspension", []indexState{indexActive, indexRetrying, indexPending, indexActive}, ""},
		{"fails unseen", []indexState{indexFinished}, ""},
		{"a copy is adopted after the end", []indexState{indexFinished, indexActive}, ""},
		{"finishes with a task", []indexState{indexActive, indexFinished}, "index 0 of Job default/j goes from active to finished"},
		{"has two tasks", []indexState{indexActive, indexActive}, "goes from active to active"},
		{"retries without a task", []indexState{indexRetrying}, "goes from pending to retrying"},
		{"starts after its end", []indexState{indexFinished, indexPending}, "goes from finished to pending"},
	})
}

// TestIndexCounts checks the counts of an index table while three completion indexes start and end.
func TestIndexCounts(t *testing.T) {
	const parallelism = 2
	table := newIndexTable("default/j", &transitionCheck{}, 3, 1)
	for _, want := range []int{0, 1} {
		index, ok := table.takeNext(parallelism)
		if !ok || index != want {
			t.Fatalf("index %d, %v is next, want %d", index, ok, want)
		}
		table.start(index, &task{index: index})
	}
	if index, ok := table.takeNext(parallelism); ok {
		t.Errorf("index %d is next with two active, want none", index)
	}

	table.end(0)
	table.succeed(0)
	table.end(1)
	table.fail(1, true)
	if table.active != 0 || table.succeededTasks != 1 || table.failedTasks != 1 || table.failedIndexes != 0 || table.allEnded() {
		t.Errorf("after a success and a failure that is retried: %+v", table)
	}

	table.restart(1)
	if index, ok := table.takeNext(parallelism); !ok || index != 1 {
		t.Errorf("index %d, %v is next, want the restarted one", index, ok)
	}
	table.failUnreported(1)
	table.failUnreported(2)
	if table.failedTasks != 3 || table.failedIndexes != 2 || !table.allEnded() || !table.unplacedMayHaveRun {
		t.Errorf("after the last failures: %+v", table)
	}
	if table.adopt(2, &task{index: 2}); table.failedIndexes != 1 || table.active != 1 || table.outcomeCounts[outcomeFailed] != 2 {
		t.Errorf("after a copy was adopted: %+v", table)
	}
}
