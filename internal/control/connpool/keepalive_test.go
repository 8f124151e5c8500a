package connpool

import (
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// instantAt returns the instant that lies the given number of seconds after the Unix epoch.
func instantAt(seconds float64) clock.Instant { return clock.FromUnixSeconds(placer.Seconds(seconds)) }

func TestKeepAlive(t *testing.T) {
	policy := MultiplexedPolicy{MaxIdle: 9 * time.Second, HealthCheckAfter: time.Second, HealthCheckTimeout: 500 * time.Millisecond}
	for _, test := range []struct {
		name  string
		state ConnState
		want  KeepAliveAction
	}{
		{"connection with recent traffic", ConnState{PendingRequests: 1, LastSent: instantAt(99.5), LastReceived: instantAt(99)}, NoAction},
		{"no traffic while a request is pending", ConnState{PendingRequests: 1, LastSent: instantAt(98.9), LastReceived: instantAt(98)}, SendHealthCheck},
		{"no traffic while the node runs tasks", ConnState{RunsTasks: true, LastSent: instantAt(50), LastReceived: instantAt(98)}, SendHealthCheck},
		{"health check sent less than HealthCheckTimeout ago", ConnState{RunsTasks: true, LastSent: instantAt(50), LastReceived: instantAt(98), HealthCheckSent: instantAt(99.6)}, NoAction},
		{"health check unanswered for longer than HealthCheckTimeout", ConnState{PendingRequests: 3, LastSent: instantAt(99), LastReceived: instantAt(98), HealthCheckSent: instantAt(99.4)}, CloseUnresponsive},
		{"message incomplete for longer than HealthCheckTimeout", ConnState{PendingRequests: 1, LastSent: instantAt(99.9), LastReceived: instantAt(99.9), IncompleteSince: instantAt(99.4)}, CloseUnresponsive},
		{"idle for longer than MaxIdle", ConnState{LastSent: instantAt(90), LastReceived: instantAt(99)}, CloseIdle},
		{"idle for longer than MaxIdle while the node runs tasks", ConnState{LastSent: instantAt(90), LastReceived: instantAt(99.5), RunsTasks: true}, NoAction},
		{"idle for longer than MaxIdle while the node runs tasks, with another connection to the node", ConnState{LastSent: instantAt(90), LastReceived: instantAt(99.5), RunsTasks: true, HasAlternative: true}, CloseIdle},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := policy.KeepAlive(instantAt(100), test.state); got != test.want {
				t.Errorf("KeepAlive returned KeepAliveAction(%d), want KeepAliveAction(%d)", got, test.want)
			}
		})
	}
}

func TestReachability(t *testing.T) {
	node := Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	node.Received(instantAt(100))
	node.DialFailed(instantAt(101), false)
	if node.Status(instantAt(105.9)) != Reachable || node.Status(instantAt(106.1)) != Unresponsive {
		t.Error("a node whose dials time out did not become unresponsive 6 s after its last message")
	}
	node.Received(instantAt(107))
	node.DialFailed(instantAt(108), true)
	if node.Status(instantAt(108.9)) != Reachable || node.Status(instantAt(109.1)) != ProcessEnded {
		t.Error("a node whose dials are refused did not get the status ProcessEnded after 1 s")
	}
	node.DialFailed(instantAt(109), false) // A dial that times out does not show that the node's process has ended.
	if node.Status(instantAt(110)) != Reachable {
		t.Error("a dial that timed out did not end the period of refused dials")
	}
	node.Received(instantAt(200))
	if node.Status(instantAt(300)) != Reachable {
		t.Error("a node without failed dials is not reachable after 100 s without messages")
	}
	silentNode := Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	silentNode.DialFailed(instantAt(50), false)
	if silentNode.Status(instantAt(55)) != Reachable || silentNode.Status(instantAt(57)) != Unresponsive {
		t.Error("a node that never sent a message did not become unresponsive 6 s after its first failed dial")
	}
}
