package dispatch

// requestState is the state of a placement request. The states from requestMigrating on are closed: the client has been notified of the end or
// requested it, and is not notified again, unless a node does not confirm a migration.
type requestState uint8

const (
	requestOpen       requestState = iota // without an answer
	requestRunning                        // the task runs
	requestMigrating                      // the client was asked to request the placement again; the node has to confirm that it stopped the task
	requestStopping                       // the client was notified of the end or requested it; the node has to confirm that it stopped the task
	requestAnswered                       // rejected or failed
	requestWithdrawn                      // the client no longer waits
	requestTerminated                     // the task ran and has ended
)

// requestStates describes the states of a request. Only requestTable.transition and the functions that open a request set them.
var requestStates = stateTable[requestState]{
	requestOpen:       {"open", []requestState{requestRunning, requestAnswered, requestWithdrawn, requestTerminated}},
	requestRunning:    {"running", []requestState{requestMigrating, requestStopping, requestTerminated}},
	requestMigrating:  {"migrating", []requestState{requestStopping, requestTerminated}},
	requestStopping:   {"stopping", []requestState{requestTerminated}},
	requestAnswered:   {"answered", nil},
	requestWithdrawn:  {"withdrawn", nil},
	requestTerminated: {"terminated", nil},
}

// String returns the state's name.
func (s requestState) String() string { return requestStates.nameOf("request", s) }

// closed reports whether no answer and no notification of the task's end is due any more.
func (s requestState) closed() bool { return s >= requestMigrating }
