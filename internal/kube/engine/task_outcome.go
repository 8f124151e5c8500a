package engine

import (
	"heathshed/internal/kube/wellknown"
)

// taskOutcome is the final outcome of the placement of a task. It is the reason of the Settled condition in
// the Pod's status.
type taskOutcome string

const (
	// outcomePlaced means that a node has accepted the task.
	outcomePlaced taskOutcome = wellknown.Placed
	// outcomeRejected means that the task certainly never ran and will not be requested again.
	outcomeRejected taskOutcome = wellknown.Rejected
	// outcomeFailed means that the task will not be requested again but may have run.
	outcomeFailed taskOutcome = wellknown.Failed
)

// stopReason states why the engine stops a task; "" means that the task is not being stopped. It becomes the
// reason in the Pod's status. If a Job fails as a whole, the reason of this failure is the stopReason of its
// tasks.
type stopReason string

const (
	stopDeleted   stopReason = "Deleted"
	stopEvicted   stopReason = "Evicted"
	stopMigrated  stopReason = "Moved"
	stopSuspended stopReason = "Suspended"
)

// isStopping reports whether the engine stops the task or has stopped it.
func (t *task) isStopping() bool { return t.stopReason != "" }
