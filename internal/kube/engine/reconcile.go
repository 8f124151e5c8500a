package engine

import (
	"slices"

	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/retry"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// outcomeReconciler determines the outcomes of attempts that may have been accepted by their nodes, and stops copies of tasks. An outcome
// becomes known by a late answer, by a report of the node's watch, by the answer to a stop order, or by a new incarnation of the node. The
// attempts with an unknown outcome are listed in attemptHistory and in node.
type outcomeReconciler struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	requests  *requestTable
	nodes     *nodeRegistry
	observer  *podObserver
	adopter   *adopter
}

// track records an attempt that may have been accepted. If the task may run twice, or is to stop, the attempt is fenced at once. Otherwise the
// engine first waits until it is found running, or until UnknownOutcomeTimeout has passed.
func (r *outcomeReconciler) track(unresolved *attempt) {
	task, node := unresolved.task, unresolved.node
	r.stats.UnknownOutcomes++
	task.attempts.addUnknown(unresolved)
	node.addUnknownOutcome(unresolved)
	if r.idempotencyOf(task) == placer.Idempotent || task.isStopping() {
		r.fence(unresolved)
		return
	}
	if observed := unresolved.observed; observed != nil {
		r.runAfter(0, func() {
			if unresolved.outcomeUnknown() {
				r.observe(unresolved, observed)
				r.drainEvents()
			}
		})
	}
	r.scheduleFence(unresolved, r.cfg.Retry.UnknownOutcomeTimeout)
}

// untrack removes an attempt whose outcome is known, and cancels its next stop order.
func (r *outcomeReconciler) untrack(resolved *attempt) {
	if resolved.task.attempts.removeUnknown(resolved) {
		resolved.node.removeUnknownOutcome(resolved)
	}
	r.stopTimer(resolved.fenceTimer)
	resolved.fenceTimer = nil
}

// resolve records that an attempt with unknown outcome has ended: it never ran, or may have run.
func (r *outcomeReconciler) resolve(resolved *attempt, mayHaveRun bool) {
	task := resolved.task
	r.untrack(resolved)
	if mayHaveRun {
		task.attempts.recordRun()
	}
	r.requests.discard(resolved.request)
	if r.awaitsOutcomes(task) && !task.attempts.hasUnknown() {
		r.stopTimer(task.retryTimer)
		r.lifecycle.retryOrSettle(task, retry.Failed, 0)
		return
	}
	r.lifecycle.discard(task)
}

// awaitsOutcomes reports whether a task is not requested again before all outcomes are known.
func (r *outcomeReconciler) awaitsOutcomes(task *task) bool {
	return task.state == taskWaiting && task.retryTimer != nil && r.idempotencyOf(task) != placer.Idempotent
}

// answeredLate handles the answer to an attempt that was abandoned.
func (r *outcomeReconciler) answeredLate(unresolved *attempt, answer *AttemptAnswer) {
	switch {
	case answer.Accepted:
		r.foundRunning(unresolved, answer.Incarnation, answer.Revision)
	case answer.Result == placer.Rejected || answer.Result == placer.Unreachable:
		r.resolve(unresolved, false)
	}
}

// observe applies a node's report of an attempt with unknown outcome.
func (r *outcomeReconciler) observe(unresolved *attempt, observed *observedPod) {
	if observed.deleted || wellknown.PodFinished(observed.pod) {
		r.resolve(unresolved, observed.pod.Status.Reason != wellknown.NeverStarted)
		return
	}
	task := unresolved.task
	r.foundRunning(unresolved, observed.incarnation, observed.revision)
	if running := task.attempts.running; running != nil && running.node == unresolved.node {
		r.observer.observeRunning(task, observed.pod, false)
	}
}

// foundRunning binds the task to an attempt that turned out to be accepted. If the task has another attempt or has ended, the copy is stopped.
func (r *outcomeReconciler) foundRunning(found *attempt, incarnation string, revision int64) {
	task := found.task
	if !task.state.canBind() || found.stopInFlight {
		r.fence(found)
		return
	}
	// The placer must not send the task to another node: the request is withdrawn, and the task is reported as adopted.
	r.untrack(found)
	r.stats.Adopted++
	r.requests.withdraw(task)
	r.adopter.adoptTask(task, found.node, found.number, incarnation, revision)
}

