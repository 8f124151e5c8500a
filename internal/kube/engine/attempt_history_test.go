package engine

import "testing"

func TestRunEvidenceNeverDecreases(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(history *attemptHistory, attempt *attempt)
		want  runEvidence
	}{
		{"in flight", func(*attemptHistory, *attempt) {}, neverAccepted},
		{"rejected", func(history *attemptHistory, _ *attempt) { history.clearInFlight() }, neverAccepted},
		{"accepted", func(history *attemptHistory, attempt *attempt) { history.bind(attempt) }, possiblyAccepted},
		{"outcome unknown", func(history *attemptHistory, attempt *attempt) { history.addUnknownOutcome(attempt) }, possiblyAccepted},
		{"unknown outcome resolved: task never ran", func(history *attemptHistory, attempt *attempt) {
			history.addUnknownOutcome(attempt)
			history.removeUnknownOutcome(attempt)
		}, possiblyAccepted},
		{"unknown outcome resolved: task may have run", func(history *attemptHistory, attempt *attempt) {
			history.addUnknownOutcome(attempt)
			history.removeUnknownOutcome(attempt)
			history.recordPossibleRun()
		}, possiblyRan},
		{"another attempt accepted after a possible run", func(history *attemptHistory, attempt *attempt) {
			history.recordPossibleRun()
			history.bind(attempt)
		}, possiblyRan},
	} {
		t.Run(test.name, func(t *testing.T) {
			history, attempt := &attemptHistory{}, &attempt{}
			history.begin(attempt)

			test.apply(history, attempt)

			if history.evidence != test.want {
				t.Errorf("the evidence is %q, want %q", history.evidence, test.want)
			}
		})
	}
}

func TestAttemptNumbers(t *testing.T) {
	history := &attemptHistory{}
	first, second := &attempt{}, &attempt{}

	history.begin(first)
	history.begin(second)
	if first.number != 1 || second.number != 2 {
		t.Errorf("the attempts have the numbers %d and %d, want 1 and 2", first.number, second.number)
	}

	adopted, next := &attempt{number: 7}, &attempt{}
	history.bind(adopted)
	history.begin(next)
	if next.number != 8 {
		t.Errorf("after an adopted attempt with number 7, the next attempt has number %d, want 8", next.number)
	}
}

func TestUnknownOutcomeLookup(t *testing.T) {
	history := &attemptHistory{}
	unresolved := &attempt{node: &node{name: "n"}, number: 2}
	history.addUnknownOutcome(unresolved)
	for _, test := range []struct {
		name   string
		node   string
		number int
		want   *attempt
	}{
		{"same node and number", "n", 2, unresolved},
		{"another node", "m", 2, nil},
		{"another number", "n", 1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := history.unknownOutcomeAt(test.node, test.number); got != test.want {
				t.Errorf("found attempt %v, want %v", got, test.want)
			}
		})
	}
	if !history.removeUnknownOutcome(unresolved) || history.hasUnknownOutcome() {
		t.Error("an outcome is still unknown after its removal")
	}
	if history.removeUnknownOutcome(unresolved) {
		t.Error("the same unknown outcome was removed twice")
	}
}
