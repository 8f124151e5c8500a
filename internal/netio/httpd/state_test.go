//go:build linux

package httpd

import "testing"

// TestConnStates checks that a connection goes through a request in order, may end at any time, and never goes on after.
func TestConnStates(t *testing.T) {
	next := map[connState]connState{
		stateIdle:        stateReadingHead,
		stateReadingHead: stateReadingBody,
		stateReadingBody: stateHandling,
		stateHandling:    stateResponding,
		stateResponding:  stateIdle,
	}
	for from := stateIdle; from <= stateEnded; from++ {
		for to := stateIdle; to <= stateEnded; to++ {
			follows, ok := next[from]
			want := ok && (to == follows || to == stateEnded)
			if got := transitionMade(t, from, to); got != want {
				t.Errorf("from %s to %s: taken %t, want %t", from, to, got, want)
			}
		}
	}
}

// transitions reports whether a connection goes from one state to another. A transition that it does not make must be counted.
func transitionMade(t *testing.T, from, to connState) (taken bool) {
	t.Helper()
	server := &Server{}
	connection := &conn{server: server, state: from}
	connection.setState(to)
	if refused := server.IllegalTransitions == 1; refused != (connection.state == from) {
		t.Errorf("from %s to %s: in %s, counted %d", from, to, connection.state, server.IllegalTransitions)
	}
	return connection.state == to && from != to
}
