//go:build linux

package eventloop

import (
	"slices"
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagram(t *testing.T) {
	machine := statediagram.New(len(connStateNames), []connState{stateDialing, stateOpen}, func(from, to connState) bool {
		return slices.Contains(connTransitions[from], to)
	})
	statediagram.Check(t, "Connection of the event loop", machine)
}
