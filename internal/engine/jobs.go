package engine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/retry"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// job is a Job with its tasks, one for each index.
type job struct {
	key                     string
	uid                     types.UID
	object                  *batchv1.Job // the last stored state
	class, tenant           int
	service                 placer.ServiceID
	cores, memory           float64
	indexes                 []indexState
	nextIndex               int // first index not begun
	active                  int
	ready                   int
	succeeded               int
	failed                  int // ends of tasks that were no success
	exhausted               int // indexes that will not be asked again
	settled                 map[string]int
	mayHaveRun              bool
	pods                    map[string]struct{} // names of all Pods in the store
	dirty                   bool
	queued                  bool
	deleted                 bool // deleted; Pods may be left
	finished                bool
	finishedAt              float64
	podCost                 int64 // of each of its Pods, as store.Cost counts
	suspended               bool
	foregroundDeletion      bool
	adopted                 bool
	manifestText            string
	deadlineTimer, ttlTimer *timer
	failureReason           string // reason to fail the Job as a whole
	failureMessage          string
}

type indexState struct {
	task        *task
	done        bool
	settled     bool
	retryBudget int
	started     bool
	retryTimer  *timer
}

func valueOr[T any](pointer *T, otherwise T) T {
	if pointer == nil {
		return otherwise
	}
	return *pointer
}

const defaultBackoffLimit = 6

// taskCount is the number of tasks of a Job.
func taskCount(object *batchv1.Job) int {
	return int(valueOr(object.Spec.Completions, valueOr(object.Spec.Parallelism, 1)))
}

// classFromLabels finds the class that a template names.
func (e *Engine) classFromLabels(labels map[string]string) (int, *InvalidError) {
	name, ok := labels[wellknown.Class]
	if !ok {
		return e.cfg.DefaultClass, nil
	}
	if i := slices.Index(e.cfg.Classes, name); i >= 0 {
		return i, nil
	}
	return 0, &InvalidError{"spec.template.metadata.labels[" + wellknown.Class + "]", fmt.Sprintf("no such class; there are %v", e.cfg.Classes), name}
}

// newJob fills in what a Job asks for, or says why it cannot be taken.
func (e *Engine) newJob(object *batchv1.Job) (*job, error) {
	labels := object.Spec.Template.Labels
	class, invalid := e.classFromLabels(labels)
	if invalid != nil {
		return nil, invalid
	}
	tenant, ok := e.tenantOf(object.Namespace)
	if !ok {
		return nil, &InvalidError{"metadata.namespace", "no such tenant", object.Namespace}
	}
	tasks := taskCount(object)
	if tasks < 0 || tasks > e.cfg.MaxPods {
		return nil, &InvalidError{"spec.completions", fmt.Sprintf("must be 0 to %d", e.cfg.MaxPods), tasks}
	}
	job := &job{key: jobKey(object), uid: object.UID, object: object, class: class, tenant: tenant, settled: map[string]int{},
		pods: map[string]struct{}{}, indexes: make([]indexState, tasks)}
	job.cores, job.memory = wellknown.Requests(&object.Spec.Template.Spec)
	service := labels[wellknown.Service]
	if service == "" {
		service = object.Name
	}
	job.service = serviceID(object.Namespace, service)
	job.suspended = valueOr(object.Spec.Suspend, false)
	budget := int(max(valueOr(object.Spec.BackoffLimit, defaultBackoffLimit), 0))
	for i := range job.indexes {
		job.indexes[i].retryBudget = budget
	}
	return job, nil
}

