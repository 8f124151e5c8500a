package dispatch

// attemptState is the state of an attempt. The states up to attemptRunning are live.
type attemptState uint8

const (
	attemptPending    attemptState = iota // the attempt has not been sent
	attemptSent                           // the attempt was sent and has no answer
	attemptRunning                        // the node accepted the attempt in time, or the task was adopted
	attemptAbandoned                      // ended unanswered for the placer; later node messages are late
	attemptTerminated                     // no further message of the node is expected
)

// attemptStates describes the states of an attempt. Only attemptTable.transition and the functions that
// create an attempt set the state.
var attemptStates = stateTable[attemptState]{
	attemptPending:    {"pending", []attemptState{attemptSent, attemptAbandoned, attemptTerminated}},
	attemptSent:       {"sent", []attemptState{attemptRunning, attemptAbandoned, attemptTerminated}},
	attemptRunning:    {"running", []attemptState{attemptTerminated}},
	attemptAbandoned:  {"abandoned", []attemptState{attemptTerminated}},
	attemptTerminated: {"terminated", nil},
}

// String returns the name of the state.
func (s attemptState) String() string { return attemptStates.stateName("attempt", s) }

// isLive reports whether an attempt in this state is waiting for its answer or runs the task.
func (s attemptState) isLive() bool { return s <= attemptRunning }

// isUnanswered reports whether an attempt in this state is waiting for its connection or for its answer.
func (s attemptState) isUnanswered() bool { return s <= attemptSent }
