package engine

import (
	"encoding/json"
	"fmt"
	"slices"

	batchv1 "k8s.io/api/batch/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
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

// classFromLabels returns the index of the class that a pod template names.
func (e *Engine) classFromLabels(labels map[string]string) (int, *InvalidError) {
	name, ok := labels[wellknown.Class]
	if !ok {
		return e.cfg.DefaultClass, nil
	}
	if i := slices.Index(e.cfg.Classes, name); i >= 0 {
		return i, nil
	}
	return 0, &InvalidError{
		Field:  "spec.template.metadata.labels[" + wellknown.Class + "]",
		Detail: fmt.Sprintf("no such class; there are %v", e.cfg.Classes),
		Value:  name,
	}
}

// newJob returns the state of a Job of which nothing was started. The error is an *InvalidError.
func (e *Engine) newJob(object *batchv1.Job) (*job, error) {
	labels := object.Spec.Template.Labels
	class, invalid := e.classFromLabels(labels)
	if invalid != nil {
		return nil, invalid
	}
	tenant, ok := e.tenantOf(object.Namespace)
	if !ok {
		return nil, &InvalidError{Field: "metadata.namespace", Detail: "no such tenant", Value: object.Namespace}
	}
	tasks := taskCount(object)
	if tasks < 0 || tasks > e.cfg.MaxPods {
		return nil, &InvalidError{Field: "spec.completions", Detail: fmt.Sprintf("must be 0 to %d", e.cfg.MaxPods), Value: tasks}
	}
	service := labels[wellknown.Service]
	if service == "" {
		service = object.Name
	}
	created := &job{
		key:       jobKey(object),
		uid:       object.UID,
		object:    object,
		class:     class,
		tenant:    tenant,
		service:   serviceID(object.Namespace, service),
		suspended: valueOr(object.Spec.Suspend, false),
		settled:   map[string]int{},
		pods:      map[string]struct{}{},
		indexes:   make([]jobIndex, tasks),
	}
	created.cores, created.memory = wellknown.Requests(&object.Spec.Template.Spec)
	budget := max(created.backoffLimit(), 0)
	for i := range created.indexes {
		created.indexes[i].retryBudget = budget
	}
	return created, nil
}

// CreateJob stores a Job that the API server has validated and defaulted, and starts its tasks. It returns the Job as stored. A dry run
// only returns what would be stored. Errors: ErrExists, ErrStopping, ErrTooMany, *InvalidError.
func (e *Engine) CreateJob(now float64, object *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	object = object.DeepCopy()
	e.generateName(object)
	if e.jobs[jobKey(object)] != nil {
		return nil, ErrExists
	}
	if e.stopping {
		return nil, ErrStopping
	}
	e.initializeJob(object)
	created, err := e.newJob(object)
	if err != nil {
		return nil, err
	}
	created.podCost = store.Cost(object)
	if need := created.cost(); e.cfg.MaxObjects > 0 && need > e.cfg.MaxObjects {
		tasks := len(created.indexes)
		detail := fmt.Sprintf("%d tasks of this size take %d bytes: at most %d", tasks, need, e.cfg.MaxObjects)
		return nil, &InvalidError{Field: "spec.template", Detail: detail, Value: tasks}
	}
	for e.exceedsLimits(created) {
		if !e.evictFinishedJob(dryRun) {
			e.Stats.JobsRejected++
			return nil, ErrTooMany
		}
	}
	if dryRun {
		return object, nil
	}
	e.Stats.JobsCreated++
	e.jobs[created.key] = created
	e.store.Put(store.Jobs, object)
	e.startJob(created)
	return e.store.Get(store.Jobs, object.Namespace, object.Name).(*batchv1.Job), nil
}

// Limits of generated names.
const (
	maxGeneratedPrefix = 248 // characters of generateName that are used
	maxNameDraws       = 8   // names that are drawn if they are taken, as by the Kubernetes API server
)

// generateName names a Job that has only a generateName.
func (e *Engine) generateName(object *batchv1.Job) {
	if object.Name != "" || object.GenerateName == "" {
		return
	}
	for range maxNameDraws {
		object.Name = fmt.Sprintf("%.*s", maxGeneratedPrefix, object.GenerateName) + e.randomSuffix()
		if e.jobs[jobKey(object)] == nil {
			return
		}
	}
}

// initializeJob sets what the API server's registry sets in a new Job: identity, status, selector and labels of its Pods.
func (e *Engine) initializeJob(object *batchv1.Job) {
	object.UID = e.newUID()
	object.CreationTimestamp = wellknown.APITime(e.now)
	object.Generation = 1
	object.Status = batchv1.JobStatus{}
	uid := string(object.UID)
	if object.Spec.Selector == nil {
		object.Spec.Selector = &metav1.LabelSelector{MatchLabels: map[string]string{wellknown.JobUID: uid}}
	}
	if object.Spec.Template.Labels == nil {
		object.Spec.Template.Labels = map[string]string{}
	}
	labels := object.Spec.Template.Labels
	labels[wellknown.JobUID] = uid
	labels[wellknown.JobName] = object.Name
	labels["controller-uid"] = uid   // the older form of the label
	labels["job-name"] = object.Name // the older form of the label
}

// exceedsLimits reports whether a new Job is too much beside the stored objects and the Pods that are still to be created.
func (e *Engine) exceedsLimits(created *job) bool {
	pods, bytes := e.pendingPods()
	if e.store.Len(store.Pods)+pods+len(created.indexes) > e.cfg.MaxPods {
		return true
	}
	return e.cfg.MaxObjects > 0 && e.store.ObjectCost()+bytes+created.cost() > e.cfg.MaxObjects
}

// pendingPods returns how many Pods the Jobs in the backlog still create, and what they will cost.
func (e *Engine) pendingPods() (count int, bytes int64) {
	for _, job := range e.backlog {
		pending := len(job.indexes) - job.nextIndex
		count += pending
		bytes += job.podCost * int64(pending)
	}
	return count, bytes
}

// minFinishedRetention is how many seconds a finished Job is kept at least, so that its outcome can be read.
const minFinishedRetention = 30.0

// evictFinishedJob removes the Job that finished first, and reports whether it did. A dry run removes nothing.
func (e *Engine) evictFinishedJob(dryRun bool) bool {
	for len(e.finishedJobs) > 0 {
		oldest := e.finishedJobs[0]
		if oldest.deleted || e.jobs[oldest.key] != oldest {
			e.finishedJobs = e.finishedJobs[1:]
			continue
		}
		if dryRun || e.now-oldest.finishedAt < minFinishedRetention {
			return false
		}
		e.removeJob(oldest, metav1.DeletePropagationBackground)
		e.finishedJobs = e.finishedJobs[1:]
		return true
	}
	return false
}

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
