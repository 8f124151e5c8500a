package engine

import (
	"fmt"
	"slices"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/control/retry"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
)

// markJobDirty has the status of a Job written at the end of the call.
func (e *Engine) markJobDirty(job *job) {
	if !job.dirty {
		job.dirty = true
		e.dirtyJobs = append(e.dirtyJobs, job)
	}
}

// recordSettled counts the final outcome of the first task of an index.
func (e *Engine) recordSettled(task *task, reason string) {
	job := task.job
	index := &job.indexes[task.index]
	if index.settled || task.stopReason == stopSuspended || index.task != task {
		return
	}
	index.settled = true
	job.settled[reason]++
	job.mayHaveRun = job.mayHaveRun || task.everMayHaveRun
	e.markJobDirty(job)
}

// jobTaskEnded counts the end of a task, and has its index started again where the Job asks for that.
func (e *Engine) jobTaskEnded(task *task, succeeded bool, cause retry.Cause) {
	job := task.job
	index := &job.indexes[task.index]
	if index.task != task {
		return
	}
	index.task = nil
	index.state = indexRetrying
	job.active--
	e.markJobDirty(job)
	switch {
	case succeeded:
		job.succeeded++
		index.state = indexFinished
	case job.deleted:
	case job.suspended && task.stopReason == stopSuspended:
		job.restartIndex(task.index)
	default:
		job.failed++
		if !e.scheduleRerun(job, task, cause) {
			index.state = indexFinished
			job.exhausted++
		}
	}
	e.enqueueJob(job)
	e.finishJobIfDone(job)
}

// restartIndex has an index started anew when the Job's turn comes.
func (j *job) restartIndex(index int) {
	j.indexes[index].state = indexPending
	j.nextIndex = min(j.nextIndex, index)
}

// finishJobIfDone ends a Job whose indexes have all ended, or which fails as a whole and has no active task left.
func (e *Engine) finishJobIfDone(job *job) {
	if job.finished || job.deleted || job.active > 0 {
		return
	}
	failed := job.failureReason != ""
	allEnded := job.succeeded+job.exhausted >= len(job.indexes)
	if !failed && (job.suspended || !allEnded) {
		return
	}
	e.jobFinished(job)
	e.stopTimer(job.deadlineTimer)
	e.markJobDirty(job)
	retention := e.cfg.FinishedTTL
	if ttlSeconds := job.object.Spec.TTLSecondsAfterFinished; ttlSeconds != nil {
		retention = float64(*ttlSeconds)
	} else if retention <= 0 {
		return
	}
	job.ttlTimer = e.runAfter(retention, func() {
		if e.jobs[job.key] == job {
			e.removeJob(job, metav1.DeletePropagationBackground)
		}
	})
}

// minFinishedSlack bounds the entries of deleted Jobs in finishedJobs, together with the number of Jobs.
const minFinishedSlack = 16

func (e *Engine) jobFinished(finished *job) {
	finished.finished = true
	finished.finishedAt = e.now
	e.Stats.JobsFinished++
	if len(e.finishedJobs) > 2*len(e.jobs)+minFinishedSlack {
		e.finishedJobs = slices.DeleteFunc(e.finishedJobs, func(job *job) bool { return job.deleted })
	}
	e.finishedJobs = append(e.finishedJobs, finished)
}

// failJob ends a Job as a whole: its active tasks are stopped.
func (e *Engine) failJob(job *job, reason, message string) {
	if job.finished || job.deleted || job.failureReason != "" {
		return
	}
	job.failureReason = reason
	job.failureMessage = message
	for i := range job.indexes {
		index := &job.indexes[i]
		e.stopTimer(index.retryTimer)
		if index.task != nil {
			e.stopTask(index.task, reason)
		}
	}
	e.drainEvents()
	e.finishJobIfDone(job)
	e.markJobDirty(job)
}

// writeJobStatus stores a Job's status if it has changed.
func (e *Engine) writeJobStatus(job *job) {
	if job.deleted || e.jobs[job.key] != job {
		return
	}
	if len(job.indexes) == 0 && !job.finished && !job.suspended {
		e.jobFinished(job)
	}
	updated := *job.object // the Spec is shared: it is not changed
	job.object.ObjectMeta.DeepCopyInto(&updated.ObjectMeta)
	job.object.Status.DeepCopyInto(&updated.Status)
	job.showStatus(&updated.Status, wellknown.APITime(e.now))
	if equality.Semantic.DeepEqual(&updated.Status, &job.object.Status) {
		return
	}
	job.object = &updated
	e.store.Put(store.Jobs, &updated)
}

