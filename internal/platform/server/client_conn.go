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

// Timeouts of client connections.
const (
	// idleClientTimeout is after how long a connection is closed that has no open request and never had a task placed. The platform
	// allows 3 s.
	idleClientTimeout = 2 * time.Second
	// incompleteMessageTimeout is how long such a connection is left open from the moment at which a message began to arrive on it.
	incompleteMessageTimeout = 700 * time.Millisecond
)

// maxUnsentToClient is how many bytes may wait for a client to read them before its connection is closed.
const maxUnsentToClient = 256 << 10

// errClientNotReading ends the connection of a client that lets its answers pile up.
var errClientNotReading = errors.New("client does not read its messages")

// clientConnState is the state of a client connection.
type clientConnState uint8

const (
	clientOpen     clientConnState = iota // reads and writes
	clientAdopting                        // as clientOpen; running tasks were adopted in this iteration, the rest of them is read at its end
	clientClosing                         // closes once its output is flushed; disconnected for the core
	clientClosed
)

func (state clientConnState) String() string {
	return [...]string{"open", "adopting", "closing", "closed"}[state]
}

// canBecome reports whether a transition is legal.
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

// clientConn is the connection of one client.
type clientConn struct {
	server          *Server
	conn            *eventloop.Conn
	id              dispatch.ConnID
	state           clientConnState
	openedAt        clock.Instant
	lastMessageAt   clock.Instant // when the last valid message arrived; openedAt if none did
	incompleteSince clock.Instant // since when the last message has been incomplete; zero if it is not
	message         protocol.Message
}

// setState makes a transition. One that is not legal is a fault of the program: it is counted and the state stays.
func (c *clientConn) setState(next clientConnState) {
	if !c.state.canBecome(next) {
		c.server.recordIllegalTransition("client connection", uint64(c.id), c.state, next)
		return
	}
	c.state = next
}

// Opened implements eventloop.Handler.
func (c *clientConn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler: it handles the complete lines of data.
func (c *clientConn) Data(conn *eventloop.Conn, data []byte) int {
	s := c.server
	consumed, err := s.reader.readLines(conn, data, c.handleLine)
	c.incompleteSince = nextIncompleteSince(c.incompleteSince, s.loop.Now(), consumed, len(data))
	s.processReady()
	if err != nil && !conn.Closed() {
		// A line that cannot be parsed cannot be answered, and the lines after it cannot be trusted.
		s.stats.InvalidFromClients.add(err)
		s.warn("client connection closed: message cannot be read", conn.Peer(), err)
		c.closeGracefully()
		return len(data)
	}
	return consumed
}

// handleLine hands one message to the core. An error ends the connection.
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
	c.readAllAdoptions()
	return lineFree, nil
}

// readAllAdoptions reads the connection once more at the end of this iteration of the loop. After a restart, clients report thousands of
// running tasks at once. They use capacity whether they have been read or not, so all that have arrived are read before anything is placed.
func (c *clientConn) readAllAdoptions() {
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

// Drained implements eventloop.Handler.
func (c *clientConn) Drained(*eventloop.Conn) {}

// Closed implements eventloop.Handler.
func (c *clientConn) Closed(_ *eventloop.Conn, err error) {
	s := c.server
	s.log.Trace().Uint64("conn", uint64(c.id)).Err(err).Msg("client connection ended")
	c.setState(clientClosed)
	s.clients.remove(c)
	s.core.ClientDisconnected(s.coreNow(), c.id)
	s.processReady()
}

// closeGracefully closes the connection once its output is flushed. The core learns at once that the client has disconnected: a
// notification written from now on would be lost.
func (c *clientConn) closeGracefully() {
	if c.state == clientClosing {
		return
	}
	c.setState(clientClosing)
	c.server.core.ClientDisconnected(c.server.coreNow(), c.id)
	c.server.processReady()
	c.conn.CloseAfterFlush()
}

// send writes a message, or closes the connection if the client has left too much unread.
func (c *clientConn) send(message *protocol.Message) {
	s := c.server
	if c.conn.UnsentBytes() > maxUnsentToClient {
		s.warn("client connection closed: output not read", c.conn.Peer(), errClientNotReading)
		s.loop.After(0, c.conn.Close) // not at once: the caller may be in the middle of handling this connection
		return
	}
	s.traceMessage(">client", uint64(c.id), c.conn.Peer(), message)
	c.conn.CommitOutput(message.Append(c.conn.OutputBuffer()))
}

// isIdle reports whether the connection may be closed: it has no open request, never had a task placed and was silent for long enough. The
// last connection to a client while tasks run is kept. A client need not open a new connection before its next request, but must be
// notified of the end of its task within a second.
func (c *clientConn) isIdle(now clock.Instant) bool {
	core := c.server.core
	open, placed := core.ClientRequests(c.id)
	return c.state != clientClosing && open == 0 && !placed && c.timedOut(now) && !core.IsOnlyClient(c.id)
}

// timedOut reports whether no message arrived for idleClientTimeout, nor the beginning of one for incompleteMessageTimeout.
func (c *clientConn) timedOut(now clock.Instant) bool {
	receiving := !c.incompleteSince.IsZero() && now.Sub(c.incompleteSince) < incompleteMessageTimeout
	return now.Sub(c.lastMessageAt) > idleClientTimeout && !receiving
}
