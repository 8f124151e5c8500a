package placer

// actionList collects the actions that result from the current event.
type actionList struct {
	actions []Action
}

// collectInto sets the slice to which the actions of the next event are appended. The caller of Handle
// provides this slice.
func (l *actionList) collectInto(actions []Action) { l.actions = actions }

func (l *actionList) addAction(action Action) { l.actions = append(l.actions, action) }

// takeActions returns the collected actions. The list then no longer refers to their slice, because the slice
// belongs to the caller of Handle, who may change it after Handle returns.
func (l *actionList) takeActions() []Action {
	takenActions := l.actions
	l.actions = nil
	return takenActions
}
