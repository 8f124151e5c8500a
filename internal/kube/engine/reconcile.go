package engine

import (
	"slices"

	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/retry"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// An attempt whose outcome is unknown may have been accepted by its node. Its outcome becomes known by a late answer, by what the node's
// watch shows, by the answer to a stop order, or by a new incarnation of the node.

func (t *task) unknownOutcome(node string, number int) *attempt {
	for _, unresolved := range t.unknownOutcomes {
		if unresolved.is(node, number) {
			return unresolved
		}
	}
	return nil
}

func (a *attempt) outcomeUnknown() bool { return slices.Contains(a.task.unknownOutcomes, a) }

// trackUnknownOutcome keeps an attempt that may have been accepted. If the task may run twice, or is to stop, the attempt is stopped at
// once. Otherwise the engine first waits for it to be found running.
func (e *Engine) trackUnknownOutcome(unresolved *attempt) {
	task, node := unresolved.task, unresolved.node
	e.Stats.UnknownOutcomes++
	task.everMayHaveRun = true
	task.unknownOutcomes = append(task.unknownOutcomes, unresolved)
	if node.unknownOutcomes == nil {
		node.unknownOutcomes = map[*attempt]struct{}{}
	}
	node.unknownOutcomes[unresolved] = struct{}{}
	if e.idempotencyOf(task) == placer.Idempotent || task.stopReason != "" {
		e.fenceAttempt(unresolved)
		return
	}
	if observed := unresolved.observed; observed != nil {
		e.runAfter(0, func() {
			if unresolved.outcomeUnknown() {
				e.observeUnknownOutcome(unresolved, observed)
				e.drainEvents()
			}
		})
	}
	e.scheduleFence(unresolved, e.cfg.Retry.UnknownOutcomeTimeout)
}

func (e *Engine) untrackUnknownOutcome(resolved *attempt) {
	task := resolved.task
	if i := slices.Index(task.unknownOutcomes, resolved); i >= 0 {
		task.unknownOutcomes = slices.Delete(task.unknownOutcomes, i, i+1)
		delete(resolved.node.unknownOutcomes, resolved)
	}
	e.stopTimer(resolved.fenceTimer)
	resolved.fenceTimer = nil
}

// resolveOutcome records that an attempt with unknown outcome is over: it never ran, or may have run.
func (e *Engine) resolveOutcome(resolved *attempt, mayHaveRun bool) {
	task := resolved.task
	e.untrackUnknownOutcome(resolved)
	task.mayHaveRun = task.mayHaveRun || mayHaveRun
	e.discardRequest(resolved.request)
	if e.awaitsOutcomes(task) && !task.hasUnknownOutcome() {
		e.stopTimer(task.retryTimer)
		e.retryOrSettle(task, retry.Failed, 0)
		return
	}
	e.discardTask(task)
}

// awaitsOutcomes reports whether a task is not requested again before all outcomes are known.
func (e *Engine) awaitsOutcomes(task *task) bool {
	return task.state == taskWaiting && task.retryTimer != nil && e.idempotencyOf(task) != placer.Idempotent
}

// attemptAnsweredLate takes the answer to an attempt that was given up.
func (e *Engine) attemptAnsweredLate(unresolved *attempt, answer *AttemptAnswer) {
	switch {
	case answer.Accepted:
		e.attemptFoundRunning(unresolved, answer.Incarnation, answer.Revision)
	case answer.Result == placer.Rejected || answer.Result == placer.Unreachable:
		e.resolveOutcome(unresolved, false)
	}
}

// observeUnknownOutcome takes what a node shows of an attempt with unknown outcome.
func (e *Engine) observeUnknownOutcome(unresolved *attempt, observed *observedPod) {
	if observed.deleted || wellknown.Finished(observed.pod) {
		e.resolveOutcome(unresolved, observed.pod.Status.Reason != wellknown.NeverStarted)
		return
	}
	task := unresolved.task
	e.attemptFoundRunning(unresolved, observed.incarnation, observed.revision)
	if running := task.runningAttempt; running != nil && running.node == unresolved.node {
		e.observeRunning(task, observed.pod, false)
	}
}

// attemptFoundRunning binds the task by an attempt that turned out to be accepted. If the task has another attempt or has ended, the copy
// is stopped.
func (e *Engine) attemptFoundRunning(found *attempt, incarnation string, revision int64) {
	task := found.task
	if !task.state.canBind() || found.stopInFlight {
		e.fenceAttempt(found)
		return
	}
	// The placer must not send the task to another node: the request is withdrawn, and the task handed over as adopted.
	e.untrackUnknownOutcome(found)
	e.Stats.Adopted++
	e.withdrawRequest(task)
	e.adoptTask(task, found.node, found.number, incarnation, revision)
}

// fenceAttempt orders the node of an attempt with unknown outcome to stop the task if it has it, and never to accept the attempt if not.
// The order is repeated until the node answers or has a new incarnation.
func (e *Engine) fenceAttempt(unresolved *attempt) {
	if !unresolved.outcomeUnknown() || unresolved.stopInFlight {
		return
	}
	unresolved.stopInFlight = true
	unresolved.stopsSent++
	task := unresolved.task
	e.stopCopy(unresolved.node, task.uid, task.namespace, task.name, unresolved.number)
}

func (e *Engine) scheduleFence(unresolved *attempt, delay float64) {
	unresolved.fenceTimer = e.runAfter(delay, func() {
		unresolved.fenceTimer = nil
		e.fenceAttempt(unresolved)
		e.drainEvents()
	})
}

// fenceUnknownOutcomes fences all attempts of a task at once.
func (e *Engine) fenceUnknownOutcomes(task *task) {
	for _, unresolved := range slices.Clone(task.unknownOutcomes) {
		e.stopTimer(unresolved.fenceTimer)
		unresolved.fenceTimer = nil
		e.fenceAttempt(unresolved)
	}
}

// Seconds between stop orders for one attempt: they double from the first to the last delay.
const (
	firstStopDelay   = 0.25
	lastStopDelay    = 5
	maxStopDoublings = 5
)

func stopBackoff(sent int) float64 {
	return min(firstStopDelay*float64(int(1)<<min(sent, maxStopDoublings)), lastStopDelay)
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
	if unresolved := task.unknownOutcome(answer.Node, answer.Attempt); unresolved != nil {
		e.fenceAnswered(unresolved, &answer)
		return
	}
	if running := task.runningAttempt; running.is(answer.Node, answer.Attempt) && task.stopReason != "" {
		e.stopAnswered(running, &answer)
	}
}

// fenceAnswered takes the answer to a stop order for an attempt with unknown outcome. A node that does not have the task says so of its
// present incarnation only.
func (e *Engine) fenceAnswered(fenced *attempt, answer *StopAnswer) {
	fenced.stopInFlight = false
	if !answer.Answered {
		e.stopTimer(fenced.fenceTimer)
		e.scheduleFence(fenced, stopBackoff(fenced.stopsSent))
		return
	}
	sameIncarnation := fenced.sentIncarnation != "" && fenced.sentIncarnation == answer.Incarnation
	mayHaveRun := !sameIncarnation
	if answer.HadTask {
		mayHaveRun = answer.MayHaveRun
	}
	e.resolveOutcome(fenced, mayHaveRun)
}

// stopAnswered takes the answer to a stop order for a running attempt.
func (e *Engine) stopAnswered(stopped *attempt, answer *StopAnswer) {
	task := stopped.task
	if answer.Answered {
		e.runningTaskEnded(task, taskEnd{result: placer.Cancelled, status: task.stopReason})
		return
	}
	stopped.stopsSent++
	stopped.fenceTimer = e.runAfter(stopBackoff(stopped.stopsSent), func() {
		stopped.fenceTimer = nil
		e.stopRunning(task)
	})
}
