package placer

import (
	"math"
	"time"
)

// Seconds is a duration, or a time on the clock that the caller keeps, in seconds.
//
// It is a floating point number and not a time.Duration so that each decision stays equal to the last bit: times are
// multiplied by jitter, learned factors and fractions of an objective, and a rounding to whole nanoseconds on the way
// would change which of two nodes is drawn. It is a type of its own so that a number without a unit is not mistaken for a
// time.
type Seconds float64

// Duration returns s to the nearest nanosecond. Values beyond the range of a Duration, or that are not numbers, have no
// defined result.
func (s Seconds) Duration() time.Duration {
	return time.Duration(math.Round(float64(s) * float64(time.Second)))
}

// SecondsOf returns d in seconds: the floating point number next to d, for durations of up to a hundred days. Duration
// then gives d back.
func SecondsOf(d time.Duration) Seconds { return Seconds(float64(d) / float64(time.Second)) }
