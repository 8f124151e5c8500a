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
	baseState := State{Now: 100, Deadline: 200, Attempts: 1, RetriesLeft: 2, Jitter: 0.5}
	for _, test := range []struct {
		name   string
		change func(state *State)
		want   Decision
	}{
		{"request rejected, two retries left", func(*State) {}, RetryAt},
		{"request rejected, no retries left", func(state *State) { state.RetriesLeft = 0 }, Reject},
		{"request failed, no retries left", func(state *State) { state.RetriesLeft, state.Cause = 0, Failed }, Fail},
		{"request rejected, delay of a retry would end after the deadline", func(state *State) { state.Deadline = 101 }, Reject},
		{"task not idempotent, outcome of an attempt unknown", func(state *State) {
			state.Idempotency, state.OutcomeUnknown = placer.NonIdempotent, true
		}, AwaitOutcome},
		{"task not idempotent, outcome of an attempt unknown at the deadline", func(state *State) {
			state.Idempotency, state.OutcomeUnknown, state.Now = placer.NonIdempotent, true, 200
		}, Fail},
		{"task not idempotent, task possibly ran in an earlier attempt", func(state *State) { state.Idempotency, state.MayHaveRun = placer.NonIdempotent, true }, Fail},
		{"task idempotent by idempotency key, outcome of an attempt unknown", func(state *State) {
			state.Idempotency, state.OutcomeUnknown = placer.IdempotentByKey, true
		}, AwaitOutcome},
		{"task idempotent, outcome of an attempt unknown", func(state *State) { state.OutcomeUnknown = true }, RetryAt},
		{"task idempotent, outcome of an attempt unknown, no retries left", func(state *State) { state.OutcomeUnknown, state.RetriesLeft = true, 0 }, Fail},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := baseState
			test.change(&state)
			if decision, _ := policy.Next(state); decision != test.want {
				t.Errorf("Next returned Decision(%d), want Decision(%d)", decision, test.want)
			}
		})
	}
}

// drawSeconds draws a random duration between the two bounds. When a test fails, package rapid prints the label
// together with the drawn value.
func drawSeconds(t *rapid.T, minSeconds, maxSeconds float64, label string) placer.Seconds {
	return placer.Seconds(rapid.Float64Range(minSeconds, maxSeconds).Draw(t, label))
}

func drawPolicy(t *rapid.T) Policy {
	return Policy{
		Delay:                 drawSeconds(t, 0, 5, "mean delay of the first retry"),
		ShortDelay:            drawSeconds(t, 0, 2, "mean delay after a migration or node loss"),
		Multiplier:            rapid.Float64Range(0, 3).Draw(t, "growth factor of the delay"),
		MaxDelay:              drawSeconds(t, 0, 30, "largest mean delay"),
		UnknownOutcomeTimeout: 3,
	}
}

func drawState(t *rapid.T) State {
	const now placer.Seconds = 100
	return State{
		Idempotency:    placer.Idempotency(rapid.IntRange(0, 2).Draw(t, "placer.Idempotency as a number")),
		Cause:          Cause(rapid.IntRange(0, 4).Draw(t, "Cause as a number")),
		Now:            now,
		Deadline:       now + drawSeconds(t, -1, 50, "seconds until the deadline"),
		Attempts:       rapid.IntRange(1, 30).Draw(t, "number of attempts"),
		RetriesLeft:    rapid.IntRange(-1, 5).Draw(t, "number of retries left"),
		OutcomeUnknown: rapid.Bool().Draw(t, "outcome of an attempt unknown"),
		MayHaveRun:     rapid.Bool().Draw(t, "task possibly ran"),
		Jitter:         rapid.Float64Range(0, 1).Draw(t, "jitter"),
	}
}

// TestNextRespectsDelays checks for random policies and states that:
//   - a retry after a rejection, a failure or an eviction is delayed by at least one second,
//   - each retry is scheduled for a time before the deadline,
//   - no retry is scheduled if no retries are left,
//   - a task that possibly ran is retried only if it is idempotent,
//   - Next never returns Reject for a task that possibly ran.
func TestNextRespectsDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, state := drawPolicy(t), drawState(t)

		decision, stepTime := policy.Next(state)

		mayHaveRun := state.OutcomeUnknown || state.MayHaveRun
		switch decision {
		case RetryAt:
			if state.Idempotency != placer.Idempotent && mayHaveRun {
				t.Fatal("Next returned RetryAt for a task that is not idempotent and possibly ran in an earlier attempt")
			}
			if state.RetriesLeft <= 0 || stepTime >= state.Deadline || stepTime < state.Now {
				t.Fatalf("Next scheduled a retry at %v s with %d retries left and a deadline at %v s, want a retry only if retries are left, not earlier than State.Now, and before the deadline", stepTime, state.RetriesLeft, state.Deadline)
			}
			if state.Cause < Migrated && stepTime < state.Now+1 {
				t.Fatalf("Next scheduled a retry after a rejection, failure or eviction with a delay of %v s, want at least 1 s", stepTime-state.Now)
			}
		case Reject:
			if mayHaveRun {
				t.Fatal("Next returned Reject for a task that possibly ran in an earlier attempt")
			}
		}
	})
}

// TestMaxWaitCoversAllAttempts checks that the first request and all retries end within the time that
// Policy.MaxWait returns, even if each request takes as long as requestTimeout and each delay is the longest.
func TestMaxWaitCoversAllAttempts(t *testing.T) {
	const requestTimeout placer.Seconds = 8 // requestTimeout is the time after which each request expires.
	policy := DefaultPolicy()
	for maxRetries := range 40 {
		// attemptEnd is the time at which the current request expires; the first request begins at 0 s.
		attemptEnd := requestTimeout
		for retryIndex := range maxRetries {
			_, retryAt := policy.Next(State{Cause: Rejected, Now: attemptEnd, Deadline: 1e9, Attempts: retryIndex + 1, RetriesLeft: 1, Jitter: 1})
			attemptEnd = retryAt + requestTimeout
		}
		if maxWait := policy.MaxWait(requestTimeout, maxRetries); attemptEnd > maxWait+1e-6 {
			t.Errorf("the last of %d retries ends %v s after the first request began, want at most the result of MaxWait, %v s", maxRetries, attemptEnd, maxWait)
		}
	}
}
