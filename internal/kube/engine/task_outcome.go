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
	// outcomeRejected means that the task gets no further placement request and certainly never ran.
	outcomeRejected taskOutcome = wellknown.Rejected
	// outcomeFailed means that the task gets no further placement request but may have run.
	outcomeFailed taskOutcome = wellknown.Failed
)

// stopReason states why the engine stops a task. "" means that the engine does not stop the task. The
// stopReason becomes the reason in the status of the Pod. If a Job fails as a whole, the failure reason of
// the Job is the stopReason of its tasks.
type stopReason string

const (
	stopDeleted   stopReason = "Deleted"
	stopEvicted   stopReason = "Evicted"
	stopMigrated  stopReason = "Moved"
	stopSuspended stopReason = "Suspended"
)

// isStopping reports whether the engine stops the task or has stopped it.
func (t *task) isStopping() bool { return t.stopReason != "" }
