package engine

import (
	"fmt"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// attempt is one sending of a task to a node, or the adoption of a task that was found running there.
type attempt struct {
	request         *placementRequest
	task            *task
	node            *node
	requestSequence int // number within the request, as the placer counts
	number          int // number within the task, as nodes know it

	sentAt              float64
	timeoutTimer        *timer
	sentIncarnation     string       // of the node, as known when the attempt was sent
	observed            *observedPod // what the node's watch showed while the attempt was in flight; nil if nothing
	acceptedIncarnation string       // of the node, when it accepted
	revision            int64        // of the Pod at the node, when it accepted

	fenceTimer   *timer // the next stop order
	stopInFlight bool   // a stop order for an attempt with unknown outcome is not answered yet
	stopsSent    int    // stop orders, for the backoff between them
}

// observedPod is a Pod as a node's watch showed it.
type observedPod struct {
	pod         *corev1.Pod
	deleted     bool
	incarnation string // of the node
	revision    int64
}

// newerThan reports whether the observation was made after the node gave an answer. Revisions count within an incarnation.
func (o *observedPod) newerThan(answer *AttemptAnswer) bool {
	return o != nil && o.incarnation == answer.Incarnation && o.revision > answer.Revision
}

// startAttempt carries out the placer's decision to send a request's task to a node.
func (e *Engine) startAttempt(action *placer.Action) {
	request, node := e.requests[action.Task], e.nodesByID[action.Node]
	if request == nil || node == nil || request.closed {
		panic(fmt.Sprintf("engine: attempt of request %d at node %d, which are not both open", action.Task, action.Node))
	}
	task := request.task
	if task.inFlight != nil || task.runningAttempt != nil {
		panic(fmt.Sprintf("engine: task %s has an attempt in flight or running already", task.uid))
	}
	task.attemptCount++
	started := &attempt{
		request:         request,
		task:            task,
		node:            node,
		requestSequence: action.Attempt,
		number:          task.attemptCount,
		sentAt:          e.now,
		sentIncarnation: node.incarnation,
	}
	request.attempts = append(request.attempts, started)
	task.inFlight = started
	e.setState(task, taskAttempting)
	e.Stats.Attempts++
	started.timeoutTimer = e.runAt(float64(action.Until), func() { e.attemptTimedOut(started) })
	e.emit(Effect{
		Kind:                SendAttempt,
		Node:                node.name,
		Address:             node.address,
		Pod:                 e.podForNode(task),
		UID:                 task.uid,
		Namespace:           task.namespace,
		Name:                task.name,
		Attempt:             started.number,
		Deadline:            float64(action.Until),
		AvoidUnknownOutcome: e.idempotencyOf(task) != placer.Idempotent,
	})
}

// AttemptAnswer is a node's answer to SendAttempt, or the reason why there is none.
type AttemptAnswer struct {
	UID         types.UID
	Attempt     int
	Node        string
	Accepted    bool
	Result      placer.Result // unless accepted
	Reason      placer.Reason // where the node stated one
	Message     string        // the node's own text
	Report      *placer.Report
	Incarnation string      // of the node; "" if it did not state one
	Revision    int64       // of the Pod at the node
	Pod         *corev1.Pod // as the node shows it, where it was accepted; may be nil
}

// failure describes why an attempt was not accepted.
func (a *AttemptAnswer) failure() string {
	if a.Message != "" {
		return a.Node + ": " + a.Message
	}
	switch a.Result {
	case placer.Unreachable:
		return a.Node + ": no connection"
	case placer.TimedOut:
		return a.Node + noAnswerInTime
	case placer.Lost:
		return a.Node + ": the answer broke off"
	case placer.Errored:
		return a.Node + ": answered with an error"
	}
	return a.Node + ": refused"
}

const noAnswerInTime = ": no answer in time"

// AttemptDone takes the answer to SendAttempt. It may be called after AbandonAttempt.
func (e *Engine) AttemptDone(now float64, answer AttemptAnswer) {
	e.beginCall(now)
	defer e.endCall()
	task := e.tasks[answer.UID]
	if task == nil {
		e.stopLateAcceptance(&answer)
		return
	}
	if pending := task.inFlight; pending.is(answer.Node, answer.Attempt) {
		e.attemptAnswered(pending, &answer)
		return
	}
	if unresolved := task.unknownOutcome(answer.Node, answer.Attempt); unresolved != nil {
		e.Stats.LateAnswers++
		e.attemptAnsweredLate(unresolved, &answer)
		return
	}
	if !answer.Accepted {
		return
	}
	node, running := e.nodes[answer.Node], task.runningAttempt
	if node != nil && (running == nil || running.node != node) {
		e.stopCopy(node, task.uid, task.namespace, task.name, answer.Attempt)
	}
}

// is reports whether an attempt is the one that a node's answer names. A nil attempt is none.
func (a *attempt) is(node string, number int) bool {
	return a != nil && a.number == number && a.node.name == node
}

// stopLateAcceptance stops the Pod of a task that the engine no longer keeps.
func (e *Engine) stopLateAcceptance(answer *AttemptAnswer) {
	node := e.nodes[answer.Node]
	if !answer.Accepted || node == nil {
		return
	}
	e.Stats.LateAnswers++
	e.stopCopy(node, answer.UID, "", "", answer.Attempt)
}

// attemptAnswered takes the answer to the attempt in flight.
func (e *Engine) attemptAnswered(pending *attempt, answer *AttemptAnswer) {
	e.observeIncarnation(pending.node, answer.Incarnation)
	if answer.Accepted {
		e.attemptAccepted(pending, answer)
		return
	}
	pending.task.lastFailure = answer.failure()
	if answer.Result == placer.Rejected {
		e.Stats.Rejections++
	}
	e.attemptFailed(pending, answer.Result, answer.Reason, answer.Report)
}

// attemptAccepted binds the task of the attempt in flight.
func (e *Engine) attemptAccepted(accepted *attempt, answer *AttemptAnswer) {
	task := accepted.task
	e.Stats.Accepted++
	task.inFlight = nil
	e.stopTimer(accepted.timeoutTimer)
	accepted.acceptedIncarnation = answer.Incarnation
	e.post(placer.Event{
		Kind:    placer.Bound,
		TaskID:  accepted.request.id,
		Attempt: accepted.requestSequence,
		Node:    accepted.node.id,
		Elapsed: placer.Seconds(e.now - accepted.sentAt),
	})
	accepted.request.closed = true
	e.admission.Complete(e.now, uint64(accepted.request.id), true)
	e.bindTask(task, accepted)
	// The node's watch may have been faster than its answer.
	if observed := accepted.observed; observed.newerThan(answer) {
		e.observeRunning(task, observed.pod, observed.deleted)
	} else if answer.Pod != nil {
		e.observeRunning(task, answer.Pod, false)
	}
	accepted.observed = nil
	accepted.revision = answer.Revision
}

// attemptTimedOut gives up an attempt if it is still in flight.
func (e *Engine) attemptTimedOut(pending *attempt) {
	if pending.task.inFlight != pending {
		return
	}
	pending.task.lastFailure = pending.node.name + noAnswerInTime
	e.abandonAttempt(pending, placer.TimedOut)
	e.drainEvents()
}

// abandonAttempt ends the wait for the answer to the attempt in flight.
func (e *Engine) abandonAttempt(pending *attempt, result placer.Result) {
	e.emit(Effect{Kind: AbandonAttempt, Node: pending.node.name, UID: pending.task.uid, Attempt: pending.number})
	e.attemptFailed(pending, result, placer.NoReason, nil)
}

// attemptFailed reports to the placer how the attempt in flight ended without acceptance. Unless the node certainly did not take the task
// the attempt's outcome is unknown.
func (e *Engine) attemptFailed(failed *attempt, result placer.Result, reason placer.Reason, report *placer.Report) {
	failed.task.inFlight = nil
	e.setState(failed.task, taskSubmitted)
	e.stopTimer(failed.timeoutTimer)
	switch result {
	case placer.Rejected, placer.Unreachable, placer.Expired:
	default:
		e.trackUnknownOutcome(failed)
	}
	e.post(placer.Event{
		Kind:    placer.Ended,
		TaskID:  failed.request.id,
		Attempt: failed.requestSequence,
		Node:    failed.node.id,
		Result:  result,
		Reason:  reason,
		Elapsed: placer.Seconds(e.now - failed.sentAt),
		Final:   failed.request.closed,
		Report:  report,
	})
	e.discardRequest(failed.request)
}

// podForNode returns a task's Pod as nodes get it, with what a restarted scheduler needs to adopt it.
func (e *Engine) podForNode(task *task) *corev1.Pod {
	stored := e.podOf(task)
	if stored == nil {
		panic("engine: task without a Pod: " + string(task.uid))
	}
	pod := *stored // the Spec is shared: it is not changed
	stored.ObjectMeta.DeepCopyInto(&pod.ObjectMeta)
	pod.ResourceVersion = ""
	pod.Labels[wellknown.Scheduler] = e.cfg.Name
	pod.Labels[wellknown.Class] = e.cfg.Classes[task.class]
	if task.job != nil {
		pod.Annotations[wellknown.JobManifest] = task.job.manifest()
	}
	pod.Status = corev1.PodStatus{}
	return &pod
}
