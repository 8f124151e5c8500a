package placer

// dedupMargin is the part of a class's deduplication window that is relied on.
const dedupMargin = 0.9

// maxRejections is the number of rejections of one pair after which a request waits and redraws.
const maxRejections = 2

// handleBound processes the acceptance of an attempt.
func (p *Placer) handleBound(ev Event) {
	accepted := p.findAttempt(ev)
	if accepted == nil || accepted.state != attemptPending {
		return
	}
	accepted.setState(attemptRunning)
	request, node := accepted.request, accepted.node
	node.unanswered--
	node.removePendingChange(accepted)
	node.addChange(capacityChange{at: p.now, cores: request.Cores, memory: request.Memory, isBind: true})
	node.addBound(accepted)
	p.answerTimes[request.Class].add(float64(ev.Elapsed), learningRate)
	if p.cfg.NodeBehavior.AcknowledgesOnStart && accepted.coldStart {
		p.coldStartTimes[request.Class].add(float64(ev.Elapsed), learningRate)
	}
	p.recordSuccess(node)
	p.closeRequest(request)
}

// handleEnded processes the end of an attempt, before or after it was accepted.
func (p *Placer) handleEnded(ev Event) {
	ended := p.findAttempt(ev)
	if ended == nil || !ended.outstanding() {
		return
	}
	request, node := ended.request, ended.node
	wasRunning := ended.state == attemptRunning
	ended.setState(attemptEnded)
	p.untrackAttempt(ended)
	if ev.Report != nil {
		node.report, node.reportedAt, node.hasReport = *ev.Report, p.now, true
		p.learnUsage(node)
	}
	if wasRunning {
		node.removeBound(ended)
		if node.ownTasks[request.Service] == 0 {
			node.cacheProgram(request.Service, maxCachedPrograms)
		}
		node.addChange(capacityChange{at: p.now, cores: -request.Cores, memory: -request.Memory})
	} else {
		node.unanswered--
		node.removePendingChange(ended)
	}
	p.observeOutcome(ev, ended)
	if !wasRunning && request.unknownOutcome == nil && !ev.Result.neverRan() {
		request.unknownOutcome = ended
	}
	if ev.Final || wasRunning {
		p.closeRequest(request)
	}
	if request.done {
		p.removeIfDone(request)
		return
	}
	p.retryAfterOutcome(request, ev)
}

// retryAfterOutcome decides what follows an attempt that did not place the task.
func (p *Placer) retryAfterOutcome(request *placementRequest, ev Event) {
	if ev.Result == Rejected && ev.Reason != WrongNode {
		request.rejections++
		if request.alternative == nil && request.rejections >= maxRejections {
			p.redrawLater(request, redrawWait)
			return
		}
	}
	p.place(request)
}

// mayRetry reports whether earlier attempts permit another one: after an unknown outcome the task may run.
func (p *Placer) mayRetry(request *placementRequest) bool {
	if request.unknownOutcome == nil {
		return true
	}
	switch class := p.class(request); class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return p.now < request.unknownOutcome.sentAt+dedupMargin*class.DedupWindow
	}
	return false
}

// mayRetryOn reports whether a request with an unknown outcome may be retried on the node. With a key the
// node must be one of those that drop repeats of the earlier attempt.
func (p *Placer) mayRetryOn(request *placementRequest, node *trackedNode) bool {
	if !p.mayRetry(request) {
		return false
	}
	class, earlier := p.class(request), request.unknownOutcome.node
	return class.Idempotency == Idempotent || sharesDomain(class.DedupDomain, earlier, node)
}

// answerUnplaced gives the final answer to a request that is not placed: Reject where a later request can do
// no harm, otherwise Fail.
func (p *Placer) answerUnplaced(request *placementRequest) {
	kind := Fail
	if p.safeToReject(request) {
		kind = Reject
	}
	p.actions = append(p.actions, Action{Kind: kind, Task: request.ID})
	p.closeRequest(request)
}

// safeToReject reports whether the client may request the task again without a risk of two running copies.
func (p *Placer) safeToReject(request *placementRequest) bool {
	if request.outstandingAttempt() != nil {
		return false
	}
	if request.unknownOutcome == nil {
		return true
	}
	class := p.class(request)
	return class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupDomain == ClusterDomain
}
