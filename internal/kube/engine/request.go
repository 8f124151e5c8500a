package engine

import (
	"math"
	"slices"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// placementRequest is one request to the placer to place a task. A retry is a new placement request with a
// new ID.
type placementRequest struct {
	id       placer.TaskID
	task     *task
	attempts []*attempt
	closed   bool // set once the request is shed, withdrawn or answered by the placer, or an attempt of it is accepted
	isRetry  bool // set if the engine had submitted an earlier request for the same task to the placer
}

// close records that the request has ended.
func (r *placementRequest) close() { r.closed = true }

func (r *placementRequest) addAttempt(attempt *attempt) { r.attempts = append(r.attempts, attempt) }

// hasOpenAttempt reports whether any attempt of the request is in flight or running.
func (r *placementRequest) hasOpenAttempt() bool {
	return slices.ContainsFunc(r.attempts, r.task.attempts.isOpen)
}

// requestTable holds the placement requests that are open or that have an attempt in flight or running. It
// passes new requests through the admission controller to the placer. This controller (package admission) is
// not an admission controller of a Kubernetes API server.
type requestTable struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	attempts  *attemptTracker

	byID      map[placer.TaskID]*placementRequest
	lastID    placer.TaskID // ID of the latest placement request
	admission *admission.Controller
	pollTimer *timer // fires when the admission controller must be polled next
}

// get returns the placement request with the given ID, or nil if the table does not contain it.
func (r *requestTable) get(id placer.TaskID) *placementRequest { return r.byID[id] }

// add gives a placement request the next ID, adds it to the table, and makes it the current request of its
// task.
func (r *requestTable) add(request *placementRequest) {
	r.lastID++
	request.id = r.lastID
	r.byID[request.id] = request
	request.task.request = request
}

// requestPlacement creates a placement request for a task and submits the request to the admission
// controller. If the request is admitted at once, it is passed on to the placer.
func (r *requestTable) requestPlacement(task *task) {
	request := &placementRequest{task: task, isRetry: task.requestsSubmitted > 0}
	r.add(request)
	r.stats.PlacementRequests++
	if request.isRetry || task.wasShed {
		r.stats.Retries++
	}
	decision, shedRequest := r.admission.Submit(r.now, r.admissionRequest(request))
	switch decision {
	case admission.Admit:
		r.submit(request)
	case admission.Queue:
		r.tasks.setState(task, taskQueued)
	case admission.Shed:
		r.handleShed(request, shedRequest)
	}
}

// admissionRequest describes a placement request to the admission controller. The cost of the request is
// the share of a node's capacity that the task needs, in cores or in memory, whichever share is larger.
// The capacity is that of the first node type.
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

// deadline returns the deadline of a placement request for the task. It assumes that the request is
// submitted now.
func (r *requestTable) deadline(task *task) placer.Seconds {
	return min(task.deadline, r.now+r.cfg.Placer.Classes[task.class].Deadline)
}

// submit passes an admitted placement request to the placer. The deadline of the task class is counted
// from now, and not from the time at which the request was queued.
func (r *requestTable) submit(request *placementRequest) {
	task := request.task
	r.tasks.setState(task, taskSubmitted)
	task.requestsSubmitted++
	submittedTask := r.placerTask(request, r.deadline(task))
	submittedTask.IsRetry = request.isRetry
	r.post(placer.Event{Kind: placer.Arrived, Task: submittedTask})
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

// handleShed ends a placement request that the admission controller has shed, that is, rejected without
// passing it to the placer. No attempt was made for the request.
func (r *requestTable) handleShed(request *placementRequest, shedRequest admission.ShedRequest) {
	r.stats.Shed++
	request.close()
	request.task.wasShed = true
	r.removeIfUnused(request)
	request.task.attempts.recordFailure("shed: " + shedRequest.Reason)
	r.lifecycle.retryOrSettle(request.task, retry.Shed, shedRequest.RetryAfter)
}

// admitQueued polls the admission controller. It submits the queued placement requests that are now admitted,
// ends those that are shed, and schedules the next poll.
func (r *requestTable) admitQueued() {
	for {
		admittedIDs, shedRequests := r.admission.Poll(r.now)
		for _, id := range admittedIDs {
			r.submit(r.byID[placer.TaskID(id)])
		}
		for _, shedRequest := range shedRequests {
			r.handleShed(r.byID[placer.TaskID(shedRequest.ID)], shedRequest)
		}
		r.drainEvents()
		if len(admittedIDs)+len(shedRequests) == 0 {
			break
		}
	}
	r.schedulePoll(max(r.admission.NextDeadline(), r.now+minAdmissionPollInterval))
}

// minAdmissionPollInterval is the shortest time between two timer-driven polls of the admission controller.
const minAdmissionPollInterval placer.Seconds = 0.001

// schedulePoll ensures that the caller calls the engine at the given time or earlier. The function of the
// timer does nothing, because every call of the engine ends with a poll of the admission controller.
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

// handleUnplaced handles the final answer of the placer to a request whose task was not placed. If an
// attempt of the request is still in flight, its node has not answered by the deadline of the request, and
// the engine abandons the attempt.
func (r *requestTable) handleUnplaced(id placer.TaskID, cause retry.Cause, retryAfter placer.Seconds) {
	request := r.byID[id]
	if request == nil || request.closed {
		return
	}
	r.complete(request, false)
	if inFlightAttempt := request.task.attempts.inFlightAttempt; inFlightAttempt != nil {
		r.attempts.abandon(inFlightAttempt, placer.TimedOut)
	}
	r.removeIfUnused(request)
	r.lifecycle.retryOrSettle(request.task, cause, retryAfter)
}

// complete closes a placement request after the placer has given its final answer or a node has accepted
// an attempt. It reports the result to the admission controller.
func (r *requestTable) complete(request *placementRequest, accepted bool) {
	request.close()
	r.admission.Complete(r.now, uint64(request.id), accepted)
}

// clearRequest detaches a task from its latest placement request, which has ended without a placement.
func (r *requestTable) clearRequest(task *task) { task.request = nil }

// removeIfUnused removes a closed placement request from the table. It keeps the request while an attempt
// of the request is in flight or running, because the placer identifies the attempt by the ID of the
// request.
func (r *requestTable) removeIfUnused(request *placementRequest) {
	if request.closed && !request.hasOpenAttempt() {
		delete(r.byID, request.id)
	}
}
