package dispatch

// attemptState is the state of an attempt. In the states up to attemptRunning, the attempt is live: it waits
// for the answer of its node, or its task runs.
type attemptState uint8

const (
	// attemptPending means that the attempt has not been sent to its node.
	attemptPending attemptState = iota
	// attemptSent means that the attempt was sent and that its node has not answered it.
	attemptSent
	// attemptRunning means that the node accepted the attempt in time, or that the task was adopted.
	attemptRunning
	// attemptAbandoned means that the attempt ended without an answer, or that its node has not confirmed in
	// time that it stopped the running task. An answer that arrives in this state is late.
	attemptAbandoned
	// attemptTerminated means that the attempt ended and that its node is not expected to send further
	// messages about the attempt.
	attemptTerminated
)

// attemptStates contains the name and the legal transitions of each state of an attempt. Only
// attemptTable.transition and the functions that create an attempt set the state.
var attemptStates = stateTable[attemptState]{
	attemptPending:    {"pending", []attemptState{attemptSent, attemptAbandoned, attemptTerminated}},
	attemptSent:       {"sent", []attemptState{attemptRunning, attemptAbandoned, attemptTerminated}},
	attemptRunning:    {"running", []attemptState{attemptAbandoned, attemptTerminated}},
	attemptAbandoned:  {"abandoned", []attemptState{attemptTerminated}},
	attemptTerminated: {"terminated", nil},
}

// String returns the name of the state.
func (s attemptState) String() string { return attemptStates.stateName("attempt", s) }

// isLive reports whether an attempt in this state is live: either it waits for the answer of its node, or its
// task runs.
func (s attemptState) isLive() bool { return s <= attemptRunning }

// isUnanswered reports whether an attempt in this state waits for a connection to its node or for the node's
// answer.
func (s attemptState) isUnanswered() bool { return s <= attemptSent }
