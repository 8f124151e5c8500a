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

// startTimer requests a timer that fires after the given time. Only the latest timer for the redraw of a
// request, and the latest for polling, has an effect.
func (p *Placer) startTimer(request *placementRequest, kind timerKind, after Seconds) {
	p.lastToken++
	token := p.lastToken
	p.timers[token] = pendingTimer{request: request, kind: kind}
	switch kind {
	case timerRedraw:
		request.redrawToken = token
	case timerPollNodes:
		p.pollToken = token
	}
	p.actions = append(p.actions, Action{Kind: SetTimer, Token: token, After: max(after, 0)})
}
