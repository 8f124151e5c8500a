package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// notificationRetention is the time for which a notification is kept for redelivery. It is also the longest wait for a node to confirm that
	// it stopped a running task, and the time for which an earlyTermination is kept.
	notificationRetention placer.Seconds = 8.0
	// unacknowledgedWindow is for clients that do not acknowledge notifications: a notification that was sent no longer than this before its
	// connection ended is assumed to be lost.
	unacknowledgedWindow placer.Seconds = 1.0
)

// notification is a message that notifies a client that its running task has ended or has to migrate. Unlike the answer to a request it may be
// sent on any connection, and is sent again if the client may not have received it.
type notification struct {
	message   protocol.Message
	expiresAt placer.Seconds
	migration bool // it was sent as a request to migrate, which clients never acknowledge
}

// needsRedelivery reports whether the client may not have received the notification before its connection ended at the given time.
func (n *notification) needsRedelivery(now placer.Seconds, acknowledges bool) bool {
	if n.expiresAt <= now {
		return false
	}
	if acknowledges && !n.migration {
		return true
	}
	sentAt := n.expiresAt - notificationRetention
	return now-sentAt < unacknowledgedWindow
}

// deliveryLog holds the notifications that were sent on one connection.
type deliveryLog struct {
	unacknowledged []notification // sent and not acknowledged yet
	acknowledges   bool           // the client has acknowledged a notification, which is optional in the protocol
}

// add keeps a notification until it expires or is acknowledged.
func (l *deliveryLog) add(now placer.Seconds, notice notification) {
	if notice.message.Kind == protocol.Migrate {
		// A redelivery notifies of the end that follows from the migration: a client that received the request to migrate ignores it.
		notice.message = replyTo(&notice.message, protocol.Stop, protocol.CauseCancelled)
		notice.migration = true
	}
	l.unacknowledged = slices.DeleteFunc(l.unacknowledged, func(sent notification) bool { return sent.expiresAt <= now })
	l.unacknowledged = append(l.unacknowledged, notice)
}

// acknowledge removes the notifications of a task's end, which the client has acknowledged.
func (l *deliveryLog) acknowledge(id protocol.ID) {
	l.acknowledges = true
	l.unacknowledged = slices.DeleteFunc(l.unacknowledged, func(sent notification) bool {
		return sent.message.ID == id && !sent.migration
	})
}

// notifier notifies clients of the ends and migrations of their running tasks. It owns the pending notifications, and writes the deliveryLog of
// each connection.
type notifier struct {
	*environment
	clients *clientRegistry
	pending []notification // those for which no connection was open, oldest first
}

// newNotification returns a notification that is kept from now on.
func (n *notifier) newNotification(msg protocol.Message) notification {
	return notification{message: msg, expiresAt: n.now + notificationRetention}
}

// notify notifies the client of a request whose task runs or ran: on the request's own connection, otherwise on another client connection,
// otherwise on the next one on which a valid message arrives.
func (n *notifier) notify(req *request, msg protocol.Message) {
	n.sendOnAny(req.conn, n.newNotification(msg))
}

// notifyOn sends a notification on a connection that is open.
func (n *notifier) notifyOn(conn *clientConn, msg protocol.Message) {
	n.send(conn, n.newNotification(msg))
}

// sendOnAny sends a notification on the preferred connection if that is open, otherwise on another one. If there is none, it becomes pending.
func (n *notifier) sendOnAny(preferred ConnID, notice notification) {
	if conn := n.clients.selectFor(preferred); conn != nil {
		n.send(conn, notice)
		return
	}
	n.counts.PendingNotifications++
	n.pending = append(n.pending, notice)
}

// send sends a notification and keeps it until it expires or is acknowledged.
func (n *notifier) send(conn *clientConn, notice notification) {
	n.clients.send(conn.id, notice.message)
	conn.notifications.add(n.now, notice)
}

// acknowledge handles a client's message that it has received the notification of a task's end.
func (n *notifier) acknowledge(conn *clientConn, id protocol.ID) { conn.notifications.acknowledge(id) }

// sendPending sends all pending notifications on a connection on which a valid message has just arrived.
func (n *notifier) sendPending(conn *clientConn) {
	for _, notice := range n.pending {
		if notice.expiresAt < n.now {
			n.counts.ExpiredNotifications++
			continue
		}
		n.send(conn, notice)
	}
	n.pending = nil
}

// redeliver sends again the notifications that the client of an ended connection may not have received. Clients accept a second notification of
// a task that they no longer know.
func (n *notifier) redeliver(disconnected *clientConn) {
	log := &disconnected.notifications
	for _, notice := range log.unacknowledged {
		if notice.needsRedelivery(n.now, log.acknowledges) {
			n.counts.Redeliveries++
			n.sendOnAny(0, notice)
		}
	}
}
