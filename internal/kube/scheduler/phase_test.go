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

// TestReadinessError checks the reason that a scheduler gives in each phase for accepting no tasks. It also
// checks that the scheduler becomes ready after NodeSyncTimeout even if nodes have not listed their tasks.
func TestReadinessError(t *testing.T) {
	loop := looptest.New(t)
	t.Cleanup(func() { looptest.Run(t, loop)() }) // closes the loop; the test uses only its clock
	settings := config.Default()
	listedNode := &corev1.Node{}
	listedNode.Name = "node-01"
	listedNode.Labels = map[string]string{wellknown.NodeType: settings.NodeTypes[0].Name}
	listedNode.Status.NodeInfo.BootID = "node-01-1"
	listedNode.Status.DaemonEndpoints.KubeletEndpoint.Port = 10250
	listedNode.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	listedNode.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: "127.0.0.1"}}
	for _, test := range []struct {
		name            string
		phase           phase
		listed          []*corev1.Node
		nodeSyncTimeout time.Duration
		want            string // "" means ready
	}{
		{"inventory not listed yet", phaseAwaitingInventory, nil, time.Minute, "the inventory has not been listed yet"},
		{"empty inventory", phaseSyncingNodes, nil, time.Minute, "the inventory lists no node that is ready"},
		{"empty inventory after the timeout", phaseSyncingNodes, nil, 0, "the inventory lists no node that is ready"},
		{"node has not listed its tasks", phaseSyncingNodes, []*corev1.Node{listedNode}, time.Minute, "0 of 1 nodes have listed their tasks"},
		{"node has not listed its tasks within the timeout", phaseSyncingNodes, []*corev1.Node{listedNode}, 0, ""},
		{"ready", phaseReady, nil, time.Minute, ""},
		{"stopping", phaseStopping, nil, time.Minute, "the scheduler stops"},
	} {
		t.Run(test.name, func(t *testing.T) {
			eng, err := engine.New(settings.EngineConfig(1, 1))
			if err != nil {
				t.Fatal(err)
			}
			s := &Scheduler{engine: eng, loop: loop, phase: test.phase, startedAt: loop.Now(), options: Options{NodeSyncTimeout: test.nodeSyncTimeout}}
			eng.NodesListed(s.engineNow(), engine.FullList, test.listed, nil)
			got := ""
			if err := s.readinessError(); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("readinessError() = %q, want %q", got, test.want)
			}
			if isReady := s.phase == phaseReady; isReady != (test.want == "") {
				t.Errorf("phase after readinessError: %s", s.phase)
			}
		})
	}
}
