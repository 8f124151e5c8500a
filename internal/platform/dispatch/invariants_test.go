package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestInvariants checks that CheckInvariants names each violated invariant. Each case violates one invariant
// in a core with an open request, a running task and a recorded end of an unknown task.
func TestInvariants(t *testing.T) {
	for _, test := range []struct {
		name, want string
		corrupt    func(core *Core, open, running *request)
	}{
		{"illegal request transition", "request table: 1 illegal state transitions", func(core *Core, open, _ *request) { core.requests.transition(open, requestOpen) }},
		{"illegal attempt transition", "attempt table: 1 illegal state transitions", func(core *Core, open, _ *request) {
			core.attempts.transition(open.lastAttempt(), attemptPending)
		}},
		{"request missing from the index by ID", "2 requests are indexed by task and 1 by ID", func(core *Core, open, _ *request) { delete(core.requests.byID, open.message.ID) }},
		{"one request stored under two IDs", "contain different requests", func(core *Core, open, running *request) {
			core.requests.byID[running.message.ID] = open
		}},
		{"wrong count of open requests", "1 requests are open, but openCount is 2", func(core *Core, _, _ *request) { core.requests.openCount++ }},
		{"open request not listed by its connection", "does not list the open request", func(core *Core, open, _ *request) { core.clients.removeOpenRequest(open) }},
		{"open request with a running attempt", "an attempt runs the task of the open request", func(core *Core, open, _ *request) { core.attempts.markRunning(open.lastAttempt()) }},
		{"running request without an attempt", "no attempt runs the task", func(_ *Core, _, running *request) { running.attempts = nil }},
		{"ended request not removed", "the request has ended but was not removed", func(_ *Core, _, running *request) { running.state = requestTerminated }},
		{"terminated attempt not removed", "in state terminated is stored under node", func(_ *Core, open, _ *request) { open.lastAttempt().state = attemptTerminated }},
		{"running attempt not listed by its node", "listed as running by the node: false", func(core *Core, _, running *request) {
			core.nodes.removeRunningAttempt(running.lastAttempt())
		}},
		{"unanswered attempt listed as running", "listed as running by the node: true", func(core *Core, open, _ *request) {
			core.nodes.addRunningAttempt(open.lastAttempt())
		}},
		{"attempt listed by several nodes", "as running, but the attempt does not run there", func(core *Core, _, running *request) {
			for _, node := range core.nodes.nodes {
				node.runningAttempts[running.lastAttempt()] = struct{}{}
			}
		}},
		{"node stored under a wrong ID", "is stored under ID", func(core *Core, _, _ *request) { core.nodes.nodes[1] = core.nodes.get(nodeID(3)) }},
		{"key of an early termination without a record", "0 records, but 1 keys in keysOldestFirst", func(core *Core, _, _ *request) {
			clear(core.nodeMessages.earlyTerminations.records)
		}},
		{"early terminations that are not in the order of their expiry", "early termination 1 of 2", func(core *Core, _, _ *request) {
			core.now = 0 // the clock of a real core never moves backwards
			core.nodeMessages.earlyTerminations.add(attemptKey{id: 78}, protocol.CauseEnd)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, unansweredAttempt := sentAttempt(t, "seats")
			adoptedID := harness.sendLaunch(harness.lastConn, "seats", 1000, adoptionExtras(2))
			harness.reportEnd(placer.NodeID(5), 77, protocol.CauseEnd)
			harness.requireInvariants()

			test.corrupt(harness.core, unansweredAttempt.request, harness.core.requests.getByID(adoptedID))

			if err := harness.core.CheckInvariants(); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("CheckInvariants returned %v, want an error that contains %q", err, test.want)
			}
		})
	}
}
