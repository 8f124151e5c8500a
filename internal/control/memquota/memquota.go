// Package memquota divides memory among the parts of the program, and among the connections of a server. It
// decides how much more memory the server may allocate for each connection. It also decides which connection is
// evicted when all connections together exceed their limit. To evict a connection means to close it.
//
// The package reads no clock and draws no random numbers: callers pass in the time. A Budget limits the memory
// of connections. The function Divide computes how much memory each part of the program may use. The function
// SelectEviction selects the connection to close when connection slots, rather than bytes, run out.
//
// A connection whose allocations can be deferred, such as one on which a watch sends changes, may use at most
// as much memory as is still free. This rule is the dynamic threshold of Choudhury and Hahne, "Dynamic queue
// length thresholds for shared-memory packet switches", 1998. If each of n connections uses as much memory as
// it may, each uses a fraction of 1/(n+1) of the total, so some memory always remains for the next
// connection.
//
// An allocation that cannot be deferred, such as the body of a request, is made first and reported to the
// Budget afterwards. If the connections then use more than the total, connections are evicted until the
// remaining connections use at most the total. Let m be the memory of the connection that uses the most
// memory. Only a connection that uses more than m/2 can be evicted. Of these connections, the one whose
// memory has not decreased for the longest time is evicted first. A connection is therefore never evicted
// while another connection uses more than twice as much memory.
package memquota

// Shares holds the number of bytes that each part of the program may use.
type Shares struct {
	Connections int64 // Connections is the memory for requests with their bodies, and for responses and watch events that clients have not read yet.
	History     int64 // History is the memory for past changes of objects, which are retained for watches.
	Objects     int64 // Objects is the memory for jobs, tasks and nodes together with their encoded forms.
}

// MinMemory is the smallest amount of memory, in bytes, that Divide splits into shares. Divide replaces a
// smaller amount with MinMemory.
const MinMemory = 64 << 20

// Divide splits the given number of bytes among the parts of the program. If the number is below MinMemory,
// Divide splits MinMemory instead. The sum of the shares is at most the number that Divide splits.
func Divide(memory int64) Shares {
	memory = max(memory, MinMemory)
	shares := Shares{Connections: memory / 16, History: memory / 8}
	reserve := memory / 4 // reserve is the memory for all parts of the program that have no field in Shares.
	shares.Objects = memory - shares.Connections - shares.History - reserve
	return shares
}
