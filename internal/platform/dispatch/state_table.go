package dispatch

import (
	"slices"
	"strconv"
)

// stateTable describes the states of a state machine. The index of an entry is the value of its state.
type stateTable[State ~uint8] []stateDescription[State]

// stateDescription contains the name of a state and the states to which a transition is legal.
type stateDescription[State ~uint8] struct {
	name      string
	legalNext []State
}

// stateName returns the name of a state. For a state that is not in the table, it returns the kind and the
// number.
func (t stateTable[State]) stateName(kind string, state State) string {
	if int(state) < len(t) {
		return t[state].name
	}
	return kind + " state " + strconv.Itoa(int(state))
}

// isLegal reports whether a transition is legal.
func (t stateTable[State]) isLegal(from, to State) bool {
	return slices.Contains(t[from].legalNext, to)
}

// transition changes a state. An illegal transition is counted but still carried out, so that a scheduler in
// production continues; tests require that the count is zero.
func (t stateTable[State]) transition(state *State, next State, illegalTransitions *int) {
	if !t.isLegal(*state, next) {
		*illegalTransitions++
	}
	*state = next
}
