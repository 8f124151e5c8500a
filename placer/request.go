package placer

import "fmt"

// placementRequest is a request to place a task. After the placement it represents the running task.
type placementRequest struct {
	Task
	arrivedAt      Seconds
	attempts       []*attempt
	alternative    *trackedNode // second node of the current pair, until an attempt uses it
	rejections     int          // number of rejections by nodes of the current pair
	ignoresCache   bool         // the current pair was drawn without regard to cached programs
	redrawToken    uint64       // token of the latest timer for drawing a new pair
	unknownOutcome *attempt     // first attempt that failed but may have started the task
	done           bool         // the request is answered, placed or withdrawn; no further attempt is made
	migrated       bool         // a migration of the task was requested
}

// newAdoptedRequest returns a request for a task that was found running on a node, and the attempt that
// represents the running task.
func newAdoptedRequest(task Task, node *trackedNode, now Seconds) (*placementRequest, *attempt) {
	request := &placementRequest{Task: task, done: true, arrivedAt: now}
	adopted := &attempt{node: node, request: request, sentAt: now, state: attemptRunning}
	request.attempts = append(request.attempts, adopted)
	return request, adopted
}

// outstandingAttempt returns the attempt that has no outcome yet, or nil if there is none.
func (r *placementRequest) outstandingAttempt() *attempt {
	for _, a := range r.attempts {
		if a.outstanding() {
			return a
		}
	}
	return nil
}

// startAttempt adds an attempt on a node to the request.
func (r *placementRequest) startAttempt(node *trackedNode, now Seconds) *attempt {
	coldStart := r.ignoresCache && !node.tasks.hasProgram(r.Service)
	started := &attempt{node: node, request: r, sentAt: now, coldStart: coldStart}
	r.attempts = append(r.attempts, started)
	return started
}

// setPair makes the drawn pair of nodes the current pair. It stores only the second node, because the caller
// attempts the request on the first node immediately.
func (r *placementRequest) setPair(drawn pair) {
	r.alternative = drawn.second
	r.ignoresCache = drawn.ignoresCache
	r.rejections = 0
}

// takeAlternative returns the second node of the current pair and removes it from the request. The result is
// nil if there is no second node.
func (r *placementRequest) takeAlternative() *trackedNode {
	node := r.alternative
	r.alternative = nil
	return node
}

// recordRejection counts a rejection by a node of the current pair.
func (r *placementRequest) recordRejection() { r.rejections++ }

// waitForRedraw discards the current pair and records the token of the timer for drawing a new pair.
func (r *placementRequest) waitForRedraw(token uint64) {
	r.alternative = nil
	r.redrawToken = token
}

// recordUnknownOutcome records that an ended attempt may have started the task. It has no effect if it was
// called before for this request.
func (r *placementRequest) recordUnknownOutcome(ended *attempt) {
	if r.unknownOutcome == nil {
		r.unknownOutcome = ended
	}
}

// finish marks the request as done. No further attempt is made for the request.
func (r *placementRequest) finish() {
	r.done = true
	r.alternative = nil
}

// markMigrated records that a migration of the task was requested.
func (r *placementRequest) markMigrated() { r.migrated = true }

// attempt is one attempt to start a task on a node. For an adopted task it represents the running task.
type attempt struct {
	node           *trackedNode
	request        *placementRequest
	state          attemptState
	sentAt         Seconds
	boundIndex     int  // index of the attempt in the bound attempts of the node, while the task runs
	coldStart      bool // the node did not have the program, and was drawn without regard to cached programs
	errored        bool // the attempt ended with an error
	countedFailure bool // the error was counted as a failure of the node
}

// attemptState is the state of an attempt. An attempt only moves to a later state.
type attemptState uint8

const (
	attemptPending attemptState = iota // the attempt was sent and has no answer yet
	attemptRunning                     // the node accepted the attempt, and the task is bound to the node
	attemptEnded                       // the outcome of the attempt is known
)

// String returns the name of the state for use in messages.
func (s attemptState) String() string {
	switch s {
	case attemptPending:
		return "pending"
	case attemptRunning:
		return "running"
	case attemptEnded:
		return "ended"
	}
	return fmt.Sprintf("attemptState(%d)", uint8(s))
}

// setState moves the attempt to a later state. It panics on any other transition, which is a programming
// error. Because events may be repeated, callers must check the state of the attempt and ignore events that
// do not apply to this state.
func (a *attempt) setState(next attemptState) {
	if next <= a.state {
		panic(fmt.Sprintf("placer: attempt for task %d: invalid state transition from %v to %v", a.request.ID, a.state, next))
	}
	a.state = next
}

// outstanding reports whether the attempt has no outcome yet.
func (a *attempt) outstanding() bool { return a.state != attemptEnded }
