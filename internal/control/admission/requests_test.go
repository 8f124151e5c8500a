package admission

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/placer"
)

// requestState is the state of a request in a controllerModel.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateInFlight
	stateShed
	stateCompleted
)

var requestStateTexts = [...]string{"", "queued", "in flight", "shed", "completed"}

func (s requestState) String() string { return requestStateTexts[s] }

// stateByDecision maps each decision of a controller to the state that a request has after this decision.
var stateByDecision = [...]requestState{Admit: stateInFlight, Queue: stateQueued, Shed: stateShed}

// controllerModel is a controller together with a simple model, which tracks the state of every request that
// was submitted to the controller.
type controllerModel struct {
	*rapid.T
	config      Config
	controller  *Controller
	now         placer.Seconds
	requestByID map[uint64]Request
	stateByID   map[uint64]requestState
	inFlightIDs []uint64

	placedCount     int // placedCount is the number of requests whose tasks were placed.
	admittedRetries int // admittedRetries is the number of retries that the controller admitted.
	placedRetries   int // placedRetries is the number of retries whose tasks were placed.
}

func newControllerModel(t *rapid.T) *controllerModel {
	config := DefaultConfig()
	config.Shares = []float64{0.6, 0.3, 0.1}
	config.InitialInFlight = float64(rapid.IntRange(1, 30).Draw(t, "initial concurrency limit"))
	config.MinInFlight = 1
	config.MaxInFlight = 40
	config.MaxQueued = rapid.IntRange(1, 60).Draw(t, "maximum queue length")
	config.RetryBurst = 5
	controller, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &controllerModel{T: t, config: config, controller: controller, requestByID: map[uint64]Request{}, stateByID: map[uint64]requestState{}}
}

// drawSeconds draws a random duration between the two bounds. When a test fails, package rapid prints the label
// together with the drawn value.
func (model *controllerModel) drawSeconds(minSeconds, maxSeconds float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(minSeconds, maxSeconds).Draw(model.T, label))
}

// setState changes the state of a request. It fails the test if the request is neither new nor queued.
func (model *controllerModel) setState(id uint64, nextState requestState) {
	if previous := model.stateByID[id]; previous != 0 && previous != stateQueued {
		model.Fatalf("the controller changed the state of request %d from %s to %s, but only new and queued requests may change their states", id, previous, nextState)
	}
	model.stateByID[id] = nextState
	if nextState != stateInFlight {
		return
	}
	model.inFlightIDs = append(model.inFlightIDs, id)
	if model.requestByID[id].IsRetry {
		model.admittedRetries++
	}
}

// submit draws a random request and submits it to the controller.
func (model *controllerModel) submit() {
	request := Request{
		ID:               uint64(len(model.requestByID) + 1),
		Tenant:           rapid.IntRange(0, 2).Draw(model.T, "tenant"),
		Priority:         rapid.IntRange(0, 2).Draw(model.T, "priority"),
		Cost:             1,
		Deadline:         model.now + model.drawSeconds(0.1, 5, "seconds until deadline"),
		LatencyObjective: 0.5,
		IsRetry:          rapid.IntRange(0, 3).Draw(model.T, "request is a retry") == 0,
		ShedBefore:       rapid.IntRange(0, 2).Draw(model.T, "earlier request for the task was shed") == 0,
	}
	request.ClientDeadline = request.Deadline + model.drawSeconds(0, 2, "seconds between deadline and client deadline")
	model.requestByID[request.ID] = request
	decision, _ := model.controller.Submit(model.now, request)
	model.setState(request.ID, stateByDecision[decision])
}

// complete selects a random request in flight and completes it with a random outcome.
func (model *controllerModel) complete() {
	index := rapid.IntRange(0, len(model.inFlightIDs)-1).Draw(model.T, "index of the completed request")
	placed := rapid.Bool().Draw(model.T, "task is placed")
	id := model.inFlightIDs[index]
	model.inFlightIDs = append(model.inFlightIDs[:index], model.inFlightIDs[index+1:]...)
	model.stateByID[id] = stateCompleted
	model.controller.Complete(model.now, id, placed)
	if !placed {
		return
	}
	model.placedCount++
	if model.requestByID[id].IsRetry {
		model.placedRetries++
	}
}

