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

func baddayCommand() *cobra.Command {
	var f common
	var script, dir string
	var seconds, drop float64
	var seed uint64
	var asJSON, simulated, printScript, hostile bool
	c := &cobra.Command{Use: "badday", Short: "Play a scripted bad day over sockets and audit the rules from what passed",
		Long: "Start schedulers, stand-in machines and an inventory as processes on loopback, bring load and trouble by a script, and check\n" +
			"the five rules from what passed over the sockets. Exit code 3 says that a rule was broken.\n\nKinds of trouble:\n" + kindsText(),
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			s, err := f.settings()
			if err != nil {
				return err
			}
			d := scenario.Default()
			if script != "" {
				if d, err = config.LoadScript(script); err != nil {
					return err
				}
			}
			if seconds > 0 {
				d.Stretch(seconds)
			}
			if seed > 0 {
				d.Seed = seed
			}
			if printScript {
				return json.NewEncoder(c.OutOrStdout()).Encode(&d)
			}
			var r *faultinjection.Result
			if simulated {
				r, err = playModel(&s, &d)
			} else {
				r, err = playSockets(c, &s, &d, dir, drop, hostile)
			}
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(r)
			} else {
				printResult(c.OutOrStdout(), r)
			}
			if err == nil && len(r.Audit.Violations) > 0 {
				err = &exitError{3, fmt.Errorf("%d violations of the rules", len(r.Audit.Violations))}
			}
			return err
		}}
	f.add(c)
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

func kindsText() string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(scenario.Kinds)) {
		out += fmt.Sprintf("  %-15s %s\n", k, scenario.Kinds[k])
	}
	return out
}

func playModel(s *config.Settings, d *scenario.Script) (*faultinjection.Result, error) {
	cfg := simulation.FromSettings(s, d)
	cfg.KeepEvents = true
	w, err := simulation.New(cfg)
	if err != nil {
		return nil, err
	}
	w.Run(d.Plan(cfg.NodesOf()), d.Seconds)
	r := &faultinjection.Result{Seconds: d.Seconds, Schedulers: d.Schedulers, Nodes: d.Nodes, Audit: w.Audit()}
	r.Figures.Tasks = r.Audit.Tasks
	for _, n := range r.Audit.Outcomes {
		r.Figures.Settled += n
	}
	slices.Sort(w.Latency)
	if n := len(w.Latency); n > 0 {
		r.Figures.P50, r.Figures.P99, r.Figures.Max = w.Latency[n/2], w.Latency[n*99/100], w.Latency[n-1]
	}
	return r, nil
}

func playSockets(c *cobra.Command, s *config.Settings, d *scenario.Script, dir string, drop float64, hostile bool) (*faultinjection.Result, error) {
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
	s.LogLevel = "warn"
	last := time.Now()
	return faultinjection.Run(ctx, faultinjection.Options{Exe: exe, Dir: dir, Script: *d, Settings: *s, DropWatch: drop, Hostile: hostile, Progress: func(at float64, f faultinjection.Figures) {
		if time.Since(last) > 10*time.Second {
			last = time.Now()
			fmt.Fprintf(c.ErrOrStderr(), "%5.0f s  jobs %d  tasks %d  settled %d  watches broken %d  schedulers killed %d  p50 %.3f s  p99 %.3f s\n",
				at, f.Jobs, f.Tasks, f.Settled, f.Dropped, f.Kills, f.P50, f.P99)
		}
	}})
}

func printResult(w io.Writer, r *faultinjection.Result) {
	a, f := &r.Audit, &r.Figures
	fmt.Fprintf(w, "day of %.0f s: %d schedulers, %d machines\n", r.Seconds, r.Schedulers, r.Nodes)
	fmt.Fprintf(w, "tasks asked %d, placed %d, refused %d, failed %d, without outcome as their scheduler was killed or their owner withdrew %d\n", a.Tasks,
		a.Outcomes["Placed"], a.Outcomes["Refused"], a.Outcomes["Failed"], a.Forgotten)
	fmt.Fprintf(w, "offers %d, refused %d, starts %d, machine crashes %d, schedulers killed %d\n", a.Offers, a.Refusals, a.Starts, a.Crashes, f.Kills)
	fmt.Fprintf(w, "client watches broken %d, lists anew %d, requests tried again %d\n", f.Dropped, f.Relisted, f.Errors)
	fmt.Fprintf(w, "asked to settled: p50 %.4f s, p99 %.4f s, max %.4f s\n", f.P50, f.P99, f.Max)
	if h := &f.Hostile; h.MostHeld > 0 {
		fmt.Fprintf(w, "memory of the schedulers: %d MiB in the second quarter, %d MiB in the last; one had %d MiB at most\n", h.Early, h.Late, h.MostHeld)
		if h.Silent > 0 {
			fmt.Fprintf(w, "hostile clients: %d bombs, %d refused, %d taken; %d connections that never read or never ended a request\n", h.Bombs,
				h.Refused, h.Taken, h.Silent)
		}
	}
	fmt.Fprint(w, "ends:")
	for _, k := range slices.Sorted(maps.Keys(a.Ends)) {
		name := k
		if k == "" {
			name = "in order"
		}
		fmt.Fprintf(w, " %s %d,", name, a.Ends[k])
	}
	fmt.Fprintf(w, "\nrules: %d violations in %d events\n", len(a.Violations), a.Events)
	for i, v := range a.Violations {
		if i == 20 {
			fmt.Fprintf(w, "  and %d more\n", len(a.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %s\n", v)
	}
}
