// Package metastability searches for metastable failures: the effects of a fault persist after the fault is over, because retries or overload
// protection sustain them. It runs a steady load in simulated time, applies a trigger, removes it, and determines when the goodput recovered
// for good.
//
// The command metastability draws trials (Draw, in trial.go) and plays each one. Begin reading at Play: it runs a trial with and without its
// trigger and compares the two runs (judge, in verdict.go).
//
// The package is pure: the same trial gives the same verdict.
package metastability

import (
	"fmt"

	"heathshed/internal/config"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
	"heathshed/placer"
)

// The load of all trials. Times are in seconds.
const (
	triggerAt        = 20.0 // when the trigger begins
	horizon          = 150  // length of a run
	goodputWindow    = 10   // over which goodput is measured
	nodeCount        = 6
	schedulerCount   = 2
	meanLifetime     = 4.0
	latencyObjective = 1.0
	loadClass        = "web"
)

// fleetCapacity is the number of tasks per second that the nodes can run: the mean of 32 and 64 cores each, overcommitted twice, for tasks of
// 1.33 cores on average.
const fleetCapacity = nodeCount * 48 * 2 / (1.33 * meanLifetime)

// timeline is what was measured in a run, with one element of each slice for each second.
type timeline struct {
	goodput           []float64 // fraction placed in time of the tasks created in the window that ends then
	openTasks         []int     // tasks without an outcome
	placementRequests uint64
	attempts          uint64
}

// Play runs a trial twice, with its trigger and without: a loss of goodput that also happens without the trigger is no effect of it.
func Play(trial Trial) (Verdict, error) {
	baseline, err := run(trial, false)
	if err != nil {
		return Verdict{}, err
	}
	triggered, err := run(trial, true)
	if err != nil {
		return Verdict{}, err
	}
	return judge(trial, baseline, triggered), nil
}

// run runs a trial, with its trigger or without, and measures it.
func run(trial Trial, withTrigger bool) (timeline, error) {
	script := newScript(trial, withTrigger)
	settings := config.Default()
	cfg := simulation.FromSettings(&settings, &script)
	for i := range cfg.Schedulers {
		scheduler := &cfg.Schedulers[i]
		shares := scheduler.Admission.Shares
		scheduler.Admission = trial.Admission
		scheduler.Admission.Shares = shares
		scheduler.Retry = trial.Retry
	}
	world, err := simulation.New(cfg)
	if err != nil {
		return timeline{}, fmt.Errorf("trial %d: %w", trial.Seed, err)
	}
	start := world.Now()
	world.Run(script.Plan(cfg.ScenarioNodes()), 0)
	var result timeline
	for range horizon {
		world.Run(nil, 1)
		result.openTasks = append(result.openTasks, openTasks(world))
	}
	world.Run(nil, latencyObjective) // gives tasks of the last window as much time as the others
	for i := range schedulerCount {
		if engine := world.Engine(i); engine != nil {
			result.placementRequests += engine.Stats.PlacementRequests
			result.attempts += engine.Stats.Attempts
		}
	}
	result.goodput = goodput(world, start)
	return result, nil
}

// newScript returns the script of a trial: a steady load, and the trigger as its only fault.
func newScript(trial Trial, withTrigger bool) scenario.Script {
	script := scenario.Default()
	script.Seed = trial.Seed
	script.Nodes = nodeCount
	script.Schedulers = schedulerCount
	script.Faults = nil
	if withTrigger {
		script.Faults = []scenario.Fault{trial.Trigger}
	}
	script.Seconds = horizon + 10
	script.Cooldown = 10
	script.Load.Classes = map[string]float64{loadClass: 1}
	script.Load.Cores = 1
	script.Load.Memory = 1
	script.Load.Lifetime = meanLifetime
	script.Load.BackoffLimit = trial.Backoff
	script.Load.TasksPerSecond = trial.Load * fleetCapacity
	return script
}

// openTasks returns the number of tasks without an outcome at all running schedulers.
func openTasks(world *simulation.World) int {
	open := 0
	for i := range schedulerCount {
		if engine := world.Engine(i); engine != nil {
			open += engine.OpenTasks()
		}
	}
	return open
}

// goodput returns, for each second, the fraction placed in time of the tasks created in the window that ends then; 1 if there were none.
func goodput(world *simulation.World, start placer.Seconds) []float64 {
	created := make([]int, horizon+2)
	for _, at := range world.CreatedAt {
		created[int(at-start)]++
	}
	inTime := make([]int, horizon+2)
	for _, placement := range world.Placements {
		if placement.Latency <= latencyObjective {
			inTime[int(placement.CreatedAt-start)]++
		}
	}
	var fractions []float64
	for end := 1; end <= horizon; end++ {
		begin := max(0, end-goodputWindow)
		windowCreated, windowInTime := sum(created[begin:end]), sum(inTime[begin:end])
		fraction := 1.0
		if windowCreated > 0 {
			fraction = float64(windowInTime) / float64(windowCreated)
		}
		fractions = append(fractions, fraction)
	}
	return fractions
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
