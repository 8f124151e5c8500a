package simconfig_test

// Characterization tests: they pin the result of Parse field by field for settings of three shapes, and which
// settings are rejected.
//
// The golden file holds numbers, wire bytes and float bits only, never a Go identifier. A missing golden file
// fails the test. To accept an intended change of behaviour, regenerate it and commit it with the change:
//
//	HEATHSHED_UPDATE_GOLDEN=1 go test ./internal/simbridge/simconfig -run Characterization

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// minimal has no optional key.
const minimal = `{"peersTotal":1,"permissions":{"mostTries":1},"extra":{"coresByKind":[4],"kindMemory":[8]},
 "lanes":[{"effect":"idempotent","hardLimitS":4,"objectiveS":1}]}`

// short has lists that are shorter than the lanes, whose last value serves for the rest, and unknown keys.
const short = `{"discovery":"push","me":1,"myZone":2,"peersTotal":3,"unheardOf":{"a":[1]},"roundS":0.05,
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

// full has every key, each number another one, so that no two fields can be exchanged unseen.
const full = `{"discovery":"ask","me":4,"myZone":5,"peersTotal":6,"roundS":0.11,"overShareWorth":0.12,
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

// describe writes all results in a fixed order: integers in decimal, floats as bits, texts quoted.
func describe(s *simconfig.Settings) string {
	var b strings.Builder
	floats := func(values ...float64) {
		for _, v := range values {
			fmt.Fprintf(&b, " %x", math.Float64bits(v))
		}
		b.WriteByte('\n')
	}
	c := &s.Placer
	fmt.Fprintf(&b, "1: %d %d %d %d %t %t %t %t %t %t %t %t\n", c.Peers.Self, c.Peers.Total, c.Zone, c.Attempts.Max,
		c.NodeBehavior.AcknowledgesOnStart, c.NodeBehavior.ListShowsCapacity, c.NodeBehavior.ReportsUsage, c.Peers.StickyServices,
		c.NodeBehavior.Preempts, c.Attempts.AllowsHedging, c.Discovery.MustPoll, c.Retry.SendsRetryAfter)
	b.WriteString("2:")
	floats(c.Overcommit.Cores, c.Overcommit.Memory, float64(c.Attempts.ConnectTimeout), float64(c.Attempts.AnswerGrace),
		float64(c.Attempts.DrainGrace), c.SlowStart.MinPace, float64(c.SlowStart.Duration), c.SlowStart.OverloadMultiple)
	b.WriteString("3:")
	floats(float64(c.SlowStart.OverloadWindow), c.SlowStart.MaxAttempts, float64(c.Discovery.MaxPollInterval),
		float64(c.Retry.MaxRetryAfter), float64(c.Retry.UnknownOutcomeWait), c.Costs.Node, c.Costs.CrossZone, c.Costs.Migration,
		c.OverQuotaWeight)
	for _, k := range c.Classes {
		fmt.Fprintf(&b, "4: %d %d %d %d %d %d", uint8(k.Idempotency), uint8(k.DedupDomain), k.Priority, k.NodeType, uint8(k.SpreadDomain), k.MaxPerDomain)
		floats(float64(k.DedupWindow), float64(k.LatencyObjective), float64(k.Deadline), k.Weight, k.LateWeight, float64(k.StartBonus),
			k.SaturationThreshold, k.DegradationRange)
	}
	for _, k := range c.NodeTypes {
		b.WriteString("5:")
		floats(k.Cores, k.Memory)
	}
	for _, tenant := range c.Tenants {
		b.WriteString("6:")
		floats(tenant.Share, tenant.Cores)
	}
	fmt.Fprintf(&b, "7: %q %q %q %q %q\n", s.Classes, s.Tenants, s.Zones, s.NodeTypes, s.ReportFields)
	b.WriteString("8:")
	floats(float64(s.IdleTimeout), float64(s.BatchInterval))
	return b.String()
}

func TestCharacterizationOfParse(t *testing.T) {
	var text strings.Builder
	for i, settings := range []string{minimal, short, full} {
		s, err := simconfig.Parse([]byte(settings))
		if err != nil {
			t.Fatalf("shape %d: %v", i, err)
		}
		fmt.Fprintf(&text, "shape %d\n%s", i, describe(s))
	}
	goldentest.CheckText(t, "settings", text.String())
}

// TestCharacterizationOfInvalidSettings pins which settings are rejected, and the error text, which names JSON keys.
func TestCharacterizationOfInvalidSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"idempotent"`, `"idempotent"`, ""},
		{`"idempotent"`, `"maybe"`, `settings: lanes[0].effect: "maybe" is not known`},
		{`"keyScope":"cell"`, `"keyScope":"moon"`, `settings: lanes[1].keyScope: "moon" is no place`},
		{`"keyScope":"cell"`, `"keyScope":""`, ""},
		{`["none","cell","zone"]`, `["none","moon"]`, `settings: extra.apartBy[1]: "moon" is no place`},
		{`"kindMemory":[16,32]`, `"kindMemory":[16]`, "settings: extra.kindMemory: 1 kinds, extra.coresByKind has 2"},
		{`{"discovery"`, `["discovery"`, "settings: invalid character ':' after array element"},
	} {
		got := ""
		if _, err := simconfig.Parse([]byte(strings.Replace(short, c.old, c.new, 1))); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s for %s:\n got %q\nwant %q", c.new, c.old, got, c.want)
		}
	}
}

// TestCharacterizationOfSetReportField pins which field of a report each name sets; the others stay NaN.
func TestCharacterizationOfSetReportField(t *testing.T) {
	for word, want := range map[string]string{"x0": "1000", "x1": "0100", "utilization": "0010", "backlog": "0001", "other": "0000"} {
		r := simconfig.NoReport()
		simconfig.SetReportField(&r, word, 2.5)
		if got := describeReport(r); got != want {
			t.Errorf("%s sets %s, want %s", word, got, want)
		}
	}
}

// describeReport returns one digit for each value of a report: 0 if it is NaN, 1 if it is 2.5.
func describeReport(r placer.Report) string {
	var b strings.Builder
	for _, v := range []float64{r.FreeCores, r.FreeMemory, r.Utilization, r.QueueLength} {
		switch {
		case math.IsNaN(v):
			b.WriteByte('0')
		case v == 2.5:
			b.WriteByte('1')
		default:
			b.WriteByte('?')
		}
	}
	return b.String()
}
