package scenario

import "testing"

// However short a day is made, each of its troubles meets asks.
func TestTroublesMeetAsks(t *testing.T) {
	var nodes []Node
	for range 24 {
		nodes = append(nodes, Node{Name: "n", Zone: "z", Rack: "r", Kind: "k"})
	}
	for _, seconds := range []float64{45, 75, 150, 300, 600, 1200} {
		for seed := range uint64(5) {
			d := Default()
			d.Seed = seed + 1
			d.Stretch(seconds)
			if d.Seconds != seconds || d.Calm < min(seconds/6, 20) {
				t.Fatalf("%v seconds with %v of calm", d.Seconds, d.Calm)
			}
			var asks []float64
			for _, a := range d.Plan(nodes) {
				if a.Do == Submit {
					asks = append(asks, a.At)
				}
			}
			for _, tr := range d.Trouble {
				n := 0
				for _, at := range asks {
					if at >= tr.At && (at < tr.At+tr.For || tr.For == 0) {
						n++
					}
				}
				if n == 0 {
					t.Errorf("%v seconds, seed %d: nothing is asked in %s from %.1f for %.1f", seconds, d.Seed, tr.Kind, tr.At, tr.For)
				}
			}
		}
	}
}
