package dispatch

import (
	"slices"
	"strings"
	"testing"
)

// TestRequestTransitions: a closed request stays closed, and a transition that is not in the table is counted.
func TestRequestTransitions(t *testing.T) {
	if len(requestTransitions) != int(requestTerminated)+1 {
		t.Fatalf("transitions for %d states", len(requestTransitions))
	}
	for from := requestOpen; from <= requestTerminated; from++ {
		for to := requestOpen; to <= requestTerminated; to++ {
			legal := slices.Contains(requestTransitions[from], to)
			if legal && from.closed() && !to.closed() {
				t.Errorf("state %v is closed and leads to %v", from, to)
			}
			table, req := &requestTable{}, &request{state: from}
			table.transition(req, to)
			if counted := table.illegalTransitions == 1; req.state != to || counted == legal {
				t.Errorf("from %v to %v: state %v, counted as illegal: %v", from, to, req.state, counted)
			}
		}
	}
}

// TestAttemptTransitions: an attempt that has ended is never live again, and a transition that is not in the table is counted.
func TestAttemptTransitions(t *testing.T) {
	if len(attemptTransitions) != int(attemptTerminated)+1 {
		t.Fatalf("transitions for %d states", len(attemptTransitions))
	}
	for from := attemptPending; from <= attemptTerminated; from++ {
		for to := attemptPending; to <= attemptTerminated; to++ {
			legal := slices.Contains(attemptTransitions[from], to)
			if legal && to <= from {
				t.Errorf("state %v leads back to %v", from, to)
			}
			table, attempt := &attemptTable{}, &Attempt{state: from}
			table.transition(attempt, to)
			if counted := table.illegalTransitions == 1; attempt.state != to || counted == legal {
				t.Errorf("from %v to %v: state %v, counted as illegal: %v", from, to, attempt.state, counted)
			}
		}
	}
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
