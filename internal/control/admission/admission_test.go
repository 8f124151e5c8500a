package admission

import (
	"math"
	"testing"

	"heathshed/internal/testsupport/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

// newController returns a controller with the default settings, to which it first applies the given changes.
func newController(t *testing.T, changes ...func(config *Config)) *Controller {
	t.Helper()
	config := DefaultConfig()
	for _, change := range changes {
		change(&config)
	}
	controller, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

// TestAdmissionFollowsShares checks that under steady overload the admissions of each tenant are in
// proportion to its share, however many requests it submits. It also checks that the unused share of a tenant
// is divided among the others.
func TestAdmissionFollowsShares(t *testing.T) {
	for _, test := range []struct {
		name string
		rate []int // rate is the number of requests that each tenant submits per round.
		want []float64
	}{
		{"all tenants exceed their shares", []int{9, 9, 9}, []float64{0.6, 0.3, 0.1}},
		{"one tenant submits a burst", []int{7, 4, 90}, []float64{0.6, 0.3, 0.1}},
		{"one tenant is idle", []int{0, 9, 9}, []float64{0, 0.75, 0.25}},
		{"one tenant uses less than its share", []int{1, 9, 9}, []float64{0.1, 0.675, 0.225}},
	} {
		t.Run(test.name, func(t *testing.T) {
			admitted := admittedByTenant(t, test.rate)
			total := 0.0
			for _, count := range admitted {
				total += count
			}
			for tenant, want := range test.want {
				if got := admitted[tenant] / total; math.Abs(got-want) > 0.02 {
					t.Errorf("tenant %d has %.3f of the admitted requests, want %.3f", tenant, got, want)
				}
			}
		})
	}
}

// admittedByTenant returns how many requests of each tenant are admitted in 1000 rounds. In each round every
// tenant submits requests at its rate, and each admitted request completes in the next round.
func admittedByTenant(t *testing.T, rate []int) []float64 {
	t.Helper()
	controller := newController(t, func(config *Config) {
		config.Shares = []float64{0.6, 0.3, 0.1}
		config.InitialInFlight = 10
		config.MinInFlight = 10
		config.MaxInFlight = 10
	})
	admitted := make([]float64, len(rate))
	tenantOf := map[uint64]int{}
	id := uint64(0)
	for turn := range 1000 {
		now := placer.Seconds(turn) * 0.01
		for completed := range controller.limiter.inFlight {
			controller.Complete(now, completed, true)
		}
		for tenant, count := range rate {
			for range count {
				id++
				tenantOf[id] = tenant
				request := Request{ID: id, Tenant: tenant, Cost: 1, Deadline: 1e9, ClientDeadline: 1e9, LatencyObjective: 1}
				if decision, _ := controller.Submit(now, request); decision == Admit {
					admitted[tenant]++
				}
			}
		}
		polled, _ := controller.Poll(now)
		for _, next := range polled {
			admitted[tenantOf[next]]++
		}
	}
	return admitted
}

// TestLimitAdapts checks that the concurrency limit falls while requests complete late and grows again when
// they complete in time.
func TestLimitAdapts(t *testing.T) {
	controller := newController(t)
	start := controller.Limit()

	completeRounds(controller, 0, 20, 2)
	low := controller.Limit()
	completeRounds(controller, 20, 20, 0.01)

	if low >= start/2 || controller.Limit() <= 2*low {
		t.Errorf("the limit was %v at first, %v after late requests and %v after fast requests", start, low, controller.Limit())
	}
}

// completeRounds repeatedly submits as many requests as the limit allows until the given duration is over.
// All requests of a round are placed after the same latency.
func completeRounds(controller *Controller, from, duration, latency placer.Seconds) {
	id := uint64(from * 1e6)
	for now := from; now < from+duration; now += latency {
		var admitted []uint64
		for range int(controller.Limit()) {
			id++
			request := Request{ID: id, Deadline: now + 10, ClientDeadline: now + 10, LatencyObjective: 1}
			if decision, _ := controller.Submit(now, request); decision == Admit {
				admitted = append(admitted, id)
			}
		}
		for _, completed := range admitted {
			controller.Complete(now+latency, completed, true)
		}
	}
}

// TestDisabledUsesNoRetryBudget checks that a disabled controller admits every request and does not change
// the retry budget.
func TestDisabledUsesNoRetryBudget(t *testing.T) {
	controller := newController(t, func(config *Config) { config.Disabled = true })
	for id := range uint64(1000) {
		request := Request{ID: id, IsRetry: true, Deadline: 2, ClientDeadline: 2, LatencyObjective: 1}
		if decision, _ := controller.Submit(1, request); decision != Admit {
			t.Fatal("a disabled controller did not admit a request")
		}
	}
	if got, want := controller.RetryBudget(), controller.cfg.RetryBurst; got != want {
		t.Errorf("retry budget is %v, want it unchanged at %v", got, want)
	}
}
