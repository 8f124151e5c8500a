package admission

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/placer"
)

// requestState is the state of a request in the model.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateInFlight
	stateShed
	stateCompleted
)

var requestStateNames = [...]string{"", "queued", "in flight", "shed", "completed"}

func (s requestState) String() string { return requestStateNames[s] }

// stateAfter is the state of a request after each decision.
var stateAfter = [...]requestState{Admit: stateInFlight, Queue: stateQueued, Shed: stateShed}

// play is a controller with a model of it: the requests that were submitted, and their states.
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
func (played *play) drawSeconds(least, most float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(least, most).Draw(played.T, label))
}

// move takes a new request or a queued one to its next state.
func (played *play) move(id uint64, next requestState) {
	if from := played.states[id]; from != 0 && from != stateQueued {
		played.Fatalf("request %d goes from %s to %s", id, from, next)
	}
	played.states[id] = next
	if next != stateInFlight {
		return
	}
	played.inFlight = append(played.inFlight, id)
	if played.requests[id].IsRetry {
		played.retries++
	}
}

// submit draws a request.
func (played *play) submit() {
	request := Request{
		ID:               uint64(len(played.requests) + 1),
		Tenant:           rapid.IntRange(0, 2).Draw(played.T, "tenant"),
		Priority:         rapid.IntRange(0, 2).Draw(played.T, "priority"),
		Cost:             1,
		Deadline:         played.now + played.drawSeconds(0.1, 5, "deadline"),
		LatencyObjective: 0.5,
		IsRetry:          rapid.IntRange(0, 3).Draw(played.T, "retry") == 0,
		ShedBefore:       rapid.IntRange(0, 2).Draw(played.T, "shed before") == 0,
	}
	request.FinalDeadline = request.Deadline + played.drawSeconds(0, 2, "final deadline")
	played.requests[request.ID] = request
	decision, _ := played.controller.Submit(played.now, request)
	played.move(request.ID, stateAfter[decision])
}

// complete draws a request in flight and its outcome.
func (played *play) complete() {
	index := rapid.IntRange(0, len(played.inFlight)-1).Draw(played.T, "completed")
	placed := rapid.Bool().Draw(played.T, "placed")
	id := played.inFlight[index]
	played.inFlight = append(played.inFlight[:index], played.inFlight[index+1:]...)
	played.states[id] = stateCompleted
	played.controller.Complete(played.now, id, placed)
	if !placed {
		return
	}
	played.placed++
	if played.requests[id].IsRetry {
		played.placedRetries++
	}
}

func (played *play) poll() {
	admitted, shed := played.controller.Poll(played.now)
	for _, id := range admitted {
		if played.now > played.requests[id].FinalDeadline {
			played.Fatal("admitted after its client gave up")
		}
		played.move(id, stateInFlight)
	}
	for _, request := range shed {
		played.move(request.ID, stateShed)
	}
}

// check compares the controller with the model.
func (played *play) check() {
	played.checkRetryBudget()
	played.checkLimit()
	played.checkQueue()
}

func (played *play) checkRetryBudget() {
	failed := played.retries - played.placedRetries
	granted := played.config.RetryBurst + played.config.RetryRatio*float64(played.placed) + played.config.RetryRate*float64(played.now)
	if float64(failed) > granted+1e-6 || played.controller.RetryBudget() < -1e-9 {
		played.Fatalf("%d retries that were not placed beside %d placed requests in %.1f s", failed, played.placed, played.now)
	}
}

func (played *play) checkLimit() {
	counted := played.controller.limiter.counted
	if played.controller.InFlight() != len(played.inFlight) || counted > len(played.inFlight) || counted < 0 {
		played.Fatalf("%d in flight, controller says %d and counts %d", len(played.inFlight), played.controller.InFlight(), counted)
	}
	if limit := played.controller.Limit(); limit < played.config.MinInFlight || limit > played.config.MaxInFlight {
		played.Fatalf("limit %v", limit)
	}
}

func (played *play) checkQueue() {
	queued := 0
	for id, state := range played.states {
		if state != stateQueued {
			continue
		}
		queued++
		if !played.requests[id].IsRetry && played.controller.limiter.hasCapacity(played.now) {
			played.Fatalf("first attempt %d is queued though there is capacity", id)
		}
	}
	if queued != played.controller.QueueLength() || queued > played.config.MaxQueued {
		played.Fatalf("%d queued, controller says %d", queued, played.controller.QueueLength())
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
