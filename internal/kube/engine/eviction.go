package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// Reasons for which the engine stops a running task. They become the reason in its Pod's status.
const (
	stopDeleted   = "Deleted"
	stopEvicted   = "Evicted"
	stopMigrated  = "Moved"
	stopSuspended = "Suspended"
)

// deletionGracePeriod is the deletionGracePeriodSeconds of deleted Pods, as the Kubernetes API sets it by default.
const deletionGracePeriod = 30

// DeletePod stops a Pod's task and removes the Pod once the task has ended. It returns the Pod as it is stored then. An empty uid or
// resourceVersion is not checked. Errors: ErrNotFound, ErrConflict.
func (e *Engine) DeletePod(now float64, namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	e.beginCall(now)
	defer e.endCall()
	pod, err := e.storedPod(namespace, name)
	if err != nil {
		return nil, err
	}
	if err := checkPreconditions(pod, uid, resourceVersion); err != nil {
		return nil, err
	}
	e.deletePod(pod, stopDeleted)
	if remaining, err := e.storedPod(namespace, name); err == nil {
		return remaining, nil
	}
	return pod, nil
}

// EvictPod stops a running Pod, which its Job starts again soon. A Pod that does not run is deleted. An empty uid is not checked.
// Errors: ErrNotFound, ErrConflict.
func (e *Engine) EvictPod(now float64, namespace, name string, uid types.UID) error {
	e.beginCall(now)
	defer e.endCall()
	pod, err := e.storedPod(namespace, name)
	if err != nil {
		return err
	}
	if err := checkPreconditions(pod, uid, ""); err != nil {
		return err
	}
	task := e.tasks[pod.UID]
	if task == nil || task.runningAttempt == nil {
		e.deletePod(pod, stopEvicted)
		return nil
	}
	if task.stopReason == "" {
		task.stopReason = stopEvicted
		e.stopRunning(task)
	}
	return nil
}

// storedPod returns a Pod of the store, or ErrNotFound.
func (e *Engine) storedPod(namespace, name string) (*corev1.Pod, error) {
	object := e.store.Get(store.Pods, namespace, name)
	if object == nil {
		return nil, ErrNotFound
	}
	return object.(*corev1.Pod), nil
}

// deletePod stops a Pod's task, if it has one that has not ended, and removes the Pod.
func (e *Engine) deletePod(pod *corev1.Pod, reason string) {
	task := e.tasks[pod.UID]
	if task == nil {
		e.store.Delete(store.Pods, pod.Namespace, pod.Name)
		if job := e.jobOfPod(pod); job != nil {
			job.removePod(pod.Name)
			e.finishForegroundDeletion(job)
		}
		return
	}
	if task.deleted {
		return
	}
	task.deleted = true
	e.updatePod(task, e.showDeleted)
	e.stopTask(task, reason)
}

// deleteTaskPod deletes the Pod of a task, if it is stored.
func (e *Engine) deleteTaskPod(task *task, reason string) {
	if pod := e.podOf(task); pod != nil {
		e.deletePod(pod, reason)
	}
}

// stopTask ends a task, whatever its state. A running task ends when its node has answered.
func (e *Engine) stopTask(task *task, reason string) {
	if task.stopReason == "" {
		task.stopReason = reason
	}
	switch {
	case task.state.onNode():
		e.stopRunning(task)
		return
	case task.state == taskTerminating:
		e.fenceUnknownOutcomes(task)
		e.discardTask(task)
		return
	}
	e.withdrawRequest(task)
	if pending := task.inFlight; pending != nil {
		// The attempt cannot be called back: its outcome becomes unknown, and it is fenced at once.
		e.abandonAttempt(pending, placer.Cancelled)
	}
	e.setState(task, taskWaiting)
	e.settleUnplaced(task, wellknown.Failed, "deleted before it was placed")
}

// stopRunning orders the node of a running task to stop it. It does nothing if the task does not run.
func (e *Engine) stopRunning(task *task) {
	if running := task.runningAttempt; running != nil {
		e.stopCopy(running.node, task.uid, task.namespace, task.name, running.number)
	}
}

// stopCopy orders a node to stop a task, and not to accept attempts up to a number.
func (e *Engine) stopCopy(node *node, uid types.UID, namespace, name string, number int) {
	e.Stats.Stops++
	e.emit(Effect{
		Kind:      StopTask,
		Node:      node.name,
		Address:   node.address,
		UID:       uid,
		Namespace: namespace,
		Name:      name,
		Attempt:   number,
	})
}

// migrateTask carries out the placer's decision to move a running task: it is stopped, and its Job starts it again.
func (e *Engine) migrateTask(id placer.TaskID) {
	request := e.requests[id]
	if request == nil {
		return
	}
	task := request.task
	running := task.runningAttempt
	if running == nil || running.request != request || task.stopReason != "" {
		return
	}
	task.stopReason = stopMigrated
	e.stopRunning(task)
}
