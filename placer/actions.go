package placer

// actionList collects the actions of the event that is being handled.
type actionList struct {
	actions []Action
}

// begin starts with the actions that the caller passed in. They stay in front.
func (l *actionList) begin(actions []Action) { l.actions = actions }

func (l *actionList) add(action Action) { l.actions = append(l.actions, action) }

// take returns all actions and keeps none, as they belong to the caller.
func (l *actionList) take() []Action {
	taken := l.actions
	l.actions = nil
	return taken
}
