package engine

import (
	"encoding/json"

	batchv1 "k8s.io/api/batch/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// job is the state of a Job with its tasks, one for each completion index. The parts that create, start, update and delete Jobs change it through
// its methods.
type job struct {
	placementSpec         // of each task
	key            string // store.Key of the Job
	uid            types.UID
	object         *batchv1.Job // as stored; never changed
	podCost        int64        // of each Pod, as store.Cost counts
	cachedManifest string       // cached result of manifest; "" if there is none

	indexes indexTable
	pods    map[string]struct{} // names of the stored Pods

	statusDirty bool // listed in jobStatusWriter.dirty
	inBacklog   bool // listed in jobStarter.backlog

	transitions    *transitionCheck
	progress       jobProgress
	failureReason  string // why the Job fails as a whole; "" if it does not
	failureMessage string
	finishedAt     placer.Seconds
	deletion       jobDeletion
	suspended      bool // spec.suspend as last applied; an update does not suspend a finished Job

	deadlineTimer *timer // activeDeadlineSeconds
	ttlTimer      *timer // ttlSecondsAfterFinished
}

// valueOr returns the value of a pointer, or another value if the pointer is nil.
func valueOr[T any](pointer *T, fallback T) T {
	if pointer == nil {
		return fallback
	}
	return *pointer
}

// defaultBackoffLimit is the backoffLimit of Jobs that set none, as in Kubernetes.
const defaultBackoffLimit = 6

// taskCount returns the number of completion indexes of a Job.
func taskCount(object *batchv1.Job) int {
	return int(valueOr(object.Spec.Completions, valueOr(object.Spec.Parallelism, 1)))
}

func (j *job) parallelism() int { return int(valueOr(j.object.Spec.Parallelism, 1)) }

func (j *job) backoffLimit() int {
	return int(valueOr(j.object.Spec.BackoffLimit, defaultBackoffLimit))
}

// cost returns the cost of the Job and all its Pods, as store.Cost counts.
func (j *job) cost() int64 { return j.podCost * int64(1+j.indexes.len()) }

// manifest returns the Job in the form that nodes store with each of its Pods, from which a restarted scheduler rebuilds it. It is "" if the
// Job cannot be encoded: its tasks are then adopted without it.
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

// updateObject replaces the stored Job after a change of its status or its deletion, which its manifest does not contain.
func (j *job) updateObject(object *batchv1.Job) { j.object = object }

// updateSpec replaces the stored Job after an update of its metadata or spec.
func (j *job) updateSpec(object *batchv1.Job) {
	j.object = object
	j.cachedManifest = ""
}

func (j *job) addPod(name string) { j.pods[name] = struct{}{} }

func (j *job) removePod(name string) { delete(j.pods, name) }

// releasePods detaches the Pods of a Job that is deleted without them.
func (j *job) releasePods() { j.pods = nil }

// startFailing records that the Job fails as a whole.
func (j *job) startFailing(reason, message string) {
	j.setProgress(jobFailing)
	j.failureReason = reason
	j.failureMessage = message
}

// finish records that the Job has no task left and starts none.
func (j *job) finish(now placer.Seconds) {
	j.setProgress(j.progress.afterLastTask())
	j.finishedAt = now
}
