package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
)

const (
	// notificationRetention is for how long a notification is kept until a client has received it. It is also the longest wait for a node to
	// confirm that it stopped a running task, and for how long an earlyTermination is kept.
	notificationRetention = 8.0
	// unacknowledgedWindow bounds the time between a notification and the end of its connection within which the notification is assumed not
	// to have been received, where the client does not acknowledge notifications.
	unacknowledgedWindow = 1.0
)

// notification is a message that tells a client that its running task has ended or is to migrate. Unlike the answer to a request it may be
// sent on any connection, and is sent again if the client may not have received it.
type notification struct {
	message   protocol.Message
	expiresAt float64
	migration bool // it was sent as a request to migrate, which clients never acknowledge
}

// needsRedelivery reports whether the client may not have received the notification before its connection ended at the given time.
func (n *notification) needsRedelivery(now float64, acknowledges bool) bool {
	if n.expiresAt <= now {
		return false
	}
	if acknowledges && !n.migration {
		return true
	}
	sentAt := n.expiresAt - notificationRetention
	return now-sentAt < unacknowledgedWindow
}

// newNotification returns a notification that is kept from now on.
func (c *Core) newNotification(msg protocol.Message) notification {
	return notification{message: msg, expiresAt: c.now + notificationRetention}
}

// notifyClient notifies the client of a request whose task runs or ran: on the request's own connection, else on another one of a client,
// else on the first one that sends a valid message from now on.
func (c *Core) notifyClient(req *request, msg protocol.Message) {
	c.notifyAnyClient(req.conn, c.newNotification(msg))
}

// notifyAnyClient sends a notification on the preferred connection if that is open, else on another one. Without any it stays pending.
func (c *Core) notifyAnyClient(preferred ConnID, notice notification) {
	if client := c.selectClient(preferred); client != nil {
		c.sendNotification(client, notice)
		return
	}
	c.Counts.PendingNotifications++
	c.pendingNotifications = append(c.pendingNotifications, notice)
}

// sendNotification sends a notification and keeps it until it expires or is acknowledged.
func (c *Core) sendNotification(client *clientConn, notice notification) {
	c.sendToClient(client.id, notice.message)
	if notice.message.Kind == protocol.Migrate {
		// A redelivery notifies of the end that follows from the migration: a client that received the request to migrate ignores it.
		notice.message = replyTo(&notice.message, protocol.Stop, protocol.CauseCancelled)
		notice.migration = true
	}
	client.unacknowledged = slices.DeleteFunc(client.unacknowledged, func(sent notification) bool { return sent.expiresAt <= c.now })
	client.unacknowledged = append(client.unacknowledged, notice)
}

// acknowledge removes the notifications of a task's end that the client says it has received.
func (cc *clientConn) acknowledge(id protocol.ID) {
	cc.acknowledges = true
	cc.unacknowledged = slices.DeleteFunc(cc.unacknowledged, func(sent notification) bool {
		return sent.message.ID == id && !sent.migration
	})
}

// selectClient returns the preferred connection if it is open, else the one that is most likely that of a client with running tasks, nil if
// none has sent a valid message.
func (c *Core) selectClient(preferred ConnID) *clientConn {
	if client := c.clients[preferred]; client != nil {
		return client
	}
	var best *clientConn
	for _, client := range c.clients {
		if client.lastValidAt > 0 && (best == nil || client.moreRecentThan(best)) {
			best = client
		}
	}
	return best
}

// moreRecentThan orders connections by when they last had a task placed, then by their last valid message, then by age.
func (cc *clientConn) moreRecentThan(other *clientConn) bool {
	if cc.lastPlacedAt != other.lastPlacedAt {
		return cc.lastPlacedAt > other.lastPlacedAt
	}
	if cc.lastValidAt != other.lastValidAt {
		return cc.lastValidAt > other.lastValidAt
	}
	return cc.id > other.id
}

// sendPendingNotifications sends all pending notifications on a connection that has just sent a valid message.
func (c *Core) sendPendingNotifications(client *clientConn) {
	for _, notice := range c.pendingNotifications {
		if notice.expiresAt < c.now {
			c.Counts.ExpiredNotifications++
			continue
		}
		c.sendNotification(client, notice)
	}
	c.pendingNotifications = nil
}

// redeliver sends again what the client of a connection that has ended may not have received. Clients accept a second notification of a task
// that they no longer know.
func (c *Core) redeliver(disconnected *clientConn) {
	for _, notice := range disconnected.unacknowledged {
		if notice.needsRedelivery(c.now, disconnected.acknowledges) {
			c.Counts.Redeliveries++
			c.notifyAnyClient(0, notice)
		}
	}
}
