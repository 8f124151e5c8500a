package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/spf13/cobra"

	"heathshed/internal/lab/metastability"
)

const (
	maxTrials  = 100000
	maxWorkers = 1024
)

// metastabilityFlags are the flags of the command metastability.
type metastabilityFlags struct {
	trials, workers    int
	seed               uint64
	plant, all, asJSON bool
}

func metastabilityCommand() *cobra.Command {
	var flags metastabilityFlags
	command := &cobra.Command{
		Use:   "metastability",
		Short: "Search, in simulated time, for faults whose effects persist",
		Long: "Run trials of a steady load with a trigger that is removed again, over random settings of admission and retries, and print which\n" +
			"ones did not recover their goodput in time. Exit status 3 means that there were some. The same seed gives the same trials.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return searchMetastability(command, &flags) },
	}
	f := command.Flags()
	f.IntVar(&flags.trials, "trials", 50, "number of trials")
	f.IntVar(&flags.workers, "workers", runtime.NumCPU(), "trials run at a time")
	f.Uint64Var(&flags.seed, "seed", 1, "seed of the first trial; the others follow")
	f.BoolVar(&flags.plant, "plant", false, "plant a mistake: an admission controller that counts requests which it shed itself as retries")
	f.BoolVar(&flags.all, "all", false, "print every trial, not only those that failed")
	f.BoolVar(&flags.asJSON, "json", false, "print trials as JSON lines")
	return command
}

// searchMetastability runs the trials and prints those that did not recover, or all of them with --all.
func searchMetastability(command *cobra.Command, flags *metastabilityFlags) error {
	if flags.trials < 1 || flags.trials > maxTrials || flags.workers < 1 || flags.workers > maxWorkers {
		return fmt.Errorf("trials %d, workers %d: want 1 to %d and 1 to %d", flags.trials, flags.workers, maxTrials, maxWorkers)
	}
	failed := 0
	for _, played := range playTrials(flags) {
		if played.err != nil {
			return played.err
		}
		recovered := played.verdict.Recovered()
		if !recovered {
			failed++
		}
		if recovered && !flags.all {
			continue
		}
		if err := printTrial(command.OutOrStdout(), &played, flags.asJSON); err != nil {
			return err
		}
	}
	printf(command.ErrOrStderr(), "%d trials, %d did not recover in time\n", flags.trials, failed)
	if failed > 0 {
		return &exitError{exitNotRecovered, fmt.Errorf("%d of %d trials did not recover in time", failed, flags.trials)}
	}
	return nil
}

// playedTrial is a trial with its verdict.
type playedTrial struct {
	trial   metastability.Trial
	verdict metastability.Verdict
	err     error
}

// playTrials runs the trials on a number of workers and returns them in the order of their seeds.
func playTrials(flags *metastabilityFlags) []playedTrial {
	played := make([]playedTrial, flags.trials)
	next := make(chan int)
	var workers sync.WaitGroup
	for range flags.workers {
		workers.Go(func() {
			for i := range next {
				trial := metastability.Draw(flags.seed + uint64(i))
				trial.Admission.ShedUsesRetryBudget = flags.plant
				verdict, err := metastability.Play(trial)
				played[i] = playedTrial{trial, verdict, err}
			}
		})
	}
	for i := range flags.trials {
		next <- i
	}
	close(next)
	workers.Wait()
	return played
}

// printTrial prints a trial and its verdict on one line.
func printTrial(w io.Writer, played *playedTrial, asJSON bool) error {
	trial, verdict := &played.trial, &played.verdict
	if asJSON {
		return json.NewEncoder(w).Encode(newTrialJSON(trial, verdict))
	}
	printf(w, "seed %d  recovered %v  %s for %.1f s  load %.2f  backoff %d  goodput %.2f, lowest %.2f  recovery after %.0f s of %.0f  "+
		"open tasks %d at most, %d at the end\n", trial.Seed, verdict.Recovered(), trial.Trigger.Kind, trial.Trigger.Duration, trial.Load, trial.Backoff,
		verdict.BaselineGoodput, verdict.WorstGoodput, verdict.RecoveryTime, verdict.AllowedTime, verdict.PeakOpenTasks, verdict.FinalOpenTasks)
	return nil
}
