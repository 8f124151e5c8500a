package admission

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/testsupport/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

// drawSeconds draws a time.
func drawSeconds(t *rapid.T, least, most float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(least, most).Draw(t, label))
}

// TestRequestsAreNeverLost plays random arrivals and completions: no request is lost or admitted twice, no more are in flight than the
// limit, retries that are not placed stay within their budget, no retry holds up a first attempt, and what is queued is shed by its deadline.
func TestRequestsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Shares = []float64{0.6, 0.3, 0.1}
		config.InitialInFlight = float64(rapid.IntRange(1, 30).Draw(t, "start"))
		config.MinInFlight = 1
		config.MaxInFlight = 40
		config.MaxQueued = rapid.IntRange(1, 60).Draw(t, "waiting")
		config.RetryBurst = 5
		controller, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		now := placer.Seconds(0)
		id := uint64(0)
		placed, retries, placedRetries := 0, 0, 0
		requests := map[uint64]Request{}
		state := map[uint64]string{}
		var inFlight []uint64
		move := func(id uint64, to string) {
			if from := state[id]; from != "" && from != "wait" {
				t.Fatalf("%d goes from %s to %s", id, from, to)
			}
			state[id] = to
			if to == "pass" {
				inFlight = append(inFlight, id)
				if requests[id].IsRetry {
					retries++
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += drawSeconds(t, 0, 0.3, "dt")
			if rapid.Bool().Draw(t, "arrive") || len(inFlight) == 0 {
				id++
				request := Request{
					ID:               id,
					Tenant:           rapid.IntRange(0, 2).Draw(t, "tenant"),
					Priority:         rapid.IntRange(0, 2).Draw(t, "priority"),
					Cost:             1,
					Deadline:         now + drawSeconds(t, 0.1, 5, "deadline"),
					LatencyObjective: 0.5,
					IsRetry:          rapid.IntRange(0, 3).Draw(t, "again") == 0,
					ShedBefore:       rapid.IntRange(0, 2).Draw(t, "shed") == 0,
				}
				request.FinalDeadline = request.Deadline + drawSeconds(t, 0, 2, "until")
				requests[id] = request
				decision, _ := controller.Submit(now, request)
				move(id, [...]string{"pass", "wait", "shed"}[decision])
			} else {
				index := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				ok := rapid.Bool().Draw(t, "placed")
				controller.Complete(now, inFlight[index], ok)
				if ok {
					placed++
					if requests[inFlight[index]].IsRetry {
						placedRetries++
					}
				}
				state[inFlight[index]] = "done"
				inFlight = append(inFlight[:index], inFlight[index+1:]...)
			}
			admitted, shed := controller.Poll(now)
			for _, x := range admitted {
				if now > requests[x].FinalDeadline {
					t.Fatal("admitted after its client gave up")
				}
				move(x, "pass")
			}
			for _, x := range shed {
				move(x.ID, "shed")
			}
			granted := config.RetryBurst + config.RetryRatio*float64(placed) + config.RetryRate*float64(now)
			if float64(retries-placedRetries) > granted+1e-6 || controller.RetryBudget() < -1e-9 {
				t.Fatalf("%d retries that were not placed beside %d placed requests in %.1f s", retries-placedRetries, placed, now)
			}
			for x, s := range state {
				if s == "wait" && !requests[x].IsRetry && controller.limiter.hasCapacity(now) {
					t.Fatalf("first attempt %d is queued though there is capacity", x)
				}
			}
			counted := controller.limiter.counted
			if controller.InFlight() != len(inFlight) || counted > len(inFlight) || counted < 0 {
				t.Fatalf("%d in flight, controller says %d and counts %d", len(inFlight), controller.InFlight(), counted)
			}
			if controller.Limit() < config.MinInFlight || controller.Limit() > config.MaxInFlight {
				t.Fatalf("limit %v", controller.Limit())
			}
			queued := 0
			for _, s := range state {
				if s == "wait" {
					queued++
				}
			}
			if queued != controller.QueueLength() || queued > config.MaxQueued {
				t.Fatalf("%d queued, controller says %d", queued, controller.QueueLength())
			}
		}
		// In the end all that is queued is shed.
		if _, shed := controller.Poll(now + 100); len(shed) != controller.QueueLength()+len(shed) {
			t.Fatal("some requests stay queued for ever")
		}
	})
}

// TestShares checks that under steady overload tenants are admitted by their shares, however much they request, and that what one does not
// use is divided among the others.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name string
		rate []int // requests of each tenant per turn
		want []float64
	}{
		{"all exceed their shares", []int{9, 9, 9}, []float64{0.6, 0.3, 0.1}},
		{"one bursts", []int{7, 4, 90}, []float64{0.6, 0.3, 0.1}},
		{"one is idle", []int{0, 9, 9}, []float64{0, 0.75, 0.25}},
		{"one uses less than its share", []int{1, 9, 9}, []float64{0.1, 0.675, 0.225}},
	} {
		t.Run(c.name, func(t *testing.T) {
			admitted := admittedByTenant(t, c.rate)
			total := 0.0
			for _, n := range admitted {
				total += n
			}
			for i, want := range c.want {
				if got := admitted[i] / total; math.Abs(got-want) > 0.02 {
					t.Errorf("tenant %d has %.3f of the admitted requests, want %.3f", i, got, want)
				}
			}
		})
	}
}

