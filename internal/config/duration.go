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

// Duration is a length of time in settings. In a file it is a string with a unit, such as "250ms", or a number of seconds.
//
// It is a floating point number of seconds, as in the engine, and not a time.Duration: a number of seconds in a file reaches the engine without
// rounding, even if it is not a whole number of nanoseconds or too large for a time.Duration.
type Duration float64

// DurationOf converts a time.Duration. Up to 104 days the result is the floating point number nearest to it.
func DurationOf(d time.Duration) Duration {
	if seconds := d / time.Second; seconds*time.Second == d {
		return Duration(seconds)
	}
	// One division of two exact numbers rounds once. time.Duration.Seconds adds two rounded parts, which may give an adjacent number.
	return Duration(float64(d) / float64(time.Second))
}

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return float64(d) }

// Duration returns the duration rounded to nanoseconds, or the longest or shortest time.Duration if it is out of range.
func (d Duration) Duration() time.Duration { return clock.Duration(d) }

// isExact reports whether the duration is a whole number of nanoseconds, so that parsing its text form gives the same duration.
func (d Duration) isExact() bool { return DurationOf(d.Duration()) == d }

// String returns the duration with a unit, such as 250ms or 1h30m.
func (d Duration) String() string {
	if !d.isExact() {
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

// MarshalJSON encodes a string with a unit, or a number of seconds if parsing the string would not give the same duration.
func (d Duration) MarshalJSON() ([]byte, error) {
	if !d.isExact() {
		return json.Marshal(float64(d))
	}
	return json.Marshal(d.String())
}

var durationType = reflect.TypeFor[Duration]()

// setDuration sets a Duration from a string with a unit or a number of seconds and reports whether the literal is valid.
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
