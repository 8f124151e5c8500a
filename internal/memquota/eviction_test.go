package memquota

import "testing"

func TestSelectEviction(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"nobody", nil, -1},
		{"all busy", []Candidate{{Busy: true, IdleSeconds: 9}, {Busy: true}}, -1},
		{"the longest idle stranger", []Candidate{{IdleSeconds: 1}, {IdleSeconds: 3}, {IdleSeconds: 2}}, 1},
		{"strangers before the known", []Candidate{{Established: true, IdleSeconds: 90}, {IdleSeconds: 1}}, 1},
		{"the known where no stranger is", []Candidate{{Established: true, IdleSeconds: 1}, {Busy: true, IdleSeconds: 9}, {Established: true, IdleSeconds: 2}}, 2},
	} {
		if got := SelectEviction(c.candidates); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
