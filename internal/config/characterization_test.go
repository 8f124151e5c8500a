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

// The tests in this file compare the text of settings, the configurations derived from settings, and error
// messages with golden files. The golden files may be regenerated with HEATHSHED_UPDATE_GOLDEN=1 only if a
// change of behaviour is intended. Package goldentest describes this environment variable.

// TestCharacterizeSettings compares the text of the default settings, the text of the settings from valid
// files, and the errors of invalid files with the golden file "settings". It compares the configurations
// derived from valid files with the golden file "derived". That file contains no names of settings, so
// TestFormerNamesGiveSameDerivedConfig can use it for files with former names.
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

// TestFormerNamesGiveSameDerivedConfig guards against a former name that is mapped to the wrong setting. The
// test starts from a file with the names of release 0.1, and replaces the value of one setting at a time. The
// configurations derived from the resulting files must equal the golden file "derived". In that golden file,
// TestCharacterizeSettings has recorded the configurations derived from the same files with current names.
func TestFormerNamesGiveSameDerivedConfig(t *testing.T) {
	release01Text, err := os.ReadFile("testdata/settings-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	derived := goldentest.NewRecorder()
	for i, file := range settingsFiles(strings.TrimSuffix(string(release01Text), "\n")) {
		if parsed, err := config.Parse("f", []byte(file)); err == nil {
			recordDerived(derived, i, &parsed)
		}
	}
	derived.Check(t, "derived")
}

// classFile returns the text of a settings file with a single task class, which is also the default task class.
// The task class has the given fields in addition to its name.
func classFile(fields string) string {
	return `{"classes": [{"name": "a", ` + fields + `}], "defaultClass": "a"}`
}

// settingsFiles returns the texts of valid and invalid settings files. The parameter "text" is the text of a
// file with the default settings. The result contains this text, and copies of it in which the value of one
// setting has been replaced. Some of the replacement values have the wrong type, and others are out of range.
//
// The other files are short, and most of them contain one error, such as an unknown node type. Some of them use
// names of release 0.1, such as nodeKind for nodeType and apartBy for spreadDomain.
func settingsFiles(text string) []string {
	const validFields = `, "aim": 1, "deadline": 2, "worth": 1, "calmUpTo": 1, "fadesOver": 1`
	const nodeType, idempotentField = `{"name": "k", "cores": 4, "memory": 8}`, `"effect": "idempotent"`
	files := []string{
		"", "{}", "// c\n{ /* d */ \"name\": \"a\", }", `{"naem": "a"}`, "{\n\"name\": \"a\",\n\"name\": \"b\"}", `{"name": }`, "[]", "3",
		`{"peers": 1.5}`, `{"peers": 2, "self": 2}`, `{"classes": []}`, `{"kinds": []}`, `{"defaultClass": "x"}`, `{"logLevel": "loud"}`,
		`{"tenants": [{"name": "a", "share": 0.6, "cores": 4}, {"name": "b", "share": 0.4}]}`,
		`{"tenants": [{"name": "a"}, {"name": "a"}]}`,
		`{"tenants": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}`,
		`{"tenants": [{"name": "a", "share": -1}]}`,
		classFile(idempotentField + `, "aim": 1`), `{"classes": [{"name": "x", "effect": "maybe"}]}`, classFile(`"effect": "deduplicated"` + validFields),
		classFile(idempotentField + validFields + `, "nodeKind": "x"`), classFile(idempotentField + validFields + `, "apartBy": "rack"`),
		`{"kinds": [` + nodeType + `, ` + nodeType + `]}`, `{"kinds": [{"name": "k", "cores": 0, "memory": 8}]}`,
		`{"kinds": [` + nodeType + `], "standin": {"zones": 3, "racks": 4}, "self": 1, "peers": 3}`,
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

// recordPrinted records the text that Settings.Text returns for the given settings.
func recordPrinted(t *testing.T, record *goldentest.Recorder, settings *config.Settings) {
	t.Helper()
	text, err := settings.Text()
	if err != nil {
		t.Fatal(err)
	}
	record.Bytes(text)
	record.Checkpoint("  printed")
}

// recordDerived records everything that is derived from the settings in one file: the configuration of the
// emulated nodes, the priorities and lifetimes of tasks, and the configuration of the engine. The bits of
// floating-point numbers are recorded. The parameter fileIndex is the index of the file in the result of
// settingsFiles.
func recordDerived(record *goldentest.Recorder, fileIndex int, settings *config.Settings) {
	for i := range 9 {
		recordNode(record, labconfig.NodeAt(settings, i))
	}
	priorities, _ := json.Marshal(labconfig.Priorities(settings))
	lifetimes, _ := json.Marshal(labconfig.Lifetimes(settings))
	record.Bytes(priorities)
	record.Bytes(lifetimes)
	recordEngine(record, settings.EngineConfig(7, 11))
	record.Checkpoint(fmt.Sprintf("file %d derived", fileIndex))
}

// recordValues records the given values in their order. The reflect.Kind of a value determines the method of
// the Recorder that records the value.
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
			record.Integers(int64(reflected.Uint())) // the method Uint panics if the value is not an unsigned integer
		}
	}
}

