package placer

import "math/rand/v2"

// jitterWidthFraction is the width of the interval from which a random delay is drawn, as a fraction of the
// mean delay. Without jitter, requests that start to wait at the same time would all be retried at the same
// time.
const jitterWidthFraction = 0.4

// jitter randomizes delays. It uses one random number for each delay.
type jitter struct {
	rng *rand.Rand
}

// randomize returns a random duration whose mean is the given duration.
func (j jitter) randomize(duration Seconds) Seconds {
	return duration * Seconds(1-jitterWidthFraction/2+jitterWidthFraction*j.rng.Float64())
}
