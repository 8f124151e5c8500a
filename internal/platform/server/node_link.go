//go:build linux

package server

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/connpool"
	"heathshed/internal/control/retry"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// maxPendingBytes is the maximum size of the encoded messages that wait for a connection to one node.
const maxPendingBytes = 64 << 10

// nodeLink manages the connections to one node, and the attempts and messages that wait for a connection. A
// link is identified by the uid of its node, because another node may later use the same address.
type nodeLink struct {
	server          *Server
	id              placer.NodeID
	addr            string
	conns           []*nodeConn         // conns contains the established connections.
	dialing         *nodeConn           // dialing is the connection that is being dialed, or nil.
	queuedAttempts  []*dispatch.Attempt // queuedAttempts contains the attempts that wait for the dial to succeed.
	pendingMessages []byte              // pendingMessages contains encoded messages that wait for a connection.
	backoff         retry.Backoff
	retryAt         clock.Instant // retryAt is the earliest time of the next dial.
	disconnectedAt  clock.Instant // disconnectedAt is when the last connection ended, or zero if none has ended.
	reachability    connpool.Reachability
	hasTasks        bool // hasTasks states whether the node ran tasks at the last call of maintain.
	// needsConn states whether maintain last decided that the node must be dialed. This is the case if the
	// node has no connection although it runs tasks or messages are pending, and it may be dialed.
	needsConn bool
}

// closeConns closes all connections, including the one that is being dialed.
func (link *nodeLink) closeConns() {
	for _, nc := range slices.Clone(link.conns) {
		nc.conn.Close()
	}
	if link.dialing != nil {
		link.dialing.conn.Close()
	}
}

// send sends an attempt on a usable connection, or queues it and dials a connection.
func (link *nodeLink) send(attempt *dispatch.Attempt) {
	if nc := link.usableConn(); nc != nil {
		nc.sendAttempt(attempt)
		return
	}
	link.queuedAttempts = append(link.queuedAttempts, attempt)
	link.dial()
}

// sendMessage sends a message about an attempt. It prefers the connection on which the attempt was sent, then
// any other open connection. If no connection is open, the message is sent when the next one is established.
func (link *nodeLink) sendMessage(effect *dispatch.Effect) {
	nc := link.connByID(effect.Attempt.NodeConn)
	if nc != nil {
		delete(nc.attempts, effect.Attempt)
	}
	suspected := nc != nil && effect.TimedOut
	if nc == nil {
		nc = link.anyConn()
	}
	if nc == nil {
		if len(link.pendingMessages) < maxPendingBytes {
			link.pendingMessages = effect.Message.Append(link.pendingMessages)
		}
		return
	}
	nc.write(&effect.Message)
	if suspected {
		// Either the node is slow or the connection is broken. The health check distinguishes the two cases.
		// Until it is answered, no attempt is sent on the connection.
		link.server.stats.NodeConnsSuspected++
		nc.sendHealthCheck()
	}
}

// connByID returns the established connection with the given ID, or nil.
func (link *nodeLink) connByID(id dispatch.NodeConnID) *nodeConn {
	for _, nc := range link.conns {
		if nc.id == id {
			return nc
		}
	}
	return nil
}

// usableConn returns the usable connection on which data arrived most recently, or nil if no connection is
// usable. Attempts are sent on this connection.
func (link *nodeLink) usableConn() *nodeConn {
	var best *nodeConn
	for _, nc := range link.conns {
		if nc.keepAlive.Usable() && (best == nil || nc.keepAlive.LastReceived > best.keepAlive.LastReceived) {
			best = nc
		}
	}
	return best
}

// anyConn returns a usable connection if there is one, otherwise any established connection, or nil if there
// is none.
func (link *nodeLink) anyConn() *nodeConn {
	if nc := link.usableConn(); nc != nil {
		return nc
	}
	if len(link.conns) > 0 {
		return link.conns[0]
	}
	return nil
}

// dial opens a connection, unless one is being dialed already. Failures are reported in a later iteration of
// the event loop.
func (link *nodeLink) dial() {
	if link.dialing != nil {
		return
	}
	s := link.server
	if !s.nodes.ensureSlot() {
		s.loop.After(0, func() { link.dialFailed(errNoConnectionSlot) })
		return
	}
	nc := &nodeConn{link: link, id: s.nodes.nextConnID(), attempts: map[*dispatch.Attempt]struct{}{}}
	s.stats.NodeDials++
	conn, err := s.loop.Dial(link.addr, s.config.connectTimeout(), nc)
	if err != nil {
		s.loop.After(0, func() { link.dialFailed(err) })
		return
	}
	conn.MaxInputBytes = 2 * protocol.MaxLineBytes
	nc.conn = conn
	link.dialing = nc
	s.nodes.takeSlot()
}

