package config

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
	"time"

	"heathshed/internal/control/clock"

	"github.com/tailscale/hujson"
)

// Duration is a duration in seconds. In a settings file, a duration is a string with a unit, such as "250ms",
// or a number of seconds.
//
// Duration is a floating-point number like the durations of the engine, not a time.Duration. The engine
// receives a number of seconds from a file without rounding, even if the number is not a whole number of
// nanoseconds or exceeds the range of time.Duration.
type Duration float64

// DurationOf converts a time.Duration. If d is at most 104 days, the result is the floating-point number
// nearest to the exact number of seconds.
func DurationOf(d time.Duration) Duration {
	if seconds := d / time.Second; seconds*time.Second == d {
		return Duration(seconds)
	}
	// The division rounds only once, because both operands are exact. The method time.Duration.Seconds adds two
	// rounded numbers, so its result may differ from the nearest floating-point number.
	return Duration(float64(d) / float64(time.Second))
}

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return float64(d) }

// Duration converts d to a time.Duration, rounded to nanoseconds. If d is outside the range of time.Duration,
// the result is the largest or the smallest time.Duration.
func (d Duration) Duration() time.Duration { return clock.Duration(d) }

// isWholeNanoseconds reports whether converting d to a time.Duration and back yields d again. Otherwise the
// string form of time.Duration cannot represent d.
func (d Duration) isWholeNanoseconds() bool { return DurationOf(d.Duration()) == d }

// String returns the duration as text with units, such as 250ms or 1h30m.
func (d Duration) String() string {
	if !d.isWholeNanoseconds() {
		return strconv.FormatFloat(float64(d), 'g', -1, 64) + "s"
	}
	text := d.Duration().String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// MarshalJSON encodes the duration as a JSON string with units. If a string cannot represent the duration
// exactly, MarshalJSON encodes the duration as a number of seconds.
func (d Duration) MarshalJSON() ([]byte, error) {
	if !d.isWholeNanoseconds() {
		return json.Marshal(float64(d))
	}
	return json.Marshal(d.String())
}

// durationType is the type for which the decoder also accepts a string with a unit.
var durationType = reflect.TypeFor[Duration]()

// setDuration sets target, which is of type Duration, to the value of a JSON literal. It reports whether the
// literal is a valid duration: a string with a unit, or a number of seconds.
func setDuration(literal hujson.Literal, target reflect.Value) bool {
	if literal.Kind() != '"' {
		return setNumber(literal, target)
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		return false
	}
	target.SetFloat(float64(DurationOf(parsed)))
	return true
}
