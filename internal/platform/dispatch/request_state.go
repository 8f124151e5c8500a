package dispatch

import (
	"slices"
	"strconv"
)

// requestState is the state of a placement request. The states from requestMigrating on are closed: the client has been notified of the end or
// asked for it, and is not notified again, unless a node does not confirm a migration.
type requestState uint8

const (
	requestOpen       requestState = iota // without an answer
	requestRunning                        // the task runs
	requestMigrating                      // the client was asked to place the task anew; the node is to confirm that it stopped it
	requestStopping                       // the client knows of the end or asked for it; the node is to confirm that it stopped the task
	requestAnswered                       // rejected or failed
	requestWithdrawn                      // the client no longer waits
	requestTerminated                     // the task ran and has ended
)

// requestTransitions are the legal next states of each state.
var requestTransitions = [...][]requestState{
	requestOpen:       {requestRunning, requestAnswered, requestWithdrawn, requestTerminated},
	requestRunning:    {requestMigrating, requestStopping, requestTerminated},
	requestMigrating:  {requestStopping, requestTerminated},
	requestStopping:   {requestTerminated},
	requestAnswered:   {},
	requestWithdrawn:  {},
	requestTerminated: {},
}

var requestStateNames = [...]string{
	requestOpen:       "open",
	requestRunning:    "running",
	requestMigrating:  "migrating",
	requestStopping:   "stopping",
	requestAnswered:   "answered",
	requestWithdrawn:  "withdrawn",
	requestTerminated: "terminated",
}

// String returns the state's name.
func (s requestState) String() string {
	if int(s) < len(requestStateNames) {
		return requestStateNames[s]
	}
	return "request state " + strconv.Itoa(int(s))
}

// closed reports whether no answer and no notification of the task's end is due any more.
func (s requestState) closed() bool { return s >= requestMigrating }

// canBecome reports whether a transition is legal.
func (s requestState) canBecome(next requestState) bool {
	return slices.Contains(requestTransitions[s], next)
}
