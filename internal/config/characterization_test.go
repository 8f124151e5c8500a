package config_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/golden"
)

// The tests pin printed settings, what follows from them, and the texts of errors. Regenerate the golden files with
// HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package golden.

// TestCharacterizeSettings pins the printed defaults, good files and the errors of bad ones.
func TestCharacterizeSettings(t *testing.T) {
	r := golden.NewRecorder()
	s := config.Default()
	text, err := s.Text()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		r.Line("%s", line)
	}
	for _, file := range files(string(text)) {
		parsed, err := config.Parse("f", []byte(file))
		r.Line("%.90q: %v", file, err)
		if err == nil {
			derived(t, r, &parsed)
		}
	}
	_, err = config.Load(filepath.Join(t.TempDir(), "missing"))
	r.Line("missing file: %v", err != nil)
	r.Check(t, "settings")
}

// files are good files, and the default with one field after the other replaced by values of the wrong kind or out of range.
func files(text string) []string {
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

// derived records what follows from settings: machines, priorities, lives, and the configuration of the gate and owners by bits.
func derived(t *testing.T, r *golden.Recorder, s *config.Settings) {
	text, err := s.Text()
	if err != nil {
		t.Fatal(err)
	}
	r.Bytes(text)
	for i := range 9 {
		m, kind, rack, zone := s.Machine(i)
		r.Texts(kind, rack, zone)
		r.Floats(m.Cores, m.Memory, m.BookCores, m.BookMemory, m.LookMin, m.LookMax, m.StartWork, m.FreshFactor, m.ColdFrom, m.WarmWithin,
			m.FallMultiple, m.FallWindow, m.ColdAlways, m.LifeMean, m.UseMin, m.UseMax, m.Grace, m.KeepEnded)
		r.Integers(int64(m.MaxWaiting), int64(m.StartsAtOnce), int64(m.KeepPrograms), int64(m.Seed))
		r.Booleans(m.AnswersWhenRunning, m.PushesOut, m.Cold)
	}
	priorities, _ := json.Marshal(s.Priorities())
	lives, _ := json.Marshal(s.Lives())
	r.Bytes(priorities)
	r.Bytes(lives)
	c := s.Engine(7, 11)
	g, o, p := c.Admission, c.Retry, c.Placer
	r.Floats(g.MinInFlight, g.MaxInFlight, g.Start, g.Decrease, g.Window, g.LateFraction, g.RetryRatio, g.RetryRate, g.RetryBurst,
		o.Delay, o.ShortDelay, o.Multiplier, o.MaxDelay, o.UnknownOutcomeTimeout, c.FinishedTTL, c.LostAfter, p.OvercommitCores, p.OvercommitMemory, p.ConnectTimeout, p.AnswerGrace,
		p.DrainGrace, p.WarmupMinPace, p.WarmupDuration, p.OverloadMultiple, p.OverloadWindow, p.WarmupAttempts, p.UnknownOutcomeWait, p.NodeCost, p.CrossZoneCost,
		p.MigrationCost, p.OverQuotaWeight)
	r.Integers(int64(g.MaxWaiting), c.MaxHistory, c.MaxObjects, int64(c.History), int64(c.MaxPods), int64(c.DefaultClass), int64(c.Seed), c.BaseRev,
		int64(p.Self), int64(p.Peers), int64(p.MaxAttempts))
	r.Booleans(g.Disabled, p.AcknowledgesOnStart, p.ListShowsCapacity, p.ReportsUsage, p.Preempts)
	for i, k := range p.Classes {
		r.Texts(c.Classes[i])
		r.Floats(k.DedupWindow, k.LatencyObjective, k.Deadline, k.Weight, k.LateWeight, k.StartBonus, k.SaturationThreshold, k.DegradationRange)
		r.Integers(int64(k.Idempotency), int64(k.DedupDomain), int64(k.Priority), int64(k.NodeType), int64(k.SpreadDomain), int64(k.MaxPerDomain))
	}
	for i, k := range p.NodeTypes {
		r.Texts(c.NodeTypes[i])
		r.Floats(k.Cores, k.Memory)
	}
	for i, k := range p.Tenants {
		r.Texts(c.Tenants[i])
		r.Floats(k.Share, k.Cores)
	}
	r.Checkpoint("  derived")
}

// TestCharacterizeDayScripts pins scripts of days and the errors of bad ones.
func TestCharacterizeDayScripts(t *testing.T) {
	r := golden.NewRecorder()
	directory := t.TempDir()
	for i, text := range []string{`{}`, `{"seed": 4, "seconds": 50, "calm": 10}`, `{"trouble": [{"kind": "crash", "at": 5, "for": 3, "part": 0.5}]}`,
		`{"trouble": [{"kind": "x"}]}`, `{"trouble": [{"kind": "crash", "at": -5}]}`, `{"nodes": 0}`, `{"schedulers": 0}`, `{"seconds": -1}`,
		`{"load": {"classes": {"web": 1}}}`, `{"load": {"classes": {"web": "x"}}}`, `{"load": {"tasksPerSecond": -1}}`, `{"calm": 1e9}`, `{`, `{"x": 1}`} {
		path := filepath.Join(directory, fmt.Sprintf("script-%d", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		script, err := config.LoadScript(path)
		words := ""
		if err != nil {
			words = strings.ReplaceAll(err.Error(), directory, "")
		}
		encoded, _ := json.Marshal(script)
		r.Line("%s: %s %s", text, words, encoded)
	}
	r.Check(t, "scripts")
}