func (model *controllerModel) poll() {
	admitted, shed := model.controller.Poll(model.now)
	for _, id := range admitted {
		if model.now > model.requestByID[id].ClientDeadline {
			model.Fatal("Poll admitted a request after its Request.ClientDeadline")
		}
		model.setState(id, stateInFlight)
	}
	for _, request := range shed {
		model.setState(request.ID, stateShed)
	}
}

// checkInvariants checks that the state of the controller agrees with the model and respects the configured
// limits.
func (model *controllerModel) checkInvariants() {
	model.checkRetryBudget()
	model.checkLimit()
	model.checkQueue()
}

func (model *controllerModel) checkRetryBudget() {
	unplacedRetries := model.admittedRetries - model.placedRetries
	maxUnplacedRetries := model.config.RetryBurst + model.config.RetryRatio*float64(model.placedCount) + model.config.RetryRate*float64(model.now)
	if float64(unplacedRetries) > maxUnplacedRetries+1e-6 || model.controller.RetryBudget() < -1e-9 {
		model.Fatalf("the tasks of %d admitted retries are not placed, which is more than the retry budget allows after %d placed tasks and %.1f s, or the retry budget holds a negative number of tokens", unplacedRetries, model.placedCount, model.now)
	}
}

func (model *controllerModel) checkLimit() {
	occupiedSlots := model.controller.limiter.occupiedSlots
	if model.controller.InFlight() != len(model.inFlightIDs) || occupiedSlots > len(model.inFlightIDs) || occupiedSlots < 0 {
		model.Fatalf("%d requests are in flight in the model and %d in the controller, want equal numbers; %d requests count against the concurrency limit, want at least 0 and at most the number in flight", len(model.inFlightIDs), model.controller.InFlight(), occupiedSlots)
	}
	if limit := model.controller.Limit(); limit < model.config.MinInFlight || limit > model.config.MaxInFlight {
		model.Fatalf("concurrency limit %v is below Config.MinInFlight or above Config.MaxInFlight", limit)
	}
}

func (model *controllerModel) checkQueue() {
	queuedCount := 0
	for id, state := range model.stateByID {
		if state != stateQueued {
			continue
		}
		queuedCount++
		if !model.requestByID[id].IsRetry && model.controller.limiter.hasCapacity(model.now) {
			model.Fatalf("request %d, a first attempt, is queued although the concurrency limit allows its admission", id)
		}
	}
	if queuedCount != model.controller.QueueLength() || queuedCount > model.config.MaxQueued {
		model.Fatalf("%d requests are queued in the model and %d in the controller, want equal numbers of at most Config.MaxQueued", queuedCount, model.controller.QueueLength())
	}
}

// TestRequestsAreNeverLost submits and completes random requests. It checks that:
//   - no request is lost or admitted twice,
//   - the concurrency limit stays within its bounds,
//   - the number of admitted retries whose tasks are not placed stays within the retry budget,
//   - no first attempt is queued while the concurrency limit allows its admission,
//   - no request is admitted after its Request.ClientDeadline,
//   - no request is still queued 100 s after the last step, when every Request.ClientDeadline has passed.
func TestRequestsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newControllerModel(t)
		for range rapid.IntRange(1, 200).Draw(t, "number of steps") {
			model.now += model.drawSeconds(0, 0.3, "elapsed seconds")
			if rapid.Bool().Draw(t, "submit a request") || len(model.inFlightIDs) == 0 {
				model.submit()
			} else {
				model.complete()
			}
			model.poll()
			model.checkInvariants()
		}
		// Every Request.ClientDeadline has passed 100 s later, so Poll must admit or shed every queued request.
		if _, shed := model.controller.Poll(model.now + 100); len(shed) != model.controller.QueueLength()+len(shed) {
			t.Fatal("some requests remain queued although every Request.ClientDeadline has passed")
		}
	})
}
