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

// TestLostResponses checks tasks whose node accepted an attempt but whose response was lost. A task that
// must not run twice must be found running and adopted. Any other task may be attempted again, and its
// duplicate must be stopped. Every task must settle as placed, and exactly one copy of it must run in the
// end.
func TestLostResponses(t *testing.T) {
	for _, class := range []string{"once", "keyed", "web"} {
		t.Run(class, func(t *testing.T) {
			cluster := startCluster(t, func(settings *config.Settings) { settings.Retry.UnknownOutcomeTimeout = 1 })
			cluster.injectFault(fault.Node{LoseAnswer: 0.4})
			cluster.submitJob(longJob("a", class, 6, 6))
			if reason := cluster.waitUntilSettled("a"); reason != wellknown.Placed {
				t.Errorf("the Job settled as %s, want Placed", reason)
			}
			cluster.eventually("exactly one copy of each task runs", func() bool {
				runningCopies := map[string]int{} // number of running copies of each task, by UID
				for _, event := range cluster.recordedEvents() {
					switch event.Kind {
					case audit.Accepted:
						runningCopies[event.UID]++
					case audit.Ended:
						runningCopies[event.UID]--
					}
				}
				for _, count := range runningCopies {
					if count != 1 {
						return false
					}
				}
				return len(runningCopies) == 6
			})
			cluster.checkAudit()
		})
	}
}

// TestDeadlineWithoutResponses checks that every task gets a final outcome at its deadline although no node
// responds to attempts. A task that must not run twice must settle as failed rather than rejected, because
// a node may have started it.
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
					t.Errorf("Pod %s settled as %s, want %s or %s", pod.Name, reason, want, wellknown.Failed)
				}
			}
			cluster.eventually("the Job has failed", func() bool { return hasCondition(cluster.job("a"), batchv1.JobFailed) })
			cluster.checkAudit()
		})
	}
}

// TestAllNodesReject checks that tasks settle as rejected if all nodes reject them, and that the Pod status
// says why.
func TestAllNodesReject(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) {
		settings.Classes[1].Deadline = 1.5
	})
	cluster.injectFault(fault.Node{Reject: 100})
	cluster.submitJob(longJob("a", "batch", 5, 1))
	if reason := cluster.waitUntilSettled("a"); reason != wellknown.Rejected {
		t.Errorf("the Job settled as %s, want %s, because no task was started", reason, wellknown.Rejected)
	}
	for _, pod := range cluster.pods("") {
		if !strings.Contains(pod.Status.Message, "resource: cpu") {
			t.Errorf("status message of Pod %s is %q, want one that names the missing resource", pod.Name, pod.Status.Message)
		}
	}
	cluster.checkAudit()
}

// TestDeleteWithAttemptsInFlight checks that no task is left on any node after a Job was deleted while its
// attempts were in flight.
func TestDeleteWithAttemptsInFlight(t *testing.T) {
	for _, policy := range []string{"Background", "Foreground"} {
		t.Run(policy, func(t *testing.T) {
			cluster := startCluster(t, nil)
			cluster.injectFault(fault.Node{Stall: 0.5})
			cluster.submitJob(longJob("a", "once", 10, 3))
			cluster.eventually("a node has received an attempt", func() bool { return cluster.countEvents(audit.AttemptReceived) > 0 })
			cluster.requireStatus(200, "DELETE", jobsPath+"/a?propagationPolicy="+policy, "", "")
			cluster.eventually("Job and Pods are deleted", func() bool { return len(cluster.pods("")) == 0 && cluster.job("a") == nil })
			cluster.eventually("no node has a task", func() bool { return cluster.runningTasks() == 0 })
			cluster.checkAudit()
		})
	}
}

// runningTasks returns the number of active tasks on all nodes.
func (cluster *testCluster) runningTasks() int {
	tasks := 0
	cluster.runOnEmulators(func() {
		for _, node := range cluster.nodes {
			tasks += node.Sim().ActiveTasks()
		}
	})
	return tasks
}

// TestUnreachableAndEmptyInventory checks the scheduler while the inventory is first unreachable, then
// empty, and then complete again. Running tasks must continue, and tasks that must not run twice must not
// be started again. New tasks must be placed while the inventory is unreachable, and again when it is
// complete.
func TestUnreachableAndEmptyInventory(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) { settings.Limits.NodeLossTimeout = 0.5 })
	cluster.submitJob(longJob("a", "once", 8, 3))
	cluster.waitUntilRunning(8)
	cluster.emulatorLoop.Post(func() { cluster.inventory.Fault(fault.Inventory{Unreachable: 0.5}) })
	cluster.submitJob(longJob("b", "batch", 4, 3))
	cluster.eventually("Job b is placed by the list of nodes from before the fault", func() bool { return settledReason(cluster.job("b")) == wellknown.Placed })
	nodeCount := func() int {
		var list corev1.NodeList
		if code, responseBody := cluster.request("GET", "/api/v1/nodes", "", nil); code != 200 || json.Unmarshal(responseBody, &list) != nil {
			return -1
		}
		return len(list.Items)
	}
	cluster.eventually("the scheduler lists the inventory, which is empty", func() bool {
		var shownNodes int
		cluster.runOnEmulators(func() {
			cluster.inventory.Fault(fault.Inventory{Empty: 1.5})
			shownNodes = cluster.inventory.NodeCount()
		})
		return shownNodes == 0 && nodeCount() == 0
	})
	cluster.eventually("the scheduler lists all nodes again", func() bool { return nodeCount() == len(cluster.nodes) })
	cluster.submitJob(longJob("c", "batch", 4, 3))
	cluster.eventually("Job c is placed", func() bool { return settledReason(cluster.job("c")) == wellknown.Placed })
	running := cluster.pods("?labelSelector=job-name=a&fieldSelector=status.phase=Running")
	if len(running) != 8 || cluster.job("a").Status.Failed != 0 {
		t.Errorf("%d of the 8 tasks of Job a run; status of the Job: %v", len(running), cluster.job("a").Status)
	}
	cluster.checkAudit()
}

// TestTrickledResponses checks that responses that arrive a few bytes at a time are read completely, and do
// not cause further attempts.
func TestTrickledResponses(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.injectFault(fault.Node{Trickle: 0.5})
	cluster.submitJob(longJob("a", "once", 4, 0))
	if reason := cluster.waitUntilSettled("a"); reason != wellknown.Placed || cluster.countEvents(audit.AttemptReceived) != 4 {
		t.Errorf("the Job settled as %s after %d attempts, want Placed after 4", reason, cluster.countEvents(audit.AttemptReceived))
	}
	cluster.checkAudit()
}
