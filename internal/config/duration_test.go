package config

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// TestDurationFormats checks that a duration can be a string with a unit or a number of seconds, and that the
// printed form of a duration represents the same duration.
func TestDurationFormats(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Duration
		printed    string
	}{
		{"string in milliseconds", `"250ms"`, 0.25, `"250ms"`},
		{"string in seconds", `"20s"`, 20, `"20s"`},
		{"string of more than a minute", `"90s"`, 90, `"1m30s"`},
		{"string of exactly one minute", `"60s"`, 60, `"1m"`},
		{"string in hours and minutes", `"1h30m"`, 5400, `"1h30m"`},
		{"string of exactly one hour", `"3600s"`, 3600, `"1h"`},
		{"string in hours and seconds without minutes", `"1h0m10s"`, 3610, `"1h0m10s"`},
		{"negative string", `"-1s"`, -1, `"-1s"`},
		{"zero string", `"0s"`, 0, `"0s"`},
		{"number of whole milliseconds", `0.002`, 0.002, `"2ms"`},
		{"number of whole seconds", `15`, 15, `"15s"`},
		{"number that is not a whole number of nanoseconds", `0.3333333333333333`, 0.3333333333333333, `0.3333333333333333`},
		{"number of less than a nanosecond", `1e-10`, 1e-10, `1e-10`},
		{"number beyond the range of time.Duration", `1e+300`, 1e300, `1e+300`},
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
				t.Errorf("the duration was printed as %s (error %v), want %s", printed, err, test.printed)
			}
		})
	}
}

// TestInvalidDurations checks that an invalid duration yields an error and is not read as zero.
func TestInvalidDurations(t *testing.T) {
	const want = `, want a duration such as "250ms", or a number of seconds`
	checkParseErrors(t, []parseErrorCase{
		{"string without a unit", `{"nodeSyncTimeout":"5"}`, "f:1:20: nodeSyncTimeout: 5" + want},
		{"string with an unknown unit", `{"nodeSyncTimeout":"5 parsecs"}`, "f:1:20: nodeSyncTimeout: 5 parsecs" + want},
		{"empty string", `{"nodeSyncTimeout":""}`, "f:1:20: nodeSyncTimeout: " + want},
		{"boolean instead of a duration", `{"nodeSyncTimeout":true}`, "f:1:20: nodeSyncTimeout: true" + want},
		{"duration out of range", `{"nodeSyncTimeout":"11m"}`, "f:1:20: nodeSyncTimeout: 11m: want 0s to 10m"},
	})
}

// TestDurationStringsEqualNumbers checks that DurationOf yields the floating-point number that results from
// parsing the same duration as a decimal number of seconds with nine decimal places.
func TestDurationStringsEqualNumbers(t *testing.T) {
	const maxBits = 53 // bit lengths are below maxBits, so durations are below 2^52 ns, which is 52 days
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
			t.Fatalf("%d ns were converted to %v s, want %v s", nanoseconds, got.Seconds(), want)
		}
		if convertedBack := got.Duration(); convertedBack != time.Duration(nanoseconds) {
			t.Fatalf("%v s were converted to %d ns, want %d ns", got.Seconds(), convertedBack, nanoseconds)
		}
	}
}

// TestDurationConversionLimits checks the conversion to time.Duration of values that it cannot represent.
func TestDurationConversionLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds Duration
		want    time.Duration
	}{
		{"fraction of a nanosecond is rounded", 1.4e-9, 1},
		{"value above the largest time.Duration", 1e300, math.MaxInt64},
		{"value below the smallest time.Duration", -1e300, math.MinInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.seconds.Duration(); got != test.want {
				t.Errorf("the converted duration is %d ns, want %d ns", got, test.want)
			}
		})
	}
}
