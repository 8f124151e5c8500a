package audit

import (
	"strings"
	"testing"

	"heathshed/placer"
)

var rules = Config{
	DrainGrace: 0.5,
	Slack:      0.1,
	Classes: map[string]Class{
		"web":    {},
		"once":   {AtMostOnce: true},
		"keyed":  {Idempotent: true, DedupDomain: RackDomain, DedupWindow: 5},
		"spread": {SpreadDomain: RackDomain, MaxPerDomain: 2},
	},
}

func received(at placer.Seconds, node, uid string, attempt int, class string) Event {
	return Event{At: at, Kind: AttemptReceived, Node: node, Rack: "rack-" + node[:1], UID: uid, Attempt: attempt, Class: class,
		Service: "s", Scheduler: "a"}
}

func nodeEvent(at placer.Seconds, kind EventKind, node, uid string, attempt int) Event {
	return Event{At: at, Kind: kind, Node: node, UID: uid, Attempt: attempt}
}

// checked audits events, and fails the test if the auditor's invariants are violated.
func checked(t *testing.T, config Config, events []Event) Report {
	t.Helper()
	auditor := auditEvents(config, events)
	if err := auditor.checkInvariants(); err != nil {
		t.Error(err)
	}
	return auditor.report
}

// TestPlantedViolations checks that the auditor finds the one violation among legal events, by its rule, and finds none without.
func TestPlantedViolations(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []Event
		rule   Rule   // 0 if there is no violation
		words  string // in the text of the violation
	}{
		{
			name: "no violation",
			events: []Event{
				{At: 1, Kind: Submitted, UID: "t", Deadline: 9},
				received(1, "a1", "t", 1, "once"),
				nodeEvent(1.1, Rejected, "a1", "t", 1),
				received(1.2, "a2", "t", 2, "once"),
				nodeEvent(1.3, Accepted, "a2", "t", 2),
				nodeEvent(1.4, Started, "a2", "t", 2),
				{At: 1.5, Kind: Settled, UID: "t", Reason: "Placed"},
			},
		},
		{
			name: "no outcome",
			events: []Event{
				{At: 1, Kind: Submitted, UID: "t", Deadline: 9},
				{At: 20, Kind: DiscoveryRestored},
			},
			rule:  1,
			words: "no outcome",
		},
		{
			name: "no outcome, scheduler killed",
			events: []Event{
				{At: 1, Kind: Submitted, UID: "t", Scheduler: "a", Deadline: 9},
				{At: 2, Kind: Killed, Scheduler: "a"},
				{At: 20, Kind: DiscoveryRestored},
			},
		},
		{
			name: "late outcome",
			events: []Event{
				{At: 1, Kind: Submitted, UID: "t", Deadline: 9},
				{At: 9.2, Kind: Settled, UID: "t", Reason: "Refused"},
			},
			rule:  1,
			words: "after its deadline",
		},
		{
			name: "two outcomes",
			events: []Event{
				{At: 1, Kind: Settled, UID: "t", Reason: "Placed"},
				{At: 2, Kind: Settled, UID: "t", Reason: "Failed"},
			},
			rule:  1,
			words: "is now",
		},
		{
			name: "outcome twice",
			events: []Event{
				{At: 1, Kind: Settled, UID: "t", Reason: "Placed"},
				{At: 2, Kind: Settled, UID: "t", Reason: "Placed"},
			},
			rule:  1,
			words: "twice",
		},
		{
			name: "at most once, after an unknown outcome",
			events: []Event{
				received(1, "a1", "t", 1, "once"),
				nodeEvent(2, Abandoned, "a1", "t", 1),
				received(3, "a2", "t", 2, "once"),
			},
			rule:  2,
			words: "may have run",
		},
		{
			name: "at most once, after a fence",
			events: []Event{
				received(1, "a1", "t", 1, "once"),
				nodeEvent(2, Abandoned, "a1", "t", 1),
				nodeEvent(2.5, Fenced, "a1", "t", 1),
				received(3, "a2", "t", 2, "once"),
			},
		},
		{
			name: "at most once, started twice",
			events: []Event{
				received(1, "a1", "t", 1, "once"),
				nodeEvent(1.1, Accepted, "a1", "t", 1),
				nodeEvent(1.2, Started, "a1", "t", 1),
				nodeEvent(1.3, Started, "a1", "t", 1),
			},
			rule:  2,
			words: "started 2 times",
		},
		{
			name: "two attempts in flight",
			events: []Event{
				received(1, "a1", "t", 1, "web"),
				received(2, "a2", "t", 2, "web"),
				nodeEvent(3, Rejected, "a1", "t", 1),
				nodeEvent(3, Rejected, "a2", "t", 2),
			},
			rule:  2,
			words: "was in flight",
		},
		{
			name: "idempotent, outside the scope of its key",
			events: []Event{
				received(1, "a1", "t", 1, "keyed"),
				nodeEvent(2, Abandoned, "a1", "t", 1),
				received(3, "b1", "t", 2, "keyed"),
				nodeEvent(4, Accepted, "b1", "t", 2),
			},
			rule:  2,
			words: "scope of its idempotency key",
		},
		{
			name: "idempotent, in the scope of its key",
			events: []Event{
				received(1, "a1", "t", 1, "keyed"),
				nodeEvent(2, Abandoned, "a1", "t", 1),
				received(3, "a2", "t", 2, "keyed"),
				nodeEvent(4, Accepted, "a2", "t", 2),
			},
		},
		{
			name: "idempotent, after its key expired",
			events: []Event{
				received(1, "a1", "t", 1, "keyed"),
				nodeEvent(2, Abandoned, "a1", "t", 1),
				received(7, "a2", "t", 2, "keyed"),
				nodeEvent(8, Accepted, "a2", "t", 2),
			},
			rule:  2,
			words: "scope of its idempotency key",
		},
		{
			name: "repeated at its node, then proven not to have run",
			events: []Event{
				received(1, "a1", "t", 1, "keyed"),
				nodeEvent(1.1, Accepted, "a1", "t", 1),
				nodeEvent(1.2, Abandoned, "a1", "t", 1),
				received(1.3, "a1", "t", 2, "keyed"),
				nodeEvent(1.4, Abandoned, "a1", "t", 2),
				{At: 2, Kind: Ended, Node: "a1", UID: "t", Attempt: 1, Reason: NeverRan},
				received(9, "b1", "t", 3, "keyed"),
				nodeEvent(9.1, Accepted, "b1", "t", 3),
			},
		},
		{
			name: "draining by the inventory",
			events: []Event{
				nodeEvent(1, ListedDraining, "a1", "", 0),
				received(1.7, "a1", "t", 1, "web"),
				nodeEvent(2, Rejected, "a1", "t", 1),
			},
			rule:  3,
			words: "draining",
		},
		{
			name: "draining by the inventory, within the grace",
			events: []Event{
				nodeEvent(1, ListedDraining, "a1", "", 0),
				received(1.4, "a1", "t", 1, "web"),
				nodeEvent(2, Rejected, "a1", "t", 1),
			},
		},
		{
			name: "removed while the inventory is unreachable",
			events: []Event{
				{At: 0.5, Kind: DiscoveryLost},
				nodeEvent(1, ListedUnavailable, "a1", "", 0),
				received(3, "a1", "t", 1, "web"),
				nodeEvent(3.1, Rejected, "a1", "t", 1),
			},
		},
		{
			name: "draining by order",
			events: []Event{
				{At: 1, Kind: DrainOrdered, Scheduler: "a", Node: "a1"},
				received(1.7, "a1", "t", 1, "web"),
				nodeEvent(2, Rejected, "a1", "t", 1),
			},
			rule:  3,
			words: "ordered",
		},
		{
			name: "overloaded while warming up",
			events: []Event{
				nodeEvent(1, Overloaded, "a1", "", 0),
			},
			rule:  4,
			words: "overloaded while warming up",
		},
		{
			name: "too many in one domain",
			events: []Event{
				received(1, "a1", "t", 1, "spread"),
				nodeEvent(1.1, Accepted, "a1", "t", 1),
				received(2, "a2", "u", 1, "spread"),
				nodeEvent(2.1, Accepted, "a2", "u", 1),
				received(3, "a1", "v", 1, "spread"),
				nodeEvent(3.1, Accepted, "a1", "v", 1),
			},
			rule:  5,
			words: "3 tasks",
		},
		{
			name: "room in a domain after an end",
			events: []Event{
				received(1, "a1", "t", 1, "spread"),
				nodeEvent(1.1, Accepted, "a1", "t", 1),
				received(2, "a2", "u", 1, "spread"),
				nodeEvent(2.1, Accepted, "a2", "u", 1),
				nodeEvent(2.5, Ended, "a1", "t", 1),
				received(3, "a1", "v", 1, "spread"),
				nodeEvent(3.1, Accepted, "a1", "v", 1),
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := checked(t, rules, test.events)
			if test.rule == 0 {
				if len(report.Violations) > 0 {
					t.Fatalf("found %v, want none", report.Violations)
				}
				return
			}
			if len(report.Violations) != 1 {
				t.Fatalf("found %v, want one of rule %d with %q", report.Violations, test.rule, test.words)
			}
			if found := report.Violations[0]; found.Rule != test.rule || !strings.Contains(found.Text, test.words) {
				t.Fatalf("found %v, want one of rule %d with %q", found, test.rule, test.words)
			}
		})
	}
}