// CreateJob takes a Job that the API has checked and defaulted. With dry it only says what would come of it.
func (e *Engine) CreateJob(now float64, object *batchv1.Job, dry bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	object = object.DeepCopy()
	if object.Name == "" && object.GenerateName != "" {
		// The Kubernetes API server draws again when a name is taken.
		for range 8 {
			object.Name = fmt.Sprintf("%.248s", object.GenerateName) + e.randomSuffix()
			if e.jobs[jobKey(object)] == nil {
				break
			}
		}
	}
	if e.jobs[jobKey(object)] != nil {
		return nil, ErrExists
	}
	if e.stopping {
		return nil, ErrStopping
	}
	object.UID = e.newUID()
	object.CreationTimestamp = wellknown.APITime(e.now)
	object.Generation = 1
	object.Status = batchv1.JobStatus{}
	if object.Spec.Selector == nil {
		object.Spec.Selector = &metav1.LabelSelector{MatchLabels: map[string]string{wellknown.JobUID: string(object.UID)}}
	}
	if object.Spec.Template.Labels == nil {
		object.Spec.Template.Labels = map[string]string{}
	}
	for key, value := range map[string]string{wellknown.JobUID: string(object.UID), wellknown.JobName: object.Name, "controller-uid": string(object.UID),
		"job-name": object.Name} {
		object.Spec.Template.Labels[key] = value
	}
	job, err := e.newJob(object)
	if err != nil {
		return nil, err
	}
	job.podCost = store.Cost(object)
	if need := job.podCost * int64(1+len(job.indexes)); e.cfg.MaxObjects > 0 && need > e.cfg.MaxObjects {
		return nil, &InvalidError{"spec.template", fmt.Sprintf("%d tasks of this size take %d bytes: at most %d", len(job.indexes), need, e.cfg.MaxObjects),
			len(job.indexes)}
	}
	for e.exceedsLimits(job) {
		if !e.evictFinishedJob(dry) {
			e.Stats.JobsRejected++
			return nil, ErrTooMany
		}
	}
	if dry {
		return object, nil
	}
	e.Stats.JobsCreated++
	e.jobs[job.key] = job
	e.store.Put(store.Jobs, object)
	job.object = object
	e.startJob(job)
	return e.store.Get(store.Jobs, object.Namespace, object.Name).(*batchv1.Job), nil
}

// exceedsLimits says whether a Job is too much beside what is held.
func (e *Engine) exceedsLimits(job *job) bool {
	pods, bytes := e.pendingPods()
	return e.store.Len(store.Pods)+pods+len(job.indexes) > e.cfg.MaxPods ||
		e.cfg.MaxObjects > 0 && e.store.ObjectCost()+bytes+job.podCost*int64(1+len(job.indexes)) > e.cfg.MaxObjects
}

// minFinishedRetention is how long a finished Job stays, so that its outcome can be read, even if room is wanted.
const minFinishedRetention = 30.0 // seconds

// evictFinishedJob takes away the Job that finished first, and says whether there was one. A limit that is full of what is over must let go.
func (e *Engine) evictFinishedJob(dry bool) bool {
	for len(e.finishedJobs) > 0 {
		job := e.finishedJobs[0]
		if !job.deleted && e.jobs[job.key] == job {
			if dry || e.now-job.finishedAt < minFinishedRetention {
				return false
			}
			e.removeJob(job, metav1.DeletePropagationBackground)
			e.finishedJobs = e.finishedJobs[1:]
			return true
		}
		e.finishedJobs = e.finishedJobs[1:]
	}
	return false
}

// jobFinished notes that a Job has finished.
func (e *Engine) jobFinished(finished *job) {
	finished.finished, finished.finishedAt = true, e.now
	e.Stats.JobsFinished++
	if len(e.finishedJobs) > 2*len(e.jobs)+16 {
		e.finishedJobs = slices.DeleteFunc(e.finishedJobs, func(finished *job) bool { return finished.deleted })
	}
	e.finishedJobs = append(e.finishedJobs, finished)
}

// pendingPods is the number of tasks that were taken and have no Pod yet, and what they will take.
func (e *Engine) pendingPods() (count int, bytes int64) {
	for _, job := range e.backlog {
		count += len(job.indexes) - job.nextIndex
		bytes += job.podCost * int64(len(job.indexes)-job.nextIndex)
	}
	return count, bytes
}

