package engine

import (
	"strings"
	"testing"
)

// checkTransition compares the first illegal transition that was recorded with the one that is expected, "" if all are legal.
func checkTransition(t *testing.T, check *transitionCheck, want string) {
	t.Helper()
	switch {
	case want == "" && check.first != nil:
		t.Error(check.first)
	case want != "" && (check.first == nil || !strings.HasSuffix(check.first.Error(), want)):
		t.Errorf("%v, want an error that ends in %q", check.first, want)
	}
}

func TestJobProgressTransitions(t *testing.T) {
	for _, test := range []struct {
		name string
		path []jobProgress // from jobRunning on
		bad  string        // "" if the path is legal
	}{
		{"all indexes end", []jobProgress{jobEnded}, ""},
		{"fails as a whole", []jobProgress{jobFailing, jobFailed}, ""},
		{"fails without stopping its tasks", []jobProgress{jobFailed}, "goes from running to failed"},
		{"ends while it fails", []jobProgress{jobFailing, jobEnded}, "goes from failing to ended"},
		{"fails after its end", []jobProgress{jobEnded, jobFailing}, "goes from ended to failing"},
		{"runs again", []jobProgress{jobFailing, jobFailed, jobRunning}, "goes from failed to running"},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := &transitionCheck{}
			walked := &job{key: "default/j", transitions: check}
			for _, next := range test.path {
				walked.setProgress(next)
			}
			checkTransition(t, check, test.bad)
		})
	}
}

func TestJobDeletionTransitions(t *testing.T) {
	for _, test := range []struct {
		name string
		path []jobDeletion // from jobKept on
		bad  string        // "" if the path is legal
	}{
		{"in the background", []jobDeletion{jobDeleted}, ""},
		{"in the foreground", []jobDeletion{jobDeletingForeground, jobDeleted}, ""},
		{"twice", []jobDeletion{jobDeleted, jobDeleted}, "goes from deleted to deleted"},
		{"in the foreground after its deletion", []jobDeletion{jobDeleted, jobDeletingForeground}, "goes from deleted to deleting foreground"},
		{"taken back", []jobDeletion{jobDeletingForeground, jobKept}, "goes from deleting foreground to kept"},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := &transitionCheck{}
			walked := &job{key: "default/j", transitions: check}
			for _, next := range test.path {
				walked.setDeletion(next)
			}
			checkTransition(t, check, test.bad)
		})
	}
}

func TestIndexTransitions(t *testing.T) {
	for _, test := range []struct {
		name string
		path []indexState // from indexPending on
		bad  string       // "" if the path is legal
	}{
		{"succeeds", []indexState{indexActive, indexRetrying, indexFinished}, ""},
		{"is retried", []indexState{indexActive, indexRetrying, indexActive}, ""},
		{"starts anew after a suspension", []indexState{indexActive, indexRetrying, indexPending, indexActive}, ""},
		{"fails unseen", []indexState{indexFinished}, ""},
		{"a copy is adopted after the end", []indexState{indexFinished, indexActive}, ""},
		{"finishes with a task", []indexState{indexActive, indexFinished}, "index 0 of Job default/j goes from active to finished"},
		{"has two tasks", []indexState{indexActive, indexActive}, "goes from active to active"},
		{"retries without a task", []indexState{indexRetrying}, "goes from pending to retrying"},
		{"starts after its end", []indexState{indexFinished, indexPending}, "goes from finished to pending"},
	} {
		t.Run(test.name, func(t *testing.T) {
			check := &transitionCheck{}
			walked := newIndexTable("default/j", check, 1, 0)
			for _, next := range test.path {
				walked.setState(0, next)
			}
			checkTransition(t, check, test.bad)
		})
	}
}

// TestIndexCounts follows three indexes from their starts to their ends.
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
	if table.active != 0 || table.succeeded != 1 || table.failed != 1 || table.exhausted != 0 || table.allEnded() {
		t.Errorf("after a success and a failure that is retried: %+v", table)
	}

	table.restart(1)
	if index, ok := table.takeNext(parallelism); !ok || index != 1 {
		t.Errorf("index %d, %v is next, want the restarted one", index, ok)
	}
	table.failUnseen(1)
	table.failUnseen(2)
	if table.failed != 3 || table.exhausted != 2 || !table.allEnded() || !table.unplacedMayHaveRun {
		t.Errorf("after the last failures: %+v", table)
	}
	if table.adopt(2, &task{index: 2}); table.exhausted != 1 || table.active != 1 || table.settled[outcomeFailed] != 2 {
		t.Errorf("after a copy was adopted: %+v", table)
	}
}
