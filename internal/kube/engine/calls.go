package engine

// This file has the calls of an Engine that handle requests and answers. Each sets the time, has one part of the engine do the work, and
// ends with endCall.

import (
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// AttemptDone handles the answer to SendAttempt. It may be called after AbandonAttempt.
func (e *Engine) AttemptDone(now placer.Seconds, answer AttemptAnswer) {
	e.beginCall(now)
	defer e.endCall()
	e.attempts.done(answer)
}

// DeletePod stops a Pod's task and removes the Pod once the task has ended. It returns the Pod as stored at the end of the call. An empty uid or
// resourceVersion is not checked. Errors: ErrNotFound, ErrConflict.
func (e *Engine) DeletePod(now placer.Seconds, namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.podController.deleteByName(namespace, name, uid, resourceVersion)
}

// EvictPod stops a running Pod, which its Job starts again soon. A Pod that does not run is deleted. An empty uid is not checked.
// Errors: ErrNotFound, ErrConflict.
func (e *Engine) EvictPod(now placer.Seconds, namespace, name string, uid types.UID) error {
	e.beginCall(now)
	defer e.endCall()
	return e.podController.evict(namespace, name, uid)
}

// CreateJob stores a Job that the API server has validated and defaulted, and starts its tasks. It returns the Job as stored. A dry run
// only returns what would be stored. Errors: ErrExists, ErrStopping, ErrTooMany, *InvalidError.
func (e *Engine) CreateJob(now placer.Seconds, object *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.create(object, dryRun)
}

// UpdateJob replaces the parts of a Job that may change: labels, annotations, suspend, parallelism, ttlSecondsAfterFinished and
// activeDeadlineSeconds. The update's UID and resource version are not checked if they are empty. It returns the Job as stored; a dry run
// only returns what would be stored. Errors: ErrNotFound, ErrConflict, *InvalidError.
func (e *Engine) UpdateJob(now placer.Seconds, update *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.update(update, dryRun)
}

// DeleteJob deletes a Job, and its Pods as the policy says; an empty policy means Background. It returns the Job as it was last stored.
// An empty uid or resourceVersion is not checked. Errors: ErrNotFound, ErrConflict.
func (e *Engine) DeleteJob(now placer.Seconds, namespace, name string, uid types.UID, resourceVersion string,
	propagation metav1.DeletionPropagation) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.deleteByName(namespace, name, uid, resourceVersion, propagation)
}

// NodesListed applies a list of nodes, or changes of one, from the inventory. removed names the nodes that Changes removes; a full list removes
// all nodes that it does not contain.
func (e *Engine) NodesListed(now placer.Seconds, kind Listing, nodes []*corev1.Node, removed []string) {
	e.beginCall(now)
	defer e.endCall()
	e.nodes.applyListing(kind, nodes, removed)
}

// NodeCounts returns how many nodes the inventory lists as ready or draining, and of how many of them the Pods are watched.
func (e *Engine) NodeCounts() (listed, watched int) {
	return e.nodes.countNodes()
}

// NodePods handles the complete list of this scheduler's Pods at a node, with the revision of the list and the node's incarnation. Running
// tasks that are not in it have ended.
func (e *Engine) NodePods(now placer.Seconds, name, incarnation string, revision int64, pods []*corev1.Pod) {
	e.beginCall(now)
	defer e.endCall()
	e.observer.observePodList(name, incarnation, revision, pods)
}

// NodePod handles a change of one of this scheduler's Pods at a node.
func (e *Engine) NodePod(now placer.Seconds, name string, pod *corev1.Pod, deleted bool) {
	e.beginCall(now)
	defer e.endCall()
	e.observer.observePodChange(name, pod, deleted)
}

// NodeUnresponsive records that a node's Pods can no longer be watched.
func (e *Engine) NodeUnresponsive(now placer.Seconds, name string) {
	e.beginCall(now)
	defer e.endCall()
	e.nodes.markUnresponsive(name)
}

// UpdateNode replaces the labels of a Node and, if drain is not nil, orders its drain or ends the ordered drain. Nil is not false: a
// node that the inventory drains is shown as unschedulable without an order. The placer is notified of an order at once. The update's UID and
// resource version are not checked if they are empty. It returns the Node as stored; a dry run only returns what would be stored. Errors:
// ErrNotFound, ErrConflict, *InvalidError.
func (e *Engine) UpdateNode(now placer.Seconds, update *corev1.Node, drain *bool, dryRun bool) (*corev1.Node, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.nodes.updateNode(update, drain, dryRun)
}

// StopDone handles the answer to StopTask.
func (e *Engine) StopDone(now placer.Seconds, answer StopAnswer) {
	e.beginCall(now)
	defer e.endCall()
	e.outcomes.stopDone(answer)
}