func (e *Engine) startJob(job *job) {
	if seconds := job.object.Spec.ActiveDeadlineSeconds; seconds != nil && !job.suspended {
		e.stopTimer(job.deadlineTimer)
		job.deadlineTimer = e.runAfter(float64(*seconds), func() { e.failJob(job, "DeadlineExceeded", "Job was active longer than specified deadline") })
	}
	e.enqueueJob(job)
	e.markJobDirty(job)
}

func (e *Engine) enqueueJob(job *job) {
	if !job.queued && !job.deleted && !job.suspended && job.failureReason == "" && job.nextIndex < len(job.indexes) {
		job.queued = true
		e.backlog = append(e.backlog, job)
	}
	if len(e.backlog) > 0 && !e.startScheduled {
		e.startScheduled = true
		e.runAfter(0, e.startTasks)
	}
}

const startsPerTurn = 32 // tasks that a Job may begin before the next Job's turn

// startTasks begins tasks of Jobs in turn, a bounded number in one call, so that a large Job holds up nobody.
func (e *Engine) startTasks() {
	e.startScheduled = false
	left := e.cfg.MaxStartsPerCall
	for left > 0 && len(e.backlog) > 0 {
		job := e.backlog[0]
		e.backlog = e.backlog[1:]
		job.queued = false
		if job.deleted || job.suspended || job.failureReason != "" {
			continue
		}
		limit := int(valueOr(job.object.Spec.Parallelism, 1))
		for started := 0; started < startsPerTurn && left > 0 && job.nextIndex < len(job.indexes) && job.active < limit; started++ {
			i := job.nextIndex
			job.nextIndex++
			if job.indexes[i].started || job.indexes[i].done {
				continue
			}
			e.startTask(job, i)
			left--
		}
		e.drainEvents()
		if job.nextIndex < len(job.indexes) && job.active < limit {
			e.enqueueJob(job)
		}
	}
	if len(e.backlog) > 0 && !e.startScheduled {
		e.startScheduled = true
		e.runAfter(0, e.startTasks)
	}
}

// startTask makes the Pod of an index and begins to ask for it.
func (e *Engine) startTask(job *job, i int) {
	state := &job.indexes[i]
	state.started, state.retryTimer = true, nil
	task := &task{uid: e.newUID(), namespace: job.object.Namespace, job: job, index: i, class: job.class, tenant: job.tenant,
		service: job.service, cores: job.cores, memory: job.memory, retryBudget: state.retryBudget}
	task.name = fmt.Sprintf("%.52s-%d-%s", job.object.Name, i, e.randomSuffix())
	task.deadline = e.now + e.cfg.Retry.MaxWait(e.cfg.Placer.Classes[job.class].Deadline, task.retryBudget)
	if job.deadlineTimer.Pending() {
		task.deadline = min(task.deadline, job.deadlineTimer.At)
	}
	state.task = task
	job.active++
	pod := &corev1.Pod{Spec: job.object.Spec.Template.Spec} // shared: what is in the store is never changed
	pod.Name, pod.Namespace, pod.UID = task.name, task.namespace, task.uid
	pod.GenerateName = fmt.Sprintf("%s-%d-", job.object.Name, i)
	pod.Labels = maps.Clone(job.object.Spec.Template.Labels)
	pod.Annotations = maps.Clone(job.object.Spec.Template.Annotations)
	if pod.Labels == nil {
		pod.Labels = map[string]string{}
	}
	if pod.Annotations == nil {
		pod.Annotations = map[string]string{}
	}
	pod.Labels[wellknown.Index] = strconv.Itoa(i)
	pod.Annotations[wellknown.Index] = strconv.Itoa(i)
	pod.Annotations[wellknown.OutcomeDeadline] = wellknown.FormatTimestamp(task.deadline)
	pod.CreationTimestamp = wellknown.APITime(e.now)
	pod.OwnerReferences = []metav1.OwnerReference{jobOwnerReference(job)}
	pod.Status.Phase = corev1.PodPending
	pod.Status.QOSClass = corev1.PodQOSBurstable
	job.pods[task.name] = struct{}{}
	e.registerTask(task, pod)
	if e.stopping {
		// Never requested: the placer would handle the request and make an attempt before it handled a withdrawal of it.
		task.phase = phaseWaiting
		e.settle(task, wellknown.Rejected, "the scheduler stops")
	} else {
		e.requestPlacement(task)
	}
	e.markJobDirty(job)
}

