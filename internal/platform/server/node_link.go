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

// nodeLink manages the connections to one node, and the attempts that wait for a connection to the node. A
// link is identified by the ID of its node and not by the address, because another node may later use the same
// address.
type nodeLink struct {
	server         *Server
	id             placer.NodeID
	addr           string
	conns          []*nodeConn         // conns contains the established connections to the node.
	dialingConn    *nodeConn           // dialingConn is the connection to the node that is being dialed, or nil if there is none.
	queuedAttempts []*dispatch.Attempt // queuedAttempts contains the attempts that wait for the dial to succeed.
	backoff        retry.Backoff
	retryAt        clock.Instant // retryAt is the earliest time of the next dial after a failed dial.
	disconnectedAt clock.Instant // disconnectedAt is when a connection to the node last ended, or zero if none has ended.
	reachability   connpool.Reachability
	hasTasks       bool // hasTasks states whether the node ran tasks at the last call of maintain.
	// needsFreshConn states that a connection has ended on which the node may have reported the end of a task.
	// The node repeats the report on the next connection that is opened.
	needsFreshConn bool
	// needsConn states whether the last call of maintain decided that the node must be dialed. A node must be
	// dialed if running tasks or unanswered checks require a connection that works or a fresh one, and if
	// checkReachability allows a dial.
	needsConn bool
}

// closeConns closes all connections to the node, including the one that is being dialed.
func (link *nodeLink) closeConns() {
	for _, nc := range slices.Clone(link.conns) {
		nc.conn.Close()
	}
	if link.dialingConn != nil {
		link.dialingConn.conn.Close()
	}
}

// send sends an attempt on a usable connection to the node. If no connection is usable, it queues the attempt
// and dials the node.
func (link *nodeLink) send(attempt *dispatch.Attempt) {
	if nc := link.usableConn(); nc != nil {
		nc.sendAttempt(attempt)
		return
	}
	link.queuedAttempts = append(link.queuedAttempts, attempt)
	if len(link.conns) >= connpool.MaxSilentConns {
		link.server.loop.After(0, func() { link.dialFailed(errSilentConns) })
		return
	}
	link.dial()
}

// sendMessage sends the message of an effect to the node, if a connection to the node is established.
func (link *nodeLink) sendMessage(effect *dispatch.Effect) {
	nc := link.connFor(effect.Attempt)
	if nc == nil {
		return
	}
	delete(nc.attempts, effect.Attempt)
	nc.write(&effect.Message)
	if effect.TimedOut && nc.id == effect.Attempt.NodeConn {
		// The attempt timed out because the node is slow or because the connection is broken. A health check
		// distinguishes these cases. Until the node answers it, no attempt is sent on the connection.
		link.server.stats.NodeConnsSuspected++
		nc.sendHealthCheck()
	}
}

// stopLostTask sends the message of an effect on the connection on which the task was requested, if it is open.
func (link *nodeLink) stopLostTask(effect *dispatch.Effect) {
	if nc := link.connByID(effect.Attempt.NodeConn); nc != nil {
		nc.write(&effect.Message)
	}
}

// sendCheck sends the message of an effect, if it has one, and then a check to the node. If no connection to
// the node is established, it sends nothing: the dispatch core repeats the effect when one is.
func (link *nodeLink) sendCheck(effect *dispatch.Effect) {
	nc := link.connFor(effect.Attempt)
	if nc == nil || !nc.keepAlive.Usable() {
		nc = link.anyConn()
	}
	if nc == nil {
		link.server.log.Trace().Str("uid", effect.Attempt.Message.UID).Str("addr", link.addr).Msg("check waits for a connection to the node")
		return
	}
	if effect.Kind == dispatch.StopTask {
		nc.write(&effect.Message)
	}
	nc.requestCheck(requestedCheck{effect.Attempt, effect.Check})
}