func (j *job) showStatus(status *batchv1.JobStatus, now metav1.Time) {
	if status.StartTime == nil && !j.suspended {
		status.StartTime = &now
	}
	status.Active = int32(j.active)
	status.Succeeded = int32(j.succeeded)
	status.Failed = int32(j.failed)
	status.CompletedIndexes = ""
	j.showSettled(status, now)
	j.showSuspended(status, now)
	if j.finished {
		j.showFinished(status, now)
	}
}

// showSettled sets the Settled condition once the first task of each index has its final outcome.
func (j *job) showSettled(status *batchv1.JobStatus, now metav1.Time) {
	placed, rejected, failed := j.settled[wellknown.Placed], j.settled[wellknown.Rejected], j.settled[wellknown.Failed]
	total := placed + rejected + failed
	if total != len(j.indexes) {
		return
	}
	reason := wellknown.Failed
	switch {
	case placed == total:
		reason = wellknown.Placed
	case rejected == total && !j.mayHaveRun:
		reason = wellknown.Rejected
	}
	message := fmt.Sprintf("%d placed, %d refused, %d failed", placed, rejected, failed)
	setFinalJobCondition(status, newJobCondition(wellknown.Settled, reason, message, now))
}

func (j *job) showSuspended(status *batchv1.JobStatus, now metav1.Time) {
	if j.suspended {
		setJobSuspended(status, newJobCondition(batchv1.JobSuspended, "JobSuspended", "Job suspended", now))
		return
	}
	for i := range status.Conditions {
		condition := &status.Conditions[i]
		if condition.Type == batchv1.JobSuspended && condition.Status == corev1.ConditionTrue {
			condition.Status = corev1.ConditionFalse
			condition.Reason = "JobResumed"
			condition.Message = "Job resumed"
			condition.LastTransitionTime = now
		}
	}
}

func (j *job) showFinished(status *batchv1.JobStatus, now metav1.Time) {
	switch {
	case j.failureReason != "":
		setFinalJobCondition(status, newJobCondition(batchv1.JobFailed, j.failureReason, j.failureMessage, now))
	case j.exhausted > 0:
		message := fmt.Sprintf("%d of %d tasks did not succeed", j.exhausted, len(j.indexes))
		setFinalJobCondition(status, newJobCondition(batchv1.JobFailed, "FailedIndexes", message, now))
	default:
		const message = "Reached expected number of succeeded pods"
		setFinalJobCondition(status, newJobCondition(batchv1.JobComplete, "CompletionsReached", message, now))
		if status.CompletionTime == nil {
			status.CompletionTime = &now
		}
	}
}

func newJobCondition(kind batchv1.JobConditionType, reason, message string, now metav1.Time) batchv1.JobCondition {
	return batchv1.JobCondition{
		Type:               kind,
		Status:             corev1.ConditionTrue,
		Reason:             reason,
		Message:            message,
		LastProbeTime:      now,
		LastTransitionTime: now,
	}
}

// jobCondition returns the condition of a type, nil if it was never set.
func jobCondition(status *batchv1.JobStatus, kind batchv1.JobConditionType) *batchv1.JobCondition {
	for i := range status.Conditions {
		if status.Conditions[i].Type == kind {
			return &status.Conditions[i]
		}
	}
	return nil
}

// setFinalJobCondition adds a condition that does not change once it is set.
func setFinalJobCondition(status *batchv1.JobStatus, condition batchv1.JobCondition) {
	if jobCondition(status, condition.Type) == nil {
		status.Conditions = append(status.Conditions, condition)
	}
}

// setJobSuspended adds the condition that a Job is suspended, or sets it anew after the Job was resumed.
func setJobSuspended(status *batchv1.JobStatus, condition batchv1.JobCondition) {
	stored := jobCondition(status, condition.Type)
	switch {
	case stored == nil:
		status.Conditions = append(status.Conditions, condition)
	case stored.Status != corev1.ConditionTrue:
		*stored = condition
	}
}
