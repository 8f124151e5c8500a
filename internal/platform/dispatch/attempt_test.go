package dispatch

import (
	"slices"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestLateAnswers: what becomes of a task whose node accepts it after the attempt was abandoned.
func TestLateAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, class string
		withdrawn   bool
		stopped     bool
	}{
		{"an idempotent task is stopped", "query", false, true},
		{"another is left to its client's inquiry", "seats", false, false},
		{"one whose client withdrew it is stopped", "seats", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, _, attempt := sentAttempt(t, tc.class)
			if tc.withdrawn {
				msg := newMessage(protocol.Stop, attempt.Message.ID, 16)
				h.records[msg.ID].withdrawn = true
				if err := h.core.ReceiveFromClient(h.now, 1, &msg); err != nil {
					t.Fatal(err)
				}
				h.carryOutEffects()
			} else {
				h.advance(2.005)
			}
			msg := newMessage(protocol.Running, attempt.Message.ID, -1)
			msg.Body = `"out"`
			h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
			stopped := false
			for _, e := range h.core.Ready() {
				stopped = stopped || e.Kind == SendToNode && e.Message.Kind == protocol.Stop
			}
			if stopped != tc.stopped || h.core.RunningTasks() != 0 {
				t.Errorf("node told to stop the task: %v, want %v", stopped, tc.stopped)
			}
		})
	}
}

// TestTerminationBeforeTheAnswer: a node that drains, evicts or preempts a task had accepted it, though its answer is late: the task ran and is
// over. Its client is notified at once, no other attempt is made, and the late answer changes nothing. What failed on its way, or was rejected
// for want of capacity, is tried at other nodes.
func TestTerminationBeforeTheAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		cause int
		note  string
		over  bool
	}{
		"drained":           {protocol.CauseReset, "drained", true},
		"evicted":           {protocol.CauseReset, "oom", true},
		"preempted":         {protocol.CauseReset, "preempted", true},
		"failed on its way": {protocol.CauseReset, "", false},
		"full":              {protocol.CauseFull, "drained", false},
	} {
		t.Run(name, func(t *testing.T) {
			h, policy, attempt := sentAttempt(t, "query")
			record := h.records[attempt.Message.ID]
			msg := newMessage(protocol.Stop, attempt.Message.ID, tc.cause)
			msg.Set(protocol.Note, tc.note)
			h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
			var notified []int
			out := h.core.Ready()
			for _, e := range out {
				if e.Kind == SendToClient {
					notified = append(notified, e.Message.Cause)
				}
			}
			h.core.effects = out
			h.carryOutEffects()
			bound := false
			for _, ev := range policy.events {
				bound = bound || ev.Kind == placer.Bound
			}
			lost := slices.Equal(notified, []int{protocol.CauseReset})
			if lost != tc.over || bound != tc.over || policy.last().Final != tc.over || record.answers != 1 {
				t.Errorf("client notified %v, placer told that it ran %v, last event %+v", notified, bound, policy.last())
			}
			accept(h, attempt)
			if h.core.RunningTasks() != 0 || record.answers != 1 {
				t.Error("runs after a late answer")
			}
		})
	}
}
