package engine

// jobProgress is the state of a Job on the way to its final condition. A Job may be suspended in any state: see job.suspended.
type jobProgress uint8

const (
	// jobRunning: its indexes run or wait for their start.
	jobRunning jobProgress = iota
	// jobFailing: it fails as a whole, and its tasks are being stopped.
	jobFailing
	// jobFailed: it has failed as a whole, and no task is left.
	jobFailed
	// jobEnded: every index has ended, with or without success.
	jobEnded

	jobProgresses
)

var jobProgressNames = [jobProgresses]string{"running", "failing", "failed", "ended"}

func (p jobProgress) String() string { return jobProgressNames[p] }

// jobProgressTransitions lists the states that may follow each state.
var jobProgressTransitions = transitionTable[jobProgress]{
	jobRunning: {jobFailing, jobEnded},
	jobFailing: {jobFailed},
	jobFailed:  {},
	jobEnded:   {},
}

// finished reports whether the Job has its final condition.
func (p jobProgress) finished() bool { return p == jobFailed || p == jobEnded }

// failsAsWhole reports whether the Job fails, or has failed, for a reason of its own and not because of its indexes.
func (p jobProgress) failsAsWhole() bool { return p == jobFailing || p == jobFailed }

// afterLastTask returns the progress of a Job that has no task left and starts none.
func (p jobProgress) afterLastTask() jobProgress {
	if p == jobFailing {
		return jobFailed
	}
	return jobEnded
}

// jobDeletion is the state of the deletion of a Job by the API.
type jobDeletion uint8

const (
	// jobKept: it is not deleted.
	jobKept jobDeletion = iota
	// jobDeletingForeground: it is deleted, and stored until its last Pod is removed.
	jobDeletingForeground
	// jobDeleted: it is no longer stored. Pods may be left.
	jobDeleted

	jobDeletions
)

var jobDeletionNames = [jobDeletions]string{"kept", "deleting foreground", "deleted"}

func (d jobDeletion) String() string { return jobDeletionNames[d] }

// jobDeletionTransitions lists the states that may follow each state.
var jobDeletionTransitions = transitionTable[jobDeletion]{
	jobKept:               {jobDeletingForeground, jobDeleted},
	jobDeletingForeground: {jobDeleted},
	jobDeleted:            {},
}

// setProgress is the only place where a Job's progress changes. It makes an illegal transition too, which CheckInvariants reports.
func (j *job) setProgress(next jobProgress) {
	if !jobProgressTransitions.permits(j.progress, next) {
		j.transitions.recordIllegal("Job %s goes from %s to %s", j.key, j.progress, next)
	}
	j.progress = next
}

// setDeletion is the only place where the deletion of a Job advances. It makes an illegal transition too, as setProgress does.
func (j *job) setDeletion(next jobDeletion) {
	if !jobDeletionTransitions.permits(j.deletion, next) {
		j.transitions.recordIllegal("Job %s goes from %s to %s", j.key, j.deletion, next)
	}
	j.deletion = next
}

// isDeleted reports whether the API has deleted the Job. Its Pods may still exist.
func (j *job) isDeleted() bool { return j.deletion != jobKept }

// canStart reports whether tasks of the Job may be started.
func (j *job) canStart() bool { return !j.isDeleted() && !j.suspended && !j.progress.failsAsWhole() }

// violatedInvariant describes the first inconsistency between a Job in the job table, its states and its tasks, "" if there is none.
func (j *job) violatedInvariant() string {
	switch {
	case j.deletion == jobDeleted:
		return "violated: a deleted Job is not in the job table"
	case j.progress.failsAsWhole() != (j.failureReason != ""):
		return "violated: a Job has a reason to fail only if it fails as a whole"
	case j.deletion == jobDeletingForeground && len(j.pods) == 0:
		return "violated: a Job that is deleted in the foreground is kept only for its Pods"
	}
	return j.indexes.violatedInvariant(j)
}
