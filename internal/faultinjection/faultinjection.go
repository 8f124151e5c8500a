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
	Exe      string // the heathshed binary
	Dir      string // for settings, taps and logs; it must exist
	Script   scenario.Script
	Settings config.Settings
	Progress func(elapsed float64, r Figures)
	// DropWatch is the time in seconds between deliberate breaks of the client's own watches; 0 is none.
	DropWatch float64
	// Hostile has clients that mean harm beside the ordinary one.
	Hostile bool
}

// Figures are what the client saw.
type Figures struct {
	Jobs     int     `json:"Jobs"`
	JobsLate int     `json:"JobsLate"`
	Tasks    int     `json:"Tasks"`
	Settled  int     `json:"Settled"`
	Dropped  int     `json:"Dropped"`
	Relisted int     `json:"Relisted"`
	Kills    int     `json:"Kills"`
	Errors   int     `json:"Errors"` // requests that had to be tried again
	P50      float64 `json:"P50"`
	P99      float64 `json:"P99"`
	Max      float64 `json:"Max"`
	Hostile  Hostile `json:"Hostile"`
}

// Result is what came of a drill.
type Result struct {
	Seconds    float64      `json:"Seconds"`
	Schedulers int          `json:"Schedulers"`
	Nodes      int          `json:"Nodes"`
	Figures    Figures      `json:"Figures"`
	Audit      audit.Report `json:"Audit"`
}

// proc is a child process.
type proc struct {
	cmd  *exec.Cmd
	addr string
	args []string
	log  string
}

type drill struct {
	o      Options
	start  time.Time
	procs  map[string]*proc
	client *http.Client

	mu     sync.Mutex
	events []audit.Event
	fig    Figures
	hist   *hdrhistogram.Histogram
	asked  map[string]float64
	told   map[string]bool
}

