package dispatch

import (
	"errors"
	"fmt"
)

// CheckInvariants returns an error that describes the violated invariants, or nil if all invariants hold. It
// visits all requests, attempts and nodes, and is intended for tests.
func (c *Core) CheckInvariants() error {
	return errors.Join(
		c.requests.checkInvariants(),
		c.requests.checkArrivals(),
		c.attempts.checkInvariants(),
		c.nodes.checkInvariants(),
		c.nodeMessages.earlyTerminations.checkInvariants(),
	)
}

// checkInvariants checks that the maps byTask and byID contain the same requests and that openCount is the
// number of open requests. It also checks that the set openRequests of each client connection contains the
// open requests that arrived on that connection, and no others.
func (t *requestTable) checkInvariants() error {
	if t.illegalTransitions > 0 {
		return fmt.Errorf("request table: %d illegal state transitions, want 0", t.illegalTransitions)
	}
	if len(t.byTask) != len(t.byID) {
		return fmt.Errorf("request table: %d requests are indexed by task ID and %d by message ID, want equal numbers", len(t.byTask), len(t.byID))
	}
	openRequests := 0
	for task, req := range t.byTask {
		if req.taskID != task || t.byID[req.message.ID] != req {
			return fmt.Errorf("request %s: the indexes by task ID %d and by message ID contain different requests", req.message.UID, task)
		}
		if req.state == requestOpen {
			openRequests++
		}
		if err := t.checkRequest(req); err != nil {
			return fmt.Errorf("request %s in state %v: %w", req.message.UID, req.state, err)
		}
	}
	if err := t.checkQuota(); err != nil {
		return err
	}
	if openCountOfConns := t.clients.openRequestCount(); openRequests != t.openCount || openRequests != openCountOfConns {
		return fmt.Errorf("request table: %d requests are open, but openCount is %d and the client connections have %d open requests", openRequests, t.openCount, openCountOfConns)
	}
	return nil
}

// checkQuota checks that the quota counts the open requests, and that no other request keeps its description.
func (t *requestTable) checkQuota() error {
	openBytes := 0
	for _, req := range t.byTask {
		if req.state == requestOpen {
			openBytes += req.quotaBytes
		} else if req.message.Body != "" {
			return fmt.Errorf("request %s in state %v keeps its description of %d bytes, want none", req.message.UID, req.state, len(req.message.Body))
		}
	}
	if openBytes != t.quota.usedBytes || openBytes > t.limits.OpenRequestBytes {
		return fmt.Errorf("request table: the open requests take %d bytes and the quota counts %d, want equal numbers of at most %d", openBytes, t.quota.usedBytes, t.limits.OpenRequestBytes)
	}
	return nil
}

// checkArrivals checks that the arrivalQueue counts the unanswered attempts of each connection, and that only open
// requests wait in it.
func (t *requestTable) checkArrivals() error {
	waiting, unanswered := 0, 0
	for connID, conn := range t.arrivals.byConn {
		waiting += conn.waiting.Len()
		unanswered += conn.unanswered
		if conn.unanswered < 0 || (conn.turn != nil) != (conn.waiting.Len() > 0) || conn.waiting.Len() == 0 && conn.unanswered == 0 {
			return fmt.Errorf("arrival queue: connection %d has %d unanswered attempts, %d waiting requests, and a turn: %v", connID, conn.unanswered, conn.waiting.Len(), conn.turn != nil)
		}
	}
	wantWaiting, wantUnanswered := 0, 0
	for _, req := range t.byTask {
		if req.waitingEntry != nil {
			wantWaiting++
		}
		if req.waitingEntry != nil && req.state != requestOpen {
			return fmt.Errorf("request %s in state %v waits in the arrival queue", req.message.UID, req.state)
		}
		for _, attempt := range req.attempts {
			if attempt.Unanswered() {
				wantUnanswered++
			}
		}
	}
	if waiting != wantWaiting || unanswered != wantUnanswered || t.arrivals.unanswered != unanswered {
		return fmt.Errorf("arrival queue: %d requests wait and %d attempts are unanswered (%d in all), want %d and %d", waiting, unanswered, t.arrivals.unanswered, wantWaiting, wantUnanswered)
	}
	return nil
}

