package dispatch

import (
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// requestTable owns the placement requests that are open or whose task runs, and moves them from state to state.
type requestTable struct {
	*environment
	clients  *clientRegistry
	attempts *attemptTable

	byTask             map[placer.TaskID]*request
	byID               map[protocol.ID]*request
	openCount          int // requests in state requestOpen
	lastTaskID         placer.TaskID
	illegalTransitions int // see stateTable.transition
}

func newRequestTable(env *environment, clients *clientRegistry, attempts *attemptTable) *requestTable {
	return &requestTable{
		environment: env,
		clients:     clients,
		attempts:    attempts,
		byTask:      map[placer.TaskID]*request{},
		byID:        map[protocol.ID]*request{},
	}
}

// get returns the request of a task by the placer's ID, or nil if there is none.
func (t *requestTable) get(task placer.TaskID) *request { return t.byTask[task] }

// getByID returns the request with the client's ID, or nil if there is none.
func (t *requestTable) getByID(id protocol.ID) *request { return t.byID[id] }

// full reports whether no further request can be added.
func (t *requestTable) full() bool { return len(t.byID) >= maxTasks }

// open adds a new request and assigns its task an ID.
func (t *requestTable) open(conn ConnID, msg *protocol.Message, task *placer.Task) *request {
	req := t.add(conn, msg, task, requestOpen)
	t.openCount++
	t.clients.requestOpened(req)
	return req
}

// adopt adds a request whose task runs already and assigns the task an ID.
func (t *requestTable) adopt(conn ConnID, msg *protocol.Message, task *placer.Task) *request {
	req := t.add(conn, msg, task, requestRunning)
	t.clients.taskPlaced(req)
	return req
}

func (t *requestTable) add(conn ConnID, msg *protocol.Message, task *placer.Task, state requestState) *request {
	t.lastTaskID++
	task.ID = t.lastTaskID
	req := &request{
		taskID:   t.lastTaskID,
		message:  *msg,
		conn:     conn,
		class:    task.Class,
		deadline: task.Deadline,
		state:    state,
	}
	t.byTask[req.taskID] = req
	t.byID[msg.ID] = req
	return req
}

// answer sends the final answer to an open request whose task does not run.
func (t *requestTable) answer(req *request, answer protocol.Message) {
	if req.state.closed() {
		return
	}
	t.close(req, requestAnswered)
	t.clients.answer(req, answer)
	t.attempts.abandonLast(req, placer.TimedOut)
	t.remove(req)
}

// withdraw ends an open request whose client no longer waits.
func (t *requestTable) withdraw(req *request) {
	if req.state.closed() {
		return
	}
	t.counts.Withdrawn++
	t.close(req, requestWithdrawn)
	t.post(placer.Event{Kind: placer.Withdrawn, TaskID: req.taskID})
	t.attempts.abandonLast(req, placer.Cancelled)
	t.remove(req)
}

// taskStarted moves an open request to requestRunning.
func (t *requestTable) taskStarted(req *request) {
	t.counts.Placed++
	t.close(req, requestRunning)
	t.clients.taskPlaced(req)
}

// close moves an open request to its next state.
func (t *requestTable) close(req *request, next requestState) {
	t.transition(req, next)
	t.openCount--
	t.clients.requestClosed(req)
}

// transition moves a request to its next state.
func (t *requestTable) transition(req *request, next requestState) {
	requestStates.transition(&req.state, next, &t.illegalTransitions)
}

// remove removes a request that has ended. Its attempts are kept until nodes are no longer expected to send messages about them.
func (t *requestTable) remove(req *request) {
	if t.byID[req.message.ID] == req {
		delete(t.byID, req.message.ID)
	}
	delete(t.byTask, req.taskID)
}
