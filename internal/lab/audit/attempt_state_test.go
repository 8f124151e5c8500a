package audit

import (
	"slices"
	"testing"

	"heathshed/placer"
)

// TestAttemptStates leads one attempt through the events of its node, and checks its state and what follows from it for the rules.
func TestAttemptStates(t *testing.T) {
	const node, uid = "a1", "t"
	killed := Event{Kind: Killed, Scheduler: "a"}
	neverRan := Event{Kind: Ended, Node: node, UID: uid, Attempt: 1, Reason: NeverRan}
	event := func(kind EventKind) Event { return nodeEvent(0, kind, node, uid, 1) }
	for _, test := range []struct {
		name         string
		events       []Event // after the receipt
		want         attemptState
		provenNotRun bool
		occupies     bool
	}{
		{"no answer yet", nil, attemptReceived, false, true},
		{"connection closed before the answer", []Event{event(Abandoned)}, attemptReceived, false, false},
		{"accepted", []Event{event(Accepted)}, attemptAccepted, false, true},
		{"accepted, scheduler killed", []Event{event(Accepted), killed}, attemptAccepted, false, false},
		{"accepted, then the connection closed", []Event{event(Accepted), event(Abandoned)}, attemptAccepted, false, false},
		{"accepted, then a repeat rejected", []Event{event(Accepted), event(Rejected)}, attemptAccepted, false, true},
		{"accepted, then a fence", []Event{event(Accepted), event(Fenced)}, attemptAccepted, false, true},
		{"accepted and ended", []Event{event(Accepted), event(Ended)}, attemptEnded, false, false},
		{"accepted, node crashed", []Event{event(Accepted), event(Crashed)}, attemptEnded, false, false},
		{"accepted, ended without a run", []Event{event(Accepted), neverRan}, attemptNeverRan, true, false},
		{"rejected", []Event{event(Rejected)}, attemptRejected, true, false},
		{"rejected, node crashed", []Event{event(Rejected), event(Crashed)}, attemptRejected, true, false},
		{"fenced", []Event{event(Fenced)}, attemptFenced, true, false},
		{"connection closed, then a fence", []Event{event(Abandoned), event(Fenced)}, attemptFenced, true, false},
		{"fenced, then rejected", []Event{event(Fenced), event(Rejected)}, attemptFenced, true, false},
		{"node crashed before the answer", []Event{event(Crashed)}, attemptLost, false, false},
		{"node overloaded before the answer", []Event{event(Overloaded)}, attemptLost, false, false},
		{"node crashed, then a fence", []Event{event(Crashed), event(Fenced)}, attemptFenced, true, false},
		{"node crashed, then rejected", []Event{event(Crashed), event(Rejected)}, attemptRejected, true, false},
		{"ended before its acceptance is recorded", []Event{event(Ended), event(Accepted)}, attemptEnded, false, false},
		{"ended without a run before the answer", []Event{neverRan}, attemptNeverRan, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			events := []Event{received(1, node, uid, 1, "web")}
			for i, event := range test.events {
				event.At = placer.Seconds(2 + i)
				events = append(events, event)
			}
			auditor := auditEvents(rules, events)
			if err := auditor.checkInvariants(); err != nil {
				t.Error(err)
			}
			attempt := auditor.tasks[uid].attempts[0]
			if attempt.state != test.want {
				t.Errorf("state %q, want %q", attempt.state, test.want)
			}
			if got := attempt.state.provenNotRun(); got != test.provenNotRun {
				t.Errorf("proven not run: %v, want %v", got, test.provenNotRun)
			}
			if got := attempt.occupies(); got != test.occupies {
				t.Errorf("occupies its node: %v, want %v", got, test.occupies)
			}
		})
	}
}

// TestAttemptTransitions checks that each pair of states outside the table is reported, and each pair in it is not.
func TestAttemptTransitions(t *testing.T) {
	for from := range attemptStates {
		for to := range attemptStates {
			auditor := newAuditor(rules)
			auditor.setState(&attemptRecord{state: from}, to)
			legal := slices.Contains(attemptTransitions[from], to)
			if err := auditor.checkInvariants(); legal != (err == nil) {
				t.Errorf("from %s to %s: %v, in the table: %v", from, to, err, legal)
			}
		}
	}
}

// TestAnsweredAttemptInFlight checks that an attempt that is answered but not closed is reported.
func TestAnsweredAttemptInFlight(t *testing.T) {
	for state := range attemptStates {
		auditor := newAuditor(rules)
		task := auditor.taskOf(&Event{UID: "t"})
		task.attempts = []*attemptRecord{{state: state}}
		answered := state == attemptAccepted || state == attemptRejected || state == attemptEnded
		if err := auditor.checkInvariants(); answered != (err != nil) {
			t.Errorf("%s without a time of its answer: %v, want an error: %v", state, err, answered)
		}
	}
}
