package placer

import "math/rand/v2"

// jitterFraction is the width of the jitter of a delay, as a fraction of it, so that requests do not retry in
// synchronized waves.
const jitterFraction = 0.4

// jitter randomizes delays. It draws one random number for each.
type jitter struct {
	rng *rand.Rand
}

// apply returns a random duration whose mean is the given one.
func (j jitter) apply(duration Seconds) Seconds {
	return duration * Seconds(1-jitterFraction/2+jitterFraction*j.rng.Float64())
}
