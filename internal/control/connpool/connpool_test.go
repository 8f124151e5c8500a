package connpool

import (
	"slices"
	"testing"
	"time"
)

// secondsToDurations converts numbers of seconds to durations.
func secondsToDurations(counts ...int) []time.Duration {
	durations := make([]time.Duration, 0, len(counts))
	for _, count := range counts {
		durations = append(durations, time.Duration(count)*time.Second)
	}
	return durations
}

func TestChoose(t *testing.T) {
	policy := Policy{MaxConns: 3, MaxIdle: time.Minute, MaxIdleNonIdempotent: time.Second}
	for _, test := range []struct {
		name          string
		idleTimes     []time.Duration
		openConns     int
		nonIdempotent bool
		wantAction    Action
		wantIndex     int
		wantStale     []int
	}{
		{"no open connection", nil, 0, false, Dial, 0, nil},
		{"idempotent request uses the most recently used connection", secondsToDurations(5, 2, 9), 3, false, UseIdle, 1, nil},
		{"non-idempotent request uses a connection idle for less than MaxIdleNonIdempotent", []time.Duration{5 * time.Second, 500 * time.Millisecond}, 2, true, UseIdle, 1, nil},
		{"non-idempotent request dials if all connections were idle for longer than MaxIdleNonIdempotent", secondsToDurations(5, 2), 2, true, Dial, 0, nil},
		{"non-idempotent request replaces the longest idle connection if MaxConns connections are open", secondsToDurations(5, 2), 3, true, ReplaceIdle, 0, nil},
		{"request waits if MaxConns connections are open and all are busy", nil, 3, false, Wait, 0, nil},
		{"two connections are stale and the third is used", secondsToDurations(70, 3, 61), 3, false, UseIdle, 1, []int{0, 2}},
		{"all connections are stale and a new one is dialed", secondsToDurations(70, 80, 90), 3, true, Dial, 0, []int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			decision := policy.Choose(test.idleTimes, test.openConns, test.nonIdempotent)
			if decision.Action != test.wantAction || decision.Index != test.wantIndex || !slices.Equal(decision.Stale, test.wantStale) {
				t.Errorf("Choose returned %+v, want Action %d, Index %d, Stale %v", decision, test.wantAction, test.wantIndex, test.wantStale)
			}
		})
	}
}
