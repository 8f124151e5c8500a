package dispatch

import (
	"slices"
	"strings"
	"testing"
)

// requireTransitions checks the table of a state machine for each pair of states. Only transitions that
// mayBeLegal allows may be legal. Every transition must be carried out, and exactly the illegal ones must be
// counted.
func requireTransitions[State ~uint8](
	t *testing.T, table stateTable[State], last State, mayBeLegal func(from, to State) bool, transition func(from, to State) (after State, illegal int),
) {
	t.Helper()
	if len(table) != int(last)+1 {
		t.Fatalf("the table has %d states, want %d", len(table), last+1)
	}
	for from := State(0); from <= last; from++ {
		for to := State(0); to <= last; to++ {
			legal := slices.Contains(table[from].legalNext, to)
			if legal && !mayBeLegal(from, to) {
				t.Errorf("the table allows the transition from %v to %v", from, to)
			}
			after, illegal := transition(from, to)
			if counted := illegal == 1; after != to || counted == legal {
				t.Errorf("transition from %v to %v: state is %v, counted as illegal: %v", from, to, after, counted)
			}
		}
	}
}

// TestRequestTransitions checks that a request stays in the final states once it has reached one, and that
// illegal transitions are counted.
func TestRequestTransitions(t *testing.T) {
	staysFinal := func(from, to requestState) bool { return !from.isFinal() || to.isFinal() }
	requireTransitions(t, requestStates, requestTerminated, staysFinal, func(from, to requestState) (requestState, int) {
		table, req := &requestTable{}, &request{state: from}
		table.transition(req, to)
		return req.state, table.illegalTransitions
	})
}

// TestAttemptTransitions checks that the state of an attempt only advances, and that illegal transitions are
// counted.
func TestAttemptTransitions(t *testing.T) {
	advances := func(from, to attemptState) bool { return to > from }
	requireTransitions(t, attemptStates, attemptTerminated, advances, func(from, to attemptState) (attemptState, int) {
		table, attempt := &attemptTable{}, &Attempt{state: from}
		table.transition(attempt, to)
		return attempt.state, table.illegalTransitions
	})
}

// TestStateNames checks that each state has a unique name, and that an unknown state is shown with its
// number.
func TestStateNames(t *testing.T) {
	var names []string
	for state := requestOpen; state <= requestTerminated; state++ {
		names = append(names, "request "+state.String())
	}
	for state := attemptPending; state <= attemptTerminated; state++ {
		names = append(names, "attempt "+state.String())
	}
	for _, name := range names {
		if strings.HasSuffix(name, " ") || strings.Contains(name, "state") {
			t.Errorf("state has the invalid name %q", name)
		}
	}
	slices.Sort(names)
	if distinct := len(slices.Compact(slices.Clone(names))); distinct != len(names) {
		t.Errorf("%d distinct names for %d states: %v", distinct, len(names), names)
	}
	if got := requestState(99).String() + ", " + attemptState(98).String(); got != "request state 99, attempt state 98" {
		t.Errorf("names of unknown states are %q", got)
	}
}
