package dispatch

import (
	"errors"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// setField returns a change of a message.
func setField(field protocol.Field, text string) func(*protocol.Message) {
	return func(msg *protocol.Message) { msg.Set(field, text) }
}

// TestInvalidRequests: an invalid request is answered on its own connection with an error and counted by its reason; no other request ends.
func TestInvalidRequests(t *testing.T) {
	harness := newHarness(t, nil)
	idInUse := harness.launch(harness.connect(), "query", 1000, "")
	for _, test := range []struct {
		name   string
		reason InvalidReason
		spoil  func(*protocol.Message)
	}{
		{"class", InvalidClass, setField(protocol.Class, "gold")},
		{"tenant", InvalidTenant, setField(protocol.Tenant, "north")},
		{"key", InvalidKey, setField(protocol.Key, "x")},
		{"body", InvalidBody, func(msg *protocol.Message) { msg.Body = "" }},
		{"left", InvalidTimeLeft, setField(protocol.TimeLeft, "-1")},
		{"left long", InvalidTimeLeft, setField(protocol.TimeLeft, "8001")},
		{"left huge", InvalidTimeLeft, setField(protocol.TimeLeft, "1e300")},
		{"left NaN", InvalidTimeLeft, setField(protocol.TimeLeft, "NaN")},
		{"cores", InvalidExtras, setField(protocol.Extras, "cores:-1;memory:1")},
		{"cores Inf", InvalidExtras, setField(protocol.Extras, "cores:Inf;memory:1")},
		{"no memory", InvalidExtras, setField(protocol.Extras, "cores:1")},
		{"service", InvalidExtras, setField(protocol.Extras, "cores:1;memory:1;service:zz")},
		{"at", InvalidNode, setField(protocol.Extras, "cores:1;memory:1;at:s-77777777")},
		{"an id in use", InvalidIDInUse, func(msg *protocol.Message) { *msg = launchMessage(idInUse) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			msg := launchMessage(99)
			test.spoil(&msg)
			conn := harness.connect()

			err := harness.core.ReceiveFromClient(harness.now, conn, &msg)

			var invalid *InvalidMessageError
			if !errors.As(err, &invalid) || invalid.Reason != test.reason {
				t.Errorf("error %v, want reason %q", err, test.reason)
			}
			effects := harness.core.Ready()
			if len(effects) != 1 || effects[0].Kind != SendToClient || effects[0].Conn != conn || effects[0].Message.Cause != protocol.CauseError {
				t.Errorf("effects %+v", effects)
			}
		})
	}
	if open := harness.core.OpenRequests(); open != 1 {
		t.Errorf("%d open", open)
	}
}

// TestTooManyTasks: the number of tasks is bounded, and requests are accepted again once tasks have ended.
func TestTooManyTasks(t *testing.T) {
	harness := newHarness(t, &scriptedPlacer{})
	conn := harness.connect()
	for range maxTasks {
		harness.launch(conn, "query", 1000, adoptedFrom(1))
	}
	rejected := func() bool {
		harness.receiveFromClient(conn, launchMessage(1e6))
		effects := harness.core.Ready()
		return len(effects) == 1 && effects[0].Kind == SendToClient && effects[0].Message.Cause == protocol.CauseOverloaded
	}
	if !rejected() {
		t.Fatal("one too many was accepted")
	}

	harness.core.NodeDead(harness.now, nodeID(1))
	harness.carryOutEffects()

	if rejected() {
		t.Fatal("rejected after all have ended")
	}
}

func TestMessageOnClosedConnection(t *testing.T) {
	harness := newHarness(t, nil)
	msg := launchMessage(1)
	if err := harness.core.ReceiveFromClient(harness.now, 42, &msg); !errors.Is(err, ErrClientNotConnected) {
		t.Errorf("error %v", err)
	}
}

// TestActionsOnClosedRequest: actions of the placer on a task that is migrating change nothing but the counts.
func TestActionsOnClosedRequest(t *testing.T) {
	for name, kind := range map[string]placer.ActionKind{"reject": placer.Reject, "fail": placer.Fail, "migrate": placer.Migrate} {
		t.Run(name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			harness.migrate(attempt)
			harness.core.Ready()

			harness.core.execute(&placer.Action{Kind: kind, Task: attempt.request.taskID})

			effects := harness.core.Ready()
			if len(effects) != 0 || attempt.request.state != requestMigrating || harness.core.RunningTasks() != 1 {
				t.Errorf("state %v, effects %+v", attempt.request.state, effects)
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
