package engine

import (
	"fmt"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// attempt is one request to a node to run a task, or the adoption of a task that already runs on the node.
type attempt struct {
	request         *placementRequest
	task            *task
	node            *node
	numberInRequest int // number of the attempt within its placement request; identifies the attempt to the placer
	number          int // number of the attempt within its task; identifies the attempt to nodes

	sentAt              placer.Seconds
	timeoutTimer        *timer
	sentIncarnation     string     // incarnation of the node that the engine knew when it sent the attempt
	latestReport        *podReport // latest report of the Pod that arrived during the attempt; nil if there is none
	acceptedIncarnation string     // incarnation of the node that accepted the attempt
	revision            int64      // revision of the Pod at the node when the node accepted the attempt

	fenceTimer        *timer // fires when the next stop order for the attempt is due
	stopOrderInFlight bool   // set while a stop order that fences the attempt has not been answered
	stopOrdersSent    int    // number of stop orders sent for the attempt; determines the delay before the next one
}

// podReport is the state of a Pod that the watch of a node's Pods has reported.
type podReport struct {
	pod         *corev1.Pod
	deleted     bool
	incarnation string // incarnation of the node that the engine knew when the report arrived
	revision    int64
}

// isNewerThan reports whether the node sent the Pod report after the given answer to an attempt. It
// returns false if the report is nil. It also returns false if the report and the answer belong to
// different incarnations of the node, because their revisions are then not comparable.
func (r *podReport) isNewerThan(answer *AttemptAnswer) bool {
	return r != nil && r.incarnation == answer.Incarnation && r.revision > answer.Revision
}

// event returns a placer event of the given kind that identifies the attempt.
func (a *attempt) event(kind placer.EventKind) placer.Event {
	return placer.Event{Kind: kind, TaskID: a.request.id, Attempt: a.numberInRequest, Node: a.node.id}
}

// endedEvent returns the event that tells the placer that the attempt has ended.
func (a *attempt) endedEvent(now placer.Seconds, result placer.Result, reason placer.Reason) placer.Event {
	endedEvent := a.event(placer.Ended)
	endedEvent.Result = result
	endedEvent.Reason = reason
	endedEvent.Elapsed = now - a.sentAt
	return endedEvent
}

// usageEvent returns an event that tells the placer a usage value of the given kind, such as the memory
// that the task of the attempt uses.
func (a *attempt) usageEvent(kind placer.UsageKind, value float64) placer.Event {
	usageEvent := a.event(placer.UsageReported)
	usageEvent.Usage = kind
	usageEvent.Value = value
	return usageEvent
}

// attemptTracker sends attempts to nodes and handles the answers. It stores no attempts: the types
// attemptHistory and node hold them.
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

// start sends an attempt for a placement request to the node that the placer has chosen.
func (t *attemptTracker) start(action *placer.Action) {
	request, node := t.requests.get(action.Task), t.nodes.getByID(action.Node)
	if request == nil || node == nil || request.closed {
		panic(fmt.Sprintf("engine: the placer started an attempt for placement request %d on node %d, but the request is not open or the node is unknown", action.Task, action.Node))
	}
	task := request.task
	if task.attempts.inFlightAttempt != nil || task.attempts.runningAttempt != nil {
		panic(fmt.Sprintf("engine: the placer started a second attempt for task %s while another attempt is in flight or running", task.uid))
	}
	newAttempt := &attempt{
		request:         request,
		task:            task,
		node:            node,
		numberInRequest: action.Attempt,
		sentAt:          t.now,
		sentIncarnation: node.incarnation,
	}
	request.addAttempt(newAttempt)
	task.attempts.begin(newAttempt)
	t.tasks.setState(task, taskAttempting)
	t.stats.Attempts++
	newAttempt.timeoutTimer = t.runAt(action.Until, func() { t.handleTimeout(newAttempt) })
	t.emit(Effect{
		Kind:                SendAttempt,
		Node:                node.name,
		Address:             node.address,
		Pod:                 t.podForNode(task),
		UID:                 task.uid,
		Namespace:           task.namespace,
		Name:                task.name,
		Attempt:             newAttempt.number,
		Deadline:            action.Until,
		AvoidUnknownOutcome: t.idempotencyOf(task) != placer.Idempotent,
	})
}

// maySend implements Engine.MaySendAttempt.
func (t *attemptTracker) maySend(uid types.UID, attemptNumber int) bool {
	task := t.tasks.get(uid)
	if task == nil {
		return false
	}
	inFlightAttempt := task.attempts.inFlightAttempt
	return inFlightAttempt != nil && inFlightAttempt.number == attemptNumber && inFlightAttempt.node.state == placer.Ready
}

// AttemptAnswer is a node's answer to SendAttempt, or the reason why the node did not answer.
type AttemptAnswer struct {
	UID         types.UID
	Attempt     int
	Node        string
	Accepted    bool
	Result      placer.Result  // how the attempt failed; not used if Accepted is set
	Reason      placer.Reason  // why the node rejected the attempt, if the node stated a reason
	Message     string         // message text from the node
	Report      *placer.Report // load report from the node; nil if the answer contains none
	Incarnation string         // incarnation of the node; "" if the answer does not state it
	Revision    int64          // revision of the Pod at the node
	Pod         *corev1.Pod    // the Pod as reported by the node that accepted it; may be nil
}

// failure returns a message that says why the attempt was not accepted.
func (a *AttemptAnswer) failure() string {
	if a.Message != "" {
		return a.Node + ": " + a.Message
	}
	switch a.Result {
	case placer.Unreachable:
		return a.Node + ": no connection"
	case placer.Expired:
		return a.Node + ": not sent, the node is not ready"
	case placer.TimedOut:
		return a.Node + timeoutMessageSuffix
	case placer.Lost:
		return a.Node + ": the answer broke off"
	case placer.Errored:
		return a.Node + ": answered with an error"
	}
	return a.Node + ": rejected"
}

// timeoutMessageSuffix is the end of the failure message of an attempt that timed out. The time-out occurs
// either in the engine (handleTimeout) or in the caller that sent the attempt (AttemptAnswer.failure).
const timeoutMessageSuffix = ": no answer in time"

// handleAnswer implements Engine.AttemptDone.
func (t *attemptTracker) handleAnswer(answer AttemptAnswer) {
	task := t.tasks.get(answer.UID)
	if task == nil {
		t.stopRemovedTask(&answer)
		return
	}
	if inFlightAttempt := task.attempts.inFlightAttempt; inFlightAttempt.matches(answer.Node, answer.Attempt) {
		t.handleInFlightAnswer(inFlightAttempt, &answer)
		return
	}
	if unresolvedAttempt := task.attempts.unresolvedAttemptAt(answer.Node, answer.Attempt); unresolvedAttempt != nil {
		t.stats.LateAnswers++
		t.outcomes.handleLateAnswer(unresolvedAttempt, &answer)
		return
	}
	if !answer.Accepted {
		return
	}
	node, runningAttempt := t.nodes.getByName(answer.Node), task.attempts.runningAttempt
	if node != nil && (runningAttempt == nil || runningAttempt.node != node) {
		t.emitStopTask(node, task.podIdentity, answer.Attempt)
	}
}

// matches reports whether the attempt has the given node and number. A nil attempt matches nothing.
func (a *attempt) matches(nodeName string, number int) bool {
	return a != nil && a.number == number && a.node.name == nodeName
}

// stopRemovedTask handles the answer to an attempt if the engine has already removed the task of the
// attempt. If the node has accepted the attempt, the node must stop the Pod.
func (t *attemptTracker) stopRemovedTask(answer *AttemptAnswer) {
	node := t.nodes.getByName(answer.Node)
	if !answer.Accepted || node == nil {
		return
	}
	t.stats.LateAnswers++
	t.emitStopTask(node, podIdentity{uid: answer.UID}, answer.Attempt)
}

// handleInFlightAnswer handles the answer to the attempt in flight.
func (t *attemptTracker) handleInFlightAnswer(attempt *attempt, answer *AttemptAnswer) {
	t.nodes.observeIncarnation(attempt.node, answer.Incarnation)
	if answer.Accepted {
		t.handleAcceptance(attempt, answer)
		return
	}
	attempt.task.attempts.recordFailure(answer.failure())
	if answer.Result == placer.Rejected {
		t.stats.Rejections++
	}
	t.handleFailure(attempt, answer.Result, answer.Reason, answer.Report)
}

// handleAcceptance handles the acceptance of the attempt in flight. The attempt becomes the running attempt
// of its task.
func (t *attemptTracker) handleAcceptance(attempt *attempt, answer *AttemptAnswer) {
	task := attempt.task
	t.stats.Accepted++
	task.attempts.clearInFlight()
	t.stopTimer(attempt.timeoutTimer)
	attempt.acceptedIncarnation = answer.Incarnation
	boundEvent := attempt.event(placer.Bound)
	boundEvent.Elapsed = t.now - attempt.sentAt
	t.post(boundEvent)
	t.requests.complete(attempt.request, true)
	t.lifecycle.bind(task, attempt)
	// The watch of the node's Pods may have reported a newer state of the Pod before the answer arrived.
	if report := attempt.latestReport; report.isNewerThan(answer) {
		t.observer.observeRunning(task, report.pod, report.deleted)
	} else if answer.Pod != nil {
		t.observer.observeRunning(task, answer.Pod, false)
	}
	attempt.latestReport = nil
	attempt.revision = answer.Revision
}

// handleTimeout abandons an attempt that is still in flight at its deadline.
func (t *attemptTracker) handleTimeout(attempt *attempt) {
	if attempt.task.attempts.inFlightAttempt != attempt {
		return
	}
	attempt.task.attempts.recordFailure(attempt.node.name + timeoutMessageSuffix)
	t.abandon(attempt, placer.TimedOut)
	t.drainEvents()
}

// abandon stops waiting for the answer to the attempt in flight.
func (t *attemptTracker) abandon(attempt *attempt, result placer.Result) {
	t.emit(Effect{Kind: AbandonAttempt, Node: attempt.node.name, UID: attempt.task.uid, Attempt: attempt.number})
	t.handleFailure(attempt, result, placer.NoReason, nil)
}

// handleFailure tells the placer that the attempt in flight ended without acceptance. The outcome of the
// attempt becomes unknown unless it is certain that the node did not accept the attempt.
func (t *attemptTracker) handleFailure(attempt *attempt, result placer.Result, reason placer.Reason, report *placer.Report) {
	attempt.task.attempts.clearInFlight()
	t.tasks.setState(attempt.task, taskSubmitted)
	t.stopTimer(attempt.timeoutTimer)
	switch result {
	case placer.Rejected, placer.Unreachable, placer.Expired:
	default:
		t.outcomes.track(attempt)
	}
	endedEvent := attempt.endedEvent(t.now, result, reason)
	endedEvent.Final = attempt.request.closed
	endedEvent.Report = report
	t.post(endedEvent)
	t.requests.removeIfUnused(attempt.request)
}

// podForNode returns the Pod of a task in the form in which the engine sends it to nodes. The labels and
// annotations of the Pod hold everything that a restarted scheduler needs in order to adopt the task.
func (t *attemptTracker) podForNode(task *task) *corev1.Pod {
	storedPod := t.publisher.podOfTask(task)
	if storedPod == nil {
		panic("engine: cannot send an attempt: no Pod is stored for task " + string(task.uid))
	}
	pod := *storedPod // the Spec is shared with the stored Pod and must not be modified
	storedPod.ObjectMeta.DeepCopyInto(&pod.ObjectMeta)
	pod.ResourceVersion = ""
	pod.Labels[wellknown.Scheduler] = t.cfg.Name
	pod.Labels[wellknown.Class] = t.cfg.Classes[task.class]
	if task.job != nil {
		pod.Annotations[wellknown.JobManifest] = task.job.manifest()
	}
	pod.Status = corev1.PodStatus{}
	return &pod
}

// hasUnknownOutcome reports whether the outcome of the attempt is unknown. The node may then have accepted
// the attempt, but the engine has received no answer that says so.
func (a *attempt) hasUnknownOutcome() bool { return a.task.attempts.isOutcomeUnknown(a) }

// keepReport stores a report about the attempt's Pod that arrives while the attempt is in flight.
func (a *attempt) keepReport(report *podReport) { a.latestReport = report }
