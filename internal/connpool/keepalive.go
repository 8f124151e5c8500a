package connpool

// SharedPolicy bounds connections that carry many requests at a time, to one machine. Times are in seconds.
//
// A test is a message that the other end answers at once, however busy it is: it tells a slow machine, which has to be waited for, from a
// connection that stays open and carries nothing any more, on which waiting is in vain.
type SharedPolicy struct {
	MaxIdle            float64 // closed after so long without a request, where nothing is expected of the other end; 0 keeps it
	HealthCheckAfter   float64 // tested after so long without a word, while something is expected
	HealthCheckTimeout float64 // a test without an answer for so long: of no further use
}

// DefaultSharedPolicy suits machines that answer tests at once over a network of a few milliseconds.
func DefaultSharedPolicy() SharedPolicy {
	return SharedPolicy{HealthCheckAfter: 1, HealthCheckTimeout: 0.5}
}

// ConnState is that of one such connection. Times are points on one clock.
type ConnState struct {
	PendingRequests int     // without an answer
	RunsTasks       bool    // the machine holds something whose end it will tell
	HasAlternative  bool    // another connection serves as well
	LastSent        float64 // when a request last went out
	LastReceived    float64 // when anything last came in
	HealthCheckSent float64 // when the test went out that is still to be answered; 0 if none is
	IncompleteSince float64 // since when the last message has been incomplete; 0 if it is not
}

// Usable says whether requests may go out on the connection: not while a test or the rest of a message is waited for.
func (s ConnState) Usable() bool { return s.HealthCheckSent == 0 && s.IncompleteSince == 0 }

// KeepAliveAction is what to do with a connection.
type KeepAliveAction uint8

// The kinds of upkeep.
const (
	NoAction          KeepAliveAction = iota // nothing
	SendHealthCheck                          // send a test
	CloseIdle                                // close it: nothing is lost with it
	CloseUnresponsive                        // close it: it carries nothing any more, what is open on it has to be taken for lost
)

// KeepAlive decides for one connection.
func (p SharedPolicy) KeepAlive(now float64, s ConnState) KeepAliveAction {
	switch {
	case s.IncompleteSince > 0 && now-s.IncompleteSince > p.HealthCheckTimeout:
		return CloseUnresponsive
	case s.HealthCheckSent > 0:
		if now-s.HealthCheckSent > p.HealthCheckTimeout {
			return CloseUnresponsive
		}
	case (s.PendingRequests > 0 || s.RunsTasks) && now-max(s.LastReceived, s.LastSent) > p.HealthCheckAfter:
		return SendHealthCheck
	case s.PendingRequests == 0 && p.MaxIdle > 0 && now-s.LastSent > p.MaxIdle && (!s.RunsTasks || s.HasAlternative):
		return CloseIdle
	}
	return NoAction
}

// Reachability judges from connections and dials whether a machine that holds tasks is still there. A machine that has vanished or is cut off gives
// no sign: open connections stay silent and new ones never come up. One whose process has ended refuses.
type Reachability struct {
	UnresponsiveAfter float64 // seconds without any word, dials failing, after which it is taken for lost
	RefusedAfter      float64 // and seconds of refusals

	lastReceived, refusedSince float64
	hasFailedDial              bool // a dial, since the last word
}

// Received tells that something came from the machine, or that a connection came up.
func (r *Reachability) Received(now float64) {
	r.lastReceived, r.refusedSince, r.hasFailedDial = now, 0, false
}

// DialFailed tells that a dial failed, and whether it was refused rather than left without an answer.
func (r *Reachability) DialFailed(now float64, refused bool) {
	if r.lastReceived == 0 {
		r.lastReceived = now
	}
	r.hasFailedDial = true
	switch {
	case !refused:
		r.refusedSince = 0
	case r.refusedSince == 0:
		r.refusedSince = now
	}
}

// NodeStatus is how a machine is lost.
type NodeStatus uint8

// The kinds of loss. An Ended machine refuses connections: its process has ended, with all that ran in it. A Silent one may be cut off and run
// on.
const (
	Reachable NodeStatus = iota
	ProcessEnded
	Unresponsive
)

// Status says whether the machine is to be taken for lost, and how. One that was not dialled has not been silent.
func (r *Reachability) Status(now float64) NodeStatus {
	switch {
	case r.refusedSince > 0 && now-r.refusedSince > r.RefusedAfter:
		return ProcessEnded
	case r.hasFailedDial && r.refusedSince == 0 && now-r.lastReceived > r.UnresponsiveAfter:
		return Unresponsive
	}
	return Reachable
}
