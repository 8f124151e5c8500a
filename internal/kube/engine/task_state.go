package engine

// taskState is the state of a task from the creation of its Pod until the task is removed from the engine.
type taskState uint8

const (
	// taskCreated means that the Pod is stored and that no placement request exists yet. No task is in this
	// state at the end of a call.
	taskCreated taskState = iota
	// taskQueued means that a placement request of the task waits at the admission controller, and that
	// the engine has not submitted the request to the placer.
	taskQueued
	// taskSubmitted means that the placer has a placement request of the task and that no attempt is in
	// flight.
	taskSubmitted
	// taskAttempting means that an attempt is in flight.
	taskAttempting
	// taskWaiting means that the task has no open placement request. Either a retry is scheduled, or the
	// engine waits until the unknown outcome of an attempt becomes known.
	taskWaiting
	// taskBound means that a node accepted the task but has not reported it as running yet.
	taskBound
	// taskRunning means that the node reported the task as running.
	taskRunning
	// taskTerminating means that the task has ended but that attempts with an unknown outcome are still
	// being fenced.
	taskTerminating
	// taskRemoved means that the task was removed from the task table.
	taskRemoved

	taskStateCount
)

var taskStateNames = [taskStateCount]string{
	"created", "queued", "submitted", "attempting", "waiting", "bound", "running", "terminating", "removed",
}

func (s taskState) String() string { return taskStateNames[s] }

// taskTransitions lists, for each state of a task, the states that may follow it.
//
// While a task is queued, submitted or waiting, a node may report that an earlier attempt with an unknown
// outcome runs the task. The task is then bound to this attempt.
var taskTransitions = transitionTable[taskState]{
	taskCreated:     {taskQueued, taskSubmitted, taskWaiting, taskBound},
	taskQueued:      {taskSubmitted, taskWaiting, taskBound},
	taskSubmitted:   {taskAttempting, taskWaiting, taskBound},
	taskAttempting:  {taskSubmitted, taskBound},
	taskWaiting:     {taskQueued, taskSubmitted, taskWaiting, taskBound, taskTerminating},
	taskBound:       {taskRunning, taskTerminating},
	taskRunning:     {taskTerminating},
	taskTerminating: {taskRemoved},
	taskRemoved:     {},
}

// hasOpenRequest reports whether a placement request of the task waits for admission or is known to the
// placer.
func (s taskState) hasOpenRequest() bool {
	return s == taskQueued || s == taskSubmitted || s == taskAttempting
}

// isOnNode reports whether a node has accepted the task and the task has not ended.
func (s taskState) isOnNode() bool { return s == taskBound || s == taskRunning }

// canBind reports whether a task in this state may be bound to an attempt when a node reports that the
// attempt runs. If the task cannot be bound, the attempt runs a duplicate of the task, and the engine
// must stop the duplicate.
func (s taskState) canBind() bool { return s == taskQueued || s == taskSubmitted || s == taskWaiting }

// invariantViolation describes the first contradiction between the state of the task and its other fields.
// It returns "" if there is no contradiction.
func (t *task) invariantViolation() string {
	ended := t.state == taskTerminating
	for _, invariant := range []struct {
		description string
		holds       bool
	}{
		{"a task in the task table must not be in the state created or removed", t.state != taskCreated && t.state != taskRemoved},
		{"an attempt must be in flight if and only if the task is in the state attempting", (t.attempts.inFlightAttempt != nil) == (t.state == taskAttempting)},
		{"an attempt must be running if and only if the task is bound or running", (t.attempts.runningAttempt != nil) == t.state.isOnNode()},
		{"the node of the running attempt must have the task in its list of running tasks", t.attempts.runningAttempt == nil || t.attempts.runningAttempt.node.runningTasks[t.uid] == t},
		{"a placement request must be open if and only if the task is queued, submitted or attempting", (t.request != nil && !t.request.closed) == t.state.hasOpenRequest()},
		{"the retry timer may be pending only if the task is in the state waiting", !t.retryTimer.Pending() || t.state == taskWaiting},
		{"a task must have its final outcome if and only if it is bound, running or terminating", t.settled == (t.state.isOnNode() || ended)},
		{"a terminating task must have an attempt with an unknown outcome", !ended || t.attempts.hasUnknownOutcome()},
		{"a task that has a stop reason must be bound, running or terminating", !t.isStopping() || t.state.isOnNode() || ended},
		{"a task whose Pod is deleted must have a stop reason", !t.podDeleted || t.isStopping()},
		{"the node of each attempt with an unknown outcome must have a record of the attempt", t.nodesKnowUnknownOutcomes()},
	} {
		if !invariant.holds {
			return "invariant violated: " + invariant.description
		}
	}
	return ""
}

// nodesKnowUnknownOutcomes reports whether the node of each attempt with an unknown outcome has a record
// of the attempt.
func (t *task) nodesKnowUnknownOutcomes() bool {
	for _, attempt := range t.attempts.unknownOutcomes {
		if _, ok := attempt.node.unknownOutcomes[attempt]; !ok {
			return false
		}
	}
	return true
}
