package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// EffectKind selects what an Effect asks its caller to do.
type EffectKind uint8

// The kinds of effects.
const (
	// SendAttempt posts Pod to the node. The caller answers with AttemptDone.
	SendAttempt EffectKind = iota + 1
	// AbandonAttempt ends the wait for the answer to an attempt. AttemptDone may still be called for it.
	AbandonAttempt
	// StopTask deletes the Pod at the node and bars attempts with a number up to Attempt. The caller answers with StopDone.
	StopTask
	// WatchNode lists and watches the Pods of the node. The caller answers with NodePods, NodePod and NodeUnresponsive.
	WatchNode
	// UnwatchNode ends WatchNode.
	UnwatchNode
	// RelistNodes lists all nodes anew. The caller answers with NodesListed.
	RelistNodes
)

// Effect is an operation outside of the engine that its caller must carry out.
type Effect struct {
	Kind      EffectKind
	Node      string
	Address   string         // host:port of the node
	Pod       *corev1.Pod    // SendAttempt: the Pod to post
	UID       types.UID      // of the task's Pod
	Namespace string         // of the task's Pod
	Name      string         // of the task's Pod
	Attempt   int            // number of the attempt within its task
	Deadline  placer.Seconds // SendAttempt: the time after which the answer is of no use
	// AvoidUnknownOutcome asks SendAttempt for a connection on which it will be known whether the node read the request:
	// the task must not run twice.
	AvoidUnknownOutcome bool
}

// emit queues an effect for the caller.
func (env *environment) emit(effect Effect) { env.effects = append(env.effects, effect) }

// Ready appends the effects that are due to dst and returns it. Each effect is handed out once.
func (e *Engine) Ready(dst []Effect) []Effect {
	dst = append(dst, e.effects...)
	clear(e.effects)
	e.effects = e.effects[:0]
	return dst
}

// stopCopy orders a node to stop a task, and not to accept attempts up to a number.
func (env *environment) stopCopy(node *node, pod podIdentity, number int) {
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
