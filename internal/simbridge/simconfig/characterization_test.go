package simconfig_test

// These characterization tests detect changes in the interpretation of settings. They pin every field of the
// result of Parse for three variants of settings, and the errors for invalid settings. Package goldentest
// documents how golden files are compared and written.

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// minimalSettings contains no optional key.
const minimalSettings = `{"peersTotal":1,"permissions":{"mostTries":1},"extra":{"coresByKind":[4],"kindMemory":[8]},
 "lanes":[{"effect":"idempotent","hardLimitS":4,"objectiveS":1}]}`

// shortListSettings contains unknown keys and lists with fewer values than there are task classes. The last
// value of such a list applies to the remaining task classes.
const shortListSettings = `{"discovery":"push","me":1,"myZone":2,"peersTotal":3,"unheardOf":{"a":[1]},"roundS":0.05,
 "extra":{"admitMemory":1.5,"apartBy":["none","cell","zone"],"classKind":[1],"coresByKind":[8,16],"counts":"used","cpuBooking":2,
  "freeInList":true,"fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16,32],"precedence":[0,2],"saysYes":"running",
  "startBonusS":[5,6],"togetherMax":[0,2],"youngLimit":12,"quotaCores":[7]},
 "lanes":[{"effect":"idempotent","hardLimitS":4,"keyScope":"nowhere","objectiveS":1,"worth":1,"name":"query"},
  {"effect":"deduplicated","hardLimitS":5,"keyScope":"cell","keyTtlS":3,"objectiveS":1.5,"worth":2,"lateValue":0.3,"name":"seats"},
  {"effect":"at_most_once","hardLimitS":6,"objectiveS":2,"worth":3,"name":"pay"},
  {"effect":"deduplicated","hardLimitS":7,"keyScope":"machine","keyTtlS":0.1,"objectiveS":2.5}],
 "orgs":[{"name":"north","share":0.7},{"name":"south","share":0.3}],
 "loadReport":{"fields":["x1","utilization"],"how":"answers"},"permissions":{"mostTries":3},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"fallS":1,"warmWithinS":8}}`

// completeSettings contains every key that Parse uses. Fields that Parse could mistake for each other have
// different numbers, which makes the test fail if Parse exchanges two of them.
const completeSettings = `{"discovery":"ask","me":4,"myZone":5,"peersTotal":6,"roundS":0.11,"overShareWorth":0.12,
 "flavors":["small","large","wide"],"zones":["a","b","c"],
 "extra":{"admitMemory":1.21,"apartBy":["machine","all","zone"],"bound":true,"classKind":[2,0,1],"coresByKind":[8.1,16.1,32.1],
  "counts":"asked","cpuBooking":1.31,"fadesOver":[0.41,0.42,0.43],"freeInList":false,"fullUpTo":[0.51,0.52,0.53],
  "kindMemory":[16.2,32.2,64.2],"precedence":[3,1,2],"pushesOut":true,"quotaCores":[101,102],"saysYes":"accepted",
  "startBonusS":[0.61,0.62,0.63],"togetherMax":[7,8,9],"youngLimit":13,"checkAfterS":0.71},
 "lanes":[{"effect":"deduplicated","hardLimitS":4.1,"keyScope":"all","keyTtlS":3.1,"lateValue":0.81,"objectiveS":1.1,"worth":1.2,"name":"l"},
  {"effect":"deduplicated","hardLimitS":4.2,"keyScope":"zone","keyTtlS":3.2,"lateValue":0.82,"objectiveS":1.3,"worth":1.4,"name":"m"},
  {"effect":"deduplicated","hardLimitS":4.3,"keyScope":"none","keyTtlS":3.3,"lateValue":0.83,"objectiveS":1.5,"worth":1.6,"name":"n"}],
 "loadReport":{"fields":["x0","x1","utilization","backlog","other"]},
 "orgs":[{"name":"o","share":0.91},{"name":"p","share":0.09}],
 "permissions":{"connIdleS":21.1,"connectTimeoutS":0.22,"maxRetryAfterS":23.3,"mayDuplicate":true,"mostTries":24,"retryAfter":true},
 "tariffs":{"crossZone":0.31,"fleet":0.32,"moves":0.33},
 "rules":{"answerSlackS":0.41,"askWithinS":42.1,"coldFrom":0.43,"drainGraceS":4.4,"fallS":4.5,"overloadFactor":4.6,"warmWithinS":4.7}}`

