package engine

import (
	"fmt"
)

// transitionCheck records the first illegal transition of a task, a Job or an index, for CheckInvariants. The transition is made nevertheless.
type transitionCheck struct{ first error }

// illegal records an illegal transition.
func (c *transitionCheck) illegal(format string, args ...any) {
	if c.first == nil {
		c.first = fmt.Errorf("engine: "+format, args...)
	}
}
