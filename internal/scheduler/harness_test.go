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
	t     testing.TB
	s     config.Settings
	base  string
	l     *eventloop.Loop // of the scheduler
	sch   *Scheduler
	done  chan error
	sl    *eventloop.Loop // of the stand-ins
	inv   *emulator.Inventory
	nodes []*emulator.Node

	mu     sync.Mutex
	events []audit.Event
}

func start(t testing.TB, change func(*config.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, s: config.Default()}
	s := &c.s
	s.Listen, s.Emulator.Late, s.Emulator.Nodes, s.HeardWithin = "127.0.0.1:0", 0.05, 4, 2
	s.Limits.KeepFinished = 0
	if change != nil {
		change(s)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	var err error
	if c.sl, err = eventloop.New(); err != nil {
		t.Fatal(err)
	}
	tap := func(ev audit.Event) { c.mu.Lock(); c.events = append(c.events, ev); c.mu.Unlock() }
	if c.inv, err = emulator.StartInventory(c.sl, emulator.InventoryOptions{Listen: "127.0.0.1:0", Late: s.Emulator.Late, SilentAfter: 1, Tap: tap}); err != nil {
		t.Fatal(err)
	}
	s.Inventory = c.inv.Addr()
	for i := range s.Emulator.Nodes {
		cfg, kind, rack, zone := s.Machine(i)
		beat := 0.1
		if s.Emulator.Nodes >= 100 {
			beat = 0.5 // as heathshed up has it; more would measure the inventory
		}
		n, err := emulator.StartNode(c.sl, emulator.NodeOptions{Name: simulation.NodeName(i), Zone: zone, Rack: rack, Kind: kind, Listen: "127.0.0.1:0",
			Inventory: c.inv.Addr(), Beat: beat, Sim: cfg, Priorities: s.Priorities(), Tap: tap})
		if err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, n)
	}
	sdone := make(chan error, 1)
	go func() { sdone <- c.sl.Run() }()
	t.Cleanup(func() { c.kill(); c.sl.Stop(); <-sdone })
	c.up()
	return c
}

// up starts the scheduler, at the address that it had.
func (c *cluster) up() {
	c.t.Helper()
	l, err := eventloop.New()
	if err != nil {
		c.t.Fatal(err)
	}
	h := httpd.DefaultOptions()
	h.Limits.Body = c.s.Limits.Body
	h.Memory = memquota.Divide(int64(c.s.Limits.Memory) << 20).Connections
	c.sch, err = New(l, Options{Engine: c.s.Engine(7, int64(l.Now()*1e6)), Listen: c.s.Listen, Inventory: c.s.Inventory, Version: "test",
		HTTP: h, ConnectWithin: c.s.ConnectWithin, HeardWithin: c.s.HeardWithin, Log: zerolog.Nop()})
	if err != nil {
		c.t.Fatal(err)
	}
	c.l, c.done = l, make(chan error, 1)
	c.s.Listen = c.sch.Addr()
	c.base = "http://" + c.sch.Addr()
	go func(done chan error) { done <- l.Run() }(c.done)
	c.eventually("the scheduler is ready", func() bool { code, _ := c.try("GET", "/readyz", "", nil); return code == 200 })
}

// kill ends the scheduler at once.
func (c *cluster) kill() {
	if c.l != nil {
		c.l.Stop()
		<-c.done
		c.l = nil
	}
}

func (c *cluster) try(method, path, contentType string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, c.base+path, bytes.NewReader(body))
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

func (c *cluster) want(code int, method, path, contentType, body string) []byte {
	c.t.Helper()
	got, b := c.try(method, path, contentType, []byte(body))
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

func (c *cluster) submit(j scenario.Job) {
	c.t.Helper()
	if j.Namespace == "" {
		j.Namespace = "default"
	}
	b, err := json.Marshal(simulation.Job(&j))
	if err != nil {
		c.t.Fatal(err)
	}
	c.want(201, "POST", "/apis/batch/v1/namespaces/"+j.Namespace+"/jobs", "application/json", string(b))
}

func (c *cluster) job(name string) *batchv1.Job {
	code, b := c.try("GET", "/apis/batch/v1/namespaces/default/jobs/"+name, "", nil)
	if code != 200 {
		return nil
	}
	j := &batchv1.Job{}
	if err := json.Unmarshal(b, j); err != nil {
		c.t.Fatal(err)
	}
	return j
}

func settled(j *batchv1.Job) string {
	if j != nil {
		for _, k := range j.Status.Conditions {
			if k.Type == wellknown.Settled {
				return k.Reason
			}
		}
	}
	return ""
}

func has(j *batchv1.Job, kind batchv1.JobConditionType) bool {
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
	var l corev1.PodList
	code, b := c.try("GET", "/api/v1/namespaces/default/pods"+query, "", nil)
	if code == 200 {
		if err := json.Unmarshal(b, &l); err != nil {
			c.t.Fatal(err)
		}
	}
	return l.Items
}

// fault makes machines faulty; none named is all.
func (c *cluster) fault(f fault.Node, nodes ...int) {
	done := make(chan struct{})
	c.sl.Post(func() {
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

// seen counts what passed at the machines.
func (c *cluster) seen(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.events {
		if c.events[i].What == what {
			n++
		}
	}
	return n
}

// audit checks the rules on what passed at the machines so far.
func (c *cluster) audit() {
	c.t.Helper()
	c.mu.Lock()
	events := append([]audit.Event(nil), c.events...)
	c.mu.Unlock()
	r := audit.Check(audit.Config{Classes: simulation.Classes(&c.s), DrainGrace: c.s.Rules.DrainGrace, Slack: 0.5}, events)
	for _, v := range r.Violations {
		c.t.Error(v)
	}
}
