package engine

import (
	"fmt"
	"slices"
)

// transitionTable lists, for each state of a state machine, the states that may follow it.
type transitionTable[S ~uint8] [][]S

// permits reports whether the table allows a transition between two states.
func (t transitionTable[S]) permits(from, next S) bool { return slices.Contains(t[from], next) }

// transitionCheck records the first illegal transition of a task, a Job or a completion index, and
// CheckInvariants reports it. transitionCheck does not prevent the transition.
type transitionCheck struct{ firstError error }

// recordIllegal records an illegal transition unless an earlier one is already recorded.
func (c *transitionCheck) recordIllegal(format string, args ...any) {
	if c.firstError == nil {
		c.firstError = fmt.Errorf("engine: "+format, args...)
	}
}
