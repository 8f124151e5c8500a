package metastability

import (
	"math"
	"math/rand/v2"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/internal/lab/scenario"
	"heathshed/placer"
)

// randomStream is the second word of the seed from which a trial is drawn.
const randomStream = 0x7265636f76657279

// Trial is one run of the search. Times are in seconds.
type Trial struct {
	Seed      uint64
	Trigger   scenario.Fault
	Load      float64 // as a fraction of what the nodes can run
	Backoff   int     // retries of each job
	Admission admission.Config
	Retry     retry.Policy
}

// Triggers are the kinds of faults from which Draw chooses the trigger of a trial.
var Triggers = []string{
	"burst",
	"mass_restart",
	"crash",
	"zone_cut",
	"pauses",
	"trickle",
	"lose_answers",
	"fast_errors",
	"reconnect",
	"refuse",
	"discovery_down",
	"balancer_roll",
	"flush",
}

// Draw returns the trial of a seed. The trigger and the settings of admission control and retries are drawn from what an operator might choose.
func Draw(seed uint64) Trial {
	// The trial of a seed depends on the order of the draws.
	random := rand.New(rand.NewPCG(seed, randomStream))
	uniform := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	logUniform := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }

	trial := Trial{Seed: seed, Admission: admission.DefaultConfig(), Retry: retry.DefaultPolicy()}
	trial.Load = uniform(0.3, 0.5)
	trial.Backoff = int(logUniform(2, 2000))

	trigger := &trial.Trigger
	trigger.Kind = Triggers[random.IntN(len(Triggers))]
	trigger.At = triggerAt
	trigger.Duration = uniform(3, 8)
	trigger.Fraction = uniform(0.5, 1)
	trigger.Scale = logUniform(3, 10)

	a := &trial.Admission
	a.MinInFlight = uniform(1, 16)
	a.InitialInFlight = logUniform(4, 512)
	a.MaxInFlight = logUniform(64, 8192)
	a.DecreaseFactor = uniform(0.5, 0.95)
	a.DecreaseInterval = placer.Seconds(logUniform(0.05, 2))
	a.LateFraction = uniform(0.05, 0.6)
	a.MaxQueued = int(logUniform(100, 100000))
	a.RetryRatio = uniform(0.05, 1)
	a.RetryRate = logUniform(0.5, 20)
	a.RetryBurst = logUniform(5, 500)

	r := &trial.Retry
	r.Delay = placer.Seconds(uniform(1, 4))
	r.Multiplier = uniform(1, 2)
	r.MaxDelay = placer.Seconds(uniform(5, 30))
	r.ShortDelay = placer.Seconds(uniform(0.1, 1))
	return trial
}
