package placer

// Handle processes one event at the time now, and appends the resulting actions to actions.
func (p *Placer) Handle(now Seconds, ev Event, actions []Action) []Action {
	p.actions = actions
	if !p.started {
		p.start(now)
	}
	p.now = max(now, p.now)
	switch ev.Kind {
	case NodesListed:
		p.handleNodesListed(ev)
	case Arrived:
		p.handleArrived(ev.Task)
	case Adopted:
		p.handleAdopted(ev)
	case Bound:
		p.handleBound(ev)
	case Ended:
		p.handleEnded(ev)
	case UsageReported:
		p.handleUsage(ev)
	case Withdrawn:
		if request := p.requests[ev.TaskID]; request != nil {
			p.closeRequest(request)
		}
	case TimerFired:
		p.handleTimer(ev.Token)
	}
	out := p.actions
	p.actions = nil
	return out
}

func (p *Placer) start(now Seconds) {
	p.started = true
	p.startedAt = now
	if p.cfg.Discovery.MustPoll {
		p.watchNodes()
	}
	p.startTimer(nil, timerConsolidate, p.withJitter(consolidationInterval))
}

func (p *Placer) handleTimer(token uint64) {
	timer, ok := p.timers[token]
	if !ok {
		return
	}
	delete(p.timers, token)
	request := timer.request
	switch timer.kind {
	case timerPollNodes:
		if token == p.pollToken {
			p.checkWatch()
		}
	case timerConsolidate:
		p.drainStandby()
		p.evictTerminated()
		p.startTimer(nil, timerConsolidate, p.withJitter(consolidationInterval))
	case timerDeadline:
		// An attempt times out at the deadline at the latest. This timer is for attempts whose outcome does
		// not arrive and for requests that wait for a redraw.
		if !request.done {
			p.answerUnplaced(request)
		}
	case timerRedraw:
		if request.redrawToken == token && !request.done && request.outstandingAttempt() == nil {
			p.place(request)
		}
	}
}

func (p *Placer) handleArrived(task Task) {
	if _, known := p.requests[task.ID]; known {
		return
	}
	request := &placementRequest{Task: task, arrivedAt: p.now}
	p.requests[task.ID] = request
	p.unanswered++
	if !p.cfg.accepts(&task, p.now) {
		p.answerUnplaced(request)
		return
	}
	p.startTimer(request, timerDeadline, task.Deadline+p.cfg.Attempts.AnswerGrace/2-p.now)
	p.place(request)
}
