package metastability

import (
	"sync"
	"testing"

	"heathshed/internal/admission"
	"heathshed/internal/scenario"
)

// all plays trials on four goroutines; each is a world of its own.
func all(t *testing.T, trials []Trial) []Verdict {
	out := make([]Verdict, len(trials))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range trials {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			v, err := Play(trials[i])
			if err != nil {
				t.Error(err)
			}
			out[i] = v
		}()
	}
	wg.Wait()
	return out
}

// Whatever the trigger and the settings, goodput is back in time once the trigger is gone.
func TestNoMetastableFailure(t *testing.T) {
	var trials []Trial
	for seed := range uint64(8) {
		trials = append(trials, Draw(seed+1))
	}
	for i, v := range all(t, trials) {
		if !v.Held() {
			t.Errorf("%+v: %+v", trials[i], v)
		}
	}
}

// A gate that takes what it shed itself for asks again stays in a bad minute for ever: the search finds it, and finds nothing in the same
// trial without the mistake.
func TestPlantedFailureIsFound(t *testing.T) {
	good := Trial{Seed: 3, Load: 0.4, Backoff: 100000, Gate: admission.DefaultConfig(), Owner: Draw(1).Owner,
		Trigger: scenario.Trouble{Kind: "burst", At: quiet, For: 8, Scale: 10}}
	bad := good
	bad.Gate.ShedDraws = true
	v := all(t, []Trial{good, bad})
	if !v[0].Held() {
		t.Errorf("without the mistake: %+v", v[0])
	}
	if v[1].Held() {
		t.Errorf("with the mistake: %+v", v[1])
	}
	t.Logf("without %+v\nwith %+v", v[0], v[1])
}
