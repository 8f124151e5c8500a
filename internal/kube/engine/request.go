package engine

import (
	"math"
	"slices"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// placementRequest is one request to the placer to place a task. A retry is a new placement request with its
// own number.
type placementRequest struct {
	id       placer.TaskID
	task     *task
	attempts []*attempt
	closed   bool // set once the request is withdrawn, decided by the placer, or ended by an accepted attempt
	isRetry  bool // set if the placer had an earlier request for the same task
}

// close records that the request is decided or withdrawn.
func (r *placementRequest) close() { r.closed = true }

func (r *placementRequest) addAttempt(attempt *attempt) { r.attempts = append(r.attempts, attempt) }

// hasAttempt reports whether any attempt of the request is in flight or running.
func (r *placementRequest) hasAttempt() bool {
	return slices.ContainsFunc(r.attempts, r.task.attempts.isOpen)
}

// requestTable holds the placement requests that are open or that have an attempt in flight or running. It
// passes new requests through the admission controller to the placer.
type requestTable struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	attempts  *attemptTracker

	byID      map[placer.TaskID]*placementRequest
	lastID    placer.TaskID
	admission *admission.Controller
	pollTimer *timer // timer of the next poll of the admission controller
}

// get returns the placement request with the given ID, or nil if it is unknown.
func (r *requestTable) get(id placer.TaskID) *placementRequest { return r.byID[id] }

// add gives a placement request the next ID, adds it to the table, and makes it the current request of its
// task.
func (r *requestTable) add(request *placementRequest) {
	r.lastID++
	request.id = r.lastID
	r.byID[request.id] = request
	request.task.request = request
}

// place creates a placement request for a task and submits it to the admission controller. If it is admitted
// at once, it is passed on to the placer.
func (r *requestTable) place(task *task) {
	request := &placementRequest{task: task, isRetry: task.requestsSubmitted > 0}
	r.add(request)
	r.stats.PlacementRequests++
	if request.isRetry || task.wasShed {
		r.stats.Retries++
	}
	decision, shed := r.admission.Submit(r.now, r.admissionRequest(request))
	switch decision {
	case admission.Admit:
		r.submit(request)
	case admission.Queue:
		r.tasks.setState(task, taskQueued)
	case admission.Shed:
		r.shed(request, shed)
	}
}

// admissionRequest describes a placement request to the admission controller. The cost is the task's share of
// a node of the first type, in cores or in memory, whichever is larger.
func (r *requestTable) admissionRequest(request *placementRequest) admission.Request {
	task := request.task
	class := &r.cfg.Placer.Classes[task.class]
	nodeType := &r.cfg.Placer.NodeTypes[0]
	return admission.Request{
		ID:               uint64(request.id),
		Tenant:           task.tenant,
		Priority:         class.Priority,
		Cost:             max(task.cores/nodeType.Cores, task.memory/nodeType.Memory),
		Deadline:         r.deadline(task),
		ClientDeadline:   task.deadline,
		LatencyObjective: class.LatencyObjective,
		IsRetry:          request.isRetry,
		ShedBefore:       task.wasShed,
	}
}

// deadline returns the deadline of a placement request that is submitted now.
func (r *requestTable) deadline(task *task) placer.Seconds {
	return min(task.deadline, r.now+r.cfg.Placer.Classes[task.class].Deadline)
}

// submit passes an admitted placement request to the placer. The deadline of the request counts from now.
func (r *requestTable) submit(request *placementRequest) {
	task := request.task
	r.tasks.setState(task, taskSubmitted)
	task.requestsSubmitted++
	submitted := r.placerTask(request, r.deadline(task))
	submitted.IsRetry = request.isRetry
	r.post(placer.Event{Kind: placer.Arrived, Task: submitted})
}

// placerTask describes the task of a placement request to the placer.
func (r *requestTable) placerTask(request *placementRequest, deadline placer.Seconds) placer.Task {
	task := request.task
	return placer.Task{
		ID:       request.id,
		Class:    task.class,
		Tenant:   task.tenant,
		Service:  task.service,
		Cores:    task.cores,
		Memory:   task.memory,
		Deadline: deadline,
	}
}

// shed ends a placement request that the admission controller has shed. No attempt was made for the request.
func (r *requestTable) shed(request *placementRequest, shed admission.ShedRequest) {
	r.stats.Shed++
	request.close()
	request.task.wasShed = true
	r.removeIfUnused(request)
	request.task.attempts.recordFailure("shed: " + shed.Reason)
	r.lifecycle.retryOrSettle(request.task, retry.Shed, shed.RetryAfter)
}

// admitQueued polls the admission controller. It submits the queued placement requests that are now admitted,
// ends those that are shed, and schedules the next poll.
func (r *requestTable) admitQueued() {
	for {
		admitted, shed := r.admission.Poll(r.now)
		for _, id := range admitted {
			r.submit(r.byID[placer.TaskID(id)])
		}
		for _, request := range shed {
			r.shed(r.byID[placer.TaskID(request.ID)], request)
		}
		r.drainEvents()
		if len(admitted)+len(shed) == 0 {
			break
		}
	}
	r.schedulePoll(max(r.admission.NextDeadline(), r.now+minAdmissionPollInterval))
}

// minAdmissionPollInterval is the shortest time between two timer-driven polls of the admission controller.
const minAdmissionPollInterval placer.Seconds = 0.001

// schedulePoll makes sure that the engine is called at or before the given time. The timer needs no function
// of its own because every call ends with a poll of the admission controller.
func (r *requestTable) schedulePoll(at placer.Seconds) {
	if r.pollTimer.Pending() && at >= r.pollTimer.At {
		return
	}
	r.stopTimer(r.pollTimer)
	r.pollTimer = nil
	if !math.IsInf(float64(at), 1) {
		r.pollTimer = r.runAt(at, func() {})
	}
}

// withdraw cancels the open placement request of a task, if there is one, at the admission controller and at
// the placer.
func (r *requestTable) withdraw(task *task) {
	request := task.request
	if request == nil || request.closed {
		return
	}
	request.close()
	r.admission.Cancel(uint64(request.id))
	if task.state != taskQueued {
		r.post(placer.Event{Kind: placer.Withdrawn, TaskID: request.id})
	}
	r.removeIfUnused(request)
}

// handleUnplaced handles the placer's final answer to a request that was not placed. An attempt that is still
// in flight was not answered by the deadline of the request, and is abandoned.
func (r *requestTable) handleUnplaced(id placer.TaskID, cause retry.Cause, retryAfter placer.Seconds) {
	request := r.byID[id]
	if request == nil || request.closed {
		return
	}
	r.complete(request, false)
	if inFlight := request.task.attempts.inFlight; inFlight != nil {
		r.attempts.abandon(inFlight, placer.TimedOut)
	}
	r.removeIfUnused(request)
	r.lifecycle.retryOrSettle(request.task, cause, retryAfter)
}

// complete closes a placement request that the placer has decided, and reports the result to the admission
// controller.
func (r *requestTable) complete(request *placementRequest, accepted bool) {
	request.close()
	r.admission.Complete(r.now, uint64(request.id), accepted)
}

// clearRequest detaches a task from its latest placement request, which has ended without a placement.
func (r *requestTable) clearRequest(task *task) { task.request = nil }

// removeIfUnused removes a closed placement request from the table. A request with an attempt in flight or
// running is kept, because the placer identifies such an attempt by the ID of its request.
func (r *requestTable) removeIfUnused(request *placementRequest) {
	if request.closed && !request.hasAttempt() {
		delete(r.byID, request.id)
	}
}
