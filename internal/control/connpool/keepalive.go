package connpool

import (
	"time"

	"heathshed/internal/control/clock"
)

// MultiplexedPolicy decides when connections to one node that carry many requests at a time are checked and closed.
//
// A health check is a message that the peer answers at once, however busy it is. It distinguishes a slow node, whose answer will still come,
// from a connection that is open but dead.
type MultiplexedPolicy struct {
	MaxIdle            time.Duration // a connection without a request for longer is closed if nothing is expected on it; 0 for never
	HealthCheckAfter   time.Duration // a connection without traffic for longer is checked if something is expected on it
	HealthCheckTimeout time.Duration // a connection is unresponsive if a health check or the rest of a message takes longer
}

// DefaultMultiplexedPolicy suits nodes that answer health checks at once over a network with a latency of a few milliseconds. It does not close
// idle connections.
func DefaultMultiplexedPolicy() MultiplexedPolicy {
	return MultiplexedPolicy{HealthCheckAfter: time.Second, HealthCheckTimeout: 500 * time.Millisecond}
}

// ConnState is the state of one such connection.
type ConnState struct {
	PendingRequests int           // unanswered
	RunsTasks       bool          // the node runs tasks whose end it will report
	HasAlternative  bool          // there is another connection to the node
	LastSent        clock.Instant // when a request was last sent
	LastReceived    clock.Instant // when anything last arrived
	HealthCheckSent clock.Instant // when the unanswered health check was sent; zero if there is none
	IncompleteSince clock.Instant // since when the last message has been incomplete; zero if it is not
}

// Usable reports whether requests may be sent on the connection: not while a health check or the rest of a message is awaited.
func (s ConnState) Usable() bool { return s.HealthCheckSent.IsZero() && s.IncompleteSince.IsZero() }

// expectsMessage reports whether an answer or the end of a task is still to come.
func (s ConnState) expectsMessage() bool { return s.PendingRequests > 0 || s.RunsTasks }

// closable reports whether closing the connection loses nothing.
func (s ConnState) closableWithoutLoss() bool {
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
func (p MultiplexedPolicy) KeepAlive(now clock.Instant, s ConnState) KeepAliveAction {
	if !s.IncompleteSince.IsZero() && now.Sub(s.IncompleteSince) > p.HealthCheckTimeout {
		return CloseUnresponsive
	}
	if !s.HealthCheckSent.IsZero() {
		if now.Sub(s.HealthCheckSent) > p.HealthCheckTimeout {
			return CloseUnresponsive
		}
		return NoAction
	}
	if s.expectsMessage() && now.Sub(max(s.LastReceived, s.LastSent)) > p.HealthCheckAfter {
		return SendHealthCheck
	}
	if p.MaxIdle > 0 && now.Sub(s.LastSent) > p.MaxIdle && s.closableWithoutLoss() {
		return CloseIdle
	}
	return NoAction
}

// Reachability determines from messages and failed dials whether a node that runs tasks can be reached. If a node has crashed or is
// partitioned, open connections fall silent and dials time out. If only its process has ended, it refuses connections.
type Reachability struct {
	UnresponsiveAfter time.Duration // without any message while dials fail
	ProcessEndedAfter time.Duration // of refused connections

	lastReceived  clock.Instant
	refusedSince  clock.Instant // zero if the last dial was not refused
	hasFailedDial bool          // since lastReceived
}

// Received records that a message arrived or that a connection was established.
func (r *Reachability) Received(now clock.Instant) {
	r.lastReceived = now
	r.refusedSince = 0
	r.hasFailedDial = false
}

// DialFailed records that a dial failed, and whether it was refused rather than left unanswered.
func (r *Reachability) DialFailed(now clock.Instant, refused bool) {
	if r.lastReceived.IsZero() {
		r.lastReceived = now
	}
	r.hasFailedDial = true
	switch {
	case !refused:
		r.refusedSince = 0
	case r.refusedSince.IsZero():
		r.refusedSince = now
	}
}

// NodeStatus reports whether a node can be reached.
type NodeStatus uint8

// The statuses.
const (
	Reachable    NodeStatus = iota
	ProcessEnded            // it refuses connections: its process has ended, and all tasks with it
	Unresponsive            // it does not answer; its tasks may still run
)

// Status returns the status of the node. A node is unresponsive only if a dial has failed: one that was not dialed may simply have had
// nothing to report.
func (r *Reachability) Status(now clock.Instant) NodeStatus {
	switch {
	case !r.refusedSince.IsZero() && now.Sub(r.refusedSince) > r.ProcessEndedAfter:
		return ProcessEnded
	case r.hasFailedDial && r.refusedSince.IsZero() && now.Sub(r.lastReceived) > r.UnresponsiveAfter:
		return Unresponsive
	}
	return Reachable
}
