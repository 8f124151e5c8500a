// Package connpool holds the policies for reusing connections. They decide on which connection a request is
// sent, when a connection is checked or closed, and when a node is considered unreachable. The package opens
// no connections and reads no clock.
//
// The HTTP client in package httpc calls Policy.Choose to select among connections that carry one request at
// a time. Package server of the platform protocol, whose connections to nodes carry many requests at a time,
// calls MultiplexedPolicy.KeepAlive and Reachability.
package connpool

import "time"

// Policy selects among connections that carry one request at a time.
//
// The peer may close an idle connection at the moment at which a request is sent on it. It is then unknown
// whether the peer received the request. An idempotent request is sent again. For any other request the
// client has to determine the outcome, which takes seconds. Such a request is therefore sent only on a
// connection that was in use very recently, or else on a new connection: if dialing fails, nothing was sent.
type Policy struct {
	MaxConns             int           // MaxConns is the largest number of open connections.
	MaxIdle              time.Duration // MaxIdle is the idle time after which a connection is not used again.
	MaxIdleNonIdempotent time.Duration // MaxIdleNonIdempotent replaces MaxIdle for requests that are not idempotent.
}

// DefaultPolicy returns a policy whose limits are well below those that servers commonly have.
func DefaultPolicy() Policy {
	return Policy{MaxConns: 32, MaxIdle: time.Minute, MaxIdleNonIdempotent: time.Second}
}

// Action tells the HTTP client how to obtain a connection for a request.
type Action uint8

// The constants of type Action are the results of Policy.Choose.
const (
	UseIdle     Action = iota // The request is sent on the idle connection Decision.Index.
	Dial                      // A new connection is opened for the request.
	ReplaceIdle               // The idle connection Decision.Index, the longest idle one, is closed and a new one is opened.
	Wait                      // The request is queued until a connection is free.
)

// Decision is an action together with the idle connections that are to be closed first, because they have
// been idle for longer than MaxIdle. Index and Stale are indexes into the list that was passed to Choose.
type Decision struct {
	Action Action
	Index  int
	Stale  []int
}

// Choose decides how one request obtains a connection. The list idle contains the time for which each idle
// connection has been unused. The number open counts all connections, including idle ones and those that are
// being dialed. Choose prefers the most recently used connection, so that surplus connections become stale.
func (p Policy) Choose(idle []time.Duration, open int, nonIdempotent bool) Decision {
	var decision Decision
	shortestIdle, longestIdle := -1, -1
	for i, idleTime := range idle {
		if idleTime > p.MaxIdle {
			decision.Stale = append(decision.Stale, i)
			open--
			continue
		}
		if shortestIdle < 0 || idleTime < idle[shortestIdle] {
			shortestIdle = i
		}
		if longestIdle < 0 || idleTime > idle[longestIdle] {
			longestIdle = i
		}
	}
	switch {
	case shortestIdle >= 0 && (!nonIdempotent || idle[shortestIdle] <= p.MaxIdleNonIdempotent):
		decision.Action = UseIdle
		decision.Index = shortestIdle
	case open < max(p.MaxConns, 1):
		decision.Action = Dial
	case longestIdle >= 0:
		decision.Action = ReplaceIdle
		decision.Index = longestIdle
	default:
		decision.Action = Wait
	}
	return decision
}
