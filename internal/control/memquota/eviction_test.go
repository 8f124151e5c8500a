package memquota

import (
	"testing"
	"time"
)

func TestSelectEviction(t *testing.T) {
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"all busy", []Candidate{{Busy: true, Idle: 9 * time.Second}, {Busy: true}}, -1},
		{"longest idle among candidates that are not established", []Candidate{{Idle: 1 * time.Second}, {Idle: 3 * time.Second}, {Idle: 2 * time.Second}}, 1},
		{"not established before established", []Candidate{{Established: true, Idle: 90 * time.Second}, {Idle: 1 * time.Second}}, 1},
		{
			"established when all others are busy",
			[]Candidate{{Established: true, Idle: 1 * time.Second}, {Busy: true, Idle: 9 * time.Second}, {Established: true, Idle: 2 * time.Second}},
			2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := SelectEviction(test.candidates); got != test.want {
				t.Errorf("SelectEviction returned index %d, want %d", got, test.want)
			}
		})
	}
}
