package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync"

	"github.com/spf13/cobra"

	"heathshed/internal/metastability"
)

// trialRow is what one trial of the search printed as JSON.
type trialRow struct {
	Trial   metastability.Trial   `json:"trial"`
	Verdict metastability.Verdict `json:"verdict"`
	Held    bool                  `json:"held"`
}

func recoverCommand() *cobra.Command {
	var trials, workers int
	var seed uint64
	var plant, every, asJSON bool
	c := &cobra.Command{Use: "recover", Short: "Search, in simulated time, for trouble whose effects outlast it",
		Long: "Play trials of a steady load with a trigger that is taken away, over random settings of gate and owner, and say which ones were not\n" +
			"back at their earlier goodput in time. Exit code 3 says that there were some. The same seed gives the same trials.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || trials > 100000 || workers < 1 || workers > 1024 {
				return fmt.Errorf("trials %d, workers %d: want 1 to 100000 and 1 to 1024", trials, workers)
			}
			rows := make([]trialRow, trials)
			errs := make([]error, trials)
			next := make(chan int)
			var wg sync.WaitGroup
			for range workers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range next {
						t := metastability.Draw(seed + uint64(i))
						t.Gate.ShedDraws = plant
						v, err := metastability.Play(t)
						rows[i], errs[i] = trialRow{t, v, v.Held()}, err
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
				if !r.Held {
					failed++
				}
				if r.Held && !every {
					continue
				}
				if asJSON {
					if r.Verdict.Back > 1e9 {
						r.Verdict.Back = -1 // JSON knows no infinity
					}
					if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "seed %d  held %v  %s for %.1f s  load %.2f  backoff %d  in time %.2f, at worst %.2f  back after %.0f s of %.0f  "+
					"open %d at most, %d at the end\n", r.Trial.Seed, r.Held, r.Trial.Trigger.Kind, r.Trial.Trigger.For, r.Trial.Load, r.Trial.Backoff,
					r.Verdict.Before, r.Verdict.Worst, r.Verdict.Back, r.Verdict.Allowed, r.Verdict.Peak, r.Verdict.Left)
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
	c.Flags().BoolVar(&every, "all", false, "print every trial, not only those that failed")
	c.Flags().BoolVar(&asJSON, "json", false, "print trials as JSON lines")
	return c
}
