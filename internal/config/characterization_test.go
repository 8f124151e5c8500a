package config_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/kube/engine"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/testsupport/goldentest"
)

// The tests in this file compare printed settings, the configurations derived from settings, and error messages
// with golden files. The golden files may be regenerated with HEATHSHED_UPDATE_GOLDEN=1 only if a change of
// behaviour is intended; see package goldentest.

// TestCharacterizeSettings records the printed default settings, the printed settings of valid files, and the
// errors of invalid files. The configurations derived from the valid files have a separate golden file, which
// contains no names of settings. Files with former names can therefore be compared with the same golden file.
func TestCharacterizeSettings(t *testing.T) {
	printed, derived := goldentest.NewRecorder(), goldentest.NewRecorder()
	defaults := config.Default()
	text, err := defaults.Text()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		printed.Line("%s", line)
	}
	for i, file := range settingsFiles(string(text)) {
		parsed, err := config.Parse("f", []byte(file))
		printed.Line("%.90q: %v", file, err)
		if err == nil {
			recordPrinted(t, printed, &parsed)
			recordDerived(derived, i, &parsed)
		}
	}
	_, err = config.Load(filepath.Join(t.TempDir(), "missing"))
	printed.Line("missing file: %v", err != nil)
	printed.Check(t, "settings")
	derived.Check(t, "derived")
}

