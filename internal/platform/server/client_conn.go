//go:build linux

package server

import (
	"errors"
	"time"

	"heathshed/internal/control/clock"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// idleClientTimeout and incompleteMessageTimeout limit how long a client connection stays open without a
// message.
const (
	// idleClientTimeout is the time without a message after which a connection is closed if it has no open
	// request and no task was ever placed for it. The platform tolerates idle connections for up to 3 s.
	idleClientTimeout = 2 * time.Second
	// incompleteMessageTimeout is how long the arrival of an incomplete message keeps an otherwise idle
	// connection open.
	incompleteMessageTimeout = 700 * time.Millisecond
)

// maxUnsentBytesToClient is the number of bytes of output that may wait for a client. A connection is closed
// when its unsent output exceeds this limit.
const maxUnsentBytesToClient = 256 << 10

// errClientNotReading is logged when a connection is closed because its client does not read its messages.
var errClientNotReading = errors.New("unsent output for the client exceeds the limit")

// clientConnState is the state of a client connection.
type clientConnState uint8

const (
	// clientOpen means that messages are read and written.
	clientOpen clientConnState = iota
	// clientAdopting means that messages are read and written, that running tasks were adopted in the current
	// iteration of the event loop, and that the connection is read once more at the end of the iteration.
	clientAdopting
	// clientClosing means that the connection closes once its output is flushed, and that the dispatch core
	// already treats the client as disconnected.
	clientClosing
	// clientClosed means that the connection has ended.
	clientClosed
)

func (state clientConnState) String() string {
	return [...]string{"open", "adopting", "closing", "closed"}[state]
}

// canBecome reports whether the state machine allows a transition to the next state.
func (state clientConnState) canBecome(next clientConnState) bool {
	switch state {
	case clientOpen:
		return next != clientOpen
	case clientAdopting:
		return next != clientAdopting
	case clientClosing:
		return next == clientClosed
	}
	return false
}

// clientConn is the connection of one client. It handles the events of an eventloop.Conn.
type clientConn struct {
	server          *Server
	conn            *eventloop.Conn
	id              dispatch.ConnID
	state           clientConnState
	openedAt        clock.Instant
	lastMessageAt   clock.Instant // lastMessageAt is when the last valid message arrived, or openedAt if none has arrived.
	incompleteSince clock.Instant // incompleteSince is when a message began that is still incomplete, or zero.
	message         protocol.Message
}

// setState changes the state. An illegal transition is a programming error; it is counted and logged, and the
// state does not change.
func (c *clientConn) setState(next clientConnState) {
	if !c.state.canBecome(next) {
		c.server.recordIllegalTransition("client connection", uint64(c.id), c.state, next)
		return
	}
	c.state = next
}

// Opened implements eventloop.Handler. It does nothing.
func (c *clientConn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It handles the complete lines of the data and returns the number of
// bytes consumed.
func (c *clientConn) Data(conn *eventloop.Conn, data []byte) int {
	s := c.server
	consumed, err := s.reader.readLines(conn, data, c.handleLine)
	c.incompleteSince = nextIncompleteSince(c.incompleteSince, s.loop.Now(), consumed, len(data))
	s.applyReadyEffects()
	if err != nil && !conn.Closed() {
		// A line that cannot be parsed cannot be answered, and the lines after it cannot be trusted.
		s.stats.InvalidFromClients.add(err)
		s.warn("client connection closed: message cannot be read", conn.Peer(), err)
		c.closeGracefully()
		return len(data)
	}
	return consumed
}

// handleLine passes one message to the dispatch core. If it returns an error, the connection is closed.
func (c *clientConn) handleLine(line []byte) (lineCost, error) {
	s := c.server
	if err := protocol.Parse(line, &c.message); err != nil {
		return lineCounts, err
	}
	s.traceMessage("client>", uint64(c.id), c.conn.Peer(), &c.message)
	adoptedBefore := s.core.Counts.Adopted
	if err := s.core.ReceiveFromClient(s.coreNow(), c.id, &c.message); err != nil {
		s.stats.InvalidFromClients.add(err)
		s.warn("client message rejected", c.conn.Peer(), err)
	} else {
		c.lastMessageAt = s.loop.Now()
	}
	if s.core.Counts.Adopted == adoptedBefore {
		return lineCounts, nil
	}
	c.readPendingAdoptions()
	return lineExempt, nil
}

// readPendingAdoptions reads the connection once more at the end of the current iteration of the event loop.
// After a restart of the scheduler, clients report thousands of running tasks at once. These tasks use
// capacity even before the scheduler has read the reports, so all reports that have arrived are read before
// any task is placed.
func (c *clientConn) readPendingAdoptions() {
	if c.state == clientAdopting {
		return
	}
	c.setState(clientAdopting)
	c.server.loop.AtIterationEnd(func() {
		if c.state == clientAdopting {
			c.setState(clientOpen)
		}
		c.conn.ReadNow()
	})
}

// Drained implements eventloop.Handler. It does nothing.
func (c *clientConn) Drained(*eventloop.Conn) {}

// Closed implements eventloop.Handler. It removes the client from the client table and the dispatch core.
func (c *clientConn) Closed(_ *eventloop.Conn, err error) {
	s := c.server
	s.log.Trace().Uint64("conn", uint64(c.id)).Err(err).Msg("client connection ended")
	c.setState(clientClosed)
	s.clients.remove(c)
	s.core.ClientDisconnected(s.coreNow(), c.id)
	s.applyReadyEffects()
}

// closeGracefully closes the connection once its output is flushed. It reports the client to the dispatch
// core as disconnected at once, because a notification written from now on would be lost.
func (c *clientConn) closeGracefully() {
	if c.state == clientClosing {
		return
	}
	c.setState(clientClosing)
	c.server.core.ClientDisconnected(c.server.coreNow(), c.id)
	c.server.applyReadyEffects()
	c.conn.CloseAfterFlush()
}

// send writes a message to the client. It closes the connection instead if too much unsent output has
// accumulated.
func (c *clientConn) send(message *protocol.Message) {
	s := c.server
	if c.conn.UnsentBytes() > maxUnsentBytesToClient {
		s.warn("client connection closed: output not read", c.conn.Peer(), errClientNotReading)
		s.loop.After(0, c.conn.Close) // Closing is deferred because the caller may be handling this connection.
		return
	}
	s.traceMessage(">client", uint64(c.id), c.conn.Peer(), message)
	c.conn.CommitOutput(message.Append(c.conn.OutputBuffer()))
}

// isIdle reports whether the connection may be closed because it has no open request, no task was ever placed
// for it and it has been silent for long enough. While tasks run, the last connection with a client is kept:
// clients open connections only for requests, but they must be notified within a second when a task ends.
func (c *clientConn) isIdle(now clock.Instant) bool {
	core := c.server.core
	open, placed := core.ClientRequests(c.id)
	return c.state != clientClosing && open == 0 && !placed && c.isSilent(now) && !core.IsOnlyClient(c.id)
}

// isSilent reports whether no valid message has arrived within idleClientTimeout and no message that is still
// incomplete began to arrive within incompleteMessageTimeout.
func (c *clientConn) isSilent(now clock.Instant) bool {
	receiving := !c.incompleteSince.IsZero() && now.Sub(c.incompleteSince) < incompleteMessageTimeout
	return now.Sub(c.lastMessageAt) > idleClientTimeout && !receiving
}
