package dispatch

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagrams(t *testing.T) {
	requests := statediagram.New(len(requestStates), []requestState{requestOpen, requestRunning}, requestStates.isLegal)
	statediagram.Check(t, "Placement request on the platform", requests)

	attempts := statediagram.New(len(attemptStates), []attemptState{attemptPending, attemptRunning}, attemptStates.isLegal)
	statediagram.Check(t, "Attempt on the platform", attempts)
}
