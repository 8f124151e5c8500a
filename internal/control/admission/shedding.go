package admission

import (
	"math"

	"heathshed/placer"
)

// ShedRequest is a request that was shed. It was never sent to a node, so its client may submit another one.
type ShedRequest struct {
	ID         uint64
	RetryAfter placer.Seconds // time after which the client should submit again
	Reason     string         // one of the Reason constants
}

// The reasons for which requests are shed, as users read them.
const (
	ReasonLate        = "it waited until it could no longer start in time"
	ReasonQueueFull   = "too many placement requests are queued"
	ReasonRetryBudget = "the retry budget is used up"
)

// maxRetryAfter bounds ShedRequest.RetryAfter. The admission rate during a fault does not predict the rate after it, and a client with a long
// delay would return long after capacity does.
const maxRetryAfter placer.Seconds = 15

// retryAfterSteps is the number of steps over which RetryAfter is spread, so that clients do not retry in synchronized waves.
const retryAfterSteps = 16

// shed returns the ShedRequest for a request. Its RetryAfter is about the time that the queue takes to empty.
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

// admissionRate is the number of admissions a second, smoothed over about a second.
type admissionRate struct {
	perSecond float64
	updatedAt placer.Seconds
}

func (r *admissionRate) record(now placer.Seconds) {
	elapsed := max(now-r.updatedAt, 0)
	r.perSecond = r.perSecond*math.Exp(float64(-elapsed)) + 1
	r.updatedAt = now
}
