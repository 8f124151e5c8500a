package retry_test

import (
	"fmt"

	"heathshed/internal/control/retry"
	"heathshed/placer"
)

// After a rejection, a client waits for a delay and then requests placement again. It gives the task up if no
// retries are left.
func ExamplePolicy_Next() {
	policy := retry.DefaultPolicy()
	state := retry.State{Cause: retry.Rejected, Now: 100, Deadline: 130, Attempts: 1, RetriesLeft: 1, Jitter: 0.5}
	decision, stepTime := policy.Next(state)
	fmt.Println(decision == retry.RetryAt, stepTime)

	state.RetriesLeft = 0
	decision, stepTime = policy.Next(state)
	fmt.Println(decision == retry.Reject, stepTime)
	// Output:
	// true 101.5
	// true 100
}

// A client does not request placement of a non-idempotent task again while the outcome of an attempt is
// unknown, because the task could then run twice.
func ExamplePolicy_Next_unknownOutcome() {
	policy := retry.DefaultPolicy()
	decision, stepTime := policy.Next(retry.State{
		Idempotency:    placer.NonIdempotent,
		Cause:          retry.Failed,
		Now:            100,
		Deadline:       130,
		Attempts:       1,
		RetriesLeft:    3,
		OutcomeUnknown: true,
	})
	fmt.Println(decision == retry.AwaitOutcome, stepTime)
	// Output: true 130
}

// A Backoff doubles its delay with each failure up to Max. After a call of Reset, the delay is Min again.
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
