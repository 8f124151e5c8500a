//go:build linux

package scheduler

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heathshed/internal/config"
	"heathshed/internal/control/clock"
	"heathshed/internal/control/memquota"
	"heathshed/internal/kube/store"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/lab/simulation"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/httpd"
	"heathshed/internal/testsupport/looptest"
	"heathshed/placer"
)

const (
	jobsPath = "/apis/batch/v1/namespaces/default/jobs"
	jsonType = "application/json"

	auditSlackSeconds = 0.5
)

// testCluster is a scheduler with an emulated inventory and emulated nodes, in this process.
type testCluster struct {
	t            testing.TB
	settings     config.Settings
	baseURL      string
	loop         *eventloop.Loop // of the scheduler; nil while it is not running
	scheduler    *Scheduler
	stopLoop     func()
	emulatorLoop *eventloop.Loop
	inventory    *emulator.Inventory
	nodes        []*emulator.Node

	mu     sync.Mutex
	events []audit.Event // what the emulators have seen
}

// startCluster starts a cluster with the default settings as changed.
func startCluster(tb testing.TB, change func(*config.Settings)) *testCluster {
	tb.Helper()
	cluster := &testCluster{t: tb, settings: config.Default()}
	settings := &cluster.settings
	settings.Listen = "127.0.0.1:0"
	settings.NodeSyncTimeout = 2
	settings.Emulator.Nodes = 4
	settings.Emulator.ReportDelay = 0.05
	settings.Limits.FinishedTTL = 0
	if change != nil {
		change(settings)
	}
	if err := settings.Validate(); err != nil {
		tb.Fatal(err)
	}
	cluster.startEmulators()
	cluster.startScheduler()
	return cluster
}

