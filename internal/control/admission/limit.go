package admission

import (
	"math"

	"heathshed/placer"
)

const (
	// minLatencyObjective is the smallest latency objective that the limiter applies to a request. The limiter
	// replaces a smaller latency objective with this value.
	minLatencyObjective placer.Seconds = 0.001
	// lateFractionWeight is the weight of the last completed request in limiter.lateFraction, which is an
	// exponential moving average.
	lateFractionWeight = 0.05
	// fastCompletionDivisor defines which requests count as fast. A request is fast if the time from its
	// admission to its completion is at most its latency objective divided by fastCompletionDivisor. During
	// slow start, only fast requests raise the concurrency limit by one. A slower request has already waited in
	// some queue after its admission, and doubling the limit would only make that queue longer.
	fastCompletionDivisor = 16.0
	// slowStartIntervals is the number of intervals of length Config.DecreaseInterval that must pass without a
	// late request before slow start begins again.
	slowStartIntervals = 4.0
	// minSlowStartInterval replaces a shorter Config.DecreaseInterval in the computation of the time without
	// late requests after which slow start begins again.
	minSlowStartInterval placer.Seconds = 0.05
)

// never is a time that is later than every clock reading.
var never = placer.Seconds(math.Inf(1))

// inFlightRequest is an admitted request that has not completed.
type inFlightRequest struct {
	admittedAt       placer.Seconds
	latencyObjective placer.Seconds
	// occupiesSlot means that the request counts against the concurrency limit. A request no longer counts once
	// it has been in flight for as long as its latency objective. Its task then waits for a suitable node, and
	// occupies no node while it waits.
	occupiesSlot    bool
	usedRetryBudget bool
}

func (r *inFlightRequest) effectiveObjective() placer.Seconds {
	return max(r.latencyObjective, minLatencyObjective)
}

// limiter tracks the requests in flight and adapts the concurrency limit by additive increase, multiplicative
// decrease and slow start.
type limiter struct {
	cfg            *Config
	limit          float64
	lastDecreaseAt placer.Seconds
	lateFraction   float64        // lateFraction is an exponential moving average of the fraction of late requests among completed ones.
	lastLateAt     placer.Seconds // lastLateAt is when a late request last completed.
	slowStart      bool           // slowStart means that the concurrency limit grows by one for each fast request.

	inFlight       map[uint64]*inFlightRequest
	admissionOrder []*inFlightRequest // admissionOrder contains the oldest request first; a completed request stays until it reaches the front.
	occupiedSlots  int                // occupiedSlots is the number of requests that count against the concurrency limit.
}

func newLimiter(cfg *Config) limiter {
	return limiter{
		cfg:       cfg,
		limit:     min(max(cfg.InitialInFlight, cfg.MinInFlight), cfg.MaxInFlight),
		slowStart: !cfg.AdditiveOnly,
		inFlight:  map[uint64]*inFlightRequest{},
	}
}

// hasCapacity reports whether one more request may be in flight. It first calls releaseSlot for each request
// that has been in flight for as long as its latency objective.
func (l *limiter) hasCapacity(now placer.Seconds) bool {
	for len(l.admissionOrder) > 0 {
		oldest := l.admissionOrder[0]
		if oldest.occupiesSlot && now-oldest.admittedAt < oldest.effectiveObjective() {
			break
		}
		l.releaseSlot(oldest)
		l.admissionOrder[0] = nil
		l.admissionOrder = l.admissionOrder[1:]
	}
	return float64(l.occupiedSlots) < math.Floor(l.limit)
}

// nextSlotExpiry returns the time at which the oldest request in admissionOrder will have been in flight for as
// long as its latency objective. From then on, the request does not count against the concurrency limit.
// nextSlotExpiry returns infinity if admissionOrder is empty.
func (l *limiter) nextSlotExpiry() placer.Seconds {
	if len(l.admissionOrder) == 0 {
		return never
	}
	return l.admissionOrder[0].admittedAt + l.admissionOrder[0].effectiveObjective()
}

// add adds an admitted request to the requests in flight and counts it against the concurrency limit.
func (l *limiter) add(id uint64, request *inFlightRequest) {
	request.occupiesSlot = true
	l.inFlight[id] = request
	l.admissionOrder = append(l.admissionOrder, request)
	l.occupiedSlots++
}

// remove removes a request from the requests in flight, after which it no longer counts against the concurrency
// limit.
func (l *limiter) remove(id uint64, request *inFlightRequest) {
	delete(l.inFlight, id)
	l.releaseSlot(request)
}

// releaseSlot ensures that the request no longer counts against the concurrency limit.
func (l *limiter) releaseSlot(request *inFlightRequest) {
	if request.occupiesSlot {
		request.occupiesSlot = false
		l.occupiedSlots--
	}
}

// complete removes a request from the requests in flight and adapts the concurrency limit to its outcome.
func (l *limiter) complete(now placer.Seconds, id uint64, request *inFlightRequest, placed bool) {
	occupiedBefore := float64(l.occupiedSlots)
	l.remove(id, request)
	latency := now - request.admittedAt
	late := !placed || latency > request.effectiveObjective()/2
	l.updateLateFraction(now, late)
	switch {
	case late && l.mayDecrease(now):
		// DecreaseFactor applies to the number of requests that counted against the limit, plus one, if that is
		// less than the limit. There may never have been as many requests in flight as the limit allows.
		l.limit = max(min(l.limit, occupiedBefore+1)*l.cfg.DecreaseFactor, l.cfg.MinInFlight)
		l.lastDecreaseAt = now
		l.slowStart = false
	case !late && occupiedBefore >= math.Floor(l.limit)/2:
		l.increase(now, latency <= request.effectiveObjective()/fastCompletionDivisor)
	}
}

// updateLateFraction updates lateFraction and lastLateAt after one request has completed. The argument late
// states whether this request was late.
func (l *limiter) updateLateFraction(now placer.Seconds, late bool) {
	observed := 0.0
	if late {
		observed = 1
		l.lastLateAt = now
	}
	l.lateFraction += (observed - l.lateFraction) * lateFractionWeight
}

// mayDecrease reports whether the concurrency limit may be decreased now. The fraction of late requests must
// exceed Config.LateFraction, and the last decrease must be at least Config.DecreaseInterval ago.
func (l *limiter) mayDecrease(now placer.Seconds) bool {
	return l.lateFraction > l.cfg.LateFraction && now-l.lastDecreaseAt >= l.cfg.DecreaseInterval
}

// increase raises the concurrency limit after one request that was not late has completed. Normally it raises
// the limit by 1/limit, which amounts to one per round. A round is over when as many requests have completed as
// the limit allows in flight. During slow start, increase raises the limit by one for each fast request, which
// doubles the limit in each round. Slow start is active at the beginning, and again after a period without late
// requests. A limit that was lowered during a fault therefore recovers soon after the fault.
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
