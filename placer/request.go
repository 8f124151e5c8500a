package placer

import (
	"fmt"
	"slices"
)

// placementRequest is a request to place a task, and afterwards the task while it runs.
type placementRequest struct {
	Task
	arrivedAt      Seconds
	attempts       []*attempt
	alternative    *trackedNode // the second node of the pair that was drawn, until it is used
	rejections     int          // by nodes of the present pair
	ignoresCache   bool         // the pair was drawn without regard to cached programs
	redrawToken    uint64       // of the latest timer for a redraw
	unknownOutcome *attempt     // the first attempt that may have started the task unnoticed
	done           bool         // answered, placed or withdrawn: no further attempt is made
	migrated       bool         // a migration was requested
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

// attempt is one attempt to start a task on a node, or a task that was found running.
type attempt struct {
	node           *trackedNode
	request        *placementRequest
	state          attemptState
	sentAt         Seconds
	boundIndex     int  // in the node's boundAttempts while the task runs
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

// setState moves the attempt to a later state. Callers check the state first: an event that does not fit it is not an
// error, as events may be repeated.
func (a *attempt) setState(next attemptState) {
	if next <= a.state {
		panic(fmt.Sprintf("placer: attempt for task %d goes from state %d to %d", a.request.ID, a.state, next))
	}
	a.state = next
}

// outstanding reports whether the attempt has no outcome yet.
func (a *attempt) outstanding() bool { return a.state != attemptEnded }

// trackAttempt counts an outstanding attempt for its service.
func (p *Placer) trackAttempt(started *attempt) {
	service := started.request.Service
	started.node.ownTasks[service]++
	p.attemptsByService[service] = append(p.attemptsByService[service], started)
}

// untrackAttempt undoes trackAttempt when the attempt has ended. The service's last attempt takes its place.
func (p *Placer) untrackAttempt(ended *attempt) {
	service, node := ended.request.Service, ended.node
	node.ownTasks[service]--
	if node.ownTasks[service] <= 0 {
		delete(node.ownTasks, service)
	}
	attempts := p.attemptsByService[service]
	if i := slices.Index(attempts, ended); i >= 0 {
		last := len(attempts) - 1
		attempts[i] = attempts[last]
		attempts[last] = nil
		attempts = attempts[:last]
	}
	if len(attempts) == 0 {
		delete(p.attemptsByService, service)
		return
	}
	p.attemptsByService[service] = attempts
}

// handleAdopted takes over a task that was found running. It counts for the spread rule, and its loss is a failure of
// its node.
func (p *Placer) handleAdopted(ev Event) {
	if _, known := p.requests[ev.Task.ID]; known {
		return
	}
	node := p.ensureNode(ev.Node)
	request := &placementRequest{Task: ev.Task, done: true, arrivedAt: p.now}
	adopted := &attempt{node: node, request: request, sentAt: p.now, state: attemptRunning}
	request.attempts = append(request.attempts, adopted)
	p.requests[request.ID] = request
	node.addBound(adopted)
	p.trackAttempt(adopted)
}

// closeRequest ends a request: no further attempt is made.
func (p *Placer) closeRequest(request *placementRequest) {
	if !request.done {
		request.done = true
		p.unanswered--
	}
	request.alternative = nil
	p.removeIfDone(request)
}
