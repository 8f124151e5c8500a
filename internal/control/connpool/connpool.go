// Package connpool holds the policies of connection reuse: which connection a request is sent on, when a connection is checked or closed,
// and when a node is considered unreachable. It opens no connection itself and reads no clock.
//
// Package httpc, the HTTP client, chooses among connections that carry one request at a time by Policy.Choose. The platform's package server,
// whose connections to nodes carry many requests, calls MultiplexedPolicy.KeepAlive and Reachability.
package connpool

import "time"

// Policy chooses connections that carry one request at a time.
//
// The peer may close an idle connection at the moment at which a request is sent on it. Whether that request was received is then
// unknown. An idempotent request is simply sent again. For another one the outcome has to be determined, which takes seconds, so it only
// uses a connection that was in use a moment ago; otherwise a new one is dialed, and if that fails, nothing was sent.
type Policy struct {
	MaxConns             int           // open at a time
	MaxIdle              time.Duration // a connection that has been idle for longer is not used again
	MaxIdleNonIdempotent time.Duration // as MaxIdle, for requests that are not idempotent
}

// DefaultPolicy returns limits well under those that servers commonly have.
func DefaultPolicy() Policy {
	return Policy{MaxConns: 32, MaxIdle: time.Minute, MaxIdleNonIdempotent: time.Second}
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	UseIdle     Action = iota // send it on the idle connection Index
	Dial                      // open a connection for it
	ReplaceIdle               // close the idle connection Index, the longest idle, and open one
	Wait                      // queue it until a connection is free
)

// Decision is an action, and the idle connections to close first because they are too old to be used. Indexes refer to the list passed to
// Choose.
type Decision struct {
	Action Action
	Index  int
	Stale  []int
}

// Choose decides for one request. idle holds for how long each idle connection has been unused; open counts all connections, the idle ones
// and those being dialed included. The most recently used connection is preferred, so that surplus ones become stale.
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
