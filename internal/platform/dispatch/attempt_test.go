package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// TestLateAnswers checks whether a node is asked to stop a task that it accepts after the attempt was
// abandoned.
func TestLateAnswers(t *testing.T) {
	for _, test := range []struct {
		name, class string
		withdrawn   bool
		wantStop    bool
	}{
		{"idempotent task is stopped", "query", false, true},
		{"task that is not idempotent is not stopped", "seats", false, false},
		{"task whose request was withdrawn is stopped", "seats", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := sentAttempt(t, test.class)
			if test.withdrawn {
				harness.withdrawRequest(attempt.Message.ID)
			} else {
				harness.advanceClock(2.005)
			}

			effects := harness.acceptAttempt(attempt)

			if stopRequested := asksNodeToStop(effects); stopRequested != test.wantStop || harness.core.RunningTasks() != 0 {
				t.Errorf("Stop message sent to the node after a late acceptance: %v, want %v; want no running task in either case", stopRequested, test.wantStop)
			}
		})
	}
}

// TestTerminationBeforeAnswer checks that a task that its node drained, evicted or preempted counts as ended,
// even though the node's acceptance has not arrived. The client must be notified at once, no other attempt
// may be made, and the late acceptance must change nothing. If an attempt failed in transit or was rejected
// for lack of capacity, the placer must be able to make another attempt.
func TestTerminationBeforeAnswer(t *testing.T) {
	for _, test := range []struct {
		name      string
		cause     protocol.Cause
		note      string
		wantEnded bool
	}{
		{"node drained the task", protocol.CauseLost, "drained", true},
		{"node evicted the task", protocol.CauseLost, "oom", true},
		{"node preempted the task", protocol.CauseLost, "preempted", true},
		{"attempt failed in transit", protocol.CauseLost, "", false},
		{"node rejected the attempt for lack of capacity", protocol.CauseNoCapacity, "drained", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, policy, attempt := sentAttempt(t, "query")
			record := harness.clientRecords[attempt.Message.ID]
			msg := newMessage(protocol.Stop, attempt.Message.ID, test.cause)
			msg.Set(protocol.Note, test.note)

			answers := messagesToClients(harness.receiveFromNode(attempt, msg))

			clientNotified := len(answers) == 1 && answers[0].Message.Cause == protocol.CauseLost
			boundReported := policy.receivedEvent(placer.Bound)
			if clientNotified != test.wantEnded || boundReported != test.wantEnded || policy.lastEvent().Final != test.wantEnded || record.answerCount != 1 {
				t.Errorf("messages to clients: %+v; placer received Bound: %v; last event: %+v; want a notification, Bound and a final event only if the task ended", answers, boundReported, policy.lastEvent())
			}
			harness.acceptAttempt(attempt)
			if harness.core.RunningTasks() != 0 || record.answerCount != 1 {
				t.Error("after a late acceptance, the task runs or the client received a second answer")
			}
		})
	}
}

// TestAttemptStart checks the expiry time of an attempt. It also checks that an attempt expires without being
// sent if no time is left, if its request is in a final state, if the request has reached the maximum number
// of attempts, or if the node is not in the registry.
func TestAttemptStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		node      int
		until     placer.Seconds
		change    func(req *request)
		expiresAt placer.Seconds // 0 if the attempt must not be sent
	}{
		{"placer gives no expiry time", 1, 0, func(*request) {}, 110},
		{"expiry time before the deadline of the request", 1, 105, func(*request) {}, 105},
		{"expiry time after the deadline of the request", 1, 150, func(*request) {}, 110},
		{"expiry time has passed", 1, 100, func(*request) {}, 0},
		{"node is not in the registry", 7, 105, func(*request) {}, 0},
		{"request is in a final state", 1, 105, func(req *request) { req.state = requestWithdrawn }, 0},
		{"attempt that reaches the maximum number", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 3) }, 105},
		{"attempt that exceeds the maximum number", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 4) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			shared := &sharedState{now: 100, counts: &Counts{}, settings: &simconfig.Settings{}}
			shared.settings.Placer.Attempts.Max = 4
			nodes := newNodeRegistry(shared)
			nodes.updateNode(&nodeEntry{UID: nodeUID(1), State: "in_service"})
			table := newAttemptTable(shared, nodes)
			req := &request{deadline: 110}
			test.change(req)

			table.start(req, &placer.Action{Node: nodeID(test.node), Until: test.until})

			attempt := req.lastAttempt()
			if test.expiresAt == 0 {
				if attempt.state != attemptAbandoned || len(shared.effects) != 0 || len(table.byKey) != 0 {
					t.Errorf("attempt is in state %v with effects %+v, want an abandoned attempt without effects", attempt.state, shared.effects)
				}
				return
			}
			sendRequested := len(shared.effects) == 1 && shared.effects[0].Kind == SendAttempt && table.get(attempt.key()) == attempt
			if attempt.state != attemptPending || !sendRequested || attempt.expiresAt != test.expiresAt || shared.timers.NextTimeOr(0) != test.expiresAt {
				t.Errorf("attempt is in state %v, expires at %v and has effects %+v, want a pending attempt that is sent and a timer for its expiry", attempt.state, attempt.expiresAt, shared.effects)
			}
		})
	}
}
