// Package wellknown defines the project's additions to the Kubernetes API: labels, annotations, conditions,
// reasons and header fields. It formats and parses their values (dict.go, timestamp.go) and reads the parts
// of API objects on which scheduling decisions depend (objects.go).
//
// All packages that handle API objects use it. The texts are part of the wire protocol between schedulers,
// nodes and clients and must not change. The package is pure.
package wellknown

import corev1 "k8s.io/api/core/v1"

// Labels.
const (
	Class           = "heathshed.io/class"                       // on pod templates and Pods: names the task's class
	Service         = "heathshed.io/service"                     // on pod templates and Pods: names the task's service; the default is the Job's name
	Scheduler       = "heathshed.io/scheduler"                   // on Pods at nodes: names the scheduler that placed the Pod
	JobName         = "batch.kubernetes.io/job-name"             // on Pods: states the name of the Job
	JobUID          = "batch.kubernetes.io/controller-uid"       // on Pods: states the UID of the Job
	CompletionIndex = "batch.kubernetes.io/job-completion-index" // on Pods: states the completion index within the Job
	Zone            = corev1.LabelTopologyZone                   // on Nodes: names the topology zone
	Rack            = "heathshed.io/rack"                        // on Nodes: names the rack
	NodeType        = corev1.LabelInstanceTypeStable             // on Nodes: names the node type
)

// Annotations.
const (
	OutcomeDeadline   = "heathshed.io/give-up-at" // on Pods: timestamp until which the client awaits the final outcome
	JobManifest       = "heathshed.io/job"        // on Pods at nodes: Job as JSON for a restarted scheduler that adopts the Pod
	AttemptAnnotation = "heathshed.io/attempt"    // on Pods at nodes: states the number of the attempt that the node accepted
	Usage             = "heathshed.io/use"        // on Pods at nodes: Dict of the cores and the memory that the Pod uses
	Lifetime          = "heathshed.io/lifetime"   // on Pods: states for how many seconds an emulated node runs the Pod
	FreeCapacity      = "heathshed.io/free"       // on Nodes: Dict of the cores and the memory that no Pod requests
	StartedAt         = "heathshed.io/started"    // on Nodes: timestamp of the node's last start
)

// Members of the Dict in the annotations Usage and FreeCapacity. Memory is in GiB.
const (
	DictCores  = "cores"
	DictMemory = "memory"
)

// Settled is the type of the condition that a Pod or a Job gets once its outcome is final.
const Settled = "heathshed.io/Settled"

// Reasons of the Settled condition.
const (
	Placed   = "Placed"  // a node accepted the task of the Pod; for a Job, nodes accepted all tasks
	Rejected = "Refused" // the task of the Pod certainly never ran; for a Job, none of its tasks ran
	Failed   = "Failed"  // the outcome is neither Placed nor Rejected
)

// Header fields between a scheduler and a node.
const (
	AttemptHeader     = "Heathshed-Attempt" // states the number of the attempt within its Pod
	LoadHeader        = "Heathshed-Load"    // contains the Dict of the node's load report
	IncarnationHeader = "Heathshed-Boot"    // identifies the node's incarnation
)

// Reasons that a node states for a Pod that it rejected or that has ended. The kubelet states reasons in
// the same way.
const (
	OutOfCPU     = "OutOfcpu"       // rejected for lack of cores
	OutOfMemory  = "OutOfmemory"    // rejected for lack of memory
	QueueFull    = "TooManyWaiting" // rejected because too many Pods wait to start
	WrongNode    = "NotHere"        // rejected: the node drains, the attempt was stopped, or the Pod is for another node
	Evicted      = "Evicted"
	Preempted    = "Preempting"
	Drained      = "NodeShutdown"
	NeverStarted = "NeverStarted" // ended before the task ran
	Stopped      = "Stopped"      // ended because of a stop order
	NodeLost     = "NodeLost"     // stated by the scheduler if the node no longer reports the Pod
)
