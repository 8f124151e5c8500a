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
func (b *backlog) play(from, duration placer.Seconds) int {
	b.lastID = uint64(from * 1e6)
	b.returning = map[int]int{}
	for tick := range int(duration * ticksPerSecond) {
		now := from + placer.Seconds(tick)*tickSeconds
		b.complete(now, tick)
		b.waiting += b.returning[tick]
		delete(b.returning, tick)
		b.submit(now)
		b.poll(now, tick)
	}
	return b.placedCount
}

func (b *backlog) complete(now placer.Seconds, tick int) {
	for len(b.completions) > 0 && b.completions[0].at <= now {
		placed := b.placed(now)
		b.controller.Complete(now, b.completions[0].id, placed)
		b.completions = b.completions[1:]
		if placed {
			b.placedCount++
		} else {
			b.returning[tick+ticksPerSecond]++
		}
	}
}

func (b *backlog) submit(now placer.Seconds) {
	for ; b.waiting > 0; b.waiting-- {
		b.lastID++
		request := Request{
			ID:               b.lastID,
			Deadline:         now + 10,
			FinalDeadline:    now + 10,
			LatencyObjective: 1,
			IsRetry:          true,
			ShedBefore:       true,
		}
		if decision, _ := b.controller.Submit(now, request); decision == Admit {
			b.admit(now, b.lastID)
		}
	}
}

func (b *backlog) poll(now placer.Seconds, tick int) {
	admitted, shed := b.controller.Poll(now)
	for _, id := range admitted {
		b.admit(now, id)
	}
	for _, request := range shed {
		b.returning[tick+1+int(request.RetryAfter*ticksPerSecond)]++
	}
}

func (b *backlog) admit(now placer.Seconds, id uint64) {
	b.completions = append(b.completions, backlogCompletion{now + serviceSeconds, id})
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
