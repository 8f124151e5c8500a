package retry

import "heathshed/placer"

// backoffJitterRange is the difference between the longest and the shortest delay with jitter, as a fraction
// of the delay without jitter. The delay without jitter is halfway between these two delays.
const backoffJitterRange = 0.5

// Backoff computes the delay before a failed call is repeated. The delay without jitter starts at Min and
// doubles with each failure up to Max. The zero value is ready to use, and its delay is always zero.
type Backoff struct {
	Min, Max placer.Seconds
	failures int
}

// Next records a failed call and returns the delay before the call is repeated. The argument jitter is a random
// number from 0 to 1 that the caller draws.
func (b *Backoff) Next(jitter float64) placer.Seconds {
	delay := b.Min
	for i := 0; i < b.failures && delay < b.Max; i++ {
		delay *= 2
	}
	b.failures++
	return min(delay, b.Max) * placer.Seconds(1-backoffJitterRange/2+backoffJitterRange*jitter)
}

// Reset sets the delay without jitter back to Min. The caller resets a Backoff after a successful call.
func (b *Backoff) Reset() { b.failures = 0 }
