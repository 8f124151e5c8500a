package engine

import (
	"slices"
)

// runEvidence states what the engine knows about whether an attempt has run the task. The value of a task
// never decreases.
type runEvidence uint8

const (
	// neverAccepted means that certainly no node has accepted any of the attempts that have ended.
	neverAccepted runEvidence = iota
	// possiblyAccepted means that a node has accepted an attempt, or that the outcome of an attempt is
	// unknown or was unknown for some time.
	possiblyAccepted
	// possiblyRan means that an attempt with an unknown outcome has ended and may have run the task.
	possiblyRan

	runEvidenceCount
)

var runEvidenceNames = [runEvidenceCount]string{"never accepted", "possibly accepted", "possibly ran"}

func (e runEvidence) String() string { return runEvidenceNames[e] }

// attemptHistory records the attempts of one task. Only its methods modify it.
type attemptHistory struct {
	lastNumber      int         // number of the latest attempt, counted over all placement requests of the task
	inFlightAttempt *attempt    // the attempt that has not been answered yet; nil if there is none
	runningAttempt  *attempt    // the attempt that a node accepted; nil if there is none
	unknownOutcomes []*attempt  // attempts whose outcome is unknown, as defined by attempt.hasUnknownOutcome
	evidence        runEvidence // what the engine knows about whether an attempt has run the task
	lastFailure     string      // message of the latest attempt or placement request that failed
}

// begin gives a new attempt the next attempt number of the task, and makes it the attempt in flight.
func (h *attemptHistory) begin(attempt *attempt) {
	h.lastNumber++
	attempt.number = h.lastNumber
	h.inFlightAttempt = attempt
}

// clearInFlight records that the attempt in flight was answered or abandoned.
func (h *attemptHistory) clearInFlight() { h.inFlightAttempt = nil }

// bind records that a node accepted an attempt. The attempt becomes the running attempt of its task.
func (h *attemptHistory) bind(attempt *attempt) {
	h.runningAttempt = attempt
	h.lastNumber = max(h.lastNumber, attempt.number)
	h.raiseEvidence(possiblyAccepted)
}

// unbind records that the running attempt has ended, and returns this attempt. It returns nil if no attempt
// is running.
func (h *attemptHistory) unbind() *attempt {
	endedAttempt := h.runningAttempt
	h.runningAttempt = nil
	return endedAttempt
}

// recordFailure stores the message of the latest attempt or placement request that failed.
func (h *attemptHistory) recordFailure(message string) { h.lastFailure = message }

// isOpen reports whether the given attempt is in flight or running.
func (h *attemptHistory) isOpen(attempt *attempt) bool {
	return h.inFlightAttempt == attempt || h.runningAttempt == attempt
}

// addUnknownOutcome records that the outcome of the given attempt is unknown.
func (h *attemptHistory) addUnknownOutcome(attempt *attempt) {
	h.unknownOutcomes = append(h.unknownOutcomes, attempt)
	h.raiseEvidence(possiblyAccepted)
}

// removeUnknownOutcome records that the outcome of an attempt is now known. It reports whether the outcome
// was unknown before.
func (h *attemptHistory) removeUnknownOutcome(attempt *attempt) bool {
	i := slices.Index(h.unknownOutcomes, attempt)
	if i < 0 {
		return false
	}
	h.unknownOutcomes = slices.Delete(h.unknownOutcomes, i, i+1)
	return true
}

// recordPossibleRun records that an attempt that has ended may have run the task.
func (h *attemptHistory) recordPossibleRun() { h.raiseEvidence(possiblyRan) }

// raiseEvidence sets the run evidence of the task to the given value unless the present value is higher.
func (h *attemptHistory) raiseEvidence(evidence runEvidence) { h.evidence = max(h.evidence, evidence) }

// hasUnknownOutcome reports whether the outcome of any attempt is unknown.
func (h *attemptHistory) hasUnknownOutcome() bool { return len(h.unknownOutcomes) > 0 }

// isOutcomeUnknown reports whether the outcome of the given attempt is unknown.
func (h *attemptHistory) isOutcomeUnknown(attempt *attempt) bool {
	return slices.Contains(h.unknownOutcomes, attempt)
}

// unresolvedAttemptAt returns the attempt with the given node and number if the outcome of this attempt is
// unknown. Otherwise it returns nil.
func (h *attemptHistory) unresolvedAttemptAt(nodeName string, number int) *attempt {
	for _, unresolvedAttempt := range h.unknownOutcomes {
		if unresolvedAttempt.matches(nodeName, number) {
			return unresolvedAttempt
		}
	}
	return nil
}
