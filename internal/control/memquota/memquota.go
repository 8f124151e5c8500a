// Package memquota divides memory: among the parts of the program, and among the users of one part, such as connections, none of which is
// trusted to limit its own use. It decides how much more each user may allocate, and which user is evicted when they use too much anyway.
//
// It is pure: time is passed in, and there is no randomness. Begin with Budget; Divide gives the totals of budgets, SelectEviction chooses the
// connection that is closed when connection slots, rather than bytes, run out.
//
// A user whose allocations can be deferred, such as a watch that sends changes, may use as much as is still free, and no more (the dynamic
// threshold of Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998). However many users do so,
// something remains for the next: n of them use a fraction of 1/(n+1) each. An allocation that cannot be deferred, such as the body of a
// request, is made and reported. If the total is then exceeded, the largest user is evicted until the rest fits, and among users of about the
// same size the one that has made no progress for the longest. So a user is never evicted while one with more than twice its use remains.
package memquota

// Shares is how memory is divided, in bytes.
type Shares struct {
	Connections int64 // requests, bodies, responses and watch events that clients have not read yet
	History     int64 // past changes, retained for watches
	Objects     int64 // jobs, tasks and nodes, with their encodings
}

// MinMemory is the minimum memory that is divided, in bytes.
const MinMemory = 64 << 20

// Divide splits memory, in bytes, into shares whose sum never exceeds it. Less than MinMemory counts as MinMemory.
func Divide(memory int64) Shares {
	memory = max(memory, MinMemory)
	shares := Shares{Connections: memory / 16, History: memory / 8}
	reserve := memory / 4 // for everything that has no share
	shares.Objects = memory - shares.Connections - shares.History - reserve
	return shares
}
