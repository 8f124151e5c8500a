package placer

// actionList collects the actions of the event that is being handled.
type actionList struct {
	actions []Action
}

// begin starts with the actions that the caller of Handle passed in. New ones are appended to them.
func (l *actionList) begin(actions []Action) { l.actions = actions }

func (l *actionList) add(action Action) { l.actions = append(l.actions, action) }

// take returns all actions and drops the reference to them: the slice belongs to the caller.
func (l *actionList) take() []Action {
	taken := l.actions
	l.actions = nil
	return taken
}
