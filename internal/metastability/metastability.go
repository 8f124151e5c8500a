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
	Seed      uint64
	Trigger   scenario.Fault
	Load      float64 // as a part of what the machines can hold
	Backoff   int     // of each Job
	Admission admission.Config
	Retry     retry.Policy
}

// Verdict is what came of a trial.
type Verdict struct {
	BaselineGoodput   float64 // part of the tasks that are placed within their aim in the worst ten seconds without the trigger
	WorstGoodput      float64 // the same with the trigger
	RecoveryTime      float64 // from the end of the trigger until goodput and line were back for good; infinity if they never were
	AllowedTime       float64
	PeakOpenTasks     int // tasks without an answer at most
	FinalOpenTasks    int // and in the end
	PlacementRequests uint64
	Attempts          uint64
}

// Recovered says that the system was back in time.
func (v *Verdict) Recovered() bool { return v.RecoveryTime <= v.AllowedTime }

const (
	triggerAt         = 20.0 // seconds before the trigger
	goodputWindow     = 10.0
	recoveredFraction = 0.95 // of the goodput before
	recoveryGrace     = 30.0 // in which the system must be back, beside twice the time that an ideal one needs for the tasks that wait
	nodeCount         = 6
	meanLifetime      = 4.0
	latencyObjective  = 1.0
)

// Triggers are the kinds of trouble that are tried: a burst, a mass restart, a cut, slow machines, lost answers, refusals and a flood.
var Triggers = []string{"burst", "mass_restart", "crash", "zone_cut", "pauses", "trickle", "lose_answers", "fast_errors", "reconnect", "refuse",
	"discovery_down", "balancer_roll", "flush"}

// Draw makes a trial from a seed: any trigger over any settings that an operator might choose.
func Draw(seed uint64) Trial {
	random := rand.New(rand.NewPCG(seed, 0x7265636f76657279))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*random.Float64() }
	ratio := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, random.Float64()) }
	trial := Trial{Seed: seed, Load: between(0.3, 0.5), Backoff: int(ratio(2, 2000))}
	trial.Trigger = scenario.Fault{Kind: Triggers[random.IntN(len(Triggers))], At: triggerAt, Duration: between(3, 8), Fraction: between(0.5, 1), Scale: ratio(3, 10)}
	admissionConfig := admission.DefaultConfig()
	admissionConfig.MinInFlight, admissionConfig.InitialInFlight, admissionConfig.MaxInFlight = between(1, 16), ratio(4, 512), ratio(64, 8192)
	admissionConfig.DecreaseFactor, admissionConfig.DecreaseInterval, admissionConfig.LateFraction = between(0.5, 0.95), ratio(0.05, 2), between(0.05, 0.6)
	admissionConfig.MaxQueued = int(ratio(100, 100000))
	admissionConfig.RetryRatio, admissionConfig.RetryRate, admissionConfig.RetryBurst = between(0.05, 1), ratio(0.5, 20), ratio(5, 500)
	trial.Admission = admissionConfig
	retryPolicy := retry.DefaultPolicy()
	retryPolicy.Delay, retryPolicy.Multiplier, retryPolicy.MaxDelay, retryPolicy.ShortDelay = between(1, 4), between(1, 2), between(5, 30), between(0.1, 1)
	trial.Retry = retryPolicy
	return trial
}

// Play carries a trial out twice, with its trigger and without: what dips without it is no effect of it.
func Play(trial Trial) (Verdict, error) {
	baseline, err := runTrial(trial, false)
	if err != nil {
		return Verdict{}, err
	}
	triggered, err := runTrial(trial, true)
	if err != nil {
		return Verdict{}, err
	}
	return judge(trial, baseline, triggered), nil
}

const horizon = 150.0

// timeline is how a run went.
type timeline struct {
	goodput           []float64 // part placed in time of the tasks created in the window that ends at each second
	openTasks         []int     // tasks without an answer at each second
	placementRequests uint64
	attempts          uint64
}

// fleetCapacity is how many tasks a second the machines can hold: six of 32 and 64 cores in turn, booked twice, tasks of 1.33 cores on average.
const fleetCapacity = nodeCount * 48 * 2 / (1.33 * meanLifetime)

