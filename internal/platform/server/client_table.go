//go:build linux

package server

import (
	"heathshed/internal/control/memquota"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// reservedClientSlots is the number of connection slots for clients that are kept free for new connections.
// If fewer slots are free, a client connection is evicted.
const reservedClientSlots = 2

// maxEvictionReads is the number of candidates for an eviction that are read before one is evicted that sends without
// a pause.
const maxEvictionReads = 8

// clientTable contains the client connections. When connection slots for clients run out, it selects a
// connection to evict.
type clientTable struct {
	server   *Server
	byID     map[dispatch.ConnID]*clientConn
	lastID   dispatch.ConnID
	maxConns int
	// maxUnsentBytes is the number of bytes that may wait to be sent to one client.
	maxUnsentBytes int

	candidates     []memquota.EvictionCandidate // candidates describes the connections that evict may close. The slice is reused.
	candidateConns []*clientConn                // candidateConns[i] is the client connection that candidates[i] describes.
}

func newClientTable(server *Server, maxConns int) *clientTable {
	return &clientTable{
		server:         server,
		byID:           map[dispatch.ConnID]*clientConn{},
		maxConns:       maxConns,
		maxUnsentBytes: unsentBytesLimit(server.config.MemoryLimit, maxConns),
	}
}

// accept adds a newly accepted client connection to the table and returns the handler of its events.
func (table *clientTable) accept(conn *eventloop.Conn) eventloop.Handler {
	s := table.server
	table.lastID++
	s.stats.ClientsAccepted++
	conn.MaxInputBytes = 2 * protocol.MaxLineBytes
	now := s.loop.Now()
	client := &clientConn{server: s, conn: conn, id: table.lastID, openedAt: now, lastMessageAt: now}
	table.byID[client.id] = client
	s.core.ClientConnected(s.coreNow(), client.id, conn.PeerHost())
	if len(table.byID) >= table.maxConns-reservedClientSlots {
		table.evict()
	}
	return client
}

// remove deletes a client connection from the table after the connection has ended.
func (table *clientTable) remove(client *clientConn) { delete(table.byID, client.id) }

// send writes a message to the client connection with the given ID. If that connection has ended, the message
// is lost.
func (table *clientTable) send(id dispatch.ConnID, message *protocol.Message) {
	if client := table.byID[id]; client != nil {
		client.send(message)
	}
}

// mustReadBefore reads the client connection of a scheduled attempt. It returns true if the attempt must not be
// sent yet, because lines that may cancel its request are deferred to the next iteration of the event loop. These
// are the lines that had arrived when the attempt was first considered. Later ones do not delay the attempt, since
// a client that sends without a pause would delay it for good, unless the client has closed the connection behind
// them.
func (table *clientTable) mustReadBefore(scheduled *scheduledAttempt) bool {
	client := table.byID[scheduled.attempt.ClientConn()]
	if client == nil {
		return false
	}
	conn := client.conn
	conn.ReadNow()
	if conn.Closed() || !conn.ReadPaused() {
		return false
	}
	if scheduled.readUntil == 0 {
		scheduled.readUntil = conn.ArrivedBytes()
	}
	return conn.ConsumedBytes() < scheduled.readUntil || conn.PeerHasClosed()
}

// readAllConns reads every client connection once. It returns true if input remains to be handled on any of
// them: either only a part of a message has arrived, or lines are deferred to the next iteration of the event
// loop.
func (table *clientTable) readAllConns() (inputRemains bool) {
	for _, client := range table.byID {
		client.conn.ReadNow()
		inputRemains = inputRemains || !client.incompleteSince.IsZero() || client.conn.ReadPaused()
	}
	return inputRemains
}

// closeGracefully closes every client connection once its output is flushed.
func (table *clientTable) closeGracefully() {
	for _, client := range table.byID {
		client.closeGracefully()
	}
}

// closeIdle closes the idle client connections. Before it closes a connection, it reads the connection once
// more. Otherwise, a request that the kernel has already received would be lost with the connection.
func (table *clientTable) closeIdle() {
	s := table.server
	now := s.loop.Now()
	for _, client := range table.byID {
		if !client.isIdle(now) {
			continue
		}
		client.conn.ReadNow()
		if client.isIdle(now) && !client.conn.Closed() && !client.conn.ReadPaused() {
			s.stats.IdleClientsClosed++
			client.closeGracefully()
		}
	}
}

// evict closes the client connection that is least likely to be needed, which frees a connection slot.
func (table *clientTable) evict() {
	table.collectCandidates()
	if client := table.selectEviction(); client != nil {
		table.server.stats.ClientsEvicted++
		client.conn.Close()
	}
}

// selectEviction returns the client connection to evict, or nil if all are needed. It sends what waits to be sent to
// a candidate, which may be the answer to a request, and reads the candidate once more. If a request has arrived on
// the connection, it keeps the connection and tries the next candidate. It does the same if more lines have arrived
// than may be read now, or the client does not read its answers, but a connection that has led to no task is then
// evicted before any that has: clients that send without a pause would otherwise drive out the owners of running tasks.
func (table *clientTable) selectEviction() *clientConn {
	var busyStranger *clientConn
	for tried := 1; ; tried++ {
		i := memquota.SelectEviction(table.candidates)
		if i < 0 || busyStranger != nil && (table.candidates[i].Established || tried > maxEvictionReads) {
			return busyStranger
		}
		client := table.candidateConns[i]
		client.conn.ReadNow()
		client.conn.Flush()
		if client.conn.Closed() {
			return nil // Its slot is free.
		}
		openRequests, hasPlacedTask := table.server.core.ClientRequests(client.id)
		switch {
		case openRequests > 0:
		case !client.conn.ReadPaused() && client.conn.UnsentBytes() == 0:
			return client
		case !hasPlacedTask && busyStranger == nil:
			busyStranger = client
		}
		table.candidates[i].Busy = true
	}
}

// collectCandidates fills candidates and candidateConns with all client connections except those that are
// closing. The slots of closing connections become free soon, and the last answers on these connections may
// still be in transit.
func (table *clientTable) collectCandidates() {
	s := table.server
	now := s.loop.Now()
	table.candidates = table.candidates[:0]
	table.candidateConns = table.candidateConns[:0]
	for _, client := range table.byID {
		if client.state == clientClosing {
			continue
		}
		openRequests, hasPlacedTask := s.core.ClientRequests(client.id)
		table.candidates = append(table.candidates, memquota.EvictionCandidate{
			Busy:        openRequests > 0 || client.openedAt == now,
			Established: hasPlacedTask,
			IdleTime:    now.Sub(max(client.lastMessageAt, client.incompleteSince)),
		})
		table.candidateConns = append(table.candidateConns, client)
	}
}
