package admission

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

// Random arrivals and ends: nothing is lost, nothing passes twice, no more are under way than the limit, asks again that are not placed
// stay within their budget, none of them holds up a first ask, and what waits is shed by its deadline.
func TestRequestsAreNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Shares = []float64{0.6, 0.3, 0.1}
		config.InitialInFlight, config.MinInFlight, config.MaxInFlight = float64(rapid.IntRange(1, 30).Draw(t, "start")), 1, 40
		config.MaxQueued, config.RetryBurst = rapid.IntRange(1, 60).Draw(t, "waiting"), 5
		controller, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		now, id, placed, retries, placedRetries := 0.0, uint64(0), 0, 0, 0
		requests := map[uint64]Request{}
		state := map[uint64]string{}
		var inFlight []uint64
		move := func(id uint64, to string) {
			if from := state[id]; from != "" && from != "wait" {
				t.Fatalf("%d goes from %s to %s", id, from, to)
			}
			if state[id] = to; to == "pass" {
				inFlight = append(inFlight, id)
				if requests[id].IsRetry {
					retries++
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.Float64Range(0, 0.3).Draw(t, "dt")
			if rapid.Bool().Draw(t, "arrive") || len(inFlight) == 0 {
				id++
				request := Request{ID: id, Tenant: rapid.IntRange(0, 2).Draw(t, "tenant"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Cost: 1,
					Deadline: now + rapid.Float64Range(0.1, 5).Draw(t, "deadline"), LatencyObjective: 0.5, IsRetry: rapid.IntRange(0, 3).Draw(t, "again") == 0,
					ShedBefore: rapid.IntRange(0, 2).Draw(t, "shed") == 0}
				request.FinalDeadline = request.Deadline + rapid.Float64Range(0, 2).Draw(t, "until")
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
					t.Fatal("let pass after its owner gave up")
				}
				move(x, "pass")
			}
			for _, x := range shed {
				move(x.ID, "shed")
			}
			if float64(retries-placedRetries) > config.RetryBurst+config.RetryRatio*float64(placed)+config.RetryRate*now+1e-6 || controller.RetryBudget() < -1e-9 {
				t.Fatalf("%d asks again that were not placed beside %d placings in %.1f s", retries-placedRetries, placed, now)
			}
			for x, s := range state {
				if s == "wait" && !requests[x].IsRetry && controller.hasCapacity(now) {
					t.Fatalf("first ask %d waits though there is room", x)
				}
			}
			if controller.InFlight() != len(inFlight) || controller.counted > len(inFlight) || controller.counted < 0 || controller.Limit() < config.MinInFlight || controller.Limit() > config.MaxInFlight {
				t.Fatalf("%d under way, counted %d; limit %v", len(inFlight), controller.InFlight(), controller.Limit())
			}
			queued := 0
			for _, s := range state {
				if s == "wait" {
					queued++
				}
			}
			if queued != controller.QueueLength() || queued > config.MaxQueued {
				t.Fatalf("%d wait, counted %d", queued, controller.QueueLength())
			}
		}
		// In the end all that waits is shed.
		if _, shed := controller.Poll(now + 100); len(shed) != controller.QueueLength()+len(shed) {
			t.Fatal("some wait for ever")
		}
	})
}

