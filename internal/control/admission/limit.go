package admission

import (
	"math"

	"heathshed/placer"
)

const (
	// minLatencyObjective is the smallest latency objective that the limiter applies to a request. A smaller
	// latency objective is raised to it.
	minLatencyObjective placer.Seconds = 0.001
	// lateFractionWeight is the weight of one completed request in limiter.lateFraction, an exponential moving
	// average.
	lateFractionWeight = 0.05
	// fastCompletionDivisor defines which requests count as fast: a request is fast if it completes within its
	// latency objective divided by this number. During slow start, only fast requests raise the concurrency
	// limit by one. A slower request has already waited in some queue after its admission, and doubling the
	// limit would only make that queue longer.
	fastCompletionDivisor = 16.0
	// slowStartIntervals is the number of decrease intervals that must pass without a late request before
	// slow start begins again.
	slowStartIntervals = 4.0
	// minSlowStartInterval replaces a shorter Config.DecreaseInterval in the product with slowStartIntervals.
	minSlowStartInterval placer.Seconds = 0.05
)

// never is a time that is later than every clock reading.
var never = placer.Seconds(math.Inf(1))

// inFlightRequest is an admitted request that has not completed.
type inFlightRequest struct {
	admittedAt       placer.Seconds
	latencyObjective placer.Seconds
	// occupiesSlot means that the request counts against the concurrency limit. A request no longer counts once
	// it has exceeded its latency objective: it waits for a node that can run its task, and does not occupy a
	// node meanwhile.
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

	inFlight         map[uint64]*inFlightRequest
	inAdmissionOrder []*inFlightRequest // inAdmissionOrder starts with the oldest request; completed requests stay until they reach the front.
	occupiedSlots    int                // occupiedSlots is the number of requests that count against the concurrency limit.
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
	for len(l.inAdmissionOrder) > 0 {
		oldest := l.inAdmissionOrder[0]
		if oldest.occupiesSlot && now-oldest.admittedAt < oldest.effectiveObjective() {
			break
		}
		l.releaseSlot(oldest)
		l.inAdmissionOrder[0] = nil
		l.inAdmissionOrder = l.inAdmissionOrder[1:]
	}
	return float64(l.occupiedSlots) < math.Floor(l.limit)
}

// nextSlotExpiry returns the time at which the oldest request in flight reaches its latency objective and so
// releases its slot. It returns infinity if no request is in flight.
func (l *limiter) nextSlotExpiry() placer.Seconds {
	if len(l.inAdmissionOrder) == 0 {
		return never
	}
	return l.inAdmissionOrder[0].admittedAt + l.inAdmissionOrder[0].effectiveObjective()
}

// add adds an admitted request to the requests in flight and counts it against the concurrency limit.
func (l *limiter) add(id uint64, request *inFlightRequest) {
	request.occupiesSlot = true
	l.inFlight[id] = request
	l.inAdmissionOrder = append(l.inAdmissionOrder, request)
	l.occupiedSlots++
}

// remove removes a request from the requests in flight and releases its slot.
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

// complete removes a request from the requests in flight and adapts the concurrency limit to its outcome.
func (l *limiter) complete(now placer.Seconds, id uint64, request *inFlightRequest, placed bool) {
	occupiedBefore := float64(l.occupiedSlots)
	l.remove(id, request)
	latency := now - request.admittedAt
	late := !placed || latency > request.effectiveObjective()/2
	l.updateLateFraction(now, late)
	switch {
	case late && l.mayDecrease(now):
		// The decrease starts from the number of occupied slots if that is below the limit, because there may
		// never have been as many requests in flight as the limit allows.
		l.limit = max(min(l.limit, occupiedBefore+1)*l.cfg.DecreaseFactor, l.cfg.MinInFlight)
		l.lastDecreaseAt = now
		l.slowStart = false
	case !late && occupiedBefore >= math.Floor(l.limit)/2:
		l.increase(now, latency <= request.effectiveObjective()/fastCompletionDivisor)
	}
}

// updateLateFraction updates the moving average of the fraction of late requests after one request completed.
func (l *limiter) updateLateFraction(now placer.Seconds, late bool) {
	observed := 0.0
	if late {
		observed = 1
		l.lastLateAt = now
	}
	l.lateFraction += (observed - l.lateFraction) * lateFractionWeight
}

// mayDecrease reports whether the concurrency limit can be decreased now. The fraction of late requests must
// be too high, and the last decrease must be at least one decrease interval ago.
func (l *limiter) mayDecrease(now placer.Seconds) bool {
	return l.lateFraction > l.cfg.LateFraction && now-l.lastDecreaseAt >= l.cfg.DecreaseInterval
}

// increase raises the concurrency limit after one request completed in time. It raises the limit by 1/limit,
// which amounts to one per round, where a round is the completion of as many requests as the limit allows.
// During slow start, it raises the limit by one for each fast request, which doubles the limit in each round.
// Slow start applies at the beginning, and again after a period without late requests. A limit that was
// lowered during a fault therefore recovers soon after the fault.
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
