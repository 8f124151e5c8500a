package engine

import (
	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// rerunWindow is the time that package retry may use for a new start of a completion index, counted from
// the end of the previous task. The deadline of the client does not limit this time, because the client
// has already received the final outcome of the first task.
const rerunWindow placer.Seconds = 3600

// scheduleRerun sets a timer for a new start of a completion index whose task has ended without success.
// It returns false if the index will not be started again.
func (s *jobStarter) scheduleRerun(job *job, task *task, cause retry.Cause) bool {
	idempotency := s.cfg.Placer.Classes[job.class].Idempotency
	if !s.mayRerun(job, task, cause, idempotency) {
		return false
	}
	budget := task.retryBudget
	if cause == retry.Migrated || task.isStopping() {
		budget = max(budget, 1) // the retry budget is not used up if this scheduler itself has stopped the task
	}
	// The task has certainly ended, so the retry policy only has to choose the time of the next start.
	decision, at := s.cfg.Retry.Next(retry.State{
		Idempotency: placer.Idempotent,
		Cause:       cause,
		Now:         s.now,
		Deadline:    s.now + rerunWindow,
		Attempts:    max(job.backoffLimit()-task.retryBudget+1, 1),
		RetriesLeft: budget,
		Jitter:      s.rng.Float64(),
	})
	if decision != retry.RetryAt {
		return false
	}
	if idempotency != placer.Idempotent {
		at = max(at, s.now+s.cfg.Retry.UnknownOutcomeTimeout)
	}
	index := task.index
	s.stopTimer(job.indexes.at(index).retryTimer) // An adopted task may have run while the index waited for its next start.
	nextBudget := task.retryBudget
	if budget == nextBudget {
		nextBudget--
	}
	job.indexes.setRetry(index, nextBudget, s.runAt(at, func() {
		if job.canStart() && job.indexes.at(index).task == nil {
			s.startTask(job, index)
			s.drainEvents()
		}
	}))
	return true
}

// mayRerun reports whether a completion index may be started again after its task ended without success.
func (s *jobStarter) mayRerun(job *job, task *task, cause retry.Cause, idempotency placer.Idempotency) bool {
	switch {
	case job.progress.failsAsWhole() || s.stopping:
		return false
	case cause == retry.Rejected && !task.isStopping():
		return false // the placement requests of the task have already been retried as often as permitted
	case idempotency == placer.NonIdempotent:
		// The index may be started again only if the task has not run to its end and no other attempt has
		// possibly run the task.
		return cause != retry.Failed && task.attempts.evidence != possiblyRan
	}
	return true
}
