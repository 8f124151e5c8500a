//go:build linux

package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/control/clock"
	"heathshed/internal/control/memquota"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/httpd"
)

const (
	jobsPath = "/apis/batch/v1/namespaces/default/jobs"
	jsonType = "application/json"

	auditSlackSeconds = 0.5
)

// cluster is a scheduler with an emulated inventory and emulated nodes, in this process.
type cluster struct {
	t            testing.TB
	settings     config.Settings
	baseURL      string
	loop         *eventloop.Loop // of the scheduler; nil while it is not running
	scheduler    *Scheduler
	loopDone     chan error
	emulatorLoop *eventloop.Loop
	inventory    *emulator.Inventory
	nodes        []*emulator.Node

	mu     sync.Mutex
	events []audit.Event // what the emulators have seen
}

// startCluster starts a cluster with the default settings as changed.
func startCluster(tb testing.TB, change func(*config.Settings)) *cluster {
	tb.Helper()
	c := &cluster{t: tb, settings: config.Default()}
	s := &c.settings
	s.Listen = "127.0.0.1:0"
	s.NodeSyncTimeout = 2
	s.Emulator.Nodes = 4
	s.Emulator.ReportDelay = 0.05
	s.Limits.FinishedTTL = 0
	if change != nil {
		change(s)
	}
	if err := s.Validate(); err != nil {
		tb.Fatal(err)
	}
	c.startEmulators()
	c.startScheduler()
	return c
}

// startEmulators starts the inventory and the nodes. The scheduler, which uses them, is stopped before them.
func (c *cluster) startEmulators() {
	c.t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		c.t.Fatal(err)
	}
	c.emulatorLoop = loop
	c.inventory, err = emulator.StartInventory(loop, emulator.InventoryOptions{
		Listen:            "127.0.0.1:0",
		PublishDelay:      clock.Duration(c.settings.Emulator.ReportDelay),
		UnresponsiveAfter: time.Second,
		OnEvent:           c.recordEvent,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.settings.Inventory = c.inventory.Addr()
	for i := range c.settings.Emulator.Nodes {
		c.nodes = append(c.nodes, c.startNode(i))
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	c.t.Cleanup(func() {
		c.killScheduler()
		loop.Stop()
		if err := <-done; err != nil {
			c.t.Errorf("emulators: %v", err)
		}
	})
}

func (c *cluster) startNode(i int) *emulator.Node {
	c.t.Helper()
	emulated := labconfig.NodeAt(&c.settings, i)
	heartbeat := 100 * time.Millisecond
	if c.settings.Emulator.Nodes >= 100 {
		heartbeat = 500 * time.Millisecond // as heathshed up has it; more would measure the inventory
	}
	node, err := emulator.StartNode(c.emulatorLoop, emulator.NodeOptions{
		Name:           simulation.NodeName(i),
		Zone:           emulated.Zone,
		Rack:           emulated.Rack,
		Kind:           emulated.NodeType,
		Listen:         "127.0.0.1:0",
		Inventory:      c.inventory.Addr(),
		ReportInterval: heartbeat,
		Sim:            emulated.Sim,
		Priorities:     labconfig.Priorities(&c.settings),
		OnEvent:        c.recordEvent,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return node
}

func (c *cluster) recordEvent(event audit.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
}

// recordedEvents is a copy of what the emulators have seen so far.
func (c *cluster) recordedEvents() []audit.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]audit.Event(nil), c.events...)
}

// startScheduler starts the scheduler, at the address that it had, and waits until it is ready.
func (c *cluster) startScheduler() {
	c.t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		c.t.Fatal(err)
	}
	httpOptions := httpd.DefaultOptions()
	httpOptions.Limits.Body = c.settings.Limits.MaxBodyBytes
	httpOptions.MemoryBytes = memquota.Divide(int64(c.settings.Limits.MemoryMiB) << 20).Connections
	c.scheduler, err = New(loop, Options{
		Engine:           c.settings.Engine(7, loop.Now().UnixMicro()),
		ListenAddress:    c.settings.Listen,
		InventoryAddress: c.settings.Inventory,
		Version:          "test",
		HTTP:             httpOptions,
		ConnectTimeout:   clock.Duration(c.settings.ConnectTimeout),
		NodeSyncTimeout:  clock.Duration(c.settings.NodeSyncTimeout),
		Log:              zerolog.Nop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run() }()
	c.loop = loop
	c.loopDone = done
	c.settings.Listen = c.scheduler.Addr()
	c.baseURL = "http://" + c.scheduler.Addr()
	c.eventually("the scheduler is ready", func() bool { code, _ := c.request("GET", "/readyz", "", nil); return code == 200 })
}

// killScheduler ends the scheduler at once.
func (c *cluster) killScheduler() {
	if c.loop == nil {
		return
	}
	c.loop.Stop()
	if err := <-c.loopDone; err != nil {
		c.t.Errorf("scheduler: %v", err)
	}
	c.loop = nil
}

// runOnLoop runs f on the scheduler's loop and waits for it.
func (c *cluster) runOnLoop(f func()) { runOn(c.loop, f) }

// runOnEmulators runs f on the emulators' loop and waits for it.
func (c *cluster) runOnEmulators(f func()) { runOn(c.emulatorLoop, f) }

func runOn(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// connect opens a connection to the scheduler and sends text. It is closed at the end of the test at the latest.
func (c *cluster) connect(text string) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.scheduler.Addr())
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() }) // only frees the descriptor: the test may have closed it
	if _, err := io.WriteString(conn, text); err != nil {
		c.t.Fatal(err)
	}
	return conn
}

