package engine

import (
	"slices"
)

// runEvidence is the strongest evidence so far that an attempt of a task may have run it. It never decreases.
type runEvidence uint8

const (
	// neverAccepted: every attempt that has ended was certainly not accepted.
	neverAccepted runEvidence = iota
	// possiblyAccepted: an attempt was accepted, or its outcome was unknown when the wait for its answer ended.
	possiblyAccepted
	// possiblyRan: an attempt with unknown outcome has ended, and it may have run the task.
	possiblyRan

	runEvidences
)

var runEvidenceNames = [runEvidences]string{"never accepted", "possibly accepted", "possibly ran"}

func (e runEvidence) String() string { return runEvidenceNames[e] }

// attemptHistory is the record of the attempts of one task. Only its methods change it.
type attemptHistory struct {
	lastNumber      int        // over all requests
	inFlight        *attempt   // the attempt that waits for its answer
	running         *attempt   // the attempt that was accepted
	unknownOutcomes []*attempt // attempts that may have been accepted
	evidence        runEvidence
	lastFailure     string // why the last attempt or request failed
}

// begin assigns the next number to an attempt and records that it is in flight.
func (h *attemptHistory) begin(attempt *attempt) {
	h.lastNumber++
	attempt.number = h.lastNumber
	h.inFlight = attempt
}

// endWait records that the attempt in flight was answered or abandoned.
func (h *attemptHistory) clearInFlight() { h.inFlight = nil }

// bind records that an attempt was accepted.
func (h *attemptHistory) bind(attempt *attempt) {
	h.running = attempt
	h.lastNumber = max(h.lastNumber, attempt.number)
	h.raiseEvidence(possiblyAccepted)
}

// unbind records that the running attempt has ended, and returns it. It returns nil if none runs.
func (h *attemptHistory) unbind() *attempt {
	ended := h.running
	h.running = nil
	return ended
}

// fail records why the last attempt or request failed.
func (h *attemptHistory) recordFailure(reason string) { h.lastFailure = reason }

// isOpen reports whether an attempt is in flight or running.
func (h *attemptHistory) isOpen(attempt *attempt) bool {
	return h.inFlight == attempt || h.running == attempt
}

// addUnknown records that the outcome of an attempt is unknown.
func (h *attemptHistory) addUnknownOutcome(attempt *attempt) {
	h.unknownOutcomes = append(h.unknownOutcomes, attempt)
	h.raiseEvidence(possiblyAccepted)
}

// removeUnknown records that the outcome of an attempt is known, and reports whether it was unknown.
func (h *attemptHistory) removeUnknownOutcome(attempt *attempt) bool {
	i := slices.Index(h.unknownOutcomes, attempt)
	if i < 0 {
		return false
	}
	h.unknownOutcomes = slices.Delete(h.unknownOutcomes, i, i+1)
	return true
}

// recordRun records that an attempt that has ended may have run the task.
func (h *attemptHistory) recordPossibleRun() { h.raiseEvidence(possiblyRan) }

func (h *attemptHistory) raiseEvidence(evidence runEvidence) { h.evidence = max(h.evidence, evidence) }

// hasUnknown reports whether the outcome of an attempt is unknown.
func (h *attemptHistory) hasUnknownOutcome() bool { return len(h.unknownOutcomes) > 0 }

// isUnknown reports whether the outcome of this attempt is unknown.
func (h *attemptHistory) isOutcomeUnknown(attempt *attempt) bool {
	return slices.Contains(h.unknownOutcomes, attempt)
}

// unknownAt returns the attempt with unknown outcome that a node's answer names, nil if there is none.
func (h *attemptHistory) unknownOutcomeAt(node string, number int) *attempt {
	for _, unresolved := range h.unknownOutcomes {
		if unresolved.matches(node, number) {
			return unresolved
		}
	}
	return nil
}
