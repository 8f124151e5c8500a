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
}
