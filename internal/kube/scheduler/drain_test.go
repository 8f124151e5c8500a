//go:build linux

package scheduler

import (
	"testing"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/simulation"
)

// TestNoAttemptToNodeDrainedWhileDialing guards against an attempt that is sent to a draining node: the drain
// begins while the connection for the attempt is being opened.
func TestNoAttemptToNodeDrainedWhileDialing(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.submitJob(longJob("first", "batch", 1, 0))
	cluster.waitUntilRunning(1)
	receivedBefore := cluster.countEvents(audit.AttemptReceived)
	job := longJob("a", "batch", 3, 0)
	job.Namespace = "default"
	object := simulation.NewJob(&job)
	var attemptsBefore, attempts uint64
	cluster.runOnLoop(func() {
		s := cluster.scheduler
		attemptsBefore = s.engine.Stats.Attempts
		if _, err := s.engine.CreateJob(s.engineNow(), object, false); err != nil {
			t.Error(err)
		}
		for s.engine.Stats.Attempts == attemptsBefore && s.engine.NextWake() <= s.engineNow()+1 {
			s.engine.Tick(max(s.engineNow(), s.engine.NextWake()))
			s.processEffects()
		}
		attempts = s.engine.Stats.Attempts
		drain := true
		for i := range cluster.nodes {
			node := &corev1.Node{}
			node.Name = simulation.NodeName(i)
			node.Labels = s.engine.Store().Get(store.Nodes, "", node.Name).(*corev1.Node).Labels
			if _, err := s.engine.UpdateNode(s.engineNow(), node, &drain, false); err != nil {
				t.Error(err)
			}
		}
		s.processEffects()
	})
	if attempts == attemptsBefore {
		t.Fatal("the scheduler has started no attempt before the drain, want the attempts of the job to wait for connections")
	}
	cluster.waitUntilSettled("a")
	if received := cluster.countEvents(audit.AttemptReceived) - receivedBefore; received != 0 {
		t.Errorf("draining nodes received %d attempts, want none", received)
	}
}

// TestEvictionDryRun guards against an eviction that is meant as a dry run and stops a task.
func TestEvictionDryRun(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.submitJob(longJob("a", "batch", 1, 0))
	cluster.waitUntilRunning(1)
	path := "/api/v1/namespaces/default/pods/" + cluster.running()[0].Name + "/eviction"
	for name, request := range map[string]struct{ query, body string }{
		"in the query": {"?dryRun=All", `{"apiVersion":"policy/v1","kind":"Eviction"}`},
		"in the body":  {"", `{"apiVersion":"policy/v1","kind":"Eviction","deleteOptions":{"dryRun":["All"]}}`},
	} {
		t.Run(name, func(t *testing.T) {
			cluster.requireStatus(201, "POST", path+request.query, jsonType, request.body)
			var stopOrders uint64
			cluster.runOnLoop(func() { stopOrders = cluster.scheduler.engine.Stats.Stops })
			if stopOrders != 0 {
				t.Errorf("the scheduler has sent %d orders to stop a task, want none", stopOrders)
			}
		})
	}
	cluster.requireStatus(404, "POST", "/api/v1/namespaces/default/pods/missing/eviction?dryRun=All", jsonType, `{"apiVersion":"policy/v1","kind":"Eviction"}`)
}
