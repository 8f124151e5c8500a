package fault

import (
	"testing"

	"heathshed/placer"
)

// TestApply checks that an order extends only the faults that it names, from its own time on.
func TestApply(t *testing.T) {
	var state NodeState
	state.Apply(100, Node{Reject: 5, LoseAnswer: 6, Reset: 7, Trickle: 8, ClockSkew: -3, Error: 9, Class: "web"})
	want := NodeState{RejectUntil: 105, LoseAnswerUntil: 106, ResetUntil: 107, TrickleUntil: 108, ClockSkew: -3, errorUntil: 109, errorClass: "web"}
	if state != want {
		t.Fatalf("after the first order: %+v, want %+v", state, want)
	}
	state.Apply(101, Node{Reject: 1, Stall: 50, Crash: 50, Unreachable: 50})
	want.RejectUntil = 102
	if state != want {
		t.Errorf("after the second order: %+v, want %+v", state, want)
	}
}

func TestFailsClass(t *testing.T) {
	for _, test := range []struct {
		name  string
		order Node
		at    placer.Seconds
		class string
		want  bool
	}{
		{"no fault", Node{}, 100, "web", false},
		{"any class", Node{Error: 5}, 104, "web", true},
		{"its class", Node{Error: 5, Class: "web"}, 104, "web", true},
		{"another class", Node{Error: 5, Class: "batch"}, 104, "web", false},
		{"over", Node{Error: 5}, 105, "web", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var state NodeState
			state.Apply(100, test.order)
			if got := state.FailsClass(test.at, test.class); got != test.want {
				t.Errorf("FailsClass(%v, %q) = %v after %+v", test.at, test.class, got, test.order)
			}
		})
	}
}
