package placer

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerRedraw timerKind = iota + 1
	timerDeadline
	timerPollNodes
	timerConsolidate
)

// pendingTimer is a timer that has not fired. Only the kinds timerRedraw and timerDeadline have a request.
type pendingTimer struct {
	request *placementRequest
	kind    timerKind
}

// timerTable owns the timers that were started and have not fired.
type timerTable struct {
	actions       *actionList
	pendingTimers map[uint64]pendingTimer // timers that have not fired, by token
	lastToken     uint64
}

func newTimerTable(actions *actionList) *timerTable {
	return &timerTable{actions: actions, pendingTimers: map[uint64]pendingTimer{}}
}

// startTimer starts a timer that fires after the given delay, and returns a token that identifies the timer.
// A caller that starts a new timer in place of an old one must ignore the token of the old timer, or remove it.
func (t *timerTable) startTimer(timer pendingTimer, after Seconds) uint64 {
	t.lastToken++
	t.pendingTimers[t.lastToken] = timer
	action := Action{Kind: SetTimer, Token: t.lastToken, After: max(after, 0)}
	if timer.request != nil {
		action.Task = timer.request.ID
	}
	t.actions.addAction(action)
	return t.lastToken
}

// removeTimer returns the timer with the given token and removes it from the table. The second result is
// false if the token is unknown.
func (t *timerTable) removeTimer(token uint64) (pendingTimer, bool) {
	timer, known := t.pendingTimers[token]
	delete(t.pendingTimers, token)
	return timer, known
}
