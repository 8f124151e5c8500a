// Package memquota divides memory: among the parts of the program, and among the users of one part, such as connections, none of which is
// trusted to be modest. It decides how much more each user may allocate, and which user is evicted when they hold too much all the same.
//
// It is pure: time is passed in, and there is no randomness.
//
// A user whose allocations can be deferred, such as a watch that sends changes, may hold as much as is still free, and no more (the dynamic
// threshold of Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998). However many users do so,
// something stays free for the next: n of them hold a part of 1/(n+1) each. An allocation that cannot be deferred, such as the body of a
// request, is made and reported. If the total is exceeded then, the largest user is evicted until the rest fits, and of users of about the same
// size the one that has made no progress for the longest. So a user is never evicted because of one that holds less than half as much.
package memquota

// Shares is how memory is divided, in bytes.
type Shares struct {
	Connections int64 // requests, bodies, responses and watch events that clients have not read yet
	History     int64 // past changes, retained for watches
	Objects     int64 // jobs, tasks and nodes, with their encodings
}

// MinMemory is the least memory that is divided, in bytes.
const MinMemory = 64 << 20

// Divide splits memory, in bytes, into shares whose sum never exceeds it. Less than MinMemory counts as MinMemory.
func Divide(memory int64) Shares {
	memory = max(memory, MinMemory)
	shares := Shares{Connections: memory / 16, History: memory / 8}
	unshared := memory / 4 // for whatever has no share of its own
	shares.Objects = memory - shares.Connections - shares.History - unshared
	return shares
}
