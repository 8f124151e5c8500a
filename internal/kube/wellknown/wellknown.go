// Package wellknown defines what the project adds to the Kubernetes API: labels, annotations, conditions,
// reasons and header fields. The package also formats and parses the values of these additions (dict.go,
// timestamp.go), and reads those parts of API objects on which scheduling decisions depend (objects.go).
//
// All packages that handle API objects use this package. Schedulers, nodes and clients exchange the texts
// that the package defines, so these texts must not change. The package uses no I/O, no clock and no
// global state.
package wellknown

import corev1 "k8s.io/api/core/v1"

// These are keys of labels. The comment of each key states which objects have the label.
const (
	Class           = "heathshed.io/class"                       // on Pod templates and Pods: names the task class
	Service         = "heathshed.io/service"                     // on Pod templates and Pods: names the service of the task; the Job's name is the default
	Scheduler       = "heathshed.io/scheduler"                   // on Pods that a scheduler sends to nodes: states the name of the scheduler
	JobName         = "batch.kubernetes.io/job-name"             // on Pods: states the name of the Job
	JobUID          = "batch.kubernetes.io/controller-uid"       // on Pods: states the UID of the Job
	CompletionIndex = "batch.kubernetes.io/job-completion-index" // on Pods: states the completion index within the Job
	Zone            = corev1.LabelTopologyZone                   // on Nodes: names the topology zone
	Rack            = "heathshed.io/rack"                        // on Nodes: names the rack
	NodeType        = corev1.LabelInstanceTypeStable             // on Nodes: names the node type
)

// These are keys of annotations. The comment of each key states which objects have the annotation.
const (
	OutcomeDeadline = "heathshed.io/give-up-at" // on Pods: states the time until which the client waits for the final outcome
	// JobManifest contains the Job of a Pod as JSON. A scheduler sets it on the Pods that it sends to nodes, and
	// rebuilds the Job from it after a restart.
	JobManifest       = "heathshed.io/job"
	AttemptAnnotation = "heathshed.io/attempt"  // on Pods that a node reports: states the number of the attempt that the node accepted
	Usage             = "heathshed.io/use"      // on Pods that a node reports: states the cores and the memory that the Pod uses, as an RFC 9651 dictionary
	Lifetime          = "heathshed.io/lifetime" // on Pods: states for how many seconds an emulated node runs the Pod
	FreeCapacity      = "heathshed.io/free"     // on Nodes: states the cores and the memory that no Pod requests, as an RFC 9651 dictionary
	StartedAt         = "heathshed.io/started"  // on Nodes: states the time at which the node last started
)

// The dictionaries in the annotations Usage and FreeCapacity have members with these names. The
// dictionaries state memory in GiB.
const (
	DictCores  = "cores"
	DictMemory = "memory"
)

// Settled is the type of the condition that a Pod gets once the outcome of its task is final. A Job gets
// this condition once the outcomes of all its tasks are final.
const Settled = "heathshed.io/Settled"

// The Settled condition has one of these reasons.
const (
	Placed   = "Placed"  // a node accepted the task of the Pod; for a Job, nodes accepted all of its tasks
	Rejected = "Refused" // the task of the Pod certainly never ran; for a Job, none of its tasks ran
	Failed   = "Failed"  // the outcome is neither Placed nor Rejected
)

// These are the names of HTTP header fields in requests and answers between schedulers and nodes.
const (
	AttemptHeader     = "Heathshed-Attempt" // states the number of the attempt; all attempts for a Pod are counted together
	LoadHeader        = "Heathshed-Load"    // contains the node's load report as an RFC 9651 dictionary
	IncarnationHeader = "Heathshed-Boot"    // identifies the node's incarnation
)

// A node states one of these reasons for a Pod that the node has rejected or that has ended. The kubelet
// states reasons in the same place.
const (
	OutOfCPU    = "OutOfcpu"       // the node rejected the Pod because too few cores are free
	OutOfMemory = "OutOfmemory"    // the node rejected the Pod because too little memory is free
	QueueFull   = "TooManyWaiting" // the node rejected the Pod because too many Pods wait to start
	// A Pod is rejected with the reason WrongNode if the node is draining, if a stop order for the attempt
	// arrived first, or if the Pod is for another node.
	WrongNode    = "NotHere"
	Evicted      = "Evicted"      // the node ended the Pod because the node ran out of memory
	Preempted    = "Preempting"   // the node ended the Pod in favor of a Pod of higher priority
	Drained      = "NodeShutdown" // the node ended the Pod because the node is draining
	NeverStarted = "NeverStarted" // the Pod ended before its task ran
	Stopped      = "Stopped"      // the node ended the Pod because of a stop order
	// NodeLost is stated by the scheduler and not by a node. It means that the Pod was lost with its node, or that
	// the node no longer reports the Pod.
	NodeLost = "NodeLost"
)
