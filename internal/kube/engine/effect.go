package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// EffectKind selects the operation that the caller must carry out.
type EffectKind uint8

// The kinds of effects.
const (
	// SendAttempt posts Pod to the node. The caller reports the result with AttemptDone.
	SendAttempt EffectKind = iota + 1
	// AbandonAttempt ends the wait for the answer to an attempt. AttemptDone may still be called for it.
	AbandonAttempt
	// StopTask deletes the Pod at the node and fences attempts with a number up to Attempt: the node rejects them from then on. The caller
	// reports the result with StopDone.
	StopTask
	// WatchNode lists and watches the Pods of the node. The caller reports what it reads with NodePods, NodePod and NodeUnresponsive.
	WatchNode
	// UnwatchNode ends WatchNode.
	UnwatchNode
	// RelistNodes lists all nodes again. The caller reports the list with NodesListed.
	RelistNodes
)

// Effect is an operation outside of the engine that its caller must carry out. Ready returns the effects in their order.
type Effect struct {
	Kind      EffectKind
	Node      string
	Address   string         // host:port of the node
	Pod       *corev1.Pod    // SendAttempt: the Pod to post
	UID       types.UID      // of the task's Pod
	Namespace string         // of the task's Pod
	Name      string         // of the task's Pod
	Attempt   int            // number of the attempt within its task
	Deadline  placer.Seconds // SendAttempt: the answer is not awaited after this time
	// AvoidUnknownOutcome requires SendAttempt to use a connection on which the caller can determine whether the node read the request, since the
	// task must not run twice.
	AvoidUnknownOutcome bool
}

// emit queues an effect for the caller.
func (env *environment) emit(effect Effect) { env.effects = append(env.effects, effect) }

// Ready appends the pending effects to dst and returns it. Each effect is returned once.
func (e *Engine) Ready(dst []Effect) []Effect {
	dst = append(dst, e.effects...)
	clear(e.effects)
	e.effects = e.effects[:0]
	return dst
}

// stopCopy orders a node to stop a task, and not to accept attempts up to a number.
func (env *environment) emitStopTask(node *node, pod podIdentity, number int) {
	env.stats.Stops++
	env.emit(Effect{
		Kind:      StopTask,
		Node:      node.name,
		Address:   node.address,
		UID:       pod.uid,
		Namespace: pod.namespace,
		Name:      pod.name,
		Attempt:   number,
	})
}
