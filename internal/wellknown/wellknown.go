// Package meta names what the project adds to the Kubernetes API: labels, annotations, conditions and header fields, with
// the text forms of their values. It is pure and imports nothing of the project.
package wellknown

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dunglas/httpsfv"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// Labels.
const (
	Class     = "heathshed.io/class"     // class of a task, on the pod template
	Service   = "heathshed.io/service"   // service of a task; the Job's name if absent
	Scheduler = "heathshed.io/scheduler" // which scheduler placed a Pod; on Pods at machines
	JobName   = "batch.kubernetes.io/job-name"
	JobUID    = "batch.kubernetes.io/controller-uid"
	Index     = "batch.kubernetes.io/job-completion-index"
	Zone      = corev1.LabelTopologyZone
	Rack      = "heathshed.io/rack"
	Kind      = corev1.LabelInstanceTypeStable
)

// Annotations.
const (
	OutcomeDeadline = "heathshed.io/give-up-at" // on Pods: when the owner stops waiting for the outcome
	JobManifest     = "heathshed.io/job"        // on Pods at machines: the Job, for a scheduler that takes over
	FreeCapacity    = "heathshed.io/free"       // on Nodes: cores and memory that nobody asked for
	Started         = "heathshed.io/started"    // on Nodes: last start
	Usage           = "heathshed.io/use"        // on Pods at machines: cores and memory in use
	// AttemptAnnotation, on Pods at machines, is the number of the attempt that was accepted.
	AttemptAnnotation = "heathshed.io/attempt"
	Lifetime          = "heathshed.io/lifetime" // on Pods: how long the stand-in lets it run
)

// Settled is the condition that a Pod or Job gets once, with one of the three reasons.
const (
	Settled  = "heathshed.io/Settled"
	Placed   = "Placed"
	Rejected = "Refused"
	Failed   = "Failed"
)

// Header fields between a scheduler and a machine.
const (
	AttemptHeader     = "Heathshed-Attempt" // number of the attempt for this Pod; see the docs on machines
	LoadHeader        = "Heathshed-Load"    // RFC 9651 dictionary: free-cores, free-memory, busy, queue
	IncarnationHeader = "Heathshed-Boot"    // identity of this life of the machine
)

// Reasons that a machine states, as the kubelet does.
const (
	OutOfCPU     = "OutOfcpu"
	OutOfMemory  = "OutOfmemory"
	QueueFull    = "TooManyWaiting"
	WrongNode    = "NotHere"
	Evicted      = "Evicted"
	Preempted    = "Preempting"
	Drained      = "NodeShutdown"
	NeverStarted = "NeverStarted"
	Stopped      = "Stopped"
	NodeLost     = "NodeLost"
)

// Dict is a set of named numbers in the form of an RFC 9651 dictionary.
type Dict map[string]float64

// ParseDict reads a dictionary of numbers. Members that are none are left out.
func ParseDict(text string) (Dict, error) {
	if text == "" {
		return nil, nil
	}
	dictionary, err := httpsfv.UnmarshalDictionary([]string{text})
	if err != nil {
		return nil, fmt.Errorf("dictionary %.40q: %w", text, err)
	}
	out := Dict{}
	for _, key := range dictionary.Names() {
		member, _ := dictionary.Get(key)
		if item, ok := member.(httpsfv.Item); ok {
			switch value := item.Value.(type) {
			case float64:
				out[key] = value
			case int64:
				out[key] = float64(value)
			}
		}
	}
	return out, nil
}

// FormatDict writes named numbers with three decimals, in the order given: name, value, name, value.
func FormatDict(pairs ...any) string {
	var builder strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		if i > 0 {
			builder.WriteString(", ")
		}
		builder.WriteString(pairs[i].(string))
		builder.WriteByte('=')
		builder.WriteString(strconv.FormatFloat(pairs[i+1].(float64), 'f', 3, 64))
	}
	return builder.String()
}

// ParseTimestamp turns an instant into Unix seconds, 0 if it is not one.
func ParseTimestamp(text string) float64 {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return float64(t.UnixMicro()) / 1e6
}

// FormatTimestamp writes Unix seconds as RFC 3339 with microseconds.
func FormatTimestamp(seconds float64) string {
	return time.UnixMicro(int64(seconds * 1e6)).UTC().Format("2006-01-02T15:04:05.000000Z07:00")
}

// APITime turns Unix seconds into the API's time, which has whole seconds.
func APITime(seconds float64) metav1.Time {
	return metav1.NewTime(time.UnixMicro(int64(seconds * 1e6)).UTC().Truncate(time.Second))
}

// Gibibyte is the unit of memory that decisions count in.
const Gibibyte = 1 << 30

// Requests adds up what a Pod's containers ask for: cores, and memory in GiB. Init containers run one after another and
// count by the largest.
func Requests(spec *corev1.PodSpec) (cores, memory float64) {
	read := func(container *corev1.Container) (float64, float64) {
		requests := container.Resources.Requests
		cpu, mem := requests[corev1.ResourceCPU], requests[corev1.ResourceMemory]
		if cpu.IsZero() {
			cpu = container.Resources.Limits[corev1.ResourceCPU]
		}
		if mem.IsZero() {
			mem = container.Resources.Limits[corev1.ResourceMemory]
		}
		return float64(cpu.MilliValue()) / 1000, float64(mem.Value()) / Gibibyte
	}
	for i := range spec.Containers {
		container, memoryRequest := read(&spec.Containers[i])
		cores += container
		memory += memoryRequest
	}
	for i := range spec.InitContainers {
		container, memoryRequest := read(&spec.InitContainers[i])
		cores, memory = max(cores, container), max(memory, memoryRequest)
	}
	return cores, memory
}

// SettledReason returns the reason of a Pod's settled condition, or "".
func SettledReason(pod *corev1.Pod) string {
	for i := range pod.Status.Conditions {
		if condition := &pod.Status.Conditions[i]; condition.Type == Settled && condition.Status == corev1.ConditionTrue {
			return condition.Reason
		}
	}
	return ""
}

// Finished says whether a Pod will not run any more.
func Finished(pod *corev1.Pod) bool {
	return pod.Status.Phase == corev1.PodSucceeded || pod.Status.Phase == corev1.PodFailed
}

// NodeAddress is where a machine's API listens, or "".
func NodeAddress(node *corev1.Node) string {
	port := node.Status.DaemonEndpoints.KubeletEndpoint.Port
	for _, address := range node.Status.Addresses {
		if address.Type == corev1.NodeInternalIP && port > 0 {
			return fmt.Sprintf("%s:%d", address.Address, port)
		}
	}
	return ""
}

// NodeReady says whether the inventory takes the machine for alive.
func NodeReady(node *corev1.Node) bool {
	for _, condition := range node.Status.Conditions {
		if condition.Type == corev1.NodeReady {
			return condition.Status == corev1.ConditionTrue
		}
	}
	return false
}
