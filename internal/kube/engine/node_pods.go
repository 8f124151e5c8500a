package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// NodePods takes the complete list of this scheduler's Pods at a node, with the revision of the list and the node's incarnation. Running
// tasks that are not in it have ended.
func (e *Engine) NodePods(now float64, name, incarnation string, revision int64, pods []*corev1.Pod) {
	e.beginCall(now)
	defer e.endCall()
	node := e.nodes[name]
	if node == nil {
		return
	}
	node.podsWatched = true
	e.observeIncarnation(node, incarnation)
	seen := map[types.UID]bool{}
	for _, pod := range pods {
		seen[pod.UID] = true
		e.observePod(node, pod, false)
	}
	for _, task := range inCreationOrder(node.running) {
		// A task that was accepted after the list was made is not in it.
		if !seen[task.uid] && task.runningAttempt.revision <= revision {
			e.runningTaskMissing(task)
		}
	}
}

// NodePod takes a change of one of this scheduler's Pods at a node.
func (e *Engine) NodePod(now float64, name string, pod *corev1.Pod, deleted bool) {
	e.beginCall(now)
	defer e.endCall()
	if node := e.nodes[name]; node != nil {
		e.observePod(node, pod, deleted)
	}
}

// NodeUnresponsive records that a node's Pods can no longer be watched.
func (e *Engine) NodeUnresponsive(now float64, name string) {
	e.beginCall(now)
	defer e.endCall()
	node := e.nodes[name]
	if node == nil || !node.podsWatched {
		return
	}
	node.podsWatched = false
	if node.state == placer.Terminated {
		e.nodeAbsent(node)
	}
}

// observePod brings a task in line with what a node shows of it.
func (e *Engine) observePod(node *node, pod *corev1.Pod, deleted bool) {
	task := e.tasks[pod.UID]
	over := deleted || wellknown.Finished(pod)
	if task == nil {
		if !over && pod.Labels[wellknown.Scheduler] == e.cfg.Name {
			e.adoptPod(node, pod)
		}
		return
	}
	if pending := task.inFlight; pending != nil && pending.node == node {
		// The answer is on its way, or will be lost: what the watch shows meanwhile is used once that is known.
		pending.observed = observedAt(node, pod, deleted)
		return
	}
	if running := task.runningAttempt; running != nil && running.node == node {
		e.observeRunning(task, pod, deleted)
		return
	}
	for _, unresolved := range task.unknownOutcomes {
		if unresolved.node == node {
			e.observeUnknownOutcome(unresolved, observedAt(node, pod, deleted))
			return
		}
	}
	if !over {
		e.stopCopy(node, task.uid, task.namespace, task.name, task.attemptCount)
	}
}

func observedAt(node *node, pod *corev1.Pod, deleted bool) *observedPod {
	return &observedPod{pod: pod, deleted: deleted, incarnation: node.incarnation, revision: podRevision(pod)}
}

// observeRunning takes what a node shows of a task that it has accepted.
func (e *Engine) observeRunning(task *task, pod *corev1.Pod, deleted bool) {
	switch {
	case pod.Status.Phase == corev1.PodSucceeded:
		e.taskStarted(task)
		e.runningTaskEnded(task, taskEnd{result: placer.Finished})
	case pod.Status.Phase == corev1.PodFailed:
		e.runningTaskEnded(task, failedEnd(task, pod))
	case deleted:
		e.runningTaskMissing(task)
	default:
		if pod.Status.Phase == corev1.PodRunning {
			e.taskStarted(task)
		}
		e.reportUsage(task.runningAttempt, pod)
	}
}

// reportUsage forwards the resource usage that a node states of a task to the placer. A usage that cannot be parsed is ignored, as is one
// that is not stated.
func (e *Engine) reportUsage(running *attempt, pod *corev1.Pod) {
	used, err := wellknown.ParseDict(pod.Annotations[wellknown.Usage])
	if err != nil {
		return
	}
	for _, usage := range []struct {
		name string
		kind placer.UsageKind
	}{{wellknown.DictCores, placer.CoresUsed}, {wellknown.DictMemory, placer.MemoryUsed}} {
		value, ok := used[usage.name]
		if !ok {
			continue
		}
		e.post(placer.Event{
			Kind:    placer.UsageReported,
			TaskID:  running.request.id,
			Attempt: running.requestSequence,
			Node:    running.node.id,
			Usage:   usage.kind,
			Value:   value,
		})
	}
}

// reasonError is the reason that a node states for a task that ended by itself without success.
const reasonError = "Error"

// failedEnd describes the end of a task whose Pod the node shows as failed.
func failedEnd(task *task, pod *corev1.Pod) taskEnd {
	end := taskEnd{result: placer.Lost, status: pod.Status.Reason, message: pod.Status.Message}
	switch pod.Status.Reason {
	case wellknown.Evicted:
		end.reason = placer.Evicted
	case wellknown.Preempted:
		end.reason = placer.Preempted
	case wellknown.Drained:
		end.reason = placer.Drained
	case wellknown.Stopped, wellknown.NeverStarted:
		end.result = placer.Cancelled
		if task.stopReason != "" {
			end.status = task.stopReason
		}
	case reasonError:
		end.result = placer.Finished
	}
	return end
}

// runningTaskMissing ends a task that its node does not have any more.
func (e *Engine) runningTaskMissing(task *task) {
	if task.stopReason != "" {
		e.runningTaskEnded(task, taskEnd{result: placer.Cancelled, status: task.stopReason})
		return
	}
	message := task.runningAttempt.node.name + " does not hold it any more"
	e.runningTaskEnded(task, taskEnd{result: placer.Lost, status: wellknown.NodeLost, message: message})
}
