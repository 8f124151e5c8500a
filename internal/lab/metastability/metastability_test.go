package metastability

import (
	"sync"
	"testing"

	"heathshed/internal/control/admission"
	"heathshed/internal/lab/scenario"
)

// playAll plays trials, four at a time; each is a world of its own.
func playAll(t *testing.T, trials []Trial) []Verdict {
	t.Helper()
	verdicts := make([]Verdict, len(trials))
	var group sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := range trials {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			verdict, err := Play(trials[i])
			if err != nil {
				t.Error(err)
			}
			verdicts[i] = verdict
		})
	}
	group.Wait()
	return verdicts
}

// TestNoMetastableFailure checks that whatever the trigger and the settings, goodput recovers in time once the trigger is over.
func TestNoMetastableFailure(t *testing.T) {
	var trials []Trial
	for seed := range uint64(8) {
		trials = append(trials, Draw(seed+1))
	}
	for i, verdict := range playAll(t, trials) {
		if !verdict.Recovered() {
			t.Errorf("%+v: %+v", trials[i], verdict)
		}
	}
}

// TestPlantedFailureIsFound checks that the search finds that an admission controller which counts requests that it shed itself as retries
// never recovers, and finds nothing in the same trial without the mistake.
func TestPlantedFailureIsFound(t *testing.T) {
	sound := Trial{
		Seed:      3,
		Load:      0.4,
		Backoff:   100000,
		Admission: admission.DefaultConfig(),
		Retry:     Draw(1).Retry,
		Trigger:   scenario.Fault{Kind: "burst", At: triggerAt, Duration: 8, Scale: 10},
	}
	faulty := sound
	faulty.Admission.ShedUsesRetryBudget = true
	verdicts := playAll(t, []Trial{sound, faulty})
	if !verdicts[0].Recovered() {
		t.Errorf("without the mistake: %+v", verdicts[0])
	}
	if verdicts[1].Recovered() {
		t.Errorf("with the mistake: %+v", verdicts[1])
	}
	t.Logf("without %+v\nwith %+v", verdicts[0], verdicts[1])
}
