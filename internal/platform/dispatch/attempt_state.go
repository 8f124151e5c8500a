package dispatch

// attemptState is the state of an attempt. In the states up to attemptRunning, the attempt is live: it is
// waiting for the answer of its node or runs the task.
type attemptState uint8

const (
	attemptPending    attemptState = iota // the attempt has not been sent
	attemptSent                           // the attempt was sent and has no answer
	attemptRunning                        // the node accepted the attempt in time, or the task was adopted
	attemptAbandoned                      // the attempt ended without an answer; an answer that still arrives is late
	attemptTerminated                     // the attempt ended, and its node is not expected to send messages about it
)

// attemptStates contains the name and the legal transitions of each state of an attempt. Only
// attemptTable.transition and the functions that create an attempt set the state.
var attemptStates = stateTable[attemptState]{
	attemptPending:    {"pending", []attemptState{attemptSent, attemptAbandoned, attemptTerminated}},
	attemptSent:       {"sent", []attemptState{attemptRunning, attemptAbandoned, attemptTerminated}},
	attemptRunning:    {"running", []attemptState{attemptTerminated}},
	attemptAbandoned:  {"abandoned", []attemptState{attemptTerminated}},
	attemptTerminated: {"terminated", nil},
}

// String returns the name of the state.
func (s attemptState) String() string { return attemptStates.stateName("attempt", s) }

// isLive reports whether an attempt in this state is waiting for the answer of its node or runs the task.
func (s attemptState) isLive() bool { return s <= attemptRunning }

// isUnanswered reports whether an attempt in this state is waiting for a connection to its node or for the
// node's answer.
func (s attemptState) isUnanswered() bool { return s <= attemptSent }
