package retry

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/testsupport/proptest"
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
		{"rejected", func(*State) {}, RetryAt},
		{"rejected, no retries left", func(state *State) { state.RetriesLeft = 0 }, Reject},
		{"failed, no retries left", func(state *State) { state.RetriesLeft, state.Cause = 0, Failed }, Fail},
		{"rejected, too late for a retry", func(state *State) { state.Deadline = 101 }, Reject},
		{"not idempotent, outcome unknown", func(state *State) { state.Idempotency, state.OutcomeUnknown = placer.NonIdempotent, true }, AwaitOutcome},
		{"not idempotent, outcome unknown at the deadline", func(state *State) {
			state.Idempotency, state.OutcomeUnknown, state.Now = placer.NonIdempotent, true, 200
		}, Fail},
		{"not idempotent, may have run", func(state *State) { state.Idempotency, state.MayHaveRun = placer.NonIdempotent, true }, Fail},
		{"idempotent by key, outcome unknown", func(state *State) { state.Idempotency, state.OutcomeUnknown = placer.IdempotentByKey, true }, AwaitOutcome},
		{"idempotent, outcome unknown", func(state *State) { state.OutcomeUnknown = true }, RetryAt},
		{"idempotent, outcome unknown, no retries left", func(state *State) { state.OutcomeUnknown, state.RetriesLeft = true, 0 }, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := base
			c.change(&state)
			if decision, _ := policy.Next(state); decision != c.want {
				t.Errorf("decision %d, want %d", decision, c.want)
			}
		})
	}
}

// drawSeconds draws a time.
func drawSeconds(t *rapid.T, least, most float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(least, most).Draw(t, label))
}

// TestNextRespectsDelays checks for any state: no delay under a second after a rejection, none past the deadline, and no retry of a task that
// is not idempotent while an attempt may have run.
func TestNextRespectsDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{Delay: drawSeconds(t, 0, 5, "again"), ShortDelay: drawSeconds(t, 0, 2, "soon"),
			Multiplier: rapid.Float64Range(0, 3).Draw(t, "growth"), MaxDelay: drawSeconds(t, 0, 30, "most"), UnknownOutcomeTimeout: 3}
		state := State{Idempotency: placer.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), Cause: Cause(rapid.IntRange(0, 4).Draw(t, "cause")), Now: 100,
			Deadline: 100 + drawSeconds(t, -1, 50, "left"), Attempts: rapid.IntRange(1, 30).Draw(t, "asked"),
			RetriesLeft: rapid.IntRange(-1, 5).Draw(t, "budget"), OutcomeUnknown: rapid.Bool().Draw(t, "doubt"), MayHaveRun: rapid.Bool().Draw(t, "ran"),
			Jitter: rapid.Float64Range(0, 1).Draw(t, "jitter")}
		decision, at := policy.Next(state)
		if decision == RetryAt {
			if state.Idempotency != placer.Idempotent && (state.OutcomeUnknown || state.MayHaveRun) {
				t.Fatal("retry though an attempt may have run")
			}
			if state.RetriesLeft <= 0 || at >= state.Deadline || at < state.Now {
				t.Fatalf("retry at %v with %d retries left, client gives up at %v", at, state.RetriesLeft, state.Deadline)
			}
			if state.Cause < Migrated && at < state.Now+1 {
				t.Fatalf("retry after %v s", at-state.Now)
			}
		}
		if decision == Reject && (state.OutcomeUnknown || state.MayHaveRun) {
			t.Fatal("reported as rejected though an attempt may have run")
		}
	})
}

// TestMaxWaitCoversAllAttempts checks that every attempt that a policy allows ends within MaxWait.
func TestMaxWaitCoversAllAttempts(t *testing.T) {
	policy := DefaultPolicy()
	for budget := range 40 {
		at := placer.Seconds(8)
		for i := range budget {
			_, next := policy.Next(State{Cause: Rejected, Now: at, Deadline: 1e9, Attempts: i + 1, RetriesLeft: 1, Jitter: 1})
			at = next + 8
		}
		if most := policy.MaxWait(8, budget); at > most+1e-6 {
			t.Errorf("%d retries: the last attempt ends at %v, want at most %v", budget, at, most)
		}
	}
}
