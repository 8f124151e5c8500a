package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestUnresponsiveNode: a running task of an unresponsive node is over for its client at once, and for the placer once the node confirms that, or
// after notificationRetention.
func TestUnresponsiveNode(t *testing.T) {
	for name, tc := range map[string]struct {
		cause  int
		result placer.Result
	}{
		"confirms":                  {protocol.CauseCancelled, placer.Cancelled},
		"reports that it had ended": {protocol.CauseEnd, placer.Finished},
		"stays unresponsive":        {noCause, placer.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			h, policy, attempt := sentAttempt(t, "seats")
			accept(h, attempt)
			record := h.records[attempt.Message.ID]
			events := len(policy.events)
			if n := h.core.NodeUnresponsive(h.now, attempt.Node); n != 1 {
				t.Fatalf("%d tasks", n)
			}
			stopped := false
			out := h.core.Ready()
			for _, e := range out {
				stopped = stopped || e.Kind == SendToNode && e.Message.Kind == protocol.Stop
			}
			h.core.effects = out
			h.carryOutEffects()
			if record.notifications != 1 || !stopped || len(policy.events) != events || h.core.RunningTasks() != 1 {
				t.Errorf("%+v, node told to stop %v, %d events, %d running", record, stopped, len(policy.events)-events, h.core.RunningTasks())
			}
			if n := h.core.NodeUnresponsive(h.now, attempt.Node); n != 0 {
				t.Errorf("%d tasks at the second time", n)
			}
			if tc.cause >= 0 {
				h.receiveFromNode(attempt, newMessage(protocol.Stop, attempt.Message.ID, tc.cause))
			} else {
				h.advance(notificationRetention + 0.01)
			}
			if record.notifications != 1 || policy.last().Kind != placer.Ended || policy.last().Result != tc.result || h.core.RunningTasks() != 0 {
				t.Errorf("%+v, last event %+v", record, policy.last())
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
			h, policy, attempt := sentAttempt(t, "query")
			accept(h, attempt)
			record := h.records[attempt.Message.ID]
			h.now += 3
			if _, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(event)); err != nil {
				t.Fatal(err)
			}
			h.carryOutEffects()
			h.advance(TerminationGrace + 0.01)
			if record.notifications != 1 || policy.last().Result != placer.Lost {
				t.Errorf("%+v, last event %+v", record, policy.last())
			}
		})
	}
}

// TestDiscoveryEvents delivers events one after another to the same core.
func TestDiscoveryEvents(t *testing.T) {
	h := newHarness(t, nil)
	for _, tc := range []struct {
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
		ok, err := h.core.ReceiveDiscoveryEvent(h.now, []byte(tc.event))
		if last := h.core.LastDiscoveryEvent(); ok != tc.ok || (err != nil) != tc.invalid || last != tc.last {
			t.Errorf("%s: ok %v, error %v, last event %d", tc.name, ok, err, last)
		}
	}
	if node := h.core.Node(NodeIDOf("s-00000004")); node.State != placer.Draining {
		t.Errorf("state %d", node.State)
	}
}

// TestNodeIDCollision: two nodes whose UIDs have the same hash get different IDs, and each keeps its own.
func TestNodeIDCollision(t *testing.T) {
	h := newHarness(t, nil)
	id := NodeIDOf("s-00000004")
	h.core.nodes.nodes[id] = &Node{ID: id, UID: "another"}
	for range 2 {
		h.deliver(false, nodeJSON(4, "in_service", 0))
		node := h.core.Node(id + 1)
		if node == nil || node.UID != "s-00000004" || h.core.Node(id).UID != "another" {
			t.Fatalf("node %+v", node)
		}
	}
}

// TestTaskOfRemovedNode: the start and the end of a task whose node is no longer in the registry change nothing.
func TestTaskOfRemovedNode(t *testing.T) {
	registry := newNodeRegistry(&environment{})
	attempt := &Attempt{Node: 7}
	registry.taskStarted(attempt)
	registry.taskEnded(attempt)
	if registry.runningTasks() != 0 || len(registry.nodes) != 0 || registry.timers.Len() != 0 {
		t.Errorf("%d tasks, %d nodes, %d timers", registry.runningTasks(), len(registry.nodes), registry.timers.Len())
	}
}
