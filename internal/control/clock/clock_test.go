package clock_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// TestDuration checks that seconds become the nearest duration, and that what is out of range is clamped rather than undefined.
func TestDuration(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds float64
		want    time.Duration
	}{
		{"zero", 0, 0},
		{"a fraction", 0.25, 250 * time.Millisecond},
		{"not exact in binary", 0.7, 700 * time.Millisecond},
		{"rounded to the nearest", 1.6e-9, 2},
		{"negative", -1.5, -1500 * time.Millisecond},
		{"years", 1e9, 1e9 * time.Second},
		{"no timer", math.Inf(1), math.MaxInt64},
		{"not a number", math.NaN(), math.MaxInt64},
		{"before everything", math.Inf(-1), math.MinInt64},
		{"longer than a duration", 1e300, math.MaxInt64},
		{"the limit", math.MaxInt64 / 1e9, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := clock.Duration(test.seconds); got != test.want {
				t.Errorf("Duration(%v) = %d, want %d", test.seconds, got, test.want)
			}
		})
	}
}

// TestFromUnixSecondsIsClamped checks that a core's "never" is an instant that does not come, also after arithmetic with it.
func TestFromUnixSecondsIsClamped(t *testing.T) {
	never := clock.FromUnixSeconds(placer.Seconds(math.Inf(1)))
	if never != math.MaxInt64 || never.Add(time.Hour) != never {
		t.Errorf("infinity is %d, an hour later %d", never, never.Add(time.Hour))
	}
	if first := clock.FromUnixSeconds(placer.Seconds(math.Inf(-1))); first != math.MinInt64 || first.Add(-time.Hour) != first {
		t.Errorf("minus infinity is %d, an hour earlier %d", first, first.Add(-time.Hour))
	}
	now := clock.FromTime(time.Now())
	if later := now.Add(clock.Duration(math.Inf(1))); later != never {
		t.Errorf("now plus the longest duration is %d, want %d", later, never)
	}
}

// TestUnixSecondsRoundTrip checks that a core's time survives the way to an instant and back, so that a timer set for it is due when it
// fires, and that a later instant never has an earlier time.
func TestUnixSecondsRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		seconds := placer.Seconds(1.8e9 + random.Float64()*1e8)
		instant := clock.FromUnixSeconds(seconds)
		if got := instant.UnixSeconds(); got != seconds {
			t.Fatalf("%v comes back as %v", seconds, got)
		}
		later := instant.Add(time.Duration(random.IntN(1000)))
		if later.UnixSeconds() < seconds {
			t.Fatalf("%d ns after %v comes %v", later.Sub(instant), seconds, later.UnixSeconds())
		}
	}
}

// TestFromUnixSecondsIsNotEarly checks the same for small clock readings, which floating point represents more exactly than nanoseconds.
func TestFromUnixSecondsIsNotEarly(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 100_000 {
		seconds := placer.Seconds(random.Float64() * 1000)
		if got := clock.FromUnixSeconds(seconds).UnixSeconds(); got < seconds || got > seconds+2e-9 {
			t.Fatalf("%v comes back as %v", seconds, got)
		}
	}
}

func TestInstant(t *testing.T) {
	at := time.Date(2026, 12, 2, 15, 4, 5, 678_901_234, time.UTC)
	instant := clock.FromTime(at)
	if !instant.Time().Equal(at) {
		t.Errorf("%v comes back as %v", at, instant.Time())
	}
	if got := instant.Add(1500 * time.Millisecond).Sub(instant); got != 1500*time.Millisecond {
		t.Errorf("1.5 s later is %v later", got)
	}
	if instant.UnixMicro() != at.UnixMicro() {
		t.Errorf("%d microseconds, want %d", instant.UnixMicro(), at.UnixMicro())
	}
	if instant.IsZero() || !clock.Instant(0).IsZero() {
		t.Error("want the zero value, and it alone, to be zero")
	}
}
