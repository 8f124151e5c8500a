package admission

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/placer"
)

// requestState is where a request of a play is.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateInFlight
	stateShed
	stateCompleted
)

var requestStateNames = [...]string{"", "queued", "in flight", "shed", "completed"}

func (s requestState) String() string { return requestStateNames[s] }

// stateAfter is where a request is after each decision.
var stateAfter = [...]requestState{Admit: stateInFlight, Queue: stateQueued, Shed: stateShed}

// play is a controller with the requests that it got, as a model of it keeps them.
type play struct {
	*rapid.T
	config     Config
	controller *Controller
	now        placer.Seconds
	requests   map[uint64]Request
	states     map[uint64]requestState
	inFlight   []uint64

	placed        int // requests that were placed
	retries       int // retries that were admitted
	placedRetries int // retries that were placed
}

func newPlay(t *rapid.T) *play {
	config := DefaultConfig()
	config.Shares = []float64{0.6, 0.3, 0.1}
	config.InitialInFlight = float64(rapid.IntRange(1, 30).Draw(t, "initial in flight"))
	config.MinInFlight = 1
	config.MaxInFlight = 40
	config.MaxQueued = rapid.IntRange(1, 60).Draw(t, "max queued")
	config.RetryBurst = 5
	controller, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &play{T: t, config: config, controller: controller, requests: map[uint64]Request{}, states: map[uint64]requestState{}}
}

// drawSeconds draws a time.
func (p *play) drawSeconds(least, most float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(least, most).Draw(p.T, label))
}

// move takes a new request or a queued one to its next state.
func (p *play) move(id uint64, next requestState) {
	if from := p.states[id]; from != 0 && from != stateQueued {
		p.Fatalf("request %d goes from %s to %s", id, from, next)
	}
	p.states[id] = next
	if next != stateInFlight {
		return
	}
	p.inFlight = append(p.inFlight, id)
	if p.requests[id].IsRetry {
		p.retries++
	}
}

// submit draws a request.
func (p *play) submit() {
	request := Request{
		ID:               uint64(len(p.requests) + 1),
		Tenant:           rapid.IntRange(0, 2).Draw(p.T, "tenant"),
		Priority:         rapid.IntRange(0, 2).Draw(p.T, "priority"),
		Cost:             1,
		Deadline:         p.now + p.drawSeconds(0.1, 5, "deadline"),
		LatencyObjective: 0.5,
		IsRetry:          rapid.IntRange(0, 3).Draw(p.T, "retry") == 0,
		ShedBefore:       rapid.IntRange(0, 2).Draw(p.T, "shed before") == 0,
	}
	request.FinalDeadline = request.Deadline + p.drawSeconds(0, 2, "final deadline")
	p.requests[request.ID] = request
	decision, _ := p.controller.Submit(p.now, request)
	p.move(request.ID, stateAfter[decision])
}

// complete draws a request in flight and its outcome.
func (p *play) complete() {
	index := rapid.IntRange(0, len(p.inFlight)-1).Draw(p.T, "completed")
	placed := rapid.Bool().Draw(p.T, "placed")
	id := p.inFlight[index]
	p.inFlight = append(p.inFlight[:index], p.inFlight[index+1:]...)
	p.states[id] = stateCompleted
	p.controller.Complete(p.now, id, placed)
	if !placed {
		return
	}
	p.placed++
	if p.requests[id].IsRetry {
		p.placedRetries++
	}
}

func (p *play) poll() {
	admitted, shed := p.controller.Poll(p.now)
	for _, id := range admitted {
		if p.now > p.requests[id].FinalDeadline {
			p.Fatal("admitted after its client gave up")
		}
		p.move(id, stateInFlight)
	}
	for _, request := range shed {
		p.move(request.ID, stateShed)
	}
}

// check compares the controller with the model.
func (p *play) check() {
	p.checkRetryBudget()
	p.checkLimit()
	p.checkQueue()
}

func (p *play) checkRetryBudget() {
	failed := p.retries - p.placedRetries
	granted := p.config.RetryBurst + p.config.RetryRatio*float64(p.placed) + p.config.RetryRate*float64(p.now)
	if float64(failed) > granted+1e-6 || p.controller.RetryBudget() < -1e-9 {
		p.Fatalf("%d retries that were not placed beside %d placed requests in %.1f s", failed, p.placed, p.now)
	}
}

func (p *play) checkLimit() {
	counted := p.controller.limiter.counted
	if p.controller.InFlight() != len(p.inFlight) || counted > len(p.inFlight) || counted < 0 {
		p.Fatalf("%d in flight, controller says %d and counts %d", len(p.inFlight), p.controller.InFlight(), counted)
	}
	if limit := p.controller.Limit(); limit < p.config.MinInFlight || limit > p.config.MaxInFlight {
		p.Fatalf("limit %v", limit)
	}
}

func (p *play) checkQueue() {
	queued := 0
	for id, state := range p.states {
		if state != stateQueued {
			continue
		}
		queued++
		if !p.requests[id].IsRetry && p.controller.limiter.hasCapacity(p.now) {
			p.Fatalf("first attempt %d is queued though there is capacity", id)
		}
	}
	if queued != p.controller.QueueLength() || queued > p.config.MaxQueued {
		p.Fatalf("%d queued, controller says %d", queued, p.controller.QueueLength())
	}
}

// TestRequestsAreNeverLost plays random arrivals and completions: no request is lost or admitted twice, no more are in flight than the
// limit, retries that are not placed stay within their budget, no retry holds up a first attempt, and what is queued is shed by its deadline.
func TestRequestsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		played := newPlay(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			played.now += played.drawSeconds(0, 0.3, "elapsed")
			if rapid.Bool().Draw(t, "submit") || len(played.inFlight) == 0 {
				played.submit()
			} else {
				played.complete()
			}
			played.poll()
			played.check()
		}
		// In the end all that is queued is shed.
		if _, shed := played.controller.Poll(played.now + 100); len(shed) != played.controller.QueueLength()+len(shed) {
			t.Fatal("some requests stay queued for ever")
		}
	})
}
