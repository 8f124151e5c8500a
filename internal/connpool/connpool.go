// Package connpool decides which connection a request to a machine goes out on. It is pure.
//
// A connection that has been idle may have been closed at the other end just now; a request on it then ends without word whether it was
// read. For most requests that costs a repeat. For an offer of a task that must not run twice it costs a doubt, and seconds of waiting, so
// such an offer takes a connection only while it is fresh, and otherwise a new one, whose failure proves that nothing was sent.
package connpool

// Policy bounds connections. Times are in seconds.
type Policy struct {
	MaxConns             int     // open at a time
	MaxIdle              float64 // one idle for longer is not used again
	MaxIdleNonIdempotent float64 // and for a careful request one idle for longer than this
}

// DefaultPolicy keeps well under what servers commonly allow.
func DefaultPolicy() Policy { return Policy{MaxConns: 32, MaxIdle: 60, MaxIdleNonIdempotent: 1} }

// Action is what to do with a request.
type Action uint8

// The choices. Use takes idle connection Index. Dial opens one. Replace closes idle connection Index, the longest idle, and opens one. Wait
// holds the request until a connection is free.
const (
	Use Action = iota
	Dial
	Replace
	Wait
)

// Decision is a choice, with the idle connections that are too old to be used by any request: these are to be closed first. Index counts in
// the list that was passed in.
type Decision struct {
	Action Action
	Index  int
	Stale  []int
}

// Choose decides for one request. idle holds for how long each idle connection has been unused; open counts all connections, the idle ones
// and those being opened included. The most recently used one is taken, so that the others age and go.
func (p Policy) Choose(idle []float64, open int, nonIdempotent bool) Decision {
	var decision Decision
	freshest, oldest := -1, -1
	for i, age := range idle {
		if age > p.MaxIdle {
			decision.Stale = append(decision.Stale, i)
			open--
			continue
		}
		if freshest < 0 || age < idle[freshest] {
			freshest = i
		}
		if oldest < 0 || age > idle[oldest] {
			oldest = i
		}
	}
	switch {
	case freshest >= 0 && (!nonIdempotent || idle[freshest] <= p.MaxIdleNonIdempotent):
		decision.Action, decision.Index = Use, freshest
	case open < max(p.MaxConns, 1):
		decision.Action = Dial
	case oldest >= 0:
		decision.Action, decision.Index = Replace, oldest
	default:
		decision.Action = Wait
	}
	return decision
}
