package placer

// actionList collects the actions that result from the current event.
type actionList struct {
	actions []Action
}

// beginEvent sets the slice to which the actions of the next event are appended. The caller of Handle
// provides the slice.
func (l *actionList) beginEvent(actions []Action) { l.actions = actions }

func (l *actionList) addAction(action Action) { l.actions = append(l.actions, action) }

// takeActions returns the collected actions and clears the list, because the slice belongs to the caller of
// Handle.
func (l *actionList) takeActions() []Action {
	takenActions := l.actions
	l.actions = nil
	return takenActions
}
