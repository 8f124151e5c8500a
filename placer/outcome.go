package placer

// maxRejections is the number of rejections by nodes of the current pair after which a request waits before
// it draws a new pair.
const maxRejections = 2

// handleAdopted adds a task that was found running. The task counts for the spread rule, and its loss counts
// as a failure of its node.
func (p *Placer) handleAdopted(ev Event) {
	if p.requests.contains(ev.Task.ID) {
		return
	}
	node := p.nodes.getOrCreate(ev.Node)
	adopted := p.requests.adopt(ev.Task, node, p.now)
	node.tasks.addAdopted(adopted)
	p.spread.add(adopted)
}

// handleBound processes the acceptance of an attempt by its node.
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

// handleUsageReported updates the models from a usage report on a task of this scheduler.
func (p *Placer) handleUsageReported(ev Event) {
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

// handleEnded processes the end of an attempt, whether or not the node had accepted it.
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
	if !wasRunning && !ev.Result.provesNotStarted() {
		request.recordUnknownOutcome(ended)
	}
	if ev.Final || wasRunning {
		p.requests.close(request)
	}
	if request.done {
		p.requests.removeIfDone(request)
		return
	}
	p.continueAfterOutcome(request, ev)
}

// observeOutcome updates the recorded load and health of a node from the outcome of an attempt.
func (p *Placer) observeOutcome(ev Event, ended *attempt) {
	node := ended.node
	switch ev.Result {
	case Rejected:
		if ev.Reason != WrongNode {
			node.load.recordRejection(p.now)
		} else if p.cfg.class(ended.request).Idempotency != IdempotentByKey {
			// The node probably drains although the node list does not show it yet. If the task class is
			// idempotent by key, there is another possible cause: the node may already run a copy of the task
			// with the same idempotency key.
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

// continueAfterOutcome takes the next step for a request after an attempt that did not place the task.
func (p *Placer) continueAfterOutcome(request *placementRequest, ev Event) {
	if ev.Result == Rejected && ev.Reason != WrongNode {
		request.recordRejection()
		if request.alternative == nil && request.rejections >= maxRejections {
			p.scheduleRedraw(request, redrawWait)
			return
		}
	}
	p.place(request)
}
