package engine

import (
	"fmt"
	"testing"
)

func TestRecordIncarnation(t *testing.T) {
	for _, test := range []struct {
		name  string
		known []string // incarnations that the node has stated before, in order
		given string
		want  bool // a known incarnation has ended
	}{
		{"the first", nil, "a", false},
		{"none stated", []string{"a"}, "", false},
		{"the present one", []string{"a"}, "a", false},
		{"the next", []string{"a"}, "b", true},
		{"a late message of a past one", []string{"a", "b"}, "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			observed := &node{}
			for _, incarnation := range test.known {
				observed.startsIncarnation(incarnation)
			}
			if got := observed.startsIncarnation(test.given); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// TestPastIncarnationsAreBounded checks that a node which restarts often takes no more memory.
func TestPastIncarnationsAreBounded(t *testing.T) {
	observed := &node{}
	for restart := range 10 * maxPastIncarnations {
		observed.startsIncarnation(fmt.Sprint("incarnation-", restart))
	}
	if got := len(observed.pastIncarnations); got != maxPastIncarnations {
		t.Errorf("%d past incarnations are remembered, want %d", got, maxPastIncarnations)
	}
}

// TestUnresolvedAttemptsInCreationOrder checks that the order of a map does not become the order of effects.
func TestUnresolvedAttemptsInCreationOrder(t *testing.T) {
	at := &node{}
	for _, sequence := range []int{4, 1, 3, 0, 2} {
		owner := &task{sequence: sequence}
		at.addUnknownOutcome(&attempt{task: owner, number: 2})
		at.addUnknownOutcome(&attempt{task: owner, number: 1})
	}
	for i, unresolved := range at.unresolvedAttempts() {
		if unresolved.task.sequence != i/2 || unresolved.number != i%2+1 {
			t.Errorf("place %d: attempt %d of task %d", i, unresolved.number, unresolved.task.sequence)
		}
	}
}
