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
	// idleClientTimeout is the time without a message after which the server closes an idle client
	// connection. The environment that starts the schedulers allows a client connection to be idle for at
	// most 3 s.
	idleClientTimeout = 2 * time.Second
	// incompleteMessageTimeout is how long the server keeps an idle client connection open after a part of a
	// message has arrived on it. Within this time, the rest of the message can still arrive.
	incompleteMessageTimeout = 700 * time.Millisecond
)

// These constants determine how many bytes may wait to be sent to one client. A client connection whose unsent
// output exceeds the limit is closed.
const (
	maxUnsentBytesToClient = 256 << 10
	minUnsentBytesToClient = 32 << 10 // minUnsentBytesToClient is the smallest limit: two messages of the maximum size fit in it.
	// unsentMemoryDivisor gives the part of the memory that the unsent output of all clients together may take.
	unsentMemoryDivisor = 4
)

// unsentBytesLimit returns the limit for each of maxConns client connections of a process that may use the given
// number of bytes of memory, or 0 if its memory is not limited.
func unsentBytesLimit(memoryBytes int64, maxConns int) int {
	if memoryBytes == 0 {
		return maxUnsentBytesToClient
	}
	share := memoryBytes / unsentMemoryDivisor / int64(max(maxConns, 1))
	return int(min(max(share, minUnsentBytesToClient), maxUnsentBytesToClient))
}

// errClientNotReading is logged when a client connection is closed because the client does not read from it.
var errClientNotReading = errors.New("unsent output for the client exceeds the limit")

// clientConnState is the state of a client connection.
type clientConnState uint8

const (
	// clientOpen means that messages are read from the client connection and written to it.
	clientOpen clientConnState = iota
	// clientAdopting means that the client connection is open and that running tasks of the client were
	// adopted in the current iteration of the event loop. The connection is read once more at the end of this
	// iteration.
	clientAdopting
	// clientClosing means that the server closes the client connection once its output is flushed. The
	// dispatch core already treats the client as disconnected.
	clientClosing
	// clientClosed means that the client connection has ended.
	clientClosed
)

func (state clientConnState) String() string {
	return [...]string{"open", "adopting", "closing", "closed"}[state]
}

// canBecome reports whether a client connection may change from this state to the next state.
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

// clientConn is the connection of one client. It implements eventloop.Handler for the events of this
// connection.
type clientConn struct {
	server          *Server
	conn            *eventloop.Conn
	id              dispatch.ConnID
	state           clientConnState
	openedAt        clock.Instant
	lastMessageAt   clock.Instant // lastMessageAt is when the last valid message arrived, or openedAt if none has arrived.
	incompleteSince clock.Instant // incompleteSince is when a message that is still incomplete began to arrive, or zero if there is none.
	message         protocol.Message
}

// setState changes the state of the client connection. An illegal transition is a programming error: setState
// counts and logs it, and leaves the state unchanged.
func (c *clientConn) setState(next clientConnState) {
	if !c.state.canBecome(next) {
		c.server.recordIllegalTransition("client connection", uint64(c.id), c.state, next)
		return
	}
	c.state = next
}

// Opened implements eventloop.Handler. It does nothing.
func (c *clientConn) Opened(*eventloop.Conn) {}

// Data implements eventloop.Handler. It handles the complete lines that have arrived from the client and
// returns the number of bytes consumed.
func (c *clientConn) Data(conn *eventloop.Conn, data []byte) int {
	s := c.server
	consumedBytes, err := s.reader.readLines(conn, data, c.handleLine)
	c.incompleteSince = nextIncompleteSince(c.incompleteSince, s.loop.Now(), consumedBytes, len(data))
	s.applyReadyEffects()
	if err != nil && !conn.Closed() {
		// A line that cannot be parsed cannot be answered, and the lines after it may be corrupt as well.
		s.stats.InvalidFromClients.add(err)
		s.warn("client connection closed: message cannot be read", conn.Peer(), err)
		c.closeGracefully()
		return len(data)
	}
	return consumedBytes
}

