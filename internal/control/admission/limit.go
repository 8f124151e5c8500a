package admission

import (
	"math"

	"heathshed/placer"
)

const (
	// minLatencyObjective is the shortest latency objective that is used.
	minLatencyObjective placer.Seconds = 0.001
	// lateSmoothing is the weight of one completed request in limiter.lateFraction.
	lateFractionWeight = 0.05
	// promptDivisor divides a request's latency objective into the latency up to which slow start continues: one sixteenth. A request that
	// takes longer already waits in a queue somewhere, and a limit that doubles would only make that queue longer.
	fastCompletionDivisor = 16.0
	// slowStartIntervals is the number of decrease intervals without a late request after which slow start begins again.
	slowStartIntervals = 4.0
	// minSlowStartInterval is the shortest decrease interval that slowStartIntervals multiplies.
	minSlowStartInterval placer.Seconds = 0.05
)

// never is later than any clock time.
var never = placer.Seconds(math.Inf(1))

// inFlightRequest is an admitted request that has not completed.
type inFlightRequest struct {
	admittedAt       placer.Seconds
	latencyObjective placer.Seconds
	// counted is whether it counts against the limit. Past its latency objective it does not: it waits for a node that can run the task and
	// does not occupy one.
	occupiesSlot    bool
	usedRetryBudget bool
}

func (r *inFlightRequest) objective() placer.Seconds {
	return max(r.latencyObjective, minLatencyObjective)
}

// limiter learns how many requests may be in flight: additive increase, multiplicative decrease, and slow start.
type limiter struct {
	cfg            *Config
	limit          float64
	lastDecreaseAt placer.Seconds
	lateFraction   float64        // fraction of completed requests that were late, smoothed
	lastLateAt     placer.Seconds // when a request last completed late
	slowStart      bool           // the limit grows by one for each prompt request

	inFlight      map[uint64]*inFlightRequest
	byAdmission   []*inFlightRequest // oldest first; completed ones are skipped at the front
	occupiedSlots int                // requests that count against the limit
}

func newLimiter(cfg *Config) limiter {
	return limiter{
		cfg:       cfg,
		limit:     min(max(cfg.InitialInFlight, cfg.MinInFlight), cfg.MaxInFlight),
		slowStart: !cfg.AdditiveOnly,
		inFlight:  map[uint64]*inFlightRequest{},
	}
}

// hasCapacity reports whether one more request may be in flight. It stops counting those that are past their latency objective.
func (l *limiter) hasCapacity(now placer.Seconds) bool {
	for len(l.byAdmission) > 0 {
		oldest := l.byAdmission[0]
		if oldest.occupiesSlot && now-oldest.admittedAt < oldest.objective() {
			break
		}
		l.releaseSlot(oldest)
		l.byAdmission[0] = nil
		l.byAdmission = l.byAdmission[1:]
	}
	return float64(l.occupiedSlots) < math.Floor(l.limit)
}

// nextUncountedAt returns when the oldest request in flight reaches its latency objective: infinity if there is none.
func (l *limiter) nextSlotExpiry() placer.Seconds {
	if len(l.byAdmission) == 0 {
		return never
	}
	return l.byAdmission[0].admittedAt + l.byAdmission[0].objective()
}

// add counts an admitted request.
func (l *limiter) add(id uint64, request *inFlightRequest) {
	request.occupiesSlot = true
	l.inFlight[id] = request
	l.byAdmission = append(l.byAdmission, request)
	l.occupiedSlots++
}

// remove removes a request from those in flight.
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
	late := !placed || latency > request.objective()/2
	l.recordLate(now, late)
	switch {
	case late && l.mayDecrease(now):
		// The limit decreases from the number in flight when requests became late, not from a limit that was never reached.
		l.limit = max(min(l.limit, occupiedBefore+1)*l.cfg.DecreaseFactor, l.cfg.MinInFlight)
		l.lastDecreaseAt = now
		l.slowStart = false
	case !late && occupiedBefore >= math.Floor(l.limit)/2:
		l.increase(now, latency <= request.objective()/fastCompletionDivisor)
	}
}

// recordLate updates the smoothed fraction of late requests.
func (l *limiter) recordLate(now placer.Seconds, late bool) {
	observed := 0.0
	if late {
		observed = 1
		l.lastLateAt = now
	}
	l.lateFraction += (observed - l.lateFraction) * lateFractionWeight
}

// mayDecrease reports whether too many requests are late and the last decrease is long enough ago.
func (l *limiter) mayDecrease(now placer.Seconds) bool {
	return l.lateFraction > l.cfg.LateFraction && now-l.lastDecreaseAt >= l.cfg.DecreaseInterval
}

// increase raises the limit: by one in each round of completed requests or, in slow start, by one for each prompt request, which doubles it
// in each round. Slow start applies from the beginning and again once nothing has been late for a while, so that a limit that fell during
// a fault does not stay low for long after it.
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
