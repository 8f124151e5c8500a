// Package owner decides what an owner of a task does between asks: when it asks again after a refusal, a failure or a loss,
// when it must wait because an attempt may have run, and what it says at the end.
//
// It is pure: time and randomness are passed in. Placing itself is decided by placer.
package owner

import "heathshed/placer"

// Policy holds the waits, in seconds.
type Policy struct {
	Again  float64 // mean wait after a refusal, a failure or an eviction; never under one second
	Soon   float64 // mean wait after a move or the loss of a machine
	Growth float64 // each further failure multiplies the wait by this
	Most   float64 // and it stops growing here
	Settle float64 // how long to look for a task that may have been accepted before asking its machine to drop it
}

// DefaultPolicy has the waits of the docs.
func DefaultPolicy() Policy { return Policy{Again: 1.5, Soon: 0.2, Growth: 1.5, Most: 20, Settle: 3} }

// Cause says why the owner is asked what to do.
type Cause uint8

// The causes.
const (
	WasRefused Cause = iota // the scheduler refused: a new try does no harm
	WasFailed               // the scheduler gives no word on its effect
	WasEvicted
	WasMoved
	WasLost
	WasShed // the scheduler itself had no room to ask a machine; it says when to come again
)

// Standing is what is known of a task when it has no attempt out and does not run.
type Standing struct {
	Effect  placer.Effect
	Cause   Cause
	Now     float64
	GiveUp  float64 // when the owner stops waiting for the task to be placed
	Asked   int     // times that machines were asked so far
	Budget  int     // times it may be asked again
	InDoubt bool    // an attempt may have been accepted, and its machine has not said
	MayRan  bool    // an attempt may have run, and that can no longer be known
	Delay   float64 // the scheduler's advice not to come before, from now
	Jitter  float64 // a random number from 0 to 1
}

// Verdict is what to do.
type Verdict uint8

// The verdicts. Ask has At; Wait lasts until the doubt is resolved or At; the others are final.
const (
	Ask Verdict = iota
	Wait
	Refuse
	Fail
)

// Next decides. A task that must not run twice is never asked again while an attempt may have run.
func (p *Policy) Next(s Standing) (v Verdict, at float64) {
	if s.Effect != placer.Repeatable {
		switch {
		case s.MayRan:
			return Fail, s.Now
		case s.InDoubt && s.Now < s.GiveUp:
			return Wait, s.GiveUp
		case s.InDoubt:
			return Fail, s.Now
		}
	}
	end := Refuse
	if s.Cause != WasRefused && s.Cause != WasShed || s.InDoubt || s.MayRan {
		end = Fail
	}
	if s.Budget <= 0 {
		return end, s.Now
	}
	at = s.Now + p.wait(s)
	if at >= s.GiveUp {
		return end, s.Now
	}
	return Ask, at
}

func (p *Policy) wait(s Standing) float64 {
	spread := 0.7 + 0.6*s.Jitter
	if s.Cause == WasMoved || s.Cause == WasLost {
		return p.Soon * spread
	}
	w := max(p.Again, 1)
	if s.Cause == WasShed {
		// No machine was troubled, so waits do not grow by it; they are as long as the line, and spread upwards.
		return max(w, s.Delay) * (1 + 0.5*s.Jitter)
	}
	for range s.Asked - 1 {
		if w *= max(p.Growth, 1); w >= p.Most {
			w = max(p.Most, 1)
			break
		}
	}
	return max(w*spread, 1, s.Delay)
}

// Patience is how long an owner waits at most for the outcome of a task that is asked for again so many times, each ask
// taking up to deadline seconds.
func (p *Policy) Patience(deadline float64, budget int) float64 {
	total := deadline
	for i := range budget {
		s := Standing{Asked: i + 1, Jitter: 1, Cause: WasRefused}
		w := p.wait(s)
		if w >= p.Most {
			return total + float64(budget-i)*(1.3*p.Most+deadline)
		}
		total += w + deadline
	}
	return total
}
