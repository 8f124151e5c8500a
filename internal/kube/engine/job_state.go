package engine

// jobProgress is the state of a Job on the way to its final condition. A Job may be suspended in any of
// these states; the field job.suspended states whether it is suspended.
type jobProgress uint8

const (
	// jobRunning means that the Job has completion indexes that are active or will be started.
	jobRunning jobProgress = iota
	// jobFailing means that the Job fails as a whole, and its tasks are being stopped.
	jobFailing
	// jobFailed means that the Job has failed as a whole and has no tasks left.
	jobFailed
	// jobEnded means that every completion index has ended, with or without success.
	jobEnded

	jobProgressCount
)

var jobProgressNames = [jobProgressCount]string{"running", "failing", "failed", "ended"}

func (p jobProgress) String() string { return jobProgressNames[p] }

// jobProgressTransitions lists, for each state of the progress of a Job, the states that may follow it.
var jobProgressTransitions = transitionTable[jobProgress]{
	jobRunning: {jobFailing, jobEnded},
	jobFailing: {jobFailed},
	jobFailed:  {},
	jobEnded:   {},
}

// finished reports whether a Job in this state has its final condition, which is Complete or Failed.
func (p jobProgress) finished() bool { return p == jobFailed || p == jobEnded }

// failsAsWhole reports whether a Job in this state fails, or has failed, as a whole. A Job that runs to
// its end and has failed completion indexes does not fail as a whole.
func (p jobProgress) failsAsWhole() bool { return p == jobFailing || p == jobFailed }

// afterLastTask returns the next state of a Job that has no active tasks and will not start any more
// tasks.
func (p jobProgress) afterLastTask() jobProgress {
	if p == jobFailing {
		return jobFailed
	}
	return jobEnded
}

// jobDeletion is the deletion state of a Job: it states whether the Job is deleted, and whether a deleted
// Job is still stored.
type jobDeletion uint8

const (
	// jobKept means that the Job is not deleted.
	jobKept jobDeletion = iota
	// jobDeletingForeground means that the Job is deleted but remains stored until its last Pod is removed.
	jobDeletingForeground
	// jobDeleted means that the Job is no longer stored. Some of its Pods may still be stored.
	jobDeleted

	jobDeletionCount
)

var jobDeletionNames = [jobDeletionCount]string{"kept", "deleting foreground", "deleted"}

func (d jobDeletion) String() string { return jobDeletionNames[d] }

// jobDeletionTransitions lists, for each deletion state of a Job, the deletion states that may follow it.
var jobDeletionTransitions = transitionTable[jobDeletion]{
	jobKept:               {jobDeletingForeground, jobDeleted},
	jobDeletingForeground: {jobDeleted},
	jobDeleted:            {},
}

// setProgress is the only function that changes the progress of a Job. It makes the transition even if the
// transition is illegal; CheckInvariants then reports an error.
func (j *job) setProgress(next jobProgress) {
	if !jobProgressTransitions.permits(j.progress, next) {
		j.transitions.recordIllegal("Job %s made an illegal transition from %s to %s", j.key, j.progress, next)
	}
	j.progress = next
}

// setDeletion is the only function that changes the deletion state of a Job. It makes the transition even
// if the transition is illegal; CheckInvariants then reports an error.
func (j *job) setDeletion(next jobDeletion) {
	if !jobDeletionTransitions.permits(j.deletion, next) {
		j.transitions.recordIllegal("Job %s made an illegal transition of its deletion state from %s to %s", j.key, j.deletion, next)
	}
	j.deletion = next
}

// isDeleted reports whether the Job has been deleted. The Job may still be in the store until its Pods are
// removed.
func (j *job) isDeleted() bool { return j.deletion != jobKept }

// canStart reports whether tasks of the Job may be started.
func (j *job) canStart() bool { return !j.isDeleted() && !j.suspended && !j.progress.failsAsWhole() }

// invariantViolation describes the first contradiction between the states of a Job in the job table, its
// Pods and its tasks. It returns "" if there is no contradiction.
func (j *job) invariantViolation() string {
	switch {
	case j.deletion == jobDeleted:
		return "invariant violated: a deleted Job must not be in the job table"
	case j.progress.failsAsWhole() != (j.failureReason != ""):
		return "invariant violated: a Job must have a failure reason if and only if it fails as a whole"
	case j.deletion == jobDeletingForeground && len(j.pods) == 0:
		return "invariant violated: a Job that is being deleted in the foreground must still have Pods"
	}
	return j.indexes.invariantViolation(j)
}
