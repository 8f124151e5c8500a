package placer

// requestTable owns the requests that have no final answer yet, and the requests that have an outstanding
// attempt, such as the attempt of a running task.
type requestTable struct {
	timers             *timerTable
	byID               map[TaskID]*placementRequest
	unansweredRequests int // number of requests that are not done
}

func newRequestTable(timers *timerTable) *requestTable {
	return &requestTable{timers: timers, byID: map[TaskID]*placementRequest{}}
}

// hasRequest reports whether the table has a request for the task.
func (t *requestTable) hasRequest(id TaskID) bool { return t.byID[id] != nil }

// addRequest adds a request for a task. The table must not have a request for the task yet.
func (t *requestTable) addRequest(task Task, now Seconds) *placementRequest {
	request := &placementRequest{Task: task, arrivedAt: now}
	t.byID[task.ID] = request
	t.unansweredRequests++
	return request
}

// addAdopted adds a request for a task that was found running on a node. It returns the attempt that
// represents the running task. The table must not have a request for the task yet.
func (t *requestTable) addAdopted(task Task, node *trackedNode, now Seconds) *attempt {
	request, adoptedAttempt := newAdoptedRequest(task, node, now)
	t.byID[task.ID] = request
	return adoptedAttempt
}

// findAttempt returns the attempt with the given index for a task, or nil if there is no such attempt.
func (t *requestTable) findAttempt(task TaskID, index int) *attempt {
	request := t.byID[task]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return nil
	}
	return request.attempts[index]
}

// close marks a request as done, which prevents further attempts. If no attempt is outstanding, it also
// removes the request from the table. The timers of the request are removed, since they would keep it until they
// fire.
func (t *requestTable) close(request *placementRequest) {
	if !request.done {
		t.unansweredRequests--
	}
	t.timers.removeTimer(request.redrawToken)
	t.timers.removeTimer(request.deadlineToken)
	request.markDone()
	t.removeIfDone(request)
}

// removeIfDone removes a request from the table if it is done and has no outstanding attempt.
func (t *requestTable) removeIfDone(request *placementRequest) {
	if request.done && request.outstandingAttempt() == nil {
		delete(t.byID, request.ID)
	}
}
