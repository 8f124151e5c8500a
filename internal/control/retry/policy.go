package retry

import "heathshed/placer"

const (
	minDelay placer.Seconds = 1 // the shortest delay after an attempt that reached a node

	// Jitter multiplies a delay by minSpread to minSpread+jitterSpread, so that clients do not retry in synchronized waves.
	minJitterFactor   = 0.7
	jitterFactorRange = 0.6

	// shedSpread is by how much jitter lengthens the delay of a request that was shed. Jitter never shortens it: the scheduler advised it.
	maxShedJitter = 0.5
)

// Policy holds the delays of a client.
type Policy struct {
	Delay                 placer.Seconds // mean delay after a rejection, a failure or an eviction; never under one second
	ShortDelay            placer.Seconds // mean delay after a migration or the loss of a node
	Multiplier            float64        // the delay is multiplied by this for each further attempt
	MaxDelay              placer.Seconds // upper bound of the mean delay
	UnknownOutcomeTimeout placer.Seconds // how long to wait for the outcome of an attempt before the node is requested to drop the task
}

// DefaultPolicy returns the documented defaults.
func DefaultPolicy() Policy {
	return Policy{Delay: 1.5, ShortDelay: 0.2, Multiplier: 1.5, MaxDelay: 20, UnknownOutcomeTimeout: 3}
}

// Cause is why a task does not run.
type Cause uint8

// The causes.
const (
	Rejected Cause = iota // the scheduler rejected the request: another one is safe
	Failed                // the request failed, and the scheduler does not say whether the task ran
	Evicted               // the task was evicted from its node
	Migrated              // the task is moved to another node
	Lost                  // the node of the task was lost
	Shed                  // the scheduler shed the request before any attempt; State.RetryAfter is its advice
)

// State is what a client knows about a task that is not running and has no attempt in flight. Times are on the clock of the client.
type State struct {
	Idempotency    placer.Idempotency
	Cause          Cause
	Now            placer.Seconds
	Deadline       placer.Seconds // when the client stops waiting for the task to be placed
	Attempts       int            // number of attempts so far
	RetriesLeft    int
	OutcomeUnknown bool           // an attempt may have been accepted, and its node has not answered
	MayHaveRun     bool           // an attempt may have run, and its outcome can no longer be learned
	RetryAfter     placer.Seconds // the delay from Now that the scheduler advised
	Jitter         float64        // a random number from 0 to 1
}

// Decision is what a client does next.
type Decision uint8

// The decisions.
const (
	RetryAt      Decision = iota // request placement again at the returned time
	AwaitOutcome                 // wait until the outcome is known, at most until the returned time
	Reject                       // final: the task did not run, and a new request is safe
	Fail                         // final: the task may have run
)

// Next returns what to do, and when. A task that is not idempotent is never retried while an attempt may have run.
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

// mayRunTwice reports whether a retry might start the task a second time.
func (s *State) retryMayDuplicate() bool { return s.MayHaveRun || s.OutcomeUnknown }

// resolveOutcome waits for an unknown outcome while it may still be learned, and fails the task otherwise.
func (s *State) awaitOutcomeOrFail() (Decision, placer.Seconds) {
	if !s.MayHaveRun && s.Now < s.Deadline {
		return AwaitOutcome, s.Deadline
	}
	return Fail, s.Now
}

// giveUp ends the task: as rejected only if it is certain that it did not run.
func (s *State) giveUp() (Decision, placer.Seconds) {
	safeToRequestAgain := s.Cause == Rejected || s.Cause == Shed
	if safeToRequestAgain && !s.retryMayDuplicate() {
		return Reject, s.Now
	}
	return Fail, s.Now
}

// delay is how long to wait before the next request.
func (p *Policy) delay(state State) placer.Seconds {
	factor := placer.Seconds(minJitterFactor + jitterFactorRange*state.Jitter)
	switch state.Cause {
	case Migrated, Lost:
		return p.ShortDelay * factor
	case Shed:
		// No attempt was made, so the delay does not grow with the attempts: it follows from the length of the queue.
		return max(p.Delay, minDelay, state.RetryAfter) * placer.Seconds(1+maxShedJitter*state.Jitter)
	}
	return max(p.meanDelay(state.Attempts)*factor, minDelay, state.RetryAfter)
}

// grownDelay is the mean delay after a number of attempts.
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

// MaxWait returns the longest time that a client waits for the outcome of a task with the given number of retries, if each request takes up to
// deadline.
func (p *Policy) MaxWait(deadline placer.Seconds, retries int) placer.Seconds {
	total := deadline
	for i := range retries {
		longestDelay := p.delay(State{Attempts: i + 1, Jitter: 1, Cause: Rejected})
		if longestDelay >= p.MaxDelay {
			// The delay does not grow any more, so the remaining terms are equal.
			return total + placer.Seconds(retries-i)*((minJitterFactor+jitterFactorRange)*p.MaxDelay+deadline)
		}
		total += longestDelay + deadline
	}
	return total
}
