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

// AttemptDone handles a node's answer to a SendAttempt effect. The caller may also call it for an attempt
// for which it has received an AbandonAttempt effect.
func (e *Engine) AttemptDone(now placer.Seconds, answer AttemptAnswer) {
	e.beginCall(now)
	defer e.endCall()
	e.attempts.handleAnswer(answer)
}

// MaySendAttempt reports whether an attempt may still be sent to its node: it is in flight, and its node is
// ready. The caller asks immediately before it sends the attempt, because the attempt may have waited for a
// connection.
func (e *Engine) MaySendAttempt(uid types.UID, attemptNumber int) bool {
	return e.attempts.maySend(uid, attemptNumber)
}

// DeletePod stops the task of a Pod. The Pod is removed from the store as soon as the task has ended.
// DeletePod returns the Pod as stored at the end of the call, or as last stored if the call has removed
// it. If uid or resourceVersion is not empty, it must match the stored Pod. The possible errors are
// ErrNotFound and ErrConflict.
func (e *Engine) DeletePod(now placer.Seconds, namespace, name string, uid types.UID, resourceVersion string) (*corev1.Pod, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.podController.deleteByName(namespace, name, uid, resourceVersion)
}

// EvictPod stops the task of a running Pod, and the Job then starts a new task in its place. If the Pod is
// not running, EvictPod deletes the Pod. If uid is not empty, it must match the stored Pod. A dry run
// changes nothing. The possible errors are ErrNotFound, ErrConflict and ErrStopping.
func (e *Engine) EvictPod(now placer.Seconds, namespace, name string, uid types.UID, dryRun bool) error {
	e.beginCall(now)
	defer e.endCall()
	return e.podController.evict(namespace, name, uid, dryRun)
}

// CreateJob stores a Job and starts its tasks. The API server has already validated the Job and has set
// the default values of its fields. CreateJob returns the stored Job. A dry run stores nothing and returns
// the Job that would be stored. The possible errors are ErrExists, ErrStopping, ErrTooMany and
// *InvalidError.
func (e *Engine) CreateJob(now placer.Seconds, object *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.create(object, dryRun)
}

// UpdateJob replaces the mutable parts of a Job: labels, annotations, suspend, parallelism,
// ttlSecondsAfterFinished and activeDeadlineSeconds. If the update contains a UID or a resource version,
// it must match the stored Job. UpdateJob returns the stored Job. A dry run stores nothing and returns the
// Job that would be stored. The possible errors are ErrNotFound, ErrConflict and *InvalidError.
func (e *Engine) UpdateJob(now placer.Seconds, update *batchv1.Job, dryRun bool) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.update(update, dryRun)
}

// DeleteJob deletes a Job. The propagation policy determines what happens to the Job's Pods; an empty
// policy means Background. DeleteJob returns the Job as it was last stored. If uid or resourceVersion is
// not empty, it must match the stored Job. The possible errors are ErrNotFound and ErrConflict.
func (e *Engine) DeleteJob(now placer.Seconds, namespace, name string, uid types.UID, resourceVersion string,
	propagation metav1.DeletionPropagation) (*batchv1.Job, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.jobController.deleteByName(namespace, name, uid, resourceVersion, propagation)
}

// NodesListed handles a report of the inventory, which is the server that lists all nodes. The report is
// either a full list of nodes or a list of changes. If kind is Changes, removed contains the names of the
// nodes that have left the inventory. If kind is FullList, every node that is not in the list has left the
// inventory.
func (e *Engine) NodesListed(now placer.Seconds, kind Listing, nodes []*corev1.Node, removed []string) {
	e.beginCall(now)
	defer e.endCall()
	e.nodes.applyListing(kind, nodes, removed)
}

// NodeCounts returns the number of nodes that are ready or draining according to the inventory. It also
// returns the number of these nodes whose Pods the caller watches.
func (e *Engine) NodeCounts() (listedCount, watchedCount int) {
	return e.nodes.countNodes()
}

// PodsListed handles the complete list of this scheduler's Pods on a node. The node states the revision
// of the list and its own incarnation. If the list does not contain the Pod of a task that ran on the
// node, the task has ended.
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

// NodeUnresponsive records that the caller can no longer watch the Pods of a node.
func (e *Engine) NodeUnresponsive(now placer.Seconds, nodeName string) {
	e.beginCall(now)
	defer e.endCall()
	e.nodes.markUnresponsive(nodeName)
}

// UpdateNode replaces the labels of a Node. If drain is not nil, API clients request that a drain of the
// node starts or ends; UpdateNode then tells the placer at once. If drain is nil, the latest drain request
// of API clients remains in force. The field spec.unschedulable of the update does not show whether API
// clients request a drain: the field is also true if only the inventory, the server that lists all nodes,
// marks the node as unschedulable. If the update contains a UID or a resource version, it must match the
// stored Node. UpdateNode returns the stored Node. A dry run stores nothing and returns the Node that
// would be stored. The possible errors are ErrNotFound, ErrConflict and *InvalidError.
func (e *Engine) UpdateNode(now placer.Seconds, update *corev1.Node, drain *bool, dryRun bool) (*corev1.Node, error) {
	e.beginCall(now)
	defer e.endCall()
	return e.nodes.updateNode(update, drain, dryRun)
}

// StopDone handles a node's answer to a StopTask effect.
func (e *Engine) StopDone(now placer.Seconds, answer StopAnswer) {
	e.beginCall(now)
	defer e.endCall()
	e.outcomes.handleStopAnswer(answer)
}
