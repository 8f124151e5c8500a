package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// podObserver applies what nodes report of the Pods that they run to the tasks. It is stateless.
type podObserver struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	outcomes  *outcomeReconciler
	nodes     *nodeRegistry
	adopter   *adopter
}

// observePodList implements Engine.NodePods.
func (o *podObserver) observePodList(name, incarnation string, revision int64, pods []*corev1.Pod) {
	node := o.nodes.get(name)
	if node == nil {
		return
	}
	o.nodes.podsListed(node, incarnation)
	seen := map[types.UID]bool{}
	for _, pod := range pods {
		seen[pod.UID] = true
		o.observe(node, pod, false)
	}
	for _, task := range inCreationOrder(node.running) {
		// The list does not contain tasks that were accepted after it was made.
		if !seen[task.uid] && task.attempts.running.revision <= revision {
			o.runningMissing(task)
		}
	}
}

// observePodChange implements Engine.NodePod.
func (o *podObserver) observePodChange(name string, pod *corev1.Pod, deleted bool) {
	if node := o.nodes.get(name); node != nil {
		o.observe(node, pod, deleted)
	}
}

// observe applies a node's report of a Pod to its task.
func (o *podObserver) observe(node *node, pod *corev1.Pod, deleted bool) {
	task := o.tasks.get(pod.UID)
	over := deleted || wellknown.Finished(pod)
	if task == nil {
		if !over && pod.Labels[wellknown.Scheduler] == o.cfg.Name {
			o.adopter.adoptPod(node, pod)
		}
		return
	}
	if pending := task.attempts.inFlight; pending != nil && pending.node == node {
		// The answer may still arrive: the observation is used once it has arrived or is known to be lost.
		pending.observe(observedAt(node, pod, deleted))
		return
	}
	if running := task.attempts.running; running != nil && running.node == node {
		o.observeRunning(task, pod, deleted)
		return
	}
	for _, unresolved := range task.attempts.unknown {
		if unresolved.node == node {
			o.outcomes.observe(unresolved, observedAt(node, pod, deleted))
			return
		}
	}
	if !over {
		o.stopCopy(node, task.podIdentity, task.attempts.count)
	}
}

// observedAt returns the observation of a Pod at a node in its present incarnation.
func observedAt(node *node, pod *corev1.Pod, deleted bool) *observedPod {
	return &observedPod{pod: pod, deleted: deleted, incarnation: node.incarnation, revision: podRevision(pod)}
}

// observeRunning applies a node's report of a task that it has accepted.
func (o *podObserver) observeRunning(task *task, pod *corev1.Pod, deleted bool) {
	switch {
	case pod.Status.Phase == corev1.PodSucceeded:
		o.lifecycle.started(task)
		o.lifecycle.ended(task, taskEnd{result: placer.Finished})
	case pod.Status.Phase == corev1.PodFailed:
		o.lifecycle.ended(task, failedEnd(task, pod))
	case deleted:
		o.runningMissing(task)
	default:
		if pod.Status.Phase == corev1.PodRunning {
			o.lifecycle.started(task)
		}
		o.reportUsage(task.attempts.running, pod)
	}
}

// reportUsage forwards the resource usage that a node states for a task to the placer. A usage that is absent or cannot be parsed is ignored.
func (o *podObserver) reportUsage(running *attempt, pod *corev1.Pod) {
	used, err := wellknown.ParseDict(pod.Annotations[wellknown.Usage])
	if err != nil {
		return
	}
	for _, usage := range []struct {
		name string
		kind placer.UsageKind
	}{{wellknown.DictCores, placer.CoresUsed}, {wellknown.DictMemory, placer.MemoryUsed}} {
		if value, ok := used[usage.name]; ok {
			o.post(running.usageEvent(usage.kind, value))
		}
	}
}

// reasonError is the reason that a node states for a task that failed by itself.
const reasonError = "Error"

// failedEnd describes the end of a task whose Pod the node reports as failed.
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
		if task.isStopping() {
			end.status = string(task.stopReason)
		}
	case reasonError:
		end.result = placer.Finished
	}
	return end
}

// runningMissing ends a task that its node no longer has.
func (o *podObserver) runningMissing(task *task) {
	if task.isStopping() {
		o.lifecycle.ended(task, taskEnd{result: placer.Cancelled, status: string(task.stopReason)})
		return
	}
	message := task.attempts.running.node.name + " no longer reports it"
	o.lifecycle.ended(task, taskEnd{result: placer.Lost, status: wellknown.NodeLost, message: message})
}
