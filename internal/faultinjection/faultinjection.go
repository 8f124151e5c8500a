//go:build linux

// Package drill carries out a plan of load and trouble over sockets: it starts schedulers, machines and an inventory as processes
// of their own, drives them as a client, and has the auditor check what passed.
package faultinjection

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/emulator/fault"
	"heathshed/internal/scenario"
	"heathshed/internal/simulation"
	"heathshed/internal/wellknown"
)

// Options are what a drill is run with.
type Options struct {
	Executable string // the heathshed binary
	Dir        string // for settings, taps and logs; it must exist
	Script     scenario.Script
	Settings   config.Settings
	Progress   func(elapsed float64, r Figures)
	// WatchDropInterval is the time in seconds between deliberate breaks of the client's own watches; 0 is none.
	WatchDropInterval float64
	// Hostile has clients that mean harm beside the ordinary one.
	Hostile bool
}

// Figures are what the client saw.
type Figures struct {
	Jobs           int     `json:"Jobs"`
	JobsLate       int     `json:"JobsLate"`
	Tasks          int     `json:"Tasks"`
	Settled        int     `json:"Settled"`
	WatchesDropped int     `json:"Dropped"`
	Relists        int     `json:"Relisted"`
	SchedulerKills int     `json:"Kills"`
	Retries        int     `json:"Errors"` // requests that had to be tried again
	P50            float64 `json:"P50"`
	P99            float64 `json:"P99"`
	Max            float64 `json:"Max"`
	Hostile        Hostile `json:"Hostile"`
}

// Result is what came of a drill.
type Result struct {
	Seconds    float64      `json:"Seconds"`
	Schedulers int          `json:"Schedulers"`
	Nodes      int          `json:"Nodes"`
	Figures    Figures      `json:"Figures"`
	Audit      audit.Report `json:"Audit"`
}

// process is a child process.
type process struct {
	cmd  *exec.Cmd
	addr string
	args []string
	log  string
}

type runner struct {
	options   Options
	startedAt time.Time
	processes map[string]*process
	client    *http.Client

	mu          sync.Mutex
	events      []audit.Event
	figures     Figures
	latency     *hdrhistogram.Histogram
	submittedAt map[string]float64
	settled     map[string]bool
}

