package retry

// Backoff doubles a wait from Min to Max seconds. The zero value waits not at all.
type Backoff struct {
	Min, Max float64
	failures int
}

// Next returns the wait after one more failure. jitter is a random number from 0 to 1 that spreads it over half its length.
func (b *Backoff) Next(jitter float64) float64 {
	delay := b.Min
	for i := 0; i < b.failures && delay < b.Max; i++ {
		delay *= 2
	}
	b.failures++
	return min(delay, b.Max) * (0.75 + 0.5*jitter)
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.failures = 0 }
