package engine

import (
	"fmt"
	"slices"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
)

// jobTable holds the Jobs of an Engine and records the order in which they finished.
type jobTable struct {
	byKey map[string]*job // Jobs by their key, as returned by store.Key
	// finishedJobs contains the finished Jobs in the order in which they finished. It may contain deleted Jobs,
	// which oldestFinished skips.
	finishedJobs []*job
}

// get returns the Job with the given key, or nil if there is none.
func (t *jobTable) get(key string) *job { return t.byKey[key] }

// contains reports whether the table contains the given Job. A Job with the same key that has replaced the
// given Job does not count.
func (t *jobTable) contains(job *job) bool { return t.byKey[job.key] == job }

func (t *jobTable) add(job *job) { t.byKey[job.key] = job }

// remove removes a Job, and reports whether the table contained the Job.
func (t *jobTable) remove(job *job) bool {
	if !t.contains(job) {
		return false
	}
	delete(t.byKey, job.key)
	return true
}

// ownerOf returns the Job that owns a Pod, or nil if this Job is not in the table.
func (t *jobTable) ownerOf(pod *corev1.Pod) *job {
	for i := range pod.OwnerReferences {
		reference := &pod.OwnerReferences[i]
		if reference.Kind != "Job" {
			continue
		}
		if job := t.byKey[store.Key(pod.Namespace, reference.Name)]; job != nil && job.uid == reference.UID {
			return job
		}
	}
	return nil
}

// finishedListSlack determines when the deleted Jobs are removed from the list of finished Jobs. This
// happens when the list has more entries than twice the number of Jobs in the table plus
// finishedListSlack.
const finishedListSlack = 16

// addFinished appends a Job to the list of finished Jobs.
func (t *jobTable) addFinished(finishedJob *job) {
	if len(t.finishedJobs) > 2*len(t.byKey)+finishedListSlack {
		t.finishedJobs = slices.DeleteFunc(t.finishedJobs, func(job *job) bool { return job.isDeleted() })
	}
	t.finishedJobs = append(t.finishedJobs, finishedJob)
}

// oldestFinished returns the Job that finished first, or nil if the table contains no finished Job.
func (t *jobTable) oldestFinished() *job {
	for len(t.finishedJobs) > 0 {
		oldestJob := t.finishedJobs[0]
		if !oldestJob.isDeleted() && t.contains(oldestJob) {
			return oldestJob
		}
		t.finishedJobs = t.finishedJobs[1:]
	}
	return nil
}

// dropOldestFinished removes the Job that finished first from the list of finished Jobs.
func (t *jobTable) dropOldestFinished() { t.finishedJobs = t.finishedJobs[1:] }

// checkInvariants returns an error if the state of any Job is contradictory in itself, or if it
// contradicts the Pods or the tasks of the Job.
func (t *jobTable) checkInvariants() error {
	for key, job := range t.byKey {
		if violation := job.invariantViolation(); violation != "" {
			return fmt.Errorf("engine: Job %s: %s", key, violation)
		}
	}
	return nil
}
