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
		rule   Rule    // 0 if there is no violation
		words  string  // in the text of the violation
		events []Event // the node's next event about an attempt is on the line of its receipt
	}{
		{"no violation", 0, "", []Event{
			{At: 1, Kind: Submitted, UID: "t", Deadline: 9},
			received(1, "a1", "t", 1, "once"), nodeEvent(1.1, Rejected, "a1", "t", 1),
			received(1.2, "a2", "t", 2, "once"), nodeEvent(1.3, Accepted, "a2", "t", 2),
			nodeEvent(1.4, Started, "a2", "t", 2),
			{At: 1.5, Kind: Settled, UID: "t", Reason: "Placed"},
		}},
		{"no outcome", 1, "no outcome", []Event{
			{At: 1, Kind: Submitted, UID: "t", Deadline: 9},
			{At: 20, Kind: DiscoveryRestored},
		}},
		{"no outcome, scheduler killed", 0, "", []Event{
			{At: 1, Kind: Submitted, UID: "t", Scheduler: "a", Deadline: 9},
			{At: 2, Kind: Killed, Scheduler: "a"},
			{At: 20, Kind: DiscoveryRestored},
		}},
		{"late outcome", 1, "after its deadline", []Event{
			{At: 1, Kind: Submitted, UID: "t", Deadline: 9},
			{At: 9.2, Kind: Settled, UID: "t", Reason: "Refused"},
		}},
		{"two outcomes", 1, "is now", []Event{
			{At: 1, Kind: Settled, UID: "t", Reason: "Placed"},
			{At: 2, Kind: Settled, UID: "t", Reason: "Failed"},
		}},
		{"outcome twice", 1, "twice", []Event{
			{At: 1, Kind: Settled, UID: "t", Reason: "Placed"},
			{At: 2, Kind: Settled, UID: "t", Reason: "Placed"},
		}},
		{"at most once, after an unknown outcome", 2, "may have run", []Event{
			received(1, "a1", "t", 1, "once"), nodeEvent(2, Abandoned, "a1", "t", 1),
			received(3, "a2", "t", 2, "once"),
		}},
		{"at most once, after a fence", 0, "", []Event{
			received(1, "a1", "t", 1, "once"), nodeEvent(2, Abandoned, "a1", "t", 1),
			nodeEvent(2.5, Fenced, "a1", "t", 1),
			received(3, "a2", "t", 2, "once"),
		}},
		{"at most once, started twice", 2, "started 2 times", []Event{
			received(1, "a1", "t", 1, "once"), nodeEvent(1.1, Accepted, "a1", "t", 1),
			nodeEvent(1.2, Started, "a1", "t", 1),
			nodeEvent(1.3, Started, "a1", "t", 1),
		}},
		{"two attempts in flight", 2, "was in flight", []Event{
			received(1, "a1", "t", 1, "web"),
			received(2, "a2", "t", 2, "web"),
			nodeEvent(3, Rejected, "a1", "t", 1),
			nodeEvent(3, Rejected, "a2", "t", 2),
		}},
		{"idempotent, outside the scope of its key", 2, "scope of its idempotency key", []Event{
			received(1, "a1", "t", 1, "keyed"), nodeEvent(2, Abandoned, "a1", "t", 1),
			received(3, "b1", "t", 2, "keyed"), nodeEvent(4, Accepted, "b1", "t", 2),
		}},
		{"idempotent, in the scope of its key", 0, "", []Event{
			received(1, "a1", "t", 1, "keyed"), nodeEvent(2, Abandoned, "a1", "t", 1),
			received(3, "a2", "t", 2, "keyed"), nodeEvent(4, Accepted, "a2", "t", 2),
		}},
		{"idempotent, after its key expired", 2, "scope of its idempotency key", []Event{
			received(1, "a1", "t", 1, "keyed"), nodeEvent(2, Abandoned, "a1", "t", 1),
			received(7, "a2", "t", 2, "keyed"), nodeEvent(8, Accepted, "a2", "t", 2),
		}},
		{"repeated at its node, then proven not to have run", 0, "", []Event{
			received(1, "a1", "t", 1, "keyed"), nodeEvent(1.1, Accepted, "a1", "t", 1),
			nodeEvent(1.2, Abandoned, "a1", "t", 1),
			received(1.3, "a1", "t", 2, "keyed"), nodeEvent(1.4, Abandoned, "a1", "t", 2),
			{At: 2, Kind: Ended, Node: "a1", UID: "t", Attempt: 1, Reason: NeverRan},
			received(9, "b1", "t", 3, "keyed"), nodeEvent(9.1, Accepted, "b1", "t", 3),
		}},
		{"draining by the inventory", 3, "draining", []Event{
			nodeEvent(1, ListedDraining, "a1", "", 0),
			received(1.7, "a1", "t", 1, "web"), nodeEvent(2, Rejected, "a1", "t", 1),
		}},
		{"draining by the inventory, within the grace", 0, "", []Event{
			nodeEvent(1, ListedDraining, "a1", "", 0),
			received(1.4, "a1", "t", 1, "web"), nodeEvent(2, Rejected, "a1", "t", 1),
		}},
		{"removed while the inventory is unreachable", 0, "", []Event{
			{At: 0.5, Kind: DiscoveryLost},
			nodeEvent(1, ListedUnavailable, "a1", "", 0),
			received(3, "a1", "t", 1, "web"), nodeEvent(3.1, Rejected, "a1", "t", 1),
		}},
		{"draining by order", 3, "ordered", []Event{
			{At: 1, Kind: DrainOrdered, Scheduler: "a", Node: "a1"},
			received(1.7, "a1", "t", 1, "web"), nodeEvent(2, Rejected, "a1", "t", 1),
		}},
		{"overloaded while warming up", 4, "overloaded while warming up", []Event{nodeEvent(1, Overloaded, "a1", "", 0)}},
		{"too many in one domain", 5, "3 tasks", []Event{
			received(1, "a1", "t", 1, "spread"), nodeEvent(1.1, Accepted, "a1", "t", 1),
			received(2, "a2", "u", 1, "spread"), nodeEvent(2.1, Accepted, "a2", "u", 1),
			received(3, "a1", "v", 1, "spread"), nodeEvent(3.1, Accepted, "a1", "v", 1),
		}},
		{"one more in a domain after an end", 0, "", []Event{
			received(1, "a1", "t", 1, "spread"), nodeEvent(1.1, Accepted, "a1", "t", 1),
			received(2, "a2", "u", 1, "spread"), nodeEvent(2.1, Accepted, "a2", "u", 1),
			nodeEvent(2.5, Ended, "a1", "t", 1),
			received(3, "a1", "v", 1, "spread"), nodeEvent(3.1, Accepted, "a1", "v", 1),
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := checked(t, rules, test.events)
			found := report.Violations
			if test.rule == 0 {
				if len(found) > 0 {
					t.Fatalf("found %v, want none", found)
				}
				return
			}
			if len(found) != 1 || found[0].Rule != test.rule || !strings.Contains(found[0].Text, test.words) {
				t.Fatalf("found %v, want one of rule %d with %q", found, test.rule, test.words)
			}
		})
	}
}
