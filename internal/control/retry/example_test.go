package retry_test

import (
	"fmt"

	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// A client retries a rejected request after a delay and gives it up when no retries are left.
func ExamplePolicy_Next() {
	policy := retry.DefaultPolicy()
	state := retry.State{Cause: retry.Rejected, Now: 100, Deadline: 130, Attempts: 1, RetriesLeft: 1, Jitter: 0.5}
	decision, at := policy.Next(state)
	fmt.Println(decision == retry.RetryAt, at)

	state.RetriesLeft = 0
	decision, at = policy.Next(state)
	fmt.Println(decision == retry.Reject, at)
	// Output:
	// true 101.5
	// true 100
}

// A client does not retry a task that must not run twice while the outcome of an attempt is unknown.
func ExamplePolicy_Next_unknownOutcome() {
	policy := retry.DefaultPolicy()
	decision, until := policy.Next(retry.State{
		Idempotency:    placer.NonIdempotent,
		Cause:          retry.Failed,
		Now:            100,
		Deadline:       130,
		Attempts:       1,
		RetriesLeft:    3,
		OutcomeUnknown: true,
	})
	fmt.Println(decision == retry.AwaitOutcome, until)
	// Output: true 130
}

// A Backoff doubles its delay with each failure up to an upper bound and starts again after a success.
func ExampleBackoff() {
	backoff := retry.Backoff{Min: 0.5, Max: 2}
	for range 4 {
		fmt.Println(backoff.Next(0.5))
	}
	backoff.Reset()
	fmt.Println(backoff.Next(0.5))
	// Output:
	// 0.5
	// 1
	// 2
	// 2
	// 0.5
}
