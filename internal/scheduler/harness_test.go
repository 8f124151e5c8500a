//go:build linux

package scheduler

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/emulator"
	"heathshed/internal/emulator/fault"
	"heathshed/internal/eventloop"
	"heathshed/internal/httpd"
	"heathshed/internal/memquota"
	"heathshed/internal/scenario"
	"heathshed/internal/simulation"
	"heathshed/internal/wellknown"
)

// cluster is a scheduler with stand-ins, in this process.
type cluster struct {
	t            testing.TB
	settings     config.Settings
	baseURL      string
	loop         *eventloop.Loop // of the scheduler
	scheduler    *Scheduler
	loopDone     chan error
	emulatorLoop *eventloop.Loop // of the stand-ins
	inventory    *emulator.Inventory
	nodes        []*emulator.Node

	mu     sync.Mutex
	events []audit.Event
}

func startCluster(t testing.TB, change func(*config.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, settings: config.Default()}
	s := &c.settings
	s.Listen, s.Emulator.ReportDelay, s.Emulator.Nodes, s.NodeSyncTimeout = "127.0.0.1:0", 0.05, 4, 2
	s.Limits.FinishedTTL = 0
	if change != nil {
		change(s)
	}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	var err error
	if c.emulatorLoop, err = eventloop.New(); err != nil {
		t.Fatal(err)
	}
	tap := func(ev audit.Event) { c.mu.Lock(); c.events = append(c.events, ev); c.mu.Unlock() }
	if c.inventory, err = emulator.StartInventory(c.emulatorLoop, emulator.InventoryOptions{Listen: "127.0.0.1:0", PublishDelay: s.Emulator.ReportDelay, UnresponsiveAfter: 1, OnEvent: tap}); err != nil {
		t.Fatal(err)
	}
	s.Inventory = c.inventory.Addr()
	for i := range s.Emulator.Nodes {
		emulated := s.EmulatedNode(i)
		heartbeatSeconds := 0.1
		if s.Emulator.Nodes >= 100 {
			heartbeatSeconds = 0.5 // as heathshed up has it; more would measure the inventory
		}
		n, err := emulator.StartNode(c.emulatorLoop, emulator.NodeOptions{Name: simulation.NodeName(i), Zone: emulated.Zone, Rack: emulated.Rack, Kind: emulated.NodeType, Listen: "127.0.0.1:0",
			Inventory: c.inventory.Addr(), ReportInterval: heartbeatSeconds, Sim: emulated.Sim, Priorities: s.Priorities(), OnEvent: tap})
		if err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	emulatorDone := make(chan error, 1)
	go func() { emulatorDone <- c.emulatorLoop.Run() }()
	t.Cleanup(func() { c.killScheduler(); c.emulatorLoop.Stop(); <-emulatorDone })
	c.startScheduler()
	return c
}

// startScheduler starts the scheduler, at the address that it had.
func (c *cluster) startScheduler() {
	c.t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		c.t.Fatal(err)
	}
	httpOptions := httpd.DefaultOptions()
	httpOptions.Limits.Body = c.settings.Limits.MaxBodyBytes
	httpOptions.MemoryBytes = memquota.Divide(int64(c.settings.Limits.MemoryMiB) << 20).Connections
	c.scheduler, err = New(loop, Options{Engine: c.settings.Engine(7, int64(loop.Now()*1e6)), ListenAddress: c.settings.Listen, InventoryAddress: c.settings.Inventory, Version: "test",
		HTTP: httpOptions, ConnectTimeoutSeconds: c.settings.ConnectTimeout, NodeSyncTimeoutSeconds: c.settings.NodeSyncTimeout, Log: zerolog.Nop()})
	if err != nil {
		c.t.Fatal(err)
	}
	c.loop, c.loopDone = loop, make(chan error, 1)
	c.settings.Listen = c.scheduler.Addr()
	c.baseURL = "http://" + c.scheduler.Addr()
	go func(done chan error) { done <- loop.Run() }(c.loopDone)
	c.eventually("the scheduler is ready", func() bool { code, _ := c.request("GET", "/readyz", "", nil); return code == 200 })
}

// killScheduler ends the scheduler at once.
func (c *cluster) killScheduler() {
	if c.loop != nil {
		c.loop.Stop()
		<-c.loopDone
		c.loop = nil
	}
}

func (c *cluster) request(method, path, contentType string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	req.Close = true // tests break connections; none is used twice
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}

func (c *cluster) requireStatus(code int, method, path, contentType, body string) []byte {
	c.t.Helper()
	got, b := c.request(method, path, contentType, []byte(body))
	if got != code {
		c.t.Fatalf("%s %s: status %d, want %d: %.300s", method, path, got, code, b)
	}
	return b
}

// eventually waits for a state, not for a time: the limit only ends a test that hangs.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("never seen: %s", what)
}

func (c *cluster) submitJob(job scenario.Job) {
	c.t.Helper()
	if job.Namespace == "" {
		job.Namespace = "default"
	}
	b, err := json.Marshal(simulation.NewJob(&job))
	if err != nil {
		c.t.Fatal(err)
	}
	c.requireStatus(201, "POST", "/apis/batch/v1/namespaces/"+job.Namespace+"/jobs", "application/json", string(b))
}

func (c *cluster) job(name string) *batchv1.Job {
	code, b := c.request("GET", "/apis/batch/v1/namespaces/default/jobs/"+name, "", nil)
	if code != 200 {
		return nil
	}
	j := &batchv1.Job{}
	if err := json.Unmarshal(b, j); err != nil {
		c.t.Fatal(err)
	}
	return j
}

func settledReason(j *batchv1.Job) string {
	if j != nil {
		for _, k := range j.Status.Conditions {
			if k.Type == wellknown.Settled {
				return k.Reason
			}
		}
	}
	return ""
}

func hasCondition(j *batchv1.Job, kind batchv1.JobConditionType) bool {
	if j != nil {
		for _, k := range j.Status.Conditions {
			if k.Type == kind && k.Status == corev1.ConditionTrue {
				return true
			}
		}
	}
	return false
}

func (c *cluster) pods(query string) []corev1.Pod {
	var list corev1.PodList
	code, b := c.request("GET", "/api/v1/namespaces/default/pods"+query, "", nil)
	if code == 200 {
		if err := json.Unmarshal(b, &list); err != nil {
			c.t.Fatal(err)
		}
	}
	return list.Items
}

// injectFault makes machines faulty; none named is all.
func (c *cluster) injectFault(f fault.Node, nodes ...int) {
	done := make(chan struct{})
	c.emulatorLoop.Post(func() {
		for i, n := range c.nodes {
			hit := len(nodes) == 0
			for _, k := range nodes {
				hit = hit || k == i
			}
			if hit {
				n.Fault(f)
			}
		}
		close(done)
	})
	<-done
}

// countEvents counts what passed at the machines.
func (c *cluster) countEvents(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.events {
		if c.events[i].Kind == what {
			n++
		}
	}
	return n
}

// checkAudit checks the rules on what passed at the machines so far.
func (c *cluster) checkAudit() {
	c.t.Helper()
	c.mu.Lock()
	events := append([]audit.Event(nil), c.events...)
	c.mu.Unlock()
	r := audit.Check(audit.Config{Classes: simulation.AuditClasses(&c.settings), DrainGrace: c.settings.Rules.DrainGrace, Slack: 0.5}, events)
	for _, v := range r.Violations {
		c.t.Error(v)
	}
}
