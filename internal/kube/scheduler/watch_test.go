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
	"heathshed/internal/lab/scenario"
)

// A watch that is cut in the middle of an event resumes after its last complete one; from a revision that is no longer kept
// it is rejected.
func TestWatchDisconnectedAndResumed(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) { s.Limits.History = 60 })
	rev := c.revision()
	c.submitJob(scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 10, Cores: 0.1, Memory: 0.1, Lifetime: 60, BackoffLimit: 3})
	c.eventually("all run", func() bool { return len(c.pods("?fieldSelector=status.phase=Running")) == 10 })
	seen := map[string]bool{}
	last := fmt.Sprint(rev)
	for cuts := 0; len(seen) < 30; cuts++ {
		if cuts > 200 {
			t.Fatalf("%d events after %d cuts", len(seen), cuts)
		}
		for _, revision := range c.watchCut(last, int64(2500+cuts*311%4000)) {
			if seen[revision] {
				t.Fatalf("revision %s came twice", revision)
			}
			seen[revision] = true
			last = revision
		}
	}
	// Ten Pods are added, placed and seen running: thirty events. Then the history moves on.
	c.submitJob(scenario.Job{Name: "b", Class: "batch", Service: "s", Tasks: 30, Cores: 0.1, Memory: 0.1, Lifetime: 60, BackoffLimit: 3})
	c.eventually("more run", func() bool { return len(c.pods("?fieldSelector=status.phase=Running")) == 40 })
	c.requireStatus(410, "GET", fmt.Sprintf("/api/v1/pods?watch=1&resourceVersion=%d", rev), "", "")
}

// watchCut watches all Pods from a revision, cuts the connection after so many bytes, and returns the revisions of the
// complete events.
func (c *cluster) watchCut(from string, bytes int64) (revisions []string) {
	c.t.Helper()
	conn := c.connect(fmt.Sprintf("GET /api/v1/pods?watch=1&timeoutSeconds=1&resourceVersion=%s HTTP/1.1\r\nHost: a\r\n\r\n", from))
	defer func() {
		if err := conn.Close(); err != nil {
			c.t.Error(err)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, bytes)), nil)
	if err != nil {
		return nil // cut within the head
	}
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return revisions // an event cut short does not count
		}
		var event struct {
			Type   string
			Object corev1.Pod
		}
		if err := json.Unmarshal(line, &event); err != nil {
			c.t.Fatal(err)
		}
		revisions = append(revisions, event.Object.ResourceVersion)
	}
}

// Many idle watches and a Job of ten thousand tasks side by side: all settle, and a watch sees each of its events.
func TestManyWatchesAndTasks(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) {
		s.Emulator.MaxQueued, s.Emulator.DecisionDelayMin, s.Emulator.DecisionDelayMax = 4096, 0, 0.0001
	})
	const watches, tasks = 5000, 10000
	for i := range watches {
		if err := c.openWatch("GET /api/v1/namespaces/none/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Skipf("only %d connections: %v", i, err)
		}
	}
	c.eventually("all watch", func() bool { return c.watchers() == watches })
	c.requireStatus(201, "POST", jobsPath, jsonType,
		strings.Replace(jobJSON("big", tasks), `"template":{`, `"template":{"metadata":{"annotations":{"heathshed.io/lifetime":"0.5"}},`, 1))
	c.eventually("all settle", func() bool { return settledReason(c.job("big")) != "" })
	if j := c.job("big"); settledReason(j) == "" || c.count(store.Pods) < tasks {
		t.Errorf("%v with %d Pods", j.Status, c.count(store.Pods))
	}
}

// openWatch opens a connection that sends a request and is not read. It returns an error if it cannot be opened.
func (c *cluster) openWatch(request string) error {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.scheduler.Addr())
	if err != nil {
		return err
	}
	c.t.Cleanup(func() { _ = conn.Close() }) // only frees the descriptor
	if _, err := io.WriteString(conn, request); err != nil {
		c.t.Fatal(err)
	}
	return nil
}
