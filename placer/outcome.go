package placer

// maxRejections is the number of rejections after which a request waits before two new nodes are drawn at
// random for it. Only rejections by the two nodes that were last drawn for the request are counted.
const maxRejections = 2

// handleAdopted adds a task that was found running on a node. The spread rule then includes the task in the
// number of tasks of its service. If the task is lost, the loss counts as a failure of its node.
func (p *Placer) handleAdopted(ev Event) {
	if p.requests.hasRequest(ev.Task.ID) {
		return
	}
	node := p.nodes.getOrCreate(ev.Node)
	adoptedAttempt := p.requests.addAdopted(ev.Task, node, p.now)
	node.tasks.addAdopted(adoptedAttempt)
	p.spread.addAttempt(adoptedAttempt)
}

// handleBound processes the event that a node accepted an attempt.
func (p *Placer) handleBound(ev Event) {
	acceptedAttempt := p.requests.findAttempt(ev.TaskID, ev.Attempt)
	if acceptedAttempt == nil || acceptedAttempt.state != attemptPending {
		return
	}
	acceptedAttempt.setState(attemptRunning)
	node := acceptedAttempt.node
	node.tasks.attemptBound(acceptedAttempt)
	node.load.attemptBound(p.now, acceptedAttempt)
	p.latency.observeAnswer(acceptedAttempt, ev.Elapsed)
	p.outliers.recordSuccess(p.now, node)
	p.requests.close(acceptedAttempt.request)
}

// handleUsageReported updates the latency model or the capacity model from a usage report on a task of this
// scheduler.
func (p *Placer) handleUsageReported(ev Event) {
	measuredAttempt := p.requests.findAttempt(ev.TaskID, ev.Attempt)
	if measuredAttempt == nil {
		return
	}
	if ev.Usage == Started {
		p.latency.observeStart(measuredAttempt, p.now)
		return
	}
	p.capacity.observeUsage(&measuredAttempt.request.Task, ev.Usage, ev.Value)
}

// handleEnded processes the end of an attempt. The node may have accepted the attempt before.
func (p *Placer) handleEnded(ev Event) {
	endedAttempt := p.requests.findAttempt(ev.TaskID, ev.Attempt)
	if endedAttempt == nil || !endedAttempt.isOutstanding() {
		return
	}
	request, node := endedAttempt.request, endedAttempt.node
	wasRunning := endedAttempt.state == attemptRunning
	endedAttempt.setState(attemptEnded)
	p.spread.removeAttempt(endedAttempt)
	if ev.Report != nil {
		p.capacity.observeReport(p.now, node, ev.Report)
	}
	if wasRunning {
		node.tasks.taskEnded(endedAttempt)
		node.load.taskEnded(p.now, &request.Task)
	} else {
		node.tasks.attemptFailed(endedAttempt)
		node.load.attemptFailed(endedAttempt)
	}
	p.observeOutcome(ev, endedAttempt)
	if !wasRunning && !ev.Result.provesNotStarted() {
		request.recordUnknownOutcome(endedAttempt)
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
func (p *Placer) observeOutcome(ev Event, endedAttempt *attempt) {
	node := endedAttempt.node
	switch ev.Result {
	case Rejected:
		if ev.Reason != WrongNode {
			node.load.recordRejection(p.now)
		} else if p.cfg.classOf(endedAttempt.request).Idempotency != IdempotentByKey {
			// The node is probably draining, and the node list does not show it yet, so the rejection is
			// recorded as a failure of the node. It is not recorded as a failure if the task class is
			// idempotent by key. The node may then have rejected the attempt because it already runs a copy
			// of the task with the same idempotency key.
			p.outliers.recordFailure(p.now, node)
		}
	case Errored:
		p.outliers.recordError(p.now, endedAttempt)
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
		if request.alternativeNode == nil && request.pairRejections >= maxRejections {
			p.scheduleRedraw(request, redrawWait)
			return
		}
	}
	p.place(request)
}
