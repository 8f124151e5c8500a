package memquota

// Candidate is one connection, as seen by who must make room for another.
type Candidate struct {
	Busy        bool    // something is under way on it
	Established bool    // something on it once came to a good end
	IdleSeconds float64 // seconds since it last said something that made sense
}

// SelectEviction returns the candidate that is missed least when a seat is needed: strangers before those that are known, the longest idle first, and
// none on which something is under way. It returns -1 if all are busy.
func SelectEviction(candidates []Candidate) int {
	selected := -1
	for i, candidate := range candidates {
		if candidate.Busy {
			continue
		}
		if selected < 0 || candidates[selected].Established && !candidate.Established || candidates[selected].Established == candidate.Established && candidate.IdleSeconds > candidates[selected].IdleSeconds {
			selected = i
		}
	}
	return selected
}
