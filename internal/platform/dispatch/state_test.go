package dispatch

import (
	"slices"
	"strings"
	"testing"
)

// requireTransitions checks a table of transitions for each pair of states up to the last: a legal transition is one that may be legal, and a
// transition happens in any case but is counted if it is illegal.
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
				t.Errorf("state %v leads to %v", from, to)
			}
			after, illegal := transition(from, to)
			if counted := illegal == 1; after != to || counted == legal {
				t.Errorf("from %v to %v: state %v, counted as illegal: %v", from, to, after, counted)
			}
		}
	}
}

// TestRequestTransitions: a closed request stays closed, and a transition that is not in the table is counted.
func TestRequestTransitions(t *testing.T) {
	staysClosed := func(from, to requestState) bool { return !from.isFinal() || to.isFinal() }
	requireTransitions(t, requestStates, requestTerminated, staysClosed, func(from, to requestState) (requestState, int) {
		table, req := &requestTable{}, &request{state: from}
		table.transition(req, to)
		return req.state, table.illegalTransitions
	})
}

// TestAttemptTransitions: an attempt that has ended is never live again, and a transition that is not in the table is counted.
func TestAttemptTransitions(t *testing.T) {
	goesOn := func(from, to attemptState) bool { return to > from }
	requireTransitions(t, attemptStates, attemptTerminated, goesOn, func(from, to attemptState) (attemptState, int) {
		table, attempt := &attemptTable{}, &Attempt{state: from}
		table.transition(attempt, to)
		return attempt.state, table.illegalTransitions
	})
}

// TestStateNames: each state has a name of its own, and a number that is no state is shown as such.
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
			t.Errorf("a state is named %q", name)
		}
	}
	slices.Sort(names)
	if distinct := len(slices.Compact(slices.Clone(names))); distinct != len(names) {
		t.Errorf("%d names for %d states: %v", distinct, len(names), names)
	}
	if got := requestState(99).String() + ", " + attemptState(98).String(); got != "request state 99, attempt state 98" {
		t.Errorf("unknown states are named %q", got)
	}
}
