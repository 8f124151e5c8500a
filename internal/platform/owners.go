//go:build linux

package platform

import (
	"errors"

	"heathshed/internal/dispatch"
	"heathshed/internal/eventloop"
	"heathshed/internal/memquota"
	"heathshed/internal/platformproto"
)

// ownerConn is one accepted connection.
type ownerConn struct {
	s      *Server
	lc     *eventloop.Conn
	id     dispatch.ConnID
	opened float64
	last   float64 // when the last message that made sense came
	part   float64 // since when the last message has been incomplete; 0 if it is not
	naming bool    // tasks that stand already are being named on it
	ended  bool    // is being closed, and nobody's to the core
	m      platformproto.Message
}

func (s *Server) accept(lc *eventloop.Conn) eventloop.Handler {
	s.nextOwner++
	s.stats.Accepted++
	lc.MaxIn = 2 * platformproto.MaxLine
	oc := &ownerConn{s: s, lc: lc, id: s.nextOwner, opened: s.l.Now(), last: s.l.Now()}
	s.owners[oc.id] = oc
	s.c.ClientConnected(s.l.Now(), oc.id)
	if len(s.owners) >= s.maxOwners-2 {
		s.makeRoom()
	}
	return oc
}

func (oc *ownerConn) Opened(*eventloop.Conn) {}

func (oc *ownerConn) Data(lc *eventloop.Conn, b []byte) int {
	s := oc.s
	n, err := s.lines(lc, b, func(line []byte) (bool, error) {
		if err := platformproto.Parse(line, &oc.m); err != nil {
			return false, err
		}
		s.trace("owner>", uint64(oc.id), lc.Peer(), &oc.m)
		named := s.c.Counts.Adopted
		if err := s.c.ReceiveFromClient(s.l.Now(), oc.id, &oc.m); err != nil {
			s.stats.BadOwners[kind(err)]++
			s.warn("owner's message not taken", lc.Peer(), err)
		} else {
			oc.last = s.l.Now()
		}
		// Tasks that stand already come by the thousand after a start, and count soon whether read or not: the rest is read in this turn too.
		if s.c.Counts.Adopted == named {
			return false, nil
		}
		if !oc.naming {
			oc.naming = true
			s.l.AtEnd(func() { oc.naming = false; lc.ReadNow() })
		}
		return true, nil
	})
	switch {
	case n == len(b):
		oc.part = 0
	case n > 0 || oc.part == 0:
		oc.part = s.l.Now()
	}
	s.pump()
	if err != nil && !lc.Closed() {
		// What cannot be read cannot be answered either, and what follows it means nothing.
		s.stats.BadOwners[kind(err)]++
		s.warn("owner's connection ended", lc.Peer(), err)
		oc.end()
		return len(b)
	}
	return min(n, len(b))
}

func (oc *ownerConn) Drained(*eventloop.Conn) {}

func (oc *ownerConn) Closed(_ *eventloop.Conn, err error) {
	s := oc.s
	s.log.Trace().Uint64("conn", uint64(oc.id)).Err(err).Msg("owner closed")
	delete(s.owners, oc.id)
	s.c.ClientDisconnected(s.l.Now(), oc.id)
	s.pump()
}

// end closes the connection once what was written has gone out. From now on it is nobody's: what the core would tell on it would be lost.
func (oc *ownerConn) end() {
	if oc.ended {
		return
	}
	oc.ended = true
	oc.s.c.ClientDisconnected(oc.s.l.Now(), oc.id)
	oc.s.pump()
	oc.lc.CloseAfterFlush()
}

var errUnread = errors.New("does not read what it is sent")

func (oc *ownerConn) write(m *platformproto.Message) {
	if oc.lc.Buffered() > unsentToOwner {
		oc.s.warn("owner's connection ended", oc.lc.Peer(), errUnread)
		oc.s.l.After(0, oc.lc.Close)
		return
	}
	oc.s.trace(">owner", uint64(oc.id), oc.lc.Peer(), m)
	out := m.Append(oc.lc.Out())
	oc.lc.SetOut(out)
}

// idle says whether a connection has nothing under way and never had. The last way to owners of tasks that stand is kept: an owner who finds
// its connection closed need not open another before it asks for something new, and is owed the end of its task within a second.
func (oc *ownerConn) idle(now float64) bool {
	open, good := oc.s.c.ClientRequests(oc.id)
	return !oc.ended && open == 0 && !good && now-oc.last > strangerFor && !(oc.part > 0 && now-oc.part < partFor) &&
		!oc.s.c.IsLastClient(oc.id)
}

// sweepOwners closes connections that have nothing under way and never had. A request that the system has received by now is looked for
// first: it would be lost with the connection.
func (s *Server) sweepOwners() {
	now := s.l.Now()
	for _, oc := range s.owners {
		if !oc.idle(now) {
			continue
		}
		if oc.lc.ReadNow(); oc.idle(now) && !oc.lc.Closed() && !oc.lc.Paused() {
			s.stats.Strangers++
			oc.end()
		}
	}
}

// makeRoom closes the connection that is missed least, if nothing has come on it by now.
func (s *Server) makeRoom() {
	now := s.l.Now()
	s.candidates, s.candidateOf = s.candidates[:0], s.candidateOf[:0]
	for _, oc := range s.owners {
		if oc.ended {
			continue // its seat is about to be free; it is not missed at all, but what it is owed may be on its way
		}
		open, good := s.c.ClientRequests(oc.id)
		s.candidates = append(s.candidates, memquota.Candidate{Busy: open > 0 || oc.opened == now, Proven: good, Idle: now - max(oc.last, oc.part)})
		s.candidateOf = append(s.candidateOf, oc)
	}
	for i := memquota.SelectEviction(s.candidates); i >= 0; i = memquota.SelectEviction(s.candidates) {
		oc := s.candidateOf[i]
		oc.lc.ReadNow()
		if open, _ := s.c.ClientRequests(oc.id); open == 0 && !oc.lc.Paused() {
			s.stats.Crowded++
			oc.lc.Close()
			return
		}
		s.candidates[i].Busy = true
	}
}
