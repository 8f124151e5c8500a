package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestUnresponsiveNode checks that the client is notified at once of the end of a task on an unresponsive
// node. The placer must be told of the end only when the node confirms the stop, or after
// notificationRetention.
func TestUnresponsiveNode(t *testing.T) {
	for _, test := range []struct {
		name   string
		cause  protocol.Cause
		result placer.Result
	}{
		{"node confirms the stop", protocol.CauseCancelled, placer.Cancelled},
		{"node reports that the task had already ended", protocol.CauseEnd, placer.Finished},
		{"node stays unresponsive", noCause, placer.Cancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, policy, attempt := runningAttempt(t, "seats")
			record := harness.clientRecords[attempt.Message.ID]
			eventsBefore := len(policy.events)

			if stoppedTasks := harness.core.NodeUnresponsive(harness.now, attempt.Node); stoppedTasks != 1 {
				t.Fatalf("NodeUnresponsive stopped %d tasks, want 1", stoppedTasks)
			}
			stopRequested := asksNodeToStop(harness.carryOutEffects())
			newEvents, runningTasks := len(policy.events)-eventsBefore, harness.core.RunningTasks()
			if record.notificationCount != 1 || !stopRequested || newEvents != 0 || runningTasks != 1 {
				t.Errorf("client record %+v, node was asked to stop: %v, %d events to the placer, %d running tasks; want 1 notification, a stop, no event and 1 running task", record, stopRequested, newEvents, runningTasks)
			}
			if stoppedTasks := harness.core.NodeUnresponsive(harness.now, attempt.Node); stoppedTasks != 0 {
				t.Errorf("second call of NodeUnresponsive stopped %d tasks, want 0", stoppedTasks)
			}

			if test.cause >= 0 {
				harness.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, test.cause))
			} else {
				harness.advanceClock(notificationRetention + 0.01)
			}
			endReported := policy.lastEvent().Kind == placer.Ended && policy.lastEvent().Result == test.result
			if record.notificationCount != 1 || !endReported || harness.core.RunningTasks() != 0 {
				t.Errorf("client record %+v, last event to the placer %+v; want 1 notification in total, the end of the task, and no running task", record, policy.lastEvent())
			}
		})
	}
}

// TestNodesThatTerminateOrRestart checks that the tasks of a node are lost when the node terminates or starts
// a new incarnation.
func TestNodesThatTerminateOrRestart(t *testing.T) {
	for name, event := range map[string]string{
		"node is listed as terminated":         discoveryEventJSON(2, false, nodeJSON(1, "terminated", 0)),
		"node is missing from a complete list": discoveryEventJSON(2, true, nodeJSON(2, "in_service", 0)),
		"node starts a new incarnation":        discoveryEventJSON(2, false, nodeJSON(1, "in_service", 2000_000)),
	} {
		t.Run(name, func(t *testing.T) {
			harness, policy, attempt := runningAttempt(t, "query")
			record := harness.clientRecords[attempt.Message.ID]
			harness.now += 3

			if _, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(event)); err != nil {
				t.Fatal(err)
			}
			harness.carryOutEffects()
			harness.advanceClock(TerminationGrace + 0.01)

			if record.notificationCount != 1 || policy.lastEvent().Result != placer.Lost {
				t.Errorf("client record %+v, last event to the placer %+v; want 1 notification and a lost task", record, policy.lastEvent())
			}
		})
	}
}

// TestDiscoveryEvents delivers discovery events one after another to the same core, and checks which of them
// are applied.
func TestDiscoveryEvents(t *testing.T) {
	harness := newHarness(t, nil)
	for _, test := range []struct {
		name, event string
		ok, invalid bool
		lastEvent   uint64
	}{
		{"next event", discoveryEventJSON(2, false, nodeJSON(4, "in_service", 0)), true, false, 2},
		{"event that was already applied", discoveryEventJSON(2, false, nodeJSON(4, "terminated", 0)), true, false, 2},
		{"gap in the event numbers", discoveryEventJSON(4, false, nodeJSON(4, "terminated", 0)), false, false, 2},
		{"truncated event", discoveryEventJSON(3, false, nodeJSON(4, "terminating", 0))[:40], false, true, 2},
		{"unknown node state", discoveryEventJSON(3, false, nodeJSON(4, "sleeping", 0)), false, true, 2},
		{"event without a node list", `{"no":3,"other":{}}`, true, false, 3},
		{"next event after an event without a node list", discoveryEventJSON(4, false, nodeJSON(4, "terminating", 0)), true, false, 4},
	} {
		ok, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(test.event))
		if lastEvent := harness.core.LastDiscoveryEvent(); ok != test.ok || (err != nil) != test.invalid || lastEvent != test.lastEvent {
			t.Errorf("%s: ReceiveDiscoveryEvent returned ok %v and error %v, the last event number is %d", test.name, ok, err, lastEvent)
		}
	}
	if node := harness.core.Node(nodeID(4)); node.State != placer.Draining {
		t.Errorf("node 4 is in state %d, want draining", node.State)
	}
}

// TestNodeIDCollision checks that two nodes whose UIDs have the same hash get different IDs, and that each
// node keeps its ID.
func TestNodeIDCollision(t *testing.T) {
	harness := newHarness(t, nil)
	id := nodeID(4)
	harness.core.nodes.nodes[id] = &Node{ID: id, UID: "another"}
	for range 2 {
		harness.deliverDiscoveryEvent(false, nodeJSON(4, "in_service", 0))
		node := harness.core.Node(id + 1)
		if node == nil || node.UID != nodeUID(4) || harness.core.Node(id).UID != "another" {
			t.Fatalf("the next ID refers to node %+v, want the node with the colliding UID", node)
		}
	}
}

// TestTaskOfRemovedNode checks that the start and the end of a task change nothing if the node of the task is
// no longer in the registry.
func TestTaskOfRemovedNode(t *testing.T) {
	registry := newNodeRegistry(&sharedState{})
	attempt := &Attempt{Node: 7}

	registry.addRunningAttempt(attempt)
	registry.removeRunningAttempt(attempt)

	if registry.runningTasks() != 0 || len(registry.nodes) != 0 || registry.timers.Len() != 0 {
		t.Errorf("registry has %d running tasks, %d nodes and %d timers, want none", registry.runningTasks(), len(registry.nodes), registry.timers.Len())
	}
}
