package connpool

import "testing"

func TestKeepAlive(t *testing.T) {
	policy := SharedPolicy{MaxIdle: 9, HealthCheckAfter: 1, HealthCheckTimeout: 0.5}
	for _, test := range []struct {
		name  string
		state ConnState
		want  KeepAliveAction
	}{
		{"in use", ConnState{PendingRequests: 1, LastSent: 99.5, LastReceived: 99}, NoAction},
		{"silent with a pending request", ConnState{PendingRequests: 1, LastSent: 98.9, LastReceived: 98}, SendHealthCheck},
		{"silent while tasks run", ConnState{RunsTasks: true, LastSent: 50, LastReceived: 98}, SendHealthCheck},
		{"health check just sent", ConnState{RunsTasks: true, LastSent: 50, LastReceived: 98, HealthCheckSent: 99.6}, NoAction},
		{"health check unanswered", ConnState{PendingRequests: 3, LastSent: 99, LastReceived: 98, HealthCheckSent: 99.4}, CloseUnresponsive},
		{"incomplete message", ConnState{PendingRequests: 1, LastSent: 99.9, LastReceived: 99.9, IncompleteSince: 99.4}, CloseUnresponsive},
		{"idle", ConnState{LastSent: 90, LastReceived: 99}, CloseIdle},
		{"idle while tasks run", ConnState{LastSent: 90, LastReceived: 99.5, RunsTasks: true}, NoAction},
		{"idle while tasks run, with an alternative", ConnState{LastSent: 90, LastReceived: 99.5, RunsTasks: true, HasAlternative: true}, CloseIdle},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := policy.KeepAlive(100, test.state); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestReachability(t *testing.T) {
	r := Reachability{UnresponsiveAfter: 6, RefusedAfter: 1}
	r.Received(100)
	r.DialFailed(101, false)
	if r.Status(105.9) != Reachable || r.Status(106.1) != Unresponsive {
		t.Error("dials time out: want unresponsive 6 s after the last message")
	}
	r.Received(107)
	r.DialFailed(108, true)
	if r.Status(108.9) != Reachable || r.Status(109.1) != ProcessEnded {
		t.Error("dials are refused: want the process ended after 1 s")
	}
	r.DialFailed(109, false) // a timeout says nothing about the process
	if r.Status(110) != Reachable {
		t.Error("want a timeout to end the refusals")
	}
	r.Received(200)
	if r.Status(300) != Reachable {
		t.Error("want a node that was not dialed to be reachable")
	}
	neverReached := Reachability{UnresponsiveAfter: 6, RefusedAfter: 1}
	neverReached.DialFailed(50, false)
	if neverReached.Status(55) != Reachable || neverReached.Status(57) != Unresponsive {
		t.Error("no message ever: want unresponsive 6 s after the first failed dial")
	}
}
