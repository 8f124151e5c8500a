package dispatch

import (
	"errors"
	"fmt"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestInvalidRequests: an invalid request is answered on its own connection with an error and counted by its reason; no other request ends.
func TestInvalidRequests(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connect()
	id := h.launch(conn, "query", 1000, "")
	set := func(field protocol.Field, text string) func(*protocol.Message) {
		return func(msg *protocol.Message) { msg.Set(field, text) }
	}
	for name, tc := range map[string]struct {
		reason InvalidReason
		spoil  func(*protocol.Message)
	}{
		"class":        {InvalidClass, set(protocol.Class, "gold")},
		"tenant":       {InvalidTenant, set(protocol.Tenant, "north")},
		"key":          {InvalidKey, set(protocol.Key, "x")},
		"body":         {InvalidBody, func(msg *protocol.Message) { msg.Body = "" }},
		"left":         {InvalidTimeLeft, set(protocol.TimeLeft, "-1")},
		"left long":    {InvalidTimeLeft, set(protocol.TimeLeft, "8001")},
		"left huge":    {InvalidTimeLeft, set(protocol.TimeLeft, "1e300")},
		"left NaN":     {InvalidTimeLeft, set(protocol.TimeLeft, "NaN")},
		"cores":        {InvalidExtras, set(protocol.Extras, "cores:-1;memory:1")},
		"cores Inf":    {InvalidExtras, set(protocol.Extras, "cores:Inf;memory:1")},
		"no memory":    {InvalidExtras, set(protocol.Extras, "cores:1")},
		"service":      {InvalidExtras, set(protocol.Extras, "cores:1;memory:1;service:zz")},
		"at":           {InvalidNode, set(protocol.Extras, "cores:1;memory:1;at:s-77777777")},
		"an id in use": {InvalidIDInUse, func(msg *protocol.Message) { msg.ID, msg.UID = id, fmt.Sprintf("%016x", uint64(id)) }},
	} {
		t.Run(name, func(t *testing.T) {
			msg := h.launchMessage(99)
			tc.spoil(&msg)
			other := h.connect()
			err := h.core.ReceiveFromClient(h.now, other, &msg)
			var invalid *InvalidMessageError
			if !errors.As(err, &invalid) || invalid.Reason != tc.reason {
				t.Errorf("error %v, want reason %q", err, tc.reason)
			}
			out := h.core.Ready()
			if len(out) != 1 || out[0].Kind != SendToClient || out[0].Conn != other || out[0].Message.Cause != protocol.CauseError {
				t.Errorf("effects %+v", out)
			}
		})
	}
	if h.core.OpenRequests() != 1 {
		t.Errorf("%d open", h.core.OpenRequests())
	}
}

// TestTooManyTasks: the number of tasks is bounded, and requests are accepted again once tasks have ended.
func TestTooManyTasks(t *testing.T) {
	h := newHarness(t, &scriptedPlacer{})
	conn := h.connect()
	for range maxTasks {
		h.launch(conn, "query", 1000, ";at:s-00000001")
	}
	rejected := func() bool {
		msg := h.launchMessage(protocol.ID(1e6))
		if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
			t.Fatal(err)
		}
		out := h.core.Ready()
		return len(out) == 1 && out[0].Kind == SendToClient && out[0].Message.Cause == protocol.CauseBusy
	}
	if !rejected() {
		t.Fatal("one too many was accepted")
	}
	h.core.NodeDead(h.now, NodeIDOf("s-00000001"))
	h.carryOutEffects()
	if rejected() {
		t.Fatal("rejected after all have ended")
	}
}

func TestMessageOnClosedConnection(t *testing.T) {
	h := newHarness(t, nil)
	msg := h.launchMessage(1)
	if err := h.core.ReceiveFromClient(h.now, 42, &msg); !errors.Is(err, ErrClientNotConnected) {
		t.Errorf("error %v", err)
	}
}

// TestActionsOnClosedRequest: actions of the placer on a task that is migrating change nothing but the counts.
func TestActionsOnClosedRequest(t *testing.T) {
	for name, kind := range map[string]placer.ActionKind{"reject": placer.Reject, "fail": placer.Fail, "migrate": placer.Migrate} {
		t.Run(name, func(t *testing.T) {
			h, _, attempt := sentAttempt(t, "seats")
			accept(h, attempt)
			h.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
			h.core.Ready()
			h.core.execute(&placer.Action{Kind: kind, Task: attempt.request.taskID})
			if out := h.core.Ready(); len(out) != 0 || attempt.request.state != requestMigrating || h.core.RunningTasks() != 1 {
				t.Errorf("state %v, effects %+v", attempt.request.state, out)
			}
		})
	}
}

// TestEndOfClosedRequest: a request that is closed already is neither withdrawn nor answered.
func TestEndOfClosedRequest(t *testing.T) {
	for _, state := range []requestState{requestMigrating, requestStopping, requestAnswered, requestWithdrawn, requestTerminated} {
		t.Run(state.String(), func(t *testing.T) {
			env := &environment{counts: &Counts{}}
			table := newRequestTable(env, newClientRegistry(env), newAttemptTable(env, newNodeRegistry(env)))
			req := &request{state: state}

			table.withdraw(req)
			table.answer(req, protocol.Message{})

			if req.state != state || *env.counts != (Counts{}) || table.openCount != 0 || len(env.effects) != 0 {
				t.Errorf("state %v, counts %+v, %d open, effects %+v", req.state, *env.counts, table.openCount, env.effects)
			}
		})
	}
}
