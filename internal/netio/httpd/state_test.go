//go:build linux

package httpd

import "testing"

// TestConnStates checks that setState allows the states of a request only in their order, that every state
// except stateEnded may be followed by stateEnded, and that no transition leaves stateEnded.
func TestConnStates(t *testing.T) {
	successors := map[connState]connState{
		stateIdle:        stateReadingHead,
		stateReadingHead: stateReadingBody,
		stateReadingBody: stateHandling,
		stateHandling:    stateResponding,
		stateResponding:  stateIdle,
	}
	for from := stateIdle; from <= stateEnded; from++ {
		for to := stateIdle; to <= stateEnded; to++ {
			successor, ok := successors[from]
			want := ok && (to == successor || to == stateEnded)
			if got := transitionMade(t, from, to); got != want {
				t.Errorf("setState makes the transition from state %q to state %q: got %t, want %t", from, to, got, want)
			}
		}
	}
}

// transitionMade calls setState(to) on a connection whose state is from, and reports whether the state
// changes. Server.IllegalTransitions must then be 1 if the state is unchanged, and 0 if it has changed.
// Otherwise transitionMade fails the test.
func transitionMade(t *testing.T, from, to connState) (made bool) {
	t.Helper()
	server := &Server{}
	connection := &conn{server: server, state: from}
	connection.setState(to)
	if refused := server.IllegalTransitions == 1; refused != (connection.state == from) {
		t.Errorf("setState was called on a connection in state %q with the new state %q: got state %q and %d counted illegal transitions; want the new state and 0 illegal transitions, or the old state and 1", from, to, connection.state, server.IllegalTransitions)
	}
	return connection.state == to && from != to
}
