package placer

// Waiting times before a request draws a new pair of nodes. The file docs/design.md explains the values.
const (
	// redrawWait is the mean wait before a request draws a new pair if both nodes of its current pair have
	// rejected it.
	redrawWait Seconds = 1
	// inTimeRedrawWait and lateRedrawWait are the mean waits if no node passes the filter. The wait of a
	// request is inTimeRedrawWait within the latency objective of its task class, and lateRedrawWait
	// afterwards. The later wait is longer because requests that are still in time should get free capacity
	// first.
	inTimeRedrawWait = 0.15 * redrawWait
	lateRedrawWait   = 0.6 * redrawWait
)

// place takes the next step for a request that has no outstanding attempt. The step is one of four: an
// attempt on the second node of the current pair, an attempt on a newly drawn node, a wait before the next
// draw, or the final answer.
func (p *Placer) place(request *placementRequest) {
	attemptsSpent := len(request.attempts) >= p.cfg.Attempts.Max
	tooLate := request.Deadline-p.now <= p.cfg.Attempts.AnswerGrace
	if attemptsSpent || tooLate || !p.retries.allowsRetry(p.now, request) {
		p.rejectOrFail(request)
		return
	}
	if node := request.takeAlternativeNode(); node != nil && p.filter.recheckNode(p.now, request, node) {
		p.startAttempt(request, node)
		return
	}
	drawnPair := p.selector.drawNodes(p.now, request, p.filter.candidates(p.now, request))
	if drawnPair.firstNode == nil {
		p.scheduleRedraw(request, p.meanRedrawWait(request))
		return
	}
	request.setPair(drawnPair)
	p.startAttempt(request, drawnPair.firstNode)
}

// startAttempt starts an attempt on a node that has passed the filter.
func (p *Placer) startAttempt(request *placementRequest, node *trackedNode) {
	newAttempt := request.startAttempt(node, p.now)
	node.tasks.attemptSent(newAttempt)
	node.load.attemptSent(p.now, &request.Task)
	p.slowStart.attemptSent(p.now, node)
	p.spread.addAttempt(newAttempt)
	p.actions.addAction(Action{
		Kind:    StartAttempt,
		Task:    request.ID,
		Node:    node.ID,
		Attempt: len(request.attempts) - 1,
		Until:   min(request.Deadline, p.now+p.latency.attemptTimeout(request.Class)),
	})
}

// meanRedrawWait returns the mean wait before the next draw of a pair if no node passed the filter for the
// request.
func (p *Placer) meanRedrawWait(request *placementRequest) Seconds {
	if p.now < request.arrivedAt+p.cfg.classOf(request).LatencyObjective {
		return inTimeRedrawWait
	}
	return lateRedrawWait
}

// scheduleRedraw sets a timer with a jittered delay, after which the request draws a new pair of nodes. If
// too little time remains until the deadline, it sends the final answer instead.
func (p *Placer) scheduleRedraw(request *placementRequest, delay Seconds) {
	after := min(p.jitter.randomize(delay), request.Deadline-p.cfg.Attempts.AnswerGrace-p.now)
	if after <= 0 {
		p.rejectOrFail(request)
		return
	}
	request.waitForRedraw(p.timers.startTimer(pendingTimer{request: request, kind: timerRedraw}, after))
}

// rejectOrFail sends the final answer for a request that was not placed. The answer is Reject if the client
// may safely request the task again, and Fail otherwise.
func (p *Placer) rejectOrFail(request *placementRequest) {
	kind := Fail
	if p.retries.safeToReject(request) {
		kind = Reject
	}
	p.actions.addAction(Action{Kind: kind, Task: request.ID})
	p.requests.close(request)
}
