package dispatch

import (
	"errors"
	"fmt"
)

// CheckInvariants returns an error that names the invariants that do not hold. It visits all requests,
// attempts and nodes, and is intended for tests.
func (c *Core) CheckInvariants() error {
	return errors.Join(
		c.requests.checkInvariants(),
		c.attempts.checkInvariants(),
		c.nodes.checkInvariants(),
		c.nodeMessages.earlyTerminations.checkInvariants(),
	)
}

// checkInvariants checks that both maps of the table contain the same requests, and that the count and the
// connections cover exactly the open requests.
func (t *requestTable) checkInvariants() error {
	if t.illegalTransitions > 0 {
		return fmt.Errorf("requests: %d illegal transitions", t.illegalTransitions)
	}
	if len(t.byTask) != len(t.byID) {
		return fmt.Errorf("requests: %d are indexed by task and %d by ID", len(t.byTask), len(t.byID))
	}
	open := 0
	for task, req := range t.byTask {
		if req.taskID != task || t.byID[req.message.ID] != req {
			return fmt.Errorf("request %s: the indexes by task %d and by ID contain different requests", req.message.UID, task)
		}
		if req.state == requestOpen {
			open++
		}
		if err := t.checkRequest(req); err != nil {
			return fmt.Errorf("request %s in state %v: %w", req.message.UID, req.state, err)
		}
	}
	if listed := t.clients.openRequestCount(); open != t.openCount || open != listed {
		return fmt.Errorf("requests: %d are open, openCount is %d, connections list %d", open, t.openCount, listed)
	}
	return nil
}

func (t *requestTable) checkRequest(req *request) error {
	runs := req.runningAttempt() != nil
	switch req.state {
	case requestOpen:
		if runs {
			return errors.New("an attempt runs the task of the open request")
		}
		if conn := t.clients.get(req.conn); conn == nil || !conn.hasOpenRequest(req) {
			return fmt.Errorf("connection %d does not list the open request", req.conn)
		}
	case requestRunning, requestMigrating, requestStopping:
		if !runs {
			return errors.New("no attempt runs the task")
		}
	default:
		return errors.New("the request has ended but was not removed")
	}
	return nil
}

// checkInvariants checks that attempts are stored under their keys until they terminate, and that each node
// lists exactly its running attempts.
func (t *attemptTable) checkInvariants() error {
	if t.illegalTransitions > 0 {
		return fmt.Errorf("attempts: %d illegal transitions", t.illegalTransitions)
	}
	for key, attempt := range t.byKey {
		if attempt.key() != key || attempt.state == attemptTerminated {
			return fmt.Errorf("attempt %s at node %x in state %v is stored under node %x", attempt.Message.UID, attempt.Node, attempt.state, key.node)
		}
		if node := t.nodes.get(attempt.Node); node != nil && node.runs(attempt) != (attempt.state == attemptRunning) {
			return fmt.Errorf("attempt %s at node %x has state %v, listed as running: %v", attempt.Message.UID, attempt.Node, attempt.state, node.runs(attempt))
		}
	}
	return nil
}

// checkInvariants checks that nodes are stored under their IDs, and that the attempts that a node lists as
// running do run on that node.
func (r *nodeRegistry) checkInvariants() error {
	for id, node := range r.nodes {
		if node.ID != id || node.placerNode.ID != id || node.placerNode.State != node.State {
			return fmt.Errorf("node %s in state %d is stored under ID %x, the placer's node is %+v", node.UID, node.State, id, node.placerNode)
		}
		for attempt := range node.running {
			if attempt.Node != id || attempt.state != attemptRunning {
				return fmt.Errorf("node %s: attempt %s in state %v is listed as running", node.UID, attempt.Message.UID, attempt.state)
			}
		}
	}
	return nil
}

// checkInvariants checks that the order contains each record, and that the records expire in that order.
func (l *earlyTerminationLog) checkInvariants() error {
	if len(l.records) != len(l.order) || len(l.order) > maxEarlyTerminations {
		return fmt.Errorf("early terminations: %d records, %d keys in order", len(l.records), len(l.order))
	}
	for i, key := range l.order {
		record, found := l.records[key]
		if !found || i > 0 && record.expiresAt < l.records[l.order[i-1]].expiresAt {
			return fmt.Errorf("early termination %d of %d: record found: %v, expires at %v", i, len(l.order), found, record.expiresAt)
		}
	}
	return nil
}
