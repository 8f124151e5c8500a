package dispatch

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagrams(t *testing.T) {
	requests := statediagram.New(len(requestTransitions), []requestState{requestOpen, requestRunning}, requestState.canBecome)
	statediagram.Check(t, "Placement request on the platform", requests)

	attempts := statediagram.New(len(attemptTransitions), []attemptState{attemptPending, attemptRunning}, attemptState.canBecome)
	statediagram.Check(t, "Attempt on the platform", attempts)
}
