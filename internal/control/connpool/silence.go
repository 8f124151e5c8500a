package connpool

import (
	"time"

	"heathshed/internal/control/clock"
)

// A node that hangs answers on no connection, while its host still accepts new ones. When the node goes on, it
// reports the ends of its tasks on the connections that it takes for open, and on the next one that it
// accepts. A connection on which a report may still arrive must therefore stay open until a newer one works. A
// single connection can also be of no use while the node answers on others: then, too, a newer one is needed.
const (
	// MaxSilentConns is the maximum number of connections to one node if any of them is silent: the one on which
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

// NeedsReplacement reports whether another connection to the node must be opened: no connection is left, or the
// newest one is silent and has had its time. An older connection that works is no substitute: the node reports
// the end of a task on the connection of its request, although that one is of no use, and on the next connection
// that is opened.
func (p MultiplexedPolicy) NeedsReplacement(now clock.Instant, conns []*ConnState) bool {
	if len(conns) == 0 {
		return true
	}
	return len(conns) < MaxSilentConns && p.newestIsUseless(now, conns)
}

// Expendable returns the newest connection if MaxSilentConns connections to the node are open and the newest one
// is silent and has had its time, and nil otherwise. The caller closes it, so that another one can be opened in
// its place. The others stay open, because the node reports on the older ones first.
func (p MultiplexedPolicy) Expendable(now clock.Instant, conns []*ConnState) *ConnState {
	if len(conns) < MaxSilentConns || !p.newestIsUseless(now, conns) {
		return nil
	}
	return newestConn(conns)
}

// newestIsUseless reports whether the newest connection is silent and has had its time.
func (p MultiplexedPolicy) newestIsUseless(now clock.Instant, conns []*ConnState) bool {
	newest := newestConn(conns)
	return p.Silent(now, *newest) && newest.hadItsTime(now, conns)
}

func newestConn(conns []*ConnState) *ConnState {
	newest := conns[0]
	for _, s := range conns {
		if s.OpenedAt > newest.OpenedAt {
			newest = s
		}
	}
	return newest
}

// hadItsTime reports whether it is certain that a silent connection is of no use, rather than that its node
// hangs: it has answered before, it was opened long ago, or the node has since sent data on another connection.
func (s *ConnState) hadItsTime(now clock.Instant, conns []*ConnState) bool {
	for _, other := range conns {
		if other != s && other.LastReceived > s.HealthCheckSent && !other.AnsweredAt.IsZero() {
			return true
		}
	}
	return !s.AnsweredAt.IsZero() || now.Sub(s.OpenedAt) > silentReplacement
}
