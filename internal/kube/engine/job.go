package engine

import (
	"encoding/json"
	"fmt"

	batchv1 "k8s.io/api/batch/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// job is a Job with its tasks, one for each completion index.
type job struct {
	key           string // store.Key of the Job
	uid           types.UID
	object        *batchv1.Job // as stored; never changed
	class, tenant int
	service       placer.ServiceID
	cores, memory float64 // of each task; memory in GiB
	podCost       int64   // of each Pod, as store.Cost counts
	manifestText  string  // cache of manifest; "" if it must be made

	indexes   []jobIndex
	nextIndex int // all indexes below were started
	active    int // indexes with a task
	succeeded int // tasks that succeeded
	failed    int // tasks that ended without success
	exhausted int // indexes that are not started again

	settled    map[string]int      // indexes by the final outcome of their first task
	mayHaveRun bool                // a task without placement may have run
	pods       map[string]struct{} // names of the stored Pods

	dirty  bool // in Engine.dirtyJobs
	queued bool // in Engine.backlog

	suspended          bool
	failureReason      string // why the Job fails as a whole; "" if it does not
	failureMessage     string
	finished           bool
	finishedAt         float64
	deleted            bool // Pods may be left
	foregroundDeletion bool // the Job is removed after its last Pod

	deadlineTimer *timer // activeDeadlineSeconds
	ttlTimer      *timer // ttlSecondsAfterFinished
}

// indexState is the state of a completion index.
type indexState uint8

const (
	indexPending  indexState = iota // to be started
	indexActive                     // it has a task
	indexRetrying                   // its task ended, and another is started later unless the Job stops
	indexFinished                   // it has succeeded, or is not started again
)

// jobIndex is a completion index of a Job.
type jobIndex struct {
	state       indexState
	task        *task // while active
	settled     bool  // the outcome of its first task is counted
	retryBudget int   // of the next task
	retryTimer  *timer
}

// violatedInvariant describes what does not agree between a Job and its tasks, "" if all does.
func (j *job) violatedInvariant() string {
	active := 0
	for i := range j.indexes {
		index := &j.indexes[i]
		if (index.task != nil) != (index.state == indexActive) {
			return fmt.Sprintf("violated: index %d has a task only while it is active", i)
		}
		if index.task == nil {
			continue
		}
		active++
		if index.task.job != j || index.task.index != i {
			return fmt.Sprintf("violated: the task of index %d knows its Job and its index", i)
		}
	}
	if active != j.active {
		return fmt.Sprintf("violated: %d indexes are active, %d are counted", active, j.active)
	}
	return ""
}

func valueOr[T any](pointer *T, otherwise T) T {
	if pointer == nil {
		return otherwise
	}
	return *pointer
}

// defaultBackoffLimit is the backoffLimit of Jobs that set none, as in Kubernetes.
const defaultBackoffLimit = 6

func taskCount(object *batchv1.Job) int {
	return int(valueOr(object.Spec.Completions, valueOr(object.Spec.Parallelism, 1)))
}

func (j *job) parallelism() int { return int(valueOr(j.object.Spec.Parallelism, 1)) }

func (j *job) backoffLimit() int {
	return int(valueOr(j.object.Spec.BackoffLimit, defaultBackoffLimit))
}

// canStart reports whether tasks of the Job may be started.
func (j *job) canStart() bool { return !j.deleted && !j.suspended && j.failureReason == "" }

// cost returns what the Job and all its Pods cost, as store.Cost counts.
func (j *job) cost() int64 { return j.podCost * int64(1+len(j.indexes)) }

// manifest returns the Job in the form that nodes keep with each of its Pods, from which a restarted scheduler rebuilds it. It is "" if
// the Job cannot be encoded: the task is then adopted without its Job.
func (j *job) manifest() string {
	if j.manifestText != "" {
		return j.manifestText
	}
	kept := batchv1.Job{
		ObjectMeta: metav1.ObjectMeta{
			Name:              j.object.Name,
			Namespace:         j.object.Namespace,
			UID:               j.uid,
			Labels:            j.object.Labels,
			CreationTimestamp: j.object.CreationTimestamp,
		},
		Spec: j.object.Spec,
	}
	encoded, err := json.Marshal(&kept)
	if err != nil {
		return ""
	}
	j.manifestText = string(encoded)
	return j.manifestText
}

func (j *job) removePod(name string) { delete(j.pods, name) }
