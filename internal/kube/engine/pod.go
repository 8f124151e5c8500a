package engine

import (
	"strconv"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// podRevision returns the revision of a Pod at its node.
func podRevision(pod *corev1.Pod) int64 {
	revision, _ := strconv.ParseInt(pod.ResourceVersion, 10, 64) // 0 if the Pod states no number
	return revision
}

// Exit codes of containers, which nodes do not state.
const (
	exitSuccess = 0
	exitFailure = 1
	exitKilled  = 137 // 128 + SIGKILL
)

// exitCode returns the exit code that is stored for the containers of an ended task.
func (end *taskEnd) exitCode() int32 {
	switch {
	case end.succeeded():
		return exitSuccess
	case end.result == placer.Finished:
		return exitFailure
	}
	return exitKilled
}

// setPodCondition adds or replaces a condition. The time of its last transition stays unless its status changes.
func setPodCondition(pod *corev1.Pod, condition corev1.PodCondition) {
	for i := range pod.Status.Conditions {
		stored := &pod.Status.Conditions[i]
		if stored.Type != condition.Type {
			continue
		}
		if stored.Status == condition.Status {
			condition.LastTransitionTime = stored.LastTransitionTime
		}
		*stored = condition
		return
	}
	pod.Status.Conditions = append(pod.Status.Conditions, condition)
}

// jobOwnerReference returns the reference by which Pods name their Job.
func jobOwnerReference(job *job) metav1.OwnerReference {
	yes := true
	return metav1.OwnerReference{
		APIVersion:         "batch/v1",
		Kind:               "Job",
		Name:               job.object.Name,
		UID:                job.uid,
		Controller:         &yes,
		BlockOwnerDeletion: &yes,
	}
}

// deletionGracePeriod is the deletionGracePeriodSeconds of deleted Pods, as the Kubernetes API sets it by default.
const deletionGracePeriod = 30

// showPlaced writes the outcome of a task that a node has accepted into its Pod.
func showPlaced(pod *corev1.Pod, now metav1.Time, node, message string) {
	showSettled(pod, now, outcomePlaced, message)
	pod.Spec.NodeName = node
	setPodCondition(pod, corev1.PodCondition{Type: corev1.PodScheduled, Status: corev1.ConditionTrue, LastTransitionTime: now})
}

// showUnplaced writes the outcome of a task that no node has accepted into its Pod.
func showUnplaced(pod *corev1.Pod, now metav1.Time, outcome taskOutcome, message string) {
	showSettled(pod, now, outcome, message)
	pod.Status.Phase = corev1.PodFailed
	pod.Status.Reason = string(outcome)
	pod.Status.Message = message
	setPodCondition(pod, corev1.PodCondition{
		Type:               corev1.PodScheduled,
		Status:             corev1.ConditionFalse,
		Reason:             corev1.PodReasonUnschedulable,
		Message:            message,
		LastTransitionTime: now,
	})
}

// showSettled writes the final outcome of a task into its Pod.
func showSettled(pod *corev1.Pod, now metav1.Time, outcome taskOutcome, message string) {
	setPodCondition(pod, corev1.PodCondition{
		Type:               wellknown.Settled,
		Status:             corev1.ConditionTrue,
		Reason:             string(outcome),
		Message:            message,
		LastTransitionTime: now,
		LastProbeTime:      now,
	})
}

// showStarted marks the containers of a Pod as running.
func showStarted(pod *corev1.Pod, now metav1.Time) {
	pod.Status.Phase = corev1.PodRunning
	pod.Status.StartTime = &now
	pod.Status.ContainerStatuses = nil
	started := true
	for i := range pod.Spec.Containers {
		container := &pod.Spec.Containers[i]
		pod.Status.ContainerStatuses = append(pod.Status.ContainerStatuses, corev1.ContainerStatus{
			Name:    container.Name,
			Image:   container.Image,
			Ready:   true,
			Started: &started,
			State:   corev1.ContainerState{Running: &corev1.ContainerStateRunning{StartedAt: now}},
		})
	}
	for _, condition := range []corev1.PodConditionType{corev1.PodInitialized, corev1.ContainersReady, corev1.PodReady} {
		setPodCondition(pod, corev1.PodCondition{Type: condition, Status: corev1.ConditionTrue, LastTransitionTime: now})
	}
}

// showEnded writes the end of a task into its Pod.
func showEnded(pod *corev1.Pod, now metav1.Time, end *taskEnd) {
	pod.Status.Phase = corev1.PodFailed
	if end.succeeded() {
		pod.Status.Phase = corev1.PodSucceeded
	}
	pod.Status.Reason = end.podReason
	pod.Status.Message = end.podMessage
	setPodCondition(pod, corev1.PodCondition{
		Type:               corev1.PodReady,
		Status:             corev1.ConditionFalse,
		Reason:             "PodCompleted",
		LastTransitionTime: now,
	})
	terminated := corev1.ContainerStateTerminated{ExitCode: end.exitCode(), Reason: end.podReason, FinishedAt: now}
	for i := range pod.Status.ContainerStatuses {
		container := &pod.Status.ContainerStatuses[i]
		container.Ready = false
		container.State = corev1.ContainerState{Terminated: terminated.DeepCopy()}
	}
}

// showDeleted marks a Pod as deleted: it is removed once its task has ended.
func showDeleted(pod *corev1.Pod, now metav1.Time) {
	gracePeriod := int64(deletionGracePeriod)
	pod.DeletionTimestamp = &now
	pod.DeletionGracePeriodSeconds = &gracePeriod
}
