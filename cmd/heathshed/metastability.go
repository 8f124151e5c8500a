package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync"

	"github.com/spf13/cobra"

	"heathshed/internal/metastability"
)

// playedTrial is a trial with what came of it.
type playedTrial struct {
	trial   metastability.Trial
	verdict metastability.Verdict
}

func metastabilityCommand() *cobra.Command {
	var trials, workers int
	var seed uint64
	var plant, all, asJSON bool
	c := &cobra.Command{Use: "recover", Short: "Search, in simulated time, for trouble whose effects outlast it",
		Long: "Play trials of a steady load with a trigger that is taken away, over random settings of gate and owner, and say which ones were not\n" +
			"back at their earlier goodput in time. Exit code 3 says that there were some. The same seed gives the same trials.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || trials > 100000 || workers < 1 || workers > 1024 {
				return fmt.Errorf("trials %d, workers %d: want 1 to 100000 and 1 to 1024", trials, workers)
			}
			rows := make([]playedTrial, trials)
			errs := make([]error, trials)
			next := make(chan int)
			var wg sync.WaitGroup
			for range workers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range next {
						trial := metastability.Draw(seed + uint64(i))
						trial.Admission.ShedUsesRetryBudget = plant
						verdict, err := metastability.Play(trial)
						rows[i], errs[i] = playedTrial{trial, verdict}, err
					}
				}()
			}
			for i := range trials {
				next <- i
			}
			close(next)
			wg.Wait()
			failed := 0
			for i := range rows {
				if errs[i] != nil {
					return errs[i]
				}
				r := &rows[i]
				held := r.verdict.Recovered()
				if !held {
					failed++
				}
				if held && !all {
					continue
				}
				if asJSON {
					if err := json.NewEncoder(c.OutOrStdout()).Encode(newTrialRow(&r.trial, &r.verdict)); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "seed %d  held %v  %s for %.1f s  load %.2f  backoff %d  in time %.2f, at worst %.2f  back after %.0f s of %.0f  "+
					"open %d at most, %d at the end\n", r.trial.Seed, held, r.trial.Trigger.Kind, r.trial.Trigger.Duration, r.trial.Load, r.trial.Backoff,
					r.verdict.BaselineGoodput, r.verdict.WorstGoodput, r.verdict.RecoveryTime, r.verdict.AllowedTime, r.verdict.PeakOpenTasks, r.verdict.FinalOpenTasks)
			}
			fmt.Fprintf(c.ErrOrStderr(), "%d trials, %d not back in time\n", trials, failed)
			if failed > 0 {
				return &exitError{3, fmt.Errorf("%d of %d trials were not back in time", failed, trials)}
			}
			return nil
		}}
	c.Flags().IntVar(&trials, "trials", 50, "number of trials")
	c.Flags().IntVar(&workers, "workers", runtime.NumCPU(), "trials played at a time")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first trial; the others follow")
	c.Flags().BoolVar(&plant, "plant", false, "make the mistake of a gate that takes what it shed itself for asks again")
	c.Flags().BoolVar(&all, "all", false, "print every trial, not only those that failed")
	c.Flags().BoolVar(&asJSON, "json", false, "print trials as JSON lines")
	return c
}
