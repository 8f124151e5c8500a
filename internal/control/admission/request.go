package admission

import "heathshed/placer"

// Request is a placement request that a client submits for admission. All times are readings of the clock of
// the Controller's caller.
type Request struct {
	ID       uint64
	Tenant   int     // Tenant is an index into Config.Shares; a value out of range counts as tenant 0.
	Priority int     // Priority orders requests within a tenant; a higher priority is admitted first.
	Cost     float64 // Cost is the fraction of a node's resources that the task needs; a Cost below minCost counts as minCost.
	// Deadline is the time at which this request expires. Even after Deadline, the client can submit another
	// request for the same task until ClientDeadline.
	Deadline placer.Seconds
	// ClientDeadline is the time at which the client stops waiting for the task to be placed. It is not
	// earlier than Deadline.
	ClientDeadline placer.Seconds
	// LatencyObjective is the time after the arrival of the request within which the task should start.
	LatencyObjective placer.Seconds
	// IsRetry means that earlier attempts to start the task on a node have failed. A request is not a retry if
	// the Controller shed all earlier requests for the task, because then no attempt was made.
	IsRetry bool
	// ShedBefore means that the Controller shed an earlier request for the same task.
	ShedBefore bool
}

// requestClass determines in which order the queued requests of a tenant are admitted. All requests of one
// class are admitted before the requests of the next class. Within a class, Request.Priority decides.
type requestClass int

const (
	classFirst requestClass = iota // classFirst contains first attempts whose tasks can still start in time.
	// classDemoted contains the first attempts whose tasks can no longer start before Request.Deadline, and the
	// first attempts that follow a shed request for the same task.
	classDemoted
	classRetry // classRetry contains retries, each of which uses a token of the retry budget.
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

// latestStart returns the latest time at which it is useful to admit a request whose task must be placed by
// the given deadline. It is the deadline minus half of the latency objective.
func (r *Request) latestStart(deadline placer.Seconds) placer.Seconds {
	return deadline - r.LatencyObjective/2
}
