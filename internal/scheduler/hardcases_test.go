//go:build linux

package scheduler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/emulator/fault"
	"heathshed/internal/scenario"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
)

// An accepted offer whose answer is lost: a task that must not run twice is found running and adopted, one that may is asked again
// and its copy stopped; each settles as placed, and runs once in the end.
func TestLostResponses(t *testing.T) {
	for _, class := range []string{"once", "keyed", "web"} {
		t.Run(class, func(t *testing.T) {
			c := startCluster(t, func(s *config.Settings) { s.Retry.UnknownOutcomeTimeout = 1 })
			c.injectFault(fault.Node{LoseAnswer: 0.4})
			c.submitJob(scenario.Job{Name: "a", Class: class, Service: "s", Tasks: 6, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 6})
			c.eventually("settled", func() bool { return settledReason(c.job("a")) != "" })
			if r := settledReason(c.job("a")); r != wellknown.Placed {
				t.Errorf("settled as %s", r)
			}
			c.eventually("all run once", func() bool {
				live := map[string]int{}
				for _, ev := range c.recordedEvents() {
					switch ev.Kind {
					case audit.Accepted:
						live[ev.UID]++
					case audit.Ended:
						live[ev.UID]--
					}
				}
				for _, n := range live {
					if n != 1 {
						return false
					}
				}
				return len(live) == 6
			})
			c.checkAudit()
		})
	}
}

// Nothing answers until the deadline: every task has its one final answer, and one that must not run twice is not refused but failed.
func TestDeadlineOnTimeout(t *testing.T) {
	for class, want := range map[string]string{"web": wellknown.Rejected, "once": wellknown.Failed} {
		t.Run(class, func(t *testing.T) {
			c := startCluster(t, func(s *config.Settings) {
				for i := range s.Classes {
					s.Classes[i].Deadline = 1
				}
				s.Retry.UnknownOutcomeTimeout = 0.3
			})
			c.injectFault(fault.Node{Stall: 3})
			c.submitJob(scenario.Job{Name: "a", Class: class, Service: "s", Tasks: 5, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 0})
			c.eventually("settled", func() bool { return settledReason(c.job("a")) != "" })
			for _, p := range c.pods("") {
				if r := wellknown.SettledReason(&p); r != want && r != wellknown.Failed {
					t.Errorf("%s: %s", p.Name, r)
				}
			}
			c.eventually("the Job ends", func() bool { return hasCondition(c.job("a"), batchv1.JobFailed) })
			c.checkAudit()
		})
	}
}

func TestAllNodesReject(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) {
		s.Classes[1].Deadline = 1.5
	})
	c.injectFault(fault.Node{Reject: 100})
	c.submitJob(scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 5, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 1})
	c.eventually("settled", func() bool { return settledReason(c.job("a")) != "" })
	if r := settledReason(c.job("a")); r != wellknown.Rejected {
		t.Errorf("settled as %s, want Refused: none may have run", r)
	}
	for _, p := range c.pods("") {
		if !strings.Contains(p.Status.Message, "resource: cpu") {
			t.Errorf("%s does not say why: %q", p.Name, p.Status.Message)
		}
	}
	c.checkAudit()
}

// The scheduler is killed with tasks running and started again: it takes them over and starts none of them anew.
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
		t.Errorf("watch from a revision of the earlier life: status %d, want 410", code)
	}
	// The client posts its Job again: it is there.
	c.requireStatus(409, "POST", jobsPath, jsonType, jobJSON("once", 8))
	c.checkAudit()
}

func jobJSON(name string, n int) string {
	return fmt.Sprintf(`{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":%q},"spec":{"parallelism":%d,"completions":%d,"template":{"spec":{`+
		`"restartPolicy":"Never","containers":[{"name":"m","image":"i","resources":{"requests":{"cpu":"10m","memory":"1Mi"}}}]}}}}`, name, n, n)
}

// A Job is deleted while its offers are out: no task of it stays anywhere.
func TestDeleteWithAttemptsInFlight(t *testing.T) {
	for _, how := range []string{"Background", "Foreground"} {
		t.Run(how, func(t *testing.T) {
			c := startCluster(t, nil)
			c.injectFault(fault.Node{Stall: 0.5})
			c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 10, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
			c.eventually("offers are out", func() bool { return c.countEvents(audit.AttemptReceived) > 0 })
			c.requireStatus(200, "DELETE", jobsPath+"/a?propagationPolicy="+how, "", "")
			c.eventually("all is gone", func() bool { return len(c.pods("")) == 0 && c.job("a") == nil })
			c.eventually("no task is left on a node", func() bool { return c.runningTasks() == 0 })
			c.checkAudit()
		})
	}
}

