package retry

import "heathshed/placer"

// backoffJitterRange is the width of the interval from which a jittered delay is drawn, as a fraction of the
// delay without jitter. The interval is centered on that delay.
const backoffJitterRange = 0.5

// Backoff computes the delay before a failed call is repeated. The delay starts at Min and doubles with each
// failure up to Max. The zero value is ready to use and always returns a delay of zero.
type Backoff struct {
	Min, Max placer.Seconds
	failures int
}

// Next records a failure and returns the delay before the next call. The argument jitter is a random number
// from 0 to 1 that the caller draws.
func (b *Backoff) Next(jitter float64) placer.Seconds {
	delay := b.Min
	for i := 0; i < b.failures && delay < b.Max; i++ {
		delay *= 2
	}
	b.failures++
	return min(delay, b.Max) * placer.Seconds(1-backoffJitterRange/2+backoffJitterRange*jitter)
}

// Reset makes the next delay start at Min again. The caller resets a Backoff after a successful call.
func (b *Backoff) Reset() { b.failures = 0 }
