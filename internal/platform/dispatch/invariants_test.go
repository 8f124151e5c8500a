package dispatch

import (
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestInvariants plants one contradiction at a time in a core with an open request, a running task and an early termination, and requires that
// CheckInvariants names it.
func TestInvariants(t *testing.T) {
	for _, test := range []struct {
		name, want string
		corrupt    func(core *Core, open, running *request)
	}{
		{"request transition", "requests: 1 illegal", func(core *Core, open, _ *request) { core.requests.transition(open, requestOpen) }},
		{"attempt transition", "attempts: 1 illegal", func(core *Core, open, _ *request) {
			core.attempts.transition(open.lastAttempt(), attemptPending)
		}},
		{"request without its ID", "2 are indexed by task and 1 by ID", func(core *Core, open, _ *request) { delete(core.requests.byID, open.message.ID) }},
		{"two requests under one ID", "contain different requests", func(core *Core, open, running *request) {
			core.requests.byID[running.message.ID] = open
		}},
		{"miscounted open requests", "1 are open, openCount is 2", func(core *Core, _, _ *request) { core.requests.openCount++ }},
		{"open request of no connection", "does not list the open request", func(core *Core, open, _ *request) { core.clients.removeOpenRequest(open) }},
		{"open request that runs", "an attempt runs the task of the open request", func(core *Core, open, _ *request) { core.attempts.markRunning(open.lastAttempt()) }},
		{"running request without an attempt", "no attempt runs the task", func(_ *Core, _, running *request) { running.attempts = nil }},
		{"ended request", "the request has ended but was not removed", func(_ *Core, _, running *request) { running.state = requestTerminated }},
		{"terminated attempt", "in state terminated is stored under node", func(_ *Core, open, _ *request) { open.lastAttempt().state = attemptTerminated }},
		{"running attempt that its node does not know", "listed as running: false", func(core *Core, _, running *request) {
			core.nodes.removeRunningAttempt(running.lastAttempt())
		}},
		{"sent attempt that its node runs", "listed as running: true", func(core *Core, open, _ *request) {
			core.nodes.addRunningAttempt(open.lastAttempt())
		}},
		{"attempt at two nodes", "listed as running", func(core *Core, _, running *request) {
			for _, node := range core.nodes.nodes {
				node.running[running.lastAttempt()] = struct{}{}
			}
		}},
		{"node under another ID", "is stored under ID", func(core *Core, _, _ *request) { core.nodes.nodes[1] = core.nodes.get(nodeID(3)) }},
		{"early termination out of order", "0 records, 1 keys in order", func(core *Core, _, _ *request) {
			clear(core.nodeMessages.earlyTerminations.records)
		}},
		{"early termination that expires too soon", "early termination 1 of 2", func(core *Core, _, _ *request) {
			core.now = 0 // the clock never goes back
			core.nodeMessages.earlyTerminations.record(attemptKey{id: 78}, protocol.CauseEnd)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, sent := sentAttempt(t, "seats")
			adopted := harness.launch(harness.lastConn, "seats", 1000, adoptionExtras(2))
			harness.reportEnd(placer.NodeID(5), 77, protocol.CauseEnd)
			harness.requireInvariants()

			test.corrupt(harness.core, sent.request, harness.core.requests.getByID(adopted))

			if err := harness.core.CheckInvariants(); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q in it", err, test.want)
			}
		})
	}
}
