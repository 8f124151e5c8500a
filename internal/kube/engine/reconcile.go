package engine

import (
	"slices"

	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/retry"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// outcomeReconciler determines the unknown outcomes of attempts, and stops duplicates of tasks. An unknown
// outcome becomes known through a late answer, a report from the watch of the node's Pods, the answer to a
// stop order, or a new incarnation of the node. To fence an attempt means to order its node to stop the
// task and to reject the attempt if the attempt arrives later. The types attemptHistory and node hold the
// attempts with an unknown outcome.
type outcomeReconciler struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	requests  *requestTable
	nodes     *nodeRegistry
	observer  *podObserver
	adopter   *adopter
}

// track starts to determine the outcome of an attempt that a node may have accepted. If the task may run
// twice or is being stopped, track fences the attempt at once. Otherwise it fences the attempt after
// UnknownOutcomeTimeout, unless the outcome has become known by then.
func (r *outcomeReconciler) track(attempt *attempt) {
	task, node := attempt.task, attempt.node
	r.stats.UnknownOutcomes++
	task.attempts.addUnknownOutcome(attempt)
	node.addUnknownOutcome(attempt)
	if r.idempotencyOf(task) == placer.Idempotent || task.isStopping() {
		r.fence(attempt)
		return
	}
	if report := attempt.latestReport; report != nil {
		r.runAfter(0, func() {
			if attempt.hasUnknownOutcome() {
				r.observe(attempt, report)
				r.drainEvents()
			}
		})
	}
	r.scheduleFence(attempt, r.cfg.Retry.UnknownOutcomeTimeout)
}

// untrack removes an attempt whose outcome has become known, and cancels the next stop order for the
// attempt.
func (r *outcomeReconciler) untrack(attempt *attempt) {
	if attempt.task.attempts.removeUnknownOutcome(attempt) {
		attempt.node.removeUnknownOutcome(attempt)
	}
	r.stopTimer(attempt.fenceTimer)
	attempt.fenceTimer = nil
}

// resolve records that an attempt with an unknown outcome has ended. mayHaveRun says whether the attempt may
// have run the task.
func (r *outcomeReconciler) resolve(attempt *attempt, mayHaveRun bool) {
	task := attempt.task
	r.untrack(attempt)
	if mayHaveRun {
		task.attempts.recordPossibleRun()
	}
	r.requests.removeIfUnused(attempt.request)
	if r.awaitsOutcomes(task) && !task.attempts.hasUnknownOutcome() {
		r.stopTimer(task.retryTimer)
		r.lifecycle.retryOrSettle(task, retry.Failed, 0)
		return
	}
	r.lifecycle.removeIfResolved(task)
}

// awaitsOutcomes reports whether the next placement request of a task must wait until the outcomes of all its
// attempts are known.
func (r *outcomeReconciler) awaitsOutcomes(task *task) bool {
	return task.state == taskWaiting && task.retryTimer != nil && r.idempotencyOf(task) != placer.Idempotent
}

// handleLateAnswer handles the answer to an attempt that was abandoned.
func (r *outcomeReconciler) handleLateAnswer(attempt *attempt, answer *AttemptAnswer) {
	switch {
	case answer.Accepted:
		r.bindOrFence(attempt, answer.Incarnation, answer.Revision)
	case answer.Result == placer.Rejected || answer.Result == placer.Unreachable:
		r.resolve(attempt, false)
	}
}

// observe handles a node's report of a Pod. It is called if an attempt for the Pod's task was sent to
// this node and has an unknown outcome.
func (r *outcomeReconciler) observe(attempt *attempt, report *podReport) {
	if report.deleted || wellknown.PodFinished(report.pod) {
		r.resolve(attempt, report.pod.Status.Reason != wellknown.NeverStarted)
		return
	}
	task := attempt.task
	r.bindOrFence(attempt, report.incarnation, report.revision)
	if runningAttempt := task.attempts.runningAttempt; runningAttempt != nil && runningAttempt.node == attempt.node {
		r.observer.observeRunning(task, report.pod, false)
	}
}

// bindOrFence is called when the engine learns that a node has accepted an attempt with an unknown
// outcome. It binds the task to the attempt. It fences the attempt instead if the task has another attempt
// or has ended, or if a stop order for the attempt is in flight.
func (r *outcomeReconciler) bindOrFence(attempt *attempt, incarnation string, revision int64) {
	task := attempt.task
	if !task.state.canBind() || attempt.stopOrderInFlight {
		r.fence(attempt)
		return
	}
	// The node already runs the task, so the placer must not send the task to another node. The engine
	// withdraws the open placement request of the task and reports the task to the placer as adopted.
	r.untrack(attempt)
	r.stats.Adopted++
	r.requests.withdraw(task)
	r.adopter.adoptTask(task, attempt.node, attempt.number, incarnation, revision)
}

