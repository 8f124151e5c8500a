package placer

import "fmt"

// placementRequest is a request to place a task, and afterwards the task while it runs.
type placementRequest struct {
	Task
	arrivedAt      Seconds
	attempts       []*attempt
	alternative    *trackedNode // the second node of the pair that was drawn, until it is used
	rejections     int          // by nodes of the current pair
	ignoresCache   bool         // the pair was drawn without regard to cached programs
	redrawToken    uint64       // of the latest timer for a redraw
	unknownOutcome *attempt     // the first attempt that may have started the task unnoticed
	done           bool         // answered, placed or withdrawn: no further attempt is made
	migrated       bool         // a migration was requested
}

// newAdoptedRequest returns a request whose task was found running on a node, with an attempt that represents the task.
func newAdoptedRequest(task Task, node *trackedNode, now Seconds) (*placementRequest, *attempt) {
	request := &placementRequest{Task: task, done: true, arrivedAt: now}
	adopted := &attempt{node: node, request: request, sentAt: now, state: attemptRunning}
	request.attempts = append(request.attempts, adopted)
	return request, adopted
}

// outstandingAttempt returns the attempt without an outcome, or nil.
func (r *placementRequest) outstandingAttempt() *attempt {
	for _, a := range r.attempts {
		if a.outstanding() {
			return a
		}
	}
	return nil
}

// startAttempt adds an attempt on a node.
func (r *placementRequest) startAttempt(node *trackedNode, now Seconds) *attempt {
	coldStart := r.ignoresCache && !node.tasks.hasProgram(r.Service)
	started := &attempt{node: node, request: r, sentAt: now, coldStart: coldStart}
	r.attempts = append(r.attempts, started)
	return started
}

// setPair records the pair of nodes that was drawn. The first is attempted now.
func (r *placementRequest) setPair(drawn pair) {
	r.alternative = drawn.second
	r.ignoresCache = drawn.ignoresCache
	r.rejections = 0
}

// takeAlternative returns the second node of the pair once, or nil.
func (r *placementRequest) takeAlternative() *trackedNode {
	node := r.alternative
	r.alternative = nil
	return node
}

// noteRejection counts a rejection by a node of the current pair.
func (r *placementRequest) noteRejection() { r.rejections++ }

// waitForRedraw drops the current pair and records the token of the timer for the redraw.
func (r *placementRequest) waitForRedraw(token uint64) {
	r.alternative = nil
	r.redrawToken = token
}

// noteUnknownOutcome records that the attempt may have started the task. Only the first such attempt is kept.
func (r *placementRequest) noteUnknownOutcome(ended *attempt) {
	if r.unknownOutcome == nil {
		r.unknownOutcome = ended
	}
}

// finish marks the request as done: no further attempt is made.
func (r *placementRequest) finish() {
	r.done = true
	r.alternative = nil
}

// markMigrated records that a migration of the task was requested.
func (r *placementRequest) markMigrated() { r.migrated = true }

// attempt is one attempt to start a task on a node, or a task that was found running.
type attempt struct {
	node           *trackedNode
	request        *placementRequest
	state          attemptState
	sentAt         Seconds
	boundIndex     int  // among the node's bound tasks while the task runs
	coldStart      bool // it was sent without regard to cached programs, to a node without the program
	errored        bool // it ended with an error
	countedFailure bool // the error counts as a failure of the node
}

// attemptState is the state of an attempt. An attempt only moves to a later state.
type attemptState uint8

const (
	attemptPending attemptState = iota // sent, no answer yet
	attemptRunning                     // accepted: the task is bound to the node
	attemptEnded                       // the outcome is known
)

// String returns the name of the state.
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

// setState moves the attempt to a later state; any other transition is a programming error. Callers check the state
// first and ignore events that do not apply to it, since events may be repeated.
func (a *attempt) setState(next attemptState) {
	if next <= a.state {
		panic(fmt.Sprintf("placer: attempt for task %d: state goes from %v to %v", a.request.ID, a.state, next))
	}
	a.state = next
}

// outstanding reports whether the attempt has no outcome yet.
func (a *attempt) outstanding() bool { return a.state != attemptEnded }
