package placer

// requestTable owns the requests that have no final answer yet and the requests whose task runs.
type requestTable struct {
	byID               map[TaskID]*placementRequest
	unansweredRequests int // number of requests that are not done
}

func newRequestTable() *requestTable { return &requestTable{byID: map[TaskID]*placementRequest{}} }

// contains reports whether the table has a request for the task.
func (t *requestTable) contains(id TaskID) bool { return t.byID[id] != nil }

// open adds a request for a task. The table must not contain the task yet.
func (t *requestTable) open(task Task, now Seconds) *placementRequest {
	request := &placementRequest{Task: task, arrivedAt: now}
	t.byID[task.ID] = request
	t.unansweredRequests++
	return request
}

// adopt adds a task that was found running on a node, and returns the attempt that represents the task. The
// table must not contain the task yet.
func (t *requestTable) adopt(task Task, node *trackedNode, now Seconds) *attempt {
	request, adopted := newAdoptedRequest(task, node, now)
	t.byID[task.ID] = request
	return adopted
}

// attempt returns the attempt with the given index for a task, or nil if there is no such attempt.
func (t *requestTable) attempt(task TaskID, index int) *attempt {
	request := t.byID[task]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return nil
	}
	return request.attempts[index]
}

// close marks a request as done, which prevents further attempts. It removes the request from the table if no
// attempt is outstanding.
func (t *requestTable) close(request *placementRequest) {
	if !request.done {
		t.unansweredRequests--
	}
	request.finish()
	t.removeIfDone(request)
}

// removeIfDone removes a request from the table if it is done and has no outstanding attempt.
func (t *requestTable) removeIfDone(request *placementRequest) {
	if request.done && request.outstandingAttempt() == nil {
		delete(t.byID, request.ID)
	}
}
