package main

import (
	"math"
	"strconv"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// secondsValue is the value of a flag that gives a duration as a number of seconds. It implements pflag.Value, and its flag has the help text of
// a floating point flag.
//
// A number of seconds is rounded to nanoseconds, and to the nearest time.Duration if it is out of range. NaN counts as 0.
type secondsValue time.Duration

// newSecondsValue returns a value that stores the duration in target, which it sets to the flag's default.
func newSecondsValue(target *time.Duration, defaultValue time.Duration) *secondsValue {
	*target = defaultValue
	return (*secondsValue)(target)
}

// Set parses a number of seconds.
func (v *secondsValue) Set(text string) error {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	if math.IsNaN(seconds) {
		seconds = 0
	}
	*v = secondsValue(clock.Duration(seconds))
	return nil
}

// Type returns the name of the type, by which the help text says "float".
func (v *secondsValue) Type() string { return "float64" }

func (v *secondsValue) String() string { return formatSeconds(time.Duration(*v)) }

// formatSeconds returns a duration as a number of seconds with the fewest digits that represent it.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(float64(placer.SecondsOf(d)), 'g', -1, 64)
}
