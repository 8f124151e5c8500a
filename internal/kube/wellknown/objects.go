package wellknown

import (
	"fmt"

	corev1 "k8s.io/api/core/v1"
)

// Gibibyte is the number of bytes in a GiB. The scheduler states amounts of memory in GiB.
const Gibibyte = 1 << 30

// ResourceRequests returns the cores and the memory in GiB that a Pod requests. It adds up the requests of
// the containers. The init containers run one after another before the other containers, so only the
// largest of their requests counts.
func ResourceRequests(spec *corev1.PodSpec) (cores, memory float64) {
	for i := range spec.Containers {
		containerCores, containerMemory := containerRequests(&spec.Containers[i])
		cores += containerCores
		memory += containerMemory
	}
	for i := range spec.InitContainers {
		containerCores, containerMemory := containerRequests(&spec.InitContainers[i])
		cores = max(cores, containerCores)
		memory = max(memory, containerMemory)
	}
	return cores, memory
}

// containerRequests returns the cores and the memory in GiB that a container requests. If the container
// sets no request for a resource, its limit for the resource takes the place of the request.
func containerRequests(container *corev1.Container) (cores, memory float64) {
	cpuRequest := container.Resources.Requests[corev1.ResourceCPU]
	if cpuRequest.IsZero() {
		cpuRequest = container.Resources.Limits[corev1.ResourceCPU]
	}
	memoryRequest := container.Resources.Requests[corev1.ResourceMemory]
	if memoryRequest.IsZero() {
		memoryRequest = container.Resources.Limits[corev1.ResourceMemory]
	}
	return float64(cpuRequest.MilliValue()) / 1000, float64(memoryRequest.Value()) / Gibibyte
}

// SettledReason returns the reason of a Pod's Settled condition. It returns "" if the Pod does not have a
// final outcome yet.
func SettledReason(pod *corev1.Pod) string {
	for i := range pod.Status.Conditions {
		condition := &pod.Status.Conditions[i]
		if condition.Type == Settled && condition.Status == corev1.ConditionTrue {
			return condition.Reason
		}
	}
	return ""
}

// PodFinished reports whether a Pod has ended, either with success or with failure.
func PodFinished(pod *corev1.Pod) bool {
	return pod.Status.Phase == corev1.PodSucceeded || pod.Status.Phase == corev1.PodFailed
}

// NodeAddress returns the address of a node's API in the form host:port. It returns "" if the Node object
// does not state the host or the port.
func NodeAddress(node *corev1.Node) string {
	port := node.Status.DaemonEndpoints.KubeletEndpoint.Port
	for _, address := range node.Status.Addresses {
		if address.Type == corev1.NodeInternalIP && port > 0 {
			return fmt.Sprintf("%s:%d", address.Address, port)
		}
	}
	return ""
}

// NodeReady reports whether the Ready condition of a Node is true.
func NodeReady(node *corev1.Node) bool {
	for i := range node.Status.Conditions {
		condition := &node.Status.Conditions[i]
		if condition.Type == corev1.NodeReady {
			return condition.Status == corev1.ConditionTrue
		}
	}
	return false
}
