package nodesim

import (
	"strconv"

	"heathshed/placer"
)

// Reason says why a request was rejected or a task was terminated.
type Reason uint8

// The reasons. The first four after None are of rejections, the others of terminations.
const (
	None Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	WrongNode // the node drains, or the attempt is fenced
	Evicted   // memory ran out
	Preempted // a request of higher priority needed the resources
	Drained
	Stopped  // at a client's request
	NeverRan // stopped, drained or preempted before it ran
)

// Phase is the state of a task.
type Phase uint8

// The phases, in the order in which a task passes them; Succeeded and Terminated are final.
const (
	Accepted Phase = iota
	Running
	Succeeded
	Terminated // Task.Reason says why
)

// Request is a request to run a task: one attempt of a scheduler.
type Request struct {
	UID           string
	Attempt       int
	Service       string // tasks of one service share a program
	Cores, Memory float64
	Priority      int
	Lifetime      placer.Seconds // 0 for a random one
	Payload       any            // kept with the task; the node does not use it
}

// AttemptKey returns a map key for one attempt of a task.
func AttemptKey(uid string, attempt int) string { return uid + "/" + strconv.Itoa(attempt) }

// Task is an accepted request. Only its Node writes it.
type Task struct {
	Request
	Phase                     Phase
	Reason                    Reason
	UsedCores, UsedMemory     float64
	coresFactor, memoryFactor float64 // fractions of the requested cores and memory that the task uses
	startedAt                 placer.Seconds
	sequence                  int // in order of acceptance
	ran                       bool
	answered                  bool
}

// Ran reports whether the task ever ran.
func (task *Task) Ran() bool { return task.ran }

// ended reports whether the task is in a final phase.
func (task *Task) ended() bool { return task.Phase > Running }

// isRepeatedBy reports whether a request is a duplicate of the accepted one. A later attempt of a task that has ended here is not: it may start
// the task again.
func (task *Task) isRepeatedBy(request *Request) bool {
	return task != nil && (!task.ended() || request.Attempt <= task.Attempt)
}

// EffectKind selects the meaning of an Effect.
type EffectKind uint8

// The effects.
const (
	Answered   EffectKind = iota + 1 // a request: UID, Attempt, and Task if it was accepted, Reason if not
	Changed                          // Task has a new phase
	Removed                          // Task is no longer reported
	Overloaded                       // the node failed under load while it warmed up; there are no further effects
)

// Effect is a result of a call that others can see.
type Effect struct {
	Kind    EffectKind
	UID     string
	Attempt int
	Task    *Task
	Reason  Reason
}
