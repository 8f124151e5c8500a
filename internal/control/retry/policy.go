package retry

import "heathshed/placer"

const (
	minDelay placer.Seconds = 1 // minDelay is the shortest delay of a retry, unless the task was migrated or its node was lost.

	// The delay of a retry is multiplied by a random factor from minJitterFactor to
	// minJitterFactor+jitterFactorRange. Without this factor, clients would retry in synchronized waves.
	minJitterFactor   = 0.7
	jitterFactorRange = 0.6

	// After a shed request, jitter lengthens the delay by at most the fraction maxShedJitter. Jitter never
	// shortens this delay, because the scheduler advised the client to wait at least that long.
	maxShedJitter = 0.5
)

// Policy decides whether and when a client requests placement of a task again. Its fields are the settings.
type Policy struct {
	Delay                 placer.Seconds // Delay is the mean delay of the first retry after a rejection, failure or eviction; a Delay below minDelay counts as minDelay.
	ShortDelay            placer.Seconds // ShortDelay is the mean delay of a retry if the task was migrated or its node was lost.
	Multiplier            float64        // Multiplier is the factor by which the mean delay grows with each further attempt.
	MaxDelay              placer.Seconds // MaxDelay is the largest value to which Multiplier increases the mean delay.
	UnknownOutcomeTimeout placer.Seconds // UnknownOutcomeTimeout limits the wait for the outcome of an attempt; after it, the client asks the node to drop the task.
}

// DefaultPolicy returns the policy with the documented default delays.
func DefaultPolicy() Policy {
	return Policy{Delay: 1.5, ShortDelay: 0.2, Multiplier: 1.5, MaxDelay: 20, UnknownOutcomeTimeout: 3}
}

// Cause is the reason why a task does not run although the client requested its placement.
type Cause uint8

// The constants of type Cause are the reasons that Policy.Next distinguishes.
const (
	Rejected Cause = iota // Rejected means that the scheduler rejected the request; the task did not run, so a new request is safe.
	Failed                // Failed means that the request failed, and that it is unknown whether the task ran.
	Evicted               // Evicted means that the task was evicted from its node.
	Migrated              // Migrated means that the task is being moved to another node.
	Lost                  // Lost means that the node on which the task ran was lost.
	Shed                  // Shed means that the scheduler shed the request before any attempt and advised the delay State.RetryAfter.
)

// State is what a client knows about a task that is not running and has no attempt in flight. All times are
// readings of the client's clock.
type State struct {
	Idempotency    placer.Idempotency
	Cause          Cause
	Now            placer.Seconds // Now is the current time.
	Deadline       placer.Seconds // Deadline is the time at which the client stops waiting for the task to be placed.
	Attempts       int            // Attempts is the number of attempts to start the task so far.
	RetriesLeft    int            // RetriesLeft is the number of further retries that the client is allowed to make.
	OutcomeUnknown bool           // OutcomeUnknown means that a node has not yet answered an attempt, and possibly accepted the task.
	MayHaveRun     bool           // MayHaveRun means that the task possibly ran in an attempt whose outcome can no longer be learned.
	RetryAfter     placer.Seconds // RetryAfter is the shortest delay after Now that the scheduler advised.
	Jitter         float64        // Jitter is a random number from 0 to 1 that the caller draws.
}

// Decision is the next step of a client for one task.
type Decision uint8

// The constants of type Decision are the steps that Policy.Next returns.
const (
	RetryAt      Decision = iota // RetryAt means that the client requests placement again at the returned time.
	AwaitOutcome                 // AwaitOutcome means that the client waits for the unknown outcome of an attempt, at most until the returned time.
	Reject                       // Reject means that the client gives the task up, and that the task certainly did not run, so a new request is safe.
	Fail                         // Fail means that the client gives the task up, and that the task possibly ran.
)

// Next returns the next step of the client for a task. For RetryAt, stepTime is the time at which the client
// requests placement again. For AwaitOutcome, it is the time at which the client stops waiting. For Reject
// and Fail, it is state.Now. Next never returns RetryAt for a task that is not idempotent if the task
// possibly ran in an earlier attempt.
func (p *Policy) Next(state State) (decision Decision, stepTime placer.Seconds) {
	if state.Idempotency != placer.Idempotent && state.retryMayStartTaskTwice() {
		return state.awaitOutcomeOrFail()
	}
	if state.RetriesLeft <= 0 {
		return state.giveUp()
	}
	stepTime = state.Now + p.delay(state)
	if stepTime >= state.Deadline {
		return state.giveUp()
	}
	return RetryAt, stepTime
}

// retryMayStartTaskTwice reports whether a retry could start the task a second time.
func (s *State) retryMayStartTaskTwice() bool { return s.MayHaveRun || s.OutcomeUnknown }

// awaitOutcomeOrFail returns AwaitOutcome if the client can still learn the unknown outcome of an attempt
// before State.Deadline, and Fail otherwise.
func (s *State) awaitOutcomeOrFail() (Decision, placer.Seconds) {
	if !s.MayHaveRun && s.Now < s.Deadline {
		return AwaitOutcome, s.Deadline
	}
	return Fail, s.Now
}

// giveUp returns Reject if the task certainly did not run, and Fail otherwise.
func (s *State) giveUp() (Decision, placer.Seconds) {
	safeToRequestAgain := s.Cause == Rejected || s.Cause == Shed
	if safeToRequestAgain && !s.retryMayStartTaskTwice() {
		return Reject, s.Now
	}
	return Fail, s.Now
}

// delay returns how long the client waits before it requests placement of the task again. The result includes
// jitter.
func (p *Policy) delay(state State) placer.Seconds {
	factor := placer.Seconds(minJitterFactor + jitterFactorRange*state.Jitter)
	switch state.Cause {
	case Migrated, Lost:
		return p.ShortDelay * factor
	case Shed:
		// The delay does not grow with the number of attempts, because a shed request led to no attempt. It
		// depends on State.RetryAfter, which the scheduler derives from the length of its queue.
		return max(p.Delay, minDelay, state.RetryAfter) * placer.Seconds(1+maxShedJitter*state.Jitter)
	}
	return max(p.meanDelay(state.Attempts)*factor, minDelay, state.RetryAfter)
}

// meanDelay returns the delay without jitter after the given number of attempts to start the task.
func (p *Policy) meanDelay(attempts int) placer.Seconds {
	delay := max(p.Delay, minDelay)
	for range attempts - 1 {
		delay *= placer.Seconds(max(p.Multiplier, 1))
		if delay >= p.MaxDelay {
			return max(p.MaxDelay, minDelay)
		}
	}
	return delay
}

// MaxWait returns the longest time between the first request of a client for a task and the final answer. It
// assumes that the client makes at most maxRetries retries, and that the scheduler answers the first request
// and each retry within requestTimeout.
func (p *Policy) MaxWait(requestTimeout placer.Seconds, maxRetries int) placer.Seconds {
	total := requestTimeout
	for i := range maxRetries {
		longestDelay := p.delay(State{Attempts: i + 1, Jitter: 1, Cause: Rejected})
		if longestDelay >= p.MaxDelay {
			// The delay has reached MaxDelay and no longer grows, so all remaining retries take equally long.
			return total + placer.Seconds(maxRetries-i)*((minJitterFactor+jitterFactorRange)*p.MaxDelay+requestTimeout)
		}
		total += longestDelay + requestTimeout
	}
	return total
}
