package memquota

import "time"

// EvictionCandidate is a connection that may be evicted to free a connection slot.
type EvictionCandidate struct {
	Busy        bool          // Busy means that a request is in flight on the connection.
	Established bool          // Established means that a request on the connection has completed successfully.
	IdleTime    time.Duration // IdleTime is the time since the last valid message on the connection.
}

// SelectEviction returns the index of the candidate to evict when a connection slot is needed, or -1 if all
// candidates are busy. It never selects a busy candidate, and it selects candidates that are not established
// before those that are. Among the remaining ones it selects the candidate with the longest idle time, and
// the first of several with equal idle times.
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

// evictedBefore reports whether c is to be evicted rather than other. Both candidates must not be busy.
func (c EvictionCandidate) evictedBefore(other EvictionCandidate) bool {
	if c.Established != other.Established {
		return other.Established
	}
	return c.IdleTime > other.IdleTime
}
