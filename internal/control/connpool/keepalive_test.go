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
		{"traffic less than HealthCheckAfter ago while a request is pending", ConnState{PendingRequests: 1, LastSent: instantAt(99.5), LastReceived: instantAt(99)}, NoAction},
		{"no traffic for longer than HealthCheckAfter while a request is pending", ConnState{PendingRequests: 1, LastSent: instantAt(98.9), LastReceived: instantAt(98)}, SendHealthCheck},
		{"no traffic for longer than HealthCheckAfter while the node runs tasks", ConnState{RunsTasks: true, LastSent: instantAt(50), LastReceived: instantAt(98)}, SendHealthCheck},
		{"unanswered health check sent less than HealthCheckTimeout ago", ConnState{RunsTasks: true, LastSent: instantAt(50), LastReceived: instantAt(98), HealthCheckSent: instantAt(99.6)}, NoAction},
		{"unanswered health check sent more than HealthCheckTimeout ago", ConnState{PendingRequests: 3, LastSent: instantAt(99), LastReceived: instantAt(98), HealthCheckSent: instantAt(99.4)}, CloseUnresponsive},
		{"unanswered health check on the only connection to a node that runs tasks", ConnState{RunsTasks: true, LastSent: instantAt(99), LastReceived: instantAt(98), HealthCheckSent: instantAt(99.4)}, KeepSilent},
		{"unanswered health check on a superseded connection to a node that runs tasks", ConnState{RunsTasks: true, Superseded: true, LastSent: instantAt(99), LastReceived: instantAt(98), HealthCheckSent: instantAt(99.4)}, CloseUnresponsive},
		{"received message incomplete for longer than HealthCheckTimeout", ConnState{PendingRequests: 1, LastSent: instantAt(99.9), LastReceived: instantAt(99.9), IncompleteSince: instantAt(99.4)}, CloseUnresponsive},
		{"connection idle for longer than MaxIdle, node runs no tasks", ConnState{LastSent: instantAt(90), LastReceived: instantAt(99)}, CloseIdle},
		{"connection idle for longer than MaxIdle, node runs tasks and has no other connection", ConnState{LastSent: instantAt(90), LastReceived: instantAt(99.5), RunsTasks: true}, NoAction},
		{"connection idle for longer than MaxIdle, node runs tasks and has another connection", ConnState{LastSent: instantAt(90), LastReceived: instantAt(99.5), RunsTasks: true, HasAlternative: true}, CloseIdle},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := policy.KeepAlive(instantAt(100), test.state); got != test.want {
				t.Errorf("KeepAlive returned KeepAliveAction(%d), want KeepAliveAction(%d)", got, test.want)
			}
		})
	}
}

func TestReachability(t *testing.T) {
	reachability := Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	reachability.Received(instantAt(100))
	reachability.DialFailed(instantAt(101), false)
	if reachability.Status(instantAt(105.9)) != Reachable || reachability.Status(instantAt(106.1)) != Unresponsive {
		t.Error("a node whose dials time out did not change from Reachable to Unresponsive 6 s after its last message")
	}
	reachability.Received(instantAt(107))
	reachability.DialFailed(instantAt(108), true)
	if reachability.Status(instantAt(108.9)) != Reachable || reachability.Status(instantAt(109.1)) != ProcessEnded {
		t.Error("a node whose dials are refused did not change from Reachable to ProcessEnded 1 s after the first refused dial")
	}
	reachability.DialFailed(instantAt(109), false) // A dial that times out does not show that the node's process has ended.
	if reachability.Status(instantAt(110)) != Reachable {
		t.Error("a node whose dial was refused and whose next dial timed out is not Reachable 3 s after its last message")
	}
	reachability.DialFailed(instantAt(112), false)
	reachability.Established() // The host accepts the connection, and the node sends nothing on it.
	if reachability.Status(instantAt(150)) != Reachable {
		t.Error("a node whose last dial succeeded is not Reachable, want Reachable")
	}
	reachability.DialFailed(instantAt(151), false)
	if reachability.Status(instantAt(151)) != Unresponsive {
		t.Error("a node that has sent nothing since 107 s is not Unresponsive after a failed dial, though a connection came up meanwhile")
	}
	reachability.Received(instantAt(200))
	if reachability.Status(instantAt(300)) != Reachable {
		t.Error("a node to which no dial has failed is not Reachable 100 s after its last message")
	}
	reachabilityWithoutMessages := Reachability{UnresponsiveAfter: 6 * time.Second, ProcessEndedAfter: time.Second}
	reachabilityWithoutMessages.DialFailed(instantAt(50), false)
	if reachabilityWithoutMessages.Status(instantAt(55)) != Reachable || reachabilityWithoutMessages.Status(instantAt(57)) != Unresponsive {
		t.Error("a node that never sent a message did not change from Reachable to Unresponsive 6 s after its first failed dial")
	}
}
