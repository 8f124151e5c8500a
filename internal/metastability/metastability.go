// Package recovery searches for metastable failures: trouble that is over and whose effects are not, because what was meant to protect
// feeds on them. It plays a steady load in simulated time, applies a trigger, takes it away, and says when the goodput was back for good.
//
// It is pure: the same trial gives the same verdict. It uses model and what lies below it.
package metastability

import (
	"fmt"
	"math"
	"math/rand/v2"

	"heathshed/internal/admission"
	"heathshed/internal/config"
	"heathshed/internal/retry"
	"heathshed/internal/scenario"
	"heathshed/internal/simulation"
)

// Trial is one run. Times are in seconds.
type Trial struct {
	Seed    uint64
	Trigger scenario.Trouble
	Load    float64 // as a part of what the machines can hold
	Backoff int     // of each Job
	Gate    admission.Config
	Owner   retry.Policy
}

// Verdict is what came of a trial.
type Verdict struct {
	Before  float64 // part of the tasks that are placed within their aim in the worst ten seconds without the trigger
	Worst   float64 // the same with the trigger
	Back    float64 // from the end of the trigger until goodput and line were back for good; infinity if they never were
	Allowed float64
	Peak    int // tasks without an answer at most
	Left    int // and in the end
	Asks    uint64
	Offers  uint64
}

// Held says that the system was back in time.
func (v *Verdict) Held() bool { return v.Back <= v.Allowed }

const (
	quiet    = 20.0 // seconds before the trigger
	window   = 10.0
	back     = 0.95 // of the goodput before
	grace    = 30.0 // in which the system must be back, beside twice the time that an ideal one needs for the tasks that wait
	machines = 6
	life     = 4.0
	aim      = 1.0
)

// Triggers are the kinds of trouble that are tried: a burst, a mass restart, a cut, slow machines, lost answers, refusals and a flood.
var Triggers = []string{"burst", "mass_restart", "crash", "zone_cut", "pauses", "trickle", "lose_answers", "fast_errors", "reconnect", "refuse",
	"discovery_down", "balancer_roll", "flush"}

// Draw makes a trial from a seed: any trigger over any settings that an operator might choose.
func Draw(seed uint64) Trial {
	r := rand.New(rand.NewPCG(seed, 0x7265636f76657279))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }
	ratio := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, r.Float64()) }
	t := Trial{Seed: seed, Load: between(0.3, 0.5), Backoff: int(ratio(2, 2000))}
	t.Trigger = scenario.Trouble{Kind: Triggers[r.IntN(len(Triggers))], At: quiet, For: between(3, 8), Part: between(0.5, 1), Scale: ratio(3, 10)}
	g := admission.DefaultConfig()
	g.MinInFlight, g.Start, g.MaxInFlight = between(1, 16), ratio(4, 512), ratio(64, 8192)
	g.Decrease, g.Window, g.LateFraction = between(0.5, 0.95), ratio(0.05, 2), between(0.05, 0.6)
	g.MaxWaiting = int(ratio(100, 100000))
	g.RetryRatio, g.RetryRate, g.RetryBurst = between(0.05, 1), ratio(0.5, 20), ratio(5, 500)
	t.Gate = g
	o := retry.DefaultPolicy()
	o.Delay, o.Multiplier, o.MaxDelay, o.ShortDelay = between(1, 4), between(1, 2), between(5, 30), between(0.1, 1)
	t.Owner = o
	return t
}

// Play carries a trial out twice, with its trigger and without: what dips without it is no effect of it.
func Play(t Trial) (Verdict, error) {
	calm, err := run(t, false)
	if err != nil {
		return Verdict{}, err
	}
	r, err := run(t, true)
	if err != nil {
		return Verdict{}, err
	}
	return judge(t, calm, r), nil
}

const horizon = 150.0

// course is how a run went.
type course struct {
	goodput []float64 // part placed in time of the tasks created in the window that ends at each second
	open    []int     // tasks without an answer at each second
	asks    uint64
	offers  uint64
}

// full is how many tasks a second the machines can hold: six of 32 and 64 cores in turn, booked twice, tasks of 1.33 cores on average.
const full = machines * 48 * 2 / (1.33 * life)

func run(t Trial, trouble bool) (course, error) {
	s := config.Default()
	d := scenario.Default()
	d.Seed, d.Nodes, d.Schedulers, d.Trouble = t.Seed, machines, 2, nil
	if trouble {
		d.Trouble = []scenario.Trouble{t.Trigger}
	}
	d.Load.Classes = map[string]float64{"web": 1}
	d.Load.Cores, d.Load.Memory, d.Load.Life, d.Load.Backoff = 1, 1, life, t.Backoff
	d.Load.TasksPerSecond = t.Load * full
	d.Seconds, d.Calm = horizon+10, 10
	c := simulation.FromSettings(&s, &d)
	for i := range c.Schedulers {
		shares := c.Schedulers[i].Admission.Shares
		c.Schedulers[i].Admission, c.Schedulers[i].Retry = t.Gate, t.Owner
		c.Schedulers[i].Admission.Shares = shares
	}
	w, err := simulation.New(c)
	if err != nil {
		return course{}, fmt.Errorf("trial %d: %w", t.Seed, err)
	}
	start := w.Now()
	w.Run(d.Plan(c.NodesOf()), 0)
	var out course
	for range int(horizon) {
		w.Run(nil, 1)
		n := 0
		for i := range c.Schedulers {
			if e := w.Engine(i); e != nil {
				n += e.OpenTasks()
			}
		}
		out.open = append(out.open, n)
	}
	w.Run(nil, aim) // so that the last window is as whole as the others
	for i := range c.Schedulers {
		if e := w.Engine(i); e != nil {
			out.asks += e.Stats.PlacementRequests
			out.offers += e.Stats.Attempts
		}
	}
	all, good := make([]int, int(horizon)+2), make([]int, int(horizon)+2)
	for _, at := range w.Created {
		all[int(at-start)]++
	}
	for i, at := range w.Asked {
		if w.Latency[i] <= aim {
			good[int(at-start)]++
		}
	}
	for end := 1; end <= int(horizon); end++ {
		a, g := 0, 0
		for i := max(0, end-int(window)); i < end; i++ {
			a += all[i]
			g += good[i]
		}
		out.goodput = append(out.goodput, 1)
		if a > 0 {
			out.goodput[end-1] = float64(g) / float64(a)
		}
	}
	return out, nil
}

func judge(t Trial, calm, r course) Verdict {
	v := Verdict{Before: 1, Worst: 1, Asks: r.asks, Offers: r.offers, Left: r.open[len(r.open)-1]}
	usual := 0
	for i := int(window); i < len(calm.goodput); i++ {
		v.Before = min(v.Before, calm.goodput[i])
		usual = max(usual, calm.open[i])
	}
	end := t.Trigger.At + t.Trigger.For
	last := end // the latest time at which it was not back
	for i := int(t.Trigger.At); i < len(r.goodput); i++ {
		v.Worst, v.Peak = min(v.Worst, r.goodput[i]), max(v.Peak, r.open[i])
		if at := float64(i + 1); r.goodput[i] < back*v.Before || at > end && float64(r.open[i]) > 1.05*float64(usual)+20 {
			last = max(last, at)
		}
	}
	if v.Back = last - end; last >= horizon-1 {
		v.Back = math.Inf(1)
	}
	v.Allowed = grace + 2*float64(v.Peak)/(full*(1-t.Load))
	return v
}
