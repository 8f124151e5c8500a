//go:build linux

package server

import (
	"errors"

	"heathshed/internal/control/connpool"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// errUnexpectedKind is logged when a node connection is closed because the node sent a Launch or a Check.
var errUnexpectedKind = errors.New("node sent a kind of message that only schedulers and clients may send")

// healthCheck is the message that checks whether a node connection works. A node answers a health check at
// once, however busy the node is.
var healthCheck = protocol.Message{Kind: protocol.Check, UID: "0000000000000001", ID: 1, HasCause: true}

// nodeConnState is the state of a connection to a node.
type nodeConnState uint8

const (
	nodeDialing     nodeConnState = iota // nodeDialing means that the node connection is not established yet.
	nodeEstablished                      // nodeEstablished means that messages are read from the node and written to it.
	nodeClosed                           // nodeClosed means that the node connection has ended or that the dial has failed.
)

func (state nodeConnState) String() string {
	return [...]string{"dialing", "established", "closed"}[state]
}

// canBecome reports whether a node connection may change from this state to the next state.
func (state nodeConnState) canBecome(next nodeConnState) bool {
	switch state {
	case nodeDialing:
		return next == nodeEstablished || next == nodeClosed
	case nodeEstablished:
		return next == nodeClosed
	}
	return false
}

// nodeConn is one connection to a node. It implements eventloop.Handler for the events of this connection.
type nodeConn struct {
	link      *nodeLink
	id        dispatch.NodeConnID
	conn      *eventloop.Conn
	state     nodeConnState
	attempts  map[*dispatch.Attempt]struct{} // attempts contains the unanswered attempts that were sent on the connection.
	keepAlive connpool.ConnState
	checks    checkQueue
	silent    bool // silent is set while the node has not answered a health check in time.
	// closedAsSurplus is set if the connection is closed although it works, or although an older one is kept.
	closedAsSurplus bool
	message         protocol.Message
}

// setState changes the state of the node connection. An illegal transition is a programming error: setState
// counts and logs it, and leaves the state unchanged.
func (nc *nodeConn) setState(next nodeConnState) {
	if !nc.state.canBecome(next) {
		nc.link.server.recordIllegalTransition("node connection", uint64(nc.id), nc.state, next)
		return
	}
	nc.state = next
}

// sendAttempt sends an attempt, unless the dispatch core has ended the attempt since it was scheduled.
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

// write queues a message, which the event loop sends to the node.
func (nc *nodeConn) write(message *protocol.Message) {
	nc.link.server.traceMessage(">node", uint64(nc.id), nc.conn.Peer(), message)
	nc.conn.CommitOutput(message.Append(nc.conn.OutputBuffer()))
}

// sendHealthCheck sends a health check, unless an earlier health check on the node connection is unanswered.
func (nc *nodeConn) sendHealthCheck() {
	if nc.keepAlive.HealthCheckSent.IsZero() {
		nc.keepAlive.HealthCheckSent = nc.link.server.loop.Now()
		nc.write(&healthCheck)
	}
}

// requestCheck sends a check that the dispatch core has requested. If an earlier one is unanswered, the check
// is sent after the answer.
func (nc *nodeConn) requestCheck(check requestedCheck) {
	if nc.checks.add(check) {
		nc.sendRequestedChecks()
	}
}

func (nc *nodeConn) sendRequestedChecks() {
	message := nc.checks.nextMessage()
	nc.write(&message)
}

// handleChecked handles the answer to a health check or to a check that the dispatch core has requested.
func (nc *nodeConn) handleChecked(id protocol.ID) {
	if id == healthCheck.ID {
		nc.keepAlive.HealthCheckSent = 0
		nc.silent = false
		return
	}
	s := nc.link.server
	answered := nc.checks.takeAnswered(id)
	if len(nc.checks.requested) > 0 && len(answered) > 0 {
		nc.sendRequestedChecks()
	}
	for _, check := range answered {
		s.core.CheckAnswered(s.coreNow(), check.attempt, check.number)
	}
}

// markSilent handles the first failure of the node to answer a health check in time. It gives up the unanswered
// attempts on the connection.
func (nc *nodeConn) markSilent() {
	if nc.silent {
		return
	}
	nc.silent = true
	s := nc.link.server
	s.stats.NodeConnsUnresponsive++
	for _, attempt := range nc.takeAttempts() {
		s.core.AttemptUnresponsive(s.coreNow(), attempt)
	}
	s.core.RepeatChecks(s.coreNow(), nc.link.id)
	s.applyReadyEffects()
}

// closeAsSurplus closes a connection on which the node has nothing to report.
func (nc *nodeConn) closeAsSurplus() {
	nc.closedAsSurplus = true
	nc.conn.Close()
}

// takeAttempts removes all unanswered attempts from the connection and returns them.
func (nc *nodeConn) takeAttempts() []*dispatch.Attempt {
	attempts := make([]*dispatch.Attempt, 0, len(nc.attempts))
	for attempt := range nc.attempts {
		attempts = append(attempts, attempt)
	}
	clear(nc.attempts)
	return attempts
}

// Opened implements eventloop.Handler. The event loop calls it when the dial to the node has succeeded.
func (nc *nodeConn) Opened(*eventloop.Conn) {
	now := nc.link.server.loop.Now()
	nc.setState(nodeEstablished)
	nc.keepAlive.OpenedAt = now
	nc.keepAlive.LastReceived = now
	nc.keepAlive.LastSent = now
	nc.link.connEstablished(nc)
}

// Data implements eventloop.Handler. It handles the complete lines that have arrived from the node and
// returns the number of bytes consumed.
func (nc *nodeConn) Data(conn *eventloop.Conn, data []byte) int {
	s := nc.link.server
	now := s.loop.Now()
	nc.keepAlive.LastReceived = now
	if nc.keepAlive.AnsweredAt.IsZero() {
		nc.keepAlive.AnsweredAt = now
	}
	nc.link.reachability.Received(now)
	consumedBytes, err := s.reader.readLines(conn, data, nc.handleLine)
	nc.removeAnsweredAttempts()
	nc.keepAlive.IncompleteSince = nextIncompleteSince(nc.keepAlive.IncompleteSince, now, consumedBytes, len(data))
	s.applyReadyEffects()
	if err != nil && !conn.Closed() {
		s.stats.InvalidFromNodes.add(err)
		s.warn("node connection closed", conn.Peer(), err)
		conn.Close()
		return len(data)
	}
	return consumedBytes
}

// handleLine parses one line from the node. It records the answer to a health check, and passes any other
// message to the dispatch core. If the line is not a message or is a message that nodes may not send, it
// returns an error, and the caller closes the node connection.
func (nc *nodeConn) handleLine(line []byte) (lineAccounting, error) {
	s := nc.link.server
	if err := protocol.Parse(line, &nc.message); err != nil {
		return countsTowardsLineLimit, err
	}
	kind := nc.message.Kind
	if kind == protocol.Launch || kind == protocol.Check {
		return countsTowardsLineLimit, errUnexpectedKind
	}
	s.traceMessage("node>", uint64(nc.id), nc.conn.Peer(), &nc.message)
	if kind == protocol.Checked {
		nc.handleChecked(nc.message.ID)
		return countsTowardsLineLimit, nil
	}
	if err := s.core.ReceiveFromNode(s.coreNow(), nc.link.id, &nc.message); err != nil {
		s.stats.InvalidFromNodes.add(err)
		s.warn("figure of a node left out", nc.conn.Peer(), err)
	}
	return countsTowardsLineLimit, nil
}

// removeAnsweredAttempts removes the attempts that no longer wait for an answer of the node.
func (nc *nodeConn) removeAnsweredAttempts() {
	for attempt := range nc.attempts {
		if !attempt.Unanswered() {
			delete(nc.attempts, attempt)
		}
	}
}

// Drained implements eventloop.Handler. It does nothing.
func (nc *nodeConn) Drained(*eventloop.Conn) {}

// Closed implements eventloop.Handler. The event loop calls it when the dial to the node has failed or when
// the established connection has ended.
func (nc *nodeConn) Closed(_ *eventloop.Conn, err error) {
	link := nc.link
	s := link.server
	s.nodes.releaseSlot()
	s.log.Trace().
		Uint64("conn", uint64(nc.id)).
		Str("addr", link.addr).
		Stringer("state", nc.state).
		Err(err).
		Msg("node connection ended")
	wasDialing := nc.state == nodeDialing
	nc.setState(nodeClosed)
	if wasDialing {
		if link.dialingConn == nc {
			link.dialingConn = nil
		}
		link.dialFailed(err)
		return
	}
	link.connClosed(nc, err)
	nc.reportLostAttempts()
}

// reportLostAttempts tells the dispatch core which attempts on the node connection were unanswered when the
// connection ended. It is unknown whether the node received these attempts.
func (nc *nodeConn) reportLostAttempts() {
	s := nc.link.server
	for _, attempt := range nc.takeAttempts() {
		s.core.ConnectionLost(s.coreNow(), attempt)
	}
	s.applyReadyEffects()
}
