package dispatch

import (
	"slices"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// notifiedConns returns the connections on which the ends of tasks were notified since the last call.
func notifiedConns(harness *coreHarness) (conns []ConnID) {
	for _, effect := range messagesToClients(harness.core.Ready()) {
		if effect.Message.Kind == protocol.Stop {
			conns = append(conns, effect.Conn)
		}
	}
	return conns
}

// TestNotificationConnection checks that a notification is sent exactly once: on the connection of its
// request if that is open, otherwise on the first connection that sends a valid message.
func TestNotificationConnection(t *testing.T) {
	harness, _, attempt := runningAttempt(t, "seats")
	harness.connect()
	harness.reportEnd(attempt.Node, attempt.Message.ID, protocol.CauseEnd)
	if got := notifiedConns(harness); !slices.Equal(got, []ConnID{1}) {
		t.Fatalf("client was notified on connections %v, want the open connection of the request", got)
	}

	harness, _, attempt = runningAttempt(t, "seats")
	silent := harness.connect() // no message is sent on this connection
	harness.core.ClientDisconnected(harness.now, 1)
	harness.reportEnd(attempt.Node, attempt.Message.ID, protocol.CauseEnd)
	if got := notifiedConns(harness); len(got) != 0 || harness.core.Counts.PendingNotifications != 1 {
		t.Fatalf("client was notified on connections %v, although connection %d sent no valid message", got, silent)
	}

	next := harness.connect()
	harness.now += 7
	harness.receiveFromClient(next, newMessage(protocol.Check, 77, 0))
	if got := notifiedConns(harness); !slices.Equal(got, []ConnID{next}) {
		t.Fatalf("client was notified on connections %v, want the one that sent a valid message", got)
	}
	harness.receiveFromClient(next, newMessage(protocol.Check, 77, 0))
	if len(notifiedConns(harness)) != 0 {
		t.Fatal("client was notified a second time")
	}
}

// TestRedeliveryAfterDisconnect checks that a notification is sent again if its connection closes shortly
// afterwards. A notification that was acknowledged is not sent again, nor is one that was sent long before to
// a client that does not acknowledge notifications.
func TestRedeliveryAfterDisconnect(t *testing.T) {
	for _, test := range []struct {
		name                                             string
		acknowledges, acknowledged, migration, otherOpen bool
		after                                            placer.Seconds
		want                                             int
	}{
		{name: "closed shortly after", after: 0.01, want: 1},
		{name: "closed shortly after, other connection open", after: 0.01, want: 1, otherOpen: true},
		{name: "closed long after", after: 1.5, want: 0},
		{name: "closed long after, client acknowledges", acknowledges: true, after: 1.5, want: 1},
		{name: "notification acknowledged", acknowledges: true, acknowledged: true, after: 0.01, want: 0},
		{name: "migration, closed shortly after", migration: true, after: 0.01, want: 1},
		{name: "migration, closed long after", acknowledges: true, migration: true, after: 1.5, want: 0},
		{name: "closed after the retention time", acknowledges: true, after: 9, want: 0},
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
				t.Errorf("client was notified %d times on the other connection, want %d", got, test.want)
			}
		})
	}
}

// TestTerminationDuringMigration checks that the client of a migrating task is also notified of the end of
// the task, unless the node confirms that it stopped the task for the migration.
func TestTerminationDuringMigration(t *testing.T) {
	for _, test := range []struct {
		name        string
		cause, want protocol.Cause
	}{
		{"node confirms the stop", protocol.CauseCancelled, noCause},
		{"task ends by itself", protocol.CauseEnd, protocol.CauseEnd},
		{"node sends no message", noCause, protocol.CauseCancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			harness.migrate(attempt)
			effects := harness.core.Ready()
			if len(effects) != 2 || effects[0].Message.Kind != protocol.Migrate || effects[1].Kind != SendToNode {
				t.Fatalf("effects of the migration are %+v, want Migrate to the client and a message to the node", effects)
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
				t.Errorf("client was notified with cause %d, want %d", got, test.want)
			}
		})
	}
}
