package config_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/testsupport/goldentest"
)

// The tests pin printed settings, what follows from them, and the texts of errors. Regenerate the golden files with
// HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.

// TestCharacterizeSettings pins the printed defaults, good files and the errors of bad ones. What is derived from the good files has a golden
// file of its own, which holds no names of settings.
func TestCharacterizeSettings(t *testing.T) {
	r := goldentest.NewRecorder()
	derived := goldentest.NewRecorder()
	s := config.Default()
	text, err := s.Text()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		r.Line("%s", line)
	}
	for i, file := range settingsFiles(string(text)) {
		parsed, err := config.Parse("f", []byte(file))
		r.Line("%.90q: %v", file, err)
		if err == nil {
			recordPrinted(t, r, &parsed)
			recordDerived(derived, i, &parsed)
		}
	}
	_, err = config.Load(filepath.Join(t.TempDir(), "missing"))
	r.Line("missing file: %v", err != nil)
	r.Check(t, "settings")
	derived.Check(t, "derived")
}

// TestFormerFilesDeriveTheSame pins what is derived from files with the names of settings of release 0.1: the same as from those of
// TestCharacterizeSettings, in which the same values are changed one after the other.
func TestFormerFilesDeriveTheSame(t *testing.T) {
	former, err := os.ReadFile("testdata/settings-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	derived := goldentest.NewRecorder()
	for i, file := range settingsFiles(strings.TrimSuffix(string(former), "\n")) {
		if parsed, err := config.Parse("f", []byte(file)); err == nil {
			recordDerived(derived, i, &parsed)
		}
	}
	derived.Check(t, "derived")
}

// settingsFiles are valid files, and the default with one field after the other replaced by values of the wrong kind or out of range.
func settingsFiles(text string) []string {
	out := []string{"", "{}", "// c\n{ /* d */ \"name\": \"a\", }", `{"naem": "a"}`, "{\n\"name\": \"a\",\n\"name\": \"b\"}", `{"name": }`, "[]", "3",
		`{"peers": 1.5}`, `{"peers": 2, "self": 2}`, `{"classes": []}`, `{"kinds": []}`, `{"defaultClass": "x"}`, `{"logLevel": "loud"}`,
		`{"tenants": [{"name": "a", "share": 0.6, "cores": 4}, {"name": "b", "share": 0.4}]}`, `{"tenants": [{"name": "a"}, {"name": "a"}]}`,
		`{"tenants": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}`, `{"tenants": [{"name": "a", "share": -1}]}`,
		`{"classes": [{"name": "a", "effect": "idempotent", "aim": 1}], "defaultClass": "a"}`, `{"classes": [{"name": "x", "effect": "maybe"}]}`,
		`{"classes": [{"name": "a", "effect": "deduplicated", "aim": 1, "deadline": 2, "worth": 1, "calmUpTo": 1, "fadesOver": 1}], "defaultClass": "a"}`,
		`{"classes": [{"name": "a", "effect": "idempotent", "aim": 1, "deadline": 2, "worth": 1, "calmUpTo": 1, "fadesOver": 1, "nodeKind": "x"}], "defaultClass": "a"}`,
		`{"classes": [{"name": "a", "effect": "idempotent", "aim": 1, "deadline": 2, "worth": 1, "calmUpTo": 1, "fadesOver": 1, "apartBy": "rack"}], "defaultClass": "a"}`,
		`{"kinds": [{"name": "k", "cores": 4, "memory": 8}, {"name": "k", "cores": 4, "memory": 8}]}`, `{"kinds": [{"name": "k", "cores": 0, "memory": 8}]}`,
		`{"kinds": [{"name": "k", "cores": 4, "memory": 8}], "standin": {"zones": 3, "racks": 4}, "self": 1, "peers": 3}`, `{"standin": 1}`,
		`{"gate": {"on": false}}`, `{"gate": {"on": 1}}`, `{"rules": null}`, text}
	for _, line := range strings.Split(text, "\n") {
		for _, value := range []string{"-1", "1e300", `"x"`, "true"} {
			if name, _, found := strings.Cut(line, ": "); found && !strings.HasSuffix(line, "{") && !strings.HasSuffix(line, "[") {
				changed := name + ": " + value
				if strings.HasSuffix(line, ",") {
					changed += ","
				}
				out = append(out, strings.Replace(text, line, changed, 1))
			}
		}
	}
	return out
}

// recordPrinted records the printed form of settings.
func recordPrinted(t *testing.T, r *goldentest.Recorder, s *config.Settings) {
	t.Helper()
	text, err := s.Text()
	if err != nil {
		t.Fatal(err)
	}
	r.Bytes(text)
	r.Checkpoint("  printed")
}

// recordDerived records what is derived from the settings of the file with an index, floats by their bits: emulated nodes, priorities,
// lifetimes and the engine's configuration.
func recordDerived(r *goldentest.Recorder, file int, s *config.Settings) {
	for i := range 9 {
		emulated := labconfig.NodeAt(s, i)
		node := emulated.Sim
		r.Texts(emulated.NodeType, emulated.Rack, emulated.Zone)
		r.Floats(node.Cores, node.Memory, node.Overcommit.Cores, node.Overcommit.Memory)
		r.Floats(float64(node.Decisions.DelayMin), float64(node.Decisions.DelayMax), float64(node.Starts.Duration), node.Starts.UncachedFactor)
		r.Floats(node.WarmUp.InitialPace, float64(node.WarmUp.Duration))
		r.Floats(node.Overload.Factor, float64(node.Overload.Window), node.Overload.MinRequests)
		r.Floats(float64(node.LifetimeMean), node.Usage.Min, node.Usage.Max, float64(node.DrainGrace), float64(node.TerminatedRetention))
		r.Integers(int64(node.Decisions.MaxQueued), int64(node.Starts.MaxConcurrent), int64(node.Starts.ProgramCacheSize), int64(node.Seed))
		r.Booleans(node.AnswerWhenRunning, node.Preempts, node.Cold)
	}
	priorities, _ := json.Marshal(labconfig.Priorities(s))
	lifetimes, _ := json.Marshal(labconfig.Lifetimes(s))
	r.Bytes(priorities)
	r.Bytes(lifetimes)
	engineConfig := s.Engine(7, 11)
	controller, retryPolicy, policy := engineConfig.Admission, engineConfig.Retry, engineConfig.Placer
	r.Floats(controller.MinInFlight, controller.MaxInFlight, controller.InitialInFlight, controller.DecreaseFactor, float64(controller.DecreaseInterval), controller.LateFraction, controller.RetryRatio, controller.RetryRate, controller.RetryBurst,
		float64(retryPolicy.Delay), float64(retryPolicy.ShortDelay), retryPolicy.Multiplier, float64(retryPolicy.MaxDelay), float64(retryPolicy.UnknownOutcomeTimeout), float64(engineConfig.FinishedTTL), float64(engineConfig.NodeLossTimeout), policy.Overcommit.Cores, policy.Overcommit.Memory, float64(policy.Attempts.ConnectTimeout), float64(policy.Attempts.AnswerGrace),
		float64(policy.Attempts.DrainGrace), policy.SlowStart.MinPace, float64(policy.SlowStart.Duration), policy.SlowStart.OverloadMultiple, float64(policy.SlowStart.OverloadWindow), policy.SlowStart.MaxAttempts, float64(policy.Retry.UnknownOutcomeWait), policy.Costs.Node, policy.Costs.CrossZone,
		policy.Costs.Migration, policy.OverQuotaWeight)
	r.Integers(int64(controller.MaxQueued), engineConfig.MaxHistory, engineConfig.MaxObjects, int64(engineConfig.History), int64(engineConfig.MaxPods), int64(engineConfig.DefaultClass), int64(engineConfig.Seed), engineConfig.BaseRevision,
		int64(policy.Peers.Self), int64(policy.Peers.Total), int64(policy.Attempts.Max))
	r.Booleans(controller.Disabled, policy.NodeBehavior.AcknowledgesOnStart, policy.NodeBehavior.ListShowsCapacity, policy.NodeBehavior.ReportsUsage, policy.NodeBehavior.Preempts)
	for i, k := range policy.Classes {
		r.Texts(engineConfig.Classes[i])
		r.Floats(float64(k.DedupWindow), float64(k.LatencyObjective), float64(k.Deadline), k.Weight, k.LateWeight, float64(k.StartBonus), k.SaturationThreshold, k.DegradationRange)
		r.Integers(int64(k.Idempotency), int64(k.DedupDomain), int64(k.Priority), int64(k.NodeType), int64(k.SpreadDomain), int64(k.MaxPerDomain))
	}
	for i, k := range policy.NodeTypes {
		r.Texts(engineConfig.NodeTypes[i])
		r.Floats(k.Cores, k.Memory)
	}
	for i, k := range policy.Tenants {
		r.Texts(engineConfig.Tenants[i])
		r.Floats(k.Share, k.Cores)
	}
	r.Checkpoint(fmt.Sprintf("file %d derived", file))
}
