package admission

import "heathshed/placer"

// Request is a placement request submitted for admission. Times are on the clock of the caller.
type Request struct {
	ID       uint64
	Tenant   int     // index into Config.Shares; one out of range counts as tenant 0
	Priority int     // a higher priority is admitted first within its tenant
	Cost     float64 // fraction of a node's capacity that the task needs; at least minCost is charged
	// Deadline is when this request expires; the client may submit another one until FinalDeadline.
	Deadline placer.Seconds
	// FinalDeadline is when the client stops waiting for good. It is no earlier than Deadline.
	FinalDeadline placer.Seconds
	// LatencyObjective is how soon after its arrival the task should start.
	LatencyObjective placer.Seconds
	// IsRetry says that earlier attempts on nodes did not place the task. A request whose predecessors were all shed by the controller is a
	// first attempt.
	IsRetry bool
	// ShedBefore says that the controller shed an earlier request for the same task.
	ShedBefore bool
}

// requestClass is the order in which a tenant's queued requests are admitted: all of one class go before any of the next.
type requestClass int

const (
	classFirst   requestClass = iota // first attempts that may still start in time
	classDemoted                     // first attempts that are late already: shed before, or overdue in the queue
	classRetry                       // requests that use the retry budget
	numClasses
)

func (r *Request) class() requestClass {
	switch {
	case r.IsRetry:
		return classRetry
	case r.ShedBefore:
		return classDemoted
	}
	return classFirst
}

// latestStart returns the latest useful time of admission for a request that must be placed by a deadline: half of the latency objective before it.
func (r *Request) latestStart(deadline placer.Seconds) placer.Seconds {
	return deadline - r.LatencyObjective/2
}
