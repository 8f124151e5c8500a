// Package wellknown defines the project's additions to the Kubernetes API: labels, annotations, conditions, reasons and header fields, with the
// text forms of their values (dict.go, timestamp.go). It also reads the parts of API objects that decisions depend on (objects.go).
//
// All packages that handle API objects use it. The texts are part of the wire protocol between schedulers, nodes and clients: they must not
// change. The package is pure.
package wellknown

import corev1 "k8s.io/api/core/v1"

// Labels.
const (
	Class           = "heathshed.io/class"                       // on pod templates and Pods: the task's class
	Service         = "heathshed.io/service"                     // on pod templates and Pods: the task's service; the Job's name if absent
	Scheduler       = "heathshed.io/scheduler"                   // on Pods at nodes: the scheduler that placed them
	JobName         = "batch.kubernetes.io/job-name"             // on Pods: the Job's name
	JobUID          = "batch.kubernetes.io/controller-uid"       // on Pods: the Job's UID
	CompletionIndex = "batch.kubernetes.io/job-completion-index" // on Pods: the completion index within the Job
	Zone            = corev1.LabelTopologyZone                   // on Nodes
	Rack            = "heathshed.io/rack"                        // on Nodes
	NodeType        = corev1.LabelInstanceTypeStable             // on Nodes: the node type
)

// Annotations.
const (
	OutcomeDeadline   = "heathshed.io/give-up-at" // on Pods: a timestamp; when the client stops waiting for the final outcome
	JobManifest       = "heathshed.io/job"        // on Pods at nodes: the Job as JSON, for a restarted scheduler that adopts the Pod
	AttemptAnnotation = "heathshed.io/attempt"    // on Pods at nodes: the number of the accepted attempt
	Usage             = "heathshed.io/use"        // on Pods at nodes: a Dict; cores and memory in use
	Lifetime          = "heathshed.io/lifetime"   // on Pods: how many seconds the emulator lets them run
	FreeCapacity      = "heathshed.io/free"       // on Nodes: a Dict; cores and memory that no Pod requests
	StartedAt         = "heathshed.io/started"    // on Nodes: a timestamp; the last start
)

// Members of the Dict of Usage and FreeCapacity. Memory is in GiB.
const (
	DictCores  = "cores"
	DictMemory = "memory"
)

// Settled is the type of the condition that a Pod or a Job gets once, when its outcome is final.
const Settled = "heathshed.io/Settled"

// Reasons of the Settled condition.
const (
	Placed   = "Placed"  // a node accepted the task; for a Job: all tasks
	Rejected = "Refused" // it certainly never ran; for a Job: no task did
	Failed   = "Failed"  // everything else
)

// Header fields between a scheduler and a node.
const (
	AttemptHeader     = "Heathshed-Attempt" // number of the attempt for this Pod
	LoadHeader        = "Heathshed-Load"    // a Dict; the node's load report
	IncarnationHeader = "Heathshed-Boot"    // identity of the node's incarnation
)

// Reasons that a node states for a Pod that it rejected or that has ended, as the kubelet does.
const (
	OutOfCPU     = "OutOfcpu"       // rejected
	OutOfMemory  = "OutOfmemory"    // rejected
	QueueFull    = "TooManyWaiting" // rejected: too many Pods wait to start
	WrongNode    = "NotHere"        // rejected: the Pod was sent to another node
	Evicted      = "Evicted"
	Preempted    = "Preempting"
	Drained      = "NodeShutdown"
	NeverStarted = "NeverStarted" // ended before it ran
	Stopped      = "Stopped"      // ended by a stop order
	NodeLost     = "NodeLost"     // stated by the scheduler: the node does not answer for the Pod any more
)
