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
		want  bool // whether the given incarnation replaces a known one
	}{
		{"first incarnation", nil, "a", false},
		{"no incarnation stated", []string{"a"}, "", false},
		{"present incarnation", []string{"a"}, "a", false},
		{"new incarnation", []string{"a"}, "b", true},
		{"late message of a past incarnation", []string{"a", "b"}, "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			observed := &node{}
			for _, incarnation := range test.known {
				observed.recordIncarnation(incarnation)
			}
			if got := observed.recordIncarnation(test.given); got != test.want {
				t.Errorf("recordIncarnation returned %v, want %v", got, test.want)
			}
		})
	}
}

// TestPastIncarnationsAreBounded checks that the memory for past incarnations does not grow without limit
// if a node restarts often.
func TestPastIncarnationsAreBounded(t *testing.T) {
	observed := &node{}
	for restart := range 10 * maxPastIncarnations {
		observed.recordIncarnation(fmt.Sprint("incarnation-", restart))
	}
	if got := len(observed.pastIncarnations); got != maxPastIncarnations {
		t.Errorf("node remembers %d past incarnations, want %d", got, maxPastIncarnations)
	}
}

// TestUnresolvedAttemptsInCreationOrder checks that unresolved attempts are returned in a fixed order. The
// random iteration order of the map that holds them must not determine the order of effects.
func TestUnresolvedAttemptsInCreationOrder(t *testing.T) {
	observed := &node{}
	for _, sequence := range []int{4, 1, 3, 0, 2} {
		owner := &task{sequence: sequence}
		observed.addUnknownOutcome(&attempt{task: owner, number: 2})
		observed.addUnknownOutcome(&attempt{task: owner, number: 1})
	}
	for i, unresolved := range observed.unresolvedAttempts() {
		if unresolved.task.sequence != i/2 || unresolved.number != i%2+1 {
			t.Errorf("attempt at position %d is out of order: number %d of task %d", i, unresolved.number, unresolved.task.sequence)
		}
	}
}