// Run plays a script. It returns after the script's time, with every process ended.
func Run(ctx context.Context, options Options) (*Result, error) {
	run := &runner{options: options, processes: map[string]*process{}, latency: hdrhistogram.New(1, 600_000_000, 3), submittedAt: map[string]float64{}, settled: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	defer run.stopAll()
	if err := run.startAll(ctx); err != nil {
		return nil, err
	}
	var nodes []scenario.Node
	for i := range options.Script.Nodes {
		emulated := options.Settings.EmulatedNode(i)
		nodes = append(nodes, scenario.Node{Name: simulation.NodeName(i), Zone: emulated.Zone, Rack: emulated.Rack, Kind: emulated.NodeType})
	}
	plan := options.Script.Plan(nodes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range options.Script.Schedulers {
		wg.Add(1)
		go func() { defer wg.Done(); run.watch(ctx, i) }()
	}
	if options.Hostile {
		for i := range options.Script.Schedulers {
			wg.Add(1)
			go func() { defer wg.Done(); run.runHostileClient(ctx, i) }()
		}
	}
	wg.Add(1)
	go func() { defer wg.Done(); run.sampleMemory(ctx) }()
	run.startedAt = time.Now()
	end := run.startedAt.Add(time.Duration(options.Script.Seconds * float64(time.Second)))
	progress := time.NewTicker(2 * time.Second)
	defer progress.Stop()
	for i := 0; i < len(plan) || time.Now().Before(end); {
		next := end
		if i < len(plan) {
			next = run.startedAt.Add(time.Duration(plan[i].At * float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-progress.C:
			if options.Progress != nil {
				options.Progress(time.Since(run.startedAt).Seconds(), run.snapshot())
			}
		case <-time.After(time.Until(next)):
			if i < len(plan) {
				action := &plan[i]
				i++
				go run.perform(ctx, action)
			}
		}
	}
	// Outcomes that are on the way still arrive.
	time.Sleep(500 * time.Millisecond)
	cancel()
	wg.Wait()
	run.stopAll()
	return run.result()
}

func (r *runner) startAll(ctx context.Context) error {
	settings := r.options.Settings
	// The inventory's port is chosen first; every other process is told of it.
	settings.Inventory = "127.0.0.1:0"
	settingsFile := filepath.Join(r.options.Dir, "inventory.json")
	if err := writeSettings(settingsFile, &settings); err != nil {
		return err
	}
	if err := r.spawn("inventory", "emulate", "inventory", "-c", settingsFile, "--tap", r.eventFile("inventory")); err != nil {
		return err
	}
	settings.Inventory = r.processes["inventory"].addr
	for i := range r.options.Script.Nodes {
		name := simulation.NodeName(i)
		if i == 0 {
			settingsFile = filepath.Join(r.options.Dir, "nodes.json")
			if err := writeSettings(settingsFile, &settings); err != nil {
				return err
			}
		}
		if err := r.spawn(name, "emulate", "node", "-c", settingsFile, "--name", name, "--index", fmt.Sprint(i), "--listen", "127.0.0.1:0",
			"--tap", r.eventFile(name)); err != nil {
			return err
		}
	}
	for i := range r.options.Script.Schedulers {
		schedulerSettings := settings
		schedulerSettings.Name, schedulerSettings.Self, schedulerSettings.Peers, schedulerSettings.Listen = simulation.SchedulerName(i), i, r.options.Script.Schedulers, "127.0.0.1:0"
		settingsFile := filepath.Join(r.options.Dir, schedulerSettings.Name+".json")
		if err := writeSettings(settingsFile, &schedulerSettings); err != nil {
			return err
		}
		if err := r.spawn(schedulerSettings.Name, "serve", "-c", settingsFile); err != nil {
			return err
		}
	}
	for i := range r.options.Script.Schedulers {
		if err := r.waitReady(ctx, simulation.SchedulerName(i)); err != nil {
			return err
		}
	}
	return nil
}

func writeSettings(file string, s *config.Settings) error {
	b, err := s.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o644)
}

func (r *runner) eventFile(name string) string { return filepath.Join(r.options.Dir, name+".tap") }

// spawn starts a process and waits for the line that tells its address.
func (r *runner) spawn(name string, args ...string) error {
	cmd := exec.Command(r.options.Executable, args...)
	// A child does not outlive the drill, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logFile := filepath.Join(r.options.Dir, name+".log")
	logWriter, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	cmd.Stderr = logWriter
	stdout, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	logWriter.Close()
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	i := strings.Index(line, "http://")
	if err != nil || i < 0 {
		cmd.Process.Kill()
		cmd.Wait()
		b, _ := os.ReadFile(logFile)
		return fmt.Errorf("start %s: said %q: %v; log: %.300s", name, line, err, b)
	}
	r.mu.Lock()
	r.processes[name] = &process{cmd: cmd, addr: strings.TrimSpace(line[i+len("http://"):]), args: args, log: logFile}
	r.mu.Unlock()
	return nil
}

func (r *runner) baseURL(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if process := r.processes[name]; process != nil {
		return "http://" + process.addr
	}
	return ""
}

func (r *runner) stopAll() {
	r.mu.Lock()
	processes := r.processes
	r.processes = map[string]*process{}
	r.mu.Unlock()
	for _, process := range processes {
		process.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.cmd.Wait()
	}
}

func (r *runner) waitReady(ctx context.Context, name string) error {
	for range 300 {
		if resp, err := r.client.Get(r.baseURL(name) + "/readyz"); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s did not become ready", name)
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

func (r *runner) record(event audit.Event) {
	event.At = now()
	r.mu.Lock()
	r.events = append(r.events, event)
	r.mu.Unlock()
}

func (r *runner) update(f func(*Figures)) {
	r.mu.Lock()
	f(&r.figures)
	r.mu.Unlock()
}

func (r *runner) snapshot() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.figures
	f.P50, f.P99, f.Max = float64(r.latency.ValueAtQuantile(50))/1e6, float64(r.latency.ValueAtQuantile(99))/1e6, float64(r.latency.Max())/1e6
	return f
}

// send brings a request to its end: it is tried again while the server is down or turns it away for now.
func (r *runner) send(ctx context.Context, method, base, path, contentType string, body []byte, maxAttempts int) (int, error) {
	var lastErr error
	for i := range maxAttempts {
		if i > 0 {
			r.update(func(f *Figures) { f.Retries++ })
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(250 * time.Millisecond):
			}
		}
		req, err := http.NewRequestWithContext(ctx, method, r.baseURL(base)+path, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		req.Header.Set("Content-Type", contentType)
		resp, err := r.client.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 429 || resp.StatusCode == 503 {
			lastErr = fmt.Errorf("status %d", resp.StatusCode)
			continue
		}
		if resp.StatusCode/100 != 2 {
			return resp.StatusCode, fmt.Errorf("%s %s: status %d: %.200s", method, path, resp.StatusCode, b)
		}
		return resp.StatusCode, nil
	}
	return 0, lastErr
}

func (r *runner) perform(ctx context.Context, action *scenario.Action) {
	switch action.Kind {
	case scenario.SubmitJob:
		late := time.Since(r.startedAt).Seconds() - action.At
		b, _ := json.Marshal(simulation.NewJob(action.Job))
		code, err := r.send(ctx, "POST", simulation.SchedulerName(action.Job.Scheduler), "/apis/batch/v1/namespaces/"+action.Job.Namespace+"/jobs",
			"application/json", b, 400)
		r.update(func(f *Figures) {
			if late > 0.05 {
				f.JobsLate++
			}
			if err == nil || code == 409 {
				f.Jobs++
			}
		})
	case scenario.DeleteJob:
		r.send(ctx, "DELETE", simulation.SchedulerName(action.Job.Scheduler), "/apis/batch/v1/namespaces/"+action.Job.Namespace+"/jobs/"+action.Job.Name,
			"application/json", nil, 1)
	case scenario.InjectNodeFault:
		b, _ := json.Marshal(&action.NodeFault)
		r.send(ctx, "PUT", action.Node, "/heathshed/faults", "application/json", b, 1)
	case scenario.CutInventory:
		b, _ := json.Marshal(&fault.Inventory{Unreachable: action.OutageSeconds})
		r.send(ctx, "PUT", "inventory", "/heathshed/faults", "application/json", b, 1)
	case scenario.KillScheduler:
		r.restartScheduler(ctx, simulation.SchedulerName(action.Scheduler), action.DowntimeSeconds)
	case scenario.DrainNode, scenario.UndrainNode:
		body := fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, action.Kind == scenario.DrainNode)
		for i := range r.options.Script.Schedulers {
			name := simulation.SchedulerName(i)
			what := audit.DrainOrdered
			if action.Kind == scenario.UndrainNode {
				// Before the order: from its sending on offers may go there.
				r.record(audit.Event{Kind: audit.DrainCancelled, Scheduler: name, Node: action.Node})
			}
			if _, err := r.send(ctx, "PATCH", name, "/api/v1/nodes/"+action.Node, "application/merge-patch+json", body, 1); err == nil && action.Kind == scenario.DrainNode {
				r.record(audit.Event{Kind: what, Scheduler: name, Node: action.Node})
			}
		}
	}
}

// restartScheduler ends a scheduler at once and starts it again at its address.
func (r *runner) restartScheduler(ctx context.Context, name string, downtime float64) {
	r.mu.Lock()
	process := r.processes[name]
	r.mu.Unlock()
	if process == nil {
		return
	}
	process.cmd.Process.Kill()
	process.cmd.Wait()
	r.record(audit.Event{Kind: audit.Killed, Scheduler: name})
	r.update(func(f *Figures) { f.SchedulerKills++ })
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(downtime * float64(time.Second))):
	}
	for range 20 {
		if r.spawn(name, append(append([]string{}, process.args...), "--listen", process.addr)...) == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// watch is the client's watch on the Pods of a scheduler. It resumes from the last revision it saw; when that is gone it lists anew.
func (r *runner) watch(ctx context.Context, i int) {
	name := simulation.SchedulerName(i)
	rev := ""
	for ctx.Err() == nil {
		if rev == "" {
			rev = r.list(ctx, name)
		}
		if rev == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		if r.options.WatchDropInterval > 0 {
			watchCtx, cancel = context.WithTimeout(ctx, time.Duration(r.options.WatchDropInterval*float64(time.Second)))
		}
		var err error
		rev, err = r.follow(watchCtx, name, rev)
		cancel()
		if watchCtx.Err() == context.DeadlineExceeded {
			r.update(func(f *Figures) { f.WatchesDropped++ })
		} else if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

var errExpired = errors.New("expired")

func (r *runner) follow(ctx context.Context, name, rev string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", r.baseURL(name)+"/api/v1/pods?watch=true&allowWatchBookmarks=true&resourceVersion="+rev, nil)
	if err != nil {
		return rev, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return rev, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == 410 || resp.StatusCode == 504 {
		return "", errExpired
	}
	if resp.StatusCode != 200 {
		return rev, fmt.Errorf("status %d", resp.StatusCode)
	}
	reader := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		// A line cut short by the break of a connection is no event: it comes again after the resume.
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return rev, err
		}
		var event struct {
			Type   string          `json:"type"`
			Object json.RawMessage `json:"object"`
		}
		if err := json.Unmarshal(line, &event); err != nil {
			return rev, fmt.Errorf("event: %w", err)
		}
		if event.Type == "ERROR" {
			return "", errExpired
		}
		var pod corev1.Pod
		if err := json.Unmarshal(event.Object, &pod); err != nil {
			return rev, fmt.Errorf("pod: %w", err)
		}
		rev = pod.ResourceVersion
		if event.Type != "BOOKMARK" {
			r.observePod(name, &pod, event.Type)
		}
	}
}

// list is a fresh start: what is new counts as asked now, what has an outcome as told now.
func (r *runner) list(ctx context.Context, name string) string {
	req, err := http.NewRequestWithContext(ctx, "GET", r.baseURL(name)+"/api/v1/pods", nil)
	if err != nil {
		return ""
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var pods corev1.PodList
	if resp.StatusCode != 200 || json.NewDecoder(resp.Body).Decode(&pods) != nil {
		return ""
	}
	r.update(func(f *Figures) { f.Relists++ })
	for i := range pods.Items {
		r.observePod(name, &pods.Items[i], "LISTED")
	}
	return pods.ResourceVersion
}

// observePod takes what the client sees of a Pod.
func (r *runner) observePod(name string, pod *corev1.Pod, kind string) {
	uid := string(pod.UID)
	reason := wellknown.SettledReason(pod)
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now()
	record := func(event audit.Event) {
		event.At, event.UID, event.Scheduler, event.Class = at, uid, name, pod.Labels[wellknown.Class]
		r.events = append(r.events, event)
	}
	_, known := r.submittedAt[uid]
	if !known {
		if kind == "DELETED" {
			return
		}
		r.submittedAt[uid] = at
		// One whose outcome stands already when it is first seen was taken over after a restart, or settled before the watch came.
		if reason == "" {
			r.figures.Tasks++
			record(audit.Event{Kind: audit.Submitted, Deadline: wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])})
		}
	}
	if reason != "" && !r.settled[uid] {
		r.settled[uid] = true
		r.figures.Settled++
		record(audit.Event{Kind: audit.Settled, Reason: reason})
		if kind != "LISTED" && known {
			r.latency.RecordValue(max(1, int64((at-r.submittedAt[uid])*1e6)))
		}
	}
	if kind == "DELETED" {
		if !r.settled[uid] {
			record(audit.Event{Kind: audit.Withdrawn})
		}
	}
}

func (r *runner) result() (*Result, error) {
	events := r.events
	names, err := filepath.Glob(filepath.Join(r.options.Dir, "*.tap"))
	if err != nil {
		return nil, err
	}
	sort.Strings(names)
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		dec := json.NewDecoder(f)
		for {
			var event audit.Event
			if err := dec.Decode(&event); err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
				break
			} else if err != nil {
				f.Close()
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			events = append(events, event)
		}
		f.Close()
	}
	result := &Result{Seconds: r.options.Script.Seconds, Schedulers: r.options.Script.Schedulers, Nodes: r.options.Script.Nodes, Figures: r.snapshot()}
	result.Audit = audit.Check(audit.Config{Classes: simulation.AuditClasses(&r.options.Settings), DrainGrace: r.options.Settings.Rules.DrainGrace, Slack: 0.15}, events)
	return result, nil
}
