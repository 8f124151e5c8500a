//go:build linux

package httpd

import "testing"

// TestConnStates checks that a connection passes through the states of a request in order, that it can end
// in any state, and that no transition leaves the ended state.
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
				t.Errorf("transition from state %s to %s: made %t, want %t", from, to, got, want)
			}
		}
	}
}

// transitionMade reports whether setState makes a transition. It fails the test if setState ignores a
// transition without counting it, or counts one that it makes.
func transitionMade(t *testing.T, from, to connState) (made bool) {
	t.Helper()
	server := &Server{}
	connection := &conn{server: server, state: from}
	connection.setState(to)
	if refused := server.IllegalTransitions == 1; refused != (connection.state == from) {
		t.Errorf("transition from state %s to %s: the state is %s and %d illegal transitions are counted, want either a new state or one counted", from, to, connection.state, server.IllegalTransitions)
	}
	return connection.state == to && from != to
}
