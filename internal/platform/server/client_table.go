//go:build linux

package server

import (
	"heathshed/internal/control/memquota"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// reservedClientSlots is the number of client connection slots that are kept free by evicting connections.
const reservedClientSlots = 2

// clientTable contains the client connections and selects the connection to evict when connection slots run
// out.
type clientTable struct {
	server   *Server
	byID     map[dispatch.ConnID]*clientConn
	lastID   dispatch.ConnID
	maxConns int

	candidates     []memquota.EvictionCandidate // candidates is reused by evict to avoid allocations.
	candidateConns []*clientConn                // candidateConns contains the connection of each candidate at the same index.
}

func newClientTable(server *Server, maxConns int) *clientTable {
	return &clientTable{server: server, byID: map[dispatch.ConnID]*clientConn{}, maxConns: maxConns}
}

// accept registers a connection that was just accepted and returns its handler.
func (table *clientTable) accept(conn *eventloop.Conn) eventloop.Handler {
	s := table.server
	table.lastID++
	s.stats.ClientsAccepted++
	conn.MaxInputBytes = 2 * protocol.MaxLineBytes
	now := s.loop.Now()
	client := &clientConn{server: s, conn: conn, id: table.lastID, openedAt: now, lastMessageAt: now}
	table.byID[client.id] = client
	s.core.ClientConnected(s.coreNow(), client.id)
	if len(table.byID) >= table.maxConns-reservedClientSlots {
		table.evict()
	}
	return client
}

// remove deletes a connection that has ended from the table.
func (table *clientTable) remove(client *clientConn) { delete(table.byID, client.id) }

// send writes a message to a client. The message is lost if the connection has ended.
func (table *clientTable) send(id dispatch.ConnID, message *protocol.Message) {
	if client := table.byID[id]; client != nil {
		client.send(message)
	}
}

// hasUnreadLines reads a client's connection and reports whether it has more lines than one iteration of the
// event loop may handle, so that some lines wait for the next iteration.
func (table *clientTable) hasUnreadLines(id dispatch.ConnID) bool {
	client := table.byID[id]
	if client == nil {
		return false
	}
	client.conn.ReadNow()
	return client.conn.ReadPaused() && !client.conn.Closed()
}

// readAllConns reads every connection and reports whether any of them has an incomplete message or lines that
// wait for the next iteration of the event loop.
func (table *clientTable) readAllConns() (unread bool) {
	for _, client := range table.byID {
		client.conn.ReadNow()
		unread = unread || !client.incompleteSince.IsZero() || client.conn.ReadPaused()
	}
	return unread
}

// closeGracefully closes every connection once its output is flushed.
func (table *clientTable) closeGracefully() {
	for _, client := range table.byID {
		client.closeGracefully()
	}
}

// closeIdle closes the idle connections. It reads each of them once more first, because a request that the
// kernel has already received would be lost with the connection.
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

// evict closes the connection that is least likely to be needed, which frees its slot. It reads each
// candidate once more first. If a request has arrived there, it keeps that connection and tries the next
// candidate.
func (table *clientTable) evict() {
	s := table.server
	table.collectCandidates()
	for {
		i := memquota.SelectEviction(table.candidates)
		if i < 0 {
			return
		}
		client := table.candidateConns[i]
		client.conn.ReadNow()
		if open, _ := s.core.ClientRequests(client.id); open == 0 && !client.conn.ReadPaused() {
			s.stats.ClientsEvicted++
			client.conn.Close()
			return
		}
		table.candidates[i].Busy = true
	}
}

// collectCandidates fills candidates and candidateConns. It omits connections that are closing: their slots
// become free soon, and their last answers may still be in transit.
func (table *clientTable) collectCandidates() {
	s := table.server
	now := s.loop.Now()
	table.candidates = table.candidates[:0]
	table.candidateConns = table.candidateConns[:0]
	for _, client := range table.byID {
		if client.state == clientClosing {
			continue
		}
		open, placed := s.core.ClientRequests(client.id)
		table.candidates = append(table.candidates, memquota.EvictionCandidate{
			Busy:        open > 0 || client.openedAt == now,
			Established: placed,
			IdleTime:    now.Sub(max(client.lastMessageAt, client.incompleteSince)),
		})
		table.candidateConns = append(table.candidateConns, client)
	}
}
