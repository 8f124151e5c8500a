package connpool

import "testing"

func TestKeepAlive(t *testing.T) {
	p := Shared{MaxIdle: 9, TestAfter: 1, TestFor: 0.5}
	for _, c := range []struct {
		name string
		l    State
		want Upkeep
	}{
		{"at work", State{Requests: 1, Used: 99.5, Heard: 99}, Leave},
		{"no word while something is expected", State{Requests: 1, Used: 98.9, Heard: 98}, Test},
		{"no word while tasks stand", State{Held: true, Used: 50, Heard: 98}, Test},
		{"tested just now", State{Held: true, Used: 50, Heard: 98, Tested: 99.6}, Leave},
		{"test unanswered", State{Requests: 3, Used: 99, Heard: 98, Tested: 99.4}, Break},
		{"a message that does not end", State{Requests: 1, Used: 99.9, Heard: 99.9, Cut: 99.4}, Break},
		{"idle", State{Used: 90, Heard: 99}, Retire},
		{"idle, but tasks stand", State{Used: 90, Heard: 99.5, Held: true}, Leave},
		{"idle, tasks stand, another serves", State{Used: 90, Heard: 99.5, Held: true, Spare: true}, Retire},
	} {
		if got := p.KeepAlive(100, c.l); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

func TestReach(t *testing.T) {
	r := Reach{SilentFor: 6, RefusedFor: 1}
	r.Heard(100)
	r.Failed(101, false)
	if r.Lost(105.9) != Present || r.Lost(106.1) != Silent {
		t.Error("silence: want lost after 6 s without a word")
	}
	r.Heard(107)
	r.Failed(108, true)
	if r.Lost(108.9) != Present || r.Lost(109.1) != Ended {
		t.Error("refusals: want lost after 1 s of them")
	}
	r.Failed(109, false) // no answer says nothing of the process
	if r.Lost(110) != Present {
		t.Error("a dial without an answer ends the refusals")
	}
	r.Heard(200)
	if r.Lost(300) != Present {
		t.Error("not dialled: want no verdict")
	}
	var none Reach
	none.SilentFor, none.RefusedFor = 6, 1
	none.Failed(50, false)
	if none.Lost(55) != Present || none.Lost(57) != Silent {
		t.Error("without any word silence counts from the first failure")
	}
}
