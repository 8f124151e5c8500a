package config

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// A duration is read from a string with a unit or from a number of seconds, and printed so that the same duration is read again.
func TestDurationFormats(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Duration
		printed    string
	}{
		{"milliseconds", `"250ms"`, 0.25, `"250ms"`},
		{"seconds", `"20s"`, 20, `"20s"`},
		{"minutes", `"90s"`, 90, `"1m30s"`},
		{"whole minute", `"60s"`, 60, `"1m"`},
		{"hours", `"1h30m"`, 5400, `"1h30m"`},
		{"whole hour", `"3600s"`, 3600, `"1h"`},
		{"ten seconds past the hour", `"1h0m10s"`, 3610, `"1h0m10s"`},
		{"negative", `"-1s"`, -1, `"-1s"`},
		{"zero", `"0s"`, 0, `"0s"`},
		{"number", `0.002`, 0.002, `"2ms"`},
		{"whole number", `15`, 15, `"15s"`},
		{"number of a third", `0.3333333333333333`, 0.3333333333333333, `0.3333333333333333`},
		{"number below a nanosecond", `1e-10`, 1e-10, `1e-10`},
		{"number of more than 292 years", `1e+300`, 1e300, `1e+300`},
	} {
		t.Run(test.name, func(t *testing.T) {
			const class = `"name": "a", "idempotency": "idempotent", "latencyObjective": 1, "deadline": 1, "saturationThreshold": 1`
			settings, err := Parse("f", []byte(`{"classes": [{`+class+`, "meanLifetime": `+test.text+`}], "defaultClass": "a"}`))
			if err != nil {
				t.Fatal(err)
			}
			got := settings.Classes[0].MeanLifetime
			if got != test.want {
				t.Errorf("%v seconds, want %v", float64(got), float64(test.want))
			}
			if printed, err := json.Marshal(got); err != nil || string(printed) != test.printed {
				t.Errorf("printed as %s (%v), want %s", printed, err, test.printed)
			}
		})
	}
}

// A string that is no duration is an error, not zero.
func TestInvalidDurations(t *testing.T) {
	const want = `, want a duration such as "250ms", or a number of seconds`
	checkParseErrors(t, []parseErrorCase{
		{"no unit", `{"nodeSyncTimeout":"5"}`, "f:1:20: nodeSyncTimeout: 5" + want},
		{"unknown unit", `{"nodeSyncTimeout":"5 parsecs"}`, "f:1:20: nodeSyncTimeout: 5 parsecs" + want},
		{"empty", `{"nodeSyncTimeout":""}`, "f:1:20: nodeSyncTimeout: " + want},
		{"boolean", `{"nodeSyncTimeout":true}`, "f:1:20: nodeSyncTimeout: true" + want},
		{"out of range", `{"nodeSyncTimeout":"11m"}`, "f:1:20: nodeSyncTimeout: 11m: want 0s to 10m"},
	})
}

// A text with a unit gives the same floating point number as the same decimal number of seconds, with up to nine decimals.
func TestDurationStringsEqualNumbers(t *testing.T) {
	const maxBits = 53 // of nanoseconds: below 2^52, which are 52 days
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
			t.Fatalf("%d ns are %v s, want %v", nanoseconds, got.Seconds(), want)
		}
		if back := got.Duration(); back != time.Duration(nanoseconds) {
			t.Fatalf("%v s are %d ns, want %d", got.Seconds(), back, nanoseconds)
		}
	}
}

func TestDurationConversionLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds Duration
		want    time.Duration
	}{
		{"rounds to nanoseconds", 1.4e-9, 1},
		{"too long", 1e300, math.MaxInt64},
		{"too long a time ago", -1e300, math.MinInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.seconds.Duration(); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}
