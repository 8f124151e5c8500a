//go:build linux

package scheduler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/store"
)

// A watch that is cut in the middle of an event resumes after its last complete one; from a revision that is no longer kept
// it is rejected.
func TestWatchResumesAfterDisconnect(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) { settings.Limits.History = 60 })
	first := cluster.revision()
	cluster.submitJob(sized(longJob("a", "batch", 10, 3), 0.1))
	cluster.waitUntilRunning(10)
	seen := map[string]bool{}
	last := fmt.Sprint(first)
	for cuts := 0; len(seen) < 30; cuts++ {
		if cuts > 200 {
			t.Fatalf("%d events after %d cuts", len(seen), cuts)
		}
		for _, revision := range cluster.watchCut(last, int64(2500+cuts*311%4000)) {
			if seen[revision] {
				t.Fatalf("revision %s came twice", revision)
			}
			seen[revision] = true
			last = revision
		}
	}
	// Ten Pods are added, placed and seen running: thirty events. Then the history moves on.
	cluster.submitJob(sized(longJob("b", "batch", 30, 3), 0.1))
	cluster.waitUntilRunning(40)
	cluster.requireStatus(410, "GET", fmt.Sprintf("/api/v1/pods?watch=1&resourceVersion=%d", first), "", "")
}

// watchCut watches all Pods from a revision, cuts the connection after so many bytes, and returns the revisions of the
// complete events.
func (cluster *testCluster) watchCut(from string, bytes int64) (revisions []string) {
	cluster.t.Helper()
	conn := cluster.connect(fmt.Sprintf("GET /api/v1/pods?watch=1&timeoutSeconds=1&resourceVersion=%s HTTP/1.1\r\nHost: a\r\n\r\n", from))
	defer func() {
		if err := conn.Close(); err != nil {
			cluster.t.Error(err)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, bytes)), nil)
	if err != nil {
		return nil // cut within the head
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return revisions // an event cut short does not count
		}
		var event struct {
			Type   string
			Object corev1.Pod
		}
		if err := json.Unmarshal(line, &event); err != nil {
			cluster.t.Fatal(err)
		}
		revisions = append(revisions, event.Object.ResourceVersion)
	}
}

// Many idle watches and a Job of ten thousand tasks side by side: all settle, and a watch sees each of its events.
func TestManyWatchesAndTasks(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) {
		emulator := &settings.Emulator
		emulator.MaxQueued, emulator.DecisionDelayMin, emulator.DecisionDelayMax = 4096, 0, 0.0001
	})
	const watches, tasks = 5000, 10000
	for i := range watches {
		if err := cluster.openWatch("GET /api/v1/namespaces/none/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Skipf("only %d connections: %v", i, err)
		}
	}
	cluster.eventually("all watch", func() bool { return cluster.watchers() == watches })
	cluster.requireStatus(201, "POST", jobsPath, jsonType,
		strings.Replace(jobJSON("big", tasks), `"template":{`, `"template":{"metadata":{"annotations":{"heathshed.io/lifetime":"0.5"}},`, 1))
	cluster.waitUntilSettled("big")
	if job := cluster.job("big"); settledReason(job) == "" || cluster.count(store.Pods) < tasks {
		t.Errorf("%v with %d Pods", job.Status, cluster.count(store.Pods))
	}
}

// openWatch opens a connection that sends a request and is not read. It returns an error if it cannot be opened.
func (cluster *testCluster) openWatch(request string) error {
	cluster.t.Helper()
	conn, err := net.Dial("tcp", cluster.scheduler.Addr())
	if err != nil {
		return err
	}
	cluster.t.Cleanup(func() { _ = conn.Close() }) // only frees the descriptor
	if _, err := io.WriteString(conn, request); err != nil {
		cluster.t.Fatal(err)
	}
	return nil
}
