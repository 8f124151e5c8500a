package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// TestLateAnswers checks that a node is asked to stop a task that the node accepts after the attempt was
// abandoned, if the task is idempotent or its request was withdrawn. No other task may be stopped.
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
				t.Errorf("node was asked to stop the task after it accepted the abandoned attempt: %v, want %v; the core must have no running task in either case", stopRequested, test.wantStop)
			}
		})
	}
}

// TestTerminationBeforeAnswer checks that a task counts as ended if its node reports that it drained, evicted
// or preempted the task, even if the node's Running message has not arrived. The client must be notified at
// once, the placer must not make another attempt, and a Running message that still arrives must change
// nothing. If an attempt failed in transit or was rejected for lack of capacity, the placer must be able to
// make another attempt.
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

			clientMessages := messagesToClients(harness.receiveFromNode(attempt, msg))

			clientNotified := len(clientMessages) == 1 && clientMessages[0].Message.Cause == protocol.CauseLost
			boundReported := policy.receivedEvent(placer.Bound)
			if clientNotified != test.wantEnded || boundReported != test.wantEnded || policy.lastEvent().Final != test.wantEnded || record.answerCount != 1 {
				t.Errorf("clients received messages %+v, placer received a Bound event: %v, last event of the placer is %+v; want one notification, a Bound event and a final last event only if the task ended", clientMessages, boundReported, policy.lastEvent())
			}
			harness.acceptAttempt(attempt)
			if harness.core.RunningTasks() != 0 || record.answerCount != 1 {
				t.Error("after the node accepted the ended attempt, the task runs or the client received a second answer")
			}
		})
	}
}

// TestAttemptStart checks the expiry time of a new attempt. It also checks that an attempt is not sent if its
// expiry time has passed, if its request is in a final state or already has the maximum number of attempts,
// or if its node is not in the node registry.
func TestAttemptStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		node      int
		until     placer.Seconds
		change    func(req *request)
		expiresAt placer.Seconds // expiresAt is 0 if the attempt must not be sent.
	}{
		{"placer gives no expiry time", 1, 0, func(*request) {}, 110},
		{"expiry time before the deadline of the request", 1, 105, func(*request) {}, 105},
		{"expiry time after the deadline of the request", 1, 150, func(*request) {}, 110},
		{"expiry time has passed", 1, 100, func(*request) {}, 0},
		{"node is not in the registry", 7, 105, func(*request) {}, 0},
		{"request is in a final state", 1, 105, func(req *request) { req.state = requestWithdrawn }, 0},
		{"request reaches the maximum number of attempts", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 3) }, 105},
		{"request exceeds the maximum number of attempts", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 4) }, 0},
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
					t.Errorf("attempt that must not be sent is in state %v with effects %+v, want an abandoned attempt that is not in the attempt table, without effects", attempt.state, shared.effects)
				}
				return
			}
			sendRequested := len(shared.effects) == 1 && shared.effects[0].Kind == SendAttempt && table.get(attempt.key()) == attempt
			if attempt.state != attemptPending || !sendRequested || attempt.expiresAt != test.expiresAt || shared.timers.NextTimeOr(0) != test.expiresAt {
				t.Errorf("attempt is in state %v, expires at time %v and has effects %+v, want a pending attempt in the attempt table, one SendAttempt effect and a timer for the expiry", attempt.state, attempt.expiresAt, shared.effects)
			}
		})
	}
}
