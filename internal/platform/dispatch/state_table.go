package dispatch

import (
	"slices"
	"strconv"
)

// stateTable describes the states of a state machine, in the order of their values.
type stateTable[State ~uint8] []stateDescription[State]

// stateDescription is the name of a state, and the states that it may legally change to.
type stateDescription[State ~uint8] struct {
	name string
	next []State
}

// nameOf returns the name of a state, or the kind of state with its number if the table does not have it.
func (t stateTable[State]) nameOf(kind string, state State) string {
	if int(state) < len(t) {
		return t[state].name
	}
	return kind + " state " + strconv.Itoa(int(state))
}

// allows reports whether a transition is legal.
func (t stateTable[State]) allows(from, to State) bool {
	return slices.Contains(t[from].next, to)
}

// transition changes a state. A scheduler in service goes on after an illegal transition, which is made as well: it is counted, and tests
// require that there is none.
func (t stateTable[State]) transition(state *State, next State, illegalTransitions *int) {
	if !t.allows(*state, next) {
		*illegalTransitions++
	}
	*state = next
}
