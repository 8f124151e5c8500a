package placer

// maxRejections is the number of rejections of one pair after which a request waits and redraws.
const maxRejections = 2

// handleAdopted adds a task that was found running. It counts for the spread rule, and its loss is a failure
// of its node.
func (p *Placer) handleAdopted(ev Event) {
	if p.requests.known(ev.Task.ID) {
		return
	}
	node := p.nodes.ensure(ev.Node)
	adopted := p.requests.adopt(ev.Task, node, p.now)
	node.tasks.adopted(adopted)
	p.spread.add(adopted)
}

// handleBound processes the acceptance of an attempt.
func (p *Placer) handleBound(ev Event) {
	accepted := p.requests.attempt(ev.TaskID, ev.Attempt)
	if accepted == nil || accepted.state != attemptPending {
		return
	}
	accepted.setState(attemptRunning)
	node := accepted.node
	node.tasks.attemptBound(accepted)
	node.load.attemptBound(p.now, accepted)
	p.latency.observeAnswer(accepted, ev.Elapsed)
	p.outliers.recordSuccess(p.now, node)
	p.requests.close(accepted.request)
}

// handleUsage learns from the usage of an own task.
func (p *Placer) handleUsage(ev Event) {
	measured := p.requests.attempt(ev.TaskID, ev.Attempt)
	if measured == nil {
		return
	}
	if ev.Usage == Started {
		p.latency.observeStart(measured, p.now)
		return
	}
	p.capacity.observeUsage(&measured.request.Task, ev.Usage, ev.Value)
}

// handleEnded processes the end of an attempt, before or after it was accepted.
func (p *Placer) handleEnded(ev Event) {
	ended := p.requests.attempt(ev.TaskID, ev.Attempt)
	if ended == nil || !ended.outstanding() {
		return
	}
	request, node := ended.request, ended.node
	wasRunning := ended.state == attemptRunning
	ended.setState(attemptEnded)
	p.spread.remove(ended)
	if ev.Report != nil {
		p.capacity.observeReport(p.now, node, ev.Report)
	}
	if wasRunning {
		node.tasks.taskEnded(ended)
		node.load.taskEnded(p.now, &request.Task)
	} else {
		node.tasks.attemptFailed(ended)
		node.load.attemptFailed(ended)
	}
	p.observeOutcome(ev, ended)
	if !wasRunning && !ev.Result.neverRan() {
		request.noteUnknownOutcome(ended)
	}
	if ev.Final || wasRunning {
		p.requests.close(request)
	}
	if request.done {
		p.requests.removeIfDone(request)
		return
	}
	p.retryAfterOutcome(request, ev)
}

// observeOutcome updates what is known about a node by the outcome of an attempt.
func (p *Placer) observeOutcome(ev Event, ended *attempt) {
	node := ended.node
	switch ev.Result {
	case Rejected:
		if ev.Reason != WrongNode {
			node.load.rejected(p.now)
		} else if p.cfg.class(ended.request).Idempotency != IdempotentByKey {
			// The node drains before the list shows it. With a key, it may instead run an earlier copy.
			p.outliers.recordFailure(p.now, node)
		}
	case Errored:
		p.outliers.recordError(p.now, ended)
	case Unreachable, TimedOut:
		p.outliers.recordFailure(p.now, node)
	case Lost:
		if ev.Reason == NoReason || ev.Reason == Drained {
			p.outliers.recordFailure(p.now, node)
		}
	}
}

// retryAfterOutcome decides what follows an attempt that did not place the task.
func (p *Placer) retryAfterOutcome(request *placementRequest, ev Event) {
	if ev.Result == Rejected && ev.Reason != WrongNode {
		request.noteRejection()
		if request.alternative == nil && request.rejections >= maxRejections {
			p.redrawLater(request, redrawWait)
			return
		}
	}
	p.place(request)
}
