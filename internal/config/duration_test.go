package config

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// TestDurationFormats checks that a settings file can contain a duration as a string with units or as a number
// of seconds. It also checks how Duration.MarshalJSON encodes the duration.
func TestDurationFormats(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Duration
		printed    string
	}{
		{"string in milliseconds is encoded in milliseconds", `"250ms"`, 0.25, `"250ms"`},
		{"string of less than a minute is encoded in seconds", `"20s"`, 20, `"20s"`},
		{"string of 90 seconds is encoded in minutes and seconds", `"90s"`, 90, `"1m30s"`},
		{"string of 60 seconds is encoded as one minute without seconds", `"60s"`, 60, `"1m"`},
		{"string in hours and minutes is encoded without seconds", `"1h30m"`, 5400, `"1h30m"`},
		{"string of 3600 seconds is encoded as one hour without minutes", `"3600s"`, 3600, `"1h"`},
		{"string in hours and seconds is encoded with zero minutes", `"1h0m10s"`, 3610, `"1h0m10s"`},
		{"string with a negative duration", `"-1s"`, -1, `"-1s"`},
		{"string with a duration of zero", `"0s"`, 0, `"0s"`},
		{"number of seconds that equals whole milliseconds is encoded as a string", `0.002`, 0.002, `"2ms"`},
		{"whole number of seconds is encoded as a string", `15`, 15, `"15s"`},
		{"number that is not a whole number of nanoseconds is encoded as a number", `0.3333333333333333`, 0.3333333333333333, `0.3333333333333333`},
		{"duration of less than a nanosecond is encoded as a number", `1e-10`, 1e-10, `1e-10`},
		{"number beyond the range of time.Duration is encoded as a number", `1e+300`, 1e300, `1e+300`},
	} {
		t.Run(test.name, func(t *testing.T) {
			const class = `"name": "a", "idempotency": "idempotent", "latencyObjective": 1, "deadline": 1, "saturationThreshold": 1`
			settings, err := Parse("f", []byte(`{"classes": [{`+class+`, "meanLifetime": `+test.text+`}], "defaultClass": "a"}`))
			if err != nil {
				t.Fatal(err)
			}
			got := settings.Classes[0].MeanLifetime
			if got != test.want {
				t.Errorf("the parsed duration is %v s, want %v s", float64(got), float64(test.want))
			}
			if printed, err := json.Marshal(got); err != nil || string(printed) != test.printed {
				t.Errorf("the duration was encoded as %s (error %v), want %s and no error", printed, err, test.printed)
			}
		})
	}
}

// TestInvalidDurations checks that Parse returns an error for an invalid duration. It guards against a decoder
// that reads an invalid duration as zero.
func TestInvalidDurations(t *testing.T) {
	const want = `, want a duration such as "250ms", or a number of seconds`
	checkParseErrors(t, []parseErrorCase{
		{"duration string without a unit", `{"nodeSyncTimeout":"5"}`, "f:1:20: nodeSyncTimeout: 5" + want},
		{"duration string with an unknown unit", `{"nodeSyncTimeout":"5 parsecs"}`, "f:1:20: nodeSyncTimeout: 5 parsecs" + want},
		{"empty string instead of a duration", `{"nodeSyncTimeout":""}`, "f:1:20: nodeSyncTimeout: " + want},
		{"boolean instead of a duration", `{"nodeSyncTimeout":true}`, "f:1:20: nodeSyncTimeout: true" + want},
		{"duration above the largest permitted value", `{"nodeSyncTimeout":"11m"}`, "f:1:20: nodeSyncTimeout: 11m: want 0s to 10m"},
	})
}

// TestDurationStringsEqualNumbers checks that a duration has the same value whether DurationOf converts it from
// nanoseconds or strconv.ParseFloat parses it as a number of seconds with nine decimal places. It also checks
// that the conversion back to time.Duration yields the original number of nanoseconds.
func TestDurationStringsEqualNumbers(t *testing.T) {
	const maxBits = 53 // random durations have fewer than maxBits bits; they are below 2^52 ns, which is 52 days
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200_000 {
		nanoseconds := rng.Int64N(1 << rng.IntN(maxBits))
		decimal := strconv.FormatInt(nanoseconds/1e9, 10) + "." + strconv.FormatInt(1e9+nanoseconds%1e9, 10)[1:]
		want, err := strconv.ParseFloat(decimal, 64)
		if err != nil {
			t.Fatal(err)
		}
		got := DurationOf(time.Duration(nanoseconds))
		if math.Float64bits(got.Seconds()) != math.Float64bits(want) {
			t.Fatalf("DurationOf converted %d ns to %v s, want %v s", nanoseconds, got.Seconds(), want)
		}
		if convertedBack := got.Duration(); convertedBack != time.Duration(nanoseconds) {
			t.Fatalf("Duration.Duration converted %v s to %d ns, want %d ns", got.Seconds(), convertedBack, nanoseconds)
		}
	}
}

// TestDurationConversionLimits checks how Duration.Duration converts a Duration that has no exact
// representation as a time.Duration.
func TestDurationConversionLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds Duration
		want    time.Duration
	}{
		{"fraction of a nanosecond is rounded to whole nanoseconds", 1.4e-9, 1},
		{"Duration above the largest time.Duration becomes the largest time.Duration", 1e300, math.MaxInt64},
		{"Duration below the smallest time.Duration becomes the smallest time.Duration", -1e300, math.MinInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.seconds.Duration(); got != test.want {
				t.Errorf("Duration.Duration returned %d ns, want %d ns", got, test.want)
			}
		})
	}
}