func jobOwnerReference(job *job) metav1.OwnerReference {
	yes := true
	return metav1.OwnerReference{APIVersion: "batch/v1", Kind: "Job", Name: job.object.Name, UID: job.uid, Controller: &yes,
		BlockOwnerDeletion: &yes}
}

// manifest is the Job as machines keep it with each Pod, so that a scheduler that starts anew finds out what it is for.
func (j *job) manifest() string {
	if j.manifestText == "" {
		object := batchv1.Job{ObjectMeta: metav1.ObjectMeta{Name: j.object.Name, Namespace: j.object.Namespace, UID: j.uid,
			Labels: j.object.Labels, CreationTimestamp: j.object.CreationTimestamp}, Spec: j.object.Spec}
		encoded, err := json.Marshal(&object)
		if err != nil {
			return ""
		}
		j.manifestText = string(encoded)
	}
	return j.manifestText
}

// recordSettled counts the first outcome of each index.
func (e *Engine) recordSettled(task *task, reason string) {
	job := task.job
	state := &job.indexes[task.index]
	if state.settled || task.stopReason == "Suspended" || state.task != task {
		return
	}
	state.settled = true
	job.settled[reason]++
	job.mayHaveRun = job.mayHaveRun || task.everMayHaveRun
	e.markJobDirty(job)
}

// jobTaskEnded counts the end of a task and has it asked for again where the Job wants that.
func (e *Engine) jobTaskEnded(task *task, ok bool, cause retry.Cause) {
	job := task.job
	state := &job.indexes[task.index]
	if state.task != task {
		return
	}
	state.task = nil
	job.active--
	e.markJobDirty(job)
	switch {
	case ok:
		job.succeeded++
		state.done = true
	case job.deleted:
	case job.suspended && task.stopReason == "Suspended":
		state.started = false
		job.nextIndex = min(job.nextIndex, task.index)
	default:
		job.failed++
		again := e.scheduleRerun(job, state, task, cause)
		if !again {
			state.done = true
			job.exhausted++
		}
	}
	e.enqueueJob(job)
	e.finishJobIfDone(job)
}

// scheduleRerun has an index asked for again after its task ended without success.
func (e *Engine) scheduleRerun(job *job, state *indexState, task *task, cause retry.Cause) bool {
	if job.failureReason != "" || cause == retry.Rejected && task.stopReason == "" || e.stopping {
		return false // the owner asked as often as it may before it settled
	}
	idempotency := e.cfg.Placer.Classes[job.class].Idempotency
	if idempotency == placer.NonIdempotent && (cause == retry.Failed || task.mayHaveRun) {
		return false // it ran to its end, or may still have a copy that nobody knows of
	}
	budget := task.retryBudget
	if cause == retry.Migrated || task.stopReason != "" {
		budget = max(budget, 1) // moves on our own order cost nothing
	}
	// The end is known, so there is no doubt left; the owner only chooses the wait.
	decision, retryAt := e.cfg.Retry.Next(retry.State{Idempotency: placer.Idempotent, Cause: cause, Now: e.now, Deadline: e.now + 3600,
		Attempts: max(int(valueOr(job.object.Spec.BackoffLimit, defaultBackoffLimit))-task.retryBudget+1, 1), RetriesLeft: budget, Jitter: e.rng.Float64()})
	if decision != retry.RetryAt {
		return false
	}
	if idempotency != placer.Idempotent {
		retryAt = max(retryAt, e.now+e.cfg.Retry.UnknownOutcomeTimeout)
	}
	state.retryBudget = task.retryBudget
	if budget == task.retryBudget {
		state.retryBudget--
	}
	i := task.index
	state.retryTimer = e.runAt(retryAt, func() {
		if !job.deleted && !job.suspended && job.failureReason == "" && job.indexes[i].task == nil {
			e.startTask(job, i)
			e.drainEvents()
		}
	})
	return true
}

