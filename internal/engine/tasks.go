package engine

import (
	"fmt"
	"math"
	"slices"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/admission"
	"heathshed/internal/retry"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// taskPhase of a task.
type taskPhase uint8

const (
	phaseRequesting  taskPhase = iota // the placer has it
	phaseWaiting                      // the owner waits before it asks again, or for a doubt
	phaseRunning                      // a machine holds it
	phaseTerminating                  // it is over, attempts may still be out
)

// task is one Pod: asked for until it is placed, refused or failed, then followed until it ends.
type task struct {
	sequence          int
	uid               types.UID
	namespace, name   string
	job               *job // nil for an orphan
	index             int
	class, tenant     int
	service           placer.ServiceID
	cores, memory     float64
	deadline          float64
	retryBudget       int  // times it may be asked again
	requestsSubmitted int  // asks that reached the placer
	wasShed           bool // some ask was shed at the gate
	mayHaveRun        bool
	everMayHaveRun    bool // some attempt may have run, whatever was learned later
	phase             taskPhase
	settled           bool
	request           *placementRequest
	attemptCount      int // sent so far, over all asks
	inFlight          *attempt
	unknownOutcomes   []*attempt
	runningAttempt    *attempt // the attempt that runs
	retryTimer        *timer
	lastFailure       string // what a machine last stated
	stopReason        string // why it is being stopped; "" if it is not
	deleted           bool   // the Pod goes once nothing is out
	started           bool   // it was seen running
	endReported       bool   // the Job knows its end
}

// placementRequest is one request to the placer.
type placementRequest struct {
	id       placer.TaskID
	task     *task
	attempts []*attempt
	answered bool
	queued   bool // it stands in line at the gate; the placer does not know it
	isRetry  bool
	deadline float64
}

// attempt is one offer, or a task found running.
type attempt struct {
	request             *placementRequest
	task                *task
	requestSequence     int // number within the ask
	number              int // number within the task; what machines are told
	node                *node
	lastPod             *corev1.Pod // what the machine's watch showed while it was open
	lastPodDeleted      bool
	sentAt              float64
	deadline            float64
	timeoutTimer        *timer
	outcomeReported     bool   // the placer has its outcome
	sentIncarnation     string // of the machine, as known at the offer
	acceptedIncarnation string // of the machine, where it accepted
	revision            int64  // the machine's revision at acceptance
	fenceTimer          *timer
	stopInFlight        bool
	stopsSent           int
}

func (t *task) hasUnknownOutcome() bool { return len(t.unknownOutcomes) > 0 }

func (t *task) idempotency(e *Engine) placer.Idempotency {
	return e.cfg.Placer.Classes[t.class].Idempotency
}

// registerTask enters a new Pod.
func (e *Engine) registerTask(task *task, pod *corev1.Pod) {
	task.sequence = int(e.Stats.PodsCreated)
	e.Stats.PodsCreated++
	e.tasks[task.uid] = task
	e.openTasks++
	e.store.Put(store.Pods, pod)
}

// requestPlacement brings a task to the gate under a new number. What it lets pass goes to the placer.
func (e *Engine) requestPlacement(task *task) {
	e.lastRequestID++
	class := &e.cfg.Placer.Classes[task.class]
	request := &placementRequest{id: e.lastRequestID, task: task, isRetry: task.requestsSubmitted > 0, deadline: min(task.deadline, e.now+class.Deadline)}
	e.requests[request.id] = request
	task.request, task.phase, task.retryTimer = request, phaseRequesting, nil
	e.Stats.PlacementRequests++
	if request.isRetry || task.wasShed {
		e.Stats.Retries++
	}
	nodeType := &e.cfg.Placer.NodeTypes[0]
	verdict, shedding := e.admission.Submit(e.now, admission.Request{ID: uint64(request.id), Tenant: task.tenant, Priority: class.Priority, Cost: max(task.cores/nodeType.Cores, task.memory/nodeType.Memory),
		Deadline: request.deadline, FinalDeadline: task.deadline, LatencyObjective: class.LatencyObjective, IsRetry: request.isRetry, ShedBefore: task.wasShed})
	switch verdict {
	case admission.Admit:
		e.submitRequest(request)
	case admission.Queue:
		request.queued = true
	case admission.Shed:
		e.shedRequest(request, shedding)
	}
}

// submitRequest hands an ask to the placer.
func (e *Engine) submitRequest(request *placementRequest) {
	task := request.task
	request.queued = false
	request.deadline = min(task.deadline, e.now+e.cfg.Placer.Classes[task.class].Deadline)
	task.requestsSubmitted++
	e.post(placer.Event{Kind: placer.Arrived, Task: placer.Task{ID: request.id, Class: task.class, Tenant: task.tenant, Service: task.service, Cores: task.cores,
		Memory: task.memory, IsRetry: request.isRetry, Deadline: request.deadline}})
}

// shedRequest ends an ask that the gate refuses. Nothing of it ran.
func (e *Engine) shedRequest(request *placementRequest, shedding admission.ShedRequest) {
	e.Stats.Shed++
	request.answered, request.queued, request.task.wasShed = true, false, true
	e.discardRequest(request)
	request.task.lastFailure = "not asked for: " + shedding.Reason
	e.retryOrSettle(request.task, retry.Shed, shedding.RetryAfter)
}

// admitRequests lets pass what may, and sees to it that it is looked at again in time.
func (e *Engine) admitRequests() {
	for {
		pass, shed := e.admission.Poll(e.now)
		for _, id := range pass {
			e.submitRequest(e.requests[placer.TaskID(id)])
		}
		for _, shedding := range shed {
			e.shedRequest(e.requests[placer.TaskID(shedding.ID)], shedding)
		}
		e.drainEvents()
		if len(pass)+len(shed) == 0 {
			break
		}
	}
	wakeAt := max(e.admission.NextDeadline(), e.now+0.001)
	if !e.admissionTimer.Pending() || wakeAt < e.admissionTimer.At {
		e.stopTimer(e.admissionTimer)
		e.admissionTimer = nil
		if !math.IsInf(wakeAt, 1) {
			e.admissionTimer = e.runAt(wakeAt, func() {}) // the end of every call opens the gate
		}
	}
}

// startAttempt carries out the placer's offer.
func (e *Engine) startAttempt(action *placer.Action) {
	request, node := e.requests[action.Task], e.nodesByID[action.Node]
	if request == nil || node == nil || request.answered {
		panic(fmt.Sprintf("engine: offer of ask %d to machine %d, which are not both open", action.Task, action.Node))
	}
	task := request.task
	if task.inFlight != nil || task.runningAttempt != nil {
		panic(fmt.Sprintf("engine: task %s has an attempt out already", task.uid))
	}
	task.attemptCount++
	attempt := &attempt{request: request, task: task, requestSequence: action.Attempt, number: task.attemptCount, node: node, sentAt: e.now, deadline: action.Until, sentIncarnation: node.incarnation}
	request.attempts = append(request.attempts, attempt)
	task.inFlight = attempt
	e.Stats.Attempts++
	attempt.timeoutTimer = e.runAt(action.Until, func() { e.attemptTimedOut(attempt) })
	e.emit(Effect{Kind: SendAttempt, Node: node.name, Address: node.address, Pod: e.podForNode(task), UID: task.uid,
		Namespace: task.namespace, Name: task.name, Attempt: attempt.number, Deadline: action.Until,
		AvoidUnknownOutcome: task.idempotency(e) != placer.Idempotent})
}

// podForNode is the Pod as machines get it.
func (e *Engine) podForNode(task *task) *corev1.Pod {
	pod := e.podOf(task)
	if pod == nil {
		panic("engine: task without a Pod: " + string(task.uid))
	}
	next := *pod
	pod.ObjectMeta.DeepCopyInto(&next.ObjectMeta)
	pod = &next
	pod.ResourceVersion = ""
	pod.Labels[wellknown.Scheduler] = e.cfg.Name
	pod.Labels[wellknown.Class] = e.cfg.Classes[task.class]
	if task.job != nil {
		pod.Annotations[wellknown.JobManifest] = task.job.manifest()
	}
	pod.Status = corev1.PodStatus{}
	return pod
}

func (e *Engine) podOf(task *task) *corev1.Pod {
	object := e.store.Get(store.Pods, task.namespace, task.name)
	if object == nil || object.GetUID() != task.uid {
		return nil
	}
	return object.(*corev1.Pod)
}

// updatePod stores a changed copy of a task's Pod.
func (e *Engine) updatePod(task *task, mutate func(pod *corev1.Pod)) {
	pod := e.podOf(task)
	if pod == nil {
		return
	}
	// A spec may be large, and all that ever changes in it is the name of the machine.
	next := *pod
	pod.ObjectMeta.DeepCopyInto(&next.ObjectMeta)
	pod.Status.DeepCopyInto(&next.Status)
	mutate(&next)
	e.store.Put(store.Pods, &next)
}

// AttemptAnswer is how a machine answered an offer.
type AttemptAnswer struct {
	UID         types.UID
	Attempt     int
	Node        string
	Accepted    bool
	Result      placer.Result // where it was not accepted
	Reason      placer.Reason
	Message     string // the machine's own words
	Report      *placer.Report
	Incarnation string      // identity of the machine's life
	Revision    int64       // the machine's revision of the Pod
	Pod         *corev1.Pod // as the machine shows it, where it was accepted
}

// AttemptDone takes the answer to an offer.
func (e *Engine) AttemptDone(now float64, answer AttemptAnswer) {
	e.beginCall(now)
	defer e.endCall()
	task := e.tasks[answer.UID]
	if task == nil {
		// The task is over. An acceptance then left a copy that nobody waits for.
		if node := e.nodes[answer.Node]; answer.Accepted && node != nil {
			e.Stats.LateAnswers++
			e.stopStrayCopy(node, answer.UID, "", "", answer.Attempt)
		}
		return
	}
	if attempt := task.inFlight; attempt != nil && attempt.number == answer.Attempt && attempt.node.name == answer.Node {
		e.observeIncarnation(attempt.node, answer.Incarnation)
		if answer.Accepted {
			e.attemptAccepted(attempt, answer)
			return
		}
		task.lastFailure = answerMessage(answer)
		if answer.Result == placer.Rejected {
			e.Stats.Rejections++
		}
		e.attemptFailed(attempt, answer.Result, answer.Reason, answer.Report)
		return
	}
	// An answer that comes after the attempt was given up.
	for _, attempt := range task.unknownOutcomes {
		if attempt.number != answer.Attempt || attempt.node.name != answer.Node {
			continue
		}
		e.Stats.LateAnswers++
		switch {
		case answer.Accepted:
			e.attemptFoundRunning(attempt, answer.Incarnation, answer.Revision)
		case answer.Result == placer.Rejected || answer.Result == placer.Unreachable:
			e.resolveOutcome(attempt, false)
		}
		return
	}
	if answer.Accepted {
		if node := e.nodes[answer.Node]; node != nil && (task.runningAttempt == nil || task.runningAttempt.node != node) {
			e.stopStrayCopy(node, task.uid, task.namespace, task.name, answer.Attempt)
		}
	}
}

func answerMessage(answer AttemptAnswer) string {
	if answer.Message != "" {
		return answer.Node + ": " + answer.Message
	}
	switch answer.Result {
	case placer.Unreachable:
		return answer.Node + ": no connection"
	case placer.TimedOut:
		return answer.Node + ": no answer in time"
	case placer.Lost:
		return answer.Node + ": the answer broke off"
	case placer.Errored:
		return answer.Node + ": answered with an error"
	}
	return answer.Node + ": refused"
}

// attemptAccepted places a task.
func (e *Engine) attemptAccepted(attempt *attempt, answer AttemptAnswer) {
	task := attempt.task
	e.Stats.Accepted++
	task.inFlight = nil
	e.stopTimer(attempt.timeoutTimer)
	if attempt.lastPod == nil || attempt.acceptedIncarnation != answer.Incarnation {
		attempt.lastPod, attempt.revision = nil, 0
	}
	attempt.acceptedIncarnation = answer.Incarnation
	e.post(placer.Event{Kind: placer.Bound, TaskID: attempt.request.id, Attempt: attempt.requestSequence, Node: attempt.node.id, Elapsed: e.now - attempt.sentAt})
	attempt.request.answered = true
	e.admission.Complete(e.now, uint64(attempt.request.id), true)
	e.bindTask(task, attempt)
	// News that overtook the answer, or came with it.
	if pod := attempt.lastPod; pod != nil && attempt.revision > answer.Revision {
		e.observeRunning(task, pod, attempt.lastPodDeleted)
	} else if pod := answer.Pod; pod != nil {
		e.observeRunning(task, pod, false)
	}
	attempt.lastPod = nil
	attempt.revision = answer.Revision
}

// bindTask notes that a machine holds the task and settles it as placed.
func (e *Engine) bindTask(task *task, attempt *attempt) {
	task.runningAttempt, task.phase = attempt, phaseRunning
	task.everMayHaveRun = true
	attempt.node.running[task.uid] = task
	e.stopTimer(task.retryTimer)
	task.retryTimer = nil
	if task.deleted || task.stopReason != "" {
		e.stopRunning(task)
	}
	if task.settled {
		e.updatePod(task, func(pod *corev1.Pod) { pod.Spec.NodeName = attempt.node.name })
		return
	}
	e.settle(task, wellknown.Placed, "accepted by "+attempt.node.name)
}

// attemptFailed tells the placer how the open attempt ended, keeping what it leaves in doubt.
func (e *Engine) attemptFailed(attempt *attempt, result placer.Result, reason placer.Reason, report *placer.Report) {
	task := attempt.task
	task.inFlight = nil
	e.stopTimer(attempt.timeoutTimer)
	switch result {
	case placer.Rejected, placer.Unreachable, placer.Expired:
	default:
		e.trackUnknownOutcome(attempt)
	}
	attempt.outcomeReported = true
	e.post(placer.Event{Kind: placer.Ended, TaskID: attempt.request.id, Attempt: attempt.requestSequence, Node: attempt.node.id, Result: result, Reason: reason,
		Elapsed: e.now - attempt.sentAt, Final: attempt.request.answered, Report: report})
	if attempt.request.answered || task.phase == phaseTerminating {
		e.discardRequest(attempt.request)
		e.discardTask(task)
	}
}

// trackUnknownOutcome keeps an attempt that may have been accepted. A copy of a task that may run twice is stopped; one that must not is
// looked for first, since it may be running.
func (e *Engine) trackUnknownOutcome(unresolved *attempt) {
	task := unresolved.task
	e.Stats.UnknownOutcomes++
	task.everMayHaveRun = true
	task.unknownOutcomes = append(task.unknownOutcomes, unresolved)
	if unresolved.node.unknownOutcomes == nil {
		unresolved.node.unknownOutcomes = map[*attempt]struct{}{}
	}
	unresolved.node.unknownOutcomes[unresolved] = struct{}{}
	if task.idempotency(e) == placer.Idempotent || task.phase == phaseTerminating {
		e.fenceAttempt(unresolved)
		return
	}
	if unresolved.lastPod != nil {
		e.runAfter(0, func() {
			if unresolved.outcomeUnknown() {
				e.observeUnknownOutcome(unresolved, unresolved.acceptedIncarnation, unresolved.lastPod, unresolved.lastPodDeleted)
				e.drainEvents()
			}
		})
	}
	unresolved.fenceTimer = e.runAfter(e.cfg.Retry.UnknownOutcomeTimeout, func() { unresolved.fenceTimer = nil; e.fenceAttempt(unresolved); e.drainEvents() })
}

// attemptTimedOut gives up the open attempt.
func (e *Engine) attemptTimedOut(attempt *attempt) {
	task := attempt.task
	if task.inFlight != attempt {
		return
	}
	task.lastFailure = attempt.node.name + ": no answer in time"
	e.emit(Effect{Kind: AbandonAttempt, Node: attempt.node.name, UID: task.uid, Attempt: attempt.number})
	e.attemptFailed(attempt, placer.TimedOut, placer.NoReason, nil)
	e.drainEvents()
}

// fenceAttempt asks a machine to stop the task if it has it, and never to take this attempt if it has not. It is repeated until the
// machine answers or is known to have begun a new life.
func (e *Engine) fenceAttempt(attempt *attempt) {
	if !attempt.outcomeUnknown() || attempt.stopInFlight {
		return
	}
	attempt.stopInFlight = true
	attempt.stopsSent++
	e.Stats.Stops++
	e.emit(Effect{Kind: StopTask, Node: attempt.node.name, Address: attempt.node.address, UID: attempt.task.uid,
		Namespace: attempt.task.namespace, Name: attempt.task.name, Attempt: attempt.number})
}

func (at *attempt) outcomeUnknown() bool { return slices.Contains(at.task.unknownOutcomes, at) }

// StopAnswer is how a machine answered StopTask.
type StopAnswer struct {
	UID         types.UID
	Node        string
	Attempt     int
	Incarnation string // identity of the machine's life
	Answered    bool   // the machine answered
	HadTask     bool   // it has or had the task under this attempt
	MayHaveRun  bool   // and the task may have run
}

// StopDone takes the answer to StopTask.
func (e *Engine) StopDone(now float64, answer StopAnswer) {
	e.beginCall(now)
	defer e.endCall()
	if node := e.nodes[answer.Node]; node != nil && answer.Answered {
		e.observeIncarnation(node, answer.Incarnation)
	}
	task := e.tasks[answer.UID]
	if task == nil {
		return
	}
	for _, attempt := range task.unknownOutcomes {
		if attempt.number != answer.Attempt || attempt.node.name != answer.Node {
			continue
		}
		attempt.stopInFlight = false
		if answer.Answered {
			// A machine that does not have the task says so of its present life only.
			e.resolveOutcome(attempt, answer.HadTask && answer.MayHaveRun || !answer.HadTask && (attempt.sentIncarnation == "" || attempt.sentIncarnation != answer.Incarnation))
			return
		}
		e.stopTimer(attempt.fenceTimer)
		attempt.fenceTimer = e.runAfter(min(0.25*float64(int(1)<<min(attempt.stopsSent, 5)), 5), func() { attempt.fenceTimer = nil; e.fenceAttempt(attempt); e.drainEvents() })
		return
	}
	if running := task.runningAttempt; running != nil && running.number == answer.Attempt && running.node.name == answer.Node && task.stopReason != "" {
		if answer.Answered {
			e.runningTaskEnded(task, placer.Cancelled, placer.NoReason, task.stopReason, "")
			return
		}
		running.stopsSent++
		running.fenceTimer = e.runAfter(min(0.25*float64(int(1)<<min(running.stopsSent, 5)), 5), func() { running.fenceTimer = nil; e.stopRunning(task) })
	}
}

// untrackUnknownOutcome takes an attempt from the doubts of its task and its machine.
func (e *Engine) untrackUnknownOutcome(attempt *attempt) {
	if i := slices.Index(attempt.task.unknownOutcomes, attempt); i >= 0 {
		attempt.task.unknownOutcomes = slices.Delete(attempt.task.unknownOutcomes, i, i+1)
		delete(attempt.node.unknownOutcomes, attempt)
	}
	e.stopTimer(attempt.fenceTimer)
	attempt.fenceTimer = nil
}

// resolveOutcome ends a doubt: the attempt never ran, or it is over and may have.
func (e *Engine) resolveOutcome(attempt *attempt, ran bool) {
	task := attempt.task
	e.untrackUnknownOutcome(attempt)
	task.mayHaveRun = task.mayHaveRun || ran
	e.discardRequest(attempt.request)
	if task.phase == phaseWaiting && !task.hasUnknownOutcome() && task.retryTimer != nil && task.idempotency(e) != placer.Idempotent {
		e.stopTimer(task.retryTimer)
		e.retryOrSettle(task, retry.Failed, 0)
		return
	}
	e.discardTask(task)
}

// attemptFoundRunning is a doubtful attempt that turns out to run.
func (e *Engine) attemptFoundRunning(attempt *attempt, incarnation string, revision int64) {
	task := attempt.task
	if task.phase == phaseRunning || task.inFlight != nil || task.phase == phaseTerminating || task.settled || task.deleted || attempt.stopInFlight {
		// Another attempt is out or nobody waits: the copy goes.
		e.fenceAttempt(attempt)
		return
	}
	// The placer must not send it again: take the ask back, then hand it over as running.
	e.untrackUnknownOutcome(attempt)
	e.Stats.Adopted++
	e.withdrawRequest(task)
	e.adoptTask(task, attempt.node, attempt.number, incarnation, revision)
}

// adoptTask hands a task that runs to the placer, under a number of its own.
func (e *Engine) adoptTask(task *task, node *node, number int, incarnation string, revision int64) {
	e.lastRequestID++
	request := &placementRequest{id: e.lastRequestID, task: task, answered: true}
	attempt := &attempt{request: request, task: task, node: node, number: number, sentAt: e.now, acceptedIncarnation: incarnation, revision: revision}
	request.attempts = append(request.attempts, attempt)
	e.requests[request.id] = request
	task.request = request
	task.attemptCount = max(task.attemptCount, number)
	e.post(placer.Event{Kind: placer.Adopted, Node: node.id, Task: placer.Task{ID: request.id, Class: task.class, Tenant: task.tenant,
		Service: task.service, Cores: task.cores, Memory: task.memory, Deadline: task.deadline}})
	e.bindTask(task, attempt)
}

// withdrawRequest takes the present ask back from the placer.
func (e *Engine) withdrawRequest(task *task) {
	if request := task.request; request != nil && !request.answered {
		request.answered = true
		e.admission.Cancel(uint64(request.id))
		if !request.queued {
			e.post(placer.Event{Kind: placer.Withdrawn, TaskID: request.id})
		}
		request.queued = false
		e.discardRequest(request)
	}
}

// requestEnded takes the placer's final word on an ask that it did not place.
func (e *Engine) requestEnded(id placer.TaskID, cause retry.Cause, delay float64) {
	request := e.requests[id]
	if request == nil || request.answered {
		return
	}
	request.answered = true
	e.admission.Complete(e.now, uint64(request.id), false)
	task := request.task
	if task.inFlight != nil {
		// Its outcome did not come by the deadline.
		attempt := task.inFlight
		e.emit(Effect{Kind: AbandonAttempt, Node: attempt.node.name, UID: task.uid, Attempt: attempt.number})
		e.attemptFailed(attempt, placer.TimedOut, placer.NoReason, nil)
	}
	e.discardRequest(request)
	e.retryOrSettle(task, cause, delay)
}

// discardRequest drops an ask of which the placer knows all there is.
func (e *Engine) discardRequest(request *placementRequest) {
	if !request.answered {
		return
	}
	for _, attempt := range request.attempts {
		if attempt.task.inFlight == attempt || attempt.task.runningAttempt == attempt {
			return
		}
	}
	delete(e.requests, request.id)
}

// retryOrSettle does what the owner does next with a task that is not placed.
func (e *Engine) retryOrSettle(task *task, cause retry.Cause, delay float64) {
	task.phase, task.request, task.retryTimer = phaseWaiting, nil, nil
	if task.deleted {
		e.terminateTask(task)
		return
	}
	if e.stopping {
		task.retryBudget = 0
	}
	decision, retryAt := e.cfg.Retry.Next(retry.State{Idempotency: task.idempotency(e), Cause: cause, Now: e.now, Deadline: task.deadline, Attempts: task.requestsSubmitted,
		RetriesLeft: task.retryBudget, OutcomeUnknown: task.hasUnknownOutcome(), MayHaveRun: task.mayHaveRun, RetryAfter: delay, Jitter: e.rng.Float64()})
	switch decision {
	case retry.RetryAt:
		task.retryBudget--
		task.retryTimer = e.runAt(retryAt, func() { e.requestPlacement(task); e.drainEvents() })
	case retry.AwaitOutcome:
		task.retryTimer = e.runAt(retryAt, func() { e.retryOrSettle(task, cause, 0); e.drainEvents() })
	case retry.Reject:
		e.settle(task, wellknown.Rejected, task.failureMessage("no machine took it"))
	case retry.Fail:
		e.settle(task, wellknown.Failed, task.failureMessage("it could not be placed"))
	}
}

func (e *Engine) failureReason(task *task) string {
	if task.mayHaveRun || task.hasUnknownOutcome() {
		return wellknown.Failed
	}
	return wellknown.Rejected
}

func (t *task) failureMessage(summary string) string {
	if t.lastFailure != "" {
		summary += "; last: " + t.lastFailure
	}
	if t.hasUnknownOutcome() {
		summary += "; an attempt may have been accepted by " + t.unknownOutcomes[0].node.name
	}
	return summary
}

// settle gives a task its one outcome.
func (e *Engine) settle(task *task, reason, message string) {
	if task.settled {
		return
	}
	task.settled = true
	e.openTasks--
	switch reason {
	case wellknown.Placed:
		e.Stats.Placed++
	case wellknown.Rejected:
		e.Stats.Rejected++
	default:
		e.Stats.Failed++
	}
	now := wellknown.APITime(e.now)
	e.updatePod(task, func(pod *corev1.Pod) {
		pod.Status.Conditions = setCondition(pod.Status.Conditions, corev1.PodCondition{Type: wellknown.Settled,
			Status: corev1.ConditionTrue, Reason: reason, Message: message, LastTransitionTime: now, LastProbeTime: now})
		if reason == wellknown.Placed {
			pod.Spec.NodeName = task.runningAttempt.node.name
			pod.Status.Conditions = setCondition(pod.Status.Conditions, corev1.PodCondition{Type: corev1.PodScheduled,
				Status: corev1.ConditionTrue, LastTransitionTime: now})
			return
		}
		pod.Status.Phase, pod.Status.Reason, pod.Status.Message = corev1.PodFailed, reason, message
		pod.Status.Conditions = setCondition(pod.Status.Conditions, corev1.PodCondition{Type: corev1.PodScheduled,
			Status: corev1.ConditionFalse, Reason: corev1.PodReasonUnschedulable, Message: message, LastTransitionTime: now})
	})
	if task.job != nil {
		e.recordSettled(task, reason)
	}
	if reason != wellknown.Placed {
		e.stopTimer(task.retryTimer)
		task.retryTimer = nil
		e.terminateTask(task)
	}
}

// terminateTask ends a task that neither runs nor will be asked again; its attempts in doubt are still seen to.
func (e *Engine) terminateTask(task *task) {
	if task.phase == phaseTerminating {
		e.discardTask(task)
		return
	}
	e.stopTimer(task.retryTimer)
	task.retryTimer = nil
	if !task.settled {
		// Only a deletion comes here with an open outcome: the owner gave it up.
		e.settle(task, wellknown.Failed, "deleted before it was placed")
		return
	}
	task.phase = phaseTerminating
	for _, attempt := range append([]*attempt(nil), task.unknownOutcomes...) {
		e.stopTimer(attempt.fenceTimer)
		attempt.fenceTimer = nil
		e.fenceAttempt(attempt)
	}
	e.reportTaskEnd(task, false, retry.Rejected)
	e.discardTask(task)
}

// discardTask forgets a task when nothing of it is out, and takes its Pod away if it was deleted.
func (e *Engine) discardTask(task *task) {
	if task.phase != phaseTerminating || task.inFlight != nil || task.runningAttempt != nil {
		return
	}
	if len(task.unknownOutcomes) > 0 {
		return
	}
	delete(e.tasks, task.uid)
	if task.deleted && e.podOf(task) != nil {
		e.store.Delete(store.Pods, task.namespace, task.name)
		e.podRemoved(task)
	}
}

// reportTaskEnd tells the Job once how one of its tasks ended.
func (e *Engine) reportTaskEnd(task *task, ok bool, cause retry.Cause) {
	if !task.endReported {
		task.endReported = true
		if task.job != nil {
			e.jobTaskEnded(task, ok, cause)
		}
	}
}

// stopRunning asks the machine that holds the task to stop it.
func (e *Engine) stopRunning(task *task) {
	running := task.runningAttempt
	if running == nil {
		return
	}
	e.Stats.Stops++
	e.emit(Effect{Kind: StopTask, Node: running.node.name, Address: running.node.address, UID: task.uid, Namespace: task.namespace,
		Name: task.name, Attempt: running.number})
}

// stopStrayCopy asks a machine to stop a task that it should not hold.
func (e *Engine) stopStrayCopy(node *node, uid types.UID, namespace, name string, number int) {
	e.Stats.Stops++
	e.emit(Effect{Kind: StopTask, Node: node.name, Address: node.address, UID: uid, Namespace: namespace, Name: name,
		Attempt: number})
}

// migrateTask carries out the placer's move: the task stops and is asked for again.
func (e *Engine) migrateTask(id placer.TaskID) {
	request := e.requests[id]
	if request == nil || request.task.runningAttempt == nil || request.task.runningAttempt.request != request || request.task.stopReason != "" {
		return
	}
	request.task.stopReason = "Moved"
	e.stopRunning(request.task)
}

// runningTaskEnded takes the end of a task that ran. stated is the reason kept in the Pod, "" for an end in order.
func (e *Engine) runningTaskEnded(task *task, result placer.Result, reason placer.Reason, statedReason, message string) {
	attempt := task.runningAttempt
	if attempt == nil {
		return
	}
	task.runningAttempt = nil
	e.stopTimer(attempt.fenceTimer)
	delete(attempt.node.running, task.uid)
	attempt.outcomeReported = true
	e.post(placer.Event{Kind: placer.Ended, TaskID: attempt.request.id, Attempt: attempt.requestSequence, Node: attempt.node.id, Result: result, Reason: reason,
		Elapsed: e.now - attempt.sentAt, Final: true})
	e.discardRequest(attempt.request)
	ok := result == placer.Finished && statedReason == ""
	cause := retry.Lost
	switch {
	case result == placer.Finished:
		cause = retry.Failed // of its own doing
	case reason == placer.Evicted:
		cause = retry.Evicted
		e.Stats.EvictedTasks++
	case statedReason == "Moved" || statedReason == "Evicted" && result == placer.Cancelled:
		cause = retry.Migrated
		e.Stats.MigratedTasks++
	case result == placer.Lost:
		e.Stats.LostTasks++
	}
	now := wellknown.APITime(e.now)
	e.updatePod(task, func(pod *corev1.Pod) {
		pod.Status.Phase = corev1.PodFailed
		if ok {
			pod.Status.Phase = corev1.PodSucceeded
		}
		pod.Status.Reason, pod.Status.Message = statedReason, message
		pod.Status.Conditions = setCondition(pod.Status.Conditions, corev1.PodCondition{Type: corev1.PodReady,
			Status: corev1.ConditionFalse, Reason: "PodCompleted", LastTransitionTime: now})
		for i := range pod.Status.ContainerStatuses {
			container := &pod.Status.ContainerStatuses[i]
			code := int32(0)
			if result == placer.Finished && !ok {
				code = 1
			} else if !ok {
				code = 137
			}
			container.Ready = false
			container.State = corev1.ContainerState{Terminated: &corev1.ContainerStateTerminated{ExitCode: code, Reason: statedReason,
				FinishedAt: now}}
		}
	})
	e.reportTaskEnd(task, ok, cause)
	e.terminateTask(task)
}

// taskStarted notes that a held task runs.
func (e *Engine) taskStarted(task *task) {
	if task.started {
		return
	}
	task.started = true
	e.post(placer.Event{Kind: placer.UsageReported, TaskID: task.runningAttempt.request.id, Attempt: task.runningAttempt.requestSequence, Node: task.runningAttempt.node.id, Usage: placer.Started,
		Value: e.now - task.runningAttempt.sentAt})
	now := wellknown.APITime(e.now)
	e.updatePod(task, func(pod *corev1.Pod) {
		pod.Status.Phase = corev1.PodRunning
		pod.Status.StartTime = &now
		yes := true
		pod.Status.ContainerStatuses = nil
		for i := range pod.Spec.Containers {
			container := &pod.Spec.Containers[i]
			pod.Status.ContainerStatuses = append(pod.Status.ContainerStatuses, corev1.ContainerStatus{Name: container.Name, Image: container.Image,
				Ready: true, Started: &yes, State: corev1.ContainerState{Running: &corev1.ContainerStateRunning{StartedAt: now}}})
		}
		for _, kind := range []corev1.PodConditionType{corev1.PodInitialized, corev1.ContainersReady, corev1.PodReady} {
			pod.Status.Conditions = setCondition(pod.Status.Conditions, corev1.PodCondition{Type: kind,
				Status: corev1.ConditionTrue, LastTransitionTime: now})
		}
	})
}

// DeletePod has a Pod stopped and taken away. uid may be "".
func (e *Engine) DeletePod(now float64, namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	e.beginCall(now)
	defer e.endCall()
	object := e.store.Get(store.Pods, namespace, name)
	if object == nil {
		return nil, ErrNotFound
	}
	pod := object.(*corev1.Pod)
	if uid != "" && uid != pod.UID || resourceVersion != "" && resourceVersion != pod.ResourceVersion {
		return nil, ErrConflict
	}
	e.deletePod(pod, "Deleted")
	if object := e.store.Get(store.Pods, namespace, name); object != nil {
		return object.(*corev1.Pod), nil
	}
	return pod, nil
}

func (e *Engine) deletePod(pod *corev1.Pod, reason string) {
	task := e.tasks[pod.UID]
	if task == nil {
		e.store.Delete(store.Pods, pod.Namespace, pod.Name)
		if job := e.jobOfPod(pod); job != nil {
			job.removePod(pod.Name)
			e.finishForegroundDeletion(job)
		}
		return
	}
	if task.deleted {
		return
	}
	task.deleted = true
	stamp := metav1.NewTime(wellknown.APITime(e.now).Time)
	grace := int64(30)
	e.updatePod(task, func(pod *corev1.Pod) { pod.DeletionTimestamp, pod.DeletionGracePeriodSeconds = &stamp, &grace })
	e.stopTask(task, reason)
}

// stopTask stops a task wherever it stands.
func (e *Engine) stopTask(task *task, reason string) {
	if task.stopReason == "" {
		task.stopReason = reason
	}
	switch {
	case task.runningAttempt != nil:
		e.stopRunning(task)
	case task.inFlight != nil:
		// The offer cannot be called back: give it up, and see to it that no copy stays.
		attempt := task.inFlight
		e.withdrawRequest(task)
		task.phase = phaseTerminating
		e.emit(Effect{Kind: AbandonAttempt, Node: attempt.node.name, UID: task.uid, Attempt: attempt.number})
		e.attemptFailed(attempt, placer.Cancelled, placer.NoReason, nil)
		task.phase = phaseWaiting
		e.terminateTask(task)
	default:
		e.withdrawRequest(task)
		task.phase = phaseWaiting
		e.terminateTask(task)
	}
}

// EvictPod stops a Pod that runs; its owner asks for it again soon. One that does not run is deleted.
func (e *Engine) EvictPod(now float64, namespace, name string, uid types.UID) error {
	e.beginCall(now)
	defer e.endCall()
	object := e.store.Get(store.Pods, namespace, name)
	if object == nil {
		return ErrNotFound
	}
	pod := object.(*corev1.Pod)
	if uid != "" && uid != pod.UID {
		return ErrConflict
	}
	if task := e.tasks[pod.UID]; task != nil && task.runningAttempt != nil {
		if task.stopReason == "" {
			task.stopReason = "Evicted"
			e.stopRunning(task)
		}
		return nil
	}
	e.deletePod(pod, "Evicted")
	return nil
}