// request returns status and body of a response; 0 if there is none.
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
	b, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); closeErr != nil {
		c.t.Error(closeErr)
	}
	if err != nil {
		c.t.Logf("%s %s: body ends early: %v", method, path, err)
	}
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
	code, b := c.request("GET", jobsPath+"/"+name, "", nil)
	if code != 200 {
		return nil
	}
	j := &batchv1.Job{}
	if err := json.Unmarshal(b, j); err != nil {
		c.t.Fatal(err)
	}
	return j
}

// settledReason is the reason of a Job's Settled condition, or "" if it has none.
func settledReason(job *batchv1.Job) string {
	if job == nil {
		return ""
	}
	for _, condition := range job.Status.Conditions {
		if condition.Type == wellknown.Settled {
			return condition.Reason
		}
	}
	return ""
}

func hasCondition(job *batchv1.Job, kind batchv1.JobConditionType) bool {
	if job == nil {
		return false
	}
	for _, condition := range job.Status.Conditions {
		if condition.Type == kind && condition.Status == corev1.ConditionTrue {
			return true
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

// injectFault makes all nodes faulty.
func (c *cluster) injectFault(f fault.Node) {
	c.runOnEmulators(func() {
		for _, node := range c.nodes {
			node.Fault(f)
		}
	})
}

// countEvents counts the events of a kind at the nodes.
func (c *cluster) countEvents(kind string) int {
	n := 0
	for _, event := range c.recordedEvents() {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

// checkAudit checks the rules on what the nodes have seen so far.
func (c *cluster) checkAudit() {
	c.t.Helper()
	auditConfig := audit.Config{
		Classes:    simulation.AuditClasses(&c.settings),
		DrainGrace: c.settings.Timing.DrainGrace.Seconds(),
		Slack:      auditSlackSeconds,
	}
	for _, violation := range audit.Check(auditConfig, c.recordedEvents()).Violations {
		c.t.Error(violation)
	}
}

func jobJSON(name string, n int) string {
	return fmt.Sprintf(`{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":%q},"spec":{"parallelism":%d,"completions":%d,"template":{"spec":{`+
		`"restartPolicy":"Never","containers":[{"name":"m","image":"i","resources":{"requests":{"cpu":"10m","memory":"1Mi"}}}]}}}}`, name, n, n)
}

// watchers is the number of open watches.
func (c *cluster) watchers() (n int) {
	c.runOnLoop(func() { n = c.scheduler.apiServer.Watchers() })
	return n
}

// revision is the revision of the last change.
func (c *cluster) revision() (revision int64) {
	c.runOnLoop(func() { revision = c.scheduler.Revision() })
	return revision
}

// count is the number of objects of a resource.
func (c *cluster) count(resource store.Resource) (n int) {
	c.runOnLoop(func() { n = c.scheduler.ObjectCount(resource) })
	return n
}
