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
				t.Errorf("setState makes a transition from state %q to state %q: %t, want %t", from, to, got, want)
			}
		}
	}
}

// transitionMade reports whether setState makes a transition. It fails the test if setState ignores a
// transition without counting it, or counts a transition that it makes.
func transitionMade(t *testing.T, from, to connState) (made bool) {
	t.Helper()
	server := &Server{}
	connection := &conn{server: server, state: from}
	connection.setState(to)
	if refused := server.IllegalTransitions == 1; refused != (connection.state == from) {
		t.Errorf("after setState from state %q to state %q, the state is %q and IllegalTransitions is %d; want the new state and 0, or the old state and 1", from, to, connection.state, server.IllegalTransitions)
	}
	return connection.state == to && from != to
}
