package dispatch

// requestState is the state of a placement request. The states from requestMigrating on are final for the
// client: the client has stopped waiting for an answer and for the notification that its task has ended. There
// is one exception: if the node does not confirm that it stopped a task for a migration, the client is notified
// of the end of that task.
type requestState uint8

const (
	// requestOpen means that the request has not been answered yet.
	requestOpen requestState = iota
	// requestRunning means that the task is running.
	requestRunning
	// requestMigrating means that the client was asked to request a new placement of the running task. The
	// node was asked to stop the task and has not yet confirmed that it stopped the task.
	requestMigrating
	// requestStopping means that the node was asked to stop the running task and has not yet confirmed that
	// it stopped the task. Either the client requested the stop, or it was already notified of the end.
	requestStopping
	// requestAnswered means that the client was informed that the request was rejected or has failed.
	requestAnswered
	// requestWithdrawn means that the client no longer waits for an answer.
	requestWithdrawn
	// requestTerminated means that the task ran and has ended.
	requestTerminated
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

// isFinal reports whether the state is final for the client. In a final state, the client has stopped waiting
// for an answer and for the notification that its task has ended.
func (s requestState) isFinal() bool { return s >= requestMigrating }
