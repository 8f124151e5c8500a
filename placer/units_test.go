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
		"zero":                        {0, 0},
		"whole":                       {90, 90 * time.Second},
		"milliseconds":                {0.25, 250 * time.Millisecond},
		"not representable in binary": {1.118, 1118 * time.Millisecond},
		"truncated":                   {1.001, 1001 * time.Millisecond},
		"negative":                    {-1.5, -1500 * time.Millisecond},
		"nanosecond":                  {1e-9, time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.seconds.Duration(); got != test.duration {
				t.Errorf("Duration of %v s: got %v, want %v", test.seconds, got, test.duration)
			}
			if got := SecondsOf(test.duration); got != test.seconds {
				t.Errorf("SecondsOf %v: got %v s, want %v s", test.duration, got, test.seconds)
			}
		})
	}
}

func TestDurationRoundsToNearestNanosecond(t *testing.T) {
	for seconds, want := range map[Seconds]time.Duration{2.4e-9: 2, 2.9e-9: 3, -2.9e-9: -3} {
		if got := seconds.Duration(); got != want {
			t.Errorf("Duration of %v s: got %v, want %v", float64(seconds), got, want)
		}
	}
}

func TestMillisecondsRoundTrip(t *testing.T) {
	for milliseconds := range 100_000 {
		duration := time.Duration(milliseconds) * time.Millisecond
		seconds := SecondsOf(duration)
		if want := Seconds(float64(milliseconds) / 1000); seconds != want || seconds.Duration() != duration {
			t.Fatalf("SecondsOf %v: got %v s, want %v s; converted back: %v", duration, float64(seconds), float64(want), seconds.Duration())
		}
	}
}