// runningTasks counts the tasks on all nodes.
func (c *cluster) runningTasks() int {
	n := 0
	c.runOnEmulators(func() {
		for _, node := range c.nodes {
			n += node.Sim().ActiveTasks()
		}
	})
	return n
}

// A watch that is cut in the middle of an event resumes where it was; one whose history is gone is told so.
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

func TestRejectedRequests(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) { s.Limits.MaxBodyBytes, s.Limits.MaxPods = 4096, 50 })
	body := jobJSON("fit", 1)
	pad := func(n int) string { return body + strings.Repeat(" ", n-len(body)) }
	c.requireStatus(201, "POST", jobsPath, jsonType, pad(4096))
	c.requireStatus(413, "POST", jobsPath, jsonType, pad(4097))
	for _, x := range []struct {
		code                         int
		method, path, ct, body, says string
	}{
		{400, "POST", jobsPath, jsonType, "{", "unexpected end"},
		{400, "POST", jobsPath + "?fieldValidation=Strict", "application/json", strings.Replace(jobJSON("x", 1), `"spec":{"par`, `"spek":1,"spec":{"par`, 1), "spek"},
		{400, "POST", jobsPath, jsonType, strings.Replace(jobJSON("x", 1), `"Job"`, `"Pod"`, 1), "want a Job"},
		{404, "POST", "/apis/batch/v1/namespaces/none/jobs", "application/json", jobJSON("x", 1), "none"},
		{404, "GET", "/apis/apps/v1/deployments", "", "", "could not find"},
		{405, "POST", "/api/v1/nodes", "application/json", "{}", "not supported"},
		{405, "DELETE", "/api/v1/nodes/node-01", "", "", "not supported"},
		{409, "POST", jobsPath, jsonType, body, "already exists"},
		{415, "POST", jobsPath, "application/yaml", "a: b", "accepted media types"},
		{415, "PATCH", "/api/v1/nodes/node-01", "application/apply-patch+yaml", "{}", "content-type"},
		{422, "POST", jobsPath, jsonType, strings.Replace(jobJSON("x", 1), "Never", "Always", 1), "restartPolicy"},
		{422, "POST", jobsPath, jsonType, jobJSON("X!", 1), "metadata.name"},
		{422, "POST", jobsPath, jsonType, strings.Replace(jobJSON("x", 1), `"10m"`, `"-1"`, 1), "requests"},
		{422, "PATCH", "/api/v1/nodes/node-01", "application/merge-patch+json", `{"metadata":{"labels":{"heathshed.io/rack":"z"}}}`, "inventory"},
		{429, "POST", jobsPath, jsonType, jobJSON("many", 50), "too many"},
		{400, "GET", "/api/v1/pods?fieldSelector=spec.x=1", "", "", "not supported"},
		{400, "GET", "/api/v1/pods?resourceVersion=x", "", "", "resource version"},
		{400, "GET", "/api/v1/pods?continue=x", "", "", "continue"},
		{504, "GET", "/api/v1/pods?resourceVersion=9999999999999999", "", "", "Too large"},
	} {
		b := c.requireStatus(x.code, x.method, x.path, x.ct, x.body)
		var status struct{ Kind, Message string }
		if json.Unmarshal(b, &status) != nil || status.Kind != "Status" || !strings.Contains(status.Message, x.says) {
			t.Errorf("%d %s %s: %.300s, want a Status with %q", x.code, x.method, x.path, b, x.says)
		}
	}
	req, _ := http.NewRequest("GET", c.baseURL+"/api/v1/pods", nil)
	req.Header.Set("Accept", "text/html")
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != 406 {
		t.Errorf("accept: %v, %v", resp, err)
	}
	unknown := strings.Replace(jobJSON("warned", 1), `"spec":{"par`, `"spek":1,"spec":{"par`, 1)
	resp, err := http.Post(c.baseURL+jobsPath, jsonType, strings.NewReader(unknown))
	if err != nil || resp.StatusCode != 201 || !strings.Contains(resp.Header.Get("Warning"), "spek") {
		t.Errorf("unknown field: %v, %v", resp, err)
	}
}