// startEmulators starts the inventory and the nodes. The scheduler, which uses them, is stopped before them.
func (cluster *testCluster) startEmulators() {
	cluster.t.Helper()
	loop := looptest.New(cluster.t)
	cluster.emulatorLoop = loop
	var err error
	cluster.inventory, err = emulator.StartInventory(loop, emulator.InventoryOptions{
		Listen:            "127.0.0.1:0",
		PublishDelay:      clock.Duration(cluster.settings.Emulator.ReportDelay),
		UnresponsiveAfter: time.Second,
		OnEvent:           cluster.recordEvent,
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.settings.Inventory = cluster.inventory.Addr()
	for i := range cluster.settings.Emulator.Nodes {
		cluster.nodes = append(cluster.nodes, cluster.startNode(i))
	}
	stop := looptest.Run(cluster.t, loop)
	cluster.t.Cleanup(func() {
		cluster.killScheduler()
		stop()
	})
}

func (cluster *testCluster) startNode(i int) *emulator.Node {
	cluster.t.Helper()
	emulated := labconfig.NodeAt(&cluster.settings, i)
	heartbeat := 100 * time.Millisecond
	if cluster.settings.Emulator.Nodes >= 100 {
		heartbeat = 500 * time.Millisecond // as heathshed up has it; more would measure the inventory
	}
	node, err := emulator.StartNode(cluster.emulatorLoop, emulator.NodeOptions{
		Name:           simulation.NodeName(i),
		Zone:           emulated.Zone,
		Rack:           emulated.Rack,
		Kind:           emulated.NodeType,
		Listen:         "127.0.0.1:0",
		Inventory:      cluster.inventory.Addr(),
		ReportInterval: heartbeat,
		Sim:            emulated.Sim,
		Priorities:     labconfig.Priorities(&cluster.settings),
		OnEvent:        cluster.recordEvent,
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	return node
}

func (cluster *testCluster) recordEvent(event audit.Event) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.events = append(cluster.events, event)
}

// recordedEvents is a copy of what the emulators have seen so far.
func (cluster *testCluster) recordedEvents() []audit.Event {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return append([]audit.Event(nil), cluster.events...)
}

// startScheduler starts the scheduler, at the address that it had, and waits until it is ready.
func (cluster *testCluster) startScheduler() {
	cluster.t.Helper()
	loop := looptest.New(cluster.t)
	httpOptions := httpd.DefaultOptions()
	httpOptions.Limits.BodyBytes = cluster.settings.Limits.MaxBodyBytes
	httpOptions.MemoryQuotaBytes = memquota.Divide(int64(cluster.settings.Limits.MemoryMiB) << 20).Connections
	var err error
	cluster.scheduler, err = New(loop, Options{
		Engine:           cluster.settings.Engine(7, loop.Now().UnixMicro()),
		ListenAddress:    cluster.settings.Listen,
		InventoryAddress: cluster.settings.Inventory,
		Version:          "test",
		HTTP:             httpOptions,
		ConnectTimeout:   clock.Duration(cluster.settings.ConnectTimeout),
		NodeSyncTimeout:  clock.Duration(cluster.settings.NodeSyncTimeout),
		Log:              zerolog.Nop(),
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.loop = loop
	cluster.stopLoop = looptest.Run(cluster.t, loop)
	cluster.settings.Listen = cluster.scheduler.Addr()
	cluster.baseURL = "http://" + cluster.scheduler.Addr()
	cluster.eventually("the scheduler is ready", func() bool { code, _ := cluster.request("GET", "/readyz", "", nil); return code == 200 })
}

// killScheduler ends the scheduler at once.
func (cluster *testCluster) killScheduler() {
	if cluster.loop == nil {
		return
	}
	cluster.stopLoop()
	cluster.loop = nil
}

// runOnLoop runs f on the scheduler's loop and waits for it.
func (cluster *testCluster) runOnLoop(f func()) { runOn(cluster.loop, f) }

// runOnEmulators runs f on the emulators' loop and waits for it.
func (cluster *testCluster) runOnEmulators(f func()) { runOn(cluster.emulatorLoop, f) }

func runOn(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// connect opens a connection to the scheduler and sends text. It is closed at the end of the test at the latest.
func (cluster *testCluster) connect(text string) net.Conn {
	cluster.t.Helper()
	conn, err := net.Dial("tcp", cluster.scheduler.Addr())
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(func() { _ = conn.Close() }) // only frees the descriptor: the test may have closed it
	if _, err := io.WriteString(conn, text); err != nil {
		cluster.t.Fatal(err)
	}
	return conn
}

// request returns status and body of a response; 0 if there is none.
func (cluster *testCluster) request(method, path, contentType string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(cluster.t.Context(), method, cluster.baseURL+path, bytes.NewReader(body))
	if err != nil {
		cluster.t.Fatal(err)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	req.Close = true // tests break connections; none is used twice
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	answer, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); closeErr != nil {
		cluster.t.Error(closeErr)
	}
	if err != nil {
		cluster.t.Logf("%s %s: body ends early: %v", method, path, err)
	}
	return resp.StatusCode, answer
}

// requireStatus sends a request, fails the test unless the response has the status, and returns its body.
func (cluster *testCluster) requireStatus(code int, method, path, contentType, body string) []byte {
	cluster.t.Helper()
	got, answer := cluster.request(method, path, contentType, []byte(body))
	if got != code {
		cluster.t.Fatalf("%s %s: status %d, want %d: %.300s", method, path, got, code, answer)
	}
	return answer
}

// eventually waits for a state, not for a time: the limit only ends a test that hangs.
func (cluster *testCluster) eventually(what string, isSo func() bool) {
	cluster.t.Helper()
	for range 3000 {
		if isSo() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cluster.t.Fatalf("never seen: %s", what)
}

// injectFault makes all nodes faulty.
func (cluster *testCluster) injectFault(injected fault.Node) {
	cluster.runOnEmulators(func() {
		for _, node := range cluster.nodes {
			node.Fault(injected)
		}
	})
}

// countEvents counts the events of a kind at the nodes.
func (cluster *testCluster) countEvents(kind audit.EventKind) int {
	count := 0
	for _, event := range cluster.recordedEvents() {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// checkAudit checks the rules on what the nodes have seen so far.
func (cluster *testCluster) checkAudit() {
	cluster.t.Helper()
	auditConfig := audit.Config{
		Classes:    simulation.AuditClasses(&cluster.settings),
		DrainGrace: placer.Seconds(cluster.settings.Timing.DrainGrace),
		Slack:      auditSlackSeconds,
	}
	for _, violation := range audit.Check(auditConfig, cluster.recordedEvents()).Violations {
		cluster.t.Error(violation)
	}
}

// watchers is the number of open watches.
func (cluster *testCluster) watchers() (n int) {
	cluster.runOnLoop(func() { n = cluster.scheduler.apiServer.OpenWatches() })
	return n
}

// revision is the revision of the last change.
func (cluster *testCluster) revision() (revision int64) {
	cluster.runOnLoop(func() { revision = cluster.scheduler.Revision() })
	return revision
}

// count is the number of objects of a resource.
func (cluster *testCluster) count(resource store.Resource) (n int) {
	cluster.runOnLoop(func() { n = cluster.scheduler.ObjectCount(resource) })
	return n
}
