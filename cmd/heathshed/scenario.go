package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"heathshed/internal/config"
	"heathshed/internal/faultinjection"
	"heathshed/internal/scenario"
	"heathshed/internal/simulation"
)

func scenarioCommand() *cobra.Command {
	var flags commonFlags
	var script, dir string
	var seconds, drop float64
	var seed uint64
	var asJSON, simulated, printScript, hostile bool
	c := &cobra.Command{Use: "badday", Short: "Play a scripted bad day over sockets and audit the rules from what passed",
		Long: "Start schedulers, stand-in machines and an inventory as processes on loopback, bring load and trouble by a script, and check\n" +
			"the five rules from what passed over the sockets. Exit code 3 says that a rule was broken.\n\nKinds of trouble:\n" + faultKindsText(),
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			settings, err := flags.settings()
			if err != nil {
				return err
			}
			plan := scenario.Default()
			if script != "" {
				if plan, err = config.LoadScript(script); err != nil {
					return err
				}
			}
			if seconds > 0 {
				plan.Stretch(seconds)
			}
			if seed > 0 {
				plan.Seed = seed
			}
			if printScript {
				return json.NewEncoder(c.OutOrStdout()).Encode(&plan)
			}
			var result *faultinjection.Result
			if simulated {
				result, err = runSimulated(&settings, &plan)
			} else {
				result, err = runOverSockets(c, &settings, &plan, dir, drop, hostile)
			}
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(result)
			} else {
				printResult(c.OutOrStdout(), result)
			}
			if err == nil && len(result.Audit.Violations) > 0 {
				err = &exitError{3, fmt.Errorf("%d violations of the rules", len(result.Audit.Violations))}
			}
			return err
		}}
	flags.register(c)
	c.Flags().StringVarP(&script, "script", "f", "", "script of the day; the built-in one if none")
	c.Flags().StringVar(&dir, "dir", "", "folder that keeps settings, taps and logs; a temporary one that is removed if none")
	c.Flags().Float64Var(&seconds, "seconds", 0, "length of the day; the script's times are stretched to it")
	c.Flags().Float64Var(&drop, "drop-watch", 7, "seconds between deliberate breaks of the client's watches; 0 is none")
	c.Flags().BoolVar(&hostile, "hostile", false, "also have clients that send bombs, never read, or never end their requests")
	c.Flags().Uint64Var(&seed, "seed", 0, "seed in place of the script's")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	c.Flags().BoolVar(&simulated, "simulated", false, "play it in simulated time in place of sockets")
	c.Flags().BoolVar(&printScript, "print-script", false, "print the script and exit")
	return c
}

func faultKindsText() string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(scenario.FaultKinds)) {
		out += fmt.Sprintf("  %-15s %s\n", k, scenario.FaultKinds[k])
	}
	return out
}

func runSimulated(settings *config.Settings, script *scenario.Script) (*faultinjection.Result, error) {
	cfg := simulation.FromSettings(settings, script)
	cfg.KeepEvents = true
	world, err := simulation.New(cfg)
	if err != nil {
		return nil, err
	}
	world.Run(script.Plan(cfg.ScenarioNodes()), script.Seconds)
	result := &faultinjection.Result{Seconds: script.Seconds, Schedulers: script.Schedulers, Nodes: script.Nodes, Audit: world.Audit()}
	result.Figures.Tasks = result.Audit.Tasks
	for _, n := range result.Audit.Outcomes {
		result.Figures.Settled += n
	}
	slices.Sort(world.PlacementLatency)
	if n := len(world.PlacementLatency); n > 0 {
		result.Figures.P50, result.Figures.P99, result.Figures.Max = world.PlacementLatency[n/2], world.PlacementLatency[n*99/100], world.PlacementLatency[n-1]
	}
	return result, nil
}

func runOverSockets(c *cobra.Command, settings *config.Settings, script *scenario.Script, dir string, dropWatch float64, hostile bool) (*faultinjection.Result, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "heathshed-badday-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	settings.LogLevel = "warn"
	lastProgress := time.Now()
	return faultinjection.Run(ctx, faultinjection.Options{Executable: exe, Dir: dir, Script: *script, Settings: *settings, WatchDropInterval: dropWatch, Hostile: hostile, Progress: func(at float64, figures faultinjection.Figures) {
		if time.Since(lastProgress) > 10*time.Second {
			lastProgress = time.Now()
			fmt.Fprintf(c.ErrOrStderr(), "%5.0f s  jobs %d  tasks %d  settled %d  watches broken %d  schedulers killed %d  p50 %.3f s  p99 %.3f s\n",
				at, figures.Jobs, figures.Tasks, figures.Settled, figures.WatchesDropped, figures.SchedulerKills, figures.P50, figures.P99)
		}
	}})
}

func printResult(w io.Writer, result *faultinjection.Result) {
	report, figures := &result.Audit, &result.Figures
	fmt.Fprintf(w, "day of %.0f s: %d schedulers, %d machines\n", result.Seconds, result.Schedulers, result.Nodes)
	fmt.Fprintf(w, "tasks asked %d, placed %d, refused %d, failed %d, without outcome as their scheduler was killed or their owner withdrew %d\n", report.Tasks,
		report.Outcomes["Placed"], report.Outcomes["Refused"], report.Outcomes["Failed"], report.WithoutOutcome)
	fmt.Fprintf(w, "offers %d, refused %d, starts %d, machine crashes %d, schedulers killed %d\n", report.Attempts, report.Rejections, report.Starts, report.Crashes, figures.SchedulerKills)
	fmt.Fprintf(w, "client watches broken %d, lists anew %d, requests tried again %d\n", figures.WatchesDropped, figures.Relists, figures.Retries)
	fmt.Fprintf(w, "asked to settled: p50 %.4f s, p99 %.4f s, max %.4f s\n", figures.P50, figures.P99, figures.Max)
	if clients := &figures.Hostile; clients.MemoryPeak > 0 {
		fmt.Fprintf(w, "memory of the schedulers: %d MiB in the second quarter, %d MiB in the last; one had %d MiB at most\n", clients.MemoryEarly, clients.MemoryLate, clients.MemoryPeak)
		if clients.StalledConnections > 0 {
			fmt.Fprintf(w, "hostile clients: %d bombs, %d refused, %d taken; %d connections that never read or never ended a request\n", clients.ExpensiveRequests,
				clients.Rejected, clients.Accepted, clients.StalledConnections)
		}
	}
	fmt.Fprint(w, "ends:")
	for _, k := range slices.Sorted(maps.Keys(report.Ends)) {
		name := k
		if k == "" {
			name = "in order"
		}
		fmt.Fprintf(w, " %s %d,", name, report.Ends[k])
	}
	fmt.Fprintf(w, "\nrules: %d violations in %d events\n", len(report.Violations), report.Events)
	for i, v := range report.Violations {
		if i == 20 {
			fmt.Fprintf(w, "  and %d more\n", len(report.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %s\n", v)
	}
}
