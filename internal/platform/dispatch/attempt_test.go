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
		stopped     bool
	}{
		{"idempotent task is stopped", "query", false, true},
		{"other task runs until its client lists it for adoption", "seats", false, false},
		{"withdrawn task is stopped", "seats", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := sentAttempt(t, test.class)
			if test.withdrawn {
				harness.withdraw(attempt.Message.ID)
			} else {
				harness.advance(2.005)
			}

			effects := harness.accept(attempt)

			if stopped := asksNodeToStop(effects); stopped != test.stopped || harness.core.RunningTasks() != 0 {
				t.Errorf("node was asked to stop the task: %v, want %v and no running task", stopped, test.stopped)
			}
		})
	}
}

// TestTerminationBeforeAnswer checks that a task that was drained, evicted or preempted counts as ended even
// though its acceptance has not arrived. The client must be notified at once, no other attempt may be made,
// and the late acceptance must change nothing. An attempt that failed in transit or was rejected for lack of
// capacity is repeated on another node.
func TestTerminationBeforeAnswer(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause protocol.Cause
		note  string
		ended bool
	}{
		{"drained", protocol.CauseLost, "drained", true},
		{"evicted", protocol.CauseLost, "oom", true},
		{"preempted", protocol.CauseLost, "preempted", true},
		{"failed in transit", protocol.CauseLost, "", false},
		{"full", protocol.CauseNoCapacity, "drained", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, policy, attempt := sentAttempt(t, "query")
			record := harness.clientRecords[attempt.Message.ID]
			msg := newMessage(protocol.Stop, attempt.Message.ID, test.cause)
			msg.Set(protocol.Note, test.note)

			answers := messagesToClients(harness.receiveFromNode(attempt, msg))

			notified := len(answers) == 1 && answers[0].Message.Cause == protocol.CauseLost
			bound := policy.received(placer.Bound)
			if notified != test.ended || bound != test.ended || policy.lastEvent().Final != test.ended || record.answers != 1 {
				t.Errorf("messages to clients %+v, placer was told that the task ran: %v, last event %+v", answers, bound, policy.lastEvent())
			}
			harness.accept(attempt)
			if harness.core.RunningTasks() != 0 || record.answers != 1 {
				t.Error("the task runs or was answered again after a late acceptance")
			}
		})
	}
}

// TestAttemptStart checks that an attempt expires without being sent if it could not be answered in time, if
// it exceeds the maximum number of attempts, or if its node is not in the registry.
func TestAttemptStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		node      int
		until     placer.Seconds
		change    func(req *request)
		expiresAt placer.Seconds // 0 if the attempt must not be sent
	}{
		{"no expiry time given", 1, 0, func(*request) {}, 110},
		{"expiry before the deadline", 1, 105, func(*request) {}, 105},
		{"expiry after the deadline", 1, 150, func(*request) {}, 110},
		{"expiry time has passed", 1, 100, func(*request) {}, 0},
		{"node is not in the registry", 7, 105, func(*request) {}, 0},
		{"request is final", 1, 105, func(req *request) { req.state = requestWithdrawn }, 0},
		{"last allowed attempt", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 3) }, 105},
		{"one attempt more than allowed", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 4) }, 0},
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
					t.Errorf("attempt in state %v with effects %+v, want an abandoned attempt without effects", attempt.state, shared.effects)
				}
				return
			}
			sent := len(shared.effects) == 1 && shared.effects[0].Kind == SendAttempt && table.get(attempt.key()) == attempt
			if attempt.state != attemptPending || !sent || attempt.expiresAt != test.expiresAt || shared.timers.NextTimeOr(0) != test.expiresAt {
				t.Errorf("attempt in state %v expires at %v with effects %+v, want one pending attempt to be sent", attempt.state, attempt.expiresAt, shared.effects)
			}
		})
	}
}
