package admission

import (
	"math"
	"testing"

	"heathshed/internal/testsupport/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

// newController returns a controller whose settings are the defaults with the given changes.
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

// TestAdmissionFollowsShares checks that a controller under steady overload divides admissions among tenants in
// proportion to their shares, even if one tenant submits far more requests than the others. It also checks that
// the unused share of a tenant is divided among the other tenants.
func TestAdmissionFollowsShares(t *testing.T) {
	for _, test := range []struct {
		name             string
		requestsPerRound []int // requestsPerRound contains the number of requests that each tenant submits in each round.
		want             []float64
	}{
		{"every tenant submits more requests than its share", []int{9, 9, 9}, []float64{0.6, 0.3, 0.1}},
		{"tenant with the smallest share submits most of the requests", []int{7, 4, 90}, []float64{0.6, 0.3, 0.1}},
		{"tenant with the largest share submits no requests", []int{0, 9, 9}, []float64{0, 0.75, 0.25}},
		{"tenant with the largest share submits fewer requests than its share", []int{1, 9, 9}, []float64{0.1, 0.675, 0.225}},
	} {
		t.Run(test.name, func(t *testing.T) {
			admittedCounts := admittedByTenant(t, test.requestsPerRound)
			total := 0.0
			for _, count := range admittedCounts {
				total += count
			}
			for tenant, want := range test.want {
				if got := admittedCounts[tenant] / total; math.Abs(got-want) > 0.02 {
					t.Errorf("fraction of admitted requests that are from tenant %d is %.3f, want %.3f", tenant, got, want)
				}
			}
		})
	}
}

// admittedByTenant simulates 1000 rounds and returns how many requests of each tenant are admitted. In each
// round, the requests that were admitted in the previous round complete, and each tenant submits as many new
// requests as requestsPerRound states.
func admittedByTenant(t *testing.T, requestsPerRound []int) []float64 {
	t.Helper()
	controller := newController(t, func(config *Config) {
		config.Shares = []float64{0.6, 0.3, 0.1}
		config.InitialInFlight = 10
		config.MinInFlight = 10
		config.MaxInFlight = 10
	})
	admittedCounts := make([]float64, len(requestsPerRound))
	tenantByID := map[uint64]int{}
	id := uint64(0)
	for round := range 1000 {
		now := placer.Seconds(round) * 0.01
		for completedID := range controller.limiter.inFlight {
			controller.Complete(now, completedID, true)
		}
		for tenant, count := range requestsPerRound {
			for range count {
				id++
				tenantByID[id] = tenant
				request := Request{ID: id, Tenant: tenant, Cost: 1, Deadline: 1e9, ClientDeadline: 1e9, LatencyObjective: 1}
				if decision, _ := controller.Submit(now, request); decision == Admit {
					admittedCounts[tenant]++
				}
			}
		}
		admittedIDs, _ := controller.Poll(now)
		for _, admittedID := range admittedIDs {
			admittedCounts[tenantByID[admittedID]]++
		}
	}
	return admittedCounts
}

// TestLimitAdapts checks that the concurrency limit falls while requests complete late, and grows again when
// requests complete in time.
func TestLimitAdapts(t *testing.T) {
	controller := newController(t)
	initialLimit := controller.Limit()

	completeRounds(controller, 0, 20, 2)
	loweredLimit := controller.Limit()
	completeRounds(controller, 20, 20, 0.01)

	if loweredLimit >= initialLimit/2 || controller.Limit() <= 2*loweredLimit {
		t.Errorf("concurrency limit is %v initially, %v after late requests and %v after fast requests; want the second value below half of the first, and the third above twice the second", initialLimit, loweredLimit, controller.Limit())
	}
}

// completeRounds simulates rounds from the given start until the given duration is over. In each round, it
// submits as many requests as the concurrency limit allows. At the end of the round, which lasts as long as the
// given latency, the tasks of all admitted requests are placed.
func completeRounds(controller *Controller, start, duration, latency placer.Seconds) {
	id := uint64(start * 1e6)
	for now := start; now < start+duration; now += latency {
		var admittedIDs []uint64
		for range int(controller.Limit()) {
			id++
			request := Request{ID: id, Deadline: now + 10, ClientDeadline: now + 10, LatencyObjective: 1}
			if decision, _ := controller.Submit(now, request); decision == Admit {
				admittedIDs = append(admittedIDs, id)
			}
		}
		for _, completedID := range admittedIDs {
			controller.Complete(now+latency, completedID, true)
		}
	}
}

// TestDisabledUsesNoRetryBudget checks that a controller with Config.Disabled admits every request, including
// retries, and does not change the retry budget.
func TestDisabledUsesNoRetryBudget(t *testing.T) {
	controller := newController(t, func(config *Config) { config.Disabled = true })
	for id := range uint64(1000) {
		request := Request{ID: id, IsRetry: true, Deadline: 2, ClientDeadline: 2, LatencyObjective: 1}
		if decision, _ := controller.Submit(1, request); decision != Admit {
			t.Fatal("a controller with Config.Disabled did not admit a retry")
		}
	}
	if got, want := controller.RetryBudget(), controller.cfg.RetryBurst; got != want {
		t.Errorf("retry budget of a controller with Config.Disabled holds %v tokens after 1000 retries, want %v tokens as before the retries", got, want)
	}
}
