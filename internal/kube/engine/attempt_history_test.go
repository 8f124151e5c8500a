package engine

import "testing"

func TestRunEvidenceNeverDecreases(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(history *attemptHistory, attempt *attempt)
		want  runEvidence
	}{
		{"attempt is in flight", func(*attemptHistory, *attempt) {}, neverAccepted},
		{"node rejects the attempt", func(history *attemptHistory, _ *attempt) { history.clearInFlight() }, neverAccepted},
		{"node accepts the attempt", func(history *attemptHistory, attempt *attempt) { history.bind(attempt) }, possiblyAccepted},
		{"outcome of the attempt is unknown", func(history *attemptHistory, attempt *attempt) { history.addUnknownOutcome(attempt) }, possiblyAccepted},
		{"unknown outcome becomes known and the task certainly never ran", func(history *attemptHistory, attempt *attempt) {
			history.addUnknownOutcome(attempt)
			history.removeUnknownOutcome(attempt)
		}, possiblyAccepted},
		{"unknown outcome becomes known and the task may have run", func(history *attemptHistory, attempt *attempt) {
			history.addUnknownOutcome(attempt)
			history.removeUnknownOutcome(attempt)
			history.recordPossibleRun()
		}, possiblyRan},
		{"node accepts the attempt after the task may have run already", func(history *attemptHistory, attempt *attempt) {
			history.recordPossibleRun()
			history.bind(attempt)
		}, possiblyRan},
	} {
		t.Run(test.name, func(t *testing.T) {
			history, attempt := &attemptHistory{}, &attempt{}
			history.begin(attempt)

			test.apply(history, attempt)

			if history.evidence != test.want {
				t.Errorf("the run evidence of the task is %q, want %q", history.evidence, test.want)
			}
		})
	}
}

func TestAttemptNumbers(t *testing.T) {
	history := &attemptHistory{}
	firstAttempt, secondAttempt := &attempt{}, &attempt{}

	history.begin(firstAttempt)
	history.begin(secondAttempt)
	if firstAttempt.number != 1 || secondAttempt.number != 2 {
		t.Errorf("the first two attempts have the numbers %d and %d, want 1 and 2", firstAttempt.number, secondAttempt.number)
	}

	adoptedAttempt, nextAttempt := &attempt{number: 7}, &attempt{}
	history.bind(adoptedAttempt)
	history.begin(nextAttempt)
	if nextAttempt.number != 8 {
		t.Errorf("the attempt after an adopted attempt with number 7 has the number %d, want 8", nextAttempt.number)
	}
}

func TestUnknownOutcomeLookup(t *testing.T) {
	history := &attemptHistory{}
	unresolvedAttempt := &attempt{node: &node{name: "n"}, number: 2}
	history.addUnknownOutcome(unresolvedAttempt)
	for _, test := range []struct {
		name   string
		node   string
		number int
		want   *attempt
	}{
		{"node and number of the unresolved attempt", "n", 2, unresolvedAttempt},
		{"number of the unresolved attempt but another node", "m", 2, nil},
		{"node of the unresolved attempt but another number", "n", 1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := history.unresolvedAttemptAt(test.node, test.number); got != test.want {
				t.Errorf("unresolvedAttemptAt returned the attempt %v for this node and number, want %v", got, test.want)
			}
		})
	}
	if !history.removeUnknownOutcome(unresolvedAttempt) || history.hasUnknownOutcome() {
		t.Error("an outcome is still unknown after removeUnknownOutcome was called for the only unresolved attempt")
	}
	if history.removeUnknownOutcome(unresolvedAttempt) {
		t.Error("removeUnknownOutcome returned true for an attempt whose outcome was already known")
	}
}
