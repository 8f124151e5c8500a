package engine

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagrams(t *testing.T) {
	statediagram.Check(t, "Task of a Job", statediagram.New(int(taskStates), []taskState{taskCreated}, taskTransitions.permits))
	statediagram.Check(t, "Job", statediagram.New(int(jobProgresses), []jobProgress{jobRunning}, jobProgressTransitions.permits))
	statediagram.Check(t, "Deletion of a Job", statediagram.New(int(jobDeletions), []jobDeletion{jobKept}, jobDeletionTransitions.permits))
	statediagram.Check(t, "Completion index of a Job", statediagram.New(int(indexStates), []indexState{indexPending}, indexTransitions.permits))
}
