package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"heathshed/internal/control/retry"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterizePolicy compares the results of Policy.Next and Policy.MaxWait for several policies with a
// golden file. Floating-point values must be equal bit for bit. The states that the test passes to
// Policy.Next are drawn from a seeded random generator and cover every placer.Idempotency and every Cause.
//
// Regenerate the golden file with HEATHSHED_UPDATE_GOLDEN=1 only if the behaviour of package retry is meant to
// change; package goldentest describes how.
func TestCharacterizePolicy(t *testing.T) {
	record := goldentest.NewRecorder()
	policies := []retry.Policy{
		retry.DefaultPolicy(),
		{Delay: 0.2, ShortDelay: 0.05, Multiplier: 3, MaxDelay: 9, UnknownOutcomeTimeout: 1},
		{Delay: 4, Multiplier: 0.5},
	}
	for i, policy := range policies {
		rng := rand.New(rand.NewPCG(5, uint64(i)))
		var decisionCounts [4]int
		for step := range 4000 {
			state := retry.State{
				Idempotency:    placer.Idempotency(step % 3),
				Cause:          retry.Cause(rng.IntN(6)),
				Now:            1000 + placer.Seconds(rng.Float64()),
				Attempts:       rng.IntN(12),
				RetriesLeft:    rng.IntN(4),
				OutcomeUnknown: rng.IntN(4) == 0,
				MayHaveRun:     rng.IntN(5) == 0,
				RetryAfter:     placer.Seconds(float64(rng.IntN(3)) * 3 * rng.Float64()),
				Jitter:         rng.Float64(),
			}
			state.Deadline = state.Now - 2 + placer.Seconds(40*rng.Float64())
			decision, stepTime := policy.Next(state)
			decisionCounts[decision]++
			record.Integers(int64(decision))
			record.Floats(float64(stepTime))
			if step%500 == 499 {
				record.Checkpoint(fmt.Sprintf("policy %d, step %d", i, step+1))
			}
		}
		for maxRetries := range 20 {
			record.Floats(float64(policy.MaxWait(0.5*placer.Seconds(maxRetries+1), maxRetries)))
		}
		record.Line("policy %d: verdicts %v", i, decisionCounts)
		record.Checkpoint(fmt.Sprintf("policy %d, patience", i))
	}
	record.Check(t, "policy")
}
