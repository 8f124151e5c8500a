package admission

import (
	"math"

	"heathshed/placer"
)

const (
	// minLatencyObjective is the shortest latency objective that is used.
	minLatencyObjective placer.Seconds = 0.001
	// lateSmoothing is the weight of one completed request in limiter.lateFraction.
	lateSmoothing = 0.05
	// promptDivisor says what part of its latency objective a request may take for slow start to go on: one sixteenth. What takes longer waits
	// in a queue somewhere already, and a limit that doubles would only make that queue longer.
	promptDivisor = 16.0
	// slowStartIntervals is for how many decrease intervals no request may be late until slow start begins again.
	slowStartIntervals = 4.0
	// minSlowStartInterval is the least decrease interval used in that product.
	minSlowStartInterval placer.Seconds = 0.05
)

// never is later than any clock time.
var never = placer.Seconds(math.Inf(1))

// inFlightRequest is an admitted request that has not completed.
type inFlightRequest struct {
	admittedAt       placer.Seconds
	latencyObjective placer.Seconds
	// counted says that it counts against the limit. Past its latency objective it does not: it waits for a node that may take the task and
	// keeps none busy.
	counted         bool
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
	lateFraction   float64        // of the completed requests, smoothed
	lastLateAt     placer.Seconds // when a request completed late
	slowStart      bool           // the limit grows by one for each prompt request

	inFlight map[uint64]*inFlightRequest
	byAge    []*inFlightRequest // oldest first; completed ones are skipped at the front
	counted  int                // requests that count against the limit
}

func newLimiter(cfg *Config) limiter {
	return limiter{
		cfg:       cfg,
		limit:     min(max(cfg.InitialInFlight, cfg.MinInFlight), cfg.MaxInFlight),
		slowStart: !cfg.AdditiveOnly,
		inFlight:  map[uint64]*inFlightRequest{},
	}
}

// hasCapacity says whether one more request may be in flight. It stops counting those that are past their latency objective.
func (l *limiter) hasCapacity(now placer.Seconds) bool {
	for len(l.byAge) > 0 {
		oldest := l.byAge[0]
		if oldest.counted && now-oldest.admittedAt < oldest.objective() {
			break
		}
		l.stopCounting(oldest)
		l.byAge[0] = nil
		l.byAge = l.byAge[1:]
	}
	return float64(l.counted) < math.Floor(l.limit)
}

// nextUncountedAt is when the oldest request in flight reaches its latency objective: infinity if there is none.
func (l *limiter) nextUncountedAt() placer.Seconds {
	if len(l.byAge) == 0 {
		return never
	}
	return l.byAge[0].admittedAt + l.byAge[0].objective()
}

// add counts an admitted request.
func (l *limiter) add(id uint64, request *inFlightRequest) {
	request.counted = true
	l.inFlight[id] = request
	l.byAge = append(l.byAge, request)
	l.counted++
}

// remove takes a request out of flight.
func (l *limiter) remove(id uint64, request *inFlightRequest) {
	delete(l.inFlight, id)
	l.stopCounting(request)
}

func (l *limiter) stopCounting(request *inFlightRequest) {
	if request.counted {
		request.counted = false
		l.counted--
	}
}

// complete takes a request out of flight and adapts the limit to how it went.
func (l *limiter) complete(now placer.Seconds, id uint64, request *inFlightRequest, placed bool) {
	countedBefore := float64(l.counted)
	l.remove(id, request)
	latency := now - request.admittedAt
	late := !placed || latency > request.objective()/2
	l.recordLate(now, late)
	switch {
	case late && l.mayDecrease(now):
		// What was in flight when requests became late is the measure, not a limit that was never reached.
		l.limit = max(min(l.limit, countedBefore+1)*l.cfg.DecreaseFactor, l.cfg.MinInFlight)
		l.lastDecreaseAt = now
		l.slowStart = false
	case !late && countedBefore >= math.Floor(l.limit)/2:
		l.increase(now, latency <= request.objective()/promptDivisor)
	}
}

// recordLate updates the smoothed part of late requests.
func (l *limiter) recordLate(now placer.Seconds, late bool) {
	observed := 0.0
	if late {
		observed = 1
		l.lastLateAt = now
	}
	l.lateFraction += (observed - l.lateFraction) * lateSmoothing
}

// mayDecrease says whether too many requests are late and the last decrease is long enough ago.
func (l *limiter) mayDecrease(now placer.Seconds) bool {
	return l.lateFraction > l.cfg.LateFraction && now-l.lastDecreaseAt >= l.cfg.DecreaseInterval
}

// increase raises the limit: by one in each round of completed requests or, in slow start, by one for each prompt request, which doubles it
// in each round. Slow start applies from the beginning and again once nothing has been late for a while, so that a limit that fell during
// a fault does not stay low for long after it.
func (l *limiter) increase(now placer.Seconds, prompt bool) {
	soundFor := slowStartIntervals * max(l.cfg.DecreaseInterval, minSlowStartInterval)
	if !l.slowStart && !l.cfg.AdditiveOnly && now-l.lastLateAt >= soundFor {
		l.slowStart = true
	}
	step := 1 / max(l.limit, 1)
	if l.slowStart && prompt {
		step = 1
	}
	l.limit = min(l.limit+step, l.cfg.MaxInFlight)
}
