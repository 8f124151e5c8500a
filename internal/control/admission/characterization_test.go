package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"heathshed/internal/control/admission"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterizeAdmission submits random requests of several tenants to controllers with different
// settings. It checks that the decisions, each ShedRequest and the state of the controller after each
// operation agree with a golden file. Floating-point values must be equal bit for bit.
//
// Regenerate the golden file with HEATHSHED_UPDATE_GOLDEN=1 only if the behaviour of package admission is meant
// to change; package goldentest describes how.
func TestCharacterizeAdmission(t *testing.T) {
	record := goldentest.NewRecorder()
	for _, run := range []struct {
		name           string // name identifies the run in the golden file; its length is part of the random seed.
		changeConfig   func(*admission.Config)
		meanInterval   float64 // meanInterval is the mean time between two operations on the controller, in seconds.
		placedFraction float64 // placedFraction is the fraction of completed requests whose tasks are placed.
	}{
		{"calm", func(*admission.Config) {}, 0.05, 0.97},
		{"overload", func(config *admission.Config) {
			config.InitialInFlight, config.MaxInFlight, config.MaxQueued = 4, 12, 60
		}, 0.01, 0.9},
		{"failing", func(config *admission.Config) { config.InitialInFlight, config.MaxInFlight = 30, 64 }, 0.02, 0.3},
		{"shed-draws", func(config *admission.Config) {
			config.InitialInFlight, config.MaxInFlight, config.ShedUsesRetryBudget, config.RetryBurst = 4, 12, true, 5
		}, 0.02, 0.8},
		{"additive", func(config *admission.Config) {
			config.InitialInFlight, config.MaxInFlight, config.AdditiveOnly, config.RetryBurst, config.RetryRate = 4, 100, true, 3, 0.5
		}, 0.01, 0.95},
		{"off", func(config *admission.Config) { config.Disabled = true }, 0.02, 0.7},
		{"one-tenant", func(config *admission.Config) { config.Shares, config.InitialInFlight, config.MaxInFlight = nil, 3, 6 }, 0.02, 0.9},
	} {
		recordAdmissions(t, record, run.name, run.changeConfig, run.meanInterval, run.placedFraction)
	}
	recordInvalidConfigs(record)
	record.Check(t, "admission")
}

func recordAdmissions(t *testing.T, record *goldentest.Recorder, name string, changeConfig func(*admission.Config), meanInterval, placedFraction float64) {
	t.Helper()
	config := admission.DefaultConfig()
	config.Shares = []float64{0.6, 0.3, 0.1, 0}
	changeConfig(&config)
	controller, err := admission.New(config)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(11, uint64(len(name))))
	now, lastID := placer.Seconds(100), uint64(0)
	var inFlightIDs []uint64
	var decisionCounts [3]int
	for step := range 2500 {
		now += placer.Seconds(rng.ExpFloat64() * meanInterval)
		switch operation := rng.IntN(20); {
		case operation < 11:
			lastID++
			request := randomRequest(rng, now, lastID, max(len(config.Shares), 1))
			decision, shedRequest := controller.Submit(now, request)
			decisionCounts[decision]++
			record.Integers(int64(decision), int64(shedRequest.ID))
			record.Floats(float64(shedRequest.RetryAfter))
			record.Texts(shedRequest.Reason)
			if decision == admission.Admit {
				inFlightIDs = append(inFlightIDs, lastID)
			}
		case operation < 19 && len(inFlightIDs) > 0:
			i := rng.IntN(len(inFlightIDs))
			controller.Complete(now, inFlightIDs[i], rng.Float64() < placedFraction)
			inFlightIDs = slices.Delete(inFlightIDs, i, i+1)
		default:
			controller.Cancel(lastID - min(lastID, uint64(rng.IntN(20))))
		}
		admitted, shed := controller.Poll(now)
		for _, id := range admitted {
			record.Integers(int64(id))
			inFlightIDs = append(inFlightIDs, id)
		}
		for _, request := range shed {
			record.Integers(int64(request.ID))
			record.Floats(float64(request.RetryAfter))
			record.Texts(request.Reason)
		}
		record.Floats(controller.Limit(), controller.RetryBudget(), float64(controller.NextDeadline()))
		record.Integers(int64(controller.InFlight()), int64(controller.QueueLength()))
		if step%250 == 249 {
			record.Checkpoint(fmt.Sprintf("%s, step %d", name, step+1))
		}
	}
	record.Line("%s: verdicts %v, counters %v", name, decisionCounts,
		[]uint64{controller.Admitted, controller.Queued, controller.Demoted, controller.ShedLate, controller.ShedFull, controller.ShedRetry})
}

func randomRequest(rng *rand.Rand, now placer.Seconds, id uint64, tenants int) admission.Request {
	request := admission.Request{
		ID:               id,
		Tenant:           rng.IntN(tenants),
		Priority:         rng.IntN(3),
		Cost:             []float64{0, 0.02, 0.1, 0.5}[rng.IntN(4)],
		Deadline:         now + 0.1 + placer.Seconds(6*rng.Float64()),
		LatencyObjective: []placer.Seconds{0.5, 1, 4}[rng.IntN(3)],
		IsRetry:          rng.IntN(4) == 0,
		ShedBefore:       rng.IntN(5) == 0,
	}
	request.ClientDeadline = request.Deadline + placer.Seconds(4*rng.Float64())
	return request
}

// recordInvalidConfigs records the error that New returns for each invalid setting. It also records that New
// accepts a negative share.
func recordInvalidConfigs(record *goldentest.Recorder) {
	for i, changeConfig := range []func(*admission.Config){
		func(config *admission.Config) { config.MinInFlight = 0 },
		func(config *admission.Config) { config.MaxInFlight = 0 },
		func(config *admission.Config) { config.InitialInFlight = 0 },
		func(config *admission.Config) { config.DecreaseFactor = 1 },
		func(config *admission.Config) { config.DecreaseInterval = -1 },
		func(config *admission.Config) { config.LateFraction = 2 },
		func(config *admission.Config) { config.MaxQueued = 0 },
		func(config *admission.Config) { config.RetryRatio = -1 },
		func(config *admission.Config) { config.RetryRate = -1 },
		func(config *admission.Config) { config.RetryBurst = -1 },
		func(config *admission.Config) { config.Shares = []float64{-1} },
	} {
		config := admission.DefaultConfig()
		changeConfig(&config)
		_, err := admission.New(config)
		record.Line("configuration %d: %v", i, err)
	}
}
