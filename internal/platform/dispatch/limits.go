package dispatch

const (
	// maxTasks limits the total number of open placement requests and running tasks, whatever the memory.
	maxTasks = 20000
	// defaultMemoryBytes is the memory of a process without a memory limit, as far as Limits are concerned.
	defaultMemoryBytes = 512 << 20
	// taskBytes is the memory that a running task or an open request takes beside its message: its records here
	// and in the placer, and its timers.
	taskBytes = 2 << 10
	// abandonedAttemptBytes is the memory that an abandoned attempt takes.
	abandonedAttemptBytes = 1 << 10
)

// These divisors give the share of the process's memory that each kind of record may take.
const (
	taskMemoryDivisor             = 4
	openRequestMemoryDivisor      = 8
	abandonedAttemptMemoryDivisor = 16
)

// Limits are the limits on what the core keeps for clients. NewLimits computes them from the memory of the
// process. The records beyond a limit are rejected or dropped, as the field says.
type Limits struct {
	// Tasks is the maximum number of open requests and running tasks. Further requests are rejected, and further
	// adoption requests are ignored.
	Tasks int
	// UnverifiedAdoptions is the maximum number of adopted tasks about which no node has sent a message; see
	// adoptionQuota.
	UnverifiedAdoptions int
	// OpenRequestBytes is the maximum size of all open requests in bytes; see requestQuota.
	OpenRequestBytes int
	// AbandonedAttempts is the maximum number of abandoned attempts. The oldest one is dropped for a new one.
	AbandonedAttempts int
}

// NewLimits returns the limits for a process that may use the given number of bytes of memory. The value 0 means
// that the memory is not limited.
func NewLimits(memoryBytes int64) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	memory := int(min(memoryBytes, defaultMemoryBytes))
	tasks := min(maxTasks, memory/taskMemoryDivisor/taskBytes)
	return Limits{
		Tasks:               tasks,
		UnverifiedAdoptions: tasks * 3 / 4, // The rest remains for new requests and for tasks that nodes have confirmed.
		OpenRequestBytes:    memory / openRequestMemoryDivisor,
		AbandonedAttempts:   min(maxTasks, memory/abandonedAttemptMemoryDivisor/abandonedAttemptBytes),
	}
}
