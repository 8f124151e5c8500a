package engine

import (
	"fmt"
	"testing"
)

func TestRecordIncarnation(t *testing.T) {
	for _, test := range []struct {
		name                string
		earlierIncarnations []string // incarnations that the node has stated before, the oldest first
		statedIncarnation   string
		want                bool // whether statedIncarnation replaces a known incarnation
	}{
		{"first incarnation", nil, "a", false},
		{"no incarnation stated", []string{"a"}, "", false},
		{"present incarnation", []string{"a"}, "a", false},
		{"new incarnation", []string{"a"}, "b", true},
		{"past incarnation in a late message", []string{"a", "b"}, "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			testNode := &node{}
			for _, incarnation := range test.earlierIncarnations {
				testNode.recordIncarnation(incarnation)
			}
			if got := testNode.recordIncarnation(test.statedIncarnation); got != test.want {
				t.Errorf("recordIncarnation returned %v, want %v: it reports whether a known incarnation was replaced", got, test.want)
			}
		})
	}
}

// TestPastIncarnationsAreBounded checks that the list of past incarnations does not grow without limit if a
// node restarts often.
func TestPastIncarnationsAreBounded(t *testing.T) {
	testNode := &node{}
	for restart := range 10 * maxPastIncarnations {
		testNode.recordIncarnation(fmt.Sprint("incarnation-", restart))
	}
	if got := len(testNode.pastIncarnations); got != maxPastIncarnations {
		t.Errorf("the node has a list of %d past incarnations, want %d", got, maxPastIncarnations)
	}
}

// TestUnresolvedAttemptsInCreationOrder checks that a node returns its attempts with an unknown outcome in a
// fixed order. The random iteration order of the map that holds them must not determine the order of effects.
func TestUnresolvedAttemptsInCreationOrder(t *testing.T) {
	testNode := &node{}
	for _, sequence := range []int{4, 1, 3, 0, 2} {
		owner := &task{sequence: sequence}
		testNode.addUnknownOutcome(&attempt{task: owner, number: 2})
		testNode.addUnknownOutcome(&attempt{task: owner, number: 1})
	}
	for i, unresolvedAttempt := range testNode.unresolvedAttempts() {
		if unresolvedAttempt.task.sequence != i/2 || unresolvedAttempt.number != i%2+1 {
			t.Errorf("the attempt at position %d is out of order: it has number %d and belongs to the task with sequence %d", i, unresolvedAttempt.number, unresolvedAttempt.task.sequence)
		}
	}
}
