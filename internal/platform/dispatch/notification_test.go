package dispatch

import (
	"slices"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// notifiedOn returns the connections on which ends of tasks were notified since the last call.
func notifiedConns(harness *coreHarness) (conns []ConnID) {
	for _, effect := range messagesToClients(harness.core.Ready()) {
		if effect.Message.Kind == protocol.Stop {
			conns = append(conns, effect.Conn)
		}
	}
	return conns
}

// TestNotificationConnection: a notification is sent on its request's connection, otherwise on the first one that sends a valid message, once.
func TestNotificationConnection(t *testing.T) {
	harness, _, attempt := runningAttempt(t, "seats")
	harness.connect()
	harness.reportEnd(attempt.Node, attempt.Message.ID, protocol.CauseEnd)
	if got := notifiedConns(harness); !slices.Equal(got, []ConnID{1}) {
		t.Fatalf("the request's connection is open, notified on %v", got)
	}

	harness, _, attempt = runningAttempt(t, "seats")
	unidentified := harness.connect() // sends nothing
	harness.core.ClientDisconnected(harness.now, 1)
	harness.reportEnd(attempt.Node, attempt.Message.ID, protocol.CauseEnd)
	if got := notifiedConns(harness); len(got) != 0 || harness.core.Counts.PendingNotifications != 1 {
		t.Fatalf("notified on %v, connection %d is unidentified", got, unidentified)
	}

	next := harness.connect()
	harness.now += 7
	harness.receiveFromClient(next, newMessage(protocol.Check, 77, 0))
	if got := notifiedConns(harness); !slices.Equal(got, []ConnID{next}) {
		t.Fatalf("notified on %v", got)
	}
	harness.receiveFromClient(next, newMessage(protocol.Check, 77, 0))
	if len(notifiedConns(harness)) != 0 {
		t.Fatal("notified twice")
	}
}

// TestRedeliveryAfterDisconnect: a notification that is sent while its client closes the connection is sent again. One that was acknowledged, or
// that was sent long before to a client that does not acknowledge notifications, is not.
func TestRedeliveryAfterDisconnect(t *testing.T) {
	for _, test := range []struct {
		name                                             string
		acknowledges, acknowledged, migration, otherOpen bool
		after                                            placer.Seconds
		want                                             int
	}{
		{name: "at once", after: 0.01, want: 1},
		{name: "at once, another is open", after: 0.01, want: 1, otherOpen: true},
		{name: "long ago", after: 1.5, want: 0},
		{name: "long ago, from one that acknowledges", acknowledges: true, after: 1.5, want: 1},
		{name: "acknowledged", acknowledges: true, acknowledged: true, after: 0.01, want: 0},
		{name: "a migration", migration: true, after: 0.01, want: 1},
		{name: "a migration long ago", acknowledges: true, migration: true, after: 1.5, want: 0},
		{name: "longer ago than notifications are kept", acknowledges: true, after: 9, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			id := attempt.Message.ID
			identify := func(conn ConnID) { harness.receiveFromClient(conn, newMessage(protocol.Check, 77, 0)) }
			if test.acknowledges {
				harness.receiveFromClient(1, newMessage(protocol.Stopped, 99, noCause))
			}
			cause := protocol.CauseEnd
			if test.migration {
				harness.migrate(attempt)
				cause = protocol.CauseCancelled
			}
			harness.reportEnd(attempt.Node, id, cause)
			if test.acknowledged {
				harness.receiveFromClient(1, newMessage(protocol.Stopped, id, noCause))
			}
			harness.core.Ready()
			harness.now += test.after
			harness.core.Advance(harness.now)

			other := ConnID(0)
			if test.otherOpen {
				other = harness.connect()
				identify(other)
				harness.core.Ready()
			}
			harness.core.ClientDisconnected(harness.now, 1)
			if !test.otherOpen {
				other = harness.connect()
				identify(other)
			}

			got := 0
			for _, effect := range messagesToClients(harness.core.Ready()) {
				if effect.Message.Kind == protocol.Stop && effect.Message.ID == id && effect.Conn == other {
					got++
				}
			}
			if got != test.want {
				t.Errorf("notified %d times, want %d", got, test.want)
			}
		})
	}
}

// TestTerminationDuringMigration: the client of a migrating task is notified of its end too, unless the node confirms that it stopped the task
// for the migration.
func TestTerminationDuringMigration(t *testing.T) {
	for _, test := range []struct {
		name        string
		cause, want protocol.Cause
	}{
		{"confirmed", protocol.CauseCancelled, noCause},
		{"ended by itself", protocol.CauseEnd, protocol.CauseEnd},
		{"no message", noCause, protocol.CauseCancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			harness.migrate(attempt)
			effects := harness.core.Ready()
			if len(effects) != 2 || effects[0].Message.Kind != protocol.Migrate || effects[1].Kind != SendToNode {
				t.Fatalf("effects %+v", effects)
			}

			if test.cause >= 0 {
				harness.reportEnd(attempt.Node, attempt.Message.ID, test.cause)
			}
			harness.core.Advance(harness.now + 1)

			got := noCause
			for _, effect := range messagesToClients(harness.core.Ready()) {
				got = effect.Message.Cause
			}
			if got != test.want {
				t.Errorf("client notified with cause %d, want %d", got, test.want)
			}
		})
	}
}
