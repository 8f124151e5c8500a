package connpool

import (
	"slices"
	"testing"
	"time"
)

// seconds converts whole numbers of seconds to durations.
func seconds(counts ...int) []time.Duration {
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
		idle          []time.Duration
		open          int
		nonIdempotent bool
		action        Action
		index         int
		stale         []int
	}{
		{"no connection yet", nil, 0, false, Dial, 0, nil},
		{"most recently used", seconds(5, 2, 9), 3, false, UseIdle, 1, nil},
		{"not idempotent, one fresh", []time.Duration{5 * time.Second, 500 * time.Millisecond}, 2, true, UseIdle, 1, nil},
		{"not idempotent, none fresh", seconds(5, 2), 2, true, Dial, 0, nil},
		{"not idempotent, none fresh, all open", seconds(5, 2), 3, true, ReplaceIdle, 0, nil},
		{"all busy", nil, 3, false, Wait, 0, nil},
		{"some stale", seconds(70, 3, 61), 3, false, UseIdle, 1, []int{0, 2}},
		{"all stale", seconds(70, 80, 90), 3, true, Dial, 0, []int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			decision := policy.Choose(test.idle, test.open, test.nonIdempotent)
			if decision.Action != test.action || decision.Index != test.index || !slices.Equal(decision.Stale, test.stale) {
				t.Errorf("Choose returned %+v, want action %d, index %d, stale connections %v", decision, test.action, test.index, test.stale)
			}
		})
	}
}
