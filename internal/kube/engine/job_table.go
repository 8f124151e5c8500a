package engine

import (
	"fmt"
	"slices"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
)

// jobTable holds the Jobs of an Engine, and the order in which they finished.
type jobTable struct {
	byKey    map[string]*job // Jobs by store.Key
	finished []*job          // finished Jobs in order of their end; deleted ones are skipped on reading
}

// get returns the Job with the given key, or nil if there is none.
func (t *jobTable) get(key string) *job { return t.byKey[key] }

// contains reports whether the table contains the given Job. Another Job with the same name does not count.
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

// ofPod returns the Job that owns a Pod, or nil if the Job is unknown.
func (t *jobTable) ofPod(pod *corev1.Pod) *job {
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

// finishedListSlack is the length that jobTable.finished may reach, beyond twice the number of Jobs, before
// deleted Jobs are removed from it.
const finishedListSlack = 16

// addFinished appends a Job to the list of finished Jobs.
func (t *jobTable) addFinished(finished *job) {
	if len(t.finished) > 2*len(t.byKey)+finishedListSlack {
		t.finished = slices.DeleteFunc(t.finished, func(job *job) bool { return job.isDeleted() })
	}
	t.finished = append(t.finished, finished)
}

// oldestFinished returns the Job that finished first, or nil if the table contains no finished Job.
func (t *jobTable) oldestFinished() *job {
	for len(t.finished) > 0 {
		oldest := t.finished[0]
		if !oldest.isDeleted() && t.contains(oldest) {
			return oldest
		}
		t.finished = t.finished[1:]
	}
	return nil
}

// dropOldestFinished removes the Job that finished first from the list of finished Jobs.
func (t *jobTable) dropOldestFinished() { t.finished = t.finished[1:] }

// checkInvariants returns an error if the state of a Job contradicts the states of its tasks.
func (t *jobTable) checkInvariants() error {
	for key, job := range t.byKey {
		if violated := job.violatedInvariant(); violated != "" {
			return fmt.Errorf("engine: Job %s: %s", key, violated)
		}
	}
	return nil
}
