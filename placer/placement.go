package placer

// Waiting times. The design's figures are explained in docs/design.md.
const (
	// redrawWait is the mean wait before a request that both nodes of a pair rejected redraws.
	redrawWait Seconds = 1
	// inTimeRedrawWait and lateRedrawWait are the mean waits when no node passes the filter: before the
	// latency objective, and after it, when a request leaves free capacity to requests that are in time.
	inTimeRedrawWait = 0.15 * redrawWait
	lateRedrawWait   = 0.6 * redrawWait
)

// place takes the next step for a request without an outstanding attempt: an attempt at the alternative node,
// a new draw, a wait, or the final answer.
func (p *Placer) place(request *placementRequest) {
	exhausted := len(request.attempts) >= p.cfg.Attempts.Max
	tooLate := request.Deadline-p.now <= p.cfg.Attempts.AnswerGrace
	if exhausted || tooLate || !p.retries.allows(p.now, request) {
		p.answerUnplaced(request)
		return
	}
	if node := request.takeAlternative(); node != nil && p.filter.recheck(p.now, request, node) {
		p.startAttempt(request, node)
		return
	}
	drawn := p.selector.draw(p.now, request, p.filter.candidates(p.now, request))
	if drawn.first == nil {
		p.redrawLater(request, p.waitForCapacity(request))
		return
	}
	request.setPair(drawn)
	p.startAttempt(request, drawn.first)
}

// startAttempt sends the task to a node that the filter has accepted.
func (p *Placer) startAttempt(request *placementRequest, node *trackedNode) {
	started := request.startAttempt(node, p.now)
	node.tasks.attemptSent(started)
	node.load.attemptSent(p.now, &request.Task)
	p.slowStart.attemptSent(p.now, node)
	p.spread.add(started)
	p.actions.add(Action{
		Kind:    StartAttempt,
		Task:    request.ID,
		Node:    node.ID,
		Attempt: len(request.attempts) - 1,
		Until:   min(request.Deadline, p.now+p.latency.attemptTimeout(request.Class)),
	})
}

// waitForCapacity returns the mean wait of a request for which no node passed the filter.
func (p *Placer) waitForCapacity(request *placementRequest) Seconds {
	if p.now < request.arrivedAt+p.cfg.class(request).LatencyObjective {
		return inTimeRedrawWait
	}
	return lateRedrawWait
}

// redrawLater redraws after a jittered delay. Too close to the deadline it answers instead.
func (p *Placer) redrawLater(request *placementRequest, delay Seconds) {
	after := min(p.jitter.apply(delay), request.Deadline-p.cfg.Attempts.AnswerGrace-p.now)
	if after <= 0 {
		p.answerUnplaced(request)
		return
	}
	request.waitForRedraw(p.timers.start(pendingTimer{request: request, kind: timerRedraw}, after))
}

// answerUnplaced gives the final answer to a request that is not placed: Reject if another request for the
// task is safe, otherwise Fail.
func (p *Placer) answerUnplaced(request *placementRequest) {
	kind := Fail
	if p.retries.safeToReject(request) {
		kind = Reject
	}
	p.actions.add(Action{Kind: kind, Task: request.ID})
	p.requests.close(request)
}
