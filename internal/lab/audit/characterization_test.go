package audit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// TestCharacterizeVerdicts pins the auditor's violations and counts over seeded events, most of which break rules. Regenerate the golden
// file with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.
func TestCharacterizeVerdicts(t *testing.T) {
	recorder := goldentest.NewRecorder()
	config := Config{
		DrainGrace: 0.5,
		Slack:      0.1,
		Classes: map[string]Class{
			"once":          {AtMostOnce: true},
			"web":           {},
			"keyed-node":    {Idempotent: true, DedupDomain: NodeDomain, DedupWindow: 5},
			"keyed-rack":    {Idempotent: true, DedupDomain: RackDomain, DedupWindow: 3},
			"keyed-zone":    {Idempotent: true, DedupDomain: ZoneDomain, DedupWindow: 2},
			"keyed-cluster": {Idempotent: true, DedupDomain: ClusterDomain, DedupWindow: 1},
			"spread-node":   {SpreadDomain: NodeDomain, MaxPerDomain: 1},
			"spread-rack":   {SpreadDomain: RackDomain, MaxPerDomain: 2},
			"spread-zone":   {SpreadDomain: ZoneDomain, MaxPerDomain: 2},
		},
	}
	for seed := range uint64(60) {
		if seed == 40 {
			config.Slack = 0 // the default from here on
		}
		report := checked(t, config, randomEvents(rand.New(rand.NewPCG(41, seed))))
		for _, violation := range report.Violations {
			recorder.Integers(int64(violation.Rule))
			recorder.Floats(float64(violation.At))
			recorder.Texts(violation.Text)
		}
		var byRule [6]int
		for _, violation := range report.Violations {
			byRule[violation.Rule]++
		}
		outcomes, _ := json.Marshal(report.Outcomes)
		ends, _ := json.Marshal(report.Ends)
		recorder.Line("seed %d: %v, %d, %d, %s, %d, %d, %d, %d, %s, %d", seed, byRule, report.Events, report.Tasks, outcomes, report.WithoutOutcome,
			report.Attempts, report.Rejections, report.Starts, ends, report.Crashes)
		recorder.Checkpoint(fmt.Sprintf("seed %d", seed))
	}
	recorder.Check(t, "verdicts")
}

var kinds = []EventKind{"up", "offer", "accept", "refuse", "hangup", "start", "end", "seal", "crash", "fall", "listed-ready", "listed-draining",
	"listed-gone", "cut-off", "cut-over", "told", "undrained", "asked", "settled", "withdrawn", "killed"}

// commonKinds are the kinds that are drawn more often.
var commonKinds = []EventKind{"offer", "offer", "offer", "accept", "accept", "refuse", "hangup", "start", "end", "asked", "settled"}

func randomEvents(rng *rand.Rand) []Event {
	classes := []string{"once", "web", "keyed-node", "keyed-rack", "keyed-zone", "keyed-cluster", "spread-node", "spread-rack", "spread-zone"}
	var events []Event
	at := placer.Seconds(100)
	for range 300 {
		at += placer.Seconds(rng.ExpFloat64() * 0.2)
		node, task, scheduler := rng.IntN(6), rng.IntN(25), rng.IntN(2)
		event := Event{At: at, Kind: kinds[rng.IntN(len(kinds))], Node: fmt.Sprintf("node-%d", node), Rack: fmt.Sprintf("rack-%d", node%3),
			Zone: fmt.Sprintf("zone-%d", node%2), UID: fmt.Sprintf("task-%d", task), Class: classes[task%len(classes)],
			Service: fmt.Sprintf("service-%d", task%4), Scheduler: fmt.Sprintf("scheduler-%d", scheduler), Attempt: 1 + rng.IntN(3)}
		if rng.IntN(4) > 0 {
			event.Kind = commonKinds[rng.IntN(len(commonKinds))]
		}
		switch event.Kind {
		case "asked":
			event.Deadline = at + placer.Seconds(8*rng.Float64())
		case "settled":
			event.Reason = []string{"Placed", "Refused", "Failed"}[rng.IntN(3)]
		case "end":
			event.Reason = []string{"", "Evicted", NeverRan}[rng.IntN(3)]
		}
		events = append(events, event)
	}
	return events
}
