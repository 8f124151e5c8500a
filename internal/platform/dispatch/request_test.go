package dispatch

import (
	"errors"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// setField returns a function that sets a field of a message.
func setField(field protocol.Field, text string) func(*protocol.Message) {
	return func(msg *protocol.Message) { msg.Set(field, text) }
}

// TestInvalidRequests checks that an invalid request is answered with an error on its own connection, that
// the error has the right reason, and that no other request ends.
func TestInvalidRequests(t *testing.T) {
	harness := newHarness(t, nil)
	idInUse := harness.launch(harness.connect(), "query", 1000, "")
	for _, test := range []struct {
		name    string
		reason  InvalidReason
		corrupt func(*protocol.Message)
	}{
		{"unknown class", InvalidClass, setField(protocol.Class, "gold")},
		{"unknown tenant", InvalidTenant, setField(protocol.Tenant, "north")},
		{"invalid key", InvalidKey, setField(protocol.Key, "x")},
		{"missing body", InvalidBody, func(msg *protocol.Message) { msg.Body = "" }},
		{"negative time left", InvalidTimeLeft, setField(protocol.TimeLeft, "-1")},
		{"time left above the limit", InvalidTimeLeft, setField(protocol.TimeLeft, "8001")},
		{"huge time left", InvalidTimeLeft, setField(protocol.TimeLeft, "1e300")},
		{"time left is NaN", InvalidTimeLeft, setField(protocol.TimeLeft, "NaN")},
		{"negative cores", InvalidExtras, setField(protocol.Extras, "cores:-1;memory:1")},
		{"infinite cores", InvalidExtras, setField(protocol.Extras, "cores:Inf;memory:1")},
		{"missing memory", InvalidExtras, setField(protocol.Extras, "cores:1")},
		{"invalid service", InvalidExtras, setField(protocol.Extras, "cores:1;memory:1;service:zz")},
		{"unknown node", InvalidNode, setField(protocol.Extras, "cores:1;memory:1;at:s-77777777")},
		{"ID in use", InvalidIDInUse, func(msg *protocol.Message) { *msg = launchMessage(idInUse) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			msg := launchMessage(99)
			test.corrupt(&msg)
			conn := harness.connect()

			err := harness.core.ReceiveFromClient(harness.now, conn, &msg)

			var invalid *InvalidMessageError
			if !errors.As(err, &invalid) || invalid.Reason != test.reason {
				t.Errorf("ReceiveFromClient returned error %v, want reason %q", err, test.reason)
			}
			effects := harness.core.Ready()
			if len(effects) != 1 || effects[0].Kind != SendToClient || effects[0].Conn != conn || effects[0].Message.Cause != protocol.CauseError {
				t.Errorf("effects are %+v, want one error answer on the connection of the request", effects)
			}
		})
	}
	if open := harness.core.OpenRequests(); open != 1 {
		t.Errorf("%d requests are open, want only the valid one", open)
	}
}

// TestTooManyTasks checks that the number of tasks is limited, and that requests are accepted again after
// tasks have ended.
func TestTooManyTasks(t *testing.T) {
	harness := newHarness(t, &scriptedPlacer{})
	conn := harness.connect()
	for range maxTasks {
		harness.launch(conn, "query", 1000, adoptionExtras(1))
	}
	rejected := func() bool {
		harness.receiveFromClient(conn, launchMessage(1e6))
		effects := harness.core.Ready()
		return len(effects) == 1 && effects[0].Kind == SendToClient && effects[0].Message.Cause == protocol.CauseOverloaded
	}
	if !rejected() {
		t.Fatal("a request above the limit was accepted")
	}

	harness.core.NodeDead(harness.now, nodeID(1))
	harness.carryOutEffects()

	if rejected() {
		t.Fatal("a request was rejected after all tasks had ended")
	}
}

func TestMessageOnClosedConnection(t *testing.T) {
	harness := newHarness(t, nil)
	msg := launchMessage(1)
	if err := harness.core.ReceiveFromClient(harness.now, 42, &msg); !errors.Is(err, ErrClientNotConnected) {
		t.Errorf("ReceiveFromClient returned %v, want ErrClientNotConnected", err)
	}
}

// TestActionsOnMigratingRequest checks that actions of the placer for a migrating task change nothing except
// counters.
func TestActionsOnMigratingRequest(t *testing.T) {
	for name, kind := range map[string]placer.ActionKind{"reject": placer.Reject, "fail": placer.Fail, "migrate": placer.Migrate} {
		t.Run(name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			harness.migrate(attempt)
			harness.core.Ready()

			harness.core.execute(&placer.Action{Kind: kind, Task: attempt.request.taskID})

			effects := harness.core.Ready()
			if len(effects) != 0 || attempt.request.state != requestMigrating || harness.core.RunningTasks() != 1 {
				t.Errorf("request in state %v with effects %+v, want a migrating request without effects", attempt.request.state, effects)
			}
		})
	}
}

// TestEndOfFinalRequest checks that a request in a final state is neither withdrawn nor answered.
func TestEndOfFinalRequest(t *testing.T) {
	for _, state := range []requestState{requestMigrating, requestStopping, requestAnswered, requestWithdrawn, requestTerminated} {
		t.Run(state.String(), func(t *testing.T) {
			shared := &sharedState{counts: &Counts{}}
			table := newRequestTable(shared, newClientRegistry(shared), newAttemptTable(shared, newNodeRegistry(shared)))
			req := &request{state: state}

			table.withdraw(req)
			table.answer(req, protocol.Message{})

			if req.state != state || *shared.counts != (Counts{}) || table.openCount != 0 || len(shared.effects) != 0 {
				t.Errorf("request in state %v, counts %+v, %d open requests, effects %+v, want no change", req.state, *shared.counts, table.openCount, shared.effects)
			}
		})
	}
}
