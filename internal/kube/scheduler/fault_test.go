//go:build linux

package scheduler

import (
	"encoding/json"
	"strings"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/scenario"
)

// The response to an accepted attempt is lost: a task that must not run twice is found running and adopted; one that may is
// attempted again and its duplicate stopped. Each settles as placed, and runs once in the end.
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

// No node responds until the deadline: every task has one final outcome, and one that must not run twice is failed rather
// than rejected.
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
		t.Errorf("settled as %s, want %s: none may have run", r, wellknown.Rejected)
	}
	for _, p := range c.pods("") {
		if !strings.Contains(p.Status.Message, "resource: cpu") {
			t.Errorf("%s does not say why: %q", p.Name, p.Status.Message)
		}
	}
	c.checkAudit()
}

// A Job is deleted while its attempts are in flight: no task of it is left on any node.
func TestDeleteWithAttemptsInFlight(t *testing.T) {
	for _, how := range []string{"Background", "Foreground"} {
		t.Run(how, func(t *testing.T) {
			c := startCluster(t, nil)
			c.injectFault(fault.Node{Stall: 0.5})
			c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 10, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
			c.eventually("attempts are in flight", func() bool { return c.countEvents(audit.AttemptReceived) > 0 })
			c.requireStatus(200, "DELETE", jobsPath+"/a?propagationPolicy="+how, "", "")
			c.eventually("Job and Pods are deleted", func() bool { return len(c.pods("")) == 0 && c.job("a") == nil })
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

// The inventory is unreachable, then empty, then complete: running tasks go on, none that must not run twice is started again,
// and new ones are placed afterwards.
func TestInventoryDisconnectedAndEmpty(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) { s.Limits.NodeLossTimeout = 0.5 })
	c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 8, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("all run", func() bool { return len(c.pods("?fieldSelector=status.phase=Running")) == 8 })
	c.emulatorLoop.Post(func() { c.inventory.Fault(fault.Inventory{Unreachable: 0.5}) })
	c.submitJob(scenario.Job{Name: "b", Class: "batch", Service: "s", Tasks: 4, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("b is settled by the last list of nodes", func() bool { return settledReason(c.job("b")) == wellknown.Placed })
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
	c.eventually("the nodes are listed again", func() bool { return nodes() == len(c.nodes) })
	c.submitJob(scenario.Job{Name: "c", Class: "batch", Service: "s", Tasks: 4, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 3})
	c.eventually("c is settled", func() bool { return settledReason(c.job("c")) == wellknown.Placed })
	if n := len(c.pods("?labelSelector=job-name=a&fieldSelector=status.phase=Running")); n != 8 || c.job("a").Status.Failed != 0 {
		t.Errorf("%d of 8 tasks run, %v", n, c.job("a").Status)
	}
	c.checkAudit()
}

// Responses that come a few bytes at a time are read completely, and no attempt is repeated because of them.
func TestTrickledResponses(t *testing.T) {
	c := startCluster(t, nil)
	c.injectFault(fault.Node{Trickle: 0.5})
	c.submitJob(scenario.Job{Name: "a", Class: "once", Service: "s", Tasks: 4, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: 0})
	c.eventually("settled", func() bool { return settledReason(c.job("a")) != "" })
	if r := settledReason(c.job("a")); r != wellknown.Placed || c.countEvents(audit.AttemptReceived) != 4 {
		t.Errorf("settled as %s after %d attempts", r, c.countEvents(audit.AttemptReceived))
	}
	c.checkAudit()
}
