package dispatch

import (
	"cmp"
	"slices"

	"heathshed/placer"
)

// nodeChecks tracks the checks that nodes still have to answer. A node handles the messages of a connection
// in order, so its answer to a check proves that it has handled every message that was sent before the check
// on that connection. Until then, a message may wait on a connection that no longer works, or in the buffers
// of a node that hangs. An order to stop a task is therefore never taken for the end of the task: the task
// has ended when its node reports the end or has answered a check that was sent after the order.
//
// At most one check is unanswered for each attempt. If the connection closes before the answer arrives, the
// order and the check are sent again on the next connection to the node.
type nodeChecks struct {
	*sharedState
	unanswered map[placer.NodeID]map[*Attempt]struct{}
	lastNumber uint64 // lastNumber is the number of the last check; 1 is reserved for the caller's own checks.
}

func newNodeChecks(shared *sharedState) *nodeChecks {
	return &nodeChecks{sharedState: shared, unanswered: map[placer.NodeID]map[*Attempt]struct{}{}, lastNumber: 1}
}

// request adds the effect that sends a check to the node of an attempt. If the node was ordered to stop the
// task, the order is sent before the check. The check replaces an unanswered check for the same attempt.
func (c *nodeChecks) request(attempt *Attempt) {
	c.lastNumber++
	attempt.awaitedCheck = c.lastNumber
	attempts := c.unanswered[attempt.Node]
	if attempts == nil {
		attempts = map[*Attempt]struct{}{}
		c.unanswered[attempt.Node] = attempts
	}
	attempts[attempt] = struct{}{}
	effect := Effect{Kind: CheckNode, Attempt: attempt, Check: attempt.awaitedCheck}
	if attempt.stopOrdered {
		effect.Kind = StopTask
		effect.Message = attempt.stopMessage()
	}
	c.addEffect(effect)
}

// acceptAnswer records that a node has answered the check with the given number. It returns false if the core
// does not wait for the answer to that check.
func (c *nodeChecks) acceptAnswer(attempt *Attempt, number uint64) bool {
	if number == 0 || attempt.awaitedCheck != number {
		return false
	}
	c.cancel(attempt)
	return true
}

// cancel stops the wait for the answer to the check for an attempt.
func (c *nodeChecks) cancel(attempt *Attempt) {
	attempt.awaitedCheck = 0
	attempts := c.unanswered[attempt.Node]
	delete(attempts, attempt)
	if len(attempts) == 0 {
		delete(c.unanswered, attempt.Node)
	}
}

// awaitsAnswerOf reports whether a check to the given node is unanswered.
func (c *nodeChecks) awaitsAnswerOf(id placer.NodeID) bool { return len(c.unanswered[id]) > 0 }

// attemptsAt returns the attempts for which a check to the given node is unanswered, in the order of the
// checks.
func (c *nodeChecks) attemptsAt(id placer.NodeID) []*Attempt {
	attempts := make([]*Attempt, 0, len(c.unanswered[id]))
	for attempt := range c.unanswered[id] {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.awaitedCheck, b.awaitedCheck) })
	return attempts
}

// repeat sends the unanswered checks to a node again, each after the stop order that belongs to it.
func (c *nodeChecks) repeat(id placer.NodeID) {
	for _, attempt := range c.attemptsAt(id) {
		if attempt.stopOrdered {
			c.counts.StopsRepeated++
		}
		c.request(attempt)
	}
}
