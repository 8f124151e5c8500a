package dispatch

// requestState is the state of a placement request. The states from requestMigrated on are final for the
// client: the client has stopped waiting for an answer and for the notification that its task has ended. There
// is one exception: if the node does not report itself that it stopped a task for a migration, the client is
// notified of the end of that task after the Migrate message.
type requestState uint8

const (
	// requestOpen means that the request has not been answered yet.
	requestOpen requestState = iota
	// requestRunning means that the task is running.
	requestRunning
	// requestMigrationPlanned means that the task is to be migrated, and that its node has not yet answered
	// the check that shows whether it can be reached. The node has not been ordered to stop the task.
	requestMigrationPlanned
	// requestMigrating means that the node was ordered to stop the running task for a migration and has not
	// yet confirmed that it stopped the task. The client does not know of the migration yet, because it would
	// request the task again while the task may still run.
	requestMigrating
	// requestMigrated means that the node has stopped the task for a migration, and that the client was asked
	// to request a new placement. The node may still report how the task ended.
	requestMigrated
	// requestStopping means that the node was ordered to stop the running task and has not yet confirmed that
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
	requestOpen:             {"open", []requestState{requestRunning, requestAnswered, requestWithdrawn, requestTerminated}},
	requestRunning:          {"running", []requestState{requestMigrationPlanned, requestStopping, requestTerminated}},
	requestMigrationPlanned: {"migration planned", []requestState{requestRunning, requestMigrating, requestStopping, requestTerminated}},
	requestMigrating:        {"migrating", []requestState{requestMigrated, requestStopping, requestTerminated}},
	requestMigrated:         {"migrated", []requestState{requestTerminated}},
	requestStopping:         {"stopping", []requestState{requestTerminated}},
	requestAnswered:         {"answered", nil},
	requestWithdrawn:        {"withdrawn", nil},
	requestTerminated:       {"terminated", nil},
}

// String returns the name of the state.
func (s requestState) String() string { return requestStates.stateName("request", s) }

// isFinal reports whether the state is final for the client. In a final state, the client has stopped waiting
// for an answer and for the notification that its task has ended.
func (s requestState) isFinal() bool { return s >= requestMigrated }
