package placer

// Waiting times before a new pair of nodes is drawn at random for a request. The file docs/design.md explains
// the values.
const (
	// redrawWait is the mean wait of a request after both nodes that were drawn for it have rejected it.
	// After the wait, two nodes are drawn at random again.
	redrawWait Seconds = 1
	// inTimeRedrawWait and lateRedrawWait are the mean waits of a request for which no node passes the
	// filter. The wait is inTimeRedrawWait within the latency objective of the task class, and lateRedrawWait
	// afterwards. The shorter wait lets requests that are still in time look for free capacity more often, so
	// they tend to get it before late requests.
	inTimeRedrawWait = 0.15 * redrawWait
	lateRedrawWait   = 0.6 * redrawWait
)

// place takes the next step for a request that has no outstanding attempt. The step is one of four: an
// attempt on the second of the two nodes that were drawn earlier, an attempt on the first of two newly drawn
// nodes, a wait before nodes are drawn again, or the final answer.
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

// meanRedrawWait returns the mean wait of a request for which no node passed the filter. After the wait, the
// Placer filters the nodes again and draws two of them at random.
func (p *Placer) meanRedrawWait(request *placementRequest) Seconds {
	if p.now < request.arrivedAt+p.cfg.classOf(request).LatencyObjective {
		return inTimeRedrawWait
	}
	return lateRedrawWait
}

// scheduleRedraw starts a timer with a jittered delay. When the timer fires, two nodes are drawn at random
// for the request again. If too little time remains until the deadline, the method sends the final answer
// instead.
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