// Ten thousand requests in one pipeline are answered in order; half-open and slow peers hold up nobody.
func TestPipelineAndHalfOpen(t *testing.T) {
	c := startCluster(t, nil)
	var silent []net.Conn
	for range 50 {
		silent = append(silent, c.connect("GET /livez HT")) // and nothing more
	}
	conn := c.connect("")
	const n = 10000
	go func() {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "GET /api/v1/nodes/x%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			t.Errorf("sending the pipeline: %v", err)
		}
	}()
	r := bufio.NewReader(conn)
	for i := range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if resp.StatusCode != 404 || !strings.Contains(string(b), strconv.Quote(fmt.Sprint("x", i))[1:]) {
			t.Fatalf("answer %d: %d %.200s", i, resp.StatusCode, b)
		}
	}
	for _, half := range silent {
		if err := half.Close(); err != nil {
			t.Error(err)
		}
	}
	c.eventually("half-open connections are let go", func() bool {
		var n int
		c.runOnLoop(func() { n = c.scheduler.httpServer.Conns() })
		return n <= 2
	})
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

// A stop in order: what was taken gets its answer, watches end cleanly, nothing new is taken.
func TestGracefulStop(t *testing.T) {
	c := startCluster(t, nil)
	c.injectFault(fault.Node{Stall: 0.3})
	resp, err := http.Get(c.baseURL + "/api/v1/pods?watch=1")
	if err != nil {
		t.Fatal(err)
	}
	c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 10, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("offers are out", func() bool { return c.countEvents(audit.AttemptReceived) > 0 })
	stopped := make(chan struct{})
	c.loop.Post(func() { c.scheduler.Stop(20, func() { close(stopped); c.loop.Stop() }) })
	// The watch ends with a whole chunked body, after an outcome for each task.
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

// The inventory goes away, comes back empty, then whole: what runs goes on, nothing that must not run twice is started again, and new
// work is placed afterwards.
func TestInventoryDisconnectedAndEmpty(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) { s.Limits.NodeLossTimeout = 0.5 })
	c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 8, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("all run", func() bool { return len(c.pods("?fieldSelector=status.phase=Running")) == 8 })
	c.emulatorLoop.Post(func() { c.inventory.Fault(fault.Inventory{Unreachable: 0.5}) })
	c.submitJob(scenario.Job{Name: "b", Class: "batch", Service: "s", Tasks: 4, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("b is settled by the list as it was", func() bool { return settledReason(c.job("b")) == wellknown.Placed })
	nodes := func() int {
		var l corev1.NodeList
		if code, b := c.request("GET", "/api/v1/nodes", "", nil); code != 200 || json.Unmarshal(b, &l) != nil {
			return -1
		}
		return len(l.Items)
	}
	c.eventually("the inventory is back", func() bool {
		var n int
		c.runOnEmulators(func() {
			c.inventory.Fault(fault.Inventory{Empty: 1.5})
			n = c.inventory.NodeCount()
		})
		return n == 0 && nodes() == 0
	})
	c.eventually("the machines are listed again", func() bool { return nodes() == len(c.nodes) })
	c.submitJob(scenario.Job{Name: "c", Class: "batch", Service: "s", Tasks: 4, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("c is settled", func() bool { return settledReason(c.job("c")) == wellknown.Placed })
	if n := len(c.pods("?labelSelector=job-name=a&fieldSelector=status.phase=Running")); n != 8 || c.job("a").Status.Failed != 0 {
		t.Errorf("%d of 8 tasks run, %v", n, c.job("a").Status)
	}
	c.checkAudit()
}

// Answers that trickle a few bytes at a time are read whole; nothing is asked twice on their account.
func TestTrickledResponses(t *testing.T) {
	c := startCluster(t, nil)
	c.injectFault(fault.Node{Trickle: 0.5})
	c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 4, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 0})
	c.eventually("settled", func() bool { return settledReason(c.job("a")) != "" })
	if r := settledReason(c.job("a")); r != wellknown.Placed || c.countEvents(audit.AttemptReceived) != 4 {
		t.Errorf("settled as %s after %d offers", r, c.countEvents(audit.AttemptReceived))
	}
	c.checkAudit()
}
