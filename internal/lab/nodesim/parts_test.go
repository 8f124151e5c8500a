package nodesim

import (
	"fmt"
	"testing"

	"heathshed/placer"
)

// TestWarmUpPace checks that a cold node starts at its initial pace and gains the rest evenly, and that a warm one has its full pace.
func TestWarmUpPace(t *testing.T) {
	config := WarmUp{InitialPace: 0.25, Duration: 8}
	for _, test := range []struct {
		name string
		cold bool
		WarmUp
		at   placer.Seconds
		want float64
		over bool
	}{
		{"cold, at its start", true, config, 100, 0.25, false},
		{"cold, half way", true, config, 104, 0.625, false},
		{"cold, at the end", true, config, 108, 1, true},
		{"warm", false, config, 100, 1, true},
		{"cold, without a warm-up", true, WarmUp{InitialPace: 0.2}, 100, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			phase := newWarmUpPhase(test.WarmUp, 100, test.cold)
			if pace, over := phase.pace(test.at), phase.over(test.at); pace != test.want || over != test.over {
				t.Errorf("pace %v, over %v, want %v, %v", pace, over, test.want, test.over)
			}
		})
	}
}

// TestOverloadDetector checks that a node fails at the first request that exceeds both limits within the window.
func TestOverloadDetector(t *testing.T) {
	for _, test := range []struct {
		name         string
		config       Overload
		gap          placer.Seconds // between requests
		startsAtOnce float64
		wantFailure  int // number of the request, 0 for none of 20
	}{
		{"more than can be started in the window", Overload{Factor: 2, Window: 1, MinRequests: 3}, 0, 4, 9},
		{"few requests, however slow the node", Overload{Factor: 2, Window: 1, MinRequests: 7}, 0, 0.001, 8},
		{"spread over more than the window", Overload{Factor: 2, Window: 1, MinRequests: 3}, 0.5, 4, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := overloadDetector{config: test.config}
			failure := 0
			for request := 1; request <= 20 && failure == 0; request++ {
				now := placer.Seconds(request) * test.gap
				if detector.requestReceived(now, test.startsAtOnce, 1) {
					failure = request
				}
			}
			if failure != test.wantFailure {
				t.Errorf("failed at request %d, want %d", failure, test.wantFailure)
			}
		})
	}
}

// TestOverloadDetectorReset checks that requests before a reset do not count.
func TestOverloadDetectorReset(t *testing.T) {
	detector := overloadDetector{config: Overload{Factor: 1, Window: 10, MinRequests: 2}}
	for range 2 {
		detector.requestReceived(0, 1, 10)
	}
	detector.reset()
	if detector.requestReceived(0, 1, 10) {
		t.Error("failed at the first request after the reset")
	}
}

// TestProgramCache checks that programs that run are there, and that of the others the most recently used ones are.
func TestProgramCache(t *testing.T) {
	cache := programCache{size: 2, running: map[string]int{}}
	expect := func(want map[string]bool) {
		t.Helper()
		for service, present := range want {
			if cache.has(service) != present {
				t.Errorf("program of %s present: %v, want %v", service, !present, present)
			}
		}
	}
	for _, service := range []string{"a", "b", "c", "c"} {
		cache.taskStarted(service)
	}
	expect(map[string]bool{"a": true, "b": true, "c": true, "d": false})

	cache.taskEnded("c") // one of two
	cache.taskEnded("a")
	cache.taskEnded("b")
	expect(map[string]bool{"a": true, "b": true, "c": true})

	cache.taskEnded("c") // used last; a is the least recently used of three
	expect(map[string]bool{"a": false, "b": true, "c": true})
}

// TestFenceTable checks that a fence only grows, and that the oldest is dropped when there are too many.
func TestFenceTable(t *testing.T) {
	fences := fenceTable{attempts: map[string]int{}}
	fences.add("first", 3)
	fences.add("first", 2)
	for attempt, want := range map[int]bool{2: true, 3: true, 4: false} {
		if got := fences.forbids("first", attempt); got != want {
			t.Errorf("attempt %d forbidden: %v, want %v", attempt, got, want)
		}
	}
	if fences.forbids("other", 1) {
		t.Error("an attempt of a task without a fence is forbidden")
	}
	for i := range maxFences {
		fences.add(fmt.Sprint("task-", i), 1)
	}
	if fences.forbids("first", 2) || !fences.forbids("task-0", 1) || len(fences.attempts) != maxFences {
		t.Errorf("%d fences, want %d without the oldest", len(fences.attempts), maxFences)
	}
}
