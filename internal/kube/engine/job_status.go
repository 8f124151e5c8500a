package engine

import (
	"fmt"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/wellknown"
)

// jobStatusWriter stores the changed statuses of Jobs at the end of each call of the engine.
type jobStatusWriter struct {
	*environment
	jobs          *jobTable
	jobController *jobController
	publisher     *publisher

	dirtyJobs []*job // Jobs whose status may have changed during the current call
}

// writeDirty stores the statuses of all Jobs for which markDirty was called during the current call of the
// engine.
func (w *jobStatusWriter) writeDirty() {
	dirtyJobs := w.dirtyJobs
	w.dirtyJobs = nil
	for _, job := range dirtyJobs {
		job.statusDirty = false
		w.write(job)
	}
}

// markDirty records that the status of a Job may have changed. writeDirty then stores the status at the
// end of the call.
func (w *jobStatusWriter) markDirty(job *job) {
	if !job.statusDirty {
		job.statusDirty = true
		w.dirtyJobs = append(w.dirtyJobs, job)
	}
}

// write stores the status of a Job if the status has changed.
func (w *jobStatusWriter) write(job *job) {
	if job.isDeleted() || !w.jobs.contains(job) {
		return
	}
	if job.indexes.len() == 0 && !job.progress.finished() && !job.suspended {
		w.jobController.finish(job)
	}
	updatedObject := *job.object // the Spec is shared with the stored Job and must not be modified
	job.object.ObjectMeta.DeepCopyInto(&updatedObject.ObjectMeta)
	job.object.Status.DeepCopyInto(&updatedObject.Status)
	job.setStatus(&updatedObject.Status, w.apiNow())
	if equality.Semantic.DeepEqual(&updatedObject.Status, &job.object.Status) {
		return
	}
	job.updateObject(&updatedObject)
	w.publisher.putJob(&updatedObject)
}

// setStatus fills in the status of a Job from its state.
func (j *job) setStatus(status *batchv1.JobStatus, now metav1.Time) {
	if status.StartTime == nil && !j.suspended {
		status.StartTime = &now
	}
	status.Active = int32(j.indexes.activeIndexes)
	status.Succeeded = int32(j.indexes.succeededTasks)
	status.Failed = int32(j.indexes.failedTasks)
	status.CompletedIndexes = ""
	j.setSettledCondition(status, now)
	j.setSuspendedCondition(status, now)
	if j.progress.finished() {
		j.setFinishedCondition(status, now)
	}
}

// setSettledCondition sets the Settled condition once the first task of each completion index has its final
// outcome.
func (j *job) setSettledCondition(status *batchv1.JobStatus, now metav1.Time) {
	counts := j.indexes.outcomeCounts
	placedCount, rejectedCount, failedCount := counts[outcomePlaced], counts[outcomeRejected], counts[outcomeFailed]
	total := placedCount + rejectedCount + failedCount
	if total != j.indexes.len() {
		return
	}
	reason := wellknown.Failed
	switch {
	case placedCount == total:
		reason = wellknown.Placed
	case rejectedCount == total && !j.indexes.unplacedMayHaveRun:
		reason = wellknown.Rejected
	}
	message := fmt.Sprintf("%d placed, %d rejected, %d failed", placedCount, rejectedCount, failedCount)
	setFinalJobCondition(status, newJobCondition(wellknown.Settled, reason, message, now))
}

// setSuspendedCondition sets the Suspended condition to true if the Job is suspended. If the Job has been
// resumed, it sets the condition to false.
func (j *job) setSuspendedCondition(status *batchv1.JobStatus, now metav1.Time) {
	if j.suspended {
		setJobSuspendedCondition(status, newJobCondition(batchv1.JobSuspended, "JobSuspended", "Job suspended", now))
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

// setFinishedCondition sets the final condition of a Job: Complete or Failed.
func (j *job) setFinishedCondition(status *batchv1.JobStatus, now metav1.Time) {
	switch {
	case j.progress == jobFailed:
		setFinalJobCondition(status, newJobCondition(batchv1.JobFailed, j.failureReason, j.failureMessage, now))
	case j.indexes.failedIndexes > 0:
		message := fmt.Sprintf("%d of %d tasks did not succeed", j.indexes.failedIndexes, j.indexes.len())
		setFinalJobCondition(status, newJobCondition(batchv1.JobFailed, "FailedIndexes", message, now))
	default:
		const message = "Reached expected number of succeeded pods"
		setFinalJobCondition(status, newJobCondition(batchv1.JobComplete, "CompletionsReached", message, now))
		if status.CompletionTime == nil {
			status.CompletionTime = &now
		}
	}
}

// newJobCondition returns a condition that has been true since the given time.
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

// jobCondition returns the condition of the given type, or nil if the condition was never set.
func jobCondition(status *batchv1.JobStatus, kind batchv1.JobConditionType) *batchv1.JobCondition {
	for i := range status.Conditions {
		if status.Conditions[i].Type == kind {
			return &status.Conditions[i]
		}
	}
	return nil
}

// setFinalJobCondition adds a condition to the status of a Job unless the status has a condition of the
// same type. The condition is final and never changes afterwards.
func setFinalJobCondition(status *batchv1.JobStatus, condition batchv1.JobCondition) {
	if jobCondition(status, condition.Type) == nil {
		status.Conditions = append(status.Conditions, condition)
	}
}

// setJobSuspendedCondition adds the Suspended condition to the status of a Job. If the condition exists
// but is false because the Job was resumed earlier, setJobSuspendedCondition makes it true again.
func setJobSuspendedCondition(status *batchv1.JobStatus, condition batchv1.JobCondition) {
	storedCondition := jobCondition(status, condition.Type)
	switch {
	case storedCondition == nil:
		status.Conditions = append(status.Conditions, condition)
	case storedCondition.Status != corev1.ConditionTrue:
		*storedCondition = condition
	}
}