// connFor returns the connection on which messages about an attempt are sent: the connection on which the
// attempt was sent, or, if that connection has ended, another established connection to the node. It returns
// nil if no connection is established.
func (link *nodeLink) connFor(attempt *dispatch.Attempt) *nodeConn {
	if nc := link.connByID(attempt.NodeConn); nc != nil {
		return nc
	}
	return link.anyConn()
}

// connByID returns the established connection with the given ID, or nil if there is none.
func (link *nodeLink) connByID(id dispatch.NodeConnID) *nodeConn {
	for _, nc := range link.conns {
		if nc.id == id {
			return nc
		}
	}
	return nil
}

// usableConn returns the connection on which attempts are sent: the usable connection to the node on which
// data arrived most recently. It returns nil if no connection is usable.
func (link *nodeLink) usableConn() *nodeConn {
	var mostRecentConn *nodeConn
	for _, nc := range link.conns {
		if nc.keepAlive.Usable() && (mostRecentConn == nil || nc.keepAlive.LastReceived > mostRecentConn.keepAlive.LastReceived) {
			mostRecentConn = nc
		}
	}
	return mostRecentConn
}

// anyConn returns a usable connection to the node. If no connection is usable, it returns any established
// connection, and if none is established, it returns nil.
func (link *nodeLink) anyConn() *nodeConn {
	if nc := link.usableConn(); nc != nil {
		return nc
	}
	if len(link.conns) > 0 {
		return link.conns[0]
	}
	return nil
}

