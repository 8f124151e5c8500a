package connpool

import (
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// at returns the instant that lies the given number of seconds after the Unix epoch.
func at(seconds float64) clock.Instant { return clock.FromUnixSeconds(placer.Seconds(seconds)) }

func TestKeepAlive(t *testing.T) {
	policy := MultiplexedPolicy{MaxIdle: 9 * time.Second, HealthCheckAfter: time.Second, HealthCheckTimeout: 500 * time.Millisecond}
	for _, test := range []struct {
		name  string
		state ConnState
		want  KeepAliveAction
	}{
		{"connection with recent traffic", ConnState{PendingRequests: 1, LastSent: at(99.5), LastReceived: at(99)}, NoAction},
		{"no traffic while a request is pending", ConnState{PendingRequests: 1, LastSent: at(98.9), LastReceived: at(98)}, SendHealthCheck},
		{"no traffic while the node runs tasks", ConnState{RunsTasks: true, LastSent: at(50), LastReceived: at(98)}, SendHealthCheck},
		{"health check sent less than HealthCheckTimeout ago", ConnState{RunsTasks: true, LastSent: at(50), LastReceived: at(98), HealthCheckSent: at(99.6)}, NoAction},
		{"health check unanswered for longer than HealthCheckTimeout", ConnState{PendingRequests: 3, LastSent: at(99), LastReceived: at(98), HealthCheckSent: at(99.4)}, CloseUnresponsive},
		{"message incomplete for longer than HealthCheckTimeout", ConnState{PendingRequests: 1, LastSent: at(99.9), LastReceived: at(99.9), IncompleteSince: at(99.4)}, CloseUnresponsive},
		{"idle for longer than MaxIdle", ConnState{LastSent: at(90), LastReceived: at(99)}, CloseIdle},
		{"idle for longer than MaxIdle while the node runs tasks", ConnState{LastSent: at(90), LastReceived: at(99.5), RunsTasks: true}, NoAction},
		{"idle for longer than MaxIdle while the node runs tasks, with another connection to the node", ConnState{LastSent: at(90), LastReceived: at(99.5), RunsTasks: true, HasAlternative: true}, CloseIdle},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := policy.KeepAlive(at(100), test.state); got != test.want {
				t.Errorf("KeepAlive returned KeepAliveAction(%d), want KeepAliveAction(%d)", got, test.want)
			}
		})
	}
}

func TestReachability(t *testing.T) {
	node := Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	node.Received(at(100))
	node.DialFailed(at(101), false)
	if node.Status(at(105.9)) != Reachable || node.Status(at(106.1)) != Unresponsive {
		t.Error("a node whose dials time out did not become unresponsive 6 s after its last message")
	}
	node.Received(at(107))
	node.DialFailed(at(108), true)
	if node.Status(at(108.9)) != Reachable || node.Status(at(109.1)) != ProcessEnded {
		t.Error("a node whose dials are refused did not get the status ProcessEnded after 1 s")
	}
	node.DialFailed(at(109), false) // A dial that times out does not show that the node's process has ended.
	if node.Status(at(110)) != Reachable {
		t.Error("a node whose last dial timed out is not reachable, although UnresponsiveAfter has not passed")
	}
	node.Received(at(200))
	if node.Status(at(300)) != Reachable {
		t.Error("a node without failed dials is not reachable after 100 s without messages")
	}
	neverReached := Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	neverReached.DialFailed(at(50), false)
	if neverReached.Status(at(55)) != Reachable || neverReached.Status(at(57)) != Unresponsive {
		t.Error("a node that never sent a message did not become unresponsive 6 s after its first failed dial")
	}
}