// TestFormerNamesGiveSameDerivedConfig guards against a former name that is mapped to the wrong setting. It
// makes the same changes to a file with the names of release 0.1 that TestCharacterizeSettings makes to a file
// with current names, and compares the derived configurations with the golden file of that test.
func TestFormerNamesGiveSameDerivedConfig(t *testing.T) {
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

// classFile returns the text of a file with a single task class, which is the default. The task class has the
// given fields in addition to its name.
func classFile(fields string) string {
	return `{"classes": [{"name": "a", ` + fields + `}], "defaultClass": "a"}`
}

// settingsFiles returns the texts of valid and invalid settings files. They include text, which contains the
// default settings, and copies of text in which the value of one setting has been replaced. The replacement
// values include values of the wrong type and values out of range.
func settingsFiles(text string) []string {
	const classTail = `, "aim": 1, "deadline": 2, "worth": 1, "calmUpTo": 1, "fadesOver": 1`
	const node, idempotent = `{"name": "k", "cores": 4, "memory": 8}`, `"effect": "idempotent"`
	files := []string{
		"", "{}", "// c\n{ /* d */ \"name\": \"a\", }", `{"naem": "a"}`, "{\n\"name\": \"a\",\n\"name\": \"b\"}", `{"name": }`, "[]", "3",
		`{"peers": 1.5}`, `{"peers": 2, "self": 2}`, `{"classes": []}`, `{"kinds": []}`, `{"defaultClass": "x"}`, `{"logLevel": "loud"}`,
		`{"tenants": [{"name": "a", "share": 0.6, "cores": 4}, {"name": "b", "share": 0.4}]}`,
		`{"tenants": [{"name": "a"}, {"name": "a"}]}`,
		`{"tenants": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}`,
		`{"tenants": [{"name": "a", "share": -1}]}`,
		classFile(idempotent + `, "aim": 1`), `{"classes": [{"name": "x", "effect": "maybe"}]}`, classFile(`"effect": "deduplicated"` + classTail),
		classFile(idempotent + classTail + `, "nodeKind": "x"`), classFile(idempotent + classTail + `, "apartBy": "rack"`),
		`{"kinds": [` + node + `, ` + node + `]}`, `{"kinds": [{"name": "k", "cores": 0, "memory": 8}]}`,
		`{"kinds": [` + node + `], "standin": {"zones": 3, "racks": 4}, "self": 1, "peers": 3}`,
		`{"standin": 1}`, `{"gate": {"on": false}}`, `{"gate": {"on": 1}}`, `{"rules": null}`, text,
	}
	for _, line := range strings.Split(text, "\n") {
		key, _, isSetting := strings.Cut(line, ": ")
		if !isSetting || strings.HasSuffix(line, "{") || strings.HasSuffix(line, "[") {
			continue
		}
		for _, value := range []string{"-1", "1e300", `"x"`, "true"} {
			changedLine := key + ": " + value
			if strings.HasSuffix(line, ",") {
				changedLine += ","
			}
			files = append(files, strings.Replace(text, line, changedLine, 1))
		}
	}
	return files
}

// recordPrinted records the text of settings as Settings.Text prints it.
func recordPrinted(t *testing.T, record *goldentest.Recorder, settings *config.Settings) {
	t.Helper()
	text, err := settings.Text()
	if err != nil {
		t.Fatal(err)
	}
	record.Bytes(text)
	record.Checkpoint("  printed")
}

// recordDerived records everything that is derived from the settings of one file: the emulated nodes, the
// priorities and lifetimes of tasks, and the configuration of the engine. Floating-point numbers are recorded
// by their bits. The argument file is the index of the file.
func recordDerived(record *goldentest.Recorder, file int, settings *config.Settings) {
	for i := range 9 {
		recordNode(record, labconfig.NodeAt(settings, i))
	}
	priorities, _ := json.Marshal(labconfig.Priorities(settings))
	lifetimes, _ := json.Marshal(labconfig.Lifetimes(settings))
	record.Bytes(priorities)
	record.Bytes(lifetimes)
	recordEngine(record, settings.EngineConfig(7, 11))
	record.Checkpoint(fmt.Sprintf("file %d derived", file))
}

// recordValues records the values in the given order. The kind of each value determines how it is recorded.
func recordValues(record *goldentest.Recorder, values ...any) {
	for _, value := range values {
		switch reflected := reflect.ValueOf(value); reflected.Kind() {
		case reflect.Float64:
			record.Floats(reflected.Float())
		case reflect.Bool:
			record.Booleans(reflected.Bool())
		case reflect.String:
			record.Texts(reflected.String())
		case reflect.Int, reflect.Int64:
			record.Integers(reflected.Int())
		default:
			record.Integers(int64(reflected.Uint())) // Uint panics if the value is not an unsigned integer
		}
	}
}

// recordNode records the configuration of an emulated node.
func recordNode(record *goldentest.Recorder, emulated labconfig.EmulatedNode) {
	node := emulated.Sim
	recordValues(record, emulated.NodeType, emulated.Rack, emulated.Zone, node.Cores, node.Memory, node.Overcommit.Cores, node.Overcommit.Memory)
	recordValues(record, node.Decisions.DelayMin, node.Decisions.DelayMax, node.Starts.Duration, node.Starts.UncachedFactor)
	recordValues(record, node.WarmUp.InitialPace, node.WarmUp.Duration, node.Overload.Factor, node.Overload.Window, node.Overload.MinRequests)
	recordValues(record, node.LifetimeMean, node.Usage.Min, node.Usage.Max, node.DrainGrace, node.TerminatedRetention)
	recordValues(record, node.Decisions.MaxQueued, node.Starts.MaxConcurrent, node.Starts.ProgramCacheSize, node.Seed)
	recordValues(record, node.AnswerWhenRunning, node.Preempts, node.Cold)
}

// recordEngine records the configuration of an engine.
func recordEngine(record *goldentest.Recorder, derived engine.Config) {
	limits, retries, policy := derived.Admission, derived.Retry, derived.Placer
	attempts, slowStart, behavior := policy.Attempts, policy.SlowStart, policy.NodeBehavior
	recordValues(record, limits.MinInFlight, limits.MaxInFlight, limits.InitialInFlight, limits.DecreaseFactor, limits.DecreaseInterval)
	recordValues(record, limits.LateFraction, limits.RetryRatio, limits.RetryRate, limits.RetryBurst)
	recordValues(record, retries.Delay, retries.ShortDelay, retries.Multiplier, retries.MaxDelay, retries.UnknownOutcomeTimeout)
	recordValues(record, derived.FinishedTTL, derived.NodeLossTimeout, policy.Overcommit.Cores, policy.Overcommit.Memory)
	recordValues(record, attempts.ConnectTimeout, attempts.AnswerGrace, attempts.DrainGrace)
	recordValues(record, slowStart.MinPace, slowStart.Duration, slowStart.OverloadMultiple, slowStart.OverloadWindow, slowStart.MaxAttempts)
	recordValues(record, policy.Retry.UnknownOutcomeWait)
	recordValues(record, policy.Costs.Node, policy.Costs.CrossZone, policy.Costs.Migration, policy.OverQuotaWeight)
	recordValues(record, limits.MaxQueued, derived.MaxHistoryBytes, derived.MaxObjectBytes, derived.HistoryEntries, derived.MaxPods)
	recordValues(record, derived.DefaultClass, derived.Seed, derived.BaseRevision, policy.Peers.Self, policy.Peers.Total, attempts.Max)
	recordValues(record, limits.Disabled, behavior.AcknowledgesOnStart, behavior.ListShowsCapacity, behavior.ReportsUsage, behavior.Preempts)
	for i, class := range policy.Classes {
		recordValues(record, derived.Classes[i], class.DedupWindow, class.LatencyObjective, class.Deadline, class.Weight, class.LateWeight)
		recordValues(record, class.StartBonus, class.SaturationThreshold, class.DegradationRange)
		recordValues(record, class.Idempotency, class.DedupDomain, class.Priority, class.NodeType, class.SpreadDomain, class.MaxPerDomain)
	}
	for i, nodeType := range policy.NodeTypes {
		recordValues(record, derived.NodeTypes[i], nodeType.Cores, nodeType.Memory)
	}
	for i, tenant := range policy.Tenants {
		recordValues(record, derived.Tenants[i], tenant.Share, tenant.Cores)
	}
}
