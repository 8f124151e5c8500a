// Package clock has the points in time below the pure cores, and the one place where these and Go's durations become the cores' floating
// point seconds and back.
package clock

import (
	"math"
	"time"

	"heathshed/placer"
)

// Instant is a point in time in nanoseconds since the Unix epoch. The zero value stands for "never".
//
// It is to a time.Time what a sorted number is to a struct: instants are compared with < and ==, and take 8 bytes in place of 24. A server
// keeps several for each of thousands of idle connections.
type Instant int64

// maxInstant is the last point in time that can be told, in the year 2262.
const maxInstant Instant = math.MaxInt64

// seconds are the types that count them in floating point: placer.Seconds and those of settings.
type seconds interface{ ~float64 }

// FromTime returns the instant of a time.Time.
func FromTime(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time returns the instant as a time.Time.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// IsZero reports whether the instant is the zero value.
func (i Instant) IsZero() bool { return i == 0 }

// Add returns the instant a duration later. One that cannot be told is the last, or the first, that can.
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

// UnixSeconds returns the instant on the clock of the pure cores: Unix seconds in floating point, which tell it to some 240 nanoseconds.
func (i Instant) UnixSeconds() placer.Seconds {
	whole := i / Instant(time.Second)
	rest := i % Instant(time.Second)
	return placer.Seconds(float64(whole) + float64(rest)/float64(time.Second))
}

// FromUnixSeconds returns the first instant that UnixSeconds does not put before the given clock reading of a pure core, so that a timer of
// the core is due at it. Readings that an Instant cannot tell, infinity and NaN among them, are the last or the first that it can.
func FromUnixSeconds(s placer.Seconds) Instant {
	return Instant(nanoseconds(float64(s), math.Ceil))
}

// Duration returns a number of seconds as a duration. One that a Duration cannot tell, infinity and NaN among them, is the longest, or the
// shortest, that it can.
func Duration[S seconds](s S) time.Duration {
	return time.Duration(nanoseconds(float64(s), math.Round))
}

// nanoseconds converts whole and fractional seconds apart: their product with 1e9 would be off by up to 128 at the present Unix time.
func nanoseconds(s float64, round func(float64) float64) int64 {
	const secondsLimit = math.MaxInt64 / int64(time.Second)
	whole, fraction := math.Modf(s)
	switch {
	case math.IsNaN(s) || whole >= float64(secondsLimit):
		return math.MaxInt64
	case whole <= -float64(secondsLimit):
		return math.MinInt64
	}
	return int64(whole)*int64(time.Second) + int64(round(fraction*float64(time.Second)))
}
