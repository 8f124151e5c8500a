package retry

import "heathshed/placer"

// backoffSpread is the width of the jitter around a delay, as a fraction of it.
const backoffJitterRange = 0.5

// Backoff doubles a delay from Min to Max with each failure. The zero value does not delay at all.
type Backoff struct {
	Min, Max placer.Seconds
	failures int
}

// Next records a failure and returns the delay after it. jitter is a random number from 0 to 1.
func (b *Backoff) Next(jitter float64) placer.Seconds {
	delay := b.Min
	for i := 0; i < b.failures && delay < b.Max; i++ {
		delay *= 2
	}
	b.failures++
	return min(delay, b.Max) * placer.Seconds(1-backoffJitterRange/2+backoffJitterRange*jitter)
}

// Reset begins again at Min, as after a success.
func (b *Backoff) Reset() { b.failures = 0 }
