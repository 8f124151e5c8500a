package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// notificationRetention is how long a notification is kept in case it has to be sent again. The scheduler
	// also waits this long for a node to confirm that it stopped a running task, and keeps an
	// earlyTermination this long.
	notificationRetention placer.Seconds = 8.0
	// unacknowledgedWindow applies to notifications on an owner's connection for which no acknowledgement is
	// expected. If such a notification was sent less than this time before its client connection closed, the
	// notification is assumed to be lost.
	unacknowledgedWindow placer.Seconds = 1.0
)

// notification is a message that tells a client that its running task has ended or has to migrate. Unlike the
// answer to a request, it may be sent on any connection, and it is sent again if the client may not have
// received it.
type notification struct {
	message   protocol.Message
	expiresAt placer.Seconds
	sentAt    placer.Seconds // sentAt is the time at which the notification was sent on its present connection.
	// sentAsMigration is set if the notification was sent as a Migrate message. Clients never acknowledge
	// Migrate messages.
	sentAsMigration bool
}

// needsRedelivery reports whether the notification has to be sent again, because the owner of the task may not
// have received it before the client connection closed. The parameter now is the time at which the connection
// closed, and recipient is what the client had shown by then. The parameter clientsAcknowledge is set if clients
// acknowledge notifications.
func (n *notification) needsRedelivery(now placer.Seconds, recipient clientIdentity, clientsAcknowledge bool) bool {
	if n.expiresAt <= now {
		return false
	}
	if recipient < clientOwner {
		return true // A client without tasks does not pass the notification on to the owner.
	}
	if clientsAcknowledge && !n.sentAsMigration {
		return true
	}
	return now-n.sentAt < unacknowledgedWindow
}

// deliveryLog contains the notifications that were sent on one client connection. The protocol does not
// require clients to acknowledge notifications.
type deliveryLog struct {
	unacknowledgedNotifications []notification // The client has not acknowledged these notifications.
}

// add adds a notification that was sent, and removes the notifications that have expired. It replaces an earlier
// notification about the same task: the later one says all that the client needs.
func (l *deliveryLog) add(now placer.Seconds, notice notification) {
	notice.sentAsMigration = notice.message.Kind == protocol.Migrate
	if notice.sentAsMigration {
		// A Migrate message is redelivered as a Stop message that reports the end of the task. A client that
		// received the Migrate message ignores the Stop message.
		notice.message = replyTo(&notice.message, protocol.Stop, protocol.CauseCancelled)
	}
	l.unacknowledgedNotifications = slices.DeleteFunc(l.unacknowledgedNotifications, func(entry notification) bool {
		return entry.message.ID == notice.message.ID || entry.expiresAt <= now
	})
	l.unacknowledgedNotifications = append(l.unacknowledgedNotifications, notice)
}

// acknowledge removes the notifications about the end of the task with the given ID, after the client has
// acknowledged the end of that task. It returns false if there is none.
func (l *deliveryLog) acknowledge(id protocol.ID) bool {
	countBefore := len(l.unacknowledgedNotifications)
	l.unacknowledgedNotifications = slices.DeleteFunc(l.unacknowledgedNotifications, func(entry notification) bool {
		return entry.message.ID == id && !entry.sentAsMigration
	})
	return len(l.unacknowledgedNotifications) < countBefore
}

// takeUnexpired removes all notifications and returns those that have not expired.
func (l *deliveryLog) takeUnexpired(now placer.Seconds) []notification {
	taken := slices.DeleteFunc(l.unacknowledgedNotifications, func(entry notification) bool { return entry.expiresAt <= now })
	l.unacknowledgedNotifications = nil
	return taken
}

// notifier notifies clients when their running tasks end or have to migrate. It owns the pending
// notifications and writes the deliveryLog of each connection.
type notifier struct {
	*sharedState
	clients              *clientRegistry
	pendingNotifications []notification // These notifications wait for a client connection, the oldest first.
	// clientsAcknowledge is set if any client has acknowledged a notification. Whether clients do so is a
	// property of the clients of a platform, and a new connection does not show it before it is needed.
	clientsAcknowledge bool
}

// newNotification returns a notification that expires after notificationRetention.
func (n *notifier) newNotification(msg protocol.Message) notification {
	return notification{message: msg, expiresAt: n.now + notificationRetention}
}

// notify sends a notification about the task of a request to the client. The notification is sent on the
// client connection on which the request arrived if that connection is open, otherwise on another client
// connection. If no client connection is suitable, the notification is sent on the next client connection that
// is identified.
func (n *notifier) notify(req *request, msg protocol.Message) {
	n.sendOnAnyConn(req.connID, n.newNotification(msg))
}

// sendOnAnyConn sends a notification on the preferred client connection if that connection is open, otherwise
// on another client connection. If no client connection is suitable, the notification becomes pending.
func (n *notifier) sendOnAnyConn(preferredConn ConnID, notice notification) {
	if conn := n.clients.selectConn(preferredConn); conn != nil {
		n.send(conn, notice)
		return
	}
	n.counts.PendingNotifications++
	n.pendingNotifications = slices.DeleteFunc(n.pendingNotifications, func(pending notification) bool { return pending.message.ID == notice.message.ID })
	n.pendingNotifications = append(n.pendingNotifications, notice)
}

// send sends a notification on a client connection. It also adds the notification to the deliveryLog of the
// connection, so that the notification can be sent again.
func (n *notifier) send(conn *clientConn, notice notification) {
	notice.sentAt = n.now
	n.clients.send(conn.id, notice.message)
	conn.notifications.add(n.now, notice)
}

// acknowledge handles a Stopped message. A client sends a Stopped message to acknowledge the notification that
// its task has ended. acknowledge returns false if no such notification was sent on the connection.
func (n *notifier) acknowledge(conn *clientConn, id protocol.ID) bool {
	n.clientsAcknowledge = true
	return conn.notifications.acknowledge(id)
}

// redeliverToOwner repeats the notifications that other clients without tasks have received and not
// acknowledged, on a connection that has just become an owner's.
func (n *notifier) redeliverToOwner(owner *clientConn) {
	for _, conn := range n.clients.connsByID() {
		if conn.identity == clientOwner {
			continue
		}
		for _, notice := range conn.notifications.takeUnexpired(n.now) {
			n.counts.Redeliveries++
			n.send(owner, notice)
		}
	}
}

// sendPendingNotifications sends all pending notifications on a client connection on which a message that
// identifies the client has just arrived.
func (n *notifier) sendPendingNotifications(conn *clientConn) {
	for _, notice := range n.pendingNotifications {
		if notice.expiresAt < n.now {
			n.counts.ExpiredNotifications++
			continue
		}
		n.send(conn, notice)
	}
	n.pendingNotifications = nil
}

// redeliver repeats the notifications that their owner may not have received before a connection closed. A
// client tolerates a repeated notification, even if the client no longer knows the task.
func (n *notifier) redeliver(closedConn *clientConn) {
	log := &closedConn.notifications
	for _, notice := range log.unacknowledgedNotifications {
		if notice.needsRedelivery(n.now, closedConn.identity, n.clientsAcknowledge) {
			n.counts.Redeliveries++
			n.sendOnAnyConn(0, notice)
		}
	}
}
