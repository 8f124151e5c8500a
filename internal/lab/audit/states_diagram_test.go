package audit

import (
	"slices"
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagram(t *testing.T) {
	machine := statediagram.New(int(attemptStates), []attemptState{attemptReceived}, func(from, to attemptState) bool {
		return slices.Contains(attemptTransitions[from], to)
	})
	statediagram.Check(t, "Attempt in the audit", machine)
}
