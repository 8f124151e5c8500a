package engine

import (
	"encoding/json"

	batchv1 "k8s.io/api/batch/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// job is the state of a Job and of its completion indexes. Each completion index has at most one task at a
// time. The components that create, start, update and delete Jobs modify the state.
type job struct {
	placementSpec         // properties that all tasks of the Job share
	key            string // key of the Job, as returned by store.Key
	uid            types.UID
	object         *batchv1.Job // the stored Job object, which must not be modified
	podCost        int64        // estimated cost of one Pod in bytes, as returned by store.Cost
	cachedManifest string       // result of the method manifest; "" if the method has not computed it yet

	indexes completionIndexTable
	pods    map[string]struct{} // names of the stored Pods of the Job

	statusDirty bool // set while the Job is listed in jobStatusWriter.dirtyJobs
	inBacklog   bool // set while the Job is listed in jobStarter.backlog

	transitions    *transitionCheck
	progress       jobProgress
	failureReason  string // reason why the Job fails as a whole; "" if the Job does not fail as a whole
	failureMessage string
	finishedAt     placer.Seconds
	deletion       jobDeletion
	suspended      bool // the value of spec.suspend that is in effect; an update cannot suspend a finished Job

	deadlineTimer *timer // fires when activeDeadlineSeconds have passed
	ttlTimer      *timer // fires when ttlSecondsAfterFinished have passed
}

// valueOrDefault returns the value that a pointer refers to, or a fallback if the pointer is nil.
func valueOrDefault[T any](pointer *T, fallback T) T {
	if pointer == nil {
		return fallback
	}
	return *pointer
}

// defaultBackoffLimit is the backoffLimit of Jobs that do not set one. Kubernetes uses the same default.
const defaultBackoffLimit = 6

// taskCount returns the number of completion indexes of a Job.
func taskCount(object *batchv1.Job) int {
	return int(valueOrDefault(object.Spec.Completions, valueOrDefault(object.Spec.Parallelism, 1)))
}

func (j *job) parallelism() int { return int(valueOrDefault(j.object.Spec.Parallelism, 1)) }

func (j *job) backoffLimit() int {
	return int(valueOrDefault(j.object.Spec.BackoffLimit, defaultBackoffLimit))
}

// cost returns the cost of the Job and all of its Pods in bytes, as estimated by store.Cost.
func (j *job) cost() int64 { return j.podCost * int64(1+j.indexes.len()) }

// manifest returns the Job as JSON. Nodes store this text with each Pod of the Job, and a restarted
// scheduler rebuilds the Job from the text. The result is "" if the Job cannot be encoded. A restarted
// scheduler then adopts the tasks of the Job without the Job.
func (j *job) manifest() string {
	if j.cachedManifest != "" {
		return j.cachedManifest
	}
	manifest := batchv1.Job{
		ObjectMeta: metav1.ObjectMeta{
			Name:              j.object.Name,
			Namespace:         j.object.Namespace,
			UID:               j.uid,
			Labels:            j.object.Labels,
			CreationTimestamp: j.object.CreationTimestamp,
		},
		Spec: j.object.Spec,
	}
	encoded, err := json.Marshal(&manifest)
	if err != nil {
		return ""
	}
	j.cachedManifest = string(encoded)
	return j.cachedManifest
}

// updateObject replaces the stored Job after a change of its status or its deletion timestamp. The cached
// manifest remains valid because it contains neither of them.
func (j *job) updateObject(object *batchv1.Job) { j.object = object }

// updateSpec replaces the stored Job after an update of its metadata or spec, and clears the cached manifest.
func (j *job) updateSpec(object *batchv1.Job) {
	j.object = object
	j.cachedManifest = ""
}

func (j *job) addPod(name string) { j.pods[name] = struct{}{} }

func (j *job) removePod(name string) { delete(j.pods, name) }

// releasePods clears the list of the Job's Pods when the Job is deleted without its Pods.
func (j *job) releasePods() { j.pods = nil }

// startFailing records that the Job fails as a whole and why it fails.
func (j *job) startFailing(reason, message string) {
	j.setProgress(jobFailing)
	j.failureReason = reason
	j.failureMessage = message
}

// finish records the end of a Job that has no active tasks and will not start any more tasks.
func (j *job) finish(now placer.Seconds) {
	j.setProgress(j.progress.afterLastTask())
	j.finishedAt = now
}