func (t *requestTable) checkRequest(req *request) error {
	taskRuns := req.runningAttempt() != nil
	switch req.state {
	case requestOpen:
		if taskRuns {
			return errors.New("an attempt runs the task of the open request")
		}
		if conn := t.clients.get(req.connID); conn == nil || !conn.hasOpenRequest(req) {
			return fmt.Errorf("the open request is missing from the set of open requests of client connection %d", req.connID)
		}
	case requestRunning, requestMigrationPlanned, requestMigrating, requestMigrated, requestStopping:
		if !taskRuns {
			return errors.New("no attempt runs the task")
		}
	default:
		return errors.New("the request has ended but was not removed from the request table")
	}
	return nil
}

// checkInvariants checks that each attempt is stored under its own key and is not terminated. It also checks
// that the set of running attempts of a node contains an attempt if and only if the attempt is in state
// attemptRunning.
func (t *attemptTable) checkInvariants() error {
	if t.illegalTransitions > 0 {
		return fmt.Errorf("attempt table: %d illegal state transitions, want 0", t.illegalTransitions)
	}
	for key, attempt := range t.byKey {
		if attempt.key() != key || attempt.state == attemptTerminated {
			return fmt.Errorf("attempt %s at node %x in state %v is stored under a key with node %x; want the key with the attempt's own node and task ID, and a state other than terminated", attempt.Message.UID, attempt.Node, attempt.state, key.node)
		}
		if node := t.nodes.get(attempt.Node); node != nil && node.runs(attempt) != (attempt.state == attemptRunning) {
			return fmt.Errorf("attempt %s at node %x is in state %v; the node's set of running attempts contains the attempt: got %v, want true if and only if the state is running", attempt.Message.UID, attempt.Node, attempt.state, node.runs(attempt))
		}
	}
	return t.checkAbandoned()
}

// checkAbandoned checks that each abandoned attempt is in the list of abandoned attempts, that the list contains
// no others, and that it is not too long.
func (t *attemptTable) checkAbandoned() error {
	listed := map[*Attempt]bool{}
	for entry := t.abandoned.Front(); entry != nil; entry = entry.Next() {
		attempt := entry.Value.(*Attempt)
		listed[attempt] = true
		if attempt.state != attemptAbandoned {
			return fmt.Errorf("attempt %s in state %v is listed as abandoned", attempt.Message.UID, attempt.state)
		}
	}
	for _, attempt := range t.byKey {
		if attempt.state == attemptAbandoned && !listed[attempt] {
			return fmt.Errorf("attempt %s is abandoned and not listed as such", attempt.Message.UID)
		}
	}
	if len(listed) > t.limits.AbandonedAttempts {
		return fmt.Errorf("attempt table: %d attempts are abandoned, want at most %d", len(listed), t.limits.AbandonedAttempts)
	}
	return nil
}

// checkInvariants checks that each node is stored under its ID, and that the set of running attempts of a
// node contains only attempts that run on that node.
func (r *nodeRegistry) checkInvariants() error {
	for id, node := range r.nodes {
		if node.ID != id || node.placerNode.ID != id || node.placerNode.State != node.State {
			return fmt.Errorf("node %s in state %d is stored under ID %x, and the placer knows it as %+v; want the same ID and state in all three places", node.UID, node.State, id, node.placerNode)
		}
		for attempt := range node.runningAttempts {
			if attempt.Node != id || attempt.state != attemptRunning {
				return fmt.Errorf("the set of running attempts of node %s contains attempt %s in state %v; want only attempts in state running that were sent to that node or adopted on it", node.UID, attempt.Message.UID, attempt.state)
			}
		}
	}
	return nil
}

// checkInvariants checks that keysOldestFirst contains the key of each record, and that the keys are sorted
// by the expiry times of their records.
func (l *earlyTerminationLog) checkInvariants() error {
	if len(l.records) != len(l.keysOldestFirst) || len(l.keysOldestFirst) > l.limits.Tasks {
		return fmt.Errorf("early termination log: got %d records and %d keys in keysOldestFirst, want equal numbers that do not exceed Limits.Tasks", len(l.records), len(l.keysOldestFirst))
	}
	for i, key := range l.keysOldestFirst {
		record, found := l.records[key]
		if !found || i > 0 && record.expiresAt < l.records[l.keysOldestFirst[i-1]].expiresAt {
			return fmt.Errorf("early termination log, key %d of %d, counted from 0: got a record for the key: %v, got expiry time %v; want a record, and an expiry time that is not before the expiry time of the preceding record", i, len(l.keysOldestFirst), found, record.expiresAt)
		}
	}
	return nil
}
