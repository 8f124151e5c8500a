package nodesim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"heathshed/internal/golden"
	"heathshed/internal/nodesim"
)

// TestCharacterizeMachines pins the effects and figures of the node model under seeded offers, stops, drains and stalls. Regenerate the
// golden file with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package golden.
func TestCharacterizeMachines(t *testing.T) {
	r := golden.NewRecorder()
	for i, run := range []struct {
		change func(*nodesim.Config)
		gap    float64 // mean seconds between calls
	}{
		{func(*nodesim.Config) {}, 0.15},
		{func(c *nodesim.Config) { c.Cold, c.Cores = true, 64 }, 0.6},
		{func(c *nodesim.Config) { c.Cold = true }, 0.02},
		{func(c *nodesim.Config) { c.UseMin, c.UseMax, c.BookMemory, c.Grace = 0.7, 1.2, 2, 1.5 }, 0.1},
		{func(c *nodesim.Config) {
			c.AnswersWhenRunning, c.PushesOut, c.MaxWaiting, c.StartsAtOnce = true, false, 3, 1
		}, 0.05},
		{func(c *nodesim.Config) { c.Grace, c.KeepEnded, c.KeepPrograms, c.Cores, c.Memory = -1, 2, 1, 4, 8 }, 0.2},
	} {
		config := nodesim.DefaultConfig()
		config.Seed = uint64(i)
		run.change(&config)
		operate(r, fmt.Sprintf("machine %d", i), config, run.gap)
	}
	r.Check(t, "machines")
}

func operate(r *golden.Recorder, name string, config nodesim.Config, gap float64) {
	rng := rand.New(rand.NewPCG(31, config.Seed))
	now, next := 50.0, 0
	m := nodesim.New(config, now)
	m.Refuse = func(o *nodesim.Offer) nodesim.Reason {
		if o.Service == "service-9" {
			return nodesim.WrongNode
		}
		return nodesim.None
	}
	var kinds [5]int
	var reasons [10]int
	for step := range 1500 {
		due := now + rng.ExpFloat64()*gap
		for range 10000 {
			if now = min(m.NextWake(), due); now >= due {
				break
			}
			m.Tick(now)
			observe(r, m, &kinds, &reasons)
		}
		now = due
		act(r, m, rng, now, &next)
		observe(r, m, &kinds, &reasons)
		if step%250 == 249 {
			r.Checkpoint(fmt.Sprintf("%s, step %d", name, step+1))
		}
	}
	r.Line("%s: effects %v, reasons %v, %d starts, %d duplicates", name, kinds, reasons, m.Starts, m.Duplicates)
}

func act(r *golden.Recorder, m *nodesim.Node, rng *rand.Rand, now float64, next *int) {
	switch draw := rng.IntN(100); {
	case draw < 75:
		*next++
		m.Offer(now, nodesim.Offer{UID: fmt.Sprint(*next), Attempt: 1, Service: fmt.Sprintf("service-%d", rng.IntN(10)), Priority: rng.IntN(3),
			Cores: 0.5 + 3*rng.Float64(), Memory: 0.5 + 6*rng.Float64(), Life: float64(rng.IntN(2)) * 9 * rng.Float64()})
	case draw < 83:
		m.Offer(now, nodesim.Offer{UID: fmt.Sprint(*next - rng.IntN(9)), Attempt: rng.IntN(4), Service: "service-1", Cores: 1, Memory: 1})
	case draw < 92:
		had, ran := m.Stop(now, fmt.Sprint(*next-rng.IntN(15)), rng.IntN(3))
		r.Booleans(had, ran)
	case draw < 93:
		m.Drain(now)
	case draw < 98:
		m.Undrain(now)
	default:
		m.StallUntil(now + rng.Float64())
	}
}

func observe(r *golden.Recorder, m *nodesim.Node, kinds *[5]int, reasons *[10]int) {
	for _, x := range m.Ready() {
		kinds[x.Kind]++
		reasons[x.Reason]++
		r.Integers(int64(x.Kind), int64(x.Attempt), int64(x.Reason))
		r.Texts(x.UID)
		r.Booleans(x.Task != nil)
		if t := x.Task; t != nil {
			r.Texts(t.UID)
			r.Integers(int64(t.Attempt), int64(t.Phase), int64(t.Reason))
			r.Floats(t.UseCores, t.UseMemory, t.Life)
			r.Booleans(t.Ran())
		}
	}
	freeCores, freeMemory := m.Free()
	unusedCores, unusedMemory := m.Unused()
	r.Floats(freeCores, freeMemory, unusedCores, unusedMemory, m.Busy(), m.NextWake())
	r.Integers(int64(m.Waiting()), int64(m.Holds()), int64(m.Starts), int64(m.Duplicates))
	r.Booleans(m.Draining())
}
