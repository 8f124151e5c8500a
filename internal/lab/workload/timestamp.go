package workload

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"heathshed/placer"
)

// timeLayouts are the textual forms of times: that of access logs, and ISO 8601 in its common variants.
var timeLayouts = []string{
	"02/Jan/2006:15:04:05 -0700",
	"2006-01-02T15:04:05.999999999Z07:00",
	"2006-01-02T15:04:05.999999999Z0700",
	"2006-01-02 15:04:05.999999999Z07:00",
}

// Numbers above these bounds are Unix milliseconds, microseconds, and no time at all.
const (
	minMilliseconds = 1e11
	minMicroseconds = 1e14
	maxNumericTime  = 4e18
)

// Years within which a textual time is accepted.
const (
	minYear = 1970
	maxYear = 2500
)

// parseTime parses a time with its zone, or Unix seconds, milliseconds or microseconds by their magnitude. wholeSeconds reports that the
// text gave no fraction of a second.
func parseTime(s string) (at placer.Seconds, wholeSeconds bool, err error) {
	if s == "" {
		return 0, false, errors.New("no time")
	}
	if number, err := strconv.ParseFloat(s, 64); err == nil {
		return parseUnixTime(s, number)
	}
	for _, layout := range timeLayouts {
		parsed, err := time.Parse(layout, s)
		if err != nil {
			continue
		}
		if year := parsed.Year(); year < minYear || year > maxYear {
			return 0, false, fmt.Errorf("time %.40q is out of range", s)
		}
		return placer.Seconds(float64(parsed.Unix()) + float64(parsed.Nanosecond())/1e9), parsed.Nanosecond() == 0, nil
	}
	return 0, false, fmt.Errorf("time %.40q cannot be read", s)
}

// parseUnixTime converts a number of Unix seconds, milliseconds or microseconds. s is its text, for errors.
func parseUnixTime(s string, number float64) (at placer.Seconds, wholeSeconds bool, err error) {
	switch {
	case !(number > 0) || number > maxNumericTime:
		return 0, false, fmt.Errorf("time %.40q is out of range", s)
	case number > minMicroseconds:
		number /= 1e6
	case number > minMilliseconds:
		number /= 1e3
	}
	return placer.Seconds(number), number == math.Trunc(number), nil
}

// parseSeconds parses a duration that is given as a number of seconds.
func parseSeconds(s string) (placer.Seconds, error) {
	number, err := strconv.ParseFloat(s, 64)
	return placer.Seconds(number), err
}
