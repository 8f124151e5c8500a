package connpool

import (
	"slices"
	"testing"
)

func TestChoose(t *testing.T) {
	p := Policy{MaxConns: 3, MaxIdle: 60, MaxIdleNonIdempotent: 1}
	for _, c := range []struct {
		name    string
		idle    []float64
		open    int
		careful bool
		want    Action
		index   int
		stale   []int
	}{
		{"none yet", nil, 0, false, Dial, 0, nil},
		{"the most recent", []float64{5, 2, 9}, 3, false, Use, 1, nil},
		{"careful, fresh", []float64{5, 0.5}, 2, true, Use, 1, nil},
		{"careful, none fresh", []float64{5, 2}, 2, true, Dial, 0, nil},
		{"careful, none fresh, all open", []float64{5, 2}, 3, true, Replace, 0, nil},
		{"all busy", nil, 3, false, Wait, 0, nil},
		{"stale ones go", []float64{70, 3, 61}, 3, false, Use, 1, []int{0, 2}},
		{"only stale ones", []float64{70, 80, 90}, 3, true, Dial, 0, []int{0, 1, 2}},
	} {
		d := p.Choose(c.idle, c.open, c.careful)
		if d.Action != c.want || d.Index != c.index || !slices.Equal(d.Stale, c.stale) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}
