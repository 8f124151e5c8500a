//go:build linux

package server

import (
	"heathshed/internal/control/memquota"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
)

// clientSlotReserve is how many connection slots of clients are kept free by evicting connections.
const clientSlotReserve = 2

// clientTable holds the client connections and decides which of them is closed when their slots run out.
type clientTable struct {
	server   *Server
	byID     map[dispatch.ConnID]*clientConn
	lastID   dispatch.ConnID
	maxConns int

	candidates     []memquota.Candidate // reused by evict
	candidateConns []*clientConn        // the connections of candidates, by index
}

func newClientTable(server *Server, maxConns int) *clientTable {
	return &clientTable{server: server, byID: map[dispatch.ConnID]*clientConn{}, maxConns: maxConns}
}

// accept returns the handler of a connection that has just been accepted.
func (table *clientTable) accept(conn *eventloop.Conn) eventloop.Handler {
	s := table.server
	table.lastID++
	s.stats.ClientsAccepted++
	conn.MaxInputBytes = 2 * protocol.MaxLine
	now := s.loop.Now()
	client := &clientConn{server: s, conn: conn, id: table.lastID, openedAt: now, lastMessageAt: now}
	table.byID[client.id] = client
	s.core.ClientConnected(s.coreNow(), client.id)
	if len(table.byID) >= table.maxConns-clientSlotReserve {
		table.evict()
	}
	return client
}

// remove forgets a connection that has ended.
func (table *clientTable) remove(client *clientConn) { delete(table.byID, client.id) }

// send writes a message to a client; it is lost if the connection has ended.
func (table *clientTable) send(id dispatch.ConnID, message *protocol.Message) {
	if client := table.byID[id]; client != nil {
		client.send(message)
	}
}

// hasUnreadLines reads a client's connection and reports whether lines are left that wait for the next iteration of the loop.
func (table *clientTable) hasUnreadLines(id dispatch.ConnID) bool {
	client := table.byID[id]
	if client == nil {
		return false
	}
	client.conn.ReadNow()
	return client.conn.ReadPaused() && !client.conn.Closed()
}

// readAll reads every connection and reports whether one has more to come: the rest of a message, or lines that wait for the next iteration
// of the loop.
func (table *clientTable) readAll() (unread bool) {
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

// closeIdle closes the idle connections. Each is read once more first: a request that the system has received already would be lost
// with its connection.
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

// evict closes the connection that is least likely to be needed, to free its slot. Each candidate is read once more first; one on
// which a request has arrived is kept and the next one is tried.
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

// collectCandidates fills candidates and candidateConns. Connections that are closing are none: their slots become free
// soon, and their last answers may still be on their way.
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
		table.candidates = append(table.candidates, memquota.Candidate{
			Busy:        open > 0 || client.openedAt == now,
			Established: placed,
			Idle:        now.Sub(max(client.lastMessageAt, client.incompleteSince)),
		})
		table.candidateConns = append(table.candidateConns, client)
	}
}