// connEstablished adds an established connection and sends the messages and attempts that waited for it.
func (link *nodeLink) connEstablished(nc *nodeConn) {
	s := link.server
	link.reachability.Received(s.loop.Now())
	if link.dialing == nc {
		link.dialing = nil
	}
	link.backoff.Reset()
	link.conns = append(link.conns, nc)
	if len(link.pendingMessages) > 0 {
		nc.conn.Write(link.pendingMessages)
		link.pendingMessages = nil
	}
	queued := link.queuedAttempts
	link.queuedAttempts = nil
	for _, attempt := range queued {
		s.attemptSender.schedule(attempt)
	}
	s.applyReadyEffects()
}

// dialFailed records a failed dial and reports the attempts that waited for the connection as failed.
func (link *nodeLink) dialFailed(err error) {
	s := link.server
	s.stats.NodeDialsFailed++
	link.retryAt = s.loop.Now().Add(s.nextRetryDelay(&link.backoff))
	if !errors.Is(err, errNoConnectionSlot) { // A lack of slots says nothing about the state of the node.
		link.reachability.DialFailed(s.loop.Now(), errors.Is(err, unix.ECONNREFUSED))
	}
	queued := link.queuedAttempts
	link.queuedAttempts = nil
	for _, attempt := range queued {
		s.core.ConnectFailed(s.coreNow(), attempt)
	}
	s.applyReadyEffects()
}

// connClosed removes a connection that has ended.
func (link *nodeLink) connClosed(nc *nodeConn, err error) {
	s := link.server
	if i := slices.Index(link.conns, nc); i >= 0 {
		link.conns = slices.Delete(link.conns, i, i+1)
	}
	link.disconnectedAt = s.loop.Now()
	if !errors.Is(err, eventloop.ErrClosedLocally) {
		s.stats.NodeConnsLost++
	}
}

// maintain closes connections that are idle or unresponsive and decides whether the node must be dialed. It
// removes the link if the node has terminated and runs no tasks.
func (link *nodeLink) maintain() {
	s := link.server
	now := s.loop.Now()
	node := s.core.Node(link.id)
	hasTasks := node != nil && node.RunningTasks() > 0
	// A full list may omit a node that the next list contains again, so the connections are kept for
	// TerminationGrace.
	if !hasTasks && (node == nil || node.TerminatedFor(s.coreNow()) > dispatch.TerminationGrace) {
		link.closeConns()
		s.nodes.remove(link)
		return
	}
	if hasTasks && !link.hasTasks {
		link.reachability.Received(now) // Failures before these tasks started say nothing about the tasks.
	}
	link.hasTasks = hasTasks
	link.maintainConns(now)
	link.needsConn = link.lacksRequiredConn() && link.checkReachability(now, node)
}

// maintainConns applies the keep-alive policy to each connection.
func (link *nodeLink) maintainConns(now clock.Instant) {
	s := link.server
	for _, nc := range slices.Clone(link.conns) {
		nc.keepAlive.PendingRequests = len(nc.attempts)
		nc.keepAlive.RunsTasks = link.hasTasks
		nc.keepAlive.HasAlternative = len(link.conns) > 1
		switch s.nodes.keepAlive.KeepAlive(now, nc.keepAlive) {
		case connpool.SendHealthCheck:
			nc.sendHealthCheck()
		case connpool.CloseIdle:
			nc.conn.Close()
		case connpool.CloseUnresponsive:
			s.stats.NodeConnsUnresponsive++
			nc.conn.Close()
		}
	}
}

// lacksRequiredConn reports whether the node has no connection although it runs tasks or messages are
// pending.
func (link *nodeLink) lacksRequiredConn() bool {
	return (link.hasTasks || len(link.pendingMessages) > 0) && len(link.conns) == 0
}

// checkReachability reports a node that is unreachable to the dispatch core and returns whether the node may
// be dialed. A terminated node must not be dialed: another node may use its address, and messages from that
// node would be attributed to the terminated one.
func (link *nodeLink) checkReachability(now clock.Instant, node *dispatch.Node) bool {
	s := link.server
	if !link.hasTasks {
		return node.State != placer.Terminated
	}
	switch link.reachability.Status(now) {
	case connpool.ProcessEnded:
		s.stats.NodesUnreachable++
		s.log.Warn().Str("node", node.UID).Int("tasks", node.RunningTasks()).Msg("node declared dead: it refuses connections")
		s.core.NodeDead(s.coreNow(), link.id)
		link.pendingMessages = nil
		return false
	case connpool.Unresponsive:
		if tasks := s.core.NodeUnresponsive(s.coreNow(), link.id); tasks > 0 {
			s.stats.NodesUnreachable++
			s.log.Warn().Str("node", node.UID).Int("tasks", tasks).Msg("node unresponsive: its tasks are given up")
		}
	}
	return node.State != placer.Terminated
}

// isDialDue reports whether the node needs a connection, no connection is being dialed and the backoff has
// elapsed.
func (link *nodeLink) isDialDue(now clock.Instant) bool {
	return link.needsConn && len(link.conns) == 0 && link.dialing == nil && now >= link.retryAt
}