// Run plays a script. It returns after the script's time, with every process ended.
func Run(ctx context.Context, o Options) (*Result, error) {
	d := &drill{o: o, procs: map[string]*proc{}, hist: hdrhistogram.New(1, 600_000_000, 3), asked: map[string]float64{}, told: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	defer d.stopAll()
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	var nodes []scenario.Node
	for i := range o.Script.Nodes {
		_, kind, rack, zone := o.Settings.Machine(i)
		nodes = append(nodes, scenario.Node{Name: simulation.NodeName(i), Zone: zone, Rack: rack, Kind: kind})
	}
	plan := o.Script.Plan(nodes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i := range o.Script.Schedulers {
		wg.Add(1)
		go func() { defer wg.Done(); d.watch(ctx, i) }()
	}
	if o.Hostile {
		for i := range o.Script.Schedulers {
			wg.Add(1)
			go func() { defer wg.Done(); d.harm(ctx, i) }()
		}
	}
	wg.Add(1)
	go func() { defer wg.Done(); d.weigh(ctx) }()
	d.start = time.Now()
	end := d.start.Add(time.Duration(o.Script.Seconds * float64(time.Second)))
	progress := time.NewTicker(2 * time.Second)
	defer progress.Stop()
	for i := 0; i < len(plan) || time.Now().Before(end); {
		next := end
		if i < len(plan) {
			next = d.start.Add(time.Duration(plan[i].At * float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-progress.C:
			if o.Progress != nil {
				o.Progress(time.Since(d.start).Seconds(), d.figures())
			}
		case <-time.After(time.Until(next)):
			if i < len(plan) {
				a := &plan[i]
				i++
				go d.act(ctx, a)
			}
		}
	}
	// Outcomes that are on the way still arrive.
	time.Sleep(500 * time.Millisecond)
	cancel()
	wg.Wait()
	d.stopAll()
	return d.result()
}

func (d *drill) startAll(ctx context.Context) error {
	s := d.o.Settings
	// The inventory's port is chosen first; every other process is told of it.
	s.Inventory = "127.0.0.1:0"
	cfg := filepath.Join(d.o.Dir, "inventory.json")
	if err := writeSettings(cfg, &s); err != nil {
		return err
	}
	if err := d.spawn("inventory", "standin", "inventory", "-c", cfg, "--tap", d.tapFile("inventory")); err != nil {
		return err
	}
	s.Inventory = d.procs["inventory"].addr
	for i := range d.o.Script.Nodes {
		name := simulation.NodeName(i)
		if i == 0 {
			cfg = filepath.Join(d.o.Dir, "nodes.json")
			if err := writeSettings(cfg, &s); err != nil {
				return err
			}
		}
		if err := d.spawn(name, "standin", "node", "-c", cfg, "--name", name, "--index", fmt.Sprint(i), "--listen", "127.0.0.1:0",
			"--tap", d.tapFile(name)); err != nil {
			return err
		}
	}
	for i := range d.o.Script.Schedulers {
		p := s
		p.Name, p.Self, p.Peers, p.Listen = simulation.SchedulerName(i), i, d.o.Script.Schedulers, "127.0.0.1:0"
		cfg := filepath.Join(d.o.Dir, p.Name+".json")
		if err := writeSettings(cfg, &p); err != nil {
			return err
		}
		if err := d.spawn(p.Name, "serve", "-c", cfg); err != nil {
			return err
		}
	}
	for i := range d.o.Script.Schedulers {
		if err := d.ready(ctx, simulation.SchedulerName(i)); err != nil {
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

func (d *drill) tapFile(name string) string { return filepath.Join(d.o.Dir, name+".tap") }

// spawn starts a process and waits for the line that tells its address.
func (d *drill) spawn(name string, args ...string) error {
	cmd := exec.Command(d.o.Exe, args...)
	// A child does not outlive the drill, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logFile := filepath.Join(d.o.Dir, name+".log")
	w, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	cmd.Stderr = w
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	w.Close()
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	i := strings.Index(line, "http://")
	if err != nil || i < 0 {
		cmd.Process.Kill()
		cmd.Wait()
		b, _ := os.ReadFile(logFile)
		return fmt.Errorf("start %s: said %q: %v; log: %.300s", name, line, err, b)
	}
	d.mu.Lock()
	d.procs[name] = &proc{cmd: cmd, addr: strings.TrimSpace(line[i+len("http://"):]), args: args, log: logFile}
	d.mu.Unlock()
	return nil
}

func (d *drill) addr(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.procs[name]; p != nil {
		return "http://" + p.addr
	}
	return ""
}

func (d *drill) stopAll() {
	d.mu.Lock()
	procs := d.procs
	d.procs = map[string]*proc{}
	d.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		p.cmd.Wait()
	}
}

func (d *drill) ready(ctx context.Context, name string) error {
	for range 300 {
		if resp, err := d.client.Get(d.addr(name) + "/readyz"); err == nil {
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

func (d *drill) tap(ev audit.Event) {
	ev.At = now()
	d.mu.Lock()
	d.events = append(d.events, ev)
	d.mu.Unlock()
}

func (d *drill) count(f func(*Figures)) {
	d.mu.Lock()
	f(&d.fig)
	d.mu.Unlock()
}

func (d *drill) figures() Figures {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.fig
	f.P50, f.P99, f.Max = float64(d.hist.ValueAtQuantile(50))/1e6, float64(d.hist.ValueAtQuantile(99))/1e6, float64(d.hist.Max())/1e6
	return f
}

// send brings a request to its end: it is tried again while the server is down or turns it away for now.
func (d *drill) send(ctx context.Context, method, base, path, contentType string, body []byte, tries int) (int, error) {
	var last error
	for i := range tries {
		if i > 0 {
			d.count(func(f *Figures) { f.Errors++ })
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(250 * time.Millisecond):
			}
		}
		req, err := http.NewRequestWithContext(ctx, method, d.addr(base)+path, bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		req.Header.Set("Content-Type", contentType)
		resp, err := d.client.Do(req)
		if err != nil {
			last = err
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 429 || resp.StatusCode == 503 {
			last = fmt.Errorf("status %d", resp.StatusCode)
			continue
		}
		if resp.StatusCode/100 != 2 {
			return resp.StatusCode, fmt.Errorf("%s %s: status %d: %.200s", method, path, resp.StatusCode, b)
		}
		return resp.StatusCode, nil
	}
	return 0, last
}

func (d *drill) act(ctx context.Context, a *scenario.Action) {
	switch a.Do {
	case scenario.Submit:
		late := time.Since(d.start).Seconds() - a.At
		b, _ := json.Marshal(simulation.Job(a.Job))
		code, err := d.send(ctx, "POST", simulation.SchedulerName(a.Job.Scheduler), "/apis/batch/v1/namespaces/"+a.Job.Namespace+"/jobs",
			"application/json", b, 400)
		d.count(func(f *Figures) {
			if late > 0.05 {
				f.JobsLate++
			}
			if err == nil || code == 409 {
				f.Jobs++
			}
		})
	case scenario.Delete:
		d.send(ctx, "DELETE", simulation.SchedulerName(a.Job.Scheduler), "/apis/batch/v1/namespaces/"+a.Job.Namespace+"/jobs/"+a.Job.Name,
			"application/json", nil, 1)
	case scenario.Fault:
		b, _ := json.Marshal(&a.Faults)
		d.send(ctx, "PUT", a.Node, "/heathshed/faults", "application/json", b, 1)
	case scenario.Inventory:
		b, _ := json.Marshal(&fault.Inventory{Cut: a.Cut})
		d.send(ctx, "PUT", "inventory", "/heathshed/faults", "application/json", b, 1)
	case scenario.Kill:
		d.kill(ctx, simulation.SchedulerName(a.Scheduler), a.For)
	case scenario.Drain, scenario.Undrain:
		body := fmt.Appendf(nil, `{"spec":{"unschedulable":%v}}`, a.Do == scenario.Drain)
		for i := range d.o.Script.Schedulers {
			name := simulation.SchedulerName(i)
			what := audit.Told
			if a.Do == scenario.Undrain {
				// Before the order: from its sending on offers may go there.
				d.tap(audit.Event{What: audit.Undrained, Scheduler: name, Node: a.Node})
			}
			if _, err := d.send(ctx, "PATCH", name, "/api/v1/nodes/"+a.Node, "application/merge-patch+json", body, 1); err == nil && a.Do == scenario.Drain {
				d.tap(audit.Event{What: what, Scheduler: name, Node: a.Node})
			}
		}
	}
}

// kill ends a scheduler at once and starts it again at its address.
func (d *drill) kill(ctx context.Context, name string, down float64) {
	d.mu.Lock()
	p := d.procs[name]
	d.mu.Unlock()
	if p == nil {
		return
	}
	p.cmd.Process.Kill()
	p.cmd.Wait()
	d.tap(audit.Event{What: audit.Killed, Scheduler: name})
	d.count(func(f *Figures) { f.Kills++ })
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(down * float64(time.Second))):
	}
	for range 20 {
		if d.spawn(name, append(append([]string{}, p.args...), "--listen", p.addr)...) == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// watch is the client's watch on the Pods of a scheduler. It resumes from the last revision it saw; when that is gone it lists anew.
func (d *drill) watch(ctx context.Context, i int) {
	name := simulation.SchedulerName(i)
	rev := ""
	for ctx.Err() == nil {
		if rev == "" {
			rev = d.list(ctx, name)
		}
		if rev == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		wctx, cancel := context.WithCancel(ctx)
		if d.o.DropWatch > 0 {
			wctx, cancel = context.WithTimeout(ctx, time.Duration(d.o.DropWatch*float64(time.Second)))
		}
		var err error
		rev, err = d.follow(wctx, name, rev)
		cancel()
		if wctx.Err() == context.DeadlineExceeded {
			d.count(func(f *Figures) { f.Dropped++ })
		} else if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

var errExpired = errors.New("expired")

func (d *drill) follow(ctx context.Context, name, rev string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", d.addr(name)+"/api/v1/pods?watch=true&allowWatchBookmarks=true&resourceVersion="+rev, nil)
	if err != nil {
		return rev, err
	}
	resp, err := d.client.Do(req)
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
	r := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		// A line cut short by the break of a connection is no event: it comes again after the resume.
		line, err := r.ReadBytes('\n')
		if err != nil {
			return rev, err
		}
		var ev struct {
			Type   string          `json:"type"`
			Object json.RawMessage `json:"object"`
		}
		if err := json.Unmarshal(line, &ev); err != nil {
			return rev, fmt.Errorf("event: %w", err)
		}
		if ev.Type == "ERROR" {
			return "", errExpired
		}
		var p corev1.Pod
		if err := json.Unmarshal(ev.Object, &p); err != nil {
			return rev, fmt.Errorf("pod: %w", err)
		}
		rev = p.ResourceVersion
		if ev.Type != "BOOKMARK" {
			d.saw(name, &p, ev.Type)
		}
	}
}

// list is a fresh start: what is new counts as asked now, what has an outcome as told now.
func (d *drill) list(ctx context.Context, name string) string {
	req, err := http.NewRequestWithContext(ctx, "GET", d.addr(name)+"/api/v1/pods", nil)
	if err != nil {
		return ""
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var l corev1.PodList
	if resp.StatusCode != 200 || json.NewDecoder(resp.Body).Decode(&l) != nil {
		return ""
	}
	d.count(func(f *Figures) { f.Relisted++ })
	for i := range l.Items {
		d.saw(name, &l.Items[i], "LISTED")
	}
	return l.ResourceVersion
}

// saw takes what the client sees of a Pod.
func (d *drill) saw(name string, p *corev1.Pod, kind string) {
	uid := string(p.UID)
	reason := wellknown.SettledOf(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	tap := func(ev audit.Event) {
		ev.At, ev.UID, ev.Scheduler, ev.Class = at, uid, name, p.Labels[wellknown.Class]
		d.events = append(d.events, ev)
	}
	_, known := d.asked[uid]
	if !known {
		if kind == "DELETED" {
			return
		}
		d.asked[uid] = at
		// One whose outcome stands already when it is first seen was taken over after a restart, or settled before the watch came.
		if reason == "" {
			d.fig.Tasks++
			tap(audit.Event{What: audit.Asked, GiveUp: wellknown.Seconds(p.Annotations[wellknown.GiveUpAt])})
		}
	}
	if reason != "" && !d.told[uid] {
		d.told[uid] = true
		d.fig.Settled++
		tap(audit.Event{What: audit.Settled, Reason: reason})
		if kind != "LISTED" && known {
			d.hist.RecordValue(max(1, int64((at-d.asked[uid])*1e6)))
		}
	}
	if kind == "DELETED" {
		if !d.told[uid] {
			tap(audit.Event{What: audit.Withdrawn})
		}
	}
}

func (d *drill) result() (*Result, error) {
	events := d.events
	names, err := filepath.Glob(filepath.Join(d.o.Dir, "*.tap"))
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
			var ev audit.Event
			if err := dec.Decode(&ev); err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
				break
			} else if err != nil {
				f.Close()
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			events = append(events, ev)
		}
		f.Close()
	}
	r := &Result{Seconds: d.o.Script.Seconds, Schedulers: d.o.Script.Schedulers, Nodes: d.o.Script.Nodes, Figures: d.figures()}
	r.Audit = audit.Check(audit.Config{Classes: simulation.Classes(&d.o.Settings), DrainGrace: d.o.Settings.Rules.DrainGrace, Slack: 0.15}, events)
	return r, nil
}
