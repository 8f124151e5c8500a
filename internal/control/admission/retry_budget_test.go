package admission

import (
	"testing"

	"heathshed/placer"
)

// backlog is a number of retries, each of which completes after the same time and, if it was shed or not placed, is submitted again.
type backlog struct {
	controller *Controller
	placed     func(now placer.Seconds) bool // the outcome of a request that completes now

	lastID      uint64
	waiting     int                 // to be submitted
	returning   map[int]int         // to be submitted again, by tick
	completions []backlogCompletion // of the requests in flight, in order of time
	placedCount int
}

type backlogCompletion struct {
	at placer.Seconds
	id uint64
}

// Times of a backlog.
const (
	tickSeconds    placer.Seconds = 0.01
	ticksPerSecond                = 100
	serviceSeconds placer.Seconds = 0.02
)

// play plays a backlog for a time and returns how many of it were placed.
func (retries *backlog) play(from, duration placer.Seconds) int {
	retries.lastID = uint64(from * 1e6)
	retries.returning = map[int]int{}
	for tick := range int(duration * ticksPerSecond) {
		now := from + placer.Seconds(tick)*tickSeconds
		retries.complete(now, tick)
		retries.waiting += retries.returning[tick]
		delete(retries.returning, tick)
		retries.submit(now)
		retries.poll(now, tick)
	}
	return retries.placedCount
}

func (retries *backlog) complete(now placer.Seconds, tick int) {
	for len(retries.completions) > 0 && retries.completions[0].at <= now {
		placed := retries.placed(now)
		retries.controller.Complete(now, retries.completions[0].id, placed)
		retries.completions = retries.completions[1:]
		if placed {
			retries.placedCount++
		} else {
			retries.returning[tick+ticksPerSecond]++
		}
	}
}

func (retries *backlog) submit(now placer.Seconds) {
	for ; retries.waiting > 0; retries.waiting-- {
		retries.lastID++
		request := Request{
			ID:               retries.lastID,
			Deadline:         now + 10,
			FinalDeadline:    now + 10,
			LatencyObjective: 1,
			IsRetry:          true,
			ShedBefore:       true,
		}
		if decision, _ := retries.controller.Submit(now, request); decision == Admit {
			retries.admit(now, retries.lastID)
		}
	}
}

func (retries *backlog) poll(now placer.Seconds, tick int) {
	admitted, shed := retries.controller.Poll(now)
	for _, id := range admitted {
		retries.admit(now, id)
	}
	for _, request := range shed {
		retries.returning[tick+1+int(request.RetryAfter*ticksPerSecond)]++
	}
}

func (retries *backlog) admit(now placer.Seconds, id uint64) {
	retries.completions = append(retries.completions, backlogCompletion{now + serviceSeconds, id})
}

// TestRetryBudgetBoundsFailingRetries checks that a backlog of retries costs no more than the budget while no node accepts.
func TestRetryBudgetBoundsFailingRetries(t *testing.T) {
	controller := newController(t)
	retries := &backlog{controller: controller, waiting: 20000, placed: func(placer.Seconds) bool { return false }}

	retries.play(1, 60)

	most := controller.cfg.RetryBurst + 60*controller.cfg.RetryRate + 1
	if float64(controller.Admitted) > most {
		t.Errorf("%d retries admitted in a minute without success, want at most %v", controller.Admitted, most)
	}
}

// TestRetryBudgetRecovers checks that a backlog of retries is worked off soon after nodes recover although there are no first attempts: the
// budget grows with what succeeds.
func TestRetryBudgetRecovers(t *testing.T) {
	const start, faultDuration placer.Seconds = 1, 30
	controller := newController(t)
	retries := &backlog{controller: controller, waiting: 20000, placed: func(now placer.Seconds) bool { return now > start+faultDuration }}

	placed := retries.play(start, faultDuration+30)

	if placed < 19000 {
		t.Errorf("%d of 20000 placed within 30 s after a fault of half a minute", placed)
	}
	if got, full := controller.RetryBudget(), controller.cfg.RetryBurst; got < full-1 {
		t.Errorf("budget %v in the end, want it full", got)
	}
}
