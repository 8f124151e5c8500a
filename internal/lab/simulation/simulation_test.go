package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/config"
	"heathshed/internal/kube/store"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/testsupport/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "60") }

// newScript returns a script without faults.
func newScript(nodes, schedulers int, seconds, cooldown float64) scenario.Script {
	script := scenario.Default()
	script.Nodes, script.Schedulers = nodes, schedulers
	script.Seconds, script.Cooldown = seconds, cooldown
	script.Faults = nil
	return script
}

// runScenario runs a script in a world that configure, if set, has changed.
func runScenario(t interface{ Fatal(...any) }, script scenario.Script, configure func(*Config)) *World {
	settings := config.Default()
	cfg := FromSettings(&settings, &script)
	cfg.KeepEvents = true
	if configure != nil {
		configure(&cfg)
	}
	world, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	world.Run(script.Plan(cfg.ScenarioNodes()), placer.Seconds(script.Seconds))
	return world
}

// TestRulesHoldInRandomScenarios checks that with any kinds of faults, alone and overlapping, on lossy links,
// the five rules hold, revisions only grow, and every submitted task has one outcome.
func TestRulesHoldInRandomScenarios(t *testing.T) {
	kinds := slices.Sorted(maps.Keys(scenario.FaultKinds))
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
		nodes := rapid.IntRange(4, 14).Draw(t, "nodes")
		script := newScript(nodes, rapid.IntRange(1, 4).Draw(t, "schedulers"), 100, 65)
		script.Seed = seed
		script.Load.TasksPerSecond = rapid.Float64Range(2, 25).Draw(t, "load")
		script.Load.Services = 12
		for i := range rapid.IntRange(1, 5).Draw(t, "faults") {
			script.Faults = append(script.Faults, scenario.Fault{
				Kind:     rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind", i)),
				At:       rapid.Float64Range(0, 25).Draw(t, fmt.Sprint("at", i)),
				Duration: rapid.Float64Range(0.5, 15).Draw(t, fmt.Sprint("duration", i)),
				Fraction: rapid.Float64Range(0.1, 1).Draw(t, fmt.Sprint("fraction", i)),
				Scale:    rapid.Float64Range(0.5, 3).Draw(t, fmt.Sprint("scale", i)),
			})
		}
		last := map[int]int64{}
		world := runScenario(t, script, func(cfg *Config) {
			cfg.Links.AttemptLossRate = rapid.Float64Range(0, 0.05).Draw(t, "attemptLossRate")
			cfg.Links.AnswerLossRate = rapid.Float64Range(0, 0.05).Draw(t, "answerLossRate")
			cfg.AfterEngineCall = func(world *World, i int) {
				rev := world.Engine(i).Store().Revision()
				if rev < last[i] {
					panic(fmt.Sprintf("revision went back from %d to %d", last[i], rev))
				}
				last[i] = rev
			}
		})
		report := world.Audit()
		if len(report.Violations) > 0 {
			t.Fatalf("%d violations in %d tasks, first: %v", len(report.Violations), report.Tasks, report.Violations[:min(len(report.Violations), 5)])
		}
	})
}

// TestSameSeedSameEvents checks that the same script gives the same events.
func TestSameSeedSameEvents(t *testing.T) {
	script := scenario.Default()
	script.Seconds = 60
	script.Cooldown = 30
	for i := range script.Faults {
		script.Faults[i].At = float64(i)
	}
	first, second := runScenario(t, script, nil), runScenario(t, script, nil)
	if len(first.Events) == 0 || !slices.Equal(first.Events, second.Events) {
		t.Fatalf("%d and %d events, or not the same ones", len(first.Events), len(second.Events))
	}
}

// TestListAndWatchEqualState checks that a list and the changes after it give the state, at any point of a run.
func TestListAndWatchEqualState(t *testing.T) {
	script := newScript(24, 1, 60, 20)
	script.Faults = []scenario.Fault{
		{Kind: "crash", At: 5, Duration: 5, Fraction: 0.4},
		{Kind: "flush", At: 15, Duration: 3, Fraction: 0.5},
	}
	var snapshot store.Snapshot
	calls := 0
	world := runScenario(t, script, func(config *Config) {
		config.AfterEngineCall = func(world *World, _ int) {
			if calls++; calls == 2000 {
				snapshot = world.Engine(0).Store().Snapshot(store.Pods)
			}
		}
	})
	podStore := world.Engine(0).Store()
	got := map[string]store.Object{}
	snapshot.Scan("", "", func(key string, change *store.Change) bool { got[key] = change.Object; return true })
	for rev := snapshot.Revision; ; {
		changes, err := podStore.ChangesSince(store.Pods, rev, 100)
		if err != nil {
			t.Fatal(err)
		}
		if len(changes) == 0 {
			break
		}
		for _, change := range changes {
			rev = change.Revision
			key := store.Key(change.Object.GetNamespace(), change.Object.GetName())
			switch _, had := got[key]; {
			case change.Op == store.Deleted && !had, change.Op == store.Added && had, change.Op == store.Modified && !had:
				t.Fatalf("revision %d: %v of %s, had %v", change.Revision, change.Op, key, had)
			case change.Op == store.Deleted:
				delete(got, key)
			default:
				got[key] = change.Object
			}
		}
	}
	objects := 0
	podStore.Snapshot(store.Pods).Scan("", "", func(key string, change *store.Change) bool {
		if objects++; got[key] != change.Object {
			t.Fatalf("%s differs", key)
		}
		return true
	})
	if objects != len(got) || objects == 0 {
		t.Fatalf("%d objects by list and watch, %d are there", len(got), objects)
	}
}
