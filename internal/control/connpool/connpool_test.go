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
		{"request dials if no connection is open", nil, 0, false, Dial, 0, nil},
		{"idempotent request is sent on the most recently used connection", secondsToDurations(5, 2, 9), 3, false, UseIdle, 1, nil},
		{"non-idempotent request is sent on a connection that was idle for less than MaxIdleNonIdempotent", []time.Duration{5 * time.Second, 500 * time.Millisecond}, 2, true, UseIdle, 1, nil},
		{"non-idempotent request dials if all connections were idle for longer than MaxIdleNonIdempotent", secondsToDurations(5, 2), 2, true, Dial, 0, nil},
		{"longest idle connection is closed and a new one dialed for a non-idempotent request if MaxConns connections are open", secondsToDurations(5, 2), 3, true, ReplaceIdle, 0, nil},
		{"request waits if MaxConns connections are open and none is idle", nil, 3, false, Wait, 0, nil},
		{"two stale connections are closed and the request is sent on the third", secondsToDurations(70, 3, 61), 3, false, UseIdle, 1, []int{0, 2}},
		{"all connections are stale and closed, and a new one is dialed", secondsToDurations(70, 80, 90), 3, true, Dial, 0, []int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			decision := policy.Choose(test.idleTimes, test.openConns, test.nonIdempotent)
			if decision.Action != test.wantAction || decision.Index != test.wantIndex || !slices.Equal(decision.Stale, test.wantStale) {
				t.Errorf("Choose returned Decision %+v, want Action %d, Index %d and Stale %v", decision, test.wantAction, test.wantIndex, test.wantStale)
			}
		})
	}
}
