package engine

import (
	"math"

	"heathshed/internal/control/admission"
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// placementRequest is one request to the placer to place a task. It has a number of its own: a retry is another request.
type placementRequest struct {
	id       placer.TaskID
	task     *task
	attempts []*attempt
	closed   bool // withdrawn, answered by the placer, or ended by an accepted attempt
	isRetry  bool // the placer had an earlier request for the task
}

// requestPlacement submits a new request for a task to the admission controller, and to the placer if it is admitted at once.
func (e *Engine) requestPlacement(task *task) {
	e.lastRequestID++
	request := &placementRequest{id: e.lastRequestID, task: task, isRetry: task.requestsSubmitted > 0}
	e.requests[request.id] = request
	task.request = request
	task.retryTimer = nil
	e.Stats.PlacementRequests++
	if request.isRetry || task.wasShed {
		e.Stats.Retries++
	}
	decision, shed := e.admission.Submit(e.now, e.admissionRequest(request))
	switch decision {
	case admission.Admit:
		e.submitRequest(request)
	case admission.Queue:
		e.setState(task, taskQueued)
	case admission.Shed:
		e.shedRequest(request, shed)
	}
}

// admissionRequest describes a request to the admission controller. Its cost is the larger share of a node of the first type.
func (e *Engine) admissionRequest(request *placementRequest) admission.Request {
	task := request.task
	class := &e.cfg.Placer.Classes[task.class]
	nodeType := &e.cfg.Placer.NodeTypes[0]
	return admission.Request{
		ID:               uint64(request.id),
		Tenant:           task.tenant,
		Priority:         class.Priority,
		Cost:             max(task.cores/nodeType.Cores, task.memory/nodeType.Memory),
		Deadline:         e.requestDeadline(task),
		FinalDeadline:    task.deadline,
		LatencyObjective: float64(class.LatencyObjective),
		IsRetry:          request.isRetry,
		ShedBefore:       task.wasShed,
	}
}

// requestDeadline returns the deadline of a request that is made now.
func (e *Engine) requestDeadline(task *task) float64 {
	return min(task.deadline, e.now+float64(e.cfg.Placer.Classes[task.class].Deadline))
}

// submitRequest hands an admitted request to the placer. Its deadline counts from now.
func (e *Engine) submitRequest(request *placementRequest) {
	task := request.task
	e.setState(task, taskSubmitted)
	task.requestsSubmitted++
	submitted := e.placerTask(request, e.requestDeadline(task))
	submitted.IsRetry = request.isRetry
	e.post(placer.Event{Kind: placer.Arrived, Task: submitted})
}

// placerTask describes the task of a request to the placer.
func (e *Engine) placerTask(request *placementRequest, deadline float64) placer.Task {
	task := request.task
	return placer.Task{
		ID:       request.id,
		Class:    task.class,
		Tenant:   task.tenant,
		Service:  task.service,
		Cores:    task.cores,
		Memory:   task.memory,
		Deadline: placer.Seconds(deadline),
	}
}

// shedRequest ends a request that the admission controller sheds. Nothing of it ran.
func (e *Engine) shedRequest(request *placementRequest, shed admission.ShedRequest) {
	e.Stats.Shed++
	request.closed = true
	request.task.wasShed = true
	e.discardRequest(request)
	request.task.lastFailure = "not asked for: " + shed.Reason
	e.retryOrSettle(request.task, retry.Shed, shed.RetryAfter)
}

// admitRequests submits the queued requests that may go on now, ends those that are shed, and sets a timer for the next time at which
// the admission controller must be polled.
func (e *Engine) admitRequests() {
	for {
		admitted, shed := e.admission.Poll(e.now)
		for _, id := range admitted {
			e.submitRequest(e.requests[placer.TaskID(id)])
		}
		for _, request := range shed {
			e.shedRequest(e.requests[placer.TaskID(request.ID)], request)
		}
		e.drainEvents()
		if len(admitted)+len(shed) == 0 {
			break
		}
	}
	e.scheduleAdmission(max(e.admission.NextDeadline(), e.now+minAdmissionDelay))
}

// minAdmissionDelay is the least time in seconds between two polls of the admission controller by timer.
const minAdmissionDelay = 0.001

// scheduleAdmission makes sure that a call ends at the given time or before: every call ends with a poll of the admission controller.
func (e *Engine) scheduleAdmission(at float64) {
	if e.admissionTimer.Pending() && at >= e.admissionTimer.At {
		return
	}
	e.stopTimer(e.admissionTimer)
	e.admissionTimer = nil
	if !math.IsInf(at, 1) {
		e.admissionTimer = e.runAt(at, func() {})
	}
}

// withdrawRequest takes the open request of a task, if it has one, back from the admission controller and the placer.
func (e *Engine) withdrawRequest(task *task) {
	request := task.request
	if request == nil || request.closed {
		return
	}
	request.closed = true
	e.admission.Cancel(uint64(request.id))
	if task.state != taskQueued {
		e.post(placer.Event{Kind: placer.Withdrawn, TaskID: request.id})
	}
	e.discardRequest(request)
}

// requestEnded takes the placer's final answer to a request that it did not place. An attempt in flight has not been answered by the
// request's deadline.
func (e *Engine) requestEnded(id placer.TaskID, cause retry.Cause, retryAfter float64) {
	request := e.requests[id]
	if request == nil || request.closed {
		return
	}
	request.closed = true
	e.admission.Complete(e.now, uint64(request.id), false)
	if pending := request.task.inFlight; pending != nil {
		e.abandonAttempt(pending, placer.TimedOut)
	}
	e.discardRequest(request)
	e.retryOrSettle(request.task, cause, retryAfter)
}

// discardRequest forgets a closed request, unless one of its attempts is in flight or runs: the placer knows that by the request's number.
func (e *Engine) discardRequest(request *placementRequest) {
	if !request.closed {
		return
	}
	for _, attempt := range request.attempts {
		if attempt.task.inFlight == attempt || attempt.task.runningAttempt == attempt {
			return
		}
	}
	delete(e.requests, request.id)
}