func (e *Engine) markJobDirty(job *job) {
	if !job.dirty {
		job.dirty = true
		e.dirtyJobs = append(e.dirtyJobs, job)
	}
}

// finishJobIfDone ends a Job whose tasks have all ended.
func (e *Engine) finishJobIfDone(job *job) {
	if job.finished || job.deleted || job.active > 0 || job.suspended && job.failureReason == "" {
		return
	}
	if job.failureReason == "" && job.succeeded+job.exhausted < len(job.indexes) {
		return
	}
	e.jobFinished(job)
	e.stopTimer(job.deadlineTimer)
	e.markJobDirty(job)
	retention := e.cfg.FinishedTTL
	if ttlSeconds := job.object.Spec.TTLSecondsAfterFinished; ttlSeconds != nil {
		retention = float64(*ttlSeconds)
	} else if retention <= 0 {
		return
	}
	job.ttlTimer = e.runAfter(retention, func() {
		if e.jobs[job.key] == job {
			e.removeJob(job, metav1.DeletePropagationBackground)
		}
	})
}

// failJob ends a Job as a whole: what is active is stopped.
func (e *Engine) failJob(job *job, reason, message string) {
	if job.finished || job.deleted || job.failureReason != "" {
		return
	}
	job.failureReason, job.failureMessage = reason, message
	for i := range job.indexes {
		e.stopTimer(job.indexes[i].retryTimer)
		if task := job.indexes[i].task; task != nil {
			e.stopTask(task, reason)
		}
	}
	e.drainEvents()
	e.finishJobIfDone(job)
	e.markJobDirty(job)
}

// writeJobStatus writes a Job's status if it changed.
func (e *Engine) writeJobStatus(job *job) {
	if job.deleted || e.jobs[job.key] != job {
		return
	}
	if len(job.indexes) == 0 && !job.finished && !job.suspended {
		e.jobFinished(job)
	}
	// A spec may be large, and is not changed here.
	next := *job.object
	updated := &next
	job.object.ObjectMeta.DeepCopyInto(&updated.ObjectMeta)
	job.object.Status.DeepCopyInto(&updated.Status)
	status := &updated.Status
	now := wellknown.APITime(e.now)
	if status.StartTime == nil && !job.suspended {
		status.StartTime = &now
	}
	status.Active, status.Succeeded, status.Failed = int32(job.active), int32(job.succeeded), int32(job.failed)
	status.CompletedIndexes = ""
	total := 0
	for _, settled := range job.settled {
		total += settled
	}
	if total == len(job.indexes) {
		reason := wellknown.Failed
		switch {
		case job.settled[wellknown.Placed] == total:
			reason = wellknown.Placed
		case job.settled[wellknown.Placed] == 0 && job.settled[wellknown.Failed] == 0 && !job.mayHaveRun:
			reason = wellknown.Rejected
		}
		setJobCondition(status, wellknown.Settled, reason, fmt.Sprintf("%d placed, %d refused, %d failed", job.settled[wellknown.Placed],
			job.settled[wellknown.Rejected], job.settled[wellknown.Failed]), now, true)
	}
	if job.suspended {
		setJobCondition(status, batchv1.JobSuspended, "JobSuspended", "Job suspended", now, false)
	} else {
		for i := range status.Conditions {
			if condition := &status.Conditions[i]; condition.Type == batchv1.JobSuspended && condition.Status == corev1.ConditionTrue {
				condition.Status, condition.Reason, condition.Message, condition.LastTransitionTime = corev1.ConditionFalse, "JobResumed", "Job resumed", now
			}
		}
	}
	if job.finished {
		switch {
		case job.failureReason != "":
			setJobCondition(status, batchv1.JobFailed, job.failureReason, job.failureMessage, now, true)
		case job.exhausted > 0:
			setJobCondition(status, batchv1.JobFailed, "FailedIndexes", fmt.Sprintf("%d of %d tasks did not succeed", job.exhausted,
				len(job.indexes)), now, true)
		default:
			setJobCondition(status, batchv1.JobComplete, "CompletionsReached", "Reached expected number of succeeded pods", now, true)
			if status.CompletionTime == nil {
				status.CompletionTime = &now
			}
		}
	}
	if equality.Semantic.DeepEqual(&updated.Status, &job.object.Status) {
		return
	}
	job.object = updated
	e.store.Put(store.Jobs, updated)
}

