package engine

// jobProgress is the state of a Job before it gets its final condition and after. A Job may be suspended in
// any state (job.suspended).
type jobProgress uint8

const (
	// jobRunning means that completion indexes of the Job are active or wait for their start.
	jobRunning jobProgress = iota
	// jobFailing means that the Job fails as a whole, and its tasks are being stopped.
	jobFailing
	// jobFailed means that the Job has failed as a whole and has no tasks left.
	jobFailed
	// jobEnded means that every completion index has ended, with or without success.
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

// finished reports whether a Job in this state has its final condition.
func (p jobProgress) finished() bool { return p == jobFailed || p == jobEnded }

// failsAsWhole reports whether the Job fails, or has failed, for a reason other than the failure of its
// completion indexes.
func (p jobProgress) failsAsWhole() bool { return p == jobFailing || p == jobFailed }

// afterLastTask returns the next state of a Job that has no tasks left and will start no more.
func (p jobProgress) afterLastTask() jobProgress {
	if p == jobFailing {
		return jobFailed
	}
	return jobEnded
}

// jobDeletion says whether the API has deleted a Job, and whether the Job is still stored.
type jobDeletion uint8

const (
	// jobKept means that the Job is not deleted.
	jobKept jobDeletion = iota
	// jobDeletingForeground means that the Job is deleted but remains stored until its last Pod is removed.
	jobDeletingForeground
	// jobDeleted means that the Job is no longer stored. Some of its Pods may still be stored.
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

// setProgress changes the progress of a Job; no other code does. An illegal transition is made nevertheless,
// and reported by CheckInvariants.
func (j *job) setProgress(next jobProgress) {
	if !jobProgressTransitions.permits(j.progress, next) {
		j.transitions.recordIllegal("Job %s made an illegal transition from %s to %s", j.key, j.progress, next)
	}
	j.progress = next
}

// setDeletion changes the deletion state of a Job; no other code does. An illegal transition is made
// nevertheless, and reported by CheckInvariants.
func (j *job) setDeletion(next jobDeletion) {
	if !jobDeletionTransitions.permits(j.deletion, next) {
		j.transitions.recordIllegal("Job %s made an illegal transition of its deletion state from %s to %s", j.key, j.deletion, next)
	}
	j.deletion = next
}

// isDeleted reports whether the API has deleted the Job. Its Pods may still exist.
func (j *job) isDeleted() bool { return j.deletion != jobKept }

// canStart reports whether tasks of the Job may be started.
func (j *job) canStart() bool { return !j.isDeleted() && !j.suspended && !j.progress.failsAsWhole() }

// violatedInvariant describes the first contradiction between a Job in the job table, its states and its
// tasks. It returns "" if there is none.
func (j *job) violatedInvariant() string {
	switch {
	case j.deletion == jobDeleted:
		return "invariant violated: a deleted Job is not in the job table"
	case j.progress.failsAsWhole() != (j.failureReason != ""):
		return "invariant violated: a Job has a failure reason if and only if it fails as a whole"
	case j.deletion == jobDeletingForeground && len(j.pods) == 0:
		return "invariant violated: a Job that is deleted in the foreground is kept only for its Pods"
	}
	return j.indexes.violatedInvariant(j)
}
