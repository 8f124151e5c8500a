package dispatch

import (
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestNotificationFindsAClient: a notification goes out on its request's connection, else on the first one that sends a valid message, once.
func TestNotificationFindsAClient(t *testing.T) {
	notifiedOn := func(h *harness) (conns []ConnID) {
		for _, e := range h.core.Ready() {
			if e.Kind == SendToClient && e.Message.Kind == protocol.Stop {
				conns = append(conns, e.Conn)
			}
		}
		return conns
	}
	finish := func(h *harness, attempt *Attempt) {
		msg := newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd)
		h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
	}
	h, _, attempt := sentAttempt(t, "seats")
	accept(h, attempt)
	h.connect()
	finish(h, attempt)
	if got := notifiedOn(h); len(got) != 1 || got[0] != 1 {
		t.Fatalf("the request's connection is open, notified on %v", got)
	}
	h, _, attempt = sentAttempt(t, "seats")
	accept(h, attempt)
	unidentified := h.connect() // sends nothing
	h.core.ClientDisconnected(h.now, 1)
	finish(h, attempt)
	if got := notifiedOn(h); len(got) != 0 || h.core.Counts.PendingNotifications != 1 {
		t.Fatalf("notified on %v, connection %d is unidentified", got, unidentified)
	}
	next := h.connect()
	msg := newMessage(protocol.Check, 77, 0)
	if err := h.core.ReceiveFromClient(h.now+7, next, &msg); err != nil {
		t.Fatal(err)
	}
	if got := notifiedOn(h); len(got) != 1 || got[0] != next {
		t.Fatalf("notified on %v", got)
	}
	if err := h.core.ReceiveFromClient(h.now+7, next, &msg); err != nil || len(notifiedOn(h)) != 0 {
		t.Fatal("notified twice")
	}
}

// TestRedeliveryAfterDisconnect: a notification that is sent while its client closes the connection is sent again. One that was acknowledged, or
// that was sent long before to a client that does not acknowledge notifications, is not.
func TestRedeliveryAfterDisconnect(t *testing.T) {
	for name, tc := range map[string]struct {
		acknowledges, acknowledged, migration, otherOpen bool
		after                                            placer.Seconds
		want                                             int
	}{
		"at once":                                {after: 0.01, want: 1},
		"at once, another is open":               {after: 0.01, want: 1, otherOpen: true},
		"long ago":                               {after: 1.5, want: 0},
		"long ago, from one that acknowledges":   {acknowledges: true, after: 1.5, want: 1},
		"acknowledged":                           {acknowledges: true, acknowledged: true, after: 0.01, want: 0},
		"a migration":                            {migration: true, after: 0.01, want: 1},
		"a migration long ago":                   {acknowledges: true, migration: true, after: 1.5, want: 0},
		"longer ago than notifications are kept": {acknowledges: true, after: 9, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, attempt := sentAttempt(t, "seats")
			accept(h, attempt)
			send := func(conn ConnID, msg protocol.Message) {
				if err := h.core.ReceiveFromClient(h.now, conn, &msg); err != nil {
					t.Fatal(err)
				}
			}
			if tc.acknowledges {
				send(1, newMessage(protocol.Stopped, 99, -1))
			}
			if tc.migration {
				h.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
				msg := newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseCancelled)
				h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
			} else {
				msg := newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd)
				h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
			}
			if tc.acknowledged {
				send(1, newMessage(protocol.Stopped, attempt.Message.ID, -1))
			}
			h.core.Ready()
			h.core.Advance(h.now + tc.after)
			h.now += tc.after
			other := ConnID(0)
			if tc.otherOpen {
				other = h.connect()
				send(other, newMessage(protocol.Check, 77, 0))
				h.core.Ready()
			}
			h.core.ClientDisconnected(h.now, 1)
			if !tc.otherOpen {
				other = h.connect()
				send(other, newMessage(protocol.Check, 77, 0))
			}
			got := 0
			for _, e := range h.core.Ready() {
				if e.Kind == SendToClient && e.Message.Kind == protocol.Stop && e.Message.ID == attempt.Message.ID && e.Conn == other {
					got++
				}
			}
			if got != tc.want {
				t.Errorf("notified %d times, want %d", got, tc.want)
			}
		})
	}
}

// TestMigrationCrossesTermination: the client of a migrating task is notified of its end too, unless the node confirms that it stopped the task
// for the migration.
func TestMigrationCrossesTermination(t *testing.T) {
	for name, tc := range map[string]struct {
		cause, want int
	}{
		"confirmed":       {protocol.CauseCancelled, noCause},
		"ended by itself": {protocol.CauseEnd, protocol.CauseEnd},
		"no message":      {noCause, protocol.CauseCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, attempt := sentAttempt(t, "seats")
			accept(h, attempt)
			h.core.execute(&placer.Action{Kind: placer.Migrate, Task: attempt.request.taskID})
			if out := h.core.Ready(); len(out) != 2 || out[0].Message.Kind != protocol.Migrate || out[1].Kind != SendToNode {
				t.Fatalf("effects %+v", out)
			}
			if tc.cause >= 0 {
				msg := newMessage(protocol.Stop, attempt.Message.ID, tc.cause)
				h.core.ReceiveFromNode(h.now, attempt.Node, &msg)
			}
			h.core.Advance(h.now + 1)
			got := noCause
			for _, e := range h.core.Ready() {
				if e.Kind == SendToClient {
					got = e.Message.Cause
				}
			}
			if got != tc.want {
				t.Errorf("client notified with cause %d, want %d", got, tc.want)
			}
		})
	}
}
