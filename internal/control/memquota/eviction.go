package memquota

import "time"

// Candidate is a connection that may be evicted to free a connection slot.
type Candidate struct {
	Busy        bool          // a request is in flight on it
	Established bool          // a request on it has completed successfully
	Idle        time.Duration // since its last valid message
}

// SelectEviction returns the index of the candidate to evict when a connection slot is needed: never a busy one, candidates that are not
// established before those that are, and among these the longest idle, the first of equals. It returns -1 if all are busy.
func SelectEviction(candidates []Candidate) int {
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

// evictedBefore reports whether c is to be evicted rather than other. Neither is busy.
func (c Candidate) evictedBefore(other Candidate) bool {
	if c.Established != other.Established {
		return other.Established
	}
	return c.Idle > other.Idle
}
