package admission

import "heathshed/placer"

// Request is a placement request that a client submits for admission. All times are readings of the caller's
// clock.
type Request struct {
	ID       uint64
	Tenant   int     // Tenant is an index into Config.Shares; a value out of range counts as tenant 0.
	Priority int     // Priority orders requests within a tenant; a higher priority is admitted first.
	Cost     float64 // Cost is the fraction of a node that the task needs; at least minCost is charged.
	// Deadline is the time at which this request expires. The client may submit another request for the task
	// until ClientDeadline.
	Deadline placer.Seconds
	// ClientDeadline is the time at which the client stops waiting for the task to be placed. It is not
	// earlier than Deadline.
	ClientDeadline placer.Seconds
	// LatencyObjective is the time after the arrival of the request within which the task should start.
	LatencyObjective placer.Seconds
	// IsRetry reports that earlier attempts on nodes did not place the task. If all earlier requests for the
	// task were shed by the Controller, the request is a first attempt.
	IsRetry bool
	// ShedBefore reports that the Controller shed an earlier request for the same task.
	ShedBefore bool
}

// requestClass is the first criterion for the order in which a tenant's queued requests are admitted. All
// requests of one class are admitted before those of the next class.
type requestClass int

const (
	classFirst   requestClass = iota // classFirst contains first attempts that may still start in time.
	classDemoted                     // classDemoted contains first attempts that are late, because they were shed before or demoted in the queue.
	classRetry                       // classRetry contains retries, which use the retry budget.
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

// latestStart returns the latest useful admission time of a request that must be placed by the given
// deadline. It lies half a latency objective before the deadline.
func (r *Request) latestStart(deadline placer.Seconds) placer.Seconds {
	return deadline - r.LatencyObjective/2
}
