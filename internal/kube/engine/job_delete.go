package engine

import (
	"maps"
	"slices"

	batchv1 "k8s.io/api/batch/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
)

// deleteByName implements Engine.DeleteJob.
func (c *jobController) deleteByName(namespace, name string, uid types.UID, resourceVersion string,
	propagation metav1.DeletionPropagation) (*batchv1.Job, error) {
	job := c.jobs.get(store.Key(namespace, name))
	if job == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(job.object, uid, resourceVersion); err != nil {
		return nil, err
	}
	c.remove(job, propagation)
	return job.object, nil
}

// remove deletes a Job, and handles its Pods according to the propagation policy. It does nothing if the Job
// is already deleted.
func (c *jobController) remove(job *job, propagation metav1.DeletionPropagation) {
	if job.isDeleted() {
		return
	}
	c.stopTimer(job.deadlineTimer)
	c.stopTimer(job.ttlTimer)
	for i := range job.indexes.len() {
		c.stopTimer(job.indexes.at(i).retryTimer)
	}
	pods := slices.Sorted(maps.Keys(job.pods))
	switch {
	case propagation == metav1.DeletePropagationOrphan:
		job.setDeletion(jobDeleted)
		c.orphanPods(job, pods)
		c.deleteObject(job)
	case propagation == metav1.DeletePropagationForeground && len(pods) > 0:
		c.startForegroundDeletion(job)
		c.deletePodsOf(job, pods)
	default:
		job.setDeletion(jobDeleted)
		c.deleteObject(job)
		c.deletePodsOf(job, pods)
	}
	c.drainEvents()
}

// orphanPods removes the owner references from the Pods of a Job, and detaches the tasks of these Pods from
// the Job.
func (c *jobController) orphanPods(job *job, names []string) {
	for _, name := range names {
		storedPod := c.publisher.storedPod(job.object.Namespace, name)
		if storedPod == nil {
			continue
		}
		pod := storedPod.DeepCopy()
		pod.OwnerReferences = nil
		c.publisher.putPod(pod)
		if task := c.tasks.get(pod.UID); task != nil {
			task.leaveJob()
		}
	}
	job.releasePods()
}

// deletePodsOf deletes the Pods of a Job that have the given names. It ignores Pods that are not stored.
func (c *jobController) deletePodsOf(job *job, names []string) {
	for _, name := range names {
		if pod := c.publisher.storedPod(job.object.Namespace, name); pod != nil {
			c.podController.delete(pod, stopDeleted)
		}
	}
}

// startForegroundDeletion marks the stored Job as being deleted. The Job stays in the store until its last
// Pod has been removed.
func (c *jobController) startForegroundDeletion(job *job) {
	job.setDeletion(jobDeletingForeground)
	updatedObject := job.object.DeepCopy()
	now := c.apiNow()
	updatedObject.DeletionTimestamp = &now
	updatedObject.Finalizers = append(updatedObject.Finalizers, metav1.FinalizerDeleteDependents)
	c.publisher.putJob(updatedObject)
	job.updateObject(updatedObject)
}

// finishForegroundDeletion removes a Job from the store if the Job is being deleted in the foreground and
// its last Pod has been removed.
func (c *jobController) finishForegroundDeletion(job *job) {
	if job.deletion == jobDeletingForeground && len(job.pods) == 0 {
		job.setDeletion(jobDeleted)
		c.deleteObject(job)
	}
}

// deleteObject removes a Job from the job table and from the store.
func (c *jobController) deleteObject(job *job) {
	if c.jobs.remove(job) {
		c.publisher.deleteJob(job.object)
	}
}
