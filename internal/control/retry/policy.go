package retry

import "heathshed/placer"

const (
	minDelay placer.Seconds = 1 // the least delay after an attempt that reached a node

	// A delay is spread by jitter around its mean, so that clients do not come back as a wave.
	minSpread    = 0.7
	jitterSpread = 0.6

	// shedSpread is by how much jitter lengthens the delay of a request that was shed. It is never shortened: the scheduler said when.
	shedSpread = 0.5
)

// Policy holds the delays of a client.
type Policy struct {
	Delay                 placer.Seconds // mean delay after a rejection, a failure or an eviction; never under one second
	ShortDelay            placer.Seconds // mean delay after a migration or the loss of a node
	Multiplier            float64        // each further attempt multiplies the delay by this
	MaxDelay              placer.Seconds // up to this
	UnknownOutcomeTimeout placer.Seconds // how long to wait for the outcome of an attempt before the node is asked to drop the task
}

// DefaultPolicy returns the documented defaults.
func DefaultPolicy() Policy {
	return Policy{Delay: 1.5, ShortDelay: 0.2, Multiplier: 1.5, MaxDelay: 20, UnknownOutcomeTimeout: 3}
}

// Cause is why a task has to be decided about.
type Cause uint8

// The causes.
const (
	Rejected Cause = iota // the scheduler rejected the request: another one does no harm
	Failed                // the request failed, and the scheduler does not say whether the task ran
	Evicted               // the task was evicted from its node
	Migrated              // the task is moved to another node
	Lost                  // the node of the task was lost
	Shed                  // the scheduler shed the request before any node was asked; State.RetryAfter is its advice
)

// State is what a client knows of a task that does not run and has no attempt in flight. Times are on the clock of the client.
type State struct {
	Idempotency    placer.Idempotency
	Cause          Cause
	Now            placer.Seconds
	Deadline       placer.Seconds // when the client stops waiting for the task to be placed
	Attempts       int            // how often nodes were asked so far
	RetriesLeft    int
	OutcomeUnknown bool           // an attempt may have been accepted, and its node has not answered
	MayHaveRun     bool           // an attempt may have run, and its outcome can no longer be learned
	RetryAfter     placer.Seconds // the scheduler's advice how long to wait, from Now
	Jitter         float64        // a random number from 0 to 1
}

// Decision is what a client does next.
type Decision uint8

// The decisions.
const (
	RetryAt      Decision = iota // request placement again at the returned time
	AwaitOutcome                 // wait until the outcome is known, at most until the returned time
	Reject                       // final: the task did not run, and a new request does no harm
	Fail                         // final: the task may have run
)

// Next returns what to do, and when. A task that is not idempotent is never retried while an attempt may have run.
func (p *Policy) Next(state State) (decision Decision, at placer.Seconds) {
	if state.Idempotency != placer.Idempotent && state.mayRunTwice() {
		return state.resolveOutcome()
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

// mayRunTwice says whether a retry might start the task a second time.
func (s *State) mayRunTwice() bool { return s.MayHaveRun || s.OutcomeUnknown }

// resolveOutcome waits for an unknown outcome while it may still be learned, and fails the task otherwise.
func (s *State) resolveOutcome() (Decision, placer.Seconds) {
	if !s.MayHaveRun && s.Now < s.Deadline {
		return AwaitOutcome, s.Deadline
	}
	return Fail, s.Now
}

// giveUp ends the task: as rejected only if it is certain that it did not run.
func (s *State) giveUp() (Decision, placer.Seconds) {
	harmless := s.Cause == Rejected || s.Cause == Shed
	if harmless && !s.mayRunTwice() {
		return Reject, s.Now
	}
	return Fail, s.Now
}

// delay is how long to wait before the next request.
func (p *Policy) delay(state State) placer.Seconds {
	factor := placer.Seconds(minSpread + jitterSpread*state.Jitter)
	switch state.Cause {
	case Migrated, Lost:
		return p.ShortDelay * factor
	case Shed:
		// No node was asked, so the delay does not grow with the attempts: it is as long as the queue.
		return max(p.Delay, minDelay, state.RetryAfter) * placer.Seconds(1+shedSpread*state.Jitter)
	}
	return max(p.grownDelay(state.Attempts)*factor, minDelay, state.RetryAfter)
}

// grownDelay is the mean delay after a number of attempts.
func (p *Policy) grownDelay(attempts int) placer.Seconds {
	delay := max(p.Delay, minDelay)
	for range attempts - 1 {
		delay *= placer.Seconds(max(p.Multiplier, 1))
		if delay >= p.MaxDelay {
			return max(p.MaxDelay, minDelay)
		}
	}
	return delay
}

// MaxWait is how long a client waits at most for the outcome of a task that is retried a number of times, when each request takes up to
// deadline.
func (p *Policy) MaxWait(deadline placer.Seconds, retries int) placer.Seconds {
	total := deadline
	for i := range retries {
		longest := p.delay(State{Attempts: i + 1, Jitter: 1, Cause: Rejected})
		if longest >= p.MaxDelay {
			// The delay does not grow further: the rest is a product.
			return total + placer.Seconds(retries-i)*((minSpread+jitterSpread)*p.MaxDelay+deadline)
		}
		total += longest + deadline
	}
	return total
}
