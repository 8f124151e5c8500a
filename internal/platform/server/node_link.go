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

// maxPendingBytes bounds the messages that wait for a connection to one node.
const maxPendingBytes = 64 << 10

// nodeLink holds the connections to one node and what waits for them. A node is identified by its uid: another one may come up at the same
// address.
type nodeLink struct {
	server          *Server
	id              placer.NodeID
	addr            string
	conns           []*nodeConn         // established
	dialing         *nodeConn           // nil if none is
	queued          []*dispatch.Attempt // wait for dialing
	pendingMessages []byte              // encoded, for a node without a connection
	backoff         retry.Backoff
	retryAt         clock.Instant // when the node may be dialed again
	disconnectedAt  clock.Instant // when its last connection ended; zero if none did
	reachability    connpool.Reachability
	hasTasks        bool // at the last housekeeping
	needsConn       bool // at the last housekeeping: without a connection, while tasks run or messages are pending
}

// closeConns closes all connections, the one being dialed included.
func (link *nodeLink) closeConns() {
	for _, nc := range slices.Clone(link.conns) {
		nc.conn.Close()
	}
	if link.dialing != nil {
		link.dialing.conn.Close()
	}
}

// send sends an attempt on an open connection, or dials one for it.
func (link *nodeLink) send(attempt *dispatch.Attempt) {
	if nc := link.usableConn(); nc != nil {
		nc.sendAttempt(attempt)
		return
	}
	link.queued = append(link.queued, attempt)
	link.dial()
}

// sendMessage sends a message about an attempt: on the connection that the attempt went out on if that is open, else on any other, else on
// the next one that is established.
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
		// The node is slow, or the connection is dead. A health check tells; until it is answered no attempt goes out on the connection.
		link.server.stats.NodeConnsSuspected++
		nc.sendHealthCheck()
	}
}

// connByID returns the open connection with a number, nil if there is none.
func (link *nodeLink) connByID(id dispatch.NodeConnID) *nodeConn {
	for _, nc := range link.conns {
		if nc.id == id {
			return nc
		}
	}
	return nil
}

// usableConn returns the connection that attempts go out on, nil if there is none: of those that may be used, the one on which something
// arrived last.
func (link *nodeLink) usableConn() *nodeConn {
	var best *nodeConn
	for _, nc := range link.conns {
		if nc.keepAlive.Usable() && (best == nil || nc.keepAlive.LastReceived > best.keepAlive.LastReceived) {
			best = nc
		}
	}
	return best
}

// anyConn returns a connection for messages, nil if none is open: a usable one if possible.
func (link *nodeLink) anyConn() *nodeConn {
	if nc := link.usableConn(); nc != nil {
		return nc
	}
	if len(link.conns) > 0 {
		return link.conns[0]
	}
	return nil
}

// dial opens a connection unless one is being opened. Failures are reported in a later iteration of the loop.
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
	conn.MaxInputBytes = 2 * protocol.MaxLine
	nc.conn = conn
	link.dialing = nc
	s.nodes.slotTaken()
}

// established takes over a connection that has come up and sends what waited for it.
func (link *nodeLink) established(nc *nodeConn) {
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
	queued := link.queued
	link.queued = nil
	for _, attempt := range queued {
		s.attempts.schedule(attempt)
	}
	s.processReady()
}

// dialFailed fails the attempts that waited for a connection.
func (link *nodeLink) dialFailed(err error) {
	s := link.server
	s.stats.NodeDialsFailed++
	link.retryAt = s.loop.Now().Add(s.nextDelay(&link.backoff))
	if !errors.Is(err, errNoConnectionSlot) { // which says nothing about the node
		link.reachability.DialFailed(s.loop.Now(), errors.Is(err, unix.ECONNREFUSED))
	}
	queued := link.queued
	link.queued = nil
	for _, attempt := range queued {
		s.core.ConnectFailed(s.coreNow(), attempt)
	}
	s.processReady()
}

// closed takes away a connection that has ended.
func (link *nodeLink) closed(nc *nodeConn, err error) {
	s := link.server
	if i := slices.Index(link.conns, nc); i >= 0 {
		link.conns = slices.Delete(link.conns, i, i+1)
	}
	link.disconnectedAt = s.loop.Now()
	if !errors.Is(err, eventloop.ErrClosedLocally) {
		s.stats.NodeConnsLost++
	}
}

// maintain closes connections that are idle or dead, decides whether the node is to be dialed, and removes the link of a node that has been
// terminated.
func (link *nodeLink) maintain() {
	s := link.server
	now := s.loop.Now()
	node := s.core.Node(link.id)
	hasTasks := node != nil && node.RunningTasks() > 0
	// A full list may omit a node that the next one has again: for TerminationGrace its connections stay.
	if !hasTasks && (node == nil || node.TerminatedFor(s.coreNow()) > dispatch.TerminationGrace) {
		link.closeConns()
		s.nodes.remove(link)
		return
	}
	if hasTasks && !link.hasTasks {
		link.reachability.Received(now) // earlier failures say nothing about these tasks
	}
	link.hasTasks = hasTasks
	link.maintainConns(now)
	link.needsConn = link.awaitsConn() && link.checkReachability(now, node)
}

// maintainConns carries out the keep-alive policy on each connection.
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

// awaitsConn reports whether the node has no connection but tasks that may end there, or messages to be sent.
func (link *nodeLink) awaitsConn() bool {
	return (link.hasTasks || len(link.pendingMessages) > 0) && len(link.conns) == 0
}

// checkReachability reports a node that cannot be reached to the core, and returns whether it is to be dialed. A terminated node is not:
// another one may have come up at its address, whose messages would be taken for those of the terminated one.
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

// isDialDue reports whether the node needs a connection, none is being dialed and its backoff has passed.
func (link *nodeLink) isDialDue(now clock.Instant) bool {
	return link.needsConn && len(link.conns) == 0 && link.dialing == nil && now >= link.retryAt
}
