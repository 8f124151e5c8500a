package engine

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagrams(t *testing.T) {
	statediagram.Check(t, "Task of a Job", statediagram.New(int(taskStateCount), []taskState{taskCreated}, taskTransitions.permits))
	statediagram.Check(t, "Job", statediagram.New(int(jobProgressCount), []jobProgress{jobRunning}, jobProgressTransitions.permits))
	statediagram.Check(t, "Deletion of a Job", statediagram.New(int(jobDeletionCount), []jobDeletion{jobKept}, jobDeletionTransitions.permits))
	statediagram.Check(t, "Completion index of a Job", statediagram.New(int(indexStateCount), []indexState{indexPending}, indexTransitions.permits))
}
