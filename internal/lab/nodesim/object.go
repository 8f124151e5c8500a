package nodesim

import (
	"strconv"

	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/placer"
)

var apiReasons = map[Reason]string{
	InsufficientCores:  wellknown.OutOfCPU,
	InsufficientMemory: wellknown.OutOfMemory,
	QueueFull:          wellknown.QueueFull,
	WrongNode:          wellknown.WrongNode,
	Evicted:            wellknown.Evicted,
	Preempted:          wellknown.Preempted,
	Drained:            wellknown.Drained,
	Stopped:            wellknown.Stopped,
	NeverRan:           wellknown.NeverStarted,
}

// APIReason returns the reason as nodes state it in the API, "" for None.
func (reason Reason) APIReason() string { return apiReasons[reason] }

var podPhases = map[Phase]corev1.PodPhase{
	Accepted:   corev1.PodPending,
	Running:    corev1.PodRunning,
	Succeeded:  corev1.PodSucceeded,
	Terminated: corev1.PodFailed,
}

// EventKind returns the kind of the audit event by which a task enters the phase.
func (phase Phase) EventKind() audit.EventKind {
	switch phase {
	case Accepted:
		return audit.Accepted
	case Running:
		return audit.Started
	}
	return audit.Ended
}

// PodRequest returns the request of an attempt to run a Pod, without a lifetime. The Pod becomes the payload.
func PodRequest(pod *corev1.Pod, attempt, priority int) Request {
	cores, memory := wellknown.ResourceRequests(&pod.Spec)
	return Request{UID: string(pod.UID), Attempt: attempt, Service: PodService(pod), Cores: cores, Memory: memory, Priority: priority, Payload: pod}
}

// PodService returns the service of a Pod with its namespace. A Pod without one belongs to its Job.
func PodService(pod *corev1.Pod) string {
	service := pod.Labels[wellknown.Service]
	if service == "" {
		service = pod.Labels[wellknown.JobName]
	}
	return pod.Namespace + "/" + service
}

// Pod returns the Pod of a task as its node reports it. The payload of the task must be the Pod of the request.
func Pod(task *Task, nodeName string) *corev1.Pod {
	requested := task.Payload.(*corev1.Pod)
	pod := &corev1.Pod{ObjectMeta: *requested.ObjectMeta.DeepCopy(), Spec: requested.Spec}
	pod.Spec.NodeName = nodeName
	if pod.Annotations == nil {
		pod.Annotations = map[string]string{}
	}
	pod.Annotations[wellknown.AttemptAnnotation] = strconv.Itoa(task.Attempt)
	if task.Phase == Running {
		pod.Annotations[wellknown.Usage] = wellknown.FormatCapacity(task.UsedCores, task.UsedMemory)
	}
	pod.Status = corev1.PodStatus{Phase: podPhases[task.Phase], Reason: task.Reason.APIReason()}
	return pod
}

// Identity is what a node reports of itself in addition to its resources.
type Identity struct {
	Name, Zone, Rack, Kind string
	Incarnation            string
	StartedAt              placer.Seconds // by the node's own clock; 0 for a node that started warm
	Host                   string
	Port                   int32
}

// Object returns the node as it reports itself to the inventory.
func (n *Node) Object(identity Identity) *corev1.Node {
	object := &corev1.Node{}
	object.Name = identity.Name
	object.UID = types.UID("node-" + identity.Name)
	object.Labels = map[string]string{wellknown.Zone: identity.Zone, wellknown.Rack: identity.Rack, wellknown.NodeType: identity.Kind}
	cores, memory := n.Free()
	object.Annotations = map[string]string{wellknown.FreeCapacity: wellknown.FormatCapacity(cores, memory)}
	if identity.StartedAt != 0 {
		object.Annotations[wellknown.StartedAt] = wellknown.FormatTimestamp(identity.StartedAt)
	}
	object.Spec.Unschedulable = n.draining
	object.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	object.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: identity.Host}}
	object.Status.DaemonEndpoints.KubeletEndpoint.Port = identity.Port
	object.Status.NodeInfo.BootID = identity.Incarnation
	return object
}
