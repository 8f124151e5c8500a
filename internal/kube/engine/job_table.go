package engine

import (
	"fmt"
	"slices"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
)

// jobTable owns the set of Jobs of an Engine, with the order in which they finished.
type jobTable struct {
	byKey    map[string]*job // by store.Key
	finished []*job          // in order of their end; deleted ones are skipped
}

// get returns the Job of a key, nil if there is none.
func (t *jobTable) get(key string) *job { return t.byKey[key] }

// contains reports whether a Job has not been removed. Another Job of the same name is not the same.
func (t *jobTable) contains(job *job) bool { return t.byKey[job.key] == job }

func (t *jobTable) add(job *job) { t.byKey[job.key] = job }

// remove removes a Job, and reports whether the table contained it.
func (t *jobTable) remove(job *job) bool {
	if !t.contains(job) {
		return false
	}
	delete(t.byKey, job.key)
	return true
}

// ofPod returns the Job that owns a Pod, nil if it is unknown.
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

// minFinishedSlack, together with the number of Jobs, bounds the entries of deleted Jobs in jobTable.finished.
const finishedListSlack = 16

// addFinished appends a Job to the list of finished ones.
func (t *jobTable) addFinished(finished *job) {
	if len(t.finished) > 2*len(t.byKey)+finishedListSlack {
		t.finished = slices.DeleteFunc(t.finished, func(job *job) bool { return job.isDeleted() })
	}
	t.finished = append(t.finished, finished)
}

// oldestFinished returns the Job that finished first, nil if the table contains no finished one.
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

// dropOldestFinished removes the Job that finished first from the list of finished ones.
func (t *jobTable) dropOldestFinished() { t.finished = t.finished[1:] }

// checkInvariants returns an error if the state of a Job is inconsistent with that of its tasks.
func (t *jobTable) checkInvariants() error {
	for key, job := range t.byKey {
		if violated := job.violatedInvariant(); violated != "" {
			return fmt.Errorf("engine: Job %s: %s", key, violated)
		}
	}
	return nil
}
