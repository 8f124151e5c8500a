//go:build linux

package server

import (
	"errors"

	"heathshed/internal/control/clock"
	"heathshed/internal/control/connpool"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// errUnexpectedKind ends a connection on which a node sends a message that only clients and schedulers send.
var errUnexpectedKind = errors.New("message kind that a node does not send")

// healthCheck is answered by a node at once, however busy it is.
var healthCheck = protocol.Message{Kind: protocol.Check, UID: "0000000000000001", ID: 1, HasCause: true}

// nodeConnState is the state of a connection to a node.
type nodeConnState uint8

const (
	nodeDialing     nodeConnState = iota // not established yet
	nodeEstablished                      // reads and writes
	nodeClosed                           // ended, or never established
)

func (state nodeConnState) String() string {
	return [...]string{"dialing", "established", "closed"}[state]
}

// canBecome reports whether a transition is legal.
func (state nodeConnState) canBecome(next nodeConnState) bool {
	switch state {
	case nodeDialing:
		return next == nodeEstablished || next == nodeClosed
	case nodeEstablished:
		return next == nodeClosed
	}
	return false
}

// nodeConn is one connection to a node.
type nodeConn struct {
	link          *nodeLink
	id            dispatch.NodeConnID
	conn          *eventloop.Conn
	state         nodeConnState
	establishedAt clock.Instant
	attempts      map[*dispatch.Attempt]struct{} // sent here and unanswered
	keepAlive     connpool.ConnState
	message       protocol.Message
}

// setState makes a transition. One that is not legal is a fault of the program: it is counted and the state stays.
func (nc *nodeConn) setState(next nodeConnState) {
	if !nc.state.canBecome(next) {
		nc.link.server.recordIllegalTransition("node connection", uint64(nc.id), nc.state, next)
		return
	}
	nc.state = next
}

// sendAttempt sends an attempt unless the core has ended it meanwhile.
func (nc *nodeConn) sendAttempt(attempt *dispatch.Attempt) {
	s := nc.link.server
	if !s.core.PrepareSend(s.coreNow(), attempt) {
		return
	}
	attempt.NodeConn = nc.id
	nc.attempts[attempt] = struct{}{}
	nc.keepAlive.LastSent = s.loop.Now()
	nc.write(&attempt.Message)
}

// write queues a message.
func (nc *nodeConn) write(message *protocol.Message) {
	nc.link.server.traceMessage(">node", uint64(nc.id), nc.conn.Peer(), message)
	nc.conn.CommitOutput(message.Append(nc.conn.OutputBuffer()))
}

// sendHealthCheck sends a health check unless one is unanswered.
func (nc *nodeConn) sendHealthCheck() {
	if nc.keepAlive.HealthCheckSent.IsZero() {
		nc.keepAlive.HealthCheckSent = nc.link.server.loop.Now()
		nc.write(&healthCheck)
	}
}

// Opened implements eventloop.Handler: the dial has succeeded.
func (nc *nodeConn) Opened(*eventloop.Conn) {
	now := nc.link.server.loop.Now()
	nc.setState(nodeEstablished)
	nc.establishedAt = now
	nc.keepAlive.LastReceived = now
	nc.keepAlive.LastSent = now
	nc.link.established(nc)
}

// Data implements eventloop.Handler: it handles the complete lines of data.
func (nc *nodeConn) Data(conn *eventloop.Conn, data []byte) int {
	s := nc.link.server
	now := s.loop.Now()
	nc.keepAlive.LastReceived = now
	nc.link.reachability.Received(now)
	consumed, err := s.reader.readLines(conn, data, nc.handleLine)
	nc.removeAnswered()
	nc.keepAlive.IncompleteSince = nextIncompleteSince(nc.keepAlive.IncompleteSince, now, consumed, len(data))
	s.processReady()
	if err != nil && !conn.Closed() {
		s.stats.InvalidFromNodes.add(err)
		s.warn("node connection closed", conn.Peer(), err)
		conn.Close()
		return len(data)
	}
	return consumed
}

// handleLine hands one message to the core. An error ends the connection.
func (nc *nodeConn) handleLine(line []byte) (lineCost, error) {
	s := nc.link.server
	if err := protocol.Parse(line, &nc.message); err != nil {
		return lineCounts, err
	}
	kind := nc.message.Kind
	if kind == protocol.Launch || kind == protocol.Check {
		return lineCounts, errUnexpectedKind
	}
	s.traceMessage("node>", uint64(nc.id), nc.conn.Peer(), &nc.message)
	if kind == protocol.Checked {
		nc.keepAlive.HealthCheckSent = 0
		return lineCounts, nil
	}
	s.core.ReceiveFromNode(s.coreNow(), nc.link.id, &nc.message)
	return lineCounts, nil
}

// removeAnswered drops the attempts that have been answered.
func (nc *nodeConn) removeAnswered() {
	for attempt := range nc.attempts {
		if !attempt.Unanswered() {
			delete(nc.attempts, attempt)
		}
	}
}

// Drained implements eventloop.Handler.
func (nc *nodeConn) Drained(*eventloop.Conn) {}

// Closed implements eventloop.Handler: the dial has failed or the connection has ended.
func (nc *nodeConn) Closed(_ *eventloop.Conn, err error) {
	link := nc.link
	s := link.server
	s.nodes.slotFreed()
	s.log.Trace().
		Uint64("conn", uint64(nc.id)).
		Str("addr", link.addr).
		Stringer("state", nc.state).
		Err(err).
		Msg("node connection ended")
	wasDialing := nc.state == nodeDialing
	nc.setState(nodeClosed)
	if wasDialing {
		if link.dialing == nc {
			link.dialing = nil
		}
		link.dialFailed(err)
		return
	}
	link.closed(nc, err)
	nc.loseAttempts()
}

// loseAttempts reports the unanswered attempts to the core: whether the node received them is unknown.
func (nc *nodeConn) loseAttempts() {
	s := nc.link.server
	unanswered := make([]*dispatch.Attempt, 0, len(nc.attempts))
	for attempt := range nc.attempts {
		unanswered = append(unanswered, attempt)
	}
	nc.attempts = nil
	for _, attempt := range unanswered {
		s.core.ConnectionLost(s.coreNow(), attempt)
	}
	s.processReady()
}
