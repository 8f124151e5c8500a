package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// TestLateAnswers: what becomes of a task whose node accepts it after the attempt was abandoned.
func TestLateAnswers(t *testing.T) {
	for _, test := range []struct {
		name, class string
		withdrawn   bool
		stopped     bool
	}{
		{"an idempotent task is stopped", "query", false, true},
		{"another runs on until its client lists it for adoption", "seats", false, false},
		{"one whose client withdrew it is stopped", "seats", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := sentAttempt(t, test.class)
			if test.withdrawn {
				harness.withdraw(attempt.Message.ID)
			} else {
				harness.advance(2.005)
			}

			effects := harness.accept(attempt)

			if stopped := stopsNode(effects); stopped != test.stopped || harness.core.RunningTasks() != 0 {
				t.Errorf("node asked to stop the task: %v, want %v", stopped, test.stopped)
			}
		})
	}
}

// TestTerminationBeforeTheAnswer: a node that drains, evicts or preempts a task had accepted it, though its answer is late: the task ran and is
// over. Its client is notified at once, no other attempt is made, and the late answer changes nothing. What failed on its way, or was rejected
// for lack of capacity, is attempted at other nodes.
func TestTerminationBeforeTheAnswer(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause protocol.Cause
		note  string
		over  bool
	}{
		{"drained", protocol.CauseLost, "drained", true},
		{"evicted", protocol.CauseLost, "oom", true},
		{"preempted", protocol.CauseLost, "preempted", true},
		{"failed on its way", protocol.CauseLost, "", false},
		{"full", protocol.CauseNoCapacity, "drained", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, policy, attempt := sentAttempt(t, "query")
			record := harness.records[attempt.Message.ID]
			msg := newMessage(protocol.Stop, attempt.Message.ID, test.cause)
			msg.Set(protocol.Note, test.note)

			answers := messagesToClients(harness.receiveFromNode(attempt, msg))

			notified := len(answers) == 1 && answers[0].Message.Cause == protocol.CauseLost
			bound := policy.received(placer.Bound)
			if notified != test.over || bound != test.over || policy.last().Final != test.over || record.answers != 1 {
				t.Errorf("client notified %+v, placer notified that it ran %v, last event %+v", answers, bound, policy.last())
			}
			harness.accept(attempt)
			if harness.core.RunningTasks() != 0 || record.answers != 1 {
				t.Error("runs after a late answer")
			}
		})
	}
}

// TestAttemptStart: an attempt that could not be answered in time, that is one too many, or whose node is gone, expires without being sent.
func TestAttemptStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		node      int
		until     placer.Seconds
		change    func(req *request)
		expiresAt placer.Seconds // 0 if it is not sent
	}{
		{"no time given", 1, 0, func(*request) {}, 110},
		{"a time before the deadline", 1, 105, func(*request) {}, 105},
		{"a time after the deadline", 1, 150, func(*request) {}, 110},
		{"a time that is over", 1, 100, func(*request) {}, 0},
		{"a node that is not in the registry", 7, 105, func(*request) {}, 0},
		{"a closed request", 1, 105, func(req *request) { req.state = requestWithdrawn }, 0},
		{"the last attempt allowed", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 3) }, 105},
		{"one attempt too many", 1, 105, func(req *request) { req.attempts = make([]*Attempt, 4) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := &environment{now: 100, counts: &Counts{}, settings: &simconfig.Settings{}}
			env.settings.Placer.Attempts.Max = 4
			nodes := newNodeRegistry(env)
			nodes.update(&nodeEntry{UID: nodeUID(1), State: "in_service"})
			table := newAttemptTable(env, nodes)
			req := &request{deadline: 110}
			test.change(req)

			table.start(req, &placer.Action{Node: nodeID(test.node), Until: test.until})

			attempt := req.lastAttempt()
			if test.expiresAt == 0 {
				if attempt.state != attemptAbandoned || len(env.effects) != 0 || len(table.byKey) != 0 {
					t.Errorf("state %v, effects %+v", attempt.state, env.effects)
				}
				return
			}
			sent := len(env.effects) == 1 && env.effects[0].Kind == SendAttempt && table.get(attempt.key()) == attempt
			if attempt.state != attemptPending || !sent || attempt.expiresAt != test.expiresAt || env.timers.NextTimeOr(0) != test.expiresAt {
				t.Errorf("state %v, expires at %v, effects %+v", attempt.state, attempt.expiresAt, env.effects)
			}
		})
	}
}
