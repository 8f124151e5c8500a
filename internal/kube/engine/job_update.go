package engine

import (
	"maps"
	"slices"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
)

// UpdateJob replaces the parts of a Job that may change: labels, annotations, suspend, parallelism, ttlSecondsAfterFinished and
// activeDeadlineSeconds. The update's UID and resource version are not checked if they are empty. It returns the Job as stored; a dry run
// only returns what would be stored. Errors: ErrNotFound, ErrConflict, *InvalidError.
func (e *Engine) UpdateJob(now float64, update *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	job := e.jobs[jobKey(update)]
	if job == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(job.object, update.UID, update.ResourceVersion); err != nil {
		return nil, err
	}
	if invalid := checkJobUpdate(job.object, update); invalid != nil {
		return nil, invalid
	}
	next := updatedJob(job.object, update)
	if equality.Semantic.DeepEqual(next, job.object) {
		return job.object, nil
	}
	if !equality.Semantic.DeepEqual(&next.Spec, &job.object.Spec) {
		next.Generation++
	}
	if dryRun {
		return next, nil
	}
	job.object = next
	job.manifestText = ""
	e.store.Put(store.Jobs, next)
	e.applySuspend(job, valueOr(next.Spec.Suspend, false))
	e.markJobDirty(job)
	return e.jobs[job.key].object, nil
}

// updatedJob returns a copy of a Job with the changeable parts of an update.
func updatedJob(current, update *batchv1.Job) *batchv1.Job {
	next := current.DeepCopy()
	next.Labels = maps.Clone(update.Labels)
	next.Annotations = maps.Clone(update.Annotations)
	next.Spec.Suspend = update.Spec.Suspend
	next.Spec.Parallelism = update.Spec.Parallelism
	next.Spec.TTLSecondsAfterFinished = update.Spec.TTLSecondsAfterFinished
	next.Spec.ActiveDeadlineSeconds = update.Spec.ActiveDeadlineSeconds
	return next
}

// checkJobUpdate returns an error if an update changes what must not change, or sets what is not valid.
func checkJobUpdate(current, update *batchv1.Job) *InvalidError {
	for _, field := range []struct {
		path string
		same bool
	}{
		{"spec.template", equality.Semantic.DeepEqual(&update.Spec.Template, &current.Spec.Template)},
		{"spec.completions", equality.Semantic.DeepEqual(update.Spec.Completions, current.Spec.Completions)},
		{"spec.selector", equality.Semantic.DeepEqual(update.Spec.Selector, current.Spec.Selector)},
		{"spec.completionMode", equality.Semantic.DeepEqual(update.Spec.CompletionMode, current.Spec.CompletionMode)},
		{"spec.backoffLimit", equality.Semantic.DeepEqual(update.Spec.BackoffLimit, current.Spec.BackoffLimit)},
	} {
		if !field.same {
			return &InvalidError{Field: field.path, Detail: "field is immutable", Value: "changed"}
		}
	}
	if parallelism := update.Spec.Parallelism; parallelism != nil && *parallelism < 0 {
		return &InvalidError{Field: "spec.parallelism", Detail: "must be 0 or more", Value: *parallelism}
	}
	return nil
}

// applySuspend suspends, resumes or goes on with a Job after an update.
func (e *Engine) applySuspend(job *job, suspend bool) {
	switch {
	case suspend && !job.suspended && !job.finished:
		e.suspendJob(job)
	case !suspend && job.suspended:
		job.suspended = false
		e.startJob(job)
	default:
		e.enqueueJob(job)
	}
}

// suspendJob deletes the Pods of a Job's tasks, whose indexes are started again when the Job is resumed.
func (e *Engine) suspendJob(job *job) {
	job.suspended = true
	e.stopTimer(job.deadlineTimer)
	for i := range job.indexes {
		index := &job.indexes[i]
		e.stopTimer(index.retryTimer)
		switch index.state {
		case indexActive:
			e.deleteTaskPod(index.task, stopSuspended)
		case indexRetrying:
			job.restartIndex(i)
		}
	}
}

// DeleteJob deletes a Job, and its Pods as the policy says; an empty policy means Background. It returns the Job as it was last stored.
// An empty uid or resourceVersion is not checked. Errors: ErrNotFound, ErrConflict.
func (e *Engine) DeleteJob(now float64, namespace, name string, uid types.UID, resourceVersion string,
	propagation metav1.DeletionPropagation) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	job := e.jobs[store.Key(namespace, name)]
	if job == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(job.object, uid, resourceVersion); err != nil {
		return nil, err
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
	pods := slices.Sorted(maps.Keys(job.pods))
	switch {
	case propagation == metav1.DeletePropagationOrphan:
		e.orphanPods(job, pods)
		e.deleteJobObject(job)
	case propagation == metav1.DeletePropagationForeground && len(pods) > 0:
		e.startForegroundDeletion(job)
		e.deletePodsOf(job, pods)
	default:
		e.deleteJobObject(job)
		e.deletePodsOf(job, pods)
	}
	e.drainEvents()
}

// orphanPods removes the owner references of a Job's Pods, and detaches their tasks from the Job.
func (e *Engine) orphanPods(job *job, names []string) {
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

func (e *Engine) deletePodsOf(job *job, names []string) {
	for _, name := range names {
		if object := e.store.Get(store.Pods, job.object.Namespace, name); object != nil {
			e.deletePod(object.(*corev1.Pod), stopDeleted)
		}
	}
}

// startForegroundDeletion marks the stored Job as deleted. It is removed with its last Pod.
func (e *Engine) startForegroundDeletion(job *job) {
	job.foregroundDeletion = true
	marked := job.object.DeepCopy()
	now := wellknown.APITime(e.now)
	marked.DeletionTimestamp = &now
	marked.Finalizers = append(marked.Finalizers, metav1.FinalizerDeleteDependents)
	e.store.Put(store.Jobs, marked)
	job.object = marked
}

// finishForegroundDeletion removes a Job that was deleted in the foreground if its last Pod is removed.
func (e *Engine) finishForegroundDeletion(job *job) {
	if job.foregroundDeletion && len(job.pods) == 0 {
		job.foregroundDeletion = false
		e.deleteJobObject(job)
	}
}

func (e *Engine) deleteJobObject(job *job) {
	if e.jobs[job.key] == job {
		delete(e.jobs, job.key)
		e.store.Delete(store.Jobs, job.object.Namespace, job.object.Name)
	}
}

func (j *job) removePod(name string) { delete(j.pods, name) }

// podRemoved records that the Pod of a task was removed from the store.
func (e *Engine) podRemoved(task *task) {
	if task.job != nil {
		task.job.removePod(task.name)
		e.finishForegroundDeletion(task.job)
	}
}

// jobOfPod returns the Job that owns a Pod, nil if it is unknown.
func (e *Engine) jobOfPod(pod *corev1.Pod) *job {
	for i := range pod.OwnerReferences {
		reference := &pod.OwnerReferences[i]
		if reference.Kind != "Job" {
			continue
		}
		if job := e.jobs[store.Key(pod.Namespace, reference.Name)]; job != nil && job.uid == reference.UID {
			return job
		}
	}
	return nil
}
