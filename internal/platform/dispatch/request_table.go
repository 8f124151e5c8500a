package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// requestTable owns the placement requests that are open or whose tasks run, and changes their states.
type requestTable struct {
	*sharedState
	clients  *clientRegistry
	attempts *attemptTable
	arrivals *arrivalQueue
	quota    *requestQuota

	byTask             map[placer.TaskID]*request
	byID               map[protocol.ID]*request
	openCount          int // openCount is the number of requests in state requestOpen.
	lastTaskID         placer.TaskID
	illegalTransitions int // illegalTransitions counts the transitions that requestStates does not allow.
}

func newRequestTable(shared *sharedState, clients *clientRegistry, attempts *attemptTable, arrivals *arrivalQueue) *requestTable {
	return &requestTable{
		sharedState: shared,
		clients:     clients,
		attempts:    attempts,
		arrivals:    arrivals,
		quota:       newRequestQuota(shared),
		byTask:      map[placer.TaskID]*request{},
		byID:        map[protocol.ID]*request{},
	}
}

// get returns the request whose task has the given placer.TaskID, or nil if there is no such request.
func (t *requestTable) get(task placer.TaskID) *request { return t.byTask[task] }

// getByID returns the request whose launch message has the given ID, or nil if there is no such request.
func (t *requestTable) getByID(id protocol.ID) *request { return t.byID[id] }

// isFull reports whether the table contains the maximum number of requests.
func (t *requestTable) isFull() bool { return len(t.byID) >= t.limits.Tasks }

// admits reports whether a client connection may have one more open request: whether the table has room, and the
// connection and the tenant have not used up their shares.
func (t *requestTable) admits(connID ConnID, msg *protocol.Message, task *placer.Task) bool {
	return !t.isFull() && t.quota.admits(connID, task.Tenant, openRequestBytes(msg))
}

// addNew adds a new placement request and assigns an ID to its task.
func (t *requestTable) addNew(connID ConnID, msg *protocol.Message, task *placer.Task) *request {
	req := t.add(connID, msg, task, requestOpen)
	t.openCount++
	req.quotaBytes = openRequestBytes(msg)
	t.quota.add(req)
	t.clients.addOpenRequest(req)
	return req
}

// addAdopted adds a request whose task already runs, and assigns an ID to the task.
func (t *requestTable) addAdopted(connID ConnID, msg *protocol.Message, task *placer.Task) *request {
	adoptionRequest := identifyingPart(msg)
	req := t.add(connID, &adoptionRequest, task, requestRunning)
	t.clients.recordPlacedTask(req)
	return req
}

func (t *requestTable) add(connID ConnID, msg *protocol.Message, task *placer.Task, state requestState) *request {
	t.lastTaskID++
	task.ID = t.lastTaskID
	req := &request{
		taskID:   t.lastTaskID,
		message:  *msg,
		connID:   connID,
		class:    task.Class,
		tenant:   task.Tenant,
		deadline: task.Deadline,
		state:    state,
	}
	t.byTask[req.taskID] = req
	t.byID[msg.ID] = req
	return req
}

// sendFinalAnswer answers an open request, and removes the request. If the request is not open,
// sendFinalAnswer does nothing.
func (t *requestTable) sendFinalAnswer(req *request, answer protocol.Message) {
	if req.state != requestOpen {
		return
	}
	t.close(req, requestAnswered)
	t.clients.sendAnswer(req, answer)
	t.attempts.abandonLastAttempt(req, placer.TimedOut)
	t.remove(req)
}

// withdraw ends an open request whose client no longer waits for the answer. If the request is not open,
// withdraw does nothing.
func (t *requestTable) withdraw(req *request) {
	if req.state != requestOpen {
		return
	}
	t.counts.Withdrawn++
	t.close(req, requestWithdrawn)
	t.postEvent(placer.Event{Kind: placer.Withdrawn, TaskID: req.taskID})
	t.attempts.abandonLastAttempt(req, placer.Cancelled)
	t.remove(req)
}

// markRunning changes an open request to requestRunning.
func (t *requestTable) markRunning(req *request) {
	t.counts.Placed++
	t.close(req, requestRunning)
	t.clients.recordPlacedTask(req)
}

// close changes a request from state requestOpen to another state, and removes the request from the open
// requests of its client connection. It frees the launch message, since no further attempt is made.
func (t *requestTable) close(req *request, next requestState) {
	t.transition(req, next)
	t.openCount--
	t.stopTimers(req)
	t.arrivals.remove(req)
	t.quota.remove(req)
	req.releaseMessage()
	t.clients.removeOpenRequest(req)
}

// stopTimers stops the timers that have an effect only while the request is open.
func (t *requestTable) stopTimers(req *request) {
	t.timers.Stop(req.arrivalTimer)
	for _, timer := range req.placerTimers {
		t.timers.Stop(timer)
	}
	req.arrivalTimer = nil
	req.placerTimers = nil
}

// transition changes the state of a request.
func (t *requestTable) transition(req *request, next requestState) {
	requestStates.transition(&req.state, next, &t.illegalTransitions)
}

// remove removes a request that has ended. The attempts of the request are kept until nodes are no longer
// expected to send messages about these attempts.
func (t *requestTable) remove(req *request) {
	if t.byID[req.message.ID] == req {
		delete(t.byID, req.message.ID)
	}
	delete(t.byTask, req.taskID)
}
