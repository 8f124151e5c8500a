package connpool

import (
	"time"

	"heathshed/internal/control/clock"
)

// MultiplexedPolicy decides when a health check is sent on a connection to a node, and when the connection is
// closed. It applies to connections that carry many requests at a time.
//
// A health check is a message that a node answers at once, even if it is busy. If no answer arrives, the
// connection no longer works, although it is still open. If an answer arrives, the connection works, and a
// slow node will still answer the pending requests.
type MultiplexedPolicy struct {
	MaxIdle            time.Duration // MaxIdle is the time since the last request after which a connection is closed if that loses no message; 0 means never.
	HealthCheckAfter   time.Duration // HealthCheckAfter is the time without traffic after which a health check is sent if the node still has to send a message.
	HealthCheckTimeout time.Duration // HealthCheckTimeout limits the wait for the answer to a health check and the wait for the rest of an incomplete message.
}

// DefaultMultiplexedPolicy returns a policy for nodes that answer health checks at once, over a network with
// a latency of a few milliseconds. The policy does not close idle connections.
func DefaultMultiplexedPolicy() MultiplexedPolicy {
	return MultiplexedPolicy{HealthCheckAfter: time.Second, HealthCheckTimeout: 500 * time.Millisecond}
}

// ConnState is the state of one connection to a node, on which MultiplexedPolicy.KeepAlive bases its decision.
type ConnState struct {
	PendingRequests int           // PendingRequests is the number of requests on the connection that the node has not answered.
	RunsTasks       bool          // RunsTasks means that the node runs tasks and will report when they end.
	HasAlternative  bool          // HasAlternative means that another connection to the same node is not silent; see Compare.
	LastSent        clock.Instant // LastSent is when a request was last sent on the connection.
	LastReceived    clock.Instant // LastReceived is when any data last arrived on the connection.
	HealthCheckSent clock.Instant // HealthCheckSent is when the unanswered health check was sent, or zero if no health check is unanswered.
	IncompleteSince clock.Instant // IncompleteSince is when the first part of an incomplete message arrived, or zero if no message is incomplete.
	OpenedAt        clock.Instant // OpenedAt is when the connection was established.
	AnsweredAt      clock.Instant // AnsweredAt is when the first data arrived on the connection, or zero if none has arrived.
	Superseded      bool          // Superseded means that a newer connection to the same node works; see Compare.
}

// Usable reports whether requests may be sent on the connection. A connection that awaits the answer to a
// health check or the rest of a message is not usable.
func (s ConnState) Usable() bool { return s.HealthCheckSent.IsZero() && s.IncompleteSince.IsZero() }

// expectsMessage reports whether the node still has to answer a request or to report the end of a task.
func (s ConnState) expectsMessage() bool { return s.PendingRequests > 0 || s.RunsTasks }

// closableWithoutLoss reports whether the connection can be closed without losing the answer to a request or
// the report that a task has ended. The report is not lost if there is another connection to the node.
func (s ConnState) closableWithoutLoss() bool {
	return s.PendingRequests == 0 && (!s.RunsTasks || s.HasAlternative)
}

// KeepAliveAction is an action on a connection that carries many requests at a time.
type KeepAliveAction uint8

// The constants of type KeepAliveAction are the results of MultiplexedPolicy.KeepAlive.
const (
	NoAction          KeepAliveAction = iota
	SendHealthCheck                   // SendHealthCheck means that the caller sends a health check on the connection.
	CloseIdle                         // CloseIdle means that the caller closes the connection because it is idle; this loses no message.
	CloseUnresponsive                 // CloseUnresponsive means that the caller closes the connection; the outcomes of its pending requests are unknown.
	KeepSilent                        // KeepSilent means that the caller gives up the pending requests on the connection and keeps it open, because the node may still report the end of a task on it.
)

// KeepAlive returns the action that is due at the given time on a connection in the given state.
func (p MultiplexedPolicy) KeepAlive(now clock.Instant, s ConnState) KeepAliveAction {
	if !s.IncompleteSince.IsZero() && now.Sub(s.IncompleteSince) > p.HealthCheckTimeout {
		return CloseUnresponsive
	}
	if p.Silent(now, s) {
		if s.RunsTasks && !s.Superseded {
			return KeepSilent
		}
		return CloseUnresponsive
	}
	if !s.HealthCheckSent.IsZero() {
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

// Reachability determines whether a node that runs tasks can be reached, based on received messages and
// failed dials. If the host of the node has crashed or is cut off by a network partition, nothing arrives on
// open connections and dials time out. If only the node's process has ended, the host still works and refuses
// connections.
type Reachability struct {
	UnresponsiveAfter time.Duration // UnresponsiveAfter is the time without messages after which a node counts as unresponsive if a dial has failed.
	ProcessEndedAfter time.Duration // ProcessEndedAfter is how long the host must refuse connections before the node's process counts as ended.

	lastReceived  clock.Instant
	refusedSince  clock.Instant // refusedSince is when dials began to be refused, or zero if the last dial was not refused.
	hasFailedDial bool          // hasFailedDial means that a dial to the node has failed since lastReceived.
}

// Established records that a connection to the node was established. This is no sign of life of the node: its
// host accepts connections also while the node hangs.
func (r *Reachability) Established() {
	r.refusedSince = 0
	r.hasFailedDial = false
}

// Received records that a message from the node arrived.
func (r *Reachability) Received(now clock.Instant) {
	r.lastReceived = now
	r.refusedSince = 0
	r.hasFailedDial = false
}

// DialFailed records that a dial to the node failed. The argument refused is true if the host refused the
// connection, and false if the dial timed out.
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

// NodeStatus describes whether a node can be reached.
type NodeStatus uint8

// The constants of type NodeStatus are the results of Reachability.Status.
const (
	Reachable    NodeStatus = iota
	ProcessEnded            // ProcessEnded means that the host refuses connections, so the node's process and all its tasks have ended.
	Unresponsive            // Unresponsive means that the node does not answer, but its tasks possibly still run.
)

// Status returns the status of the node at the given time. A node is unresponsive only if a dial has failed,
// because a node that was not dialed may simply have had nothing to report.
func (r *Reachability) Status(now clock.Instant) NodeStatus {
	switch {
	case !r.refusedSince.IsZero() && now.Sub(r.refusedSince) > r.ProcessEndedAfter:
		return ProcessEnded
	case r.hasFailedDial && r.refusedSince.IsZero() && now.Sub(r.lastReceived) > r.UnresponsiveAfter:
		return Unresponsive
	}
	return Reachable
}
