package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"heathshed/internal/config"
	"heathshed/internal/lab/faultinjection"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
	"heathshed/placer"
)

const (
	// progressInterval is the least time between two lines of progress.
	progressInterval = 10 * time.Second
	// defaultDropWatch is the default of the flag --drop-watch.
	defaultDropWatch = 7 * time.Second
)

// scenarioFlags are the flags of the command scenario.
type scenarioFlags struct {
	common      commonFlags
	script      string
	dir         string
	duration    time.Duration // 0 keeps the script's
	dropWatch   time.Duration // between deliberate breaks of a watch
	seed        uint64
	asJSON      bool
	simulated   bool
	printScript bool
	hostile     bool
}

func scenarioCommand() *cobra.Command {
	var flags scenarioFlags
	command := &cobra.Command{
		Use:   "scenario",
		Short: "Run a fault scenario over sockets and check the placement rules from the audit events",
		Long: "Start schedulers, emulated nodes and an inventory as processes on loopback, generate load and inject faults by a script, and\n" +
			"check the five placement rules from what passed over the sockets. Exit status 3 means that a rule was violated.\n\nKinds of faults:\n" +
			faultKindsText(),
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runScenario(command, &flags) },
	}
	flags.register(command)
	return command
}

func (f *scenarioFlags) register(command *cobra.Command) {
	f.common.register(command)
	flags := command.Flags()
	flags.StringVarP(&f.script, "script", "f", "", "script of the scenario; the built-in one if none")
	flags.StringVar(&f.dir, "dir", "", "directory that keeps settings, audit events and logs; a temporary one that is removed if none")
	flags.Var(newSecondsValue(&f.duration, 0), "seconds", "length of the scenario; the script's times are stretched to it")
	flags.Var(newSecondsValue(&f.dropWatch, defaultDropWatch), "drop-watch", "seconds between deliberate breaks of the client's watches; 0 is none")
	flags.BoolVar(&f.hostile, "hostile", false, "also have clients that send decompression bombs, never read, or never end their requests")
	flags.Uint64Var(&f.seed, "seed", 0, "seed in place of the script's")
	flags.BoolVar(&f.asJSON, "json", false, "print the result as JSON")
	flags.BoolVar(&f.simulated, "simulated", false, "run it in simulated time in place of sockets")
	flags.BoolVar(&f.printScript, "print-script", false, "print the script and exit")
}

// faultKindsText returns the kinds of faults with their descriptions, one on each line, for the help text.
func faultKindsText() string {
	var text strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(scenario.FaultKinds)) {
		fmt.Fprintf(&text, "  %-15s %s\n", kind, scenario.FaultKinds[kind])
	}
	return text.String()
}

// runScenario runs the scenario over sockets or in simulated time and prints the result.
func runScenario(command *cobra.Command, flags *scenarioFlags) error {
	settings, err := flags.common.settings()
	if err != nil {
		return err
	}
	script, err := flags.loadScript()
	if err != nil {
		return err
	}
	if flags.printScript {
		return json.NewEncoder(command.OutOrStdout()).Encode(&script)
	}
	var result *faultinjection.Result
	if flags.simulated {
		result, err = runSimulated(&settings, &script)
	} else {
		result, err = runOverSockets(command, flags, &settings, &script)
	}
	if err != nil {
		return err
	}
	if flags.asJSON {
		if err := json.NewEncoder(command.OutOrStdout()).Encode(result); err != nil {
			return err
		}
	} else {
		printResult(command.OutOrStdout(), result)
	}
	if violations := len(result.Audit.Violations); violations > 0 {
		return &exitError{exitRulesViolated, fmt.Errorf("%d violations of the rules", violations)}
	}
	return nil
}

// loadScript returns the script of the file, or the built-in one, as changed by the flags.
func (f *scenarioFlags) loadScript() (scenario.Script, error) {
	script := scenario.Default()
	if f.script != "" {
		var err error
		if script, err = labconfig.LoadScript(f.script); err != nil {
			return scenario.Script{}, err
		}
	}
	if f.duration > 0 {
		script.Stretch(float64(placer.SecondsOf(f.duration)))
	}
	if f.seed > 0 {
		script.Seed = f.seed
	}
	return script, nil
}

// runSimulated runs a script in simulated time.
func runSimulated(settings *config.Settings, script *scenario.Script) (*faultinjection.Result, error) {
	cfg := simulation.FromSettings(settings, script)
	cfg.KeepEvents = true
	world, err := simulation.New(cfg)
	if err != nil {
		return nil, err
	}
	world.Run(script.Plan(cfg.ScenarioNodes()), placer.Seconds(script.Seconds))
	result := &faultinjection.Result{Seconds: script.Seconds, Schedulers: script.Schedulers, Nodes: script.Nodes, Audit: world.Audit()}
	figures := &result.Figures
	figures.Tasks = result.Audit.Tasks
	for _, tasks := range result.Audit.Outcomes {
		figures.Settled += tasks
	}
	var latencies []placer.Seconds
	for _, placement := range world.Placements {
		latencies = append(latencies, placement.Latency)
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		figures.P50 = float64(latencies[n/2])
		figures.P99 = float64(latencies[n*99/100])
		figures.Max = float64(latencies[n-1])
	}
	return result, nil
}

// runOverSockets runs a script with schedulers, nodes and an inventory as processes of this program.
func runOverSockets(command *cobra.Command, flags *scenarioFlags, settings *config.Settings, script *scenario.Script) (*faultinjection.Result, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir := flags.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "heathshed-scenario-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // files that cannot be removed are left to the operating system
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	settings.LogLevel = "warn"
	lastProgress := time.Now()
	return faultinjection.Run(ctx, faultinjection.Options{
		Executable:        executable,
		Dir:               dir,
		Script:            *script,
		Settings:          *settings,
		WatchDropInterval: flags.dropWatch,
		Hostile:           flags.hostile,
		Progress: func(elapsed time.Duration, figures faultinjection.Figures) {
			if time.Since(lastProgress) > progressInterval {
				lastProgress = time.Now()
				printProgress(command.ErrOrStderr(), elapsed, &figures)
			}
		},
	})
}
