package retry

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

func TestNext(t *testing.T) {
	p := DefaultPolicy()
	base := State{Now: 100, Deadline: 200, Attempts: 1, Budget: 2, Jitter: 0.5}
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Decision
	}{
		{"refused", func(s *State) {}, RetryAt},
		{"refused, nothing left", func(s *State) { s.Budget = 0 }, Reject},
		{"failed, nothing left", func(s *State) { s.Budget, s.Cause = 0, Failed }, Fail},
		{"refused, too late to ask again", func(s *State) { s.Deadline = 101 }, Reject},
		{"once, in doubt", func(s *State) { s.Idempotency, s.OutcomeUnknown = placer.NonIdempotent, true }, AwaitOutcome},
		{"once, in doubt at the end", func(s *State) { s.Idempotency, s.OutcomeUnknown, s.Now = placer.NonIdempotent, true, 200 }, Fail},
		{"once, may have run", func(s *State) { s.Idempotency, s.MayHaveRun = placer.NonIdempotent, true }, Fail},
		{"keyed, in doubt", func(s *State) { s.Idempotency, s.OutcomeUnknown = placer.IdempotentByKey, true }, AwaitOutcome},
		{"repeatable, in doubt", func(s *State) { s.OutcomeUnknown = true }, RetryAt},
		{"repeatable, in doubt, nothing left", func(s *State) { s.OutcomeUnknown, s.Budget = true, 0 }, Fail},
	} {
		s := base
		c.change(&s)
		if v, _ := p.Next(s); v != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, v, c.want)
		}
	}
}

// Whatever the standing: no wait under a second after a refusal, none past the end, and a task that must not run twice is never
// asked again while an attempt may have run.
func TestNextKeepsTheWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{Delay: rapid.Float64Range(0, 5).Draw(t, "again"), ShortDelay: rapid.Float64Range(0, 2).Draw(t, "soon"),
			Multiplier: rapid.Float64Range(0, 3).Draw(t, "growth"), MaxDelay: rapid.Float64Range(0, 30).Draw(t, "most"), UnknownOutcomeTimeout: 3}
		s := State{Idempotency: placer.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), Cause: Cause(rapid.IntRange(0, 4).Draw(t, "cause")), Now: 100,
			Deadline: 100 + rapid.Float64Range(-1, 50).Draw(t, "left"), Attempts: rapid.IntRange(1, 30).Draw(t, "asked"),
			Budget: rapid.IntRange(-1, 5).Draw(t, "budget"), OutcomeUnknown: rapid.Bool().Draw(t, "doubt"), MayHaveRun: rapid.Bool().Draw(t, "ran"),
			Jitter: rapid.Float64Range(0, 1).Draw(t, "jitter")}
		v, at := p.Next(s)
		if v == RetryAt {
			if s.Idempotency != placer.Idempotent && (s.OutcomeUnknown || s.MayHaveRun) {
				t.Fatal("asked again though an attempt may have run")
			}
			if s.Budget <= 0 || at >= s.Deadline || at < s.Now {
				t.Fatalf("asked again at %v with budget %d, owner gives up at %v", at, s.Budget, s.Deadline)
			}
			if s.Cause < Migrated && at < s.Now+1 {
				t.Fatalf("asked again after %v s", at-s.Now)
			}
		}
		if v == Reject && (s.OutcomeUnknown || s.MayHaveRun) {
			t.Fatal("said that a new try does no harm though an attempt may have run")
		}
	})
}

// Every ask that may be made ends before the owner's patience does.
func TestPatienceCoversAllAsks(t *testing.T) {
	p := DefaultPolicy()
	for budget := range 40 {
		at := 8.0
		for i := range budget {
			_, next := p.Next(State{Cause: Rejected, Now: at, Deadline: 1e9, Attempts: i + 1, Budget: 1, Jitter: 1})
			at = next + 8
		}
		if most := p.MaxWait(8, budget); at > most+1e-6 {
			t.Errorf("budget %d: the last ask ends at %v, patience is %v", budget, at, most)
		}
	}
}
