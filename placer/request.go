package placer

import "fmt"

// placementRequest is a request to place a task. After the placement, it represents the running task.
type placementRequest struct {
	Task
	arrivedAt             Seconds
	attempts              []*attempt
	alternativeNode       *trackedNode // second of the two nodes drawn for the request; nil after an attempt on it
	pairRejections        int          // number of rejections by the two nodes drawn for the request
	ignoresCache          bool         // the two nodes were drawn without regard to cached programs
	redrawToken           uint64       // token of the latest redraw timer; older redraw timers have no effect
	deadlineToken         uint64       // token of the deadline timer; 0 if none was started
	unknownOutcomeAttempt *attempt     // first failed attempt that may have started the task
	done                  bool         // the request is answered, placed or withdrawn
	migrated              bool         // a migration of the task was requested
}

// newAdoptedRequest returns a request for a task that was found running on a node, and the attempt that
// represents the running task.
func newAdoptedRequest(task Task, node *trackedNode, now Seconds) (*placementRequest, *attempt) {
	request := &placementRequest{Task: task, done: true, arrivedAt: now}
	adoptedAttempt := &attempt{node: node, request: request, sentAt: now, state: attemptRunning}
	request.attempts = append(request.attempts, adoptedAttempt)
	return request, adoptedAttempt
}

// outstandingAttempt returns the attempt that has no outcome yet, or nil if there is none.
func (r *placementRequest) outstandingAttempt() *attempt {
	for _, a := range r.attempts {
		if a.isOutstanding() {
			return a
		}
	}
	return nil
}

// startAttempt adds a new attempt on a node to the request and returns the attempt.
func (r *placementRequest) startAttempt(node *trackedNode, now Seconds) *attempt {
	coldStart := r.ignoresCache && !node.tasks.hasProgram(r.Service)
	newAttempt := &attempt{node: node, request: r, sentAt: now, coldStart: coldStart}
	r.attempts = append(r.attempts, newAttempt)
	return newAttempt
}

// setPair makes the two nodes of the drawn pair the current nodes of the request and resets its count of
// rejections. Only the second node is stored, because the caller attempts the request on the first node
// immediately.
func (r *placementRequest) setPair(drawnPair pair) {
	r.alternativeNode = drawnPair.secondNode
	r.ignoresCache = drawnPair.ignoresCache
	r.pairRejections = 0
}

// takeAlternativeNode returns the second of the two nodes that were drawn for the request, and removes it
// from the request. The result is nil if there is no second node.
func (r *placementRequest) takeAlternativeNode() *trackedNode {
	node := r.alternativeNode
	r.alternativeNode = nil
	return node
}

// recordRejection counts a rejection by one of the two nodes that were drawn for the request.
func (r *placementRequest) recordRejection() { r.pairRejections++ }

// waitForRedraw discards the two nodes that were drawn for the request and records the token of a redraw
// timer. The token identifies the timer. When the timer fires, two nodes are drawn at random again.
func (r *placementRequest) waitForRedraw(token uint64) {
	r.alternativeNode = nil
	r.redrawToken = token
}

// recordUnknownOutcome records that an ended attempt may have started the task. Only the first such attempt
// of a request is recorded.
func (r *placementRequest) recordUnknownOutcome(endedAttempt *attempt) {
	if r.unknownOutcomeAttempt == nil {
		r.unknownOutcomeAttempt = endedAttempt
	}
}

// markDone marks the request as done. No further attempt is made for a request that is done.
func (r *placementRequest) markDone() {
	r.done = true
	r.alternativeNode = nil
}

// markMigrated records that a migration of the task was requested.
func (r *placementRequest) markMigrated() { r.migrated = true }

// attempt is one attempt to start a task on a node. For an adopted task, it represents the running task.
type attempt struct {
	node           *trackedNode
	request        *placementRequest
	state          attemptState
	sentAt         Seconds
	boundIndex     int  // index of the attempt in the bound attempts of the node, while the task runs
	coldStart      bool // the node was drawn without regard to its cache and probably lacked the program
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
// error. Events may be repeated, so a caller must check the state of the attempt first, and ignore an event
// that does not apply in this state.
func (a *attempt) setState(newState attemptState) {
	if newState <= a.state {
		panic(fmt.Sprintf("placer: attempt for task %d: invalid state transition from %v to %v", a.request.ID, a.state, newState))
	}
	a.state = newState
}

// isOutstanding reports whether the attempt has no outcome yet. An attempt whose task runs is outstanding.
func (a *attempt) isOutstanding() bool { return a.state != attemptEnded }
