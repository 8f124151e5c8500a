package placer

import (
	"testing"
	"time"
)

func TestSecondsAndDuration(t *testing.T) {
	for name, test := range map[string]struct {
		seconds  Seconds
		duration time.Duration
	}{
		"zero seconds":                        {0, 0},
		"whole seconds":                       {90, 90 * time.Second},
		"number that is exact in binary":      {0.25, 250 * time.Millisecond},
		"number that is not exact in binary":  {1.118, 1118 * time.Millisecond},
		"number that truncation would change": {1.001, 1001 * time.Millisecond},
		"negative number of seconds":          {-1.5, -1500 * time.Millisecond},
		"one nanosecond":                      {1e-9, time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.seconds.Duration(); got != test.duration {
				t.Errorf("Duration of %v s is %v, want %v", test.seconds, got, test.duration)
			}
			if got := SecondsOf(test.duration); got != test.seconds {
				t.Errorf("SecondsOf(%v) is %v s, want %v s", test.duration, got, test.seconds)
			}
		})
	}
}

func TestDurationRoundsToNearestNanosecond(t *testing.T) {
	for seconds, want := range map[Seconds]time.Duration{2.4e-9: 2, 2.9e-9: 3, -2.9e-9: -3} {
		if got := seconds.Duration(); got != want {
			t.Errorf("Duration of %v s is %v, want %v", float64(seconds), got, want)
		}
	}
}

func TestMillisecondsRoundTrip(t *testing.T) {
	for milliseconds := range 100_000 {
		duration := time.Duration(milliseconds) * time.Millisecond
		seconds := SecondsOf(duration)
		if want := Seconds(float64(milliseconds) / 1000); seconds != want || seconds.Duration() != duration {
			t.Fatalf("SecondsOf(%v) is %v s, want %v s; Duration converts this back to %v, want the original duration", duration, float64(seconds), float64(want), seconds.Duration())
		}
	}
}