// describeSettings returns all fields of the settings as text in a fixed order. Integers are written in
// decimal, floating point numbers as their bits, and strings in quotes. Each line begins with the number of
// its group of fields: 1 is for the integers and switches of the placer configuration, 2 and 3 are for its
// floating point numbers, 4 is for one task class, 5 for one node type, 6 for one tenant, 7 for the lists of
// names, and 8 for the idle timeout and the batch interval.
func describeSettings(settings *simconfig.Settings) string {
	var text strings.Builder
	writeFloats := func(values ...float64) {
		for _, value := range values {
			fmt.Fprintf(&text, " %x", math.Float64bits(value))
		}
		text.WriteByte('\n')
	}
	config := &settings.Placer
	fmt.Fprintf(&text, "1: %d %d %d %d %t %t %t %t %t %t %t %t\n", config.Peers.Self, config.Peers.Total, config.Zone, config.Attempts.Max,
		config.NodeBehavior.AcknowledgesOnStart, config.NodeBehavior.ListShowsCapacity, config.NodeBehavior.ReportsUsage, config.Peers.StickyServices,
		config.NodeBehavior.Preempts, config.Attempts.AllowsHedging, config.Discovery.MustPoll, config.Retry.SendsRetryAfter)
	text.WriteString("2:")
	writeFloats(config.Overcommit.Cores, config.Overcommit.Memory, float64(config.Attempts.ConnectTimeout), float64(config.Attempts.AnswerGrace),
		float64(config.Attempts.DrainGrace), config.SlowStart.MinPace, float64(config.SlowStart.Duration), config.SlowStart.OverloadMultiple)
	text.WriteString("3:")
	writeFloats(float64(config.SlowStart.OverloadWindow), config.SlowStart.MaxAttempts, float64(config.Discovery.MaxPollInterval),
		float64(config.Retry.MaxRetryAfter), float64(config.Retry.UnknownOutcomeWait), config.Costs.Node, config.Costs.CrossZone, config.Costs.Migration,
		config.OverQuotaWeight)
	for _, class := range config.Classes {
		fmt.Fprintf(&text, "4: %d %d %d %d %d %d", uint8(class.Idempotency), uint8(class.DedupDomain), class.Priority, class.NodeType,
			uint8(class.SpreadDomain), class.MaxPerDomain)
		writeFloats(float64(class.DedupWindow), float64(class.LatencyObjective), float64(class.Deadline), class.Weight,
			class.LateWeight, float64(class.StartBonus), class.SaturationThreshold, class.DegradationRange)
	}
	for _, nodeType := range config.NodeTypes {
		text.WriteString("5:")
		writeFloats(nodeType.Cores, nodeType.Memory)
	}
	for _, tenant := range config.Tenants {
		text.WriteString("6:")
		writeFloats(tenant.Share, tenant.Cores)
	}
	fmt.Fprintf(&text, "7: %q %q %q %q %q\n", settings.ClassNames, settings.TenantNames, settings.ZoneNames, settings.NodeTypeNames, settings.ReportFields)
	text.WriteString("8:")
	writeFloats(float64(settings.IdleTimeout), float64(settings.BatchInterval))
	return text.String()
}

func TestCharacterizationOfParse(t *testing.T) {
	var text strings.Builder
	for variant, settingsJSON := range []string{minimalSettings, shortListSettings, completeSettings} {
		parsed, err := simconfig.Parse([]byte(settingsJSON))
		if err != nil {
			t.Fatalf("parse settings variant %d: %v", variant, err)
		}
		fmt.Fprintf(&text, "shape %d\n%s", variant, describeSettings(parsed))
	}
	goldentest.CheckText(t, "settings", text.String())
}

// TestCharacterizationOfInvalidSettings pins which settings are rejected and the error texts, which name the
// JSON keys.
func TestCharacterizationOfInvalidSettings(t *testing.T) {
	for _, testCase := range []struct{ old, new, wantError string }{
		{`"idempotent"`, `"idempotent"`, ""},
		{`"idempotent"`, `"maybe"`, `settings: lanes[0].effect (idempotency of the task class): unknown value "maybe"`},
		{`"keyScope":"cell"`, `"keyScope":"moon"`, `settings: lanes[1].keyScope (deduplication domain of the task class): unknown topology domain "moon"`},
		{`"keyScope":"cell"`, `"keyScope":""`, ""},
		{`["none","cell","zone"]`, `["none","moon"]`, `settings: extra.apartBy[1] (spread domain of the task class): unknown topology domain "moon"`},
		{`"kindMemory":[16,32]`, `"kindMemory":[16]`, "settings: extra.kindMemory has length 1, but extra.coresByKind has length 2"},
		{`{"discovery"`, `["discovery"`, "settings: invalid character ':' after array element"},
	} {
		gotError := ""
		if _, err := simconfig.Parse([]byte(strings.Replace(shortListSettings, testCase.old, testCase.new, 1))); err != nil {
			gotError = err.Error()
		}
		if gotError != testCase.wantError {
			t.Errorf("settings with %s instead of %s:\n got error %q\nwant error %q", testCase.new, testCase.old, gotError, testCase.wantError)
		}
	}
}

// TestCharacterizationOfSetReportField pins which field of a load report SetReportField sets for each field
// name in the settings. All other fields stay NaN.
func TestCharacterizationOfSetReportField(t *testing.T) {
	for fieldName, wantDigits := range map[string]string{"x0": "1000", "x1": "0100", "utilization": "0010", "backlog": "0001", "other": "0000"} {
		report := simconfig.EmptyReport()
		simconfig.SetReportField(&report, fieldName, 2.5)
		if got := describeReport(report); got != wantDigits {
			t.Errorf("load report after setting field %q to 2.5: got fields %s, want %s (0 is NaN, 1 is 2.5)", fieldName, got, wantDigits)
		}
	}
}

// describeReport returns one character for each value of a load report: 0 if the value is NaN, 1 if the value
// is 2.5, and ? otherwise. The order of the values is free cores, free memory, utilization and queue length.
func describeReport(report placer.Report) string {
	var text strings.Builder
	for _, value := range []float64{report.FreeCores, report.FreeMemory, report.Utilization, report.QueueLength} {
		switch {
		case math.IsNaN(value):
			text.WriteByte('0')
		case value == 2.5:
			text.WriteByte('1')
		default:
			text.WriteByte('?')
		}
	}
	return text.String()
}
