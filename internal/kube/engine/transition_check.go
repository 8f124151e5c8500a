package engine

import (
	"fmt"
	"slices"
)

// transitionTable lists the legal successors of each state of a state machine.
type transitionTable[S ~uint8] [][]S

// permits reports whether the table allows a transition between two states.
func (t transitionTable[S]) permits(from, next S) bool { return slices.Contains(t[from], next) }

// transitionCheck records the first illegal transition of a task, a Job or a completion index.
// CheckInvariants reports it. An illegal transition is not prevented.
type transitionCheck struct{ firstError error }

// recordIllegal records an illegal transition, unless one is recorded already.
func (c *transitionCheck) recordIllegal(format string, args ...any) {
	if c.firstError == nil {
		c.firstError = fmt.Errorf("engine: "+format, args...)
	}
}