func runTrial(trial Trial, withTrigger bool) (timeline, error) {
	settings := config.Default()
	script := scenario.Default()
	script.Seed, script.Nodes, script.Schedulers, script.Faults = trial.Seed, nodeCount, 2, nil
	if withTrigger {
		script.Faults = []scenario.Fault{trial.Trigger}
	}
	script.Load.Classes = map[string]float64{"web": 1}
	script.Load.Cores, script.Load.Memory, script.Load.Lifetime, script.Load.BackoffLimit = 1, 1, meanLifetime, trial.Backoff
	script.Load.TasksPerSecond = trial.Load * fleetCapacity
	script.Seconds, script.Cooldown = horizon+10, 10
	cfg := simulation.FromSettings(&settings, &script)
	for i := range cfg.Schedulers {
		shares := cfg.Schedulers[i].Admission.Shares
		cfg.Schedulers[i].Admission, cfg.Schedulers[i].Retry = trial.Admission, trial.Retry
		cfg.Schedulers[i].Admission.Shares = shares
	}
	world, err := simulation.New(cfg)
	if err != nil {
		return timeline{}, fmt.Errorf("trial %d: %w", trial.Seed, err)
	}
	start := world.Now()
	world.Run(script.Plan(cfg.ScenarioNodes()), 0)
	var result timeline
	for range int(horizon) {
		world.Run(nil, 1)
		open := 0
		for i := range cfg.Schedulers {
			if e := world.Engine(i); e != nil {
				open += e.OpenTasks()
			}
		}
		result.openTasks = append(result.openTasks, open)
	}
	world.Run(nil, latencyObjective) // so that the last window is as whole as the others
	for i := range cfg.Schedulers {
		if e := world.Engine(i); e != nil {
			result.placementRequests += e.Stats.PlacementRequests
			result.attempts += e.Stats.Attempts
		}
	}
	createdPerSecond, inTimePerSecond := make([]int, int(horizon)+2), make([]int, int(horizon)+2)
	for _, at := range world.CreatedAt {
		createdPerSecond[int(at-start)]++
	}
	for i, at := range world.PlacedCreatedAt {
		if world.PlacementLatency[i] <= latencyObjective {
			inTimePerSecond[int(at-start)]++
		}
	}
	for end := 1; end <= int(horizon); end++ {
		created, inTime := 0, 0
		for i := max(0, end-int(goodputWindow)); i < end; i++ {
			created += createdPerSecond[i]
			inTime += inTimePerSecond[i]
		}
		result.goodput = append(result.goodput, 1)
		if created > 0 {
			result.goodput[end-1] = float64(inTime) / float64(created)
		}
	}
	return result, nil
}

func judge(trial Trial, baseline, triggered timeline) Verdict {
	verdict := Verdict{BaselineGoodput: 1, WorstGoodput: 1, PlacementRequests: triggered.placementRequests, Attempts: triggered.attempts, FinalOpenTasks: triggered.openTasks[len(triggered.openTasks)-1]}
	baselineOpen := 0
	for i := int(goodputWindow); i < len(baseline.goodput); i++ {
		verdict.BaselineGoodput = min(verdict.BaselineGoodput, baseline.goodput[i])
		baselineOpen = max(baselineOpen, baseline.openTasks[i])
	}
	end := trial.Trigger.At + trial.Trigger.Duration
	lastDegraded := end // the latest time at which it was not back
	for i := int(trial.Trigger.At); i < len(triggered.goodput); i++ {
		verdict.WorstGoodput, verdict.PeakOpenTasks = min(verdict.WorstGoodput, triggered.goodput[i]), max(verdict.PeakOpenTasks, triggered.openTasks[i])
		if at := float64(i + 1); triggered.goodput[i] < recoveredFraction*verdict.BaselineGoodput || at > end && float64(triggered.openTasks[i]) > 1.05*float64(baselineOpen)+20 {
			lastDegraded = max(lastDegraded, at)
		}
	}
	if verdict.RecoveryTime = lastDegraded - end; lastDegraded >= horizon-1 {
		verdict.RecoveryTime = math.Inf(1)
	}
	verdict.AllowedTime = recoveryGrace + 2*float64(verdict.PeakOpenTasks)/(fleetCapacity*(1-trial.Load))
	return verdict
}