// fence orders the node of an attempt with unknown outcome to stop the task, or to reject the attempt if it still arrives. The order is repeated
// until the node answers or has a new incarnation.
func (r *outcomeReconciler) fence(unresolved *attempt) {
	if !unresolved.outcomeUnknown() || unresolved.stopInFlight {
		return
	}
	unresolved.stopInFlight = true
	unresolved.stopsSent++
	task := unresolved.task
	r.stopCopy(unresolved.node, task.podIdentity, unresolved.number)
}

// scheduleFence fences an attempt after a delay.
func (r *outcomeReconciler) scheduleFence(unresolved *attempt, delay placer.Seconds) {
	unresolved.fenceTimer = r.runAfter(delay, func() {
		unresolved.fenceTimer = nil
		r.fence(unresolved)
		r.drainEvents()
	})
}

// fenceAll fences all attempts of a task at once.
func (r *outcomeReconciler) fenceAll(task *task) {
	for _, unresolved := range slices.Clone(task.attempts.unknown) {
		r.stopTimer(unresolved.fenceTimer)
		unresolved.fenceTimer = nil
		r.fence(unresolved)
	}
}

// Delays between stop orders for one attempt: each is twice the one before, from the first to the last delay.
const (
	firstStopDelay   placer.Seconds = 0.25
	lastStopDelay    placer.Seconds = 5
	maxStopDoublings                = 5
)

// stopBackoff returns the delay before the next stop order after the given number of them.
func stopBackoff(sent int) placer.Seconds {
	return min(firstStopDelay*placer.Seconds(int(1)<<min(sent, maxStopDoublings)), lastStopDelay)
}

// StopAnswer is a node's answer to StopTask.
type StopAnswer struct {
	UID         types.UID
	Node        string
	Attempt     int
	Incarnation string // of the node
	Answered    bool   // the node answered; if not, only UID, Node and Attempt are set
	HadTask     bool   // the node had the task, by this attempt
	MayHaveRun  bool   // the task may have run there
}

// stopDone implements Engine.StopDone.
func (r *outcomeReconciler) stopDone(answer StopAnswer) {
	if node := r.nodes.getByName(answer.Node); node != nil && answer.Answered {
		r.nodes.observeIncarnation(node, answer.Incarnation)
	}
	task := r.tasks.get(answer.UID)
	if task == nil {
		return
	}
	if unresolved := task.attempts.unknownAt(answer.Node, answer.Attempt); unresolved != nil {
		r.fenceAnswered(unresolved, &answer)
		return
	}
	if running := task.attempts.running; running.is(answer.Node, answer.Attempt) && task.isStopping() {
		r.stopAnswered(running, &answer)
	}
}

// fenceAnswered handles the answer to a stop order for an attempt with unknown outcome. A node that does not have the task answers for its
// present incarnation only: the task may have run in an earlier one.
func (r *outcomeReconciler) fenceAnswered(fenced *attempt, answer *StopAnswer) {
	fenced.stopInFlight = false
	if !answer.Answered {
		r.stopTimer(fenced.fenceTimer)
		r.scheduleFence(fenced, stopBackoff(fenced.stopsSent))
		return
	}
	sameIncarnation := fenced.sentIncarnation != "" && fenced.sentIncarnation == answer.Incarnation
	mayHaveRun := !sameIncarnation
	if answer.HadTask {
		mayHaveRun = answer.MayHaveRun
	}
	r.resolve(fenced, mayHaveRun)
}

// stopAnswered handles the answer to a stop order for a running attempt.
func (r *outcomeReconciler) stopAnswered(stopped *attempt, answer *StopAnswer) {
	task := stopped.task
	if answer.Answered {
		r.lifecycle.ended(task, taskEnd{result: placer.Cancelled, status: string(task.stopReason)})
		return
	}
	stopped.stopsSent++
	stopped.fenceTimer = r.runAfter(stopBackoff(stopped.stopsSent), func() {
		stopped.fenceTimer = nil
		r.lifecycle.stopRunning(task)
	})
}
