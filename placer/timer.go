package placer

// timerKind is what a timer is for.
type timerKind uint8

const (
	timerRedraw timerKind = iota + 1
	timerDeadline
	timerPollNodes
	timerConsolidate
)

// pendingTimer is a timer that has not fired. Only redraws and deadlines have a request.
type pendingTimer struct {
	request *placementRequest
	kind    timerKind
}

// timerTable owns the timers that were requested and have not fired.
type timerTable struct {
	actions   *actionList
	pending   map[uint64]pendingTimer // by token
	lastToken uint64
}

func newTimerTable(actions *actionList) *timerTable {
	return &timerTable{actions: actions, pending: map[uint64]pendingTimer{}}
}

// start requests a timer that fires after the given time, and returns its token. Timers cannot be stopped: a
// caller for which only the latest timer counts keeps its token.
func (t *timerTable) start(timer pendingTimer, after Seconds) uint64 {
	t.lastToken++
	t.pending[t.lastToken] = timer
	t.actions.add(Action{Kind: SetTimer, Token: t.lastToken, After: max(after, 0)})
	return t.lastToken
}

// take removes and returns the timer that fired, or returns false if the token is not known.
func (t *timerTable) take(token uint64) (pendingTimer, bool) {
	timer, known := t.pending[token]
	delete(t.pending, token)
	return timer, known
}
