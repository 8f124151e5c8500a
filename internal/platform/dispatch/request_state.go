package dispatch

// requestState is the state of a placement request. The states from requestMigrating on are final for the
// client: it needs no further answer and no notification that the task has ended. The only exception is a
// node that fails to confirm that it stopped a task for a migration: the client is then notified of the end.
type requestState uint8

const (
	requestOpen       requestState = iota // the request has no answer
	requestRunning                        // the task is running
	requestMigrating                      // the client was asked to migrate; the node has to confirm the stop
	requestStopping                       // the client knows that the task is stopped; the node has to confirm the stop
	requestAnswered                       // the client was sent the answer that the request was rejected or failed
	requestWithdrawn                      // the client no longer waits for an answer
	requestTerminated                     // the task ran and has ended
)

// requestStates contains the name and the legal transitions of each state of a request. Only
// requestTable.transition and the functions that add a request set the state.
var requestStates = stateTable[requestState]{
	requestOpen:       {"open", []requestState{requestRunning, requestAnswered, requestWithdrawn, requestTerminated}},
	requestRunning:    {"running", []requestState{requestMigrating, requestStopping, requestTerminated}},
	requestMigrating:  {"migrating", []requestState{requestStopping, requestTerminated}},
	requestStopping:   {"stopping", []requestState{requestTerminated}},
	requestAnswered:   {"answered", nil},
	requestWithdrawn:  {"withdrawn", nil},
	requestTerminated: {"terminated", nil},
}

// String returns the name of the state.
func (s requestState) String() string { return requestStates.stateName("request", s) }

// isFinal reports whether the client needs no further answer and no notification that the task has ended.
func (s requestState) isFinal() bool { return s >= requestMigrating }
