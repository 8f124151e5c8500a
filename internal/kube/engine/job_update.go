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
	if invalidErr := checkJobUpdate(job.object, update); invalidErr != nil {
		return nil, invalidErr
	}
	updatedObject := updatedJob(job.object, update)
	if equality.Semantic.DeepEqual(updatedObject, job.object) {
		return job.object, nil
	}
	if !equality.Semantic.DeepEqual(&updatedObject.Spec, &job.object.Spec) {
		updatedObject.Generation++
	}
	if dryRun {
		return updatedObject, nil
	}
	job.updateSpec(updatedObject)
	c.publisher.putJob(updatedObject)
	c.applySuspend(job, valueOrDefault(updatedObject.Spec.Suspend, false))
	c.jobStatus.markDirty(job)
	return c.jobs.get(job.key).object, nil
}

// updatedJob returns a copy of a Job in which the mutable fields have the values of the update.
func updatedJob(currentObject, update *batchv1.Job) *batchv1.Job {
	updatedObject := currentObject.DeepCopy()
	updatedObject.Labels = maps.Clone(update.Labels)
	updatedObject.Annotations = maps.Clone(update.Annotations)
	updatedObject.Spec.Suspend = update.Spec.Suspend
	updatedObject.Spec.Parallelism = update.Spec.Parallelism
	updatedObject.Spec.TTLSecondsAfterFinished = update.Spec.TTLSecondsAfterFinished
	updatedObject.Spec.ActiveDeadlineSeconds = update.Spec.ActiveDeadlineSeconds
	return updatedObject
}

// checkJobUpdate returns an error if an update changes an immutable field or sets an invalid value.
func checkJobUpdate(currentObject, update *batchv1.Job) *InvalidError {
	for _, field := range []struct {
		path string
		same bool
	}{
		{"spec.template", equality.Semantic.DeepEqual(&update.Spec.Template, &currentObject.Spec.Template)},
		{"spec.completions", equality.Semantic.DeepEqual(update.Spec.Completions, currentObject.Spec.Completions)},
		{"spec.selector", equality.Semantic.DeepEqual(update.Spec.Selector, currentObject.Spec.Selector)},
		{"spec.completionMode", equality.Semantic.DeepEqual(update.Spec.CompletionMode, currentObject.Spec.CompletionMode)},
		{"spec.backoffLimit", equality.Semantic.DeepEqual(update.Spec.BackoffLimit, currentObject.Spec.BackoffLimit)},
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

// applySuspend suspends or resumes a Job after an update. If the update does neither, applySuspend adds
// the Job to the backlog of jobStarter, because the update may permit more tasks to start.
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

// suspend stops a Job until it is resumed. It deletes the Pods of the active tasks. The completion indexes
// of these tasks are started again when the Job is resumed.
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
