package dispatch

import (
	"slices"
	"strconv"
)

// stateTable describes all states of a state machine. The numeric value of a state is the index of its
// description.
type stateTable[State ~uint8] []stateDescription[State]

// stateDescription contains the name of a state and the states that may follow that state.
type stateDescription[State ~uint8] struct {
	name      string
	legalNext []State
}

// stateName returns the name of a state. If the table does not contain the state, the result consists of the
// parameter kind and the number of the state. The parameter kind is the name of the state machine.
func (t stateTable[State]) stateName(kind string, state State) string {
	if int(state) < len(t) {
		return t[state].name
	}
	return kind + " state " + strconv.Itoa(int(state))
}

// isLegal reports whether the table allows the transition from one state to another.
func (t stateTable[State]) isLegal(from, to State) bool {
	return slices.Contains(t[from].legalNext, to)
}

// transition changes a state. An illegal transition is counted but still carried out, because a scheduler in
// production has to continue. Tests require that no illegal transition is counted.
func (t stateTable[State]) transition(state *State, next State, illegalTransitions *int) {
	if !t.isLegal(*state, next) {
		*illegalTransitions++
	}
	*state = next
}
