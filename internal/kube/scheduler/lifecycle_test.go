//go:build linux

package scheduler

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
)

// TestRestartAdoptsRunningTasks checks that a scheduler that is killed and started again adopts the tasks
// that still run on the nodes, and does not start them a second time.
func TestRestartAdoptsRunningTasks(t *testing.T) {
	cluster := startCluster(t, nil)
	for _, class := range []string{"once", "batch"} {
		job := longJob(class, class, 8, 3)
		job.Service = class
		cluster.submitJob(job)
	}
	cluster.waitUntilRunning(16)
	uidsBefore := map[string]bool{}
	for _, pod := range cluster.pods("") {
		uidsBefore[string(pod.UID)] = true
	}
	revision := cluster.revision()
	cluster.killScheduler()
	cluster.startScheduler()
	podsAfter := cluster.pods("")
	for _, pod := range podsAfter {
		if !uidsBefore[string(pod.UID)] || wellknown.SettledReason(&pod) != wellknown.Placed {
			t.Errorf("Pod %s after the restart has the settled reason %q", pod.Name, wellknown.SettledReason(&pod))
		}
	}
	if len(podsAfter) != 16 || cluster.countEvents(audit.Started) != 16 {
		t.Errorf("%d Pods after the restart and %d task starts on the nodes, want 16 of each", len(podsAfter), cluster.countEvents(audit.Started))
	}
	for _, name := range []string{"once", "batch"} {
		if job := cluster.job(name); job == nil || job.Status.Active != 8 {
			t.Errorf("Job %s after the restart does not have 8 active Pods: %v", name, job)
		}
	}
	if code, _ := cluster.request("GET", fmt.Sprintf("/api/v1/pods?watch=1&resourceVersion=%d", revision), "", nil); code != 410 {
		t.Errorf("watch from a revision of the scheduler before the restart: status %d, want 410", code)
	}
	// A client that posts the Job again learns that the Job exists.
	cluster.requireStatus(409, "POST", jobsPath, jsonType, jobJSON("once", 8))
	cluster.checkAudit()
}

// TestGracefulStop checks that every accepted task gets a final answer before a scheduler stops, and that
// watches end with a complete response.
func TestGracefulStop(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.injectFault(fault.Node{Stall: 0.3})
	resp, err := http.Get(cluster.baseURL + "/api/v1/pods?watch=1")
	if err != nil {
		t.Fatal(err)
	}
	cluster.submitJob(longJob("a", "once", 10, 3))
	cluster.eventually("a node has received an attempt", func() bool { return cluster.countEvents(audit.AttemptReceived) > 0 })
	stopped := make(chan struct{})
	cluster.loop.Post(func() { cluster.scheduler.Stop(20*time.Second, func() { close(stopped); cluster.loop.Stop() }) })
	// The chunked body of the watch must be complete, and contain the outcome of each task.
	events, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("the response of the watch is incomplete: %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(30 * time.Second):
		t.Fatal("the scheduler did not stop within 30 s")
	}
	settled := map[string]bool{}
	for line := range strings.SplitSeq(strings.TrimSpace(string(events)), "\n") {
		var event struct{ Object corev1.Pod }
		if json.Unmarshal([]byte(line), &event) == nil && wellknown.SettledReason(&event.Object) != "" {
			settled[string(event.Object.UID)] = true
		}
	}
	if len(settled) != 10 {
		t.Errorf("the watch reported the outcomes of %d tasks, want 10", len(settled))
	}
	cluster.checkAudit()
}