// setJobCondition sets a condition. One that is final is never changed once it stands.
func setJobCondition(status *batchv1.JobStatus, kind batchv1.JobConditionType, reason, message string, now metav1.Time, final bool) {
	condition := batchv1.JobCondition{Type: kind, Status: corev1.ConditionTrue, Reason: reason, Message: message,
		LastProbeTime: now, LastTransitionTime: now}
	for i := range status.Conditions {
		if status.Conditions[i].Type == kind {
			if !final && status.Conditions[i].Status != corev1.ConditionTrue {
				status.Conditions[i] = condition
			}
			return
		}
	}
	status.Conditions = append(status.Conditions, condition)
}

// UpdateJob replaces the parts of a Job that may change: labels, annotations, suspend, parallelism, time to live and active
// deadline. o.ResourceVersion, if set, must be the present one.
func (e *Engine) UpdateJob(now float64, update *batchv1.Job, dry bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	job := e.jobs[jobKey(update)]
	if job == nil {
		return nil, ErrNotFound
	}
	if update.ResourceVersion != "" && update.ResourceVersion != job.object.ResourceVersion || update.UID != "" && update.UID != job.uid {
		return nil, ErrConflict
	}
	current := job.object
	next := current.DeepCopy()
	next.Labels, next.Annotations = maps.Clone(update.Labels), maps.Clone(update.Annotations)
	next.Spec.Suspend, next.Spec.Parallelism = update.Spec.Suspend, update.Spec.Parallelism
	next.Spec.TTLSecondsAfterFinished, next.Spec.ActiveDeadlineSeconds = update.Spec.TTLSecondsAfterFinished, update.Spec.ActiveDeadlineSeconds
	// What is left may not differ.
	rest := update.Spec
	rest.Suspend, rest.Parallelism = next.Spec.Suspend, next.Spec.Parallelism
	rest.TTLSecondsAfterFinished, rest.ActiveDeadlineSeconds = next.Spec.TTLSecondsAfterFinished, next.Spec.ActiveDeadlineSeconds
	for _, field := range []struct {
		name string
		same bool
	}{
		{"spec.template", equality.Semantic.DeepEqual(&rest.Template, &current.Spec.Template)},
		{"spec.completions", equality.Semantic.DeepEqual(rest.Completions, current.Spec.Completions)},
		{"spec.selector", equality.Semantic.DeepEqual(rest.Selector, current.Spec.Selector)},
		{"spec.completionMode", equality.Semantic.DeepEqual(rest.CompletionMode, current.Spec.CompletionMode)},
		{"spec.backoffLimit", equality.Semantic.DeepEqual(rest.BackoffLimit, current.Spec.BackoffLimit)},
	} {
		if !field.same {
			return nil, &InvalidError{field.name, "field is immutable", "changed"}
		}
	}
	if parallelism := next.Spec.Parallelism; parallelism != nil && *parallelism < 0 {
		return nil, &InvalidError{"spec.parallelism", "must be 0 or more", *parallelism}
	}
	if equality.Semantic.DeepEqual(next, current) {
		return current, nil
	}
	if !equality.Semantic.DeepEqual(&next.Spec, &current.Spec) {
		next.Generation++
	}
	if dry {
		return next, nil
	}
	job.object, job.manifestText = next, ""
	e.store.Put(store.Jobs, next)
	suspend := valueOr(next.Spec.Suspend, false)
	switch {
	case suspend && !job.suspended && !job.finished:
		job.suspended = true
		e.stopTimer(job.deadlineTimer)
		for i := range job.indexes {
			e.stopTimer(job.indexes[i].retryTimer)
			task := job.indexes[i].task
			if task == nil {
				if job.indexes[i].started && !job.indexes[i].done {
					job.indexes[i].started = false
					job.nextIndex = min(job.nextIndex, i)
				}
				continue
			}
			e.deleteTaskPod(task, "Suspended")
		}
	case !suspend && job.suspended:
		job.suspended = false
		e.startJob(job)
	default:
		e.enqueueJob(job)
	}
	e.markJobDirty(job)
	return e.jobs[job.key].object, nil
}

