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

// TestWatchResumesAfterDisconnect checks that a client whose watch is disconnected in the middle of an
// event can resume from the last complete event, and receives each event once. A watch from a revision that
// has left the history must be rejected.
func TestWatchResumesAfterDisconnect(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) { settings.Limits.History = 60 })
	firstRevision := cluster.revision()
	cluster.submitJob(withResources(longJob("a", "batch", 10, 3), 0.1))
	cluster.waitUntilRunning(10)
	seenRevisions := map[string]bool{}
	lastRevision := fmt.Sprint(firstRevision)
	for disconnects := 0; len(seenRevisions) < 30; disconnects++ {
		if disconnects > 200 {
			t.Fatalf("only %d events after %d disconnects", len(seenRevisions), disconnects)
		}
		for _, revision := range cluster.readPartialWatch(lastRevision, int64(2500+disconnects*311%4000)) {
			if seenRevisions[revision] {
				t.Fatalf("received the event with revision %s twice", revision)
			}
			seenRevisions[revision] = true
			lastRevision = revision
		}
	}
	// Each of the ten Pods is added, placed and seen running, which makes 30 events. The second Job has
	// enough events to push the first revision out of the history.
	cluster.submitJob(withResources(longJob("b", "batch", 30, 3), 0.1))
	cluster.waitUntilRunning(40)
	cluster.requireStatus(410, "GET", fmt.Sprintf("/api/v1/pods?watch=1&resourceVersion=%d", firstRevision), "", "")
}

// readPartialWatch watches all Pods from a revision, closes the connection after the given number of bytes,
// and returns the revisions of the events that were received completely.
func (cluster *testCluster) readPartialWatch(from string, bytes int64) (revisions []string) {
	cluster.t.Helper()
	conn := cluster.connect(fmt.Sprintf("GET /api/v1/pods?watch=1&timeoutSeconds=1&resourceVersion=%s HTTP/1.1\r\nHost: a\r\n\r\n", from))
	defer func() {
		if err := conn.Close(); err != nil {
			cluster.t.Error(err)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, bytes)), nil)
	if err != nil {
		return nil // disconnected within the head of the response
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return revisions // ignores an incomplete event
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

// TestManyWatchesAndTasks checks that all tasks of a Job with 10,000 tasks settle while 5,000 idle watches
// are open.
func TestManyWatchesAndTasks(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) {
		emulator := &settings.Emulator
		emulator.MaxQueued, emulator.DecisionDelayMin, emulator.DecisionDelayMax = 4096, 0, 0.0001
	})
	const watches, tasks = 5000, 10000
	for i := range watches {
		if err := cluster.openWatch("GET /api/v1/namespaces/none/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Skipf("cannot open more than %d connections: %v", i, err)
		}
	}
	cluster.eventually("all watches are open", func() bool { return cluster.watchers() == watches })
	cluster.requireStatus(201, "POST", jobsPath, jsonType,
		strings.Replace(jobJSON("big", tasks), `"template":{`, `"template":{"metadata":{"annotations":{"heathshed.io/lifetime":"0.5"}},`, 1))
	cluster.waitUntilSettled("big")
	if job := cluster.job("big"); settledReason(job) == "" || cluster.objectCount(store.Pods) < tasks {
		t.Errorf("status of the Job: %v; number of Pods: %d", job.Status, cluster.objectCount(store.Pods))
	}
}

// openWatch opens a connection, sends a request, and never reads the response. It returns an error if the
// connection cannot be opened.
func (cluster *testCluster) openWatch(request string) error {
	cluster.t.Helper()
	conn, err := net.Dial("tcp", cluster.scheduler.Addr())
	if err != nil {
		return err
	}
	cluster.t.Cleanup(func() { _ = conn.Close() }) // only releases the file descriptor
	if _, err := io.WriteString(conn, request); err != nil {
		cluster.t.Fatal(err)
	}
	return nil
}
