package engine

import (
	"strconv"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// podRevision returns the resource version of a Pod as a number, as the node of the Pod states it. It
// returns 0 if the resource version is not a number.
func podRevision(pod *corev1.Pod) int64 {
	revision, _ := strconv.ParseInt(pod.ResourceVersion, 10, 64)
	return revision
}

// The engine stores these exit codes for the containers of ended tasks. Nodes do not report exit codes.
// The engine derives an exit code from the way in which the task ended.
const (
	exitSuccess = 0
	exitFailure = 1
	exitKilled  = 137 // 128 + SIGKILL, as a container runtime reports a killed process
)

// exitCode returns the exit code that the engine stores for each container of an ended task.
func (end *taskEnd) exitCode() int32 {
	switch {
	case end.succeeded():
		return exitSuccess
	case end.result == placer.Finished:
		return exitFailure
	}
	return exitKilled
}

// setPodCondition adds a condition to a Pod or replaces the condition of the same type. The time of the last
// transition changes only if the status of the condition changes.
func setPodCondition(pod *corev1.Pod, condition corev1.PodCondition) {
	for i := range pod.Status.Conditions {
		storedCondition := &pod.Status.Conditions[i]
		if storedCondition.Type != condition.Type {
			continue
		}
		if storedCondition.Status == condition.Status {
			condition.LastTransitionTime = storedCondition.LastTransitionTime
		}
		*storedCondition = condition
		return
	}
	pod.Status.Conditions = append(pod.Status.Conditions, condition)
}

// jobOwnerReference returns the owner reference by which a Pod refers to its Job.
func jobOwnerReference(job *job) metav1.OwnerReference {
	trueValue := true
	return metav1.OwnerReference{
		APIVersion:         "batch/v1",
		Kind:               "Job",
		Name:               job.object.Name,
		UID:                job.uid,
		Controller:         &trueValue,
		BlockOwnerDeletion: &trueValue,
	}
}

// deletionGracePeriodSeconds is the grace period in seconds that deleted Pods state. The Kubernetes API
// has the same default.
const deletionGracePeriodSeconds = 30

// setPodPlaced records in a Pod that a node has accepted the Pod's task.
func setPodPlaced(pod *corev1.Pod, now metav1.Time, nodeName, message string) {
	setPodSettled(pod, now, outcomePlaced, message)
	pod.Spec.NodeName = nodeName
	setPodCondition(pod, corev1.PodCondition{Type: corev1.PodScheduled, Status: corev1.ConditionTrue, LastTransitionTime: now})
}

// setPodUnplaced records in a Pod that the Pod's task has ended and was not placed.
func setPodUnplaced(pod *corev1.Pod, now metav1.Time, outcome taskOutcome, message string) {
	setPodSettled(pod, now, outcome, message)
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

// setPodSettled writes the final outcome of a task into the Settled condition of its Pod.
func setPodSettled(pod *corev1.Pod, now metav1.Time, outcome taskOutcome, message string) {
	setPodCondition(pod, corev1.PodCondition{
		Type:               wellknown.Settled,
		Status:             corev1.ConditionTrue,
		Reason:             string(outcome),
		Message:            message,
		LastTransitionTime: now,
		LastProbeTime:      now,
	})
}

// setPodStarted marks a Pod and its containers as running.
func setPodStarted(pod *corev1.Pod, now metav1.Time) {
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

// setPodEnded records in a Pod how the Pod's task has ended.
func setPodEnded(pod *corev1.Pod, now metav1.Time, end *taskEnd) {
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
	terminatedState := corev1.ContainerStateTerminated{ExitCode: end.exitCode(), Reason: end.podReason, FinishedAt: now}
	for i := range pod.Status.ContainerStatuses {
		containerStatus := &pod.Status.ContainerStatuses[i]
		containerStatus.Ready = false
		containerStatus.State = corev1.ContainerState{Terminated: terminatedState.DeepCopy()}
	}
}

// setPodDeleted marks a Pod as being deleted. The Pod is removed from the store once its task has ended.
func setPodDeleted(pod *corev1.Pod, now metav1.Time) {
	gracePeriod := int64(deletionGracePeriodSeconds)
	pod.DeletionTimestamp = &now
	pod.DeletionGracePeriodSeconds = &gracePeriod
}
