package memquota

import "testing"

func TestSelectEviction(t *testing.T) {
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"no candidates", nil, -1},
		{"all busy", []Candidate{{Busy: true, IdleSeconds: 9}, {Busy: true}}, -1},
		{"longest idle of those not established", []Candidate{{IdleSeconds: 1}, {IdleSeconds: 3}, {IdleSeconds: 2}}, 1},
		{"not established before established", []Candidate{{Established: true, IdleSeconds: 90}, {IdleSeconds: 1}}, 1},
		{
			"established where all others are busy",
			[]Candidate{{Established: true, IdleSeconds: 1}, {Busy: true, IdleSeconds: 9}, {Established: true, IdleSeconds: 2}},
			2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := SelectEviction(test.candidates); got != test.want {
				t.Errorf("selected %d, want %d", got, test.want)
			}
		})
	}
}
