package engine

import (
	"maps"

	batchv1 "k8s.io/api/batch/v1"
	"k8s.io/apimachinery/pkg/api/equality"
)

// update implements Engine.UpdateJob.
func (c *jobController) update(update *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	job := c.jobs.get(jobKey(update))
	if job == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(job.object, update.UID, update.ResourceVersion); err != nil {
		return nil, err
	}
	if invalid := checkJobUpdate(job.object, update); invalid != nil {
		return nil, invalid
	}
	next := updatedJob(job.object, update)
	if equality.Semantic.DeepEqual(next, job.object) {
		return job.object, nil
	}
	if !equality.Semantic.DeepEqual(&next.Spec, &job.object.Spec) {
		next.Generation++
	}
	if dryRun {
		return next, nil
	}
	job.updateSpec(next)
	c.publisher.putJob(next)
	c.applySuspend(job, valueOr(next.Spec.Suspend, false))
	c.jobStatus.markDirty(job)
	return c.jobs.get(job.key).object, nil
}

// updatedJob returns a copy of a Job with the mutable fields of an update.
func updatedJob(current, update *batchv1.Job) *batchv1.Job {
	next := current.DeepCopy()
	next.Labels = maps.Clone(update.Labels)
	next.Annotations = maps.Clone(update.Annotations)
	next.Spec.Suspend = update.Spec.Suspend
	next.Spec.Parallelism = update.Spec.Parallelism
	next.Spec.TTLSecondsAfterFinished = update.Spec.TTLSecondsAfterFinished
	next.Spec.ActiveDeadlineSeconds = update.Spec.ActiveDeadlineSeconds
	return next
}

// checkJobUpdate returns an error if an update changes an immutable field or sets an invalid value.
func checkJobUpdate(current, update *batchv1.Job) *InvalidError {
	for _, field := range []struct {
		path string
		same bool
	}{
		{"spec.template", equality.Semantic.DeepEqual(&update.Spec.Template, &current.Spec.Template)},
		{"spec.completions", equality.Semantic.DeepEqual(update.Spec.Completions, current.Spec.Completions)},
		{"spec.selector", equality.Semantic.DeepEqual(update.Spec.Selector, current.Spec.Selector)},
		{"spec.completionMode", equality.Semantic.DeepEqual(update.Spec.CompletionMode, current.Spec.CompletionMode)},
		{"spec.backoffLimit", equality.Semantic.DeepEqual(update.Spec.BackoffLimit, current.Spec.BackoffLimit)},
	} {
		if !field.same {
			return &InvalidError{Field: field.path, Detail: "field is immutable", Value: "changed"}
		}
	}
	if parallelism := update.Spec.Parallelism; parallelism != nil && *parallelism < 0 {
		return &InvalidError{Field: "spec.parallelism", Detail: "must be 0 or more", Value: *parallelism}
	}
	return nil
}

// applySuspend suspends or resumes a Job after an update, or starts tasks that the update permits.
func (c *jobController) applySuspend(job *job, suspend bool) {
	switch {
	case suspend && !job.suspended && !job.progress.finished():
		c.suspend(job)
	case !suspend && job.suspended:
		job.suspended = false
		c.jobStarter.start(job)
	default:
		c.jobStarter.enqueue(job)
	}
}

// suspend deletes the Pods of a Job's tasks, whose indexes are started again when the Job is resumed.
func (c *jobController) suspend(job *job) {
	job.suspended = true
	c.stopTimer(job.deadlineTimer)
	for i := range job.indexes.len() {
		index := job.indexes.at(i)
		c.stopTimer(index.retryTimer)
		switch index.state {
		case indexActive:
			c.podController.deletePodOfTask(index.task, stopSuspended)
		case indexRetrying:
			job.indexes.restart(i)
		}
	}
}
