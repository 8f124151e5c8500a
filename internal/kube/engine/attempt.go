package engine

import (
	"fmt"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// attempt is one request to a node to run a task, or the adoption of a task that was found running there.
type attempt struct {
	request         *placementRequest
	task            *task
	node            *node
	requestSequence int // number within the request, as the placer counts
	number          int // number within the task, as nodes know it

	sentAt              placer.Seconds
	timeoutTimer        *timer
	sentIncarnation     string       // of the node, as known when the attempt was sent
	observed            *observedPod // what the node's watch reported while the attempt was in flight; nil if nothing
	acceptedIncarnation string       // of the node, when it accepted
	revision            int64        // of the Pod at the node, when it accepted

	fenceTimer   *timer // the next stop order
	stopInFlight bool   // a stop order for an attempt with unknown outcome is not answered yet
	stopsSent    int    // stop orders, for the backoff between them
}

// observedPod is a Pod as a node's watch reported it.
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

// event returns an event of the attempt for the placer, with its kind and the identity of the attempt.
func (a *attempt) event(kind placer.EventKind) placer.Event {
	return placer.Event{Kind: kind, TaskID: a.request.id, Attempt: a.requestSequence, Node: a.node.id}
}

// endedEvent returns the event that the attempt has ended.
func (a *attempt) endedEvent(now placer.Seconds, result placer.Result, reason placer.Reason) placer.Event {
	ended := a.event(placer.Ended)
	ended.Result = result
	ended.Reason = reason
	ended.Elapsed = now - a.sentAt
	return ended
}

// usageEvent returns the event that a node has reported a value of the attempt's resource usage.
func (a *attempt) usageEvent(kind placer.UsageKind, value float64) placer.Event {
	usage := a.event(placer.UsageReported)
	usage.Usage = kind
	usage.Value = value
	return usage
}

// attemptTracker sends attempts to nodes and handles their answers. The attempts themselves are in attemptHistory and node.
type attemptTracker struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	requests  *requestTable
	outcomes  *outcomeReconciler
	nodes     *nodeRegistry
	observer  *podObserver
	publisher *publisher
}

// start carries out the placer's decision to send a request's task to a node.
func (t *attemptTracker) start(action *placer.Action) {
	request, node := t.requests.get(action.Task), t.nodes.getByID(action.Node)
	if request == nil || node == nil || request.closed {
		panic(fmt.Sprintf("engine: attempt of request %d at node %d, which are not both open", action.Task, action.Node))
	}
	task := request.task
	if task.attempts.inFlight != nil || task.attempts.running != nil {
		panic(fmt.Sprintf("engine: task %s has an attempt in flight or running already", task.uid))
	}
	started := &attempt{
		request:         request,
		task:            task,
		node:            node,
		requestSequence: action.Attempt,
		sentAt:          t.now,
		sentIncarnation: node.incarnation,
	}
	request.addAttempt(started)
	task.attempts.begin(started)
	t.tasks.setState(task, taskAttempting)
	t.stats.Attempts++
	started.timeoutTimer = t.runAt(action.Until, func() { t.timedOut(started) })
	t.emit(Effect{
		Kind:                SendAttempt,
		Node:                node.name,
		Address:             node.address,
		Pod:                 t.podForNode(task),
		UID:                 task.uid,
		Namespace:           task.namespace,
		Name:                task.name,
		Attempt:             started.number,
		Deadline:            action.Until,
		AvoidUnknownOutcome: t.idempotencyOf(task) != placer.Idempotent,
	})
}

// AttemptAnswer is a node's answer to SendAttempt, or the reason why there is none.
type AttemptAnswer struct {
	UID         types.UID
	Attempt     int
	Node        string
	Accepted    bool
	Result      placer.Result // unless accepted
	Reason      placer.Reason // if the node stated one
	Message     string        // the node's own text
	Report      *placer.Report
	Incarnation string      // of the node; "" if it did not state one
	Revision    int64       // of the Pod at the node
	Pod         *corev1.Pod // as the node reports it, if accepted; may be nil
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
	return a.Node + ": rejected"
}

// noAnswerInTime ends the message of an attempt that the engine gave up (timedOut), or whose sender did (failure).
const noAnswerInTime = ": no answer in time"

// done implements Engine.AttemptDone.
func (t *attemptTracker) done(answer AttemptAnswer) {
	task := t.tasks.get(answer.UID)
	if task == nil {
		t.stopLateAcceptance(&answer)
		return
	}
	if pending := task.attempts.inFlight; pending.is(answer.Node, answer.Attempt) {
		t.answered(pending, &answer)
		return
	}
	if unresolved := task.attempts.unknownAt(answer.Node, answer.Attempt); unresolved != nil {
		t.stats.LateAnswers++
		t.outcomes.answeredLate(unresolved, &answer)
		return
	}
	if !answer.Accepted {
		return
	}
	node, running := t.nodes.getByName(answer.Node), task.attempts.running
	if node != nil && (running == nil || running.node != node) {
		t.stopCopy(node, task.podIdentity, answer.Attempt)
	}
}

