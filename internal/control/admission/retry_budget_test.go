package admission

import (
	"testing"

	"heathshed/placer"
)

// retryBacklog simulates clients that submit retries to a controller. Each admitted request completes after
// serviceSeconds. If a request is shed or its task is not placed, the client submits it again later.
type retryBacklog struct {
	controller *Controller
	isPlaced   func(now placer.Seconds) bool // isPlaced reports whether the task of a request that completes at the given time is placed.

	lastID        uint64
	unsubmitted   int               // unsubmitted is the number of requests that the clients have yet to submit.
	resubmissions map[int]int       // resubmissions maps the number of a tick to the number of requests that are submitted again at that tick.
	completions   []retryCompletion // completions contains the future completion of each request in flight, sorted by time.
	placedCount   int
}

type retryCompletion struct {
	at placer.Seconds
	id uint64
}

// The simulated time advances in ticks. Each admitted request completes serviceSeconds after its admission.
const (
	tickSeconds    placer.Seconds = 0.01
	ticksPerSecond                = 100
	serviceSeconds placer.Seconds = 0.02
)

// run simulates the clients for the given duration and returns the number of requests whose tasks were placed.
func (backlog *retryBacklog) run(from, duration placer.Seconds) int {
	backlog.lastID = uint64(from * 1e6)
	backlog.resubmissions = map[int]int{}
	for tick := range int(duration * ticksPerSecond) {
		now := from + placer.Seconds(tick)*tickSeconds
		backlog.complete(now, tick)
		backlog.unsubmitted += backlog.resubmissions[tick]
		delete(backlog.resubmissions, tick)
		backlog.submit(now)
		backlog.poll(now, tick)
	}
	return backlog.placedCount
}

func (backlog *retryBacklog) complete(now placer.Seconds, tick int) {
	for len(backlog.completions) > 0 && backlog.completions[0].at <= now {
		placed := backlog.isPlaced(now)
		backlog.controller.Complete(now, backlog.completions[0].id, placed)
		backlog.completions = backlog.completions[1:]
		if placed {
			backlog.placedCount++
		} else {
			backlog.resubmissions[tick+ticksPerSecond]++
		}
	}
}

func (backlog *retryBacklog) submit(now placer.Seconds) {
	for ; backlog.unsubmitted > 0; backlog.unsubmitted-- {
		backlog.lastID++
		request := Request{
			ID:               backlog.lastID,
			Deadline:         now + 10,
			ClientDeadline:   now + 10,
			LatencyObjective: 1,
			IsRetry:          true,
			ShedBefore:       true,
		}
		if decision, _ := backlog.controller.Submit(now, request); decision == Admit {
			backlog.admit(now, backlog.lastID)
		}
	}
}

func (backlog *retryBacklog) poll(now placer.Seconds, tick int) {
	admitted, shed := backlog.controller.Poll(now)
	for _, id := range admitted {
		backlog.admit(now, id)
	}
	for _, request := range shed {
		backlog.resubmissions[tick+1+int(request.RetryAfter*ticksPerSecond)]++
	}
}

func (backlog *retryBacklog) admit(now placer.Seconds, id uint64) {
	backlog.completions = append(backlog.completions, retryCompletion{now + serviceSeconds, id})
}

// TestRetryBudgetBoundsFailingRetries checks that the retry budget limits the number of admitted retries while
// no node accepts a task.
func TestRetryBudgetBoundsFailingRetries(t *testing.T) {
	controller := newController(t)
	backlog := &retryBacklog{controller: controller, unsubmitted: 20000, isPlaced: func(placer.Seconds) bool { return false }}

	backlog.run(1, 60)

	maxAdmitted := controller.cfg.RetryBurst + 60*controller.cfg.RetryRate + 1
	if float64(controller.Admitted) > maxAdmitted {
		t.Errorf("%d retries were admitted in 60 s in which no task was placed, want at most %v", controller.Admitted, maxAdmitted)
	}
}

// TestRetryBudgetRecovers simulates a fault during which no node accepts a task. It checks that the tasks of
// many waiting retries are placed soon after the fault, even if no first attempts arrive. This is possible
// only if each retry whose task is placed adds tokens to the retry budget, because Config.RetryRate alone
// adds too few.
func TestRetryBudgetRecovers(t *testing.T) {
	const start, faultDuration placer.Seconds = 1, 30
	controller := newController(t)
	backlog := &retryBacklog{controller: controller, unsubmitted: 20000, isPlaced: func(now placer.Seconds) bool { return now > start+faultDuration }}

	placedCount := backlog.run(start, faultDuration+30)

	if placedCount < 19000 {
		t.Errorf("%d of 20000 tasks were placed within 30 s after a fault of 30 s during which no node accepted a task, want at least 19000", placedCount)
	}
	if got, maxTokens := controller.RetryBudget(), controller.cfg.RetryBurst; got < maxTokens-1 {
		t.Errorf("retry budget holds %v tokens at the end, want at least Config.RetryBurst minus one token", got)
	}
}
