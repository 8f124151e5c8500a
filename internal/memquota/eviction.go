package memquota

// Candidate is one connection, as seen by who must make room for another.
type Candidate struct {
	Busy   bool    // something is under way on it
	Proven bool    // something on it once came to a good end
	Idle   float64 // seconds since it last said something that made sense
}

// SelectEviction returns the candidate that is missed least when a seat is needed: strangers before those that are known, the longest idle first, and
// none on which something is under way. It returns -1 if all are busy.
func SelectEviction(candidates []Candidate) int {
	least := -1
	for i, g := range candidates {
		if g.Busy {
			continue
		}
		if least < 0 || candidates[least].Proven && !g.Proven || candidates[least].Proven == g.Proven && g.Idle > candidates[least].Idle {
			least = i
		}
	}
	return least
}
