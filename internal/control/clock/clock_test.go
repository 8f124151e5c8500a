package clock_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// TestDuration checks that a number of seconds is converted to the nearest time.Duration. A number outside the
// range of time.Duration must be converted to the largest or smallest time.Duration. Otherwise the result would
// depend on the Go implementation, because an integer cannot represent such a floating-point number.
func TestDuration(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds float64
		want    time.Duration
	}{
		{"zero seconds", 0, 0},
		{"fraction that is exact in binary", 0.25, 250 * time.Millisecond},
		{"fraction that is not exact in binary", 0.7, 700 * time.Millisecond},
		{"number that is rounded to the nearest nanosecond", 1.6e-9, 2},
		{"negative number of seconds", -1.5, -1500 * time.Millisecond},
		{"one billion seconds", 1e9, 1e9 * time.Second},
		{"positive infinity", math.Inf(1), math.MaxInt64},
		{"NaN", math.NaN(), math.MaxInt64},
		{"negative infinity", math.Inf(-1), math.MinInt64},
		{"number above the largest duration", 1e300, math.MaxInt64},
		{"largest duration", math.MaxInt64 / 1e9, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := clock.Duration(test.seconds); got != test.want {
				t.Errorf("Duration(%v) = %d ns, want %d ns", test.seconds, got, test.want)
			}
		})
	}
}

// TestFromUnixSecondsIsClamped checks that the time infinity, which means "never", is converted to the latest
// instant. It also checks that the sum of the latest instant and a duration does not overflow. It checks the
// same for minus infinity and the earliest instant.
func TestFromUnixSecondsIsClamped(t *testing.T) {
	never := clock.FromUnixSeconds(placer.Seconds(math.Inf(1)))
	if never != math.MaxInt64 || never.Add(time.Hour) != never {
		t.Errorf("FromUnixSeconds(infinity) = %d ns, and one hour later it is %d ns; want the latest instant for both", never, never.Add(time.Hour))
	}
	if earliest := clock.FromUnixSeconds(placer.Seconds(math.Inf(-1))); earliest != math.MinInt64 || earliest.Add(-time.Hour) != earliest {
		t.Errorf("FromUnixSeconds(minus infinity) = %d ns, and one hour earlier it is %d ns; want the earliest instant for both", earliest, earliest.Add(-time.Hour))
	}
	now := clock.FromTime(time.Now())
	if later := now.Add(clock.Duration(math.Inf(1))); later != never {
		t.Errorf("the current time plus an infinite duration is %d ns, want the latest instant, %d ns", later, never)
	}
}

// TestUnixSecondsRoundTrip checks that present-day Unix times in seconds are unchanged after conversion to an
// Instant and back. Otherwise a timer could fire before its time. The test also checks that a later instant is
// never converted to a smaller number of seconds.
func TestUnixSecondsRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		seconds := placer.Seconds(1.8e9 + rng.Float64()*1e8)
		instant := clock.FromUnixSeconds(seconds)
		if got := instant.UnixSeconds(); got != seconds {
			t.Fatalf("%v s becomes %v s after conversion to an Instant and back, want the same time", seconds, got)
		}
		later := instant.Add(time.Duration(rng.IntN(1000)))
		if later.UnixSeconds() < seconds {
			t.Fatalf("the instant %d ns after %v s is converted to %v s, want a time that is not earlier", later.Sub(instant), seconds, later.UnixSeconds())
		}
	}
}

// TestFromUnixSecondsIsNotEarly checks that times up to 1000 s after the Unix epoch do not become earlier when
// they are converted to an Instant and back. Such a time, as a floating-point number, can lie between two
// nanoseconds, so the conversion to an Instant has to round it.
func TestFromUnixSecondsIsNotEarly(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 100_000 {
		seconds := placer.Seconds(rng.Float64() * 1000)
		if got := clock.FromUnixSeconds(seconds).UnixSeconds(); got < seconds || got > seconds+2e-9 {
			t.Fatalf("%v s becomes %v s after conversion to an Instant and back, want the same time or up to 2 ns later", seconds, got)
		}
	}
}

func TestInstant(t *testing.T) {
	original := time.Date(2026, 12, 2, 15, 4, 5, 678_901_234, time.UTC)
	instant := clock.FromTime(original)
	if !instant.Time().Equal(original) {
		t.Errorf("FromTime(%v).Time() = %v, want the same time", original, instant.Time())
	}
	if got := instant.Add(1500 * time.Millisecond).Sub(instant); got != 1500*time.Millisecond {
		t.Errorf("adding 1.5 s to an instant moved the instant by %v, want 1.5s", got)
	}
	if instant.UnixMicro() != original.UnixMicro() {
		t.Errorf("UnixMicro returned %d microseconds, want %d microseconds", instant.UnixMicro(), original.UnixMicro())
	}
	if instant.IsZero() || !clock.Instant(0).IsZero() {
		t.Error("IsZero returned true for a non-zero instant or false for the zero value")
	}
}
