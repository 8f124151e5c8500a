package placer

// requestTable owns the requests that have no answer or whose task runs.
type requestTable struct {
	byID       map[TaskID]*placementRequest
	unanswered int // requests without an answer
}

func newRequestTable() *requestTable { return &requestTable{byID: map[TaskID]*placementRequest{}} }

// known reports whether there is a request for the task.
func (t *requestTable) known(id TaskID) bool { return t.byID[id] != nil }

// open adds a request for a task that is not known yet.
func (t *requestTable) open(task Task, now Seconds) *placementRequest {
	request := &placementRequest{Task: task, arrivedAt: now}
	t.byID[task.ID] = request
	t.unanswered++
	return request
}

// adopt adds a task that was found running on a node and is not known yet. It returns the attempt that represents
// the task.
func (t *requestTable) adopt(task Task, node *trackedNode, now Seconds) *attempt {
	request, adopted := newAdoptedRequest(task, node, now)
	t.byID[task.ID] = request
	return adopted
}

// attempt returns the attempt with the given number for a task, or nil if it is not known.
func (t *requestTable) attempt(task TaskID, number int) *attempt {
	request := t.byID[task]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil
	}
	return request.attempts[number]
}

// close ends a request: no further attempt is made.
func (t *requestTable) close(request *placementRequest) {
	if !request.done {
		t.unanswered--
	}
	request.finish()
	t.removeIfDone(request)
}

// removeIfDone removes a request that is done and has no outstanding attempt.
func (t *requestTable) removeIfDone(request *placementRequest) {
	if request.done && request.outstandingAttempt() == nil {
		delete(t.byID, request.ID)
	}
}