// Under steady overload tenants pass by their shares, whatever they ask; what one leaves the others have.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name string
		ask  []int // items each per turn
		want []float64
	}{
		{"all ask too much", []int{9, 9, 9}, []float64{0.6, 0.3, 0.1}},
		{"one bursts", []int{7, 4, 90}, []float64{0.6, 0.3, 0.1}},
		{"one is silent", []int{0, 9, 9}, []float64{0, 0.75, 0.25}},
		{"one asks little", []int{1, 9, 9}, []float64{0.1, 0.675, 0.225}},
	} {
		cfg := DefaultConfig()
		cfg.Shares, cfg.InitialInFlight, cfg.MinInFlight, cfg.MaxInFlight = []float64{0.6, 0.3, 0.1}, 10, 10, 10
		controller, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		id, admitted, total := uint64(0), make([]float64, 3), 0.0
		tenantOf := map[uint64]int{}
		for turn := range 1000 {
			now := float64(turn) * 0.01
			for x := range controller.inFlight {
				controller.Complete(now, x, true)
			}
			for tenant, n := range c.ask {
				for range n {
					id++
					tenantOf[id] = tenant
					if decision, _ := controller.Submit(now, Request{ID: id, Tenant: tenant, Cost: 1, Deadline: 1e9, FinalDeadline: 1e9, LatencyObjective: 1}); decision == Admit {
						admitted[tenant]++
						total++
					}
				}
			}
			polled, _ := controller.Poll(now)
			for _, x := range polled {
				admitted[tenantOf[x]]++
				total++
			}
		}
		for i, want := range c.want {
			if got := admitted[i] / total; math.Abs(got-want) > 0.02 {
				t.Errorf("%s: tenant %d has %.3f of what passed, want %.3f", c.name, i, got, want)
			}
		}
	}
}

// The limit falls while asks come back late and grows again when they do not.
func TestLimitAdapts(t *testing.T) {
	controller, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	now, id := 0.0, uint64(0)
	play := func(seconds, duration float64) {
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
		t.Errorf("limit %v, %v after late answers, %v after good ones", start, low, controller.Limit())
	}
}

// play has a gate meet asks again, and first asks, of which a part is placed, each after the same time, until seconds have passed.
// It returns how many were placed.
func play(controller *Controller, from, seconds float64, backlog int, placed func(now float64) bool) (n int) {
	type end struct {
		at float64
		id uint64
	}
	var ends []end
	id := uint64(from * 1e6)
	waiting, returning := backlog, map[int]int{} // those shed, by the hundredth of a second at which they come again
	for tick := range int(seconds * 100) {
		now := from + float64(tick)*0.01
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
			if decision, _ := controller.Submit(now, Request{ID: id, Deadline: now + 10, FinalDeadline: now + 10, LatencyObjective: 1, IsRetry: true, ShedBefore: true}); decision == Admit {
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

// A backlog of asks again costs a bad minute no more than the budget, and is worked off at once when the machines are back, although
// nobody asks for the first time: the budget grows with what succeeds.
func TestRetryBudgetRecovers(t *testing.T) {
	controller, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	play(controller, 1, 60, 20000, func(float64) bool { return false })
	if most := controller.cfg.RetryBurst + 60*controller.cfg.RetryRate + 1; float64(controller.Admitted) > most {
		t.Errorf("%d asks again in a bad minute, want at most %v", controller.Admitted, most)
	}
	controller, _ = New(DefaultConfig())
	const faultSeconds = 30.0
	n := play(controller, 1, faultSeconds+30, 20000, func(now float64) bool { return now > 1+faultSeconds })
	if n < 19000 {
		t.Errorf("%d of 20000 placed within 30 s of the end of a bad half minute", n)
	}
	if controller.RetryBudget() < controller.cfg.RetryBurst-1 {
		t.Errorf("budget %v in the end, want it full", controller.RetryBudget())
	}
}

// A gate that is off lets everything pass, and its budget stays as it was.
func TestDisabledUsesNoRetryBudget(t *testing.T) {
	c := DefaultConfig()
	c.Disabled = true
	controller, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	for id := range uint64(1000) {
		if v, _ := controller.Submit(1, Request{ID: id, IsRetry: true, Deadline: 2, FinalDeadline: 2, LatencyObjective: 1}); v != Admit {
			t.Fatal("held up by a gate that is off")
		}
	}
	if controller.RetryBudget() != c.RetryBurst {
		t.Errorf("budget %v, want %v", controller.RetryBudget(), c.RetryBurst)
	}
}
