package owner

import (
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

func TestNext(t *testing.T) {
	p := DefaultPolicy()
	base := Standing{Now: 100, GiveUp: 200, Asked: 1, Budget: 2, Jitter: 0.5}
	for _, c := range []struct {
		name   string
		change func(*Standing)
		want   Verdict
	}{
		{"refused", func(s *Standing) {}, Ask},
		{"refused, nothing left", func(s *Standing) { s.Budget = 0 }, Refuse},
		{"failed, nothing left", func(s *Standing) { s.Budget, s.Cause = 0, WasFailed }, Fail},
		{"refused, too late to ask again", func(s *Standing) { s.GiveUp = 101 }, Refuse},
		{"once, in doubt", func(s *Standing) { s.Effect, s.InDoubt = placer.Once, true }, Wait},
		{"once, in doubt at the end", func(s *Standing) { s.Effect, s.InDoubt, s.Now = placer.Once, true, 200 }, Fail},
		{"once, may have run", func(s *Standing) { s.Effect, s.MayRan = placer.Once, true }, Fail},
		{"keyed, in doubt", func(s *Standing) { s.Effect, s.InDoubt = placer.Keyed, true }, Wait},
		{"repeatable, in doubt", func(s *Standing) { s.InDoubt = true }, Ask},
		{"repeatable, in doubt, nothing left", func(s *Standing) { s.InDoubt, s.Budget = true, 0 }, Fail},
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
		p := Policy{Again: rapid.Float64Range(0, 5).Draw(t, "again"), Soon: rapid.Float64Range(0, 2).Draw(t, "soon"),
			Growth: rapid.Float64Range(0, 3).Draw(t, "growth"), Most: rapid.Float64Range(0, 30).Draw(t, "most"), Settle: 3}
		s := Standing{Effect: placer.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Cause: Cause(rapid.IntRange(0, 4).Draw(t, "cause")), Now: 100,
			GiveUp: 100 + rapid.Float64Range(-1, 50).Draw(t, "left"), Asked: rapid.IntRange(1, 30).Draw(t, "asked"),
			Budget: rapid.IntRange(-1, 5).Draw(t, "budget"), InDoubt: rapid.Bool().Draw(t, "doubt"), MayRan: rapid.Bool().Draw(t, "ran"),
			Jitter: rapid.Float64Range(0, 1).Draw(t, "jitter")}
		v, at := p.Next(s)
		if v == Ask {
			if s.Effect != placer.Repeatable && (s.InDoubt || s.MayRan) {
				t.Fatal("asked again though an attempt may have run")
			}
			if s.Budget <= 0 || at >= s.GiveUp || at < s.Now {
				t.Fatalf("asked again at %v with budget %d, owner gives up at %v", at, s.Budget, s.GiveUp)
			}
			if s.Cause < WasMoved && at < s.Now+1 {
				t.Fatalf("asked again after %v s", at-s.Now)
			}
		}
		if v == Refuse && (s.InDoubt || s.MayRan) {
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
			_, next := p.Next(Standing{Cause: WasRefused, Now: at, GiveUp: 1e9, Asked: i + 1, Budget: 1, Jitter: 1})
			at = next + 8
		}
		if most := p.Patience(8, budget); at > most+1e-6 {
			t.Errorf("budget %d: the last ask ends at %v, patience is %v", budget, at, most)
		}
	}
}
