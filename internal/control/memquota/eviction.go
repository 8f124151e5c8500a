package memquota

import "time"

// EvictionCandidate describes a connection that can be closed to free a connection slot.
type EvictionCandidate struct {
	Busy        bool          // Busy means that a request is in flight on the connection.
	Established bool          // Established means that a request on the connection has completed successfully.
	IdleTime    time.Duration // IdleTime is the time since the last valid message on the connection.
}

// SelectEviction returns the index of the connection to evict when a connection slot is needed, or -1 if all
// connections are busy. It never selects a busy connection. It selects an established connection only if each
// other connection is established or busy. Among the connections that it can select by these rules, it selects
// the one with the longest idle time, or the first of those with the longest idle time.
func SelectEviction(candidates []EvictionCandidate) int {
	selected := -1
	for i, candidate := range candidates {
		if candidate.Busy {
			continue
		}
		if selected < 0 || candidate.evictedBefore(candidates[selected]) {
			selected = i
		}
	}
	return selected
}

// evictedBefore reports whether the connection c is selected for eviction rather than the connection other.
// Neither connection may be busy.
func (c EvictionCandidate) evictedBefore(other EvictionCandidate) bool {
	if c.Established != other.Established {
		return other.Established
	}
	return c.IdleTime > other.IdleTime
}
