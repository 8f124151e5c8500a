package admission

import (
	"math"

	"heathshed/placer"
)

// ShedRequest describes a request that was shed. The task of a shed request was never sent to a node, so it is
// safe for the client to submit a new request.
type ShedRequest struct {
	ID         uint64
	RetryAfter placer.Seconds // RetryAfter is the time after which the client should submit a new request.
	Reason     string         // Reason is ReasonLate, ReasonQueueFull or ReasonRetryBudget.
}

// The constants whose names begin with Reason state why a request was shed. Their texts are shown to users.
const (
	ReasonLate        = "it waited until it could no longer start in time"
	ReasonQueueFull   = "too many placement requests are queued"
	ReasonRetryBudget = "the retry budget is used up"
)

// maxRetryAfter is the upper bound of ShedRequest.RetryAfter before it is multiplied by one of the factors
// that retryAfterSteps describes. The admission rate during a fault does not predict the rate after the
// fault. With a longer delay, a client would submit its next request long after capacity is available again.
const maxRetryAfter placer.Seconds = 15

// retryAfterSteps is the number of distinct factors between 0.75 and 1.25 of which newShedRequest selects one
// for each ShedRequest.RetryAfter. Two requests that are shed one after the other get different factors.
// Otherwise, clients whose requests are shed together would retry in synchronized waves.
const retryAfterSteps = 16

// newShedRequest returns the ShedRequest for the request with the given ID. Its RetryAfter is roughly the time
// that the controller needs to admit all queued requests at the current admission rate, up to maxRetryAfter.
func (c *Controller) newShedRequest(id uint64, reason string) ShedRequest {
	wait := 1 + placer.Seconds(float64(c.queue.len())/max(c.rate.perSecond, 1))
	step := (c.ShedLate + c.ShedFull + c.ShedRetry) % retryAfterSteps
	cyclePosition := float64(step) / retryAfterSteps
	return ShedRequest{
		ID:         id,
		RetryAfter: min(wait, maxRetryAfter) * placer.Seconds(0.75+0.5*cyclePosition),
		Reason:     reason,
	}
}

// admissionRate measures the number of admissions per second as an exponential moving average with a time
// constant of one second.
type admissionRate struct {
	perSecond float64
	updatedAt placer.Seconds
}

func (r *admissionRate) recordAdmission(now placer.Seconds) {
	elapsed := max(now-r.updatedAt, 0)
	r.perSecond = r.perSecond*math.Exp(float64(-elapsed)) + 1
	r.updatedAt = now
}
