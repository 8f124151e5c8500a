// Package owner decides what an owner of a task does between asks: when it asks again after a refusal, a failure or a loss,
// when it must wait because an attempt may have run, and what it says at the end.
//
// It is pure: time and randomness are passed in. Placing itself is decided by placer.
package retry

import "heathshed/placer"

// Policy holds the waits, in seconds.
type Policy struct {
	Delay                 float64 // mean wait after a refusal, a failure or an eviction; never under one second
	ShortDelay            float64 // mean wait after a move or the loss of a machine
	Multiplier            float64 // each further failure multiplies the wait by this
	MaxDelay              float64 // and it stops growing here
	UnknownOutcomeTimeout float64 // how long to look for a task that may have been accepted before asking its machine to drop it
}

// DefaultPolicy has the waits of the docs.
func DefaultPolicy() Policy {
	return Policy{Delay: 1.5, ShortDelay: 0.2, Multiplier: 1.5, MaxDelay: 20, UnknownOutcomeTimeout: 3}
}

// Cause says why the owner is asked what to do.
type Cause uint8

// The causes.
const (
	Rejected Cause = iota // the scheduler refused: a new try does no harm
	Failed                // the scheduler gives no word on its effect
	Evicted
	Migrated
	Lost
	Shed // the scheduler itself had no room to ask a machine; it says when to come again
)

// State is what is known of a task when it has no attempt out and does not run.
type State struct {
	Idempotency    placer.Idempotency
	Cause          Cause
	Now            float64
	Deadline       float64 // when the owner stops waiting for the task to be placed
	Attempts       int     // times that machines were asked so far
	RetriesLeft    int     // times it may be asked again
	OutcomeUnknown bool    // an attempt may have been accepted, and its machine has not said
	MayHaveRun     bool    // an attempt may have run, and that can no longer be known
	RetryAfter     float64 // the scheduler's advice not to come before, from now
	Jitter         float64 // a random number from 0 to 1
}

// Decision is what to do.
type Decision uint8

// The verdicts. Ask has At; Wait lasts until the doubt is resolved or At; the others are final.
const (
	RetryAt Decision = iota
	AwaitOutcome
	Reject
	Fail
)

// Next decides. A task that must not run twice is never asked again while an attempt may have run.
func (p *Policy) Next(state State) (decision Decision, at float64) {
	if state.Idempotency != placer.Idempotent {
		switch {
		case state.MayHaveRun:
			return Fail, state.Now
		case state.OutcomeUnknown && state.Now < state.Deadline:
			return AwaitOutcome, state.Deadline
		case state.OutcomeUnknown:
			return Fail, state.Now
		}
	}
	final := Reject
	if state.Cause != Rejected && state.Cause != Shed || state.OutcomeUnknown || state.MayHaveRun {
		final = Fail
	}
	if state.RetriesLeft <= 0 {
		return final, state.Now
	}
	at = state.Now + p.delay(state)
	if at >= state.Deadline {
		return final, state.Now
	}
	return RetryAt, at
}

func (p *Policy) delay(state State) float64 {
	spread := 0.7 + 0.6*state.Jitter
	if state.Cause == Migrated || state.Cause == Lost {
		return p.ShortDelay * spread
	}
	delay := max(p.Delay, 1)
	if state.Cause == Shed {
		// No machine was troubled, so waits do not grow by it; they are as long as the line, and spread upwards.
		return max(delay, state.RetryAfter) * (1 + 0.5*state.Jitter)
	}
	for range state.Attempts - 1 {
		if delay *= max(p.Multiplier, 1); delay >= p.MaxDelay {
			delay = max(p.MaxDelay, 1)
			break
		}
	}
	return max(delay*spread, 1, state.RetryAfter)
}

// MaxWait is how long an owner waits at most for the outcome of a task that is asked for again so many times, each ask
// taking up to deadline seconds.
func (p *Policy) MaxWait(deadline float64, retries int) float64 {
	total := deadline
	for i := range retries {
		state := State{Attempts: i + 1, Jitter: 1, Cause: Rejected}
		delay := p.delay(state)
		if delay >= p.MaxDelay {
			return total + float64(retries-i)*(1.3*p.MaxDelay+deadline)
		}
		total += delay + deadline
	}
	return total
}
