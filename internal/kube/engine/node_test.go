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
		{"node states its first incarnation", nil, "a", false},
		{"message states no incarnation", []string{"a"}, "", false},
		{"node states its present incarnation again", []string{"a"}, "a", false},
		{"node states a new incarnation", []string{"a"}, "b", true},
		{"late message states a past incarnation", []string{"a", "b"}, "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			testNode := &node{}
			for _, incarnation := range test.earlierIncarnations {
				testNode.recordIncarnation(incarnation)
			}
			if got := testNode.recordIncarnation(test.statedIncarnation); got != test.want {
				t.Errorf("recordIncarnation returned %v as the answer to whether a known incarnation was replaced, want %v", got, test.want)
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
		t.Errorf("the node remembers %d past incarnations after many restarts, want %d", got, maxPastIncarnations)
	}
}

// TestUnresolvedAttemptsInCreationOrder checks that a node returns its attempts with an unknown outcome in
// a fixed order. A map holds these attempts, and the random order in which it is iterated must not
// determine the order of effects.
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
