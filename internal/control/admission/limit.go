package admission

import (
	"math"

	"heathshed/placer"
)

const (
	// minLatencyObjective is the smallest effective latency objective. Smaller objectives are raised to it.
	minLatencyObjective placer.Seconds = 0.001
	// lateFractionWeight is the weight of one completed request in the moving average limiter.lateFraction.
	lateFractionWeight = 0.05
	// fastCompletionDivisor defines which requests count as fast: those with a latency of at most the latency
	// objective divided by this number. During slow start only fast requests raise the limit by one. A slower
	// request already waits in some queue, and doubling the limit would only make that queue longer.
	fastCompletionDivisor = 16.0
	// slowStartIntervals is the number of decrease intervals without a late request after which slow start
	// begins again.
	slowStartIntervals = 4.0
	// minSlowStartInterval is the smallest decrease interval that is multiplied by slowStartIntervals.
	minSlowStartInterval placer.Seconds = 0.05
)

// never is a time that is later than every clock reading.
var never = placer.Seconds(math.Inf(1))

// inFlightRequest is an admitted request that has not completed.
type inFlightRequest struct {
	admittedAt       placer.Seconds
	latencyObjective placer.Seconds
	// occupiesSlot reports whether the request counts against the limit. A request that exceeds its latency
	// objective no longer counts, because it waits for a node that can run the task and does not occupy a
	// node.
	occupiesSlot    bool
	usedRetryBudget bool
}

func (r *inFlightRequest) effectiveObjective() placer.Seconds {
	return max(r.latencyObjective, minLatencyObjective)
}

// limiter adapts the number of requests that may be in flight, by additive increase, multiplicative decrease
// and slow start.
type limiter struct {
	cfg            *Config
	limit          float64
	lastDecreaseAt placer.Seconds
	lateFraction   float64        // lateFraction is a moving average of the fraction of completed requests that were late.
	lastLateAt     placer.Seconds // lastLateAt is when a late request last completed.
	slowStart      bool           // slowStart means that the limit grows by one for each fast request.

	inFlight      map[uint64]*inFlightRequest
	byAdmission   []*inFlightRequest // byAdmission lists the oldest request first; completed requests are skipped at the front.
	occupiedSlots int                // occupiedSlots is the number of requests that count against the limit.
}

func newLimiter(cfg *Config) limiter {
	return limiter{
		cfg:       cfg,
		limit:     min(max(cfg.InitialInFlight, cfg.MinInFlight), cfg.MaxInFlight),
		slowStart: !cfg.AdditiveOnly,
		inFlight:  map[uint64]*inFlightRequest{},
	}
}

// hasCapacity reports whether one more request may be in flight. It first releases the slots of requests that
// exceed their latency objective.
func (l *limiter) hasCapacity(now placer.Seconds) bool {
	for len(l.byAdmission) > 0 {
		oldest := l.byAdmission[0]
		if oldest.occupiesSlot && now-oldest.admittedAt < oldest.effectiveObjective() {
			break
		}
		l.releaseSlot(oldest)
		l.byAdmission[0] = nil
		l.byAdmission = l.byAdmission[1:]
	}
	return float64(l.occupiedSlots) < math.Floor(l.limit)
}

// nextSlotExpiry returns the time at which the oldest request in flight reaches its latency objective and so
// releases its slot. It returns infinity if no request is in flight.
func (l *limiter) nextSlotExpiry() placer.Seconds {
	if len(l.byAdmission) == 0 {
		return never
	}
	return l.byAdmission[0].admittedAt + l.byAdmission[0].effectiveObjective()
}

// add adds an admitted request and counts it against the limit.
func (l *limiter) add(id uint64, request *inFlightRequest) {
	request.occupiesSlot = true
	l.inFlight[id] = request
	l.byAdmission = append(l.byAdmission, request)
	l.occupiedSlots++
}

// remove removes a request from those in flight and releases its slot.
func (l *limiter) remove(id uint64, request *inFlightRequest) {
	delete(l.inFlight, id)
	l.releaseSlot(request)
}

func (l *limiter) releaseSlot(request *inFlightRequest) {
	if request.occupiesSlot {
		request.occupiesSlot = false
		l.occupiedSlots--
	}
}

// complete removes a request from those in flight and adapts the limit to its outcome.
func (l *limiter) complete(now placer.Seconds, id uint64, request *inFlightRequest, placed bool) {
	occupiedBefore := float64(l.occupiedSlots)
	l.remove(id, request)
	latency := now - request.admittedAt
	late := !placed || latency > request.effectiveObjective()/2
	l.recordLate(now, late)
	switch {
	case late && l.mayDecrease(now):
		// The decrease starts from the number of requests that were in flight when requests became late,
		// because the limit itself may never have been reached.
		l.limit = max(min(l.limit, occupiedBefore+1)*l.cfg.DecreaseFactor, l.cfg.MinInFlight)
		l.lastDecreaseAt = now
		l.slowStart = false
	case !late && occupiedBefore >= math.Floor(l.limit)/2:
		l.increase(now, latency <= request.effectiveObjective()/fastCompletionDivisor)
	}
}

// recordLate updates the moving average of the fraction of late requests.
func (l *limiter) recordLate(now placer.Seconds, late bool) {
	observed := 0.0
	if late {
		observed = 1
		l.lastLateAt = now
	}
	l.lateFraction += (observed - l.lateFraction) * lateFractionWeight
}

// mayDecrease reports whether the fraction of late requests is too high and the last decrease was at least
// one decrease interval ago.
func (l *limiter) mayDecrease(now placer.Seconds) bool {
	return l.lateFraction > l.cfg.LateFraction && now-l.lastDecreaseAt >= l.cfg.DecreaseInterval
}

// increase raises the limit by one for each round of completed requests. During slow start it raises the
// limit by one for each fast request, which doubles the limit in each round. Slow start applies at the
// beginning, and again after a period without late requests, so that a limit that was lowered during a fault
// recovers soon after the fault.
func (l *limiter) increase(now placer.Seconds, fast bool) {
	recoveryPeriod := slowStartIntervals * max(l.cfg.DecreaseInterval, minSlowStartInterval)
	if !l.slowStart && !l.cfg.AdditiveOnly && now-l.lastLateAt >= recoveryPeriod {
		l.slowStart = true
	}
	step := 1 / max(l.limit, 1)
	if l.slowStart && fast {
		step = 1
	}
	l.limit = min(l.limit+step, l.cfg.MaxInFlight)
}