// handleLine parses one line from the client and passes the message to the dispatch core. If the line is not
// a message, it returns an error, and the caller closes the client connection.
func (c *clientConn) handleLine(line []byte) (lineAccounting, error) {
	s := c.server
	if err := protocol.Parse(line, &c.message); err != nil {
		return countsTowardsLineLimit, err
	}
	s.traceMessage("client>", uint64(c.id), c.conn.Peer(), &c.message)
	adoptedBefore := s.core.Counts.Adopted
	if err := s.core.ReceiveFromClient(s.coreNow(), c.id, &c.message); err != nil {
		s.stats.InvalidFromClients.add(err)
		s.warn("client message rejected", c.conn.Peer(), err)
	} else {
		c.lastMessageAt = s.loop.Now()
	}
	if s.core.Counts.Adopted == adoptedBefore || !s.core.AdoptionsExpected(s.coreNow()) {
		return countsTowardsLineLimit, nil
	}
	c.readPendingAdoptions()
	return exemptFromLineLimit, nil
}

// readPendingAdoptions makes the server read the client connection once more at the end of the current
// iteration of the event loop. After a restart of the scheduler, clients request the adoption of thousands of
// running tasks at once. These tasks use capacity even before the scheduler has read the adoption requests.
// If a task were placed before an adoption request was read, the scheduler could place it on a node without
// free capacity. For this reason, all adoption requests that have arrived are read before any task is placed.
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

// closeGracefully closes the client connection once its output is flushed. It tells the dispatch core at once
// that the client has disconnected, because a notification that is written from now on would be lost.
func (c *clientConn) closeGracefully() {
	if c.state == clientClosing {
		return
	}
	c.setState(clientClosing)
	c.server.core.ClientDisconnected(c.server.coreNow(), c.id)
	c.server.applyReadyEffects()
	c.conn.CloseAfterFlush()
}

// send writes a message to the client. If more output than is allowed waits until the client reads it, send closes
// the client connection instead.
func (c *clientConn) send(message *protocol.Message) {
	s := c.server
	if c.conn.UnsentBytes() > s.clients.maxUnsentBytes {
		c.conn.Flush() // Output of this iteration has not been offered to the client yet.
	}
	if c.conn.Closed() {
		return
	}
	if c.conn.UnsentBytes() > s.clients.maxUnsentBytes {
		s.warn("client connection closed: output not read", c.conn.Peer(), errClientNotReading)
		s.loop.After(0, c.conn.Close) // Closing is deferred because the caller may be handling an event of this connection.
		return
	}
	s.traceMessage(">client", uint64(c.id), c.conn.Peer(), message)
	c.conn.CommitOutput(message.Append(c.conn.OutputBuffer()))
}

// isIdle reports whether the client connection may be closed as idle. The connection is idle if it is silent,
// no request is open on it, and no request on it has ever led to a running task. However, the last client
// connection is kept while tasks run. The server needs it to notify a client within a second after its task
// has ended, and clients open a new connection only when they have a request to send.
func (c *clientConn) isIdle(now clock.Instant) bool {
	core := c.server.core
	openRequests, hasPlacedTask := core.ClientRequests(c.id)
	return c.state != clientClosing && openRequests == 0 && !hasPlacedTask && c.isSilent(now) && !core.IsOnlyClient(c.id)
}

// isSilent reports whether no valid message has arrived on the client connection for idleClientTimeout. The
// result is also false if an incomplete message began to arrive less than incompleteMessageTimeout ago.
func (c *clientConn) isSilent(now clock.Instant) bool {
	isReceiving := !c.incompleteSince.IsZero() && now.Sub(c.incompleteSince) < incompleteMessageTimeout
	return now.Sub(c.lastMessageAt) > idleClientTimeout && !isReceiving
}
