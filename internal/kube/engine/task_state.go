package engine

// taskState is the state of a task between the creation of its Pod and its removal from the engine.
type taskState uint8

const (
	// taskCreated: the Pod is stored, and no request was made yet. No task is in this state at the end of a call.
	taskCreated taskState = iota
	// taskQueued: a placement request waits at the admission controller; it was not submitted to the placer.
	taskQueued
	// taskSubmitted: the placer has a request, and no attempt is in flight.
	taskSubmitted
	// taskAttempting: an attempt is in flight.
	taskAttempting
	// taskWaiting: no request is open. A retry is scheduled, or an attempt's unknown outcome is awaited.
	taskWaiting
	// taskBound: a node accepted the task and has not reported it as running yet.
	taskBound
	// taskRunning: its node reported it as running.
	taskRunning
	// taskTerminating: the task has ended. Attempts with an unknown outcome are still being stopped.
	taskTerminating
	// taskRemoved: the task was removed from the task table.
	taskRemoved

	taskStates
)

var taskStateNames = [taskStates]string{
	"created", "queued", "submitted", "attempting", "waiting", "bound", "running", "terminating", "removed",
}

func (s taskState) String() string { return taskStateNames[s] }

// taskTransitions lists the states that may follow each state.
//
// An attempt whose outcome was unknown may be found running while the task is queued, submitted or waiting: the task is then bound to it.
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

// requestOpen reports whether a placement request of the task is queued or with the placer.
func (s taskState) requestOpen() bool {
	return s == taskQueued || s == taskSubmitted || s == taskAttempting
}

// onNode reports whether a node has accepted the task, which has not ended.
func (s taskState) onNode() bool { return s == taskBound || s == taskRunning }

// canBind reports whether an attempt that is found running becomes the task's running attempt. Otherwise it is a copy that must stop.
func (s taskState) canBind() bool { return s == taskQueued || s == taskSubmitted || s == taskWaiting }

// violatedInvariant describes the first inconsistency with the task's state, "" if there is none.
func (t *task) violatedInvariant() string {
	ended := t.state == taskTerminating
	for _, invariant := range []struct {
		description string
		holds       bool
	}{
		{"it is kept", t.state != taskCreated && t.state != taskRemoved},
		{"an attempt is in flight only while it is attempting", (t.attempts.inFlight != nil) == (t.state == taskAttempting)},
		{"an attempt runs only on a node", (t.attempts.running != nil) == t.state.onNode()},
		{"its node knows that it runs there", t.attempts.running == nil || t.attempts.running.node.running[t.uid] == t},
		{"a request is open only before it is placed", (t.request != nil && !t.request.closed) == t.state.requestOpen()},
		{"a retry is pending only while it waits", !t.retryTimer.Pending() || t.state == taskWaiting},
		{"its outcome is final once it is placed or has ended", t.settled == (t.state.onNode() || ended)},
		{"it is kept after its end only for unknown outcomes", !ended || t.attempts.hasUnknownOutcome()},
		{"a task that is to stop has ended or is being stopped at its node", !t.isStopping() || t.state.onNode() || ended},
		{"a deleted task is to stop", !t.podDeleted || t.isStopping()},
		{"its unknown outcomes are known by their nodes", t.nodesKnowUnknownOutcomes()},
	} {
		if !invariant.holds {
			return "violated: " + invariant.description
		}
	}
	return ""
}

// unknownOutcomesAreIndexed reports whether the nodes of all unknown outcomes know of them.
func (t *task) nodesKnowUnknownOutcomes() bool {
	for _, attempt := range t.attempts.unknownOutcomes {
		if _, ok := attempt.node.unknownOutcomes[attempt]; !ok {
			return false
		}
	}
	return true
}
