// Package connpool contains policies for network connections. They decide on which connection a request is
// sent, when a health check is sent on a connection, when a connection is closed, and when a node counts as
// unreachable. The package opens no connections and reads no clock.
//
// The HTTP client in package httpc calls Policy.Choose to select among connections that carry one request at
// a time. Package platform/server, whose connections to nodes carry many requests at a time, uses
// MultiplexedPolicy and Reachability.
package connpool

import "time"

// Policy selects among connections that carry one request at a time.
//
// The peer can close an idle connection at the moment at which the client sends a request on it. The client
// then does not know whether the peer received the request. The client simply sends an idempotent request
// again. For any other request, the client first has to determine the outcome, which takes seconds. A request
// that is not idempotent is therefore sent only on a new connection, or on a connection that was in use so
// recently that the peer is unlikely to close it.
type Policy struct {
	MaxConns             int           // MaxConns is the largest number of open connections; a value below 1 counts as 1.
	MaxIdle              time.Duration // MaxIdle is the longest idle time after which a connection is used again; after a longer time, it is closed.
	MaxIdleNonIdempotent time.Duration // MaxIdleNonIdempotent is the longest idle time after which a connection is used for a request that is not idempotent.
}

// DefaultPolicy returns a policy for connections to common servers. Its MaxIdle is well below the idle time
// after which such servers close a connection, and its MaxConns is well below the number of connections that
// they accept.
func DefaultPolicy() Policy {
	return Policy{MaxConns: 32, MaxIdle: time.Minute, MaxIdleNonIdempotent: time.Second}
}

// Action tells the HTTP client how to obtain a connection for a request.
type Action uint8

// The constants of type Action are the results of Policy.Choose.
const (
	UseIdle     Action = iota // UseIdle means that the client sends the request on the idle connection Decision.Index.
	Dial                      // Dial means that the client opens a new connection for the request.
	ReplaceIdle               // ReplaceIdle means that the client closes the longest idle connection, Decision.Index, and opens a new one.
	Wait                      // Wait means that the client queues the request until a connection is free.
)

// Decision states how a request obtains a connection. Index identifies the idle connection to which the
// Action applies. Stale identifies the connections that the client closes before the Action, because they
// have been idle for longer than Policy.MaxIdle. Both contain indexes into the idleTimes that were passed to
// Policy.Choose.
type Decision struct {
	Action Action
	Index  int
	Stale  []int
}

// Choose decides how one request obtains a connection. The argument idleTimes contains the idle time of each
// idle connection. The argument openConns is the number of all connections, including idle ones and those
// that are being dialed. Choose prefers the most recently used connection, so surplus connections become
// stale and are closed.
func (p Policy) Choose(idleTimes []time.Duration, openConns int, nonIdempotent bool) Decision {
	var decision Decision
	mostRecent, leastRecent := -1, -1
	for i, idleTime := range idleTimes {
		if idleTime > p.MaxIdle {
			decision.Stale = append(decision.Stale, i)
			openConns--
			continue
		}
		if mostRecent < 0 || idleTime < idleTimes[mostRecent] {
			mostRecent = i
		}
		if leastRecent < 0 || idleTime > idleTimes[leastRecent] {
			leastRecent = i
		}
	}
	switch {
	case mostRecent >= 0 && (!nonIdempotent || idleTimes[mostRecent] <= p.MaxIdleNonIdempotent):
		decision.Action = UseIdle
		decision.Index = mostRecent
	case openConns < max(p.MaxConns, 1):
		decision.Action = Dial
	case leastRecent >= 0:
		decision.Action = ReplaceIdle
		decision.Index = leastRecent
	default:
		decision.Action = Wait
	}
	return decision
}
