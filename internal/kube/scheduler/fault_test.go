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
)

// The response to an accepted attempt is lost: a task that must not run twice is found running and adopted; one that may is
// attempted again and its duplicate stopped. Each settles as placed, and runs once in the end.
func TestLostResponses(t *testing.T) {
	for _, class := range []string{"once", "keyed", "web"} {
		t.Run(class, func(t *testing.T) {
			cluster := startCluster(t, func(settings *config.Settings) { settings.Retry.UnknownOutcomeTimeout = 1 })
			cluster.injectFault(fault.Node{LoseAnswer: 0.4})
			cluster.submitJob(longJob("a", class, 6, 6))
			if reason := cluster.waitUntilSettled("a"); reason != wellknown.Placed {
				t.Errorf("settled as %s", reason)
			}
			cluster.eventually("all run once", func() bool {
				copies := map[string]int{} // of each task, on all nodes
				for _, event := range cluster.recordedEvents() {
					switch event.Kind {
					case audit.Accepted:
						copies[event.UID]++
					case audit.Ended:
						copies[event.UID]--
					}
				}
				for _, count := range copies {
					if count != 1 {
						return false
					}
				}
				return len(copies) == 6
			})
			cluster.checkAudit()
		})
	}
}

// No node responds until the deadline: every task has one final outcome, and one that must not run twice is failed rather
// than rejected.
func TestDeadlineWithoutResponses(t *testing.T) {
	for class, want := range map[string]string{"web": wellknown.Rejected, "once": wellknown.Failed} {
		t.Run(class, func(t *testing.T) {
			cluster := startCluster(t, func(settings *config.Settings) {
				for i := range settings.Classes {
					settings.Classes[i].Deadline = 1
				}
				settings.Retry.UnknownOutcomeTimeout = 0.3
			})
			cluster.injectFault(fault.Node{Stall: 3})
			cluster.submitJob(longJob("a", class, 5, 0))
			cluster.waitUntilSettled("a")
			for _, pod := range cluster.pods("") {
				if reason := wellknown.SettledReason(&pod); reason != want && reason != wellknown.Failed {
					t.Errorf("%s: settled as %s, want %s or %s", pod.Name, reason, want, wellknown.Failed)
				}
			}
			cluster.eventually("the Job ends", func() bool { return hasCondition(cluster.job("a"), batchv1.JobFailed) })
			cluster.checkAudit()
		})
	}
}

func TestAllNodesReject(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) {
		settings.Classes[1].Deadline = 1.5
	})
	cluster.injectFault(fault.Node{Reject: 100})
	cluster.submitJob(longJob("a", "batch", 5, 1))
	if reason := cluster.waitUntilSettled("a"); reason != wellknown.Rejected {
		t.Errorf("settled as %s, want %s: none may have run", reason, wellknown.Rejected)
	}
	for _, pod := range cluster.pods("") {
		if !strings.Contains(pod.Status.Message, "resource: cpu") {
			t.Errorf("%s does not say why: %q", pod.Name, pod.Status.Message)
		}
	}
	cluster.checkAudit()
}

// A Job is deleted while its attempts are in flight: no task of it is left on any node.
func TestDeleteWithAttemptsInFlight(t *testing.T) {
	for _, how := range []string{"Background", "Foreground"} {
		t.Run(how, func(t *testing.T) {
			cluster := startCluster(t, nil)
			cluster.injectFault(fault.Node{Stall: 0.5})
			cluster.submitJob(longJob("a", "once", 10, 3))
			cluster.eventually("attempts are in flight", func() bool { return cluster.countEvents(audit.AttemptReceived) > 0 })
			cluster.requireStatus(200, "DELETE", jobsPath+"/a?propagationPolicy="+how, "", "")
			cluster.eventually("Job and Pods are deleted", func() bool { return len(cluster.pods("")) == 0 && cluster.job("a") == nil })
			cluster.eventually("no task is left on a node", func() bool { return cluster.runningTasks() == 0 })
			cluster.checkAudit()
		})
	}
}

// runningTasks counts the tasks on all nodes.
func (cluster *testCluster) runningTasks() int {
	tasks := 0
	cluster.runOnEmulators(func() {
		for _, node := range cluster.nodes {
			tasks += node.Sim().ActiveTasks()
		}
	})
	return tasks
}

// The inventory is unreachable, then empty, then complete: running tasks go on, none that must not run twice is started again,
// and new ones are placed afterwards.
func TestUnreachableAndEmptyInventory(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) { settings.Limits.NodeLossTimeout = 0.5 })
	cluster.submitJob(longJob("a", "once", 8, 3))
	cluster.waitUntilRunning(8)
	cluster.emulatorLoop.Post(func() { cluster.inventory.Fault(fault.Inventory{Unreachable: 0.5}) })
	cluster.submitJob(longJob("b", "batch", 4, 3))
	cluster.eventually("b is settled by the last list of nodes", func() bool { return settledReason(cluster.job("b")) == wellknown.Placed })
	nodes := func() int {
		var list corev1.NodeList
		if code, answer := cluster.request("GET", "/api/v1/nodes", "", nil); code != 200 || json.Unmarshal(answer, &list) != nil {
			return -1
		}
		return len(list.Items)
	}
	cluster.eventually("the inventory is back", func() bool {
		var shown int
		cluster.runOnEmulators(func() {
			cluster.inventory.Fault(fault.Inventory{Empty: 1.5})
			shown = cluster.inventory.NodeCount()
		})
		return shown == 0 && nodes() == 0
	})
	cluster.eventually("the nodes are listed again", func() bool { return nodes() == len(cluster.nodes) })
	cluster.submitJob(longJob("c", "batch", 4, 3))
	cluster.eventually("c is settled", func() bool { return settledReason(cluster.job("c")) == wellknown.Placed })
	running := cluster.pods("?labelSelector=job-name=a&fieldSelector=status.phase=Running")
	if len(running) != 8 || cluster.job("a").Status.Failed != 0 {
		t.Errorf("%d of 8 tasks run, %v", len(running), cluster.job("a").Status)
	}
	cluster.checkAudit()
}

// Responses that come a few bytes at a time are read completely, and no attempt is repeated because of them.
func TestTrickledResponses(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.injectFault(fault.Node{Trickle: 0.5})
	cluster.submitJob(longJob("a", "once", 4, 0))
	if reason := cluster.waitUntilSettled("a"); reason != wellknown.Placed || cluster.countEvents(audit.AttemptReceived) != 4 {
		t.Errorf("settled as %s after %d attempts", reason, cluster.countEvents(audit.AttemptReceived))
	}
	cluster.checkAudit()
}