// dial starts to open a connection to the node, unless a dial is already in progress. If the connection
// cannot be opened, dialFailed is called in a later iteration of the event loop.
func (link *nodeLink) dial() {
	if link.dialingConn != nil {
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
	link.dialingConn = nc
	s.nodes.takeSlot()
}

// connEstablished adds a connection that was just established. It tells the dispatch core, which repeats the
// unanswered checks, and schedules the queued attempts.
func (link *nodeLink) connEstablished(nc *nodeConn) {
	s := link.server
	link.reachability.Established()
	link.needsFreshConn = false
	if link.dialingConn == nc {
		link.dialingConn = nil
	}
	link.backoff.Reset()
	link.conns = append(link.conns, nc)
	s.core.RepeatChecks(s.coreNow(), link.id)
	attempts := link.queuedAttempts
	link.queuedAttempts = nil
	for _, attempt := range attempts {
		s.attemptSender.schedule(attempt)
	}
	s.applyReadyEffects()
}

// dialFailed records a failed dial and tells the dispatch core that no connection could be established for
// the queued attempts.
func (link *nodeLink) dialFailed(err error) {
	s := link.server
	s.stats.NodeDialsFailed++
	link.retryAt = s.loop.Now().Add(s.nextRetryDelay(&link.backoff))
	if !errors.Is(err, errNoConnectionSlot) && !errors.Is(err, errSilentConns) { // A dial that was not started does not show whether the node is reachable.
		link.reachability.DialFailed(s.loop.Now(), errors.Is(err, unix.ECONNREFUSED))
	}
	attempts := link.queuedAttempts
	link.queuedAttempts = nil
	for _, attempt := range attempts {
		s.core.ConnectFailed(s.coreNow(), attempt)
	}
	s.applyReadyEffects()
}

// connClosed removes an established connection that has ended. Checks that the node has not answered on it
// are sent again on another connection.
func (link *nodeLink) connClosed(nc *nodeConn, err error) {
	s := link.server
	if i := slices.Index(link.conns, nc); i >= 0 {
		link.conns = slices.Delete(link.conns, i, i+1)
	}
	link.disconnectedAt = s.loop.Now()
	node := s.core.Node(link.id)
	if node != nil && node.RunningTasks() > 0 && !nc.closedAsSurplus {
		link.needsFreshConn = true
	}
	if !errors.Is(err, eventloop.ErrClosedLocally) {
		s.stats.NodeConnsLost++
	}
	if !nc.closedAsSurplus {
		s.core.NodeConnClosed(s.coreNow(), link.id, nc.id)
	}
	if len(link.conns) > 0 {
		s.core.RepeatChecks(s.coreNow(), link.id)
	}
	s.applyReadyEffects()
}

// maintain closes idle and unresponsive connections to the node, and decides whether the node must be dialed.
// It removes the link if no task runs on the node and the dispatch core does not know the node or the node has
// been terminated for more than dispatch.TerminationGrace.
func (link *nodeLink) maintain() {
	s := link.server
	now := s.loop.Now()
	node := s.core.Node(link.id)
	hasTasks := node != nil && node.RunningTasks() > 0
	// A full list of nodes from the discovery server may omit a node that the next full list contains again,
	// so the connections to an omitted node are kept for TerminationGrace.
	if !hasTasks && (node == nil || node.TerminatedFor(s.coreNow()) > dispatch.TerminationGrace) {
		// An order to stop a task that was lost with the node may have been queued in this iteration.
		for _, nc := range slices.Clone(link.conns) {
			nc.conn.Flush()
		}
		link.closeConns()
		s.nodes.remove(link)
		return
	}
	if hasTasks && !link.hasTasks {
		link.reachability.Received(now) // Dials that failed before these tasks started do not show that the tasks are lost.
	}
	link.hasTasks = hasTasks
	link.needsFreshConn = link.needsFreshConn && hasTasks
	link.maintainConns(now)
	link.needsConn = link.lacksRequiredConn(now) && link.checkReachability(now, node)
}

// maintainConns applies the keep-alive policy to each established connection to the node.
func (link *nodeLink) maintainConns(now clock.Instant) {
	policy := link.server.nodes.keepAlive
	policy.Compare(now, link.connStates())
	expendable := policy.Expendable(now, link.connStates())
	for _, nc := range slices.Clone(link.conns) {
		nc.keepAlive.PendingRequests = len(nc.attempts)
		nc.keepAlive.RunsTasks = link.hasTasks
		switch policy.KeepAlive(now, nc.keepAlive) {
		case connpool.SendHealthCheck:
			nc.sendHealthCheck()
		case connpool.CloseIdle:
			nc.closeAsSurplus()
		case connpool.KeepSilent:
			nc.markSilent()
			if &nc.keepAlive == expendable {
				nc.closeAsSurplus()
			}
		case connpool.CloseUnresponsive:
			nc.markSilent()
			nc.conn.Close()
		}
	}
}

// connStates returns the states of the established connections to the node. The slice is valid until the next
// call for any link.
func (link *nodeLink) connStates() []*connpool.ConnState {
	states := link.server.nodes.connStates[:0]
	for _, nc := range link.conns {
		states = append(states, &nc.keepAlive)
	}
	link.server.nodes.connStates = states
	return states
}

// lacksRequiredConn reports whether another connection to the node must be opened, because the node runs tasks
// or has not answered a check.
func (link *nodeLink) lacksRequiredConn(now clock.Instant) bool {
	if !link.hasTasks && !link.server.core.AwaitsCheckAnswer(link.id) {
		return false
	}
	mayOpenFreshConn := link.needsFreshConn && len(link.conns) < connpool.MaxSilentConns
	return mayOpenFreshConn || link.server.nodes.keepAlive.NeedsReplacement(now, link.connStates())
}

// checkReachability notifies the dispatch core if the node is unreachable. It returns whether the node may be
// dialed. A terminated node must not be dialed: another node may use its address, and messages from that node
// would be attributed to the terminated node.
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
		return false
	case connpool.Unresponsive:
		if tasks := s.core.NodeUnresponsive(s.coreNow(), link.id); tasks > 0 {
			s.stats.NodesUnreachable++
			s.log.Warn().Str("node", node.UID).Int("tasks", tasks).Msg("node unresponsive: its tasks are given up")
		}
	}
	return node.State != placer.Terminated
}

// isDialDue reports whether the node must be dialed now. This is the case if it needs a connection, none is
// being dialed, and the delay after the last failed dial has elapsed.
func (link *nodeLink) isDialDue(now clock.Instant) bool {
	return link.needsConn && link.dialingConn == nil && now >= link.retryAt
}