// admittedByTenant submits requests at rates per turn for 1000 turns, each of which completes in the next turn, and returns how many were
// admitted of each tenant.
func admittedByTenant(t *testing.T, rate []int) []float64 {
	t.Helper()
	config := DefaultConfig()
	config.Shares = []float64{0.6, 0.3, 0.1}
	config.InitialInFlight = 10
	config.MinInFlight = 10
	config.MaxInFlight = 10
	controller, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	admitted := make([]float64, len(config.Shares))
	tenantOf := map[uint64]int{}
	id := uint64(0)
	for turn := range 1000 {
		now := placer.Seconds(turn) * 0.01
		for completed := range controller.limiter.inFlight {
			controller.Complete(now, completed, true)
		}
		for tenant, n := range rate {
			for range n {
				id++
				tenantOf[id] = tenant
				request := Request{ID: id, Tenant: tenant, Cost: 1, Deadline: 1e9, FinalDeadline: 1e9, LatencyObjective: 1}
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

// TestLimitAdapts checks that the limit falls while requests complete late and grows again when they do not.
func TestLimitAdapts(t *testing.T) {
	controller, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	now, id := placer.Seconds(0), uint64(0)
	play := func(seconds, duration placer.Seconds) {
		for end := now + seconds; now < end; now += duration {
			n := int(controller.Limit())
			ids := make([]uint64, 0, n)
			for range n {
				id++
				if decision, _ := controller.Submit(now, Request{ID: id, Deadline: now + 10, FinalDeadline: now + 10, LatencyObjective: 1}); decision == Admit {
					ids = append(ids, id)
				}
			}
			for _, x := range ids {
				controller.Complete(now+duration, x, true)
			}
		}
	}
	start := controller.Limit()
	play(20, 2)
	low := controller.Limit()
	play(20, 0.01)
	if low >= start/2 || controller.Limit() <= 2*low {
		t.Errorf("limit %v, %v after late requests, %v after prompt ones", start, low, controller.Limit())
	}
}

// play submits a backlog of retries, each of which completes after the same time and, if it was shed or not placed, comes again, until
// seconds have passed. It returns how many were placed.
func play(controller *Controller, from, seconds placer.Seconds, backlog int, placed func(now placer.Seconds) bool) (n int) {
	type end struct {
		at placer.Seconds
		id uint64
	}
	var ends []end
	id := uint64(from * 1e6)
	waiting, returning := backlog, map[int]int{} // those shed, by the tick at which they are submitted again
	for tick := range int(seconds * 100) {
		now := from + placer.Seconds(tick)*0.01
		for len(ends) > 0 && ends[0].at <= now {
			wasPlaced := placed(now)
			controller.Complete(now, ends[0].id, wasPlaced)
			if ends = ends[1:]; wasPlaced {
				n++
			} else {
				returning[tick+100]++
			}
		}
		waiting += returning[tick]
		delete(returning, tick)
		for ; waiting > 0; waiting-- {
			id++
			request := Request{ID: id, Deadline: now + 10, FinalDeadline: now + 10, LatencyObjective: 1, IsRetry: true, ShedBefore: true}
			if decision, _ := controller.Submit(now, request); decision == Admit {
				ends = append(ends, end{now + 0.02, id})
			}
		}
		admitted, shed := controller.Poll(now)
		for _, x := range admitted {
			ends = append(ends, end{now + 0.02, x})
		}
		for _, x := range shed {
			returning[tick+1+int(x.RetryAfter*100)]++
		}
	}
	return n
}

// TestRetryBudgetRecovers checks that a backlog of retries costs no more than the budget while no node accepts, and that it is worked off
// soon after nodes recover although there are no first attempts: the budget grows with what succeeds.
func TestRetryBudgetRecovers(t *testing.T) {
	controller, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	play(controller, 1, 60, 20000, func(placer.Seconds) bool { return false })
	if most := controller.cfg.RetryBurst + 60*controller.cfg.RetryRate + 1; float64(controller.Admitted) > most {
		t.Errorf("%d retries admitted in a minute without success, want at most %v", controller.Admitted, most)
	}
	controller, _ = New(DefaultConfig())
	const faultSeconds = 30.0
	n := play(controller, 1, faultSeconds+30, 20000, func(now placer.Seconds) bool { return now > 1+faultSeconds })
	if n < 19000 {
		t.Errorf("%d of 20000 placed within 30 s after a fault of half a minute", n)
	}
	if controller.RetryBudget() < controller.cfg.RetryBurst-1 {
		t.Errorf("budget %v in the end, want it full", controller.RetryBudget())
	}
}

// TestDisabledUsesNoRetryBudget checks that a disabled controller admits everything and leaves the retry budget as it is.
func TestDisabledUsesNoRetryBudget(t *testing.T) {
	c := DefaultConfig()
	c.Disabled = true
	controller, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	for id := range uint64(1000) {
		if v, _ := controller.Submit(1, Request{ID: id, IsRetry: true, Deadline: 2, FinalDeadline: 2, LatencyObjective: 1}); v != Admit {
			t.Fatal("not admitted by a disabled controller")
		}
	}
	if controller.RetryBudget() != c.RetryBurst {
		t.Errorf("budget %v, want %v", controller.RetryBudget(), c.RetryBurst)
	}
}
