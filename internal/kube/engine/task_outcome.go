package engine

import (
	"heathshed/internal/kube/wellknown"
)

// taskOutcome is the final outcome of a task's placement. It is the reason of the Settled condition of its Pod.
type taskOutcome string

const (
	// outcomePlaced: a node has accepted the task.
	outcomePlaced taskOutcome = wellknown.Placed
	// outcomeRejected: the task certainly never ran, and is not requested again.
	outcomeRejected taskOutcome = wellknown.Rejected
	// outcomeFailed: the task is not requested again, and may have run.
	outcomeFailed taskOutcome = wellknown.Failed
)

// stopReason is why the engine stops a task, "" if it does not. It becomes the reason in the status of its Pod. A Job that fails as a whole
// stops its tasks for its own reason.
type stopReason string

const (
	stopDeleted   stopReason = "Deleted"
	stopEvicted   stopReason = "Evicted"
	stopMigrated  stopReason = "Moved"
	stopSuspended stopReason = "Suspended"
)

// isStopping reports whether the task is to stop.
func (t *task) isStopping() bool { return t.stopReason != "" }
