//go:build linux

package scheduler

import (
	"testing"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/testsupport/looptest"
)

// TestReadinessError checks why a scheduler that is not ready says that it accepts no tasks, and that it waits no longer than it may.
func TestReadinessError(t *testing.T) {
	loop := looptest.New(t)
	t.Cleanup(func() { looptest.Run(t, loop)() }) // closes its descriptors; the test uses only its clock
	settings := config.Default()
	listedNode := &corev1.Node{}
	listedNode.Name = "node-01"
	listedNode.Labels = map[string]string{wellknown.NodeType: settings.NodeTypes[0].Name}
	listedNode.Status.NodeInfo.BootID = "node-01-1"
	listedNode.Status.DaemonEndpoints.KubeletEndpoint.Port = 10250
	listedNode.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	listedNode.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: "127.0.0.1"}}
	for _, test := range []struct {
		name     string
		phase    phase
		listed   []*corev1.Node
		syncedIn time.Duration // the time that the nodes have to list their tasks
		want     string        // "" is ready
	}{
		{"before the first list", phaseAwaitingInventory, nil, time.Minute, "the inventory has not been listed yet"},
		{"an empty list", phaseSyncingNodes, nil, time.Minute, "the inventory lists no node that is ready"},
		{"an empty list, later", phaseSyncingNodes, nil, 0, "the inventory lists no node that is ready"},
		{"nodes without an answer", phaseSyncingNodes, []*corev1.Node{listedNode}, time.Minute, "0 of 1 nodes have listed their tasks"},
		{"nodes that take too long", phaseSyncingNodes, []*corev1.Node{listedNode}, 0, ""},
		{"ready", phaseReady, nil, time.Minute, ""},
		{"after the signal to stop", phaseStopping, nil, time.Minute, "the scheduler stops"},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, err := engine.New(settings.Engine(1, 1))
			if err != nil {
				t.Fatal(err)
			}
			s := &Scheduler{engine: core, loop: loop, phase: test.phase, startedAt: loop.Now(), options: Options{NodeSyncTimeout: test.syncedIn}}
			core.NodesListed(s.engineNow(), engine.FullList, test.listed, nil)
			got := ""
			if err := s.readinessError(); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			if isReady := s.phase == phaseReady; isReady != (test.want == "") {
				t.Errorf("the phase is %s", s.phase)
			}
		})
	}
}
