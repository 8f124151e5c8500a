package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestInvariants checks that CheckInvariants returns an error that describes the violated invariant. Each
// case violates one invariant of a core that has an open request, a running task and an early termination.
func TestInvariants(t *testing.T) {
	for _, test := range []struct {
		name, wantInError string
		corrupt           func(core *Core, openRequest, runningRequest *request)
	}{
		{"request makes an illegal state transition", "request table: 1 illegal state transitions, want 0", func(core *Core, openRequest, _ *request) { core.requests.transition(openRequest, requestOpen) }},
		{"attempt makes an illegal state transition", "attempt table: 1 illegal state transitions, want 0", func(core *Core, openRequest, _ *request) {
			core.attempts.transition(openRequest.lastAttempt(), attemptPending)
		}},
		{"request is missing from the index by message ID", "2 requests are indexed by task ID and 1 by message ID, want equal numbers", func(core *Core, openRequest, _ *request) { delete(core.requests.byID, openRequest.message.ID) }},
		{"request is indexed under the message ID of another request", "and by message ID contain different requests", func(core *Core, openRequest, runningRequest *request) {
			core.requests.byID[runningRequest.message.ID] = openRequest
		}},
		{"openCount of the request table is too high", "1 requests are open, but openCount is 2 and the client connections have 1 open requests", func(core *Core, _, _ *request) { core.requests.openCount++ }},
		{"open request is missing from the set of open requests of its client connection", "the open request is missing from the set of open requests of client connection", func(core *Core, openRequest, _ *request) { core.clients.removeOpenRequest(openRequest) }},
		{"open request has a running attempt", "an attempt runs the task of the open request", func(core *Core, openRequest, _ *request) { core.attempts.markRunning(openRequest.lastAttempt()) }},
		{"request of a running task has no attempt", "no attempt runs the task", func(_ *Core, _, runningRequest *request) { runningRequest.attempts = nil }},
		{"terminated request was not removed from the request table", "the request has ended but was not removed from the request table", func(_ *Core, _, runningRequest *request) { runningRequest.state = requestTerminated }},
		{"terminated attempt was not removed from the attempt table", "in state terminated is stored under a key with node", func(_ *Core, openRequest, _ *request) { openRequest.lastAttempt().state = attemptTerminated }},
		{"running attempt is missing from the set of running attempts of its node", "in state running; the node's set of running attempts contains the attempt: got false, want true if and only if the state is running", func(core *Core, _, runningRequest *request) {
			core.nodes.removeRunningAttempt(runningRequest.lastAttempt())
		}},
		{"unanswered attempt is in the set of running attempts of its node", "in state sent; the node's set of running attempts contains the attempt: got true, want true if and only if the state is running", func(core *Core, openRequest, _ *request) {
			core.nodes.addRunningAttempt(openRequest.lastAttempt())
		}},
		{"running attempt is in the sets of running attempts of several nodes", "in state running; want only attempts in state running that were sent to that node or adopted on it", func(core *Core, _, runningRequest *request) {
			for _, node := range core.nodes.nodes {
				node.runningAttempts[runningRequest.lastAttempt()] = struct{}{}
			}
		}},
		{"node is stored under a wrong ID", "is stored under ID", func(core *Core, _, _ *request) { core.nodes.nodes[1] = core.nodes.get(nodeID(3)) }},
		{"early termination log has a key without a record", "got 0 records and 1 keys in keysOldestFirst", func(core *Core, _, _ *request) {
			clear(core.nodeMessages.earlyTerminations.records)
		}},
		{"early terminations are not in the order of their expiry", "early termination log, key 1 of 2, counted from 0", func(core *Core, _, _ *request) {
			core.now = 0 // Only a test can move the clock backwards.
			core.nodeMessages.earlyTerminations.add(attemptKey{id: 78}, protocol.CauseEnd)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, unansweredAttempt := sentAttempt(t, "seats")
			adoptedID := harness.sendLaunch(harness.lastConn, "seats", 1000, adoptionExtras(2))
			harness.reportEnd(placer.NodeID(5), 77, protocol.CauseEnd)
			harness.requireInvariants()

			test.corrupt(harness.core, unansweredAttempt.request, harness.core.requests.getByID(adoptedID))

			if err := harness.core.CheckInvariants(); err == nil || !strings.Contains(err.Error(), test.wantInError) {
				t.Errorf("CheckInvariants returned %v, want an error that contains %q", err, test.wantInError)
			}
		})
	}
}
