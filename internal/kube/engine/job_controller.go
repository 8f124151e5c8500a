package engine

import (
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// jobController creates, updates, finishes and deletes Jobs. For each task of a Job, it records in the Job
// the final outcome of the task and the end of the task.
type jobController struct {
	*environment
	jobs          *jobTable
	jobStarter    *jobStarter
	jobStatus     *jobStatusWriter
	tasks         *taskTable
	lifecycle     *taskLifecycle
	podController *podController
	publisher     *publisher
}

// recordOutcome counts the final outcome of a task in its Job, if it is the first final outcome for the
// completion index of the task.
func (c *jobController) recordOutcome(task *task, outcome taskOutcome) {
	job := task.job
	if task.stopReason == stopSuspended || job.indexes.at(task.index).task != task {
		return
	}
	if job.indexes.countTaskOutcome(task, outcome) {
		c.jobStatus.markDirty(job)
	}
}

// recordTaskEnd counts the end of a task in its Job, and schedules a new start of the completion index of
// the task if the Job permits it.
func (c *jobController) recordTaskEnd(task *task, succeeded bool, cause retry.Cause) {
	job := task.job
	if job.indexes.at(task.index).task != task {
		return
	}
	job.indexes.recordTaskEnd(task.index)
	c.jobStatus.markDirty(job)
	switch {
	case succeeded:
		job.indexes.succeed(task.index)
	case job.isDeleted():
	case job.suspended && task.stopReason == stopSuspended:
		job.indexes.restart(task.index)
	default:
		willRerun := c.jobStarter.scheduleRerun(job, task, cause)
		job.indexes.fail(task.index, willRerun)
	}
	c.jobStarter.enqueue(job)
	c.finishIfDone(job)
}

// finishIfDone finishes a Job if all of its completion indexes have ended, or if the Job fails as a whole and
// has no active task left.
func (c *jobController) finishIfDone(job *job) {
	if job.progress.finished() || job.isDeleted() || job.indexes.activeIndexes > 0 {
		return
	}
	if job.progress != jobFailing && (job.suspended || !job.indexes.allEnded()) {
		return
	}
	c.finish(job)
	c.stopTimer(job.deadlineTimer)
	c.jobStatus.markDirty(job)
	retention := c.cfg.FinishedTTL
	if ttlSeconds := job.object.Spec.TTLSecondsAfterFinished; ttlSeconds != nil {
		retention = placer.Seconds(*ttlSeconds)
	} else if retention <= 0 {
		return
	}
	job.ttlTimer = c.runAfter(retention, func() {
		if c.jobs.contains(job) {
			c.remove(job, metav1.DeletePropagationBackground)
		}
	})
}

// finish records the end of a Job that has no active tasks and will not start any more tasks.
func (c *jobController) finish(job *job) {
	job.finish(c.now)
	c.stats.JobsFinished++
	c.jobs.addFinished(job)
}

// fail makes a Job fail as a whole and stops its active tasks.
func (c *jobController) fail(job *job, reason, message string) {
	if job.progress != jobRunning || job.isDeleted() {
		return
	}
	job.startFailing(reason, message)
	for i := range job.indexes.len() {
		index := job.indexes.at(i)
		c.stopTimer(index.retryTimer)
		if index.task != nil {
			c.lifecycle.stop(index.task, stopReason(reason))
		}
	}
	c.drainEvents()
	c.finishIfDone(job)
	c.jobStatus.markDirty(job)
}

// recordPodRemoval records that the Pod of a task was removed from the store.
func (c *jobController) recordPodRemoval(task *task) {
	if task.job != nil {
		task.job.removePod(task.name)
		c.finishForegroundDeletion(task.job)
	}
}
