package admission

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/placer"
)

// requestState is the state of a request in the model of a controller.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateInFlight
	stateShed
	stateCompleted
)

var requestStateNames = [...]string{"", "queued", "in flight", "shed", "completed"}

func (s requestState) String() string { return requestStateNames[s] }

// stateAfter maps each decision of a controller to the state of the request after it.
var stateAfter = [...]requestState{Admit: stateInFlight, Queue: stateQueued, Shed: stateShed}

// controllerModel is a controller together with a simple model of it, which tracks the state of every
// request.
type controllerModel struct {
	*rapid.T
	config     Config
	controller *Controller
	now        placer.Seconds
	requests   map[uint64]Request
	states     map[uint64]requestState
	inFlight   []uint64

	placed        int // placed is the number of requests that were placed.
	retries       int // retries is the number of retries that were admitted.
	placedRetries int // placedRetries is the number of retries that were placed.
}

func newControllerModel(t *rapid.T) *controllerModel {
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
	return &controllerModel{T: t, config: config, controller: controller, requests: map[uint64]Request{}, states: map[uint64]requestState{}}
}

// drawSeconds draws a duration between the two bounds.
func (model *controllerModel) drawSeconds(minSeconds, maxSeconds float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(minSeconds, maxSeconds).Draw(model.T, label))
}

// setState changes the state of a request and fails the test unless the request is new or queued.
func (model *controllerModel) setState(id uint64, nextState requestState) {
	if previous := model.states[id]; previous != 0 && previous != stateQueued {
		model.Fatalf("request %d changes its state from %s to %s", id, previous, nextState)
	}
	model.states[id] = nextState
	if nextState != stateInFlight {
		return
	}
	model.inFlight = append(model.inFlight, id)
	if model.requests[id].IsRetry {
		model.retries++
	}
}

// submit draws a random request and submits it to the controller.
func (model *controllerModel) submit() {
	request := Request{
		ID:               uint64(len(model.requests) + 1),
		Tenant:           rapid.IntRange(0, 2).Draw(model.T, "tenant"),
		Priority:         rapid.IntRange(0, 2).Draw(model.T, "priority"),
		Cost:             1,
		Deadline:         model.now + model.drawSeconds(0.1, 5, "deadline"),
		LatencyObjective: 0.5,
		IsRetry:          rapid.IntRange(0, 3).Draw(model.T, "retry") == 0,
		ShedBefore:       rapid.IntRange(0, 2).Draw(model.T, "shed before") == 0,
	}
	request.ClientDeadline = request.Deadline + model.drawSeconds(0, 2, "final deadline")
	model.requests[request.ID] = request
	decision, _ := model.controller.Submit(model.now, request)
	model.setState(request.ID, stateAfter[decision])
}

// complete selects a random request in flight and draws its outcome.
func (model *controllerModel) complete() {
	index := rapid.IntRange(0, len(model.inFlight)-1).Draw(model.T, "completed")
	placed := rapid.Bool().Draw(model.T, "placed")
	id := model.inFlight[index]
	model.inFlight = append(model.inFlight[:index], model.inFlight[index+1:]...)
	model.states[id] = stateCompleted
	model.controller.Complete(model.now, id, placed)
	if !placed {
		return
	}
	model.placed++
	if model.requests[id].IsRetry {
		model.placedRetries++
	}
}

func (model *controllerModel) poll() {
	admitted, shed := model.controller.Poll(model.now)
	for _, id := range admitted {
		if model.now > model.requests[id].ClientDeadline {
			model.Fatal("a request is admitted after its client stopped waiting")
		}
		model.setState(id, stateInFlight)
	}
	for _, request := range shed {
		model.setState(request.ID, stateShed)
	}
}

// check compares the state of the controller with the model.
func (model *controllerModel) check() {
	model.checkRetryBudget()
	model.checkLimit()
	model.checkQueue()
}

func (model *controllerModel) checkRetryBudget() {
	failed := model.retries - model.placedRetries
	granted := model.config.RetryBurst + model.config.RetryRatio*float64(model.placed) + model.config.RetryRate*float64(model.now)
	if float64(failed) > granted+1e-6 || model.controller.RetryBudget() < -1e-9 {
		model.Fatalf("%d unplaced retries exceed the budget for %d placed requests in %.1f s, or the budget is negative", failed, model.placed, model.now)
	}
}

func (model *controllerModel) checkLimit() {
	counted := model.controller.limiter.occupiedSlots
	if model.controller.InFlight() != len(model.inFlight) || counted > len(model.inFlight) || counted < 0 {
		model.Fatalf("the model has %d requests in flight, the controller has %d with %d occupied slots", len(model.inFlight), model.controller.InFlight(), counted)
	}
	if limit := model.controller.Limit(); limit < model.config.MinInFlight || limit > model.config.MaxInFlight {
		model.Fatalf("concurrency limit %v is out of range", limit)
	}
}

func (model *controllerModel) checkQueue() {
	queued := 0
	for id, state := range model.states {
		if state != stateQueued {
			continue
		}
		queued++
		if !model.requests[id].IsRetry && model.controller.limiter.hasCapacity(model.now) {
			model.Fatalf("first attempt %d is queued although there is capacity", id)
		}
	}
	if queued != model.controller.QueueLength() || queued > model.config.MaxQueued {
		model.Fatalf("the model has %d queued requests, the controller has %d", queued, model.controller.QueueLength())
	}
}

// TestRequestsAreNeverLost simulates random arrivals and completions. It checks that no request is lost or
// admitted twice, that the number of requests in flight respects the limit, that unplaced retries stay within
// the retry budget, that no retry delays a first attempt, and that every queued request is admitted or shed
// by its final deadline.
func TestRequestsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newControllerModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			model.now += model.drawSeconds(0, 0.3, "elapsed")
			if rapid.Bool().Draw(t, "submit") || len(model.inFlight) == 0 {
				model.submit()
			} else {
				model.complete()
			}
			model.poll()
			model.check()
		}
		// After all deadlines have passed, every queued request must be shed.
		if _, shed := model.controller.Poll(model.now + 100); len(shed) != model.controller.QueueLength()+len(shed) {
			t.Fatal("some requests remain queued after all deadlines")
		}
	})
}
