package dispatch

import (
	"slices"
	"strconv"
)

// stateTable describes all states of a state machine. The value of a state is the index of its entry.
type stateTable[State ~uint8] []stateDescription[State]

// stateDescription contains the name of a state and the states to which a transition from it is legal.
type stateDescription[State ~uint8] struct {
	name      string
	legalNext []State
}

// stateName returns the name of a state. If the state is not in the table, the result consists of kind, which
// names the state machine, and the number of the state.
func (t stateTable[State]) stateName(kind string, state State) string {
	if int(state) < len(t) {
		return t[state].name
	}
	return kind + " state " + strconv.Itoa(int(state))
}

// isLegal reports whether the table allows the transition between two states.
func (t stateTable[State]) isLegal(from, to State) bool {
	return slices.Contains(t[from].legalNext, to)
}

// transition changes a state. An illegal transition is counted but still carried out: a scheduler in
// production has to continue. Tests require that the count is zero.
func (t stateTable[State]) transition(state *State, next State, illegalTransitions *int) {
	if !t.isLegal(*state, next) {
		*illegalTransitions++
	}
	*state = next
}
