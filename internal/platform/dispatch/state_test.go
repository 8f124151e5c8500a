package dispatch

import (
	"slices"
	"strings"
	"testing"
)

// requireTransitions checks the table of a state machine for each pair of states. The table may allow a
// transition only if mayBeLegal returns true for it. Every transition must be carried out, and a transition
// must be counted as illegal if and only if the table does not allow it.
func requireTransitions[State ~uint8](
	t *testing.T, table stateTable[State], last State, mayBeLegal func(from, to State) bool, transition func(from, to State) (after State, illegal int),
) {
	t.Helper()
	if len(table) != int(last)+1 {
		t.Fatalf("the table describes %d states, want %d", len(table), last+1)
	}
	for from := State(0); from <= last; from++ {
		for to := State(0); to <= last; to++ {
			legal := slices.Contains(table[from].legalNext, to)
			if legal && !mayBeLegal(from, to) {
				t.Errorf("the table allows the transition from %v to %v, want it to be illegal", from, to)
			}
			stateAfter, illegalCount := transition(from, to)
			if counted := illegalCount == 1; stateAfter != to || counted == legal {
				t.Errorf("transition from %v to %v: the state became %v, counted as illegal: %v; want the second state, and a count only if the table forbids the transition", from, to, stateAfter, counted)
			}
		}
	}
}

// TestRequestTransitions checks that no transition of a request leads from a final state to one that is not
// final, and that illegal transitions are counted.
func TestRequestTransitions(t *testing.T) {
	staysFinal := func(from, to requestState) bool { return !from.isFinal() || to.isFinal() }
	requireTransitions(t, requestStates, requestTerminated, staysFinal, func(from, to requestState) (requestState, int) {
		table, req := &requestTable{}, &request{state: from}
		table.transition(req, to)
		return req.state, table.illegalTransitions
	})
}

// TestAttemptTransitions checks that each transition of an attempt leads to a later state, and that illegal
// transitions are counted.
func TestAttemptTransitions(t *testing.T) {
	leadsToLaterState := func(from, to attemptState) bool { return to > from }
	requireTransitions(t, attemptStates, attemptTerminated, leadsToLaterState, func(from, to attemptState) (attemptState, int) {
		table, attempt := &attemptTable{}, &Attempt{state: from}
		table.transition(attempt, to)
		return attempt.state, table.illegalTransitions
	})
}

// TestStateNames checks that each state has a unique name, and that the name of an unknown state contains its
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
		t.Errorf("the states have %d distinct names, want %d, one for each state: %v", distinct, len(names), names)
	}
	if got := requestState(99).String() + ", " + attemptState(98).String(); got != "request state 99, attempt state 98" {
		t.Errorf("names of unknown states are %q, want their state machines and numbers", got)
	}
}
