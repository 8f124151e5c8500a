//go:build linux

package httpd

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagram(t *testing.T) {
	machine := statediagram.New(len(connStateNames), []connState{stateIdle}, func(from, to connState) bool {
		return connTransitions[from]&(1<<to) != 0
	})
	statediagram.Check(t, "Connection of the HTTP server", machine)
}
