package engine

import (
	"fmt"
	"slices"
)

// transitionTable lists, for each state of a state machine, the states that may follow it.
type transitionTable[S ~uint8] [][]S

// permits reports whether a state may follow another.
func (t transitionTable[S]) permits(from, next S) bool { return slices.Contains(t[from], next) }

// transitionCheck records the first illegal transition of a task, a Job or an index, for CheckInvariants. The transition is made nevertheless.
type transitionCheck struct{ firstError error }

// illegal records an illegal transition.
func (c *transitionCheck) recordIllegal(format string, args ...any) {
	if c.firstError == nil {
		c.firstError = fmt.Errorf("engine: "+format, args...)
	}
}
