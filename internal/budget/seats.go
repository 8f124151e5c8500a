package budget

// Guest is one connection, as seen by who must make room for another.
type Guest struct {
	Busy  bool    // something is under way on it
	Known bool    // something on it once came to a good end
	Idle  float64 // seconds since it last said something that made sense
}

// Missed returns the guest that is missed least when a seat is needed: strangers before those that are known, the longest idle first, and
// none on which something is under way. It returns -1 if all are busy.
func Missed(guests []Guest) int {
	least := -1
	for i, g := range guests {
		if g.Busy {
			continue
		}
		if least < 0 || guests[least].Known && !g.Known || guests[least].Known == g.Known && g.Idle > guests[least].Idle {
			least = i
		}
	}
	return least
}
