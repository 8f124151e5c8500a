//go:build linux

package server

import (
	"fmt"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// requestedCheck is a check that the dispatch core has requested for an attempt.
type requestedCheck struct {
	attempt *dispatch.Attempt
	number  uint64
}

// checkQueue contains the checks that the dispatch core has requested on one node connection and that the
// node has not answered. The numbers of these checks increase. At most one check message is in flight: its
// answer also covers all checks that were requested before it was sent.
type checkQueue struct {
	requested []requestedCheck
	inFlight  uint64 // inFlight is the number of the check message that the node has not answered, or 0.
}

// add adds a check. It reports whether a check message must be sent now.
func (q *checkQueue) add(check requestedCheck) (mustSend bool) {
	q.requested = append(q.requested, check)
	return q.inFlight == 0
}

// nextMessage returns the check message that covers all requested checks, and records it as in flight.
func (q *checkQueue) nextMessage() protocol.Message {
	q.inFlight = q.requested[len(q.requested)-1].number
	return protocol.Message{Kind: protocol.Check, UID: fmt.Sprintf("%016x", q.inFlight), ID: protocol.ID(q.inFlight), HasCause: true}
}

// takeAnswered returns the checks that the answer with the given ID covers, and removes them. It returns none
// if no check message with this ID is in flight.
func (q *checkQueue) takeAnswered(id protocol.ID) []requestedCheck {
	if q.inFlight == 0 || protocol.ID(q.inFlight) != id {
		return nil
	}
	answered := 0
	for answered < len(q.requested) && q.requested[answered].number <= q.inFlight {
		answered++
	}
	taken := q.requested[:answered]
	q.requested = q.requested[answered:]
	q.inFlight = 0
	return taken
}