// fence orders the node of an attempt to stop the task, and to reject the attempt if the attempt arrives
// later. The order is repeated until the node answers or has a new incarnation.
func (r *outcomeReconciler) fence(attempt *attempt) {
	if !attempt.hasUnknownOutcome() || attempt.stopOrderInFlight {
		return
	}
	attempt.stopOrderInFlight = true
	attempt.stopOrdersSent++
	task := attempt.task
	r.emitStopTask(attempt.node, task.podIdentity, attempt.number)
}

// scheduleFence fences an attempt after the given delay.
func (r *outcomeReconciler) scheduleFence(attempt *attempt, delay placer.Seconds) {
	attempt.fenceTimer = r.runAfter(delay, func() {
		attempt.fenceTimer = nil
		r.fence(attempt)
		r.drainEvents()
	})
}

// fenceAll fences all attempts of a task that have an unknown outcome, without further delay.
func (r *outcomeReconciler) fenceAll(task *task) {
	for _, unresolvedAttempt := range slices.Clone(task.attempts.unknownOutcomes) {
		r.stopTimer(unresolvedAttempt.fenceTimer)
		unresolvedAttempt.fenceTimer = nil
		r.fence(unresolvedAttempt)
	}
}

// Stop orders for the same attempt are repeated with exponential backoff, from minStopOrderDelay to
// maxStopOrderDelay.
const (
	minStopOrderDelay          placer.Seconds = 0.25
	maxStopOrderDelay          placer.Seconds = 5
	maxStopOrderDelayDoublings                = 5
)

// stopOrderDelay returns the delay before the next stop order for an attempt. ordersSent is the number of
// stop orders that the engine has already sent for the attempt.
func stopOrderDelay(ordersSent int) placer.Seconds {
	return min(minStopOrderDelay*placer.Seconds(int(1)<<min(ordersSent, maxStopOrderDelayDoublings)), maxStopOrderDelay)
}

// StopAnswer is a node's answer to StopTask.
type StopAnswer struct {
	UID         types.UID
	Node        string
	Attempt     int
	Incarnation string // incarnation of the node
	Answered    bool   // set if the node answered; otherwise only UID, Node and Attempt are valid
	HadTask     bool   // set if the node had accepted this attempt of the task
	MayHaveRun  bool   // set if the task may have run on the node
}

// handleStopAnswer implements Engine.StopDone.
func (r *outcomeReconciler) handleStopAnswer(answer StopAnswer) {
	if node := r.nodes.getByName(answer.Node); node != nil && answer.Answered {
		if r.nodes.isProcessOf(node, answer.Incarnation) {
			r.nodes.observeIncarnation(node, answer.Incarnation)
		} else {
			r.stats.ForeignNodeAnswers++
			answer.Answered = answer.HadTask // Another process that does not have the task proves nothing.
		}
	}
	task := r.tasks.get(answer.UID)
	if task == nil {
		return
	}
	if unresolvedAttempt := task.attempts.unresolvedAttemptAt(answer.Node, answer.Attempt); unresolvedAttempt != nil {
		r.handleFenceAnswer(unresolvedAttempt, &answer)
		return
	}
	if runningAttempt := task.attempts.runningAttempt; runningAttempt.matches(answer.Node, answer.Attempt) && task.isStopping() {
		r.handleRunningStopAnswer(runningAttempt, &answer)
	}
}

// handleFenceAnswer handles the answer to a stop order for an attempt with an unknown outcome. If the node
// answers that it does not have the task, the answer holds only for the present incarnation of the node.
// If an earlier incarnation received the attempt, it may have run the task.
func (r *outcomeReconciler) handleFenceAnswer(attempt *attempt, answer *StopAnswer) {
	attempt.stopOrderInFlight = false
	if !answer.Answered {
		r.stopTimer(attempt.fenceTimer)
		r.scheduleFence(attempt, stopOrderDelay(attempt.stopOrdersSent))
		return
	}
	sameIncarnation := attempt.sentIncarnation != "" && attempt.sentIncarnation == answer.Incarnation
	mayHaveRun := !sameIncarnation
	if answer.HadTask {
		mayHaveRun = answer.MayHaveRun
	}
	r.resolve(attempt, mayHaveRun)
}

// handleRunningStopAnswer handles the answer to a stop order for a running attempt.
func (r *outcomeReconciler) handleRunningStopAnswer(attempt *attempt, answer *StopAnswer) {
	task := attempt.task
	if answer.Answered {
		r.lifecycle.recordEnd(task, taskEnd{result: placer.Cancelled, podReason: string(task.stopReason)})
		return
	}
	attempt.stopOrdersSent++
	attempt.fenceTimer = r.runAfter(stopOrderDelay(attempt.stopOrdersSent), func() {
		attempt.fenceTimer = nil
		r.lifecycle.stopRunning(task)
	})
}
