package connpool

// SharedPolicy keeps connections to one node that carry many requests at a time. Times are in seconds.
//
// A health check is a message that the other end answers at once, however busy it is. It tells a slow node, which has to be waited for, from
// a connection that is open but dead, on which waiting is in vain.
type SharedPolicy struct {
	MaxIdle            float64 // closed after so long without a request if nothing is expected on it; 0 for never
	HealthCheckAfter   float64 // checked after so long without traffic while something is expected
	HealthCheckTimeout float64 // unresponsive if a health check or the rest of a message takes longer
}

// DefaultSharedPolicy suits nodes that answer health checks at once over a network with a latency of a few milliseconds. It does not close
// idle connections.
func DefaultSharedPolicy() SharedPolicy {
	return SharedPolicy{HealthCheckAfter: 1, HealthCheckTimeout: 0.5}
}

// ConnState is the state of one such connection. Times are points on the clock of KeepAlive's now.
type ConnState struct {
	PendingRequests int     // unanswered
	RunsTasks       bool    // the node runs tasks whose end it will report
	HasAlternative  bool    // there is another connection to the node
	LastSent        float64 // when a request last went out
	LastReceived    float64 // when anything last arrived
	HealthCheckSent float64 // when the unanswered health check went out; 0 if there is none
	IncompleteSince float64 // since when the last message has been incomplete; 0 if it is not
}

// Usable reports whether requests may go out on the connection: not while a health check or the rest of a message is awaited.
func (s ConnState) Usable() bool { return s.HealthCheckSent == 0 && s.IncompleteSince == 0 }

// expectsMessage reports whether the node owes an answer or the end of a task.
func (s ConnState) expectsMessage() bool { return s.PendingRequests > 0 || s.RunsTasks }

// closable reports whether closing the connection loses nothing.
func (s ConnState) closable() bool {
	return s.PendingRequests == 0 && (!s.RunsTasks || s.HasAlternative)
}

// KeepAliveAction is what to do with a connection.
type KeepAliveAction uint8

// The actions.
const (
	NoAction          KeepAliveAction = iota
	SendHealthCheck                   // send a health check
	CloseIdle                         // close it: nothing is lost
	CloseUnresponsive                 // close it: it is dead, and the outcome of its pending requests is unknown
)

// KeepAlive decides for one connection.
func (p SharedPolicy) KeepAlive(now float64, s ConnState) KeepAliveAction {
	if s.IncompleteSince > 0 && now-s.IncompleteSince > p.HealthCheckTimeout {
		return CloseUnresponsive
	}
	if s.HealthCheckSent > 0 {
		if now-s.HealthCheckSent > p.HealthCheckTimeout {
			return CloseUnresponsive
		}
		return NoAction
	}
	if s.expectsMessage() && now-max(s.LastReceived, s.LastSent) > p.HealthCheckAfter {
		return SendHealthCheck
	}
	if p.MaxIdle > 0 && now-s.LastSent > p.MaxIdle && s.closable() {
		return CloseIdle
	}
	return NoAction
}

// Reachability judges from messages and failed dials whether a node that runs tasks can be reached. A node that has vanished or is cut off
// gives no sign: open connections fall silent and dials time out. One whose process has ended refuses connections. Times are in seconds.
type Reachability struct {
	UnresponsiveAfter float64 // without any message while dials fail
	RefusedAfter      float64 // of refused connections

	lastReceived  float64
	refusedSince  float64 // 0 if the last dial was not refused
	hasFailedDial bool    // since lastReceived
}

// Received records that a message arrived or that a connection was established.
func (r *Reachability) Received(now float64) {
	r.lastReceived = now
	r.refusedSince = 0
	r.hasFailedDial = false
}

// DialFailed records that a dial failed, and whether it was refused rather than left unanswered.
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

// NodeStatus is the verdict on a node.
type NodeStatus uint8

// The verdicts.
const (
	Reachable    NodeStatus = iota
	ProcessEnded            // it refuses connections: its process has ended, and all tasks with it
	Unresponsive            // it does not answer; its tasks may still run
)

// Status returns the verdict on the node. A node is unresponsive only if a dial has failed: one that was not dialed may simply have had
// nothing to report.
func (r *Reachability) Status(now float64) NodeStatus {
	switch {
	case r.refusedSince > 0 && now-r.refusedSince > r.RefusedAfter:
		return ProcessEnded
	case r.hasFailedDial && r.refusedSince == 0 && now-r.lastReceived > r.UnresponsiveAfter:
		return Unresponsive
	}
	return Reachable
}
