package metastability

import (
	"math"

	"heathshed/placer"
)

// When a run counts as recovered.
const (
	recoveredFraction = 0.95 // of the baseline's goodput
	openTasksFactor   = 1.05 // on the open tasks of the baseline
	openTasksMargin   = 20   // open tasks beyond that
	// The system must recover within recoveryGrace and drainFactor times what an ideal one needs for the open tasks.
	drainFactor = 2

	recoveryGrace placer.Seconds = 30
)

// Verdict is the result of a trial.
type Verdict struct {
	BaselineGoodput   float64        // least fraction of tasks placed in time in a window without the trigger
	WorstGoodput      float64        // the same with the trigger
	RecoveryTime      placer.Seconds // from the end of the trigger until goodput and open tasks were normal for good; infinity if they never were
	AllowedTime       placer.Seconds // for the recovery
	PeakOpenTasks     int            // most tasks without an outcome
	FinalOpenTasks    int            // tasks without an outcome in the end
	PlacementRequests uint64
	Attempts          uint64
}

// Recovered reports whether the system recovered in time.
func (v *Verdict) Recovered() bool { return v.RecoveryTime <= v.AllowedTime }

// judge compares the run of a trial with its baseline, which is the same trial without the trigger.
func judge(trial Trial, baseline, triggered timeline) Verdict {
	verdict := Verdict{
		BaselineGoodput:   1,
		WorstGoodput:      1,
		PlacementRequests: triggered.placementRequests,
		Attempts:          triggered.attempts,
		FinalOpenTasks:    triggered.openTasks[len(triggered.openTasks)-1],
	}
	baselineOpen := 0
	for i := goodputWindow; i < len(baseline.goodput); i++ {
		verdict.BaselineGoodput = min(verdict.BaselineGoodput, baseline.goodput[i])
		baselineOpen = max(baselineOpen, baseline.openTasks[i])
	}
	normalOpen := openTasksFactor*float64(baselineOpen) + openTasksMargin
	triggerEnd := placer.Seconds(trial.Trigger.At + trial.Trigger.Duration)
	lastDegraded := triggerEnd
	for i := int(trial.Trigger.At); i < len(triggered.goodput); i++ {
		verdict.WorstGoodput = min(verdict.WorstGoodput, triggered.goodput[i])
		verdict.PeakOpenTasks = max(verdict.PeakOpenTasks, triggered.openTasks[i])
		at := placer.Seconds(i + 1)
		goodputLow := triggered.goodput[i] < recoveredFraction*verdict.BaselineGoodput
		backlogged := at > triggerEnd && float64(triggered.openTasks[i]) > normalOpen
		if goodputLow || backlogged {
			lastDegraded = max(lastDegraded, at)
		}
	}
	verdict.RecoveryTime = lastDegraded - triggerEnd
	if lastDegraded >= horizon-1 {
		verdict.RecoveryTime = placer.Seconds(math.Inf(1))
	}
	verdict.AllowedTime = recoveryGrace + placer.Seconds(drainFactor*float64(verdict.PeakOpenTasks)/(fleetCapacity*(1-trial.Load)))
	return verdict
}
