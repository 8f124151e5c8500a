package placer

import (
	"math"
	"time"
)

// Seconds is a duration in seconds, or a time in seconds on the clock that the caller chooses.
//
// Seconds is a floating-point number and not a time.Duration because decisions must stay reproducible to the
// last bit. Times are multiplied by jitter, learned factors and fractions of a latency objective. If the
// intermediate results were rounded to nanoseconds, the Placer could choose other nodes. Seconds is a
// separate type, because a number of another unit could otherwise be passed as a time by mistake.
type Seconds float64

// Duration returns s rounded to the nearest nanosecond. The result is undefined if s is NaN or outside the
// range of a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(math.Round(float64(s) * float64(time.Second)))
}

// SecondsOf returns d in seconds. For durations of up to 100 days, the result is the floating-point number
// nearest to d, and Duration converts it back to exactly d.
func SecondsOf(d time.Duration) Seconds { return Seconds(float64(d) / float64(time.Second)) }
