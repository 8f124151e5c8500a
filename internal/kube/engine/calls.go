package engine

// This file contains the methods of Engine that handle API requests and reports from nodes. Each method sets
// the time, calls the component of the engine that does the work, and finishes with endCall.

import (
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// AttemptDone handles the answer to SendAttempt. It may be called even after AbandonAttempt.
func (e *Engine) AttemptDone(now placer.Seconds, answer AttemptAnswer) {
	e.beginCall(now)
	defer e.endCall()
	e.attempts.handleAnswer(answer)
}

// DeletePod stops the task of a Pod. The Pod is removed as soon as the task has ended. DeletePod returns the
// Pod as stored at the end of the call, or as last stored if it was removed. An empty uid or resourceVersion
// is not checked. The possible errors are ErrNotFound and ErrConflict.
func (e *Engine) DeletePod(now placer.Seconds, namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.podController.deleteByName(namespace, name, uid, resourceVersion)
}

// EvictPod stops a running Pod, and its Job starts the task again. A Pod that is not running is deleted. An
// empty uid is not checked. The possible errors are ErrNotFound and ErrConflict.
func (e *Engine) EvictPod(now placer.Seconds, namespace, name string, uid types.UID) error {
	e.beginCall(now)
	defer e.endCall()
	return e.podController.evict(namespace, name, uid)
}

// CreateJob stores a Job that the API server has validated and defaulted, and starts its tasks. It returns
// the stored Job. A dry run stores nothing and returns the Job that would be stored. The possible errors are
// ErrExists, ErrStopping, ErrTooMany and *InvalidError.
func (e *Engine) CreateJob(now placer.Seconds, object *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.create(object, dryRun)
}

// UpdateJob replaces the mutable parts of a Job: labels, annotations, suspend, parallelism,
// ttlSecondsAfterFinished and activeDeadlineSeconds. An empty UID or resource version in the update is not
// checked. UpdateJob returns the stored Job. A dry run stores nothing and returns the Job that would be
// stored. The possible errors are ErrNotFound, ErrConflict and *InvalidError.
func (e *Engine) UpdateJob(now placer.Seconds, update *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.update(update, dryRun)
}

// DeleteJob deletes a Job. The propagation policy determines what happens to the Job's Pods; an empty policy
// means Background. DeleteJob returns the Job as it was last stored. An empty uid or resourceVersion is not
// checked. The possible errors are ErrNotFound and ErrConflict.
func (e *Engine) DeleteJob(now placer.Seconds, namespace, name string, uid types.UID, resourceVersion string,
	propagation metav1.DeletionPropagation) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.deleteByName(namespace, name, uid, resourceVersion, propagation)
}

// NodesListed applies a full list of nodes, or a list of changes, from the inventory. If kind is Changes,
// removed contains the names of the nodes that left the inventory. If kind is FullList, all nodes that the
// list does not contain have left the inventory.
func (e *Engine) NodesListed(now placer.Seconds, kind Listing, nodes []*corev1.Node, removed []string) {
	e.beginCall(now)
	defer e.endCall()
	e.nodes.applyListing(kind, nodes, removed)
}

// NodeCounts returns the number of nodes that the inventory lists as ready or draining, and the number of
// those whose Pods are watched.
func (e *Engine) NodeCounts() (listedCount, watchedCount int) {
	return e.nodes.countNodes()
}

// PodsListed handles the complete list of this scheduler's Pods on a node. The node states the revision of
// the list and its own incarnation. Running tasks that are missing from the list have ended.
func (e *Engine) PodsListed(now placer.Seconds, nodeName, incarnation string, revision int64, pods []*corev1.Pod) {
	e.beginCall(now)
	defer e.endCall()
	e.observer.observePodList(nodeName, incarnation, revision, pods)
}

// PodChanged handles a node's report that one of this scheduler's Pods was added, changed or deleted.
func (e *Engine) PodChanged(now placer.Seconds, nodeName string, pod *corev1.Pod, deleted bool) {
	e.beginCall(now)
	defer e.endCall()
	e.observer.observePodChange(nodeName, pod, deleted)
}

// NodeUnresponsive records that the Pods of a node can no longer be watched.
func (e *Engine) NodeUnresponsive(now placer.Seconds, nodeName string) {
	e.beginCall(now)
	defer e.endCall()
	e.nodes.markUnresponsive(nodeName)
}

// UpdateNode replaces the labels of a Node. If drain is not nil, UpdateNode also starts or ends a drain of
// the node, and tells the placer at once. If drain is nil, the drain that API clients requested stays as it
// is. The field spec.unschedulable cannot replace this parameter, because it is also true if only the
// inventory drains the node. An empty UID or resource version in the update is not checked. UpdateNode
// returns the stored Node. A dry run stores nothing and returns the Node that would be stored. The possible
// errors are ErrNotFound, ErrConflict and *InvalidError.
func (e *Engine) UpdateNode(now placer.Seconds, update *corev1.Node, drain *bool, dryRun bool) (*corev1.Node, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.nodes.updateNode(update, drain, dryRun)
}

// StopDone handles the answer to StopTask.
func (e *Engine) StopDone(now placer.Seconds, answer StopAnswer) {
	e.beginCall(now)
	defer e.endCall()
	e.outcomes.handleStopAnswer(answer)
}
