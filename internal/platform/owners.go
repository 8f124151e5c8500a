//go:build linux

package platform

import (
	"errors"

	"heathshed/internal/dispatch"
	"heathshed/internal/eventloop"
	"heathshed/internal/memquota"
	"heathshed/internal/platformproto"
)

// clientConn is one accepted connection.
type clientConn struct {
	server          *Server
	conn            *eventloop.Conn
	id              dispatch.ConnID
	openedAt        float64
	lastMessageAt   float64 // when the last message that made sense came
	incompleteSince float64 // since when the last message has been incomplete; 0 if it is not
	adopting        bool    // tasks that stand already are being named on it
	closing         bool    // is being closed, and nobody's to the core
	message         platformproto.Message
}

func (s *Server) acceptClient(conn *eventloop.Conn) eventloop.Handler {
	s.lastClientID++
	s.stats.ClientsAccepted++
	conn.MaxInput = 2 * platformproto.MaxLine
	client := &clientConn{server: s, conn: conn, id: s.lastClientID, openedAt: s.loop.Now(), lastMessageAt: s.loop.Now()}
	s.clients[client.id] = client
	s.core.ClientConnected(s.loop.Now(), client.id)
	if len(s.clients) >= s.maxClients-2 {
		s.evictClient()
	}
	return client
}

func (cc *clientConn) Opened(*eventloop.Conn) {}

func (cc *clientConn) Data(conn *eventloop.Conn, data []byte) int {
	s := cc.server
	consumed, err := s.readLines(conn, data, func(line []byte) (bool, error) {
		if err := platformproto.Parse(line, &cc.message); err != nil {
			return false, err
		}
		s.traceMessage("owner>", uint64(cc.id), conn.Peer(), &cc.message)
		adoptedBefore := s.core.Counts.Adopted
		if err := s.core.ReceiveFromClient(s.loop.Now(), cc.id, &cc.message); err != nil {
			s.stats.InvalidFromClients[invalidKind(err)]++
			s.warn("owner's message not taken", conn.Peer(), err)
		} else {
			cc.lastMessageAt = s.loop.Now()
		}
		// Tasks that stand already come by the thousand after a start, and count soon whether read or not: the rest is read in this turn too.
		if s.core.Counts.Adopted == adoptedBefore {
			return false, nil
		}
		if !cc.adopting {
			cc.adopting = true
			s.loop.AtIterationEnd(func() { cc.adopting = false; conn.ReadNow() })
		}
		return true, nil
	})
	switch {
	case consumed == len(data):
		cc.incompleteSince = 0
	case consumed > 0 || cc.incompleteSince == 0:
		cc.incompleteSince = s.loop.Now()
	}
	s.processReady()
	if err != nil && !conn.Closed() {
		// What cannot be read cannot be answered either, and what follows it means nothing.
		s.stats.InvalidFromClients[invalidKind(err)]++
		s.warn("owner's connection ended", conn.Peer(), err)
		cc.closeGracefully()
		return len(data)
	}
	return min(consumed, len(data))
}

func (cc *clientConn) Drained(*eventloop.Conn) {}

func (cc *clientConn) Closed(_ *eventloop.Conn, err error) {
	s := cc.server
	s.log.Trace().Uint64("conn", uint64(cc.id)).Err(err).Msg("owner closed")
	delete(s.clients, cc.id)
	s.core.ClientDisconnected(s.loop.Now(), cc.id)
	s.processReady()
}

// closeGracefully closes the connection once what was written has gone out. From now on it is nobody's: what the core would tell on it would be lost.
func (cc *clientConn) closeGracefully() {
	if cc.closing {
		return
	}
	cc.closing = true
	cc.server.core.ClientDisconnected(cc.server.loop.Now(), cc.id)
	cc.server.processReady()
	cc.conn.CloseAfterFlush()
}

var errClientNotReading = errors.New("does not read what it is sent")

func (cc *clientConn) send(message *platformproto.Message) {
	if cc.conn.Buffered() > maxUnsentToClient {
		cc.server.warn("owner's connection ended", cc.conn.Peer(), errClientNotReading)
		cc.server.loop.After(0, cc.conn.Close)
		return
	}
	cc.server.traceMessage(">owner", uint64(cc.id), cc.conn.Peer(), message)
	out := message.Append(cc.conn.OutputBuffer())
	cc.conn.CommitOutput(out)
}

// isIdle says whether a connection has nothing under way and never had. The last way to owners of tasks that stand is kept: an owner who finds
// its connection closed need not open another before it asks for something new, and is owed the end of its task within a second.
func (cc *clientConn) isIdle(now float64) bool {
	open, proven := cc.server.core.ClientRequests(cc.id)
	return !cc.closing && open == 0 && !proven && now-cc.lastMessageAt > idleClientTimeout && !(cc.incompleteSince > 0 && now-cc.incompleteSince < incompleteMessageTimeout) &&
		!cc.server.core.IsLastClient(cc.id)
}

// closeIdleClients closes connections that have nothing under way and never had. A request that the system has received by now is looked for
// first: it would be lost with the connection.
func (s *Server) closeIdleClients() {
	now := s.loop.Now()
	for _, client := range s.clients {
		if !client.isIdle(now) {
			continue
		}
		if client.conn.ReadNow(); client.isIdle(now) && !client.conn.Closed() && !client.conn.Paused() {
			s.stats.IdleClientsClosed++
			client.closeGracefully()
		}
	}
}

// evictClient closes the connection that is missed least, if nothing has come on it by now.
func (s *Server) evictClient() {
	now := s.loop.Now()
	s.evictionCandidates, s.evictionConns = s.evictionCandidates[:0], s.evictionConns[:0]
	for _, client := range s.clients {
		if client.closing {
			continue // its seat is about to be free; it is not missed at all, but what it is owed may be on its way
		}
		open, proven := s.core.ClientRequests(client.id)
		s.evictionCandidates = append(s.evictionCandidates, memquota.Candidate{Busy: open > 0 || client.openedAt == now, Established: proven, IdleSeconds: now - max(client.lastMessageAt, client.incompleteSince)})
		s.evictionConns = append(s.evictionConns, client)
	}
	for i := memquota.SelectEviction(s.evictionCandidates); i >= 0; i = memquota.SelectEviction(s.evictionCandidates) {
		client := s.evictionConns[i]
		client.conn.ReadNow()
		if open, _ := s.core.ClientRequests(client.id); open == 0 && !client.conn.Paused() {
			s.stats.ClientsEvicted++
			client.conn.Close()
			return
		}
		s.evictionCandidates[i].Busy = true
	}
}
