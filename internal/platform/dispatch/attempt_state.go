package dispatch

import (
	"slices"
	"strconv"
)

// attemptState is the state of an attempt. States up to attemptRunning are live.
type attemptState uint8

const (
	attemptPending    attemptState = iota // not sent
	attemptSent                           // sent, without an answer
	attemptRunning                        // accepted by the node in time, or adopted
	attemptAbandoned                      // without an answer that counts; what the node still sends about it is late
	attemptTerminated                     // nothing more is expected of the node
)

// attemptTransitions are the legal next states of each state.
var attemptTransitions = [...][]attemptState{
	attemptPending:    {attemptSent, attemptAbandoned, attemptTerminated},
	attemptSent:       {attemptRunning, attemptAbandoned, attemptTerminated},
	attemptRunning:    {attemptTerminated},
	attemptAbandoned:  {attemptTerminated},
	attemptTerminated: {},
}

var attemptStateNames = [...]string{
	attemptPending:    "pending",
	attemptSent:       "sent",
	attemptRunning:    "running",
	attemptAbandoned:  "abandoned",
	attemptTerminated: "terminated",
}

// String returns the state's name.
func (s attemptState) String() string {
	if int(s) < len(attemptStateNames) {
		return attemptStateNames[s]
	}
	return "attempt state " + strconv.Itoa(int(s))
}

// live reports whether an attempt in this state waits for its answer or runs the task.
func (s attemptState) live() bool { return s <= attemptRunning }

// unanswered reports whether an attempt in this state waits for its connection or its answer.
func (s attemptState) unanswered() bool { return s <= attemptSent }

// canBecome reports whether a transition is legal.
func (s attemptState) canBecome(next attemptState) bool {
	return slices.Contains(attemptTransitions[s], next)
}
