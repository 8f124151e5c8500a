package retry

import "heathshed/placer"

const (
	minDelay placer.Seconds = 1 // minDelay is the shortest delay, except after a migration or the loss of a node.

	// A delay is multiplied by a random factor from minJitterFactor to minJitterFactor+jitterFactorRange, so
	// that clients do not retry in synchronized waves.
	minJitterFactor   = 0.7
	jitterFactorRange = 0.6

	// maxShedJitter is the largest fraction by which jitter lengthens the delay after a shed request. Jitter
	// never shortens this delay, because the scheduler advised the client to wait at least that long.
	maxShedJitter = 0.5
)

// Policy holds the retry delays of a client.
type Policy struct {
	Delay                 placer.Seconds // Delay is the mean delay after a rejection, failure or eviction; it is at least minDelay.
	ShortDelay            placer.Seconds // ShortDelay is the mean delay after a migration or the loss of a node.
	Multiplier            float64        // Multiplier is the growth factor of the mean delay for each further attempt.
	MaxDelay              placer.Seconds // MaxDelay is the upper bound of the mean delay.
	UnknownOutcomeTimeout placer.Seconds // UnknownOutcomeTimeout is how long a client waits for an outcome before it asks the node to drop the task.
}

// DefaultPolicy returns the policy with the documented default delays.
func DefaultPolicy() Policy {
	return Policy{Delay: 1.5, ShortDelay: 0.2, Multiplier: 1.5, MaxDelay: 20, UnknownOutcomeTimeout: 3}
}

// Cause is the reason why a task does not run.
type Cause uint8

// The constants of type Cause are the reasons that a Policy distinguishes.
const (
	Rejected Cause = iota // The scheduler rejected the request, so a new request is safe.
	Failed                // The request failed, and the scheduler does not say whether the task ran.
	Evicted               // The task was evicted from its node.
	Migrated              // The task is being moved to another node.
	Lost                  // The node of the task was lost.
	Shed                  // The scheduler shed the request before any attempt and advised State.RetryAfter.
)

// State is what a client knows about a task that is not running and has no attempt in flight. All times are
// readings of the client's clock.
type State struct {
	Idempotency    placer.Idempotency
	Cause          Cause
	Now            placer.Seconds
	Deadline       placer.Seconds // Deadline is the time at which the client stops waiting for the task to be placed.
	Attempts       int            // Attempts is the number of attempts made so far.
	RetriesLeft    int
	OutcomeUnknown bool           // OutcomeUnknown means that a node may have accepted an attempt and has not answered yet.
	MayHaveRun     bool           // MayHaveRun means that an attempt may have run and its outcome can no longer be learned.
	RetryAfter     placer.Seconds // RetryAfter is the delay, counted from Now, that the scheduler advised.
	Jitter         float64        // Jitter is a random number from 0 to 1 that the caller draws.
}

// Decision is the next step of a client for one task.
type Decision uint8

// The constants of type Decision are the steps that Policy.Next returns.
const (
	RetryAt      Decision = iota // The client requests placement again at the returned time.
	AwaitOutcome                 // The client waits until the outcome is known, at most until the returned time.
	Reject                       // The task is given up and certainly did not run, so a new request is safe.
	Fail                         // The task is given up and may have run.
)

// Next returns the next step of the client and the time of that step. It never retries a task that is not
// idempotent while an earlier attempt may have run.
func (p *Policy) Next(state State) (decision Decision, at placer.Seconds) {
	if state.Idempotency != placer.Idempotent && state.retryMayDuplicate() {
		return state.awaitOutcomeOrFail()
	}
	if state.RetriesLeft <= 0 {
		return state.giveUp()
	}
	at = state.Now + p.delay(state)
	if at >= state.Deadline {
		return state.giveUp()
	}
	return RetryAt, at
}

// retryMayDuplicate reports whether a retry could start the task a second time.
func (s *State) retryMayDuplicate() bool { return s.MayHaveRun || s.OutcomeUnknown }

// awaitOutcomeOrFail returns AwaitOutcome while the unknown outcome of an attempt may still be learned before
// the deadline, and Fail otherwise.
func (s *State) awaitOutcomeOrFail() (Decision, placer.Seconds) {
	if !s.MayHaveRun && s.Now < s.Deadline {
		return AwaitOutcome, s.Deadline
	}
	return Fail, s.Now
}

// giveUp ends the task. It returns Reject only if the task certainly did not run, and Fail otherwise.
func (s *State) giveUp() (Decision, placer.Seconds) {
	safeToRequestAgain := s.Cause == Rejected || s.Cause == Shed
	if safeToRequestAgain && !s.retryMayDuplicate() {
		return Reject, s.Now
	}
	return Fail, s.Now
}

// delay returns how long the client waits before its next request.
func (p *Policy) delay(state State) placer.Seconds {
	factor := placer.Seconds(minJitterFactor + jitterFactorRange*state.Jitter)
	switch state.Cause {
	case Migrated, Lost:
		return p.ShortDelay * factor
	case Shed:
		// A shed request made no attempt, so its delay does not grow with the number of attempts. The
		// scheduler derives State.RetryAfter from the length of its queue.
		return max(p.Delay, minDelay, state.RetryAfter) * placer.Seconds(1+maxShedJitter*state.Jitter)
	}
	return max(p.meanDelay(state.Attempts)*factor, minDelay, state.RetryAfter)
}

// meanDelay returns the delay, before jitter, after the given number of attempts.
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

// MaxWait returns the longest time that a client waits for the outcome of a task with the given number of
// retries, if each request takes up to deadline.
func (p *Policy) MaxWait(deadline placer.Seconds, retries int) placer.Seconds {
	total := deadline
	for i := range retries {
		longestDelay := p.delay(State{Attempts: i + 1, Jitter: 1, Cause: Rejected})
		if longestDelay >= p.MaxDelay {
			// The delay has reached MaxDelay, so all remaining retries take equally long.
			return total + placer.Seconds(retries-i)*((minJitterFactor+jitterFactorRange)*p.MaxDelay+deadline)
		}
		total += longestDelay + deadline
	}
	return total
}
