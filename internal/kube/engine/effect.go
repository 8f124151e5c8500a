package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/placer"
)

// EffectKind is the type of operation that the caller must carry out.
type EffectKind uint8

// These are the kinds of effects.
const (
	// SendAttempt asks the caller to send Effect.Pod to the node in a POST request, and to report the
	// answer with AttemptDone.
	SendAttempt EffectKind = iota + 1
	// AbandonAttempt tells the caller to stop waiting for the answer to an attempt. The caller may still call
	// AttemptDone for the attempt.
	AbandonAttempt
	// StopTask asks the caller to delete the Pod on the node, and to report the answer with StopDone. If
	// an attempt for the task arrives after this stop order, the node must reject the attempt unless its
	// attempt number is greater than Effect.Attempt. The attempts up to this number are then fenced.
	StopTask
	// WatchNode asks the caller to list and watch the Pods of the node, and to report them with PodsListed,
	// PodChanged and NodeUnresponsive.
	WatchNode
	// UnwatchNode tells the caller to end the watch that WatchNode started.
	UnwatchNode
	// RelistNodes asks the caller to get a new full list of nodes from the inventory, and to report the
	// list with NodesListed.
	RelistNodes
)

// Effect is an operation on an external system, such as a node, that the caller of the engine must carry out.
type Effect struct {
	Kind      EffectKind
	Node      string
	Address   string         // host:port of the node
	Pod       *corev1.Pod    // the Pod to send to the node; set for SendAttempt only
	UID       types.UID      // UID of the task's Pod
	Namespace string         // namespace of the task's Pod
	Name      string         // name of the task's Pod
	Attempt   int            // number of the attempt within its task; for StopTask, the highest attempt number to reject
	Deadline  placer.Seconds // time until which the caller waits for the answer to SendAttempt
	// AvoidUnknownOutcome is set for SendAttempt if the task must not run twice. The caller must then use
	// a connection to the node on which it can determine whether the node has read the request.
	AvoidUnknownOutcome bool
}

// emit adds an effect to the pending effects, which the next call of Ready returns.
func (env *environment) emit(effect Effect) { env.effects = append(env.effects, effect) }

// Ready appends the pending effects to dst, in the order in which they must be carried out, and returns the
// result. Each effect is returned once.
func (e *Engine) Ready(dst []Effect) []Effect {
	dst = append(dst, e.effects...)
	clear(e.effects)
	e.effects = e.effects[:0]
	return dst
}

// emitStopTask emits a StopTask effect. The node must stop the Pod. If an attempt for the task of the Pod
// arrives later, the node must reject the attempt unless its attempt number is greater than the given
// number.
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
