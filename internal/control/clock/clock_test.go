package clock_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/placer"
)

// TestDuration checks that a number of seconds becomes the nearest duration and that values out of range are
// clamped. In Go, the result of converting such a floating-point value to an integer depends on the
// implementation.
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
		{"positive infinity", math.Inf(1), math.MaxInt64},
		{"not a number", math.NaN(), math.MaxInt64},
		{"negative infinity", math.Inf(-1), math.MinInt64},
		{"longer than a duration", 1e300, math.MaxInt64},
		{"the longest duration", math.MaxInt64 / 1e9, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := clock.Duration(test.seconds); got != test.want {
				t.Errorf("Duration(%v) = %d, want %d", test.seconds, got, test.want)
			}
		})
	}
}

// TestFromUnixSecondsIsClamped checks that an infinite number of seconds, which stands for "never", becomes
// the latest instant, and that adding a duration to that instant does not overflow.
func TestFromUnixSecondsIsClamped(t *testing.T) {
	never := clock.FromUnixSeconds(placer.Seconds(math.Inf(1)))
	if never != math.MaxInt64 || never.Add(time.Hour) != never {
		t.Errorf("infinity becomes %d, an hour later %d, want the latest instant for both", never, never.Add(time.Hour))
	}
	if first := clock.FromUnixSeconds(placer.Seconds(math.Inf(-1))); first != math.MinInt64 || first.Add(-time.Hour) != first {
		t.Errorf("minus infinity becomes %d, an hour earlier %d, want the earliest instant for both", first, first.Add(-time.Hour))
	}
	now := clock.FromTime(time.Now())
	if later := now.Add(clock.Duration(math.Inf(1))); later != never {
		t.Errorf("now plus an infinite duration is %d, want %d", later, never)
	}
}

// TestUnixSecondsRoundTrip checks that present-day Unix times are unchanged after conversion to an Instant
// and back. Otherwise a timer could fire before it is due. It also checks that a later instant never converts
// to an earlier number of seconds.
func TestUnixSecondsRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		seconds := placer.Seconds(1.8e9 + random.Float64()*1e8)
		instant := clock.FromUnixSeconds(seconds)
		if got := instant.UnixSeconds(); got != seconds {
			t.Fatalf("%v becomes %v after conversion and back", seconds, got)
		}
		later := instant.Add(time.Duration(random.IntN(1000)))
		if later.UnixSeconds() < seconds {
			t.Fatalf("%d ns after %v s the clock reads %v s, which is earlier", later.Sub(instant), seconds, later.UnixSeconds())
		}
	}
}

// TestFromUnixSecondsIsNotEarly checks that small clock readings do not become earlier when they are
// converted to an Instant and back. Floating point represents these readings more precisely than nanoseconds
// do.
func TestFromUnixSecondsIsNotEarly(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 100_000 {
		seconds := placer.Seconds(random.Float64() * 1000)
		if got := clock.FromUnixSeconds(seconds).UnixSeconds(); got < seconds || got > seconds+2e-9 {
			t.Fatalf("%v becomes %v after conversion and back", seconds, got)
		}
	}
}

func TestInstant(t *testing.T) {
	at := time.Date(2026, 12, 2, 15, 4, 5, 678_901_234, time.UTC)
	instant := clock.FromTime(at)
	if !instant.Time().Equal(at) {
		t.Errorf("%v becomes %v after conversion and back", at, instant.Time())
	}
	if got := instant.Add(1500 * time.Millisecond).Sub(instant); got != 1500*time.Millisecond {
		t.Errorf("adding 1.5 s to an instant moved it by %v", got)
	}
	if instant.UnixMicro() != at.UnixMicro() {
		t.Errorf("instant is %d microseconds after the epoch, want %d", instant.UnixMicro(), at.UnixMicro())
	}
	if instant.IsZero() || !clock.Instant(0).IsZero() {
		t.Error("IsZero must return true for the zero value only")
	}
}
