package memquota

import "testing"

func TestSelectEviction(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"all busy", []Candidate{{Busy: true, IdleSeconds: 9}, {Busy: true}}, -1},
		{"longest idle of those not established", []Candidate{{IdleSeconds: 1}, {IdleSeconds: 3}, {IdleSeconds: 2}}, 1},
		{"not established before established", []Candidate{{Established: true, IdleSeconds: 90}, {IdleSeconds: 1}}, 1},
		{"established where all others are busy", []Candidate{{Established: true, IdleSeconds: 1}, {Busy: true, IdleSeconds: 9}, {Established: true, IdleSeconds: 2}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := SelectEviction(c.candidates); got != c.want {
				t.Errorf("selected %d, want %d", got, c.want)
			}
		})
	}
}
