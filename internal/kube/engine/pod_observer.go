package engine

import (
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// podObserver updates tasks from the reports that nodes send about their Pods. It has no state of its own.
type podObserver struct {
	*environment
	tasks     *taskTable
	lifecycle *taskLifecycle
	outcomes  *outcomeReconciler
	nodes     *nodeRegistry
	adopter   *adopter
}

// observePodList handles a node's complete list of Pods for Engine.NodePods. A running task that is missing
// in the list has ended.
func (o *podObserver) observePodList(name, incarnation string, revision int64, pods []*corev1.Pod) {
	node := o.nodes.getByName(name)
	if node == nil {
		return
	}
	o.nodes.recordPodList(node, incarnation)
	seen := map[types.UID]bool{}
	for _, pod := range pods {
		seen[pod.UID] = true
		o.observePod(node, pod, false)
	}
	for _, task := range inCreationOrder(node.running) {
		// A task that the node accepted after it made the list has a newer revision than the list, and is
		// not missing.
		if !seen[task.uid] && task.attempts.running.revision <= revision {
			o.endMissingTask(task)
		}
	}
}

// observePodChange handles a node's report of one Pod for Engine.NodePod.
func (o *podObserver) observePodChange(name string, pod *corev1.Pod, deleted bool) {
	if node := o.nodes.getByName(name); node != nil {
		o.observePod(node, pod, deleted)
	}
}

// observePod handles a node's report of a Pod: it updates the task that the Pod belongs to, adopts a Pod
// without a task, or stops a surplus copy of a task.
func (o *podObserver) observePod(node *node, pod *corev1.Pod, deleted bool) {
	task := o.tasks.get(pod.UID)
	finished := deleted || wellknown.PodFinished(pod)
	if task == nil {
		if !finished && pod.Labels[wellknown.Scheduler] == o.cfg.Name {
			o.adopter.adoptPod(node, pod)
		}
		return
	}
	if pending := task.attempts.inFlight; pending != nil && pending.node == node {
		// The answer to the attempt may still arrive. The report is kept until the answer has arrived or is
		// known to be lost.
		pending.observe(newObservedPod(node, pod, deleted))
		return
	}
	if running := task.attempts.running; running != nil && running.node == node {
		o.observeRunning(task, pod, deleted)
		return
	}
	for _, unresolved := range task.attempts.unknownOutcomes {
		if unresolved.node == node {
			o.outcomes.observe(unresolved, newObservedPod(node, pod, deleted))
			return
		}
	}
	if !finished {
		o.emitStopTask(node, task.podIdentity, task.attempts.lastNumber)
	}
}

// newObservedPod returns a node's report of a Pod, with the node's present incarnation.
func newObservedPod(node *node, pod *corev1.Pod, deleted bool) *observedPod {
	return &observedPod{pod: pod, deleted: deleted, incarnation: node.incarnation, revision: podRevision(pod)}
}

// observeRunning handles a node's report of the Pod of a task that the node has accepted.
func (o *podObserver) observeRunning(task *task, pod *corev1.Pod, deleted bool) {
	switch {
	case pod.Status.Phase == corev1.PodSucceeded:
		o.lifecycle.recordStart(task)
		o.lifecycle.recordEnd(task, taskEnd{result: placer.Finished})
	case pod.Status.Phase == corev1.PodFailed:
		o.lifecycle.recordEnd(task, endOfFailedPod(task, pod))
	case deleted:
		o.endMissingTask(task)
	default:
		if pod.Status.Phase == corev1.PodRunning {
			o.lifecycle.recordStart(task)
		}
		o.reportUsage(task.attempts.running, pod)
	}
}

// reportUsage passes the resource usage that a node reports for a task on to the placer. It ignores usage
// that is missing or cannot be parsed.
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

// reasonError is the reason that a node reports for a Pod whose task failed by itself.
const reasonError = "Error"

// endOfFailedPod returns how a task has ended whose Pod the node reports as failed.
func endOfFailedPod(task *task, pod *corev1.Pod) taskEnd {
	end := taskEnd{result: placer.Lost, podReason: pod.Status.Reason, podMessage: pod.Status.Message}
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
			end.podReason = string(task.stopReason)
		}
	case reasonError:
		end.result = placer.Finished
	}
	return end
}

// endMissingTask ends a task that was running on a node but that the node no longer reports. The task
// counts as stopped if a stop was requested, and as lost otherwise.
func (o *podObserver) endMissingTask(task *task) {
	if task.isStopping() {
		o.lifecycle.recordEnd(task, taskEnd{result: placer.Cancelled, podReason: string(task.stopReason)})
		return
	}
	message := task.attempts.running.node.name + " no longer reports it"
	o.lifecycle.recordEnd(task, taskEnd{result: placer.Lost, podReason: wellknown.NodeLost, podMessage: message})
}
