//go:build linux

// Package faultinjection runs a scenario over sockets: it starts schedulers, emulated nodes and an inventory as processes, submits the load as
// their client, injects the faults, and audits the events that all of them recorded.
//
// The command scenario calls Run. Begin reading there: it starts the processes (process.go), watches the schedulers (watch.go, observer.go) and
// performs the actions of the plan (action.go).
package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"heathshed/internal/config"
	"heathshed/internal/control/clock"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
	"heathshed/placer"
)

const (
	progressInterval = 2 * time.Second
	settleTime       = 500 * time.Millisecond // at the end, for outcomes that have not reached the client yet

	auditSlack placer.Seconds = 0.15
)

// Options configure a run of a scenario.
type Options struct {
	Executable string // path of the heathshed binary
	Dir        string // for settings, recorded events and logs; it must exist
	Script     scenario.Script
	Settings   config.Settings
	// Progress, if set, is called every two seconds.
	Progress func(elapsed time.Duration, figures Figures)
	// WatchDropInterval is the time between deliberate breaks of the client's own watches; 0 is none.
	WatchDropInterval time.Duration
	// Hostile adds clients that try to overload the schedulers.
	Hostile bool
}

// Figures are counts and latencies that the client measured. Times are in seconds.
type Figures struct {
	Jobs           int     `json:"Jobs"`
	JobsLate       int     `json:"JobsLate"` // submitted later than planned
	Tasks          int     `json:"Tasks"`
	Settled        int     `json:"Settled"` // tasks with an outcome
	WatchesDropped int     `json:"Dropped"`
	Relists        int     `json:"Relisted"`
	SchedulerKills int     `json:"Kills"`
	Retries        int     `json:"Errors"`
	P50            float64 `json:"P50"` // from submission to outcome
	P99            float64 `json:"P99"`
	Max            float64 `json:"Max"`
	Hostile        Hostile `json:"Hostile"`
}

// Result is the result of a run: the client's figures and the report of the audit.
type Result struct {
	Seconds    float64      `json:"Seconds"`
	Schedulers int          `json:"Schedulers"`
	Nodes      int          `json:"Nodes"`
	Figures    Figures      `json:"Figures"`
	Audit      audit.Report `json:"Audit"`
}

// runner carries out one run. It owns the child processes. Its goroutines share processes and observer, which are safe for concurrent use; the
// other fields do not change once the actions of the plan begin.
type runner struct {
	options   Options
	startedAt time.Time
	client    *http.Client
	processes *processTable
	observer  *observer
}

// Run runs a scenario. It returns when the duration of the script has passed and every process has ended.
func Run(ctx context.Context, options Options) (*Result, error) {
	r := &runner{
		options:   options,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		processes: newProcessTable(options.Executable, options.Dir),
		observer:  newObserver(),
	}
	defer r.processes.stopAll()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	plan := options.Script.Plan(planNodes(&options))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	r.startBackground(ctx, &background)
	if err := r.play(ctx, plan); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	cancel()
	background.Wait()
	r.processes.stopAll()
	return r.result()
}

// planNodes returns the nodes of the scenario, for its plan.
func planNodes(options *Options) []scenario.Node {
	var nodes []scenario.Node
	for i := range options.Script.Nodes {
		emulated := labconfig.NodeAt(&options.Settings, i)
		nodes = append(nodes, scenario.Node{Name: simulation.NodeName(i), Zone: emulated.Zone, Rack: emulated.Rack, Kind: emulated.NodeType})
	}
	return nodes
}

// startBackground starts the client's watches, the hostile clients and the sampling of memory. All end with the context.
func (r *runner) startBackground(ctx context.Context, group *sync.WaitGroup) {
	for i := range r.options.Script.Schedulers {
		group.Go(func() { r.watch(ctx, simulation.SchedulerName(i)) })
		if r.options.Hostile {
			group.Go(func() { r.runHostileClient(ctx, simulation.SchedulerName(i)) })
		}
	}
	group.Go(func() { r.sampleMemory(ctx) })
}

// play performs the actions of a plan at their times, and returns at the end of the script.
func (r *runner) play(ctx context.Context, plan []scenario.Action) error {
	r.startedAt = time.Now()
	end := r.startedAt.Add(clock.Duration(r.options.Script.Seconds))
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for len(plan) > 0 || time.Now().Before(end) {
		next := end
		if len(plan) > 0 {
			next = r.startedAt.Add(clock.Duration(plan[0].At))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-progress.C:
			if r.options.Progress != nil {
				r.options.Progress(time.Since(r.startedAt), r.observer.snapshot())
			}
		case <-time.After(time.Until(next)):
			if len(plan) > 0 {
				go r.perform(ctx, &plan[0])
				plan = plan[1:]
			}
		}
	}
	return nil
}

// sleep waits for d. If the context is done before, sleep returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// result audits the events that the client and the emulators recorded.
func (r *runner) result() (*Result, error) {
	events := r.observer.recordedEvents()
	files, err := filepath.Glob(r.eventFile("*"))
	if err != nil {
		return nil, err
	}
	slices.Sort(files)
	for _, file := range files {
		if events, err = appendEvents(events, file); err != nil {
			return nil, err
		}
	}
	script := &r.options.Script
	settings := &r.options.Settings
	rules := audit.Config{
		Classes:    simulation.AuditClasses(settings),
		DrainGrace: placer.Seconds(settings.Timing.DrainGrace),
		Slack:      auditSlack,
	}
	return &Result{
		Seconds:    script.Seconds,
		Schedulers: script.Schedulers,
		Nodes:      script.Nodes,
		Figures:    r.observer.snapshot(),
		Audit:      audit.Check(rules, events),
	}, nil
}

// appendEvents appends the events that an emulator recorded in a file. The last line may be truncated, since the process was killed.
func appendEvents(events []audit.Event, path string) ([]audit.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("recorded events: %w", err)
	}
	defer closeQuietly(file)
	decoder := json.NewDecoder(file)
	for {
		var event audit.Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("recorded events: %s: %w", path, err)
		}
		events = append(events, event)
	}
}

// closeQuietly closes a file that was only read, or a connection that is not used again. The error of Close does not matter for these.
func closeQuietly(c io.Closer) { _ = c.Close() }
