package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/config"
	"heathshed/internal/proptest"
	"heathshed/internal/scenario"
	"heathshed/internal/store"
)

func TestMain(m *testing.M) { proptest.Main(m, "60") }

func play(t interface{ Fatal(...any) }, d scenario.Script, change func(*Config)) *World {
	s := config.Default()
	c := FromSettings(&s, &d)
	c.KeepEvents = true
	if change != nil {
		change(&c)
	}
	w, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(d.Plan(c.NodesOf()), d.Seconds)
	return w
}

// Any kinds of trouble, alone and overlapping, on lossy links: the five rules hold, revisions only grow, and every task that was
// asked has its one outcome.
func TestRulesHoldOnRandomDays(t *testing.T) {
	kinds := slices.Sorted(maps.Keys(scenario.Kinds))
	rapid.Check(t, func(t *rapid.T) {
		d := scenario.Default()
		d.Seed = rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
		d.Seconds, d.Calm = 100, 65
		d.Nodes = rapid.IntRange(4, 14).Draw(t, "nodes")
		d.Schedulers = rapid.IntRange(1, 4).Draw(t, "schedulers")
		d.Load.TasksPerSecond = rapid.Float64Range(2, 25).Draw(t, "load")
		d.Load.Services = 12
		d.Trouble = nil
		for i := range rapid.IntRange(1, 5).Draw(t, "troubles") {
			d.Trouble = append(d.Trouble, scenario.Trouble{Kind: rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind", i)),
				At: rapid.Float64Range(0, 25).Draw(t, fmt.Sprint("at", i)), For: rapid.Float64Range(0.5, 15).Draw(t, fmt.Sprint("for", i)),
				Part: rapid.Float64Range(0.1, 1).Draw(t, fmt.Sprint("part", i)), Scale: rapid.Float64Range(0.5, 3).Draw(t, fmt.Sprint("scale", i))})
		}
		last := map[int]int64{}
		w := play(t, d, func(c *Config) {
			c.LoseOffer = rapid.Float64Range(0, 0.05).Draw(t, "loseOffer")
			c.LoseAnswer = rapid.Float64Range(0, 0.05).Draw(t, "loseAnswer")
			c.Each = func(w *World, i int) {
				if rev := w.Engine(i).Store().Rev(); rev < last[i] {
					panic(fmt.Sprintf("revision went back from %d to %d", last[i], rev))
				} else {
					last[i] = rev
				}
			}
		})
		r := w.Audit()
		if len(r.Violations) > 0 {
			t.Fatalf("%d violations in %d tasks, first: %v", len(r.Violations), r.Tasks, r.Violations[:min(len(r.Violations), 5)])
		}
	})
}

// The same day gives the same events, byte for byte.
func TestSameSeedSameEvents(t *testing.T) {
	d := scenario.Default()
	d.Seconds, d.Calm = 60, 30
	for i := range d.Trouble {
		d.Trouble[i].At = float64(i)
	}
	a, b := play(t, d, nil), play(t, d, nil)
	if len(a.Events) == 0 || !slices.Equal(a.Events, b.Events) {
		t.Fatalf("%d and %d events, or not the same ones", len(a.Events), len(b.Events))
	}
}

// A list and the changes after it give the state, at any point of a day.
func TestListAndWatchEqualState(t *testing.T) {
	d := scenario.Default()
	d.Seconds, d.Calm, d.Schedulers = 60, 20, 1
	d.Trouble = []scenario.Trouble{{Kind: "crash", At: 5, For: 5, Part: 0.4}, {Kind: "flush", At: 15, For: 3, Part: 0.5}}
	var from store.Snapshot
	calls := 0
	w := play(t, d, func(c *Config) {
		c.Each = func(w *World, i int) {
			if calls++; calls == 2000 {
				from = w.Engine(0).Store().Snapshot(store.Pods)
			}
		}
	})
	st := w.Engine(0).Store()
	got := map[string]store.Object{}
	from.Scan("", "", func(k string, c *store.Change) bool { got[k] = c.Object; return true })
	for rev := from.Rev; ; {
		changes, err := st.Since(store.Pods, rev, 100)
		if err != nil {
			t.Fatal(err)
		}
		if len(changes) == 0 {
			break
		}
		for _, c := range changes {
			rev = c.Rev
			k := store.Key(c.Object.GetNamespace(), c.Object.GetName())
			switch _, had := got[k]; {
			case c.Op == store.Deleted && !had, c.Op == store.Added && had, c.Op == store.Modified && !had:
				t.Fatalf("revision %d: %v of %s, had %v", c.Rev, c.Op, k, had)
			case c.Op == store.Deleted:
				delete(got, k)
			default:
				got[k] = c.Object
			}
		}
	}
	n := 0
	st.Snapshot(store.Pods).Scan("", "", func(k string, c *store.Change) bool {
		if n++; got[k] != c.Object {
			t.Fatalf("%s differs", k)
		}
		return true
	})
	if n != len(got) || n == 0 {
		t.Fatalf("%d objects by list and watch, %d are there", len(got), n)
	}
}
