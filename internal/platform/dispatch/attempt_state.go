package dispatch

// attemptState is the state of an attempt. States up to attemptRunning are live.
type attemptState uint8

const (
	attemptPending    attemptState = iota // not sent
	attemptSent                           // sent, without an answer
	attemptRunning                        // accepted by the node in time, or adopted
	attemptAbandoned                      // ended for the placer without an answer; whatever the node still sends about it is late
	attemptTerminated                     // nothing more is expected from the node
)

// attemptStates describes the states of an attempt. Only attemptTable.transition and the functions that create an attempt set them.
var attemptStates = stateTable[attemptState]{
	attemptPending:    {"pending", []attemptState{attemptSent, attemptAbandoned, attemptTerminated}},
	attemptSent:       {"sent", []attemptState{attemptRunning, attemptAbandoned, attemptTerminated}},
	attemptRunning:    {"running", []attemptState{attemptTerminated}},
	attemptAbandoned:  {"abandoned", []attemptState{attemptTerminated}},
	attemptTerminated: {"terminated", nil},
}

// String returns the state's name.
func (s attemptState) String() string { return attemptStates.nameOf("attempt", s) }

// live reports whether an attempt in this state waits for its answer or runs the task.
func (s attemptState) live() bool { return s <= attemptRunning }

// unanswered reports whether an attempt in this state waits for its connection or its answer.
func (s attemptState) unanswered() bool { return s <= attemptSent }
