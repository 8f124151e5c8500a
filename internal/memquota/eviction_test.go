package memquota

import "testing"

func TestEvict(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"nobody", nil, -1},
		{"all busy", []Candidate{{Busy: true, Idle: 9}, {Busy: true}}, -1},
		{"the longest idle stranger", []Candidate{{Idle: 1}, {Idle: 3}, {Idle: 2}}, 1},
		{"strangers before the known", []Candidate{{Proven: true, Idle: 90}, {Idle: 1}}, 1},
		{"the known where no stranger is", []Candidate{{Proven: true, Idle: 1}, {Busy: true, Idle: 9}, {Proven: true, Idle: 2}}, 2},
	} {
		if got := SelectEviction(c.candidates); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
