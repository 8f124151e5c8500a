package scenario

import "testing"

// TestFaultsMeetLoad checks that tasks are submitted during each fault of the default scenario, however short it is made.
func TestFaultsMeetLoad(t *testing.T) {
	var nodes []Node
	for range 24 {
		nodes = append(nodes, Node{Name: "n", Zone: "z", Rack: "r", Kind: "k"})
	}
	for _, seconds := range []float64{45, 75, 150, 300, 600, 1200} {
		for seed := range uint64(5) {
			script := Default()
			script.Seed = seed + 1
			script.Stretch(seconds)
			if script.Seconds != seconds || script.Cooldown < min(seconds/6, 20) {
				t.Fatalf("%v seconds with %v of cooldown", script.Seconds, script.Cooldown)
			}
			var submissions []float64
			for _, action := range script.Plan(nodes) {
				if action.Kind == SubmitJob {
					submissions = append(submissions, float64(action.At))
				}
			}
			for _, fault := range script.Faults {
				count := 0
				for _, at := range submissions {
					if at >= fault.At && (at < fault.At+fault.Duration || fault.Duration == 0) {
						count++
					}
				}
				if count == 0 {
					t.Errorf("%v seconds, seed %d: nothing is submitted in %s from %.1f for %.1f", seconds, script.Seed, fault.Kind, fault.At, fault.Duration)
				}
			}
		}
	}
}
