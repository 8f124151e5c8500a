package memquota

import (
	"testing"
	"time"
)

func TestSelectEviction(t *testing.T) {
	for _, test := range []struct {
		name       string
		candidates []EvictionCandidate
		want       int
	}{
		{"no connection to select from", nil, -1},
		{"no selection if all connections are busy", []EvictionCandidate{{Busy: true, IdleTime: 9 * time.Second}, {Busy: true}}, -1},
		{"connection with the longest idle time if no connection is established", []EvictionCandidate{{IdleTime: 1 * time.Second}, {IdleTime: 3 * time.Second}, {IdleTime: 2 * time.Second}}, 1},
		{"connection that is not established although an established connection has a longer idle time", []EvictionCandidate{{Established: true, IdleTime: 90 * time.Second}, {IdleTime: 1 * time.Second}}, 1},
		{
			"established connection with the longest idle time if all others are busy",
			[]EvictionCandidate{{Established: true, IdleTime: 1 * time.Second}, {Busy: true, IdleTime: 9 * time.Second}, {Established: true, IdleTime: 2 * time.Second}},
			2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := SelectEviction(test.candidates); got != test.want {
				t.Errorf("SelectEviction returned index %d, want index %d", got, test.want)
			}
		})
	}
}
