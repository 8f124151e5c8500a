package engine

import (
	"slices"
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagrams(t *testing.T) {
	tasks := statediagram.New(int(taskStates), []taskState{taskCreated}, func(from, to taskState) bool {
		return slices.Contains(taskTransitions[from], to)
	})
	statediagram.Check(t, "Task of a Job", tasks)

	progress := statediagram.New(int(jobProgresses), []jobProgress{jobRunning}, func(from, to jobProgress) bool {
		return slices.Contains(jobProgressTransitions[from], to)
	})
	statediagram.Check(t, "Job", progress)

	deletion := statediagram.New(int(jobDeletions), []jobDeletion{jobKept}, func(from, to jobDeletion) bool {
		return slices.Contains(jobDeletionTransitions[from], to)
	})
	statediagram.Check(t, "Deletion of a Job", deletion)

	indexes := statediagram.New(int(indexStates), []indexState{indexPending}, func(from, to indexState) bool {
		return slices.Contains(indexTransitions[from], to)
	})
	statediagram.Check(t, "Completion index of a Job", indexes)
}
