package admission

import (
	"math"

	"heathshed/placer"
)

// ShedRequest describes a request that was shed. The request was never sent to a node, so its client may
// submit a new one.
type ShedRequest struct {
	ID         uint64
	RetryAfter placer.Seconds // RetryAfter is the time after which the client should submit a new request.
	Reason     string         // Reason is one of the constants whose names begin with Reason.
}

// The constants whose names begin with Reason state why a request was shed. Their texts are shown to users.
const (
	ReasonLate        = "it waited until it could no longer start in time"
	ReasonQueueFull   = "too many placement requests are queued"
	ReasonRetryBudget = "the retry budget is used up"
)

// maxRetryAfter is the upper bound of ShedRequest.RetryAfter, before the spread is applied. The admission
// rate during a fault does not predict the rate after it, and a client with a longer delay would return long
// after capacity is available again.
const maxRetryAfter placer.Seconds = 15

// retryAfterSteps is the number of steps through which successive values of ShedRequest.RetryAfter cycle, so
// that clients do not retry in synchronized waves.
const retryAfterSteps = 16

// newShedRequest returns the ShedRequest for a request. Its RetryAfter is about the time in which the queue
// empties at the current admission rate.
func (c *Controller) newShedRequest(id uint64, reason string) ShedRequest {
	wait := 1 + placer.Seconds(float64(c.queue.len())/max(c.rate.perSecond, 1))
	step := (c.ShedLate + c.ShedFull + c.ShedRetry) % retryAfterSteps
	spread := float64(step) / retryAfterSteps
	return ShedRequest{
		ID:         id,
		RetryAfter: min(wait, maxRetryAfter) * placer.Seconds(0.75+0.5*spread),
		Reason:     reason,
	}
}

// admissionRate is the number of admissions per second, as an exponential moving average with a time constant
// of one second.
type admissionRate struct {
	perSecond float64
	updatedAt placer.Seconds
}

func (r *admissionRate) recordAdmission(now placer.Seconds) {
	elapsed := max(now-r.updatedAt, 0)
	r.perSecond = r.perSecond*math.Exp(float64(-elapsed)) + 1
	r.updatedAt = now
}
