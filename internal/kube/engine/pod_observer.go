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

// observePodList implements Engine.PodsListed. It handles the complete list of a node's Pods. If the list
// does not contain the Pod of a task that ran on the node, the task has ended. A list that another process has
// sent from the address of the node says nothing about the node: the node counts as unresponsive.
func (o *podObserver) observePodList(nodeName, incarnation string, revision int64, pods []*corev1.Pod) {
	node := o.nodes.getByName(nodeName)
	if node == nil {
		return
	}
	if !o.nodes.isProcessOf(node, incarnation) {
		o.stats.ForeignNodeAnswers++
		o.nodes.markUnresponsive(nodeName)
		return
	}
	o.nodes.recordPodList(node, incarnation)
	reportedUIDs := map[types.UID]bool{}
	for _, pod := range pods {
		reportedUIDs[pod.UID] = true
		o.observePod(node, pod, false)
	}
	for _, task := range inCreationOrder(node.runningTasks) {
		// If the node accepted a task after the node had made the list, the revision of the task is newer
		// than the revision of the list. Such a task is not missing.
		if !reportedUIDs[task.uid] && task.attempts.runningAttempt.revision <= revision {
			o.endMissingTask(task)
		}
	}
}

// observePodChange implements Engine.PodChanged. It handles the report of a change of one Pod.
func (o *podObserver) observePodChange(nodeName string, pod *corev1.Pod, deleted bool) {
	node := o.nodes.getByName(nodeName)
	if node == nil {
		return
	}
	if node.incarnation != "" && !o.nodes.isProcessOf(node, node.incarnation) {
		o.stats.ForeignNodeAnswers++
		o.nodes.markUnresponsive(nodeName)
		return
	}
	o.observePod(node, pod, deleted)
}

// observePod handles a node's report of a Pod. If the Pod belongs to a known task, observePod updates the
// task, or makes the node stop the Pod if the Pod runs a duplicate of the task. If the Pod belongs to no
// known task, observePod adopts the Pod.
func (o *podObserver) observePod(node *node, pod *corev1.Pod, deleted bool) {
	task := o.tasks.get(pod.UID)
	finished := deleted || wellknown.PodFinished(pod)
	if task == nil {
		if !finished && pod.Labels[wellknown.Scheduler] == o.cfg.Name {
			o.adopter.adoptPod(node, pod)
		}
		return
	}
	if inFlightAttempt := task.attempts.inFlightAttempt; inFlightAttempt != nil && inFlightAttempt.node == node {
		// The answer to the attempt may still arrive. The engine keeps the report until the answer has
		// arrived or the engine no longer waits for it.
		inFlightAttempt.keepReport(newPodReport(node, pod, deleted))
		return
	}
	if runningAttempt := task.attempts.runningAttempt; runningAttempt != nil && runningAttempt.node == node {
		o.observeRunning(task, pod, deleted)
		return
	}
	for _, unresolvedAttempt := range task.attempts.unknownOutcomes {
		if unresolvedAttempt.node == node {
			o.outcomes.observe(unresolvedAttempt, newPodReport(node, pod, deleted))
			return
		}
	}
	if !finished {
		o.emitStopTask(node, task.podIdentity, task.attempts.lastNumber)
	}
}

// newPodReport returns a podReport for a Pod that a node has reported. The podReport contains the present
// incarnation of the node.
func newPodReport(node *node, pod *corev1.Pod, deleted bool) *podReport {
	return &podReport{pod: pod, deleted: deleted, incarnation: node.incarnation, revision: podRevision(pod)}
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
		o.reportUsage(task.attempts.runningAttempt, pod)
	}
}

// reportUsage tells the placer the resource usage that a node reports for the Pod of a task. It ignores
// usage values that are missing or invalid.
func (o *podObserver) reportUsage(runningAttempt *attempt, pod *corev1.Pod) {
	usageValues, err := wellknown.ParseDict(pod.Annotations[wellknown.Usage])
	if err != nil {
		return
	}
	for _, usage := range []struct {
		name string
		kind placer.UsageKind
	}{{wellknown.DictCores, placer.CoresUsed}, {wellknown.DictMemory, placer.MemoryUsed}} {
		if value, ok := usageValues[usage.name]; ok {
			o.post(runningAttempt.usageEvent(usage.kind, value))
		}
	}
}

// reasonError is the reason that a node states for a Pod if the task of the Pod has failed by itself,
// without being stopped.
const reasonError = "Error"

// endOfFailedPod describes the end of a task if the node reports the Pod of the task as failed.
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

// endMissingTask ends a task that ran on a node if the node no longer reports the Pod of the task. The
// task counts as stopped if the engine has ordered the node to stop it. Otherwise it counts as lost.
func (o *podObserver) endMissingTask(task *task) {
	if task.isStopping() {
		o.lifecycle.recordEnd(task, taskEnd{result: placer.Cancelled, podReason: string(task.stopReason)})
		return
	}
	message := task.attempts.runningAttempt.node.name + " no longer reports it"
	o.lifecycle.recordEnd(task, taskEnd{result: placer.Lost, podReason: wellknown.NodeLost, podMessage: message})
}
