package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"
)

// podController deletes and evicts Pods for API clients and for the Job controller. It has no state of its
// own.
type podController struct {
	*environment
	tasks         *taskTable
	lifecycle     *taskLifecycle
	jobs          *jobTable
	jobController *jobController
	publisher     *publisher
}

// deleteByName implements Engine.DeletePod. It returns the Pod as stored at the end of the call, or as
// last stored if the call has removed it.
func (c *podController) deleteByName(namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	pod, err := c.find(namespace, name, uid, resourceVersion)
	if err != nil {
		return nil, err
	}
	c.delete(pod, stopDeleted)
	if storedPod := c.publisher.storedPod(namespace, name); storedPod != nil {
		return storedPod, nil
	}
	return pod, nil
}

// find returns the stored Pod with the given name. It returns ErrNotFound if there is none, and ErrConflict
// if the UID or the resource version of the Pod differs from the required one.
func (c *podController) find(namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	pod := c.publisher.storedPod(namespace, name)
	if pod == nil {
		return nil, ErrNotFound
	}
	return pod, checkPreconditions(pod, uid, resourceVersion)
}

// evict implements Engine.EvictPod. It stops the running task of a Pod, and the Job of the task then
// starts a new task in its place. If the task of the Pod is not running, evict deletes the Pod. After
// Engine.Stop, evict returns ErrStopping for a running task, because no Job starts a new task.
func (c *podController) evict(namespace, name string, uid types.UID, dryRun bool) error {
	pod, err := c.find(namespace, name, uid, "")
	if err != nil {
		return err
	}
	task := c.tasks.get(pod.UID)
	isRunning := task != nil && task.attempts.runningAttempt != nil
	if isRunning && c.stopping {
		return ErrStopping
	}
	if dryRun {
		return nil
	}
	if !isRunning {
		c.delete(pod, stopEvicted)
		return nil
	}
	c.lifecycle.stopForRestart(task, stopEvicted)
	return nil
}

// delete stops the task of a Pod and marks the Pod as being deleted. The Pod is removed from the store
// once the task has ended. A Pod without a task is removed at once.
func (c *podController) delete(pod *corev1.Pod, reason stopReason) {
	task := c.tasks.get(pod.UID)
	if task == nil {
		c.publisher.deletePod(pod.Namespace, pod.Name)
		if job := c.jobs.ownerOf(pod); job != nil {
			job.removePod(pod.Name)
			c.jobController.finishForegroundDeletion(job)
		}
		return
	}
	if task.podDeleted {
		return
	}
	task.podDeleted = true
	c.publisher.publishDeleted(task)
	c.lifecycle.stop(task, reason)
}

// deletePodOfTask deletes the Pod of a task if the Pod is still stored.
func (c *podController) deletePodOfTask(task *task, reason stopReason) {
	if pod := c.publisher.podOfTask(task); pod != nil {
		c.delete(pod, reason)
	}
}
