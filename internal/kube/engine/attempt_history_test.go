package engine

import "testing"

func TestRunEvidenceNeverDecreases(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(history *attemptHistory, made *attempt)
		want runEvidence
	}{
		{"in flight", func(*attemptHistory, *attempt) {}, neverAccepted},
		{"rejected", func(history *attemptHistory, _ *attempt) { history.clearInFlight() }, neverAccepted},
		{"accepted", func(history *attemptHistory, made *attempt) { history.bind(made) }, possiblyAccepted},
		{"outcome unknown", func(history *attemptHistory, made *attempt) { history.addUnknownOutcome(made) }, possiblyAccepted},
		{"unknown outcome resolved: it never ran", func(history *attemptHistory, made *attempt) {
			history.addUnknownOutcome(made)
			history.removeUnknownOutcome(made)
		}, possiblyAccepted},
		{"unknown outcome resolved: it may have run", func(history *attemptHistory, made *attempt) {
			history.addUnknownOutcome(made)
			history.removeUnknownOutcome(made)
			history.recordPossibleRun()
		}, possiblyRan},
		{"another attempt accepted after a run", func(history *attemptHistory, made *attempt) {
			history.recordPossibleRun()
			history.bind(made)
		}, possiblyRan},
	} {
		t.Run(test.name, func(t *testing.T) {
			history, made := &attemptHistory{}, &attempt{}
			history.begin(made)

			test.play(history, made)

			if history.evidence != test.want {
				t.Errorf("%s, want %s", history.evidence, test.want)
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
		t.Errorf("the attempt after an adopted one with the number 7 has the number %d, want 8", next.number)
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
		{"the attempt", "n", 2, unresolved},
		{"another node", "m", 2, nil},
		{"another attempt", "n", 1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := history.unknownOutcomeAt(test.node, test.number); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
	if !history.removeUnknownOutcome(unresolved) || history.hasUnknownOutcome() {
		t.Error("the outcome is still unknown after it was removed")
	}
	if history.removeUnknownOutcome(unresolved) {
		t.Error("an outcome was removed twice")
	}
}
