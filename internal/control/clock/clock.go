// Package clock defines Instant, the type of points in time below the pure cores, and converts between Go's time types and the floating point
// seconds of the cores. The event loop and the servers and clients on it use it; each front calls the conversions in one file, named in
// docs/architecture.md.
package clock

import (
	"math"
	"time"

	"heathshed/placer"
)

// Instant is a point in time in nanoseconds since the Unix epoch. The zero value means "never".
//
// Unlike a time.Time it is compared with < and ==, and takes 8 bytes instead of 24: a server keeps several for each of thousands of idle
// connections.
type Instant int64

// maxInstant is the latest instant that the type can represent, in the year 2262.
const maxInstant Instant = math.MaxInt64

// seconds is the constraint of types that count seconds in floating point: placer.Seconds and those of settings.
type seconds interface{ ~float64 }

// FromTime returns the instant of a time.Time.
func FromTime(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time returns the instant as a time.Time.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// IsZero reports whether the instant is the zero value.
func (i Instant) IsZero() bool { return i == 0 }

// Add returns the instant i+d. On overflow it returns the latest or the earliest instant.
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

// Sub returns the duration from the other instant, no earlier than the epoch, to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// UnixMicro returns the microseconds since the Unix epoch.
func (i Instant) UnixMicro() int64 { return int64(i) / int64(time.Microsecond) }

// UnixSeconds returns the instant on the clock of the pure cores: Unix seconds in floating point, with a precision of about 240 nanoseconds.
func (i Instant) UnixSeconds() placer.Seconds {
	whole := i / Instant(time.Second)
	rest := i % Instant(time.Second)
	return placer.Seconds(float64(whole) + float64(rest)/float64(time.Second))
}

// FromUnixSeconds returns the earliest instant whose UnixSeconds is not before s, so that a timer that a pure core set for s is due at it. A
// time beyond the range of an Instant gives the latest or the earliest instant; infinity and NaN are converted likewise.
func FromUnixSeconds(s placer.Seconds) Instant {
	return Instant(nanoseconds(float64(s), math.Ceil))
}

// Duration returns a number of seconds as a duration. A value beyond the range of a Duration gives the longest or the shortest duration;
// infinity and NaN are converted likewise.
func Duration[S seconds](s S) time.Duration {
	return time.Duration(nanoseconds(float64(s), math.Round))
}

// nanoseconds converts whole and fractional seconds separately: multiplying s by 1e9 would be off by up to 128 at the present Unix time. NaN
// is treated as positive infinity.
func nanoseconds(s float64, round func(float64) float64) int64 {
	const maxSeconds = math.MaxInt64 / int64(time.Second)
	whole, fraction := math.Modf(s)
	switch {
	case math.IsNaN(s) || whole >= float64(maxSeconds):
		return math.MaxInt64
	case whole <= -float64(maxSeconds):
		return math.MinInt64
	}
	return int64(whole)*int64(time.Second) + int64(round(fraction*float64(time.Second)))
}
