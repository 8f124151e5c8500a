package audit

import (
	"fmt"
	"slices"
)

// attemptState is what is known of an attempt at its node.
type attemptState uint8

const (
	// attemptReceived: the node has received the attempt and has not answered. If the connection closed meanwhile, it may still run.
	attemptReceived attemptState = iota
	// attemptAccepted: the node accepted the attempt, and the task may run.
	attemptAccepted
	// attemptRejected: the node rejected the attempt.
	attemptRejected
	// attemptFenced: a request to stop arrived before the attempt was accepted. The node rejects the attempt if it arrives later.
	attemptFenced
	// attemptLost: the node was lost, or reported the task as ended, before it accepted the attempt. It may have run.
	attemptLost
	// attemptEnded: the node accepted the attempt, and then it ended or the node was lost.
	attemptEnded
	// attemptNeverRan: the attempt ended, and it is proven that the task never ran.
	attemptNeverRan

	attemptStates
)

var attemptStateNames = [attemptStates]string{"received", "accepted", "rejected", "fenced", "lost", "ended", "never ran"}

func (s attemptState) String() string { return attemptStateNames[s] }

// attemptTransitions lists the states that may follow each state.
//
// The answer to a lost attempt, or the fence that covers it, may be recorded after the loss, since all attempts of a task at one node end
// together.
var attemptTransitions = [attemptStates][]attemptState{
	attemptReceived: {attemptAccepted, attemptRejected, attemptFenced, attemptLost, attemptNeverRan},
	attemptAccepted: {attemptEnded, attemptNeverRan},
	attemptRejected: {},
	attemptFenced:   {},
	attemptLost:     {attemptEnded, attemptRejected, attemptFenced},
	attemptEnded:    {},
	attemptNeverRan: {},
}

// provenNotRun reports whether it is proven that the attempt did not run the task and will not.
func (s attemptState) provenNotRun() bool {
	return s == attemptRejected || s == attemptFenced || s == attemptNeverRan
}

// open reports whether the attempt runs the task or may still do so.
func (s attemptState) open() bool { return s == attemptReceived || s == attemptAccepted }

// unanswered reports whether the node has neither accepted nor rejected the attempt, and no fence covers it.
func (s attemptState) unanswered() bool { return s == attemptReceived || s == attemptLost }

// setState is the only function that changes the state of an attempt. It makes an illegal transition too, and checkInvariants reports it.
func (a *auditor) setState(attempt *attemptRecord, next attemptState) {
	if !slices.Contains(attemptTransitions[attempt.state], next) && a.badTransition == nil {
		a.badTransition = fmt.Errorf("audit: attempt %d at %s goes from %s to %s", attempt.number, attempt.node, attempt.state, next)
	}
	attempt.state = next
}

// checkInvariants returns an error if an attempt has made an illegal transition, or if its state does not agree with its times. It is for
// tests.
func (a *auditor) checkInvariants() error {
	if a.badTransition != nil {
		return a.badTransition
	}
	for _, uid := range a.uids {
		for _, attempt := range a.tasks[uid].attempts {
			answered := attempt.state == attemptAccepted || attempt.state == attemptRejected || attempt.state == attemptEnded
			if answered && attempt.closedAt == 0 {
				return fmt.Errorf("audit: attempt %d of task %s at %s is %s and still in flight", attempt.number, uid, attempt.node, attempt.state)
			}
		}
	}
	return nil
}

// attemptAnswered records a node's answer to an attempt. It has no effect on an attempt that is answered, fenced or ended already.
func (a *auditor) attemptAnswered(attempt *attemptRecord, accepted bool) {
	switch {
	case !attempt.state.unanswered():
	case !accepted:
		a.setState(attempt, attemptRejected)
	case attempt.state == attemptLost:
		a.setState(attempt, attemptEnded)
	default:
		a.setState(attempt, attemptAccepted)
	}
}

// attemptOver ends an attempt if it is open. neverRan says that the task is proven never to have run.
func (a *auditor) attemptOver(attempt *attemptRecord, neverRan bool) {
	switch {
	case !attempt.state.open():
	case neverRan:
		a.setState(attempt, attemptNeverRan)
	case attempt.state == attemptAccepted:
		a.setState(attempt, attemptEnded)
	default:
		a.setState(attempt, attemptLost)
	}
}
