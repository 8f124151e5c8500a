package connpool

import (
	"time"

	"heathshed/internal/control/clock"
)

// A node that hangs answers on no connection, while its host still accepts new ones. When the node goes on, it
// reports the ends of its tasks on the connections that it takes for open, and on the next one that it
// accepts. A connection on which a report may still arrive must therefore stay open until a newer one works.
const (
	// MaxSilentConns is the maximum number of silent connections to one node that are kept: the one on which
	// the tasks were requested, the first one that was opened after it, and one more that may prove the others
	// broken.
	MaxSilentConns = 3
	// silentReplacement is how long a connection on which nothing has arrived since it was opened is waited
	// for before another one is opened.
	silentReplacement = 8 * time.Second
)

// Silent reports whether a health check on the connection was not answered in time.
func (p MultiplexedPolicy) Silent(now clock.Instant, s ConnState) bool {
	return !s.HealthCheckSent.IsZero() && now.Sub(s.HealthCheckSent) > p.HealthCheckTimeout
}

// Compare sets HasAlternative and Superseded in the states of the connections to one node. A connection has an
// alternative if another one is not silent. It is superseded when a connection that was opened later has worked
// for HealthCheckTimeout, so that a node that only hung has had the time to answer on the older one as well.
func (p MultiplexedPolicy) Compare(now clock.Instant, conns []*ConnState) {
	for _, s := range conns {
		s.HasAlternative, s.Superseded = false, false
		for _, other := range conns {
			if other != s && !p.Silent(now, *other) {
				s.HasAlternative = true
			}
			isNewer := other.OpenedAt > s.OpenedAt && !other.AnsweredAt.IsZero()
			if isNewer && !p.Silent(now, *other) && now.Sub(other.AnsweredAt) > p.HealthCheckTimeout {
				s.Superseded = true
			}
		}
	}
}

// NeedsReplacement reports whether another connection to the node must be opened: no connection is left, or
// all of them are silent and the newest one has had its time.
func (p MultiplexedPolicy) NeedsReplacement(now clock.Instant, conns []*ConnState) bool {
	var newest *ConnState
	for _, s := range conns {
		if !p.Silent(now, *s) {
			return false
		}
		if newest == nil || s.OpenedAt > newest.OpenedAt {
			newest = s
		}
	}
	return newest == nil || len(conns) < MaxSilentConns && newest.hadItsTime(now)
}

// hadItsTime reports whether a silent connection has answered before, or was opened long ago.
func (s *ConnState) hadItsTime(now clock.Instant) bool {
	return !s.AnsweredAt.IsZero() || now.Sub(s.OpenedAt) > silentReplacement
}

// Expendable returns the newest connection if MaxSilentConns connections to the node are silent and the newest
// one has had its time, and nil otherwise. The caller closes it, so that another one can be opened in its
// place. The others stay open, because the node reports on the older ones first.
func (p MultiplexedPolicy) Expendable(now clock.Instant, conns []*ConnState) *ConnState {
	if len(conns) < MaxSilentConns {
		return nil
	}
	newest := conns[0]
	for _, s := range conns {
		if !p.Silent(now, *s) {
			return nil
		}
		if s.OpenedAt > newest.OpenedAt {
			newest = s
		}
	}
	if !newest.hadItsTime(now) {
		return nil
	}
	return newest
}
