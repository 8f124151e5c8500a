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
	for _, test := range []struct {
		name   string
		change func(state *State)
		want   Decision
	}{
		{"rejected", func(*State) {}, RetryAt},
		{"rejected, no retries left", func(state *State) { state.RetriesLeft = 0 }, Reject},
		{"failed, no retries left", func(state *State) { state.RetriesLeft, state.Cause = 0, Failed }, Fail},
		{"rejected, too late for a retry", func(state *State) { state.Deadline = 101 }, Reject},
		{"not idempotent, outcome unknown", func(state *State) {
			state.Idempotency, state.OutcomeUnknown = placer.NonIdempotent, true
		}, AwaitOutcome},
		{"not idempotent, outcome unknown at the deadline", func(state *State) {
			state.Idempotency, state.OutcomeUnknown, state.Now = placer.NonIdempotent, true, 200
		}, Fail},
		{"not idempotent, may have run", func(state *State) { state.Idempotency, state.MayHaveRun = placer.NonIdempotent, true }, Fail},
		{"idempotent by key, outcome unknown", func(state *State) {
			state.Idempotency, state.OutcomeUnknown = placer.IdempotentByKey, true
		}, AwaitOutcome},
		{"idempotent, outcome unknown", func(state *State) { state.OutcomeUnknown = true }, RetryAt},
		{"idempotent, outcome unknown, no retries left", func(state *State) { state.OutcomeUnknown, state.RetriesLeft = true, 0 }, Fail},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := base
			test.change(&state)
			if decision, _ := policy.Next(state); decision != test.want {
				t.Errorf("Next returned decision %d, want %d", decision, test.want)
			}
		})
	}
}

// drawSeconds draws a duration between the two bounds.
func drawSeconds(t *rapid.T, minSeconds, maxSeconds float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(minSeconds, maxSeconds).Draw(t, label))
}

func drawPolicy(t *rapid.T) Policy {
	return Policy{
		Delay:                 drawSeconds(t, 0, 5, "delay"),
		ShortDelay:            drawSeconds(t, 0, 2, "short delay"),
		Multiplier:            rapid.Float64Range(0, 3).Draw(t, "multiplier"),
		MaxDelay:              drawSeconds(t, 0, 30, "max delay"),
		UnknownOutcomeTimeout: 3,
	}
}

func drawState(t *rapid.T) State {
	const now placer.Seconds = 100
	return State{
		Idempotency:    placer.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
		Cause:          Cause(rapid.IntRange(0, 4).Draw(t, "cause")),
		Now:            now,
		Deadline:       now + drawSeconds(t, -1, 50, "time left"),
		Attempts:       rapid.IntRange(1, 30).Draw(t, "attempts"),
		RetriesLeft:    rapid.IntRange(-1, 5).Draw(t, "retries left"),
		OutcomeUnknown: rapid.Bool().Draw(t, "outcome unknown"),
		MayHaveRun:     rapid.Bool().Draw(t, "may have run"),
		Jitter:         rapid.Float64Range(0, 1).Draw(t, "jitter"),
	}
}

// TestNextRespectsDelays checks three properties of Policy.Next for arbitrary states: a retry after a
// rejection, a failure or an eviction is at least one second away, no retry is scheduled past the deadline,
// and a task that is not idempotent is not retried while an attempt may have run.
func TestNextRespectsDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, state := drawPolicy(t), drawState(t)

		decision, at := policy.Next(state)

		mayRun := state.OutcomeUnknown || state.MayHaveRun
		switch decision {
		case RetryAt:
			if state.Idempotency != placer.Idempotent && mayRun {
				t.Fatal("a task that is not idempotent is retried although an attempt may have run")
			}
			if state.RetriesLeft <= 0 || at >= state.Deadline || at < state.Now {
				t.Fatalf("retry at %v with %d retries left, although the client stops waiting at %v", at, state.RetriesLeft, state.Deadline)
			}
			if state.Cause < Migrated && at < state.Now+1 {
				t.Fatalf("retry after %v s, want a delay of at least 1 s", at-state.Now)
			}
		case Reject:
			if mayRun {
				t.Fatal("a task is reported as rejected although an attempt may have run")
			}
		}
	})
}

// TestMaxWaitCoversAllAttempts checks that every attempt that a policy allows ends within MaxWait.
func TestMaxWaitCoversAllAttempts(t *testing.T) {
	const deadline placer.Seconds = 8 // deadline is the time after which each request expires.
	policy := DefaultPolicy()
	for maxRetries := range 40 {
		// attemptEnd starts as the time at which the first request expires.
		attemptEnd := deadline
		for retry := range maxRetries {
			_, retryAt := policy.Next(State{Cause: Rejected, Now: attemptEnd, Deadline: 1e9, Attempts: retry + 1, RetriesLeft: 1, Jitter: 1})
			attemptEnd = retryAt + deadline
		}
		if maxWait := policy.MaxWait(deadline, maxRetries); attemptEnd > maxWait+1e-6 {
			t.Errorf("with %d retries the last attempt ends at %v, want it to end by MaxWait, which is %v", maxRetries, attemptEnd, maxWait)
		}
	}
}
