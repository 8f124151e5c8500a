package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestUnresponsiveNode: a running task of an unresponsive node is over for its client at once, and for the placer once the node confirms that, or
// after notificationRetention.
func TestUnresponsiveNode(t *testing.T) {
	for _, test := range []struct {
		name   string
		cause  protocol.Cause
		result placer.Result
	}{
		{"confirms", protocol.CauseCancelled, placer.Cancelled},
		{"reports that it had ended", protocol.CauseEnd, placer.Finished},
		{"stays unresponsive", noCause, placer.Cancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, policy, attempt := runningAttempt(t, "seats")
			record := harness.clientRecords[attempt.Message.ID]
			eventsBefore := len(policy.events)

			if tasks := harness.core.NodeUnresponsive(harness.now, attempt.Node); tasks != 1 {
				t.Fatalf("%d tasks", tasks)
			}
			stopped := asksNodeToStop(harness.carryOutEffects())
			events, running := len(policy.events)-eventsBefore, harness.core.RunningTasks()
			if record.notifications != 1 || !stopped || events != 0 || running != 1 {
				t.Errorf("%+v, node asked to stop %v, %d events, %d running", record, stopped, events, running)
			}
			if tasks := harness.core.NodeUnresponsive(harness.now, attempt.Node); tasks != 0 {
				t.Errorf("%d tasks at the second time", tasks)
			}

			if test.cause >= 0 {
				harness.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, test.cause))
			} else {
				harness.advance(notificationRetention + 0.01)
			}
			ended := policy.lastEvent().Kind == placer.Ended && policy.lastEvent().Result == test.result
			if record.notifications != 1 || !ended || harness.core.RunningTasks() != 0 {
				t.Errorf("%+v, last event %+v", record, policy.lastEvent())
			}
		})
	}
}

// TestNodesThatTerminateOrRestart: the tasks of a node that terminates or begins a new incarnation are lost.
func TestNodesThatTerminateOrRestart(t *testing.T) {
	for name, event := range map[string]string{
		"terminated":  discoveryEventJSON(2, false, nodeJSON(1, "terminated", 0)),
		"left out":    discoveryEventJSON(2, true, nodeJSON(2, "in_service", 0)),
		"a new start": discoveryEventJSON(2, false, nodeJSON(1, "in_service", 2000_000)),
	} {
		t.Run(name, func(t *testing.T) {
			harness, policy, attempt := runningAttempt(t, "query")
			record := harness.clientRecords[attempt.Message.ID]
			harness.now += 3

			if _, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(event)); err != nil {
				t.Fatal(err)
			}
			harness.carryOutEffects()
			harness.advance(TerminationGrace + 0.01)

			if record.notifications != 1 || policy.lastEvent().Result != placer.Lost {
				t.Errorf("%+v, last event %+v", record, policy.lastEvent())
			}
		})
	}
}

// TestDiscoveryEvents delivers events one after another to the same core.
func TestDiscoveryEvents(t *testing.T) {
	harness := newHarness(t, nil)
	for _, test := range []struct {
		name, event string
		ok, invalid bool
		last        uint64
	}{
		{"the next", discoveryEventJSON(2, false, nodeJSON(4, "in_service", 0)), true, false, 2},
		{"applied already", discoveryEventJSON(2, false, nodeJSON(4, "terminated", 0)), true, false, 2},
		{"a gap", discoveryEventJSON(4, false, nodeJSON(4, "terminated", 0)), false, false, 2},
		{"truncated", discoveryEventJSON(3, false, nodeJSON(4, "terminating", 0))[:40], false, true, 2},
		{"unknown state", discoveryEventJSON(3, false, nodeJSON(4, "sleeping", 0)), false, true, 2},
		{"another kind", `{"no":3,"other":{}}`, true, false, 3},
		{"the next after it", discoveryEventJSON(4, false, nodeJSON(4, "terminating", 0)), true, false, 4},
	} {
		ok, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(test.event))
		if last := harness.core.LastDiscoveryEvent(); ok != test.ok || (err != nil) != test.invalid || last != test.last {
			t.Errorf("%s: ok %v, error %v, last event %d", test.name, ok, err, last)
		}
	}
	if node := harness.core.Node(nodeID(4)); node.State != placer.Draining {
		t.Errorf("state %d", node.State)
	}
}

// TestNodeIDCollision: two nodes whose UIDs have the same hash get different IDs, and each keeps its own.
func TestNodeIDCollision(t *testing.T) {
	harness := newHarness(t, nil)
	id := nodeID(4)
	harness.core.nodes.nodes[id] = &Node{ID: id, UID: "another"}
	for range 2 {
		harness.deliverDiscoveryEvent(false, nodeJSON(4, "in_service", 0))
		node := harness.core.Node(id + 1)
		if node == nil || node.UID != nodeUID(4) || harness.core.Node(id).UID != "another" {
			t.Fatalf("node %+v", node)
		}
	}
}

// TestTaskOfRemovedNode: the start and the end of a task whose node is no longer in the registry change nothing.
func TestTaskOfRemovedNode(t *testing.T) {
	registry := newNodeRegistry(&sharedState{})
	attempt := &Attempt{Node: 7}

	registry.addRunningAttempt(attempt)
	registry.removeRunningAttempt(attempt)

	if registry.runningTasks() != 0 || len(registry.nodes) != 0 || registry.timers.Len() != 0 {
		t.Errorf("%d tasks, %d nodes, %d timers", registry.runningTasks(), len(registry.nodes), registry.timers.Len())
	}
}
