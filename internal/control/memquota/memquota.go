// Package memquota divides memory among the parts of the program, and among the users of one part, such as
// connections. No user is trusted to limit its own memory. The package decides how much more memory each user
// may allocate, and which user is evicted when all users together exceed the limit.
//
// The package reads no clock and draws no random numbers: callers pass in the time. The central type is
// Budget. The function Divide computes the totals of the budgets, and SelectEviction selects the connection
// to close when connection slots, rather than bytes, run out.
//
// A user whose allocations can be deferred, such as a watch that sends changes, may use at most as much
// memory as is still free. This is the dynamic threshold of Choudhury and Hahne, "Dynamic queue length
// thresholds for shared-memory packet switches", 1998. If n users allocate as much as they may, each uses a
// fraction of 1/(n+1), so some memory always remains for the next user.
//
// An allocation that cannot be deferred, such as the body of a request, is made first and reported
// afterwards. If the total is then exceeded, users are evicted until the rest fits. The candidates are the
// users with more than half the memory of the largest user, and the first one evicted is the one whose memory
// has not decreased for the longest time. A user is therefore never evicted while another user has more than
// twice its memory.
package memquota

// Shares holds the number of bytes that each part of the program may use.
type Shares struct {
	Connections int64 // Connections covers requests, bodies, responses and watch events that clients have not read yet.
	History     int64 // History covers past changes, which are retained for watches.
	Objects     int64 // Objects covers jobs, tasks and nodes with their encodings.
}

// MinMemory is the smallest amount of memory that Divide splits, in bytes.
const MinMemory = 64 << 20

// Divide splits a number of bytes into shares whose sum never exceeds it. A value below MinMemory counts as
// MinMemory.
func Divide(memory int64) Shares {
	memory = max(memory, MinMemory)
	shares := Shares{Connections: memory / 16, History: memory / 8}
	reserve := memory / 4 // reserve is the memory for everything that has no share of its own.
	shares.Objects = memory - shares.Connections - shares.History - reserve
	return shares
}
