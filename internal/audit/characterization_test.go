package audit_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"heathshed/internal/audit"
	"heathshed/internal/golden"
)

// TestCharacterizeVerdicts pins the auditor's violations and counts over seeded events, most of which break rules. Regenerate the golden
// file with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package golden.
func TestCharacterizeVerdicts(t *testing.T) {
	r := golden.NewRecorder()
	config := audit.Config{DrainGrace: 0.5, Slack: 0.1, Classes: map[string]audit.Class{"once": {Once: true}, "web": {},
		"keyed-machine": {Keyed: true, Group: "machine", TTL: 5}, "keyed-rack": {Keyed: true, Group: "rack", TTL: 3},
		"keyed-zone": {Keyed: true, Group: "zone", TTL: 2}, "keyed-all": {Keyed: true, Group: "all", TTL: 1},
		"spread-machine": {Apart: "machine", AtMost: 1}, "spread-rack": {Apart: "rack", AtMost: 2}, "spread-zone": {Apart: "zone", AtMost: 2}}}
	for seed := range uint64(60) {
		if seed == 40 {
			config.Slack = 0 // the default from here on
		}
		report := audit.Check(config, events(rand.New(rand.NewPCG(41, seed))))
		for _, v := range report.Violations {
			r.Integers(int64(v.Rule))
			r.Floats(v.At)
			r.Texts(v.Text)
		}
		var byRule [6]int
		for _, v := range report.Violations {
			byRule[v.Rule]++
		}
		outcomes, _ := json.Marshal(report.Outcomes)
		ends, _ := json.Marshal(report.Ends)
		r.Line("seed %d: %v, %d, %d, %s, %d, %d, %d, %d, %s, %d", seed, byRule, report.Events, report.Tasks, outcomes, report.Forgotten,
			report.Offers, report.Refusals, report.Starts, ends, report.Crashes)
		r.Checkpoint(fmt.Sprintf("seed %d", seed))
	}
	r.Check(t, "verdicts")
}

var kinds = []string{"up", "offer", "accept", "refuse", "hangup", "start", "end", "seal", "crash", "fall", "listed-ready", "listed-draining",
	"listed-gone", "cut-off", "cut-over", "told", "undrained", "asked", "settled", "withdrawn", "killed"}

// common are the kinds that are drawn more often.
var common = []string{"offer", "offer", "offer", "accept", "accept", "refuse", "hangup", "start", "end", "asked", "settled"}

func events(rng *rand.Rand) []audit.Event {
	classes := []string{"once", "web", "keyed-machine", "keyed-rack", "keyed-zone", "keyed-all", "spread-machine", "spread-rack", "spread-zone"}
	var out []audit.Event
	at := 100.0
	for range 300 {
		at += rng.ExpFloat64() * 0.2
		node, task, scheduler := rng.IntN(6), rng.IntN(25), rng.IntN(2)
		ev := audit.Event{At: at, What: kinds[rng.IntN(len(kinds))], Node: fmt.Sprintf("node-%d", node), Rack: fmt.Sprintf("rack-%d", node%3),
			Zone: fmt.Sprintf("zone-%d", node%2), UID: fmt.Sprintf("task-%d", task), Class: classes[task%len(classes)],
			Service: fmt.Sprintf("service-%d", task%4), Scheduler: fmt.Sprintf("scheduler-%d", scheduler), Attempt: 1 + rng.IntN(3)}
		if rng.IntN(4) > 0 {
			ev.What = common[rng.IntN(len(common))]
		}
		switch ev.What {
		case "asked":
			ev.GiveUp = at + 8*rng.Float64()
		case "settled":
			ev.Reason = []string{"Placed", "Refused", "Failed"}[rng.IntN(3)]
		case "end":
			ev.Reason = []string{"", "Evicted", audit.NeverRan}[rng.IntN(3)]
		}
		out = append(out, ev)
	}
	return out
}
