package connpool

import "testing"

func TestKeepAlive(t *testing.T) {
	p := SharedPolicy{MaxIdle: 9, HealthCheckAfter: 1, HealthCheckTimeout: 0.5}
	for _, c := range []struct {
		name string
		l    ConnState
		want KeepAliveAction
	}{
		{"at work", ConnState{PendingRequests: 1, LastSent: 99.5, LastReceived: 99}, NoAction},
		{"no word while something is expected", ConnState{PendingRequests: 1, LastSent: 98.9, LastReceived: 98}, SendHealthCheck},
		{"no word while tasks stand", ConnState{RunsTasks: true, LastSent: 50, LastReceived: 98}, SendHealthCheck},
		{"tested just now", ConnState{RunsTasks: true, LastSent: 50, LastReceived: 98, HealthCheckSent: 99.6}, NoAction},
		{"test unanswered", ConnState{PendingRequests: 3, LastSent: 99, LastReceived: 98, HealthCheckSent: 99.4}, CloseUnresponsive},
		{"a message that does not end", ConnState{PendingRequests: 1, LastSent: 99.9, LastReceived: 99.9, IncompleteSince: 99.4}, CloseUnresponsive},
		{"idle", ConnState{LastSent: 90, LastReceived: 99}, CloseIdle},
		{"idle, but tasks stand", ConnState{LastSent: 90, LastReceived: 99.5, RunsTasks: true}, NoAction},
		{"idle, tasks stand, another serves", ConnState{LastSent: 90, LastReceived: 99.5, RunsTasks: true, HasAlternative: true}, CloseIdle},
	} {
		if got := p.KeepAlive(100, c.l); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

func TestReachability(t *testing.T) {
	r := Reachability{UnresponsiveAfter: 6, RefusedAfter: 1}
	r.Received(100)
	r.DialFailed(101, false)
	if r.Status(105.9) != Reachable || r.Status(106.1) != Unresponsive {
		t.Error("silence: want lost after 6 s without a word")
	}
	r.Received(107)
	r.DialFailed(108, true)
	if r.Status(108.9) != Reachable || r.Status(109.1) != ProcessEnded {
		t.Error("refusals: want lost after 1 s of them")
	}
	r.DialFailed(109, false) // no answer says nothing of the process
	if r.Status(110) != Reachable {
		t.Error("a dial without an answer ends the refusals")
	}
	r.Received(200)
	if r.Status(300) != Reachable {
		t.Error("not dialled: want no verdict")
	}
	var none Reachability
	none.UnresponsiveAfter, none.RefusedAfter = 6, 1
	none.DialFailed(50, false)
	if none.Status(55) != Reachable || none.Status(57) != Unresponsive {
		t.Error("without any word silence counts from the first failure")
	}
}
