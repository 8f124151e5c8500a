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

	auditSlackSeconds = 0.5 // tolerance of the audit for clock differences and latency
)

// testCluster is a scheduler with an emulated inventory and emulated nodes, all in the test process.
type testCluster struct {
	t            testing.TB
	settings     config.Settings
	baseURL      string
	loop         *eventloop.Loop // event loop of the scheduler; nil while the scheduler is not running
	scheduler    *Scheduler
	stopLoop     func()
	emulatorLoop *eventloop.Loop
	inventory    *emulator.Inventory
	nodes        []*emulator.Node

	mu     sync.Mutex
	events []audit.Event // events that the emulators have recorded
}

// startCluster starts a cluster. The function configure, if not nil, changes the default settings first.
func startCluster(tb testing.TB, configure func(*config.Settings)) *testCluster {
	tb.Helper()
	cluster := &testCluster{t: tb, settings: config.Default()}
	settings := &cluster.settings
	settings.Listen = "127.0.0.1:0"
	settings.NodeSyncTimeout = 2
	settings.Emulator.Nodes = 4
	settings.Emulator.ReportDelay = 0.05
	settings.Limits.FinishedTTL = 0
	if configure != nil {
		configure(settings)
	}
	if err := settings.Validate(); err != nil {
		tb.Fatal(err)
	}
	cluster.startEmulators()
	cluster.startScheduler()
	return cluster
}

// startEmulators starts the inventory and the nodes. At the end of the test, the scheduler is stopped
// before them.
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

// startNode starts the emulated node with the given index.
func (cluster *testCluster) startNode(i int) *emulator.Node {
	cluster.t.Helper()
	emulated := labconfig.NodeAt(&cluster.settings, i)
	heartbeat := 100 * time.Millisecond
	if cluster.settings.Emulator.Nodes >= 100 {
		heartbeat = 500 * time.Millisecond // as in heathshed up; benchmarks would measure the inventory otherwise
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

// recordEvent records an event that an emulator observed.
func (cluster *testCluster) recordEvent(event audit.Event) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.events = append(cluster.events, event)
}

// recordedEvents returns a copy of the events recorded so far.
func (cluster *testCluster) recordedEvents() []audit.Event {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return append([]audit.Event(nil), cluster.events...)
}

// startScheduler starts the scheduler and waits until it is ready. A restarted scheduler has the same
// address as before.
func (cluster *testCluster) startScheduler() {
	cluster.t.Helper()
	loop := looptest.New(cluster.t)
	httpOptions := httpd.DefaultOptions()
	httpOptions.Limits.BodyBytes = cluster.settings.Limits.MaxBodyBytes
	httpOptions.MemoryQuotaBytes = memquota.Divide(int64(cluster.settings.Limits.MemoryMiB) << 20).Connections
	var err error
	cluster.scheduler, err = New(loop, Options{
		Engine:           cluster.settings.EngineConfig(7, loop.Now().UnixMicro()),
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

// killScheduler stops the scheduler without a graceful shutdown.
func (cluster *testCluster) killScheduler() {
	if cluster.loop == nil {
		return
	}
	cluster.stopLoop()
	cluster.loop = nil
}

// runOnLoop runs f on the event loop of the scheduler and waits until f returns.
func (cluster *testCluster) runOnLoop(f func()) { runOn(cluster.loop, f) }

// runOnEmulators runs f on the event loop of the emulators and waits until f returns.
func (cluster *testCluster) runOnEmulators(f func()) { runOn(cluster.emulatorLoop, f) }

// runOn runs f on an event loop and waits until f returns.
func runOn(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// connect opens a connection to the scheduler and sends text. The connection is closed at the end of the
// test if it is still open.
func (cluster *testCluster) connect(text string) net.Conn {
	cluster.t.Helper()
	conn, err := net.Dial("tcp", cluster.scheduler.Addr())
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed the connection already
	if _, err := io.WriteString(conn, text); err != nil {
		cluster.t.Fatal(err)
	}
	return conn
}

// request sends a request and returns the status and the body of the response. The status is 0 if there is
// no response.
func (cluster *testCluster) request(method, path, contentType string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(cluster.t.Context(), method, cluster.baseURL+path, bytes.NewReader(body))
	if err != nil {
		cluster.t.Fatal(err)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	req.Close = true // no connection is reused, because tests close connections
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	responseBody, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); closeErr != nil {
		cluster.t.Error(closeErr)
	}
	if err != nil {
		cluster.t.Logf("%s %s: the response body is incomplete: %v", method, path, err)
	}
	return resp.StatusCode, responseBody
}

// requireStatus sends a request and returns the body of the response. It fails the test unless the response
// has the status given by code.
func (cluster *testCluster) requireStatus(code int, method, path, contentType, body string) []byte {
	cluster.t.Helper()
	got, responseBody := cluster.request(method, path, contentType, []byte(body))
	if got != code {
		cluster.t.Fatalf("%s %s: status %d, want %d: %.300s", method, path, got, code, responseBody)
	}
	return responseBody
}

// eventually waits until the condition holds, and fails the test after more than 30 s. The limit is
// generous, because it only has to end a test that hangs.
func (cluster *testCluster) eventually(description string, condition func() bool) {
	cluster.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cluster.t.Fatalf("condition was not met in time: %s", description)
}

// injectFault injects a fault into all nodes.
func (cluster *testCluster) injectFault(injected fault.Node) {
	cluster.runOnEmulators(func() {
		for _, node := range cluster.nodes {
			node.Fault(injected)
		}
	})
}

// countEvents returns the number of recorded events of a kind.
func (cluster *testCluster) countEvents(kind audit.EventKind) int {
	count := 0
	for _, event := range cluster.recordedEvents() {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// checkAudit checks the events recorded so far against the rules of package audit.
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

// watchers returns the number of open watches.
func (cluster *testCluster) watchers() (n int) {
	cluster.runOnLoop(func() { n = cluster.scheduler.apiServer.OpenWatches() })
	return n
}

// revision returns the revision of the last change in the scheduler's store.
func (cluster *testCluster) revision() (revision int64) {
	cluster.runOnLoop(func() { revision = cluster.scheduler.Revision() })
	return revision
}

// objectCount returns the number of stored objects of a resource.
func (cluster *testCluster) objectCount(resource store.Resource) (n int) {
	cluster.runOnLoop(func() { n = cluster.scheduler.ObjectCount(resource) })
	return n
}
