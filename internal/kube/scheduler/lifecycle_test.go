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
	"heathshed/internal/lab/scenario"
)

// A scheduler that is killed while tasks run adopts them when it is started again, and starts none of them anew.
func TestRestartAdoptsRunningTasks(t *testing.T) {
	c := startCluster(t, nil)
	for _, class := range []string{"once", "batch"} {
		c.submitJob(scenario.Job{Name: class, Class: class, Service: class, Tasks: 8, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	}
	c.eventually("all run", func() bool { return len(c.pods("?fieldSelector=status.phase=Running")) == 16 })
	before := map[string]bool{}
	for _, p := range c.pods("") {
		before[string(p.UID)] = true
	}
	rev := c.revision()
	c.killScheduler()
	c.startScheduler()
	after := c.pods("")
	for _, p := range after {
		if !before[string(p.UID)] || wellknown.SettledReason(&p) != wellknown.Placed {
			t.Errorf("%s after the restart: settled as %q", p.Name, wellknown.SettledReason(&p))
		}
	}
	if len(after) != 16 || c.countEvents(audit.Started) != 16 {
		t.Errorf("%d Pods after the restart, %d starts in all, want 16", len(after), c.countEvents(audit.Started))
	}
	for _, name := range []string{"once", "batch"} {
		if j := c.job(name); j == nil || j.Status.Active != 8 {
			t.Errorf("Job %s after the restart: %v", name, j)
		}
	}
	if code, _ := c.request("GET", fmt.Sprintf("/api/v1/pods?watch=1&resourceVersion=%d", rev), "", nil); code != 410 {
		t.Errorf("watch from a revision of the earlier incarnation: status %d, want 410", code)
	}
	// The client posts its Job again: it is there.
	c.requireStatus(409, "POST", jobsPath, jsonType, jobJSON("once", 8))
	c.checkAudit()
}

// A graceful stop: every accepted task gets its outcome and watches end in order.
func TestGracefulStop(t *testing.T) {
	c := startCluster(t, nil)
	c.injectFault(fault.Node{Stall: 0.3})
	resp, err := http.Get(c.baseURL + "/api/v1/pods?watch=1")
	if err != nil {
		t.Fatal(err)
	}
	c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 10, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("attempts are in flight", func() bool { return c.countEvents(audit.AttemptReceived) > 0 })
	stopped := make(chan struct{})
	c.loop.Post(func() { c.scheduler.Stop(20*time.Second, func() { close(stopped); c.loop.Stop() }) })
	// The watch ends with a complete chunked body, after an outcome for each task.
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("the watch broke off: %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(30 * time.Second):
		t.Fatal("did not stop")
	}
	out := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var ev struct{ Object corev1.Pod }
		if json.Unmarshal([]byte(line), &ev) == nil && wellknown.SettledReason(&ev.Object) != "" {
			out[string(ev.Object.UID)] = true
		}
	}
	if len(out) != 10 {
		t.Errorf("%d outcomes of 10", len(out))
	}
	c.checkAudit()
}
