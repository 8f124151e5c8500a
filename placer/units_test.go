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
		"zero":         {0, 0},
		"whole":        {90, 90 * time.Second},
		"milliseconds": {0.25, 250 * time.Millisecond},
		"negative":     {-1.5, -1500 * time.Millisecond},
		"nanosecond":   {1e-9, time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.seconds.Duration(); got != test.duration {
				t.Errorf("%v s are %v, want %v", test.seconds, got, test.duration)
			}
			if got := SecondsOf(test.duration); got != test.seconds {
				t.Errorf("%v are %v s, want %v", test.duration, got, test.seconds)
			}
		})
	}
}

func TestDurationDropsFractionsOfANanosecond(t *testing.T) {
	if got := Seconds(2.9e-9).Duration(); got != 2*time.Nanosecond {
		t.Errorf("got %v, want 2ns", got)
	}
}
