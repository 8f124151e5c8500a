package audit

import (
	"strings"
	"testing"
)

var rules = Config{DrainGrace: 0.5, Slack: 0.1, Classes: map[string]Class{"once": {AtMostOnce: true}, "web": {},
	"keyed": {Idempotent: true, KeyScope: "rack", KeyTTL: 5}, "spread": {SpreadBy: "rack", MaxPerDomain: 2}}}

func received(at float64, node, uid string, attempt int, class string) Event {
	return Event{At: at, Kind: AttemptReceived, Node: node, Rack: "rack-" + node[:1], UID: uid, Attempt: attempt, Class: class, Service: "s", Scheduler: "a"}
}

func nodeEvent(at float64, kind, node, uid string, attempt int) Event {
	return Event{At: at, Kind: kind, Node: node, UID: uid, Attempt: attempt}
}

// Each plants one violation beside what is legal; the auditor must name its rule, and only that.
func TestPlantedViolations(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []Event
		rule   int
		words  string
	}{
		{"all in order", []Event{{At: 1, Kind: Submitted, UID: "t", Deadline: 9}, received(1, "a1", "t", 1, "once"), nodeEvent(1.1, Rejected, "a1", "t", 1),
			received(1.2, "a2", "t", 2, "once"), nodeEvent(1.3, Accepted, "a2", "t", 2), nodeEvent(1.4, Started, "a2", "t", 2),
			{At: 1.5, Kind: Settled, UID: "t", Reason: "Placed"}}, 0, ""},
		{"no outcome", []Event{{At: 1, Kind: Submitted, UID: "t", Deadline: 9}, {At: 20, Kind: DiscoveryRestored}}, 1, "no outcome"},
		{"no outcome, scheduler killed", []Event{{At: 1, Kind: Submitted, UID: "t", Scheduler: "a", Deadline: 9},
			{At: 2, Kind: Killed, Scheduler: "a"}, {At: 20, Kind: DiscoveryRestored}}, 0, ""},
		{"late outcome", []Event{{At: 1, Kind: Submitted, UID: "t", Deadline: 9}, {At: 9.2, Kind: Settled, UID: "t", Reason: "Refused"}}, 1, "after its owner"},
		{"two outcomes", []Event{{At: 1, Kind: Settled, UID: "t", Reason: "Placed"}, {At: 2, Kind: Settled, UID: "t", Reason: "Failed"}}, 1, "is now"},
		{"outcome twice", []Event{{At: 1, Kind: Settled, UID: "t", Reason: "Placed"}, {At: 2, Kind: Settled, UID: "t", Reason: "Placed"}}, 1, "twice"},
		{"once after doubt", []Event{received(1, "a1", "t", 1, "once"), nodeEvent(2, Abandoned, "a1", "t", 1), received(3, "a2", "t", 2, "once")}, 2, "may have run"},
		{"once after a seal", []Event{received(1, "a1", "t", 1, "once"), nodeEvent(2, Abandoned, "a1", "t", 1), nodeEvent(2.5, Fenced, "a1", "t", 1),
			received(3, "a2", "t", 2, "once")}, 0, ""},
		{"once started twice", []Event{received(1, "a1", "t", 1, "once"), nodeEvent(1.1, Accepted, "a1", "t", 1), nodeEvent(1.2, Started, "a1", "t", 1),
			nodeEvent(1.3, Started, "a1", "t", 1)}, 2, "started 2 times"},
		{"two out at once", []Event{received(1, "a1", "t", 1, "web"), received(2, "a2", "t", 2, "web"), nodeEvent(3, Rejected, "a1", "t", 1),
			nodeEvent(3, Rejected, "a2", "t", 2)}, 2, "was out"},
		{"keyed elsewhere", []Event{received(1, "a1", "t", 1, "keyed"), nodeEvent(2, Abandoned, "a1", "t", 1), received(3, "b1", "t", 2, "keyed"),
			nodeEvent(4, Accepted, "b1", "t", 2)}, 2, "key covers"},
		{"keyed in its group", []Event{received(1, "a1", "t", 1, "keyed"), nodeEvent(2, Abandoned, "a1", "t", 1), received(3, "a2", "t", 2, "keyed"),
			nodeEvent(4, Accepted, "a2", "t", 2)}, 0, ""},
		{"keyed too late", []Event{received(1, "a1", "t", 1, "keyed"), nodeEvent(2, Abandoned, "a1", "t", 1), received(7, "a2", "t", 2, "keyed"),
			nodeEvent(8, Accepted, "a2", "t", 2)}, 2, "key covers"},
		{"repeated at the machine, then shown never to have run", []Event{received(1, "a1", "t", 1, "keyed"), nodeEvent(1.1, Accepted, "a1", "t", 1),
			nodeEvent(1.2, Abandoned, "a1", "t", 1), received(1.3, "a1", "t", 2, "keyed"), nodeEvent(1.4, Abandoned, "a1", "t", 2),
			{At: 2, Kind: Ended, Node: "a1", UID: "t", Attempt: 1, Reason: NeverRan}, received(9, "b1", "t", 3, "keyed"), nodeEvent(9.1, Accepted, "b1", "t", 3)}, 0, ""},
		{"drained by the list", []Event{nodeEvent(1, ListedDraining, "a1", "", 0), received(1.7, "a1", "t", 1, "web"), nodeEvent(2, Rejected, "a1", "t", 1)}, 3, "draining"},
		{"drained, within the grace", []Event{nodeEvent(1, ListedDraining, "a1", "", 0), received(1.4, "a1", "t", 1, "web"), nodeEvent(2, Rejected, "a1", "t", 1)}, 0, ""},
		{"drained while cut off", []Event{{At: 0.5, Kind: DiscoveryLost}, nodeEvent(1, ListedUnavailable, "a1", "", 0), received(3, "a1", "t", 1, "web"),
			nodeEvent(3.1, Rejected, "a1", "t", 1)}, 0, ""},
		{"drained by order", []Event{{At: 1, Kind: DrainOrdered, Scheduler: "a", Node: "a1"}, received(1.7, "a1", "t", 1, "web"), nodeEvent(2, Rejected, "a1", "t", 1)}, 3, "ordered"},
		{"pushed over", []Event{nodeEvent(1, Overloaded, "a1", "", 0)}, 4, "cold"},
		{"crowded", []Event{received(1, "a1", "t", 1, "spread"), nodeEvent(1.1, Accepted, "a1", "t", 1), received(2, "a2", "u", 1, "spread"),
			nodeEvent(2.1, Accepted, "a2", "u", 1), received(3, "a1", "v", 1, "spread"), nodeEvent(3.1, Accepted, "a1", "v", 1)}, 5, "3 tasks"},
		{"spread again after an end", []Event{received(1, "a1", "t", 1, "spread"), nodeEvent(1.1, Accepted, "a1", "t", 1), received(2, "a2", "u", 1, "spread"),
			nodeEvent(2.1, Accepted, "a2", "u", 1), nodeEvent(2.5, Ended, "a1", "t", 1), received(3, "a1", "v", 1, "spread"), nodeEvent(3.1, Accepted, "a1", "v", 1)}, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := Check(rules, test.events)
			switch {
			case test.rule == 0 && len(report.Violations) > 0:
				t.Fatalf("found %v in what is legal", report.Violations)
			case test.rule > 0 && (len(report.Violations) != 1 || report.Violations[0].Rule != test.rule || !strings.Contains(report.Violations[0].Text, test.words)):
				t.Fatalf("found %v, want one of rule %d with %q", report.Violations, test.rule, test.words)
			}
		})
	}
}
