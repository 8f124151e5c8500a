package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"heathshed/internal/admission"
	"heathshed/internal/golden"
)

// TestCharacterizeAdmission pins the verdicts of the gate, their delays by bits, and its figures after each call, under seeded load with
// several tenants. Regenerate the golden file with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package golden.
func TestCharacterizeAdmission(t *testing.T) {
	record := golden.NewRecorder()
	for _, run := range []struct {
		name   string
		change func(*admission.Config)
		gap    float64 // mean seconds between calls
		placed float64 // part of the asks that are placed
	}{
		{"calm", func(*admission.Config) {}, 0.05, 0.97},
		{"overload", func(c *admission.Config) { c.Start, c.MaxInFlight, c.MaxWaiting = 4, 12, 60 }, 0.01, 0.9},
		{"failing", func(c *admission.Config) { c.Start, c.MaxInFlight = 30, 64 }, 0.02, 0.3},
		{"shed-draws", func(c *admission.Config) { c.Start, c.MaxInFlight, c.ShedDraws, c.RetryBurst = 4, 12, true, 5 }, 0.02, 0.8},
		{"additive", func(c *admission.Config) {
			c.Start, c.MaxInFlight, c.Additive, c.RetryBurst, c.RetryRate = 4, 100, true, 3, 0.5
		}, 0.01, 0.95},
		{"off", func(c *admission.Config) { c.Disabled = true }, 0.02, 0.7},
		{"one-tenant", func(c *admission.Config) { c.Shares, c.Start, c.MaxInFlight = nil, 3, 6 }, 0.02, 0.9},
	} {
		recordAdmissions(t, record, run.name, run.change, run.gap, run.placed)
	}
	invalidConfigurations(t, record)
	record.Check(t, "admission")
}

func recordAdmissions(t *testing.T, record *golden.Recorder, name string, change func(*admission.Config), gap, placed float64) {
	config := admission.DefaultConfig()
	config.Shares = []float64{0.6, 0.3, 0.1, 0}
	change(&config)
	g, err := admission.New(config)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(11, uint64(len(name))))
	now, next := 100.0, uint64(0)
	var flying []uint64
	var verdicts [3]int
	for step := range 2500 {
		now += rng.ExpFloat64() * gap
		switch draw := rng.IntN(20); {
		case draw < 11:
			next++
			item := arriving(rng, now, next, max(len(config.Shares), 1))
			verdict, shedding := g.Arrive(now, item)
			verdicts[verdict]++
			record.Integers(int64(verdict), int64(shedding.ID))
			record.Floats(shedding.Delay)
			record.Texts(shedding.Why)
			if verdict == admission.Admit {
				flying = append(flying, next)
			}
		case draw < 19 && len(flying) > 0:
			i := rng.IntN(len(flying))
			g.Done(now, flying[i], rng.Float64() < placed)
			flying = slices.Delete(flying, i, i+1)
		default:
			g.Drop(next - min(next, uint64(rng.IntN(20))))
		}
		passed, shed := g.Next(now)
		for _, id := range passed {
			record.Integers(int64(id))
			flying = append(flying, id)
		}
		for _, s := range shed {
			record.Integers(int64(s.ID))
			record.Floats(s.Delay)
			record.Texts(s.Why)
		}
		record.Floats(g.Limit(), g.Budget(), g.NextDeadline())
		record.Integers(int64(g.InFlight()), int64(g.Waiting()))
		if step%250 == 249 {
			record.Checkpoint(fmt.Sprintf("%s, step %d", name, step+1))
		}
	}
	record.Line("%s: verdicts %v, counters %v", name, verdicts,
		[]uint64{g.Admitted, g.Queued, g.Overdue, g.ShedLate, g.ShedFull, g.ShedRetry})
}

func arriving(rng *rand.Rand, now float64, id uint64, tenants int) admission.Request {
	item := admission.Request{ID: id, Tenant: rng.IntN(tenants), Priority: rng.IntN(3), Cost: []float64{0, 0.02, 0.1, 0.5}[rng.IntN(4)],
		Deadline: now + 0.1 + 6*rng.Float64(), LatencyObjective: []float64{0.5, 1, 4}[rng.IntN(3)], IsRetry: rng.IntN(4) == 0, Shed: rng.IntN(5) == 0}
	item.Until = item.Deadline + 4*rng.Float64()
	return item
}

// invalidConfigurations pins the texts of refused configurations.
func invalidConfigurations(t *testing.T, record *golden.Recorder) {
	for i, change := range []func(*admission.Config){
		func(c *admission.Config) { c.MinInFlight = 0 }, func(c *admission.Config) { c.MaxInFlight = 0 }, func(c *admission.Config) { c.Start = 0 },
		func(c *admission.Config) { c.Decrease = 1 }, func(c *admission.Config) { c.Window = -1 }, func(c *admission.Config) { c.LateFraction = 2 },
		func(c *admission.Config) { c.MaxWaiting = 0 }, func(c *admission.Config) { c.RetryRatio = -1 },
		func(c *admission.Config) { c.RetryRate = -1 }, func(c *admission.Config) { c.RetryBurst = -1 },
		func(c *admission.Config) { c.Shares = []float64{-1} },
	} {
		config := admission.DefaultConfig()
		change(&config)
		_, err := admission.New(config)
		record.Line("configuration %d: %v", i, err)
	}
}
