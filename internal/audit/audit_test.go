package audit

import (
	"strings"
	"testing"
)

var rules = Config{DrainGrace: 0.5, Slack: 0.1, Classes: map[string]Class{"once": {Once: true}, "web": {},
	"keyed": {Keyed: true, Group: "rack", TTL: 5}, "spread": {Apart: "rack", AtMost: 2}}}

func offered(at float64, node, uid string, attempt int, class string) Event {
	return Event{At: at, What: Offered, Node: node, Rack: "rack-" + node[:1], UID: uid, Attempt: attempt, Class: class, Service: "s", Scheduler: "a"}
}

func at(at float64, what, node, uid string, attempt int) Event {
	return Event{At: at, What: what, Node: node, UID: uid, Attempt: attempt}
}

// Each plants one violation beside what is legal; the auditor must name its rule, and only that.
func TestPlantedViolations(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		rule   int
		words  string
	}{
		{"all in order", []Event{{At: 1, What: Asked, UID: "t", GiveUp: 9}, offered(1, "a1", "t", 1, "once"), at(1.1, Refused, "a1", "t", 1),
			offered(1.2, "a2", "t", 2, "once"), at(1.3, Accepted, "a2", "t", 2), at(1.4, Started, "a2", "t", 2),
			{At: 1.5, What: Settled, UID: "t", Reason: "Placed"}}, 0, ""},
		{"no outcome", []Event{{At: 1, What: Asked, UID: "t", GiveUp: 9}, {At: 20, What: CutOver}}, 1, "no outcome"},
		{"no outcome, scheduler killed", []Event{{At: 1, What: Asked, UID: "t", Scheduler: "a", GiveUp: 9},
			{At: 2, What: Killed, Scheduler: "a"}, {At: 20, What: CutOver}}, 0, ""},
		{"late outcome", []Event{{At: 1, What: Asked, UID: "t", GiveUp: 9}, {At: 9.2, What: Settled, UID: "t", Reason: "Refused"}}, 1, "after its owner"},
		{"two outcomes", []Event{{At: 1, What: Settled, UID: "t", Reason: "Placed"}, {At: 2, What: Settled, UID: "t", Reason: "Failed"}}, 1, "is now"},
		{"outcome twice", []Event{{At: 1, What: Settled, UID: "t", Reason: "Placed"}, {At: 2, What: Settled, UID: "t", Reason: "Placed"}}, 1, "twice"},
		{"once after doubt", []Event{offered(1, "a1", "t", 1, "once"), at(2, HungUp, "a1", "t", 1), offered(3, "a2", "t", 2, "once")}, 2, "may have run"},
		{"once after a seal", []Event{offered(1, "a1", "t", 1, "once"), at(2, HungUp, "a1", "t", 1), at(2.5, Sealed, "a1", "t", 1),
			offered(3, "a2", "t", 2, "once")}, 0, ""},
		{"once started twice", []Event{offered(1, "a1", "t", 1, "once"), at(1.1, Accepted, "a1", "t", 1), at(1.2, Started, "a1", "t", 1),
			at(1.3, Started, "a1", "t", 1)}, 2, "started 2 times"},
		{"two out at once", []Event{offered(1, "a1", "t", 1, "web"), offered(2, "a2", "t", 2, "web"), at(3, Refused, "a1", "t", 1),
			at(3, Refused, "a2", "t", 2)}, 2, "was out"},
		{"keyed elsewhere", []Event{offered(1, "a1", "t", 1, "keyed"), at(2, HungUp, "a1", "t", 1), offered(3, "b1", "t", 2, "keyed"),
			at(4, Accepted, "b1", "t", 2)}, 2, "key covers"},
		{"keyed in its group", []Event{offered(1, "a1", "t", 1, "keyed"), at(2, HungUp, "a1", "t", 1), offered(3, "a2", "t", 2, "keyed"),
			at(4, Accepted, "a2", "t", 2)}, 0, ""},
		{"keyed too late", []Event{offered(1, "a1", "t", 1, "keyed"), at(2, HungUp, "a1", "t", 1), offered(7, "a2", "t", 2, "keyed"),
			at(8, Accepted, "a2", "t", 2)}, 2, "key covers"},
		{"repeated at the machine, then shown never to have run", []Event{offered(1, "a1", "t", 1, "keyed"), at(1.1, Accepted, "a1", "t", 1),
			at(1.2, HungUp, "a1", "t", 1), offered(1.3, "a1", "t", 2, "keyed"), at(1.4, HungUp, "a1", "t", 2),
			{At: 2, What: Ended, Node: "a1", UID: "t", Attempt: 1, Reason: NeverRan}, offered(9, "b1", "t", 3, "keyed"), at(9.1, Accepted, "b1", "t", 3)}, 0, ""},
		{"drained by the list", []Event{at(1, ListedDraining, "a1", "", 0), offered(1.7, "a1", "t", 1, "web"), at(2, Refused, "a1", "t", 1)}, 3, "draining"},
		{"drained, within the grace", []Event{at(1, ListedDraining, "a1", "", 0), offered(1.4, "a1", "t", 1, "web"), at(2, Refused, "a1", "t", 1)}, 0, ""},
		{"drained while cut off", []Event{{At: 0.5, What: CutOff}, at(1, ListedGone, "a1", "", 0), offered(3, "a1", "t", 1, "web"),
			at(3.1, Refused, "a1", "t", 1)}, 0, ""},
		{"drained by order", []Event{{At: 1, What: Told, Scheduler: "a", Node: "a1"}, offered(1.7, "a1", "t", 1, "web"), at(2, Refused, "a1", "t", 1)}, 3, "ordered"},
		{"pushed over", []Event{at(1, Fell, "a1", "", 0)}, 4, "cold"},
		{"crowded", []Event{offered(1, "a1", "t", 1, "spread"), at(1.1, Accepted, "a1", "t", 1), offered(2, "a2", "u", 1, "spread"),
			at(2.1, Accepted, "a2", "u", 1), offered(3, "a1", "v", 1, "spread"), at(3.1, Accepted, "a1", "v", 1)}, 5, "3 tasks"},
		{"spread again after an end", []Event{offered(1, "a1", "t", 1, "spread"), at(1.1, Accepted, "a1", "t", 1), offered(2, "a2", "u", 1, "spread"),
			at(2.1, Accepted, "a2", "u", 1), at(2.5, Ended, "a1", "t", 1), offered(3, "a1", "v", 1, "spread"), at(3.1, Accepted, "a1", "v", 1)}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Check(rules, c.events)
			switch {
			case c.rule == 0 && len(r.Violations) > 0:
				t.Fatalf("found %v in what is legal", r.Violations)
			case c.rule > 0 && (len(r.Violations) != 1 || r.Violations[0].Rule != c.rule || !strings.Contains(r.Violations[0].Text, c.words)):
				t.Fatalf("found %v, want one of rule %d with %q", r.Violations, c.rule, c.words)
			}
		})
	}
}