// recordNode records the configuration of one emulated node.
func recordNode(record *goldentest.Recorder, emulated labconfig.EmulatedNode) {
	node := emulated.Sim
	recordValues(record, emulated.NodeType, emulated.Rack, emulated.Zone, node.Cores, node.Memory, node.Overcommit.Cores, node.Overcommit.Memory)
	recordValues(record, node.Decisions.DelayMin, node.Decisions.DelayMax, node.Starts.Duration, node.Starts.UncachedFactor)
	recordValues(record, node.WarmUp.InitialPace, node.WarmUp.Duration, node.Overload.Factor, node.Overload.Window, node.Overload.MinRequests)
	recordValues(record, node.LifetimeMean, node.Usage.Min, node.Usage.Max, node.DrainGrace, node.TerminatedRetention)
	recordValues(record, node.Decisions.MaxQueued, node.Starts.MaxConcurrent, node.Starts.ProgramCacheSize, node.Seed)
	recordValues(record, node.AnswerWhenRunning, node.Preempts, node.Cold)
}

// recordEngine records the configuration of the engine of a scheduler.
func recordEngine(record *goldentest.Recorder, derived engine.Config) {
	admissionConfig, retryPolicy, placerConfig := derived.Admission, derived.Retry, derived.Placer
	attemptLimits, slowStart, behavior := placerConfig.Attempts, placerConfig.SlowStart, placerConfig.NodeBehavior
	recordValues(record, admissionConfig.MinInFlight, admissionConfig.MaxInFlight, admissionConfig.InitialInFlight, admissionConfig.DecreaseFactor, admissionConfig.DecreaseInterval)
	recordValues(record, admissionConfig.LateFraction, admissionConfig.RetryRatio, admissionConfig.RetryRate, admissionConfig.RetryBurst)
	recordValues(record, retryPolicy.Delay, retryPolicy.ShortDelay, retryPolicy.Multiplier, retryPolicy.MaxDelay, retryPolicy.UnknownOutcomeTimeout)
	recordValues(record, derived.FinishedTTL, derived.NodeLossTimeout, placerConfig.Overcommit.Cores, placerConfig.Overcommit.Memory)
	recordValues(record, attemptLimits.ConnectTimeout, attemptLimits.AnswerGrace, attemptLimits.DrainGrace)
	recordValues(record, slowStart.MinPace, slowStart.Duration, slowStart.OverloadMultiple, slowStart.OverloadWindow, slowStart.MaxAttempts)
	recordValues(record, placerConfig.Retry.UnknownOutcomeWait)
	recordValues(record, placerConfig.Costs.Node, placerConfig.Costs.CrossZone, placerConfig.Costs.Migration, placerConfig.OverQuotaWeight)
	recordValues(record, admissionConfig.MaxQueued, derived.MaxHistoryBytes, derived.MaxObjectBytes, derived.HistoryEntries, derived.MaxPods)
	recordValues(record, derived.DefaultClass, derived.Seed, derived.BaseRevision, placerConfig.Peers.Self, placerConfig.Peers.Total, attemptLimits.Max)
	recordValues(record, admissionConfig.Disabled, behavior.AcknowledgesOnStart, behavior.ListShowsCapacity, behavior.ReportsUsage, behavior.Preempts)
	for i, class := range placerConfig.Classes {
		recordValues(record, derived.Classes[i], class.DedupWindow, class.LatencyObjective, class.Deadline, class.Weight, class.LateWeight)
		recordValues(record, class.StartBonus, class.SaturationThreshold, class.DegradationRange)
		recordValues(record, class.Idempotency, class.DedupDomain, class.Priority, class.NodeType, class.SpreadDomain, class.MaxPerDomain)
	}
	for i, nodeType := range placerConfig.NodeTypes {
		recordValues(record, derived.NodeTypes[i], nodeType.Cores, nodeType.Memory)
	}
	for i, tenant := range placerConfig.Tenants {
		recordValues(record, derived.Tenants[i], tenant.Share, tenant.Cores)
	}
}
