// Package clock defines Instant, which represents points in time in the event loop and in the servers and
// clients that run on the event loop. The package converts between Go's time types, Instant, and the
// floating-point seconds with which the schedulers compute. Each scheduler calls these conversions in a
// single file, which docs/architecture.md names.
package clock

import (
	"math"
	"time"

	"heathshed/placer"
)

// Instant is a point in time, in nanoseconds since the Unix epoch. The zero value means "never".
//
// An Instant takes 8 bytes, whereas a time.Time takes 24. The difference matters because a server keeps several
// points in time for each of thousands of idle connections. Instants can be compared with < and ==.
type Instant int64

// maxInstant is the latest instant that the type can represent. It lies in the year 2262.
const maxInstant Instant = math.MaxInt64

// floatSeconds is the constraint for types that represent a number of seconds in floating point, such as
// placer.Seconds and the type of durations in the settings.
type floatSeconds interface{ ~float64 }

// FromTime converts a time.Time to an Instant.
func FromTime(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time converts the instant to a time.Time.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// IsZero reports whether the instant is the zero value, which means "never".
func (i Instant) IsZero() bool { return i == 0 }

// Add returns the instant that is d later than i. On overflow, it returns the latest or the earliest instant.
func (i Instant) Add(d time.Duration) Instant {
	later := i + Instant(d)
	switch {
	case d > 0 && later < i:
		return maxInstant
	case d < 0 && later > i:
		return math.MinInt64
	}
	return later
}

// Sub returns the duration from the instant other to the instant i. The instant other must not be earlier than
// the Unix epoch.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// UnixMicro returns the number of microseconds from the Unix epoch to the instant.
func (i Instant) UnixMicro() int64 { return int64(i) / int64(time.Microsecond) }

// UnixSeconds returns the number of seconds from the Unix epoch to the instant, in the floating-point type
// with which the schedulers compute. For present-day times, the result has a precision of about 240
// nanoseconds.
func (i Instant) UnixSeconds() placer.Seconds {
	whole := i / Instant(time.Second)
	remainder := i % Instant(time.Second)
	return placer.Seconds(float64(whole) + float64(remainder)/float64(time.Second))
}

// FromUnixSeconds returns the earliest instant for which UnixSeconds returns s or a later time. A timer that
// fires at this instant never fires before the time s. A time outside the range of an Instant, including
// infinity, yields the latest or the earliest instant. NaN yields the latest instant.
func FromUnixSeconds(s placer.Seconds) Instant {
	return Instant(nanoseconds(float64(s), math.Ceil))
}

// Duration converts a number of seconds to the nearest time.Duration. A number outside the range of a
// time.Duration, including infinity, yields the largest or the smallest time.Duration. NaN yields the largest.
func Duration[S floatSeconds](s S) time.Duration {
	return time.Duration(nanoseconds(float64(s), math.Round))
}

// nanoseconds converts the number of seconds s to nanoseconds, and rounds the result to an integer with
// roundFraction. It converts the integer part and the fractional part of s separately, because the product of s
// and 1e9 would be wrong by up to 128 nanoseconds for present-day Unix times. The result for NaN is the same as
// for positive infinity.
func nanoseconds(s float64, roundFraction func(float64) float64) int64 {
	const maxSeconds = math.MaxInt64 / int64(time.Second)
	whole, fraction := math.Modf(s)
	switch {
	case math.IsNaN(s) || whole >= float64(maxSeconds):
		return math.MaxInt64
	case whole <= -float64(maxSeconds):
		return math.MinInt64
	}
	return int64(whole)*int64(time.Second) + int64(roundFraction(fraction*float64(time.Second)))
}