// is reports whether an attempt is the one that a node's answer names. A nil attempt is none.
func (a *attempt) is(node string, number int) bool {
	return a != nil && a.number == number && a.node.name == node
}

// stopLateAcceptance stops the Pod of a task that was removed before the node accepted it.
func (t *attemptTracker) stopLateAcceptance(answer *AttemptAnswer) {
	node := t.nodes.getByName(answer.Node)
	if !answer.Accepted || node == nil {
		return
	}
	t.stats.LateAnswers++
	t.stopCopy(node, podIdentity{uid: answer.UID}, answer.Attempt)
}

// answered handles the answer to the attempt in flight.
func (t *attemptTracker) answered(pending *attempt, answer *AttemptAnswer) {
	t.nodes.observeIncarnation(pending.node, answer.Incarnation)
	if answer.Accepted {
		t.accepted(pending, answer)
		return
	}
	pending.task.attempts.fail(answer.failure())
	if answer.Result == placer.Rejected {
		t.stats.Rejections++
	}
	t.failed(pending, answer.Result, answer.Reason, answer.Report)
}

// accepted binds the task of the attempt in flight.
func (t *attemptTracker) accepted(accepted *attempt, answer *AttemptAnswer) {
	task := accepted.task
	t.stats.Accepted++
	task.attempts.endWait()
	t.stopTimer(accepted.timeoutTimer)
	accepted.acceptedIncarnation = answer.Incarnation
	bound := accepted.event(placer.Bound)
	bound.Elapsed = t.now - accepted.sentAt
	t.post(bound)
	t.requests.complete(accepted.request, true)
	t.lifecycle.bind(task, accepted)
	// The node's watch may have reported a newer state before the answer arrived.
	if observed := accepted.observed; observed.newerThan(answer) {
		t.observer.observeRunning(task, observed.pod, observed.deleted)
	} else if answer.Pod != nil {
		t.observer.observeRunning(task, answer.Pod, false)
	}
	accepted.observed = nil
	accepted.revision = answer.Revision
}

// timedOut gives up an attempt if it is still in flight.
func (t *attemptTracker) timedOut(pending *attempt) {
	if pending.task.attempts.inFlight != pending {
		return
	}
	pending.task.attempts.fail(pending.node.name + noAnswerInTime)
	t.abandon(pending, placer.TimedOut)
	t.drainEvents()
}

// abandon ends the wait for the answer to the attempt in flight.
func (t *attemptTracker) abandon(pending *attempt, result placer.Result) {
	t.emit(Effect{Kind: AbandonAttempt, Node: pending.node.name, UID: pending.task.uid, Attempt: pending.number})
	t.failed(pending, result, placer.NoReason, nil)
}

// failed reports to the placer how the attempt in flight ended without acceptance. Unless the node certainly did not accept the task, the
// attempt's outcome is unknown.
func (t *attemptTracker) failed(failed *attempt, result placer.Result, reason placer.Reason, report *placer.Report) {
	failed.task.attempts.endWait()
	t.tasks.setState(failed.task, taskSubmitted)
	t.stopTimer(failed.timeoutTimer)
	switch result {
	case placer.Rejected, placer.Unreachable, placer.Expired:
	default:
		t.outcomes.track(failed)
	}
	ended := failed.endedEvent(t.now, result, reason)
	ended.Final = failed.request.closed
	ended.Report = report
	t.post(ended)
	t.requests.discard(failed.request)
}

// podForNode returns a task's Pod as it is sent to nodes, with what a restarted scheduler needs to adopt it.
func (t *attemptTracker) podForNode(task *task) *corev1.Pod {
	stored := t.publisher.podOfTask(task)
	if stored == nil {
		panic("engine: task without a Pod: " + string(task.uid))
	}
	pod := *stored // the Spec is shared: it is not changed
	stored.ObjectMeta.DeepCopyInto(&pod.ObjectMeta)
	pod.ResourceVersion = ""
	pod.Labels[wellknown.Scheduler] = t.cfg.Name
	pod.Labels[wellknown.Class] = t.cfg.Classes[task.class]
	if task.job != nil {
		pod.Annotations[wellknown.JobManifest] = task.job.manifest()
	}
	pod.Status = corev1.PodStatus{}
	return &pod
}

// outcomeUnknown reports whether the attempt may have been accepted, and it is not known yet whether it was.
func (a *attempt) outcomeUnknown() bool { return a.task.attempts.isUnknown(a) }

// observe records what the node's watch reports while the attempt is in flight.
func (a *attempt) observe(observed *observedPod) { a.observed = observed }