func (e *Engine) deleteTaskPod(task *task, reason string) {
	if pod := e.podOf(task); pod != nil {
		e.deletePod(pod, reason)
	}
}

// DeleteJob takes a Job away, with its Pods as the policy says; "" is Background.
func (e *Engine) DeleteJob(now float64, namespace, name string, uid types.UID, resourceVersion string, propagation metav1.DeletionPropagation) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	job := e.jobs[store.Key(namespace, name)]
	if job == nil {
		return nil, ErrNotFound
	}
	if uid != "" && uid != job.uid || resourceVersion != "" && resourceVersion != job.object.ResourceVersion {
		return nil, ErrConflict
	}
	e.removeJob(job, propagation)
	return job.object, nil
}

func (e *Engine) removeJob(job *job, propagation metav1.DeletionPropagation) {
	if job.deleted {
		return
	}
	job.deleted = true
	e.stopTimer(job.deadlineTimer)
	e.stopTimer(job.ttlTimer)
	for i := range job.indexes {
		e.stopTimer(job.indexes[i].retryTimer)
	}
	names := slices.Sorted(maps.Keys(job.pods))
	if propagation == metav1.DeletePropagationOrphan {
		for _, name := range names {
			object := e.store.Get(store.Pods, job.object.Namespace, name)
			if object == nil {
				continue
			}
			pod := object.(*corev1.Pod).DeepCopy()
			pod.OwnerReferences = nil
			e.store.Put(store.Pods, pod)
			if task := e.tasks[pod.UID]; task != nil {
				task.job = nil
			}
		}
		job.pods = nil
	}
	if propagation == metav1.DeletePropagationForeground && len(names) > 0 {
		job.foregroundDeletion = true
		object := job.object.DeepCopy()
		stamp := wellknown.APITime(e.now)
		object.DeletionTimestamp = &stamp
		object.Finalizers = append(object.Finalizers, metav1.FinalizerDeleteDependents)
		e.store.Put(store.Jobs, object)
		job.object = object
	} else {
		e.deleteJobObject(job)
	}
	if propagation != metav1.DeletePropagationOrphan {
		for _, name := range names {
			if object := e.store.Get(store.Pods, job.object.Namespace, name); object != nil {
				e.deletePod(object.(*corev1.Pod), "Deleted")
			}
		}
	}
	e.drainEvents()
}

func (e *Engine) deleteJobObject(job *job) {
	if e.jobs[job.key] == job {
		delete(e.jobs, job.key)
		e.store.Delete(store.Jobs, job.object.Namespace, job.object.Name)
	}
}

func (j *job) removePod(name string) { delete(j.pods, name) }

func (e *Engine) podRemoved(task *task) {
	if task.job != nil {
		task.job.removePod(task.name)
		e.finishForegroundDeletion(task.job)
	}
}

// finishForegroundDeletion finishes a foreground deletion when the last Pod is gone.
func (e *Engine) finishForegroundDeletion(job *job) {
	if job.foregroundDeletion && len(job.pods) == 0 {
		job.foregroundDeletion = false
		e.deleteJobObject(job)
	}
}

func (e *Engine) jobOfPod(pod *corev1.Pod) *job {
	for i := range pod.OwnerReferences {
		reference := &pod.OwnerReferences[i]
		if reference.Kind == "Job" {
			if job := e.jobs[store.Key(pod.Namespace, reference.Name)]; job != nil && job.uid == reference.UID {
				return job
			}
		}
	}
	return nil
}
