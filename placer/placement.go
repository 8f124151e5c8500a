package placer

// Times and random delays. The design's figures are explained in docs/design.md.
const (
	// jitterFraction is the random part of each delay, so that requests do not retry in synchronized waves.
	jitterFraction = 0.4
	// redrawWait is the mean wait before a request that both nodes of a pair rejected redraws.
	redrawWait Seconds = 1.0
	// inTimeRedrawWait and lateRedrawWait are the mean waits when no node passes the filter:
	// before the latency objective, and after it, when a request leaves free capacity to those in time.
	inTimeRedrawWait = 0.15 * redrawWait
	lateRedrawWait   = 0.6 * redrawWait
	// startTimeoutFraction is the part of the deadline for which an attempt may stay unanswered where the
	// answer comes at the start: an attempt that was given up still holds its capacity.
	startTimeoutFraction = 0.7
	// unknownTimeoutDivisor divides the deadline into the timeout of attempts before the first answer.
	unknownTimeoutDivisor = 4
	// timeoutDeviations is the distance of the timeout from the mean answer time, in deviations.
	timeoutDeviations = 4
)

// place takes the next step for a request without an outstanding attempt: an attempt at the alternative node,
// a new draw, a wait, or the final answer.
func (p *Placer) place(request *placementRequest) {
	exhausted := len(request.attempts) >= p.cfg.Attempts.Max
	if exhausted || !p.mayRetry(request) || request.Deadline-p.now <= p.cfg.Attempts.AnswerGrace {
		p.answerUnplaced(request)
		return
	}
	if node := request.alternative; node != nil {
		request.alternative = nil
		if p.allowed(request, node) && p.hasCapacity(request, node) {
			p.startAttempt(request, node)
			return
		}
	}
	first, second := p.drawNodes(request)
	if first == nil {
		delay := lateRedrawWait
		if p.now < request.arrivedAt+p.class(request).LatencyObjective {
			delay = inTimeRedrawWait
		}
		p.redrawLater(request, delay)
		return
	}
	request.rejections = 0
	request.alternative = second
	p.startAttempt(request, first)
}

func (p *Placer) startAttempt(request *placementRequest, node *trackedNode) {
	coldStart := request.ignoresCache && !node.hasProgram(request.Service)
	started := &attempt{node: node, request: request, sentAt: p.now, coldStart: coldStart}
	request.attempts = append(request.attempts, started)
	node.unanswered++
	node.addChange(capacityChange{at: p.now, cores: request.Cores, memory: request.Memory})
	if p.warmingUp(node) {
		node.warmupSends = append(node.warmupSends, p.now)
	}
	p.trackAttempt(started)
	p.actions = append(p.actions, Action{Kind: StartAttempt, Task: request.ID, Node: node.ID,
		Attempt: len(request.attempts) - 1, Until: min(request.Deadline, p.now+p.attemptTimeout(request))})
}

// attemptTimeout is the time for which an attempt may stay unanswered.
func (p *Placer) attemptTimeout(request *placementRequest) Seconds {
	class, times := p.class(request), &p.answerTimes[request.Class]
	if p.cfg.NodeBehavior.AcknowledgesOnStart {
		return class.Deadline * startTimeoutFraction
	}
	minimum := class.LatencyObjective / 2
	if class.Idempotency == NonIdempotent {
		minimum = 2 * class.LatencyObjective
	}
	if times.samples == 0 {
		return max(minimum, class.Deadline/unknownTimeoutDivisor)
	}
	return max(minimum, Seconds(times.mean+timeoutDeviations*times.deviation))
}

// redrawLater redraws after a jittered delay. Too close to the deadline it answers instead.
func (p *Placer) redrawLater(request *placementRequest, delay Seconds) {
	after := min(p.withJitter(delay), request.Deadline-p.cfg.Attempts.AnswerGrace-p.now)
	if after <= 0 {
		p.answerUnplaced(request)
		return
	}
	request.alternative = nil
	p.startTimer(request, timerRedraw, after)
}

func (p *Placer) withJitter(duration Seconds) Seconds {
	return duration * Seconds(1-jitterFraction/2+jitterFraction*p.rng.Float64())
}
