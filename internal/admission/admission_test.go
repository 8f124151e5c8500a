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
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig()
		c.Shares = []float64{0.6, 0.3, 0.1}
		c.Start, c.MinInFlight, c.MaxInFlight = float64(rapid.IntRange(1, 30).Draw(t, "start")), 1, 40
		c.MaxWaiting, c.RetryBurst = rapid.IntRange(1, 60).Draw(t, "waiting"), 5
		g, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		now, id, placed, again, back := 0.0, uint64(0), 0, 0, 0
		items := map[uint64]Request{}
		state := map[uint64]string{}
		var flying []uint64
		move := func(id uint64, to string) {
			if was := state[id]; was != "" && was != "wait" {
				t.Fatalf("%d goes from %s to %s", id, was, to)
			}
			if state[id] = to; to == "pass" {
				flying = append(flying, id)
				if items[id].IsRetry {
					again++
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now += rapid.Float64Range(0, 0.3).Draw(t, "dt")
			if rapid.Bool().Draw(t, "arrive") || len(flying) == 0 {
				id++
				it := Request{ID: id, Tenant: rapid.IntRange(0, 2).Draw(t, "tenant"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Cost: 1,
					Deadline: now + rapid.Float64Range(0.1, 5).Draw(t, "deadline"), LatencyObjective: 0.5, IsRetry: rapid.IntRange(0, 3).Draw(t, "again") == 0,
					Shed: rapid.IntRange(0, 2).Draw(t, "shed") == 0}
				it.Until = it.Deadline + rapid.Float64Range(0, 2).Draw(t, "until")
				items[id] = it
				v, _ := g.Arrive(now, it)
				move(id, [...]string{"pass", "wait", "shed"}[v])
			} else {
				k := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
				ok := rapid.Bool().Draw(t, "placed")
				g.Done(now, flying[k], ok)
				if ok {
					placed++
					if items[flying[k]].IsRetry {
						back++
					}
				}
				state[flying[k]] = "done"
				flying = append(flying[:k], flying[k+1:]...)
			}
			pass, shed := g.Next(now)
			for _, x := range pass {
				if now > items[x].Until {
					t.Fatal("let pass after its owner gave up")
				}
				move(x, "pass")
			}
			for _, x := range shed {
				move(x.ID, "shed")
			}
			if float64(again-back) > c.RetryBurst+c.RetryRatio*float64(placed)+c.RetryRate*now+1e-6 || g.Budget() < -1e-9 {
				t.Fatalf("%d asks again that were not placed beside %d placings in %.1f s", again-back, placed, now)
			}
			for x, s := range state {
				if s == "wait" && !items[x].IsRetry && g.room(now) {
					t.Fatalf("first ask %d waits though there is room", x)
				}
			}
			if g.InFlight() != len(flying) || g.fresh > len(flying) || g.fresh < 0 || g.Limit() < c.MinInFlight || g.Limit() > c.MaxInFlight {
				t.Fatalf("%d under way, counted %d; limit %v", len(flying), g.InFlight(), g.Limit())
			}
			waits := 0
			for _, s := range state {
				if s == "wait" {
					waits++
				}
			}
			if waits != g.Waiting() || waits > c.MaxWaiting {
				t.Fatalf("%d wait, counted %d", waits, g.Waiting())
			}
		}
		// In the end all that waits is shed.
		if _, shed := g.Next(now + 100); len(shed) != g.Waiting()+len(shed) {
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
		cfg.Shares, cfg.Start, cfg.MinInFlight, cfg.MaxInFlight = []float64{0.6, 0.3, 0.1}, 10, 10, 10
		g, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		id, passed, all := uint64(0), make([]float64, 3), 0.0
		of := map[uint64]int{}
		for turn := range 1000 {
			now := float64(turn) * 0.01
			for x := range g.inFlight {
				g.Done(now, x, true)
			}
			for tenant, n := range c.ask {
				for range n {
					id++
					of[id] = tenant
					if v, _ := g.Arrive(now, Request{ID: id, Tenant: tenant, Cost: 1, Deadline: 1e9, Until: 1e9, LatencyObjective: 1}); v == Admit {
						passed[tenant]++
						all++
					}
				}
			}
			pass, _ := g.Next(now)
			for _, x := range pass {
				passed[of[x]]++
				all++
			}
		}
		for i, want := range c.want {
			if got := passed[i] / all; math.Abs(got-want) > 0.02 {
				t.Errorf("%s: tenant %d has %.3f of what passed, want %.3f", c.name, i, got, want)
			}
		}
	}
}

// The limit falls while asks come back late and grows again when they do not.
func TestLimitLearns(t *testing.T) {
	g, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	now, id := 0.0, uint64(0)
	play := func(seconds, takes float64) {
		for end := now + seconds; now < end; now += takes {
			n := int(g.Limit())
			ids := make([]uint64, 0, n)
			for range n {
				id++
				if v, _ := g.Arrive(now, Request{ID: id, Deadline: now + 10, Until: now + 10, LatencyObjective: 1}); v == Admit {
					ids = append(ids, id)
				}
			}
			for _, x := range ids {
				g.Done(now+takes, x, true)
			}
		}
	}
	start := g.Limit()
	play(20, 2)
	low := g.Limit()
	play(20, 0.01)
	if low >= start/2 || g.Limit() <= 2*low {
		t.Errorf("limit %v, %v after late answers, %v after good ones", start, low, g.Limit())
	}
}

// play has a gate meet asks again, and first asks, of which a part is placed, each after the same time, until seconds have passed.
// It returns how many were placed.
func play(g *Controller, from, seconds float64, backlog int, placed func(now float64) bool) (n int) {
	type end struct {
		at float64
		id uint64
	}
	var ends []end
	id := uint64(from * 1e6)
	waiting, back := backlog, map[int]int{} // those shed, by the hundredth of a second at which they come again
	for tick := range int(seconds * 100) {
		now := from + float64(tick)*0.01
		for len(ends) > 0 && ends[0].at <= now {
			ok := placed(now)
			g.Done(now, ends[0].id, ok)
			if ends = ends[1:]; ok {
				n++
			} else {
				back[tick+100]++
			}
		}
		waiting += back[tick]
		delete(back, tick)
		for ; waiting > 0; waiting-- {
			id++
			if v, _ := g.Arrive(now, Request{ID: id, Deadline: now + 10, Until: now + 10, LatencyObjective: 1, IsRetry: true, Shed: true}); v == Admit {
				ends = append(ends, end{now + 0.02, id})
			}
		}
		pass, sheds := g.Next(now)
		for _, x := range pass {
			ends = append(ends, end{now + 0.02, x})
		}
		for _, x := range sheds {
			back[tick+1+int(x.Delay*100)]++
		}
	}
	return n
}

// A backlog of asks again costs a bad minute no more than the budget, and is worked off at once when the machines are back, although
// nobody asks for the first time: the budget grows with what succeeds.
func TestBudgetLetsGo(t *testing.T) {
	g, err := New(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	play(g, 1, 60, 20000, func(float64) bool { return false })
	if most := g.cfg.RetryBurst + 60*g.cfg.RetryRate + 1; float64(g.Admitted) > most {
		t.Errorf("%d asks again in a bad minute, want at most %v", g.Admitted, most)
	}
	g, _ = New(DefaultConfig())
	const bad = 30.0
	n := play(g, 1, bad+30, 20000, func(now float64) bool { return now > 1+bad })
	if n < 19000 {
		t.Errorf("%d of 20000 placed within 30 s of the end of a bad half minute", n)
	}
	if g.Budget() < g.cfg.RetryBurst-1 {
		t.Errorf("budget %v in the end, want it full", g.Budget())
	}
}

// A gate that is off lets everything pass, and its budget stays as it was.
func TestOffDrawsNothing(t *testing.T) {
	c := DefaultConfig()
	c.Disabled = true
	g, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	for id := range uint64(1000) {
		if v, _ := g.Arrive(1, Request{ID: id, IsRetry: true, Deadline: 2, Until: 2, LatencyObjective: 1}); v != Admit {
			t.Fatal("held up by a gate that is off")
		}
	}
	if g.Budget() != c.RetryBurst {
		t.Errorf("budget %v, want %v", g.Budget(), c.RetryBurst)
	}
}
