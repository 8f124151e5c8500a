package retry

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

func TestNext(t *testing.T) {
	policy := DefaultPolicy()
	base := State{Now: 100, Deadline: 200, Attempts: 1, RetriesLeft: 2, Jitter: 0.5}
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Decision
	}{
		{"refused", func(state *State) {}, RetryAt},
		{"refused, nothing left", func(state *State) { state.RetriesLeft = 0 }, Reject},
		{"failed, nothing left", func(state *State) { state.RetriesLeft, state.Cause = 0, Failed }, Fail},
		{"refused, too late to ask again", func(state *State) { state.Deadline = 101 }, Reject},
		{"once, in doubt", func(state *State) { state.Idempotency, state.OutcomeUnknown = placer.NonIdempotent, true }, AwaitOutcome},
		{"once, in doubt at the end", func(state *State) {
			state.Idempotency, state.OutcomeUnknown, state.Now = placer.NonIdempotent, true, 200
		}, Fail},
		{"once, may have run", func(state *State) { state.Idempotency, state.MayHaveRun = placer.NonIdempotent, true }, Fail},
		{"keyed, in doubt", func(state *State) { state.Idempotency, state.OutcomeUnknown = placer.IdempotentByKey, true }, AwaitOutcome},
		{"repeatable, in doubt", func(state *State) { state.OutcomeUnknown = true }, RetryAt},
		{"repeatable, in doubt, nothing left", func(state *State) { state.OutcomeUnknown, state.RetriesLeft = true, 0 }, Fail},
	} {
		state := base
		c.change(&state)
		if decision, _ := policy.Next(state); decision != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, decision, c.want)
		}
	}
}

// Whatever the standing: no wait under a second after a refusal, none past the end, and a task that must not run twice is never
// asked again while an attempt may have run.
func TestNextRespectsDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{Delay: rapid.Float64Range(0, 5).Draw(t, "again"), ShortDelay: rapid.Float64Range(0, 2).Draw(t, "soon"),
			Multiplier: rapid.Float64Range(0, 3).Draw(t, "growth"), MaxDelay: rapid.Float64Range(0, 30).Draw(t, "most"), UnknownOutcomeTimeout: 3}
		state := State{Idempotency: placer.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), Cause: Cause(rapid.IntRange(0, 4).Draw(t, "cause")), Now: 100,
			Deadline: 100 + rapid.Float64Range(-1, 50).Draw(t, "left"), Attempts: rapid.IntRange(1, 30).Draw(t, "asked"),
			RetriesLeft: rapid.IntRange(-1, 5).Draw(t, "budget"), OutcomeUnknown: rapid.Bool().Draw(t, "doubt"), MayHaveRun: rapid.Bool().Draw(t, "ran"),
			Jitter: rapid.Float64Range(0, 1).Draw(t, "jitter")}
		decision, at := policy.Next(state)
		if decision == RetryAt {
			if state.Idempotency != placer.Idempotent && (state.OutcomeUnknown || state.MayHaveRun) {
				t.Fatal("asked again though an attempt may have run")
			}
			if state.RetriesLeft <= 0 || at >= state.Deadline || at < state.Now {
				t.Fatalf("asked again at %v with budget %d, owner gives up at %v", at, state.RetriesLeft, state.Deadline)
			}
			if state.Cause < Migrated && at < state.Now+1 {
				t.Fatalf("asked again after %v s", at-state.Now)
			}
		}
		if decision == Reject && (state.OutcomeUnknown || state.MayHaveRun) {
			t.Fatal("said that a new try does no harm though an attempt may have run")
		}
	})
}

// Every ask that may be made ends before the owner's patience does.
func TestMaxWaitCoversAllAttempts(t *testing.T) {
	policy := DefaultPolicy()
	for budget := range 40 {
		at := 8.0
		for i := range budget {
			_, next := policy.Next(State{Cause: Rejected, Now: at, Deadline: 1e9, Attempts: i + 1, RetriesLeft: 1, Jitter: 1})
			at = next + 8
		}
		if most := policy.MaxWait(8, budget); at > most+1e-6 {
			t.Errorf("budget %d: the last ask ends at %v, patience is %v", budget, at, most)
		}
	}
}
