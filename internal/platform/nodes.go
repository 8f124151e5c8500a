//go:build linux

package platform

import (
	"cmp"
	"errors"
	"slices"

	"golang.org/x/sys/unix"

	"heathshed/internal/connpool"
	"heathshed/internal/dispatch"
	"heathshed/internal/eventloop"
	"heathshed/internal/memquota"
	"heathshed/internal/platformproto"
	"heathshed/internal/retry"
	"heathshed/placer"
)

// A machine that holds tasks is taken for lost after these times in seconds. Owners are to know within 8 s of the end; refusals may be a
// process that is being started again.
const (
	silentFor  = 6.0
	refusedFor = 1.0
)

// seatFor is how long, in seconds, a connection to a machine that holds tasks keeps its seat where there are more such machines than seats.
// They take turns then, so that each can say within 8 s how its tasks end.
const seatFor = 2.0

const owedBytes = 64 << 10 // of releases that wait for a connection, for each machine

// link is all connections to one machine, told apart by its uid: another machine may sit where it was.
type link struct {
	s       *Server
	id      placer.NodeID
	addr    string
	conns   []*nodeConn
	dialing *nodeConn
	queue   []*dispatch.Attempt // wait for the dial
	owed    []byte              // releases for a machine that no connection reaches
	retry   retry.Backoff
	retryAt float64
	downAt  float64 // when its last connection ended; 0 if none was
	reach   connpool.Reachability
	holds   bool
	wanted  bool // a connection, by what the machine holds or is owed
}

// nodeConn is one connection to a machine.
type nodeConn struct {
	k      *link
	no     uint64
	lc     *eventloop.Conn
	offers map[*dispatch.Attempt]struct{}
	up     bool
	since  float64 // when it came up
	state  connpool.ConnState
	m      platformproto.Message
}

func (s *Server) link(id placer.NodeID) *link {
	k := s.links[id]
	if k == nil {
		k = &link{s: s, id: id, retry: retry.Backoff{Min: 0.2, Max: 1}, reach: s.reach}
		if n := s.c.Node(id); n != nil {
			k.addr = n.Addr
		}
		s.links[id] = k
	}
	return k
}

// follow brings the links in line with the roster: a machine that has moved is spoken to at its new address.
func (s *Server) follow() {
	s.c.Nodes(func(n *dispatch.Node) {
		k := s.links[n.ID]
		if k != nil && k.addr != n.Addr {
			k.addr = n.Addr
			k.closeAll()
		}
	})
}

func (k *link) closeAll() {
	for _, c := range slices.Clone(k.conns) {
		c.lc.Close()
	}
	if k.dialing != nil {
		k.dialing.lc.Close()
	}
}

// send has an offer go out on an open connection, or on one that is dialled for it.
func (k *link) send(o *dispatch.Attempt) {
	if c := k.usable(); c != nil {
		c.send(o)
		return
	}
	k.queue = append(k.queue, o)
	k.dial()
}

// usable is a connection that offers may go out on: of those that may, the one heard of last.
func (k *link) usable() *nodeConn {
	var best *nodeConn
	for _, c := range k.conns {
		if c.state.Usable() && (best == nil || c.state.LastReceived > best.state.LastReceived) {
			best = c
		}
	}
	return best
}

func (k *link) dial() {
	if k.dialing != nil {
		return
	}
	s := k.s
	if !s.seat() {
		s.l.After(0, func() { k.failed(errNoSeat) })
		return
	}
	s.nextNode++
	c := &nodeConn{k: k, no: s.nextNode, offers: map[*dispatch.Attempt]struct{}{}}
	within := s.cfg.Settings.Placer.ConnectTimeout
	if within <= 0 {
		within = 0.25
	}
	s.stats.Dials++
	lc, err := s.l.Dial(k.addr, within, c)
	if err != nil {
		s.l.After(0, func() { k.failed(err) })
		return
	}
	lc.MaxIn = 2 * platformproto.MaxLine
	c.lc, k.dialing = lc, c
	s.nodeConns++
}

// failed tells that no connection came up.
func (k *link) failed(err error) {
	s := k.s
	s.stats.DialsFailed++
	k.retryAt = s.l.Now() + k.retry.Next(s.rng.Float64())
	if err != errNoSeat { // that says nothing of the machine
		k.reach.DialFailed(s.l.Now(), errors.Is(err, unix.ECONNREFUSED))
	}
	q := k.queue
	k.queue = nil
	for _, o := range q {
		s.c.ConnectFailed(s.l.Now(), o)
	}
	s.pump()
}

var errNoSeat = errors.New("no descriptor is left for a connection to a machine")

// seat says whether there is a descriptor for one more connection to a machine.
func (s *Server) seat() bool { return s.nodeConns < s.maxNodes || s.freeSeat() }

// reconnect dials the machines that hold tasks, or are owed something, and have no connection: those first that have been without one for
// longest. Where there are more of them than seats they take turns, and each must come to its turn before the end of a task there is overdue.
func (s *Server) reconnect() {
	now := s.l.Now()
	s.waiting = s.waiting[:0]
	for _, k := range s.links {
		if k.wanted && len(k.conns) == 0 && k.dialing == nil && now >= k.retryAt {
			s.waiting = append(s.waiting, k)
		}
	}
	slices.SortFunc(s.waiting, func(a, b *link) int {
		return cmp.Or(cmp.Compare(a.downAt, b.downAt), cmp.Compare(a.id, b.id))
	})
	for _, k := range s.waiting {
		if !s.seat() {
			return
		}
		k.dial()
	}
}

// freeSeat closes the connection to a machine that is missed least, and says whether there was one.
func (s *Server) freeSeat() bool {
	now := s.l.Now()
	var candidates []memquota.Candidate
	var conns []*nodeConn
	for _, k := range s.links {
		for _, c := range k.conns {
			candidates = append(candidates, memquota.Candidate{Busy: len(c.offers) > 0 || k.holds && now-c.since < s.seatFor, Proven: k.holds, Idle: now - c.state.LastSent})
			conns = append(conns, c)
		}
	}
	i := memquota.SelectEviction(candidates)
	if i >= 0 {
		conns[i].lc.Close()
	}
	return i >= 0
}

func (c *nodeConn) send(o *dispatch.Attempt) {
	s := c.k.s
	if !s.c.PrepareSend(s.l.Now(), o) {
		return
	}
	o.Conn = c
	c.offers[o] = struct{}{}
	c.state.LastSent = s.l.Now()
	s.trace(">node", c.no, c.lc.Peer(), &o.Message)
	c.lc.SetOut(o.Message.Append(c.lc.Out()))
}

// release sends a message about an offer to its machine.
func (k *link) release(e *dispatch.Effect) {
	s := k.s
	c, _ := e.Attempt.Conn.(*nodeConn)
	if c != nil {
		delete(c.offers, e.Attempt)
	}
	if c == nil || c.lc.Closed() {
		if c = k.usable(); c == nil && len(k.conns) > 0 {
			c = k.conns[0]
		}
	} else if e.TimedOut {
		// Slow, or carrying nothing any more: a test tells, and no offer goes out here until it does.
		s.stats.Doubted++
		defer c.test()
	}
	if c == nil {
		if len(k.owed) < owedBytes {
			k.owed = e.Message.Append(k.owed)
		}
		return
	}
	s.trace(">node", c.no, c.lc.Peer(), &e.Message)
	c.lc.SetOut(e.Message.Append(c.lc.Out()))
}

func (c *nodeConn) test() {
	if c.state.HealthCheckSent == 0 {
		c.state.HealthCheckSent = c.k.s.l.Now()
		c.lc.SetOut(check.Append(c.lc.Out()))
	}
}

// keep closes connections that are idle or of no further use, and sees to it that a machine that holds tasks can say how they end.
func (k *link) keep() {
	s := k.s
	now := s.l.Now()
	n := s.c.Node(k.id)
	holds := n != nil && n.RunningTasks() > 0
	// A list may leave a machine out that the next one has again: what is open there is not given up for that.
	if !holds && (n == nil || n.TerminatedFor(now) > dispatch.TerminationGrace) {
		k.closeAll()
		delete(s.links, k.id)
		return
	}
	if holds && !k.holds {
		k.reach.Received(now) // what came of it before says nothing of these tasks
	}
	k.holds = holds
	for _, c := range slices.Clone(k.conns) {
		c.state.PendingRequests, c.state.RunsTasks, c.state.HasAlternative = len(c.offers), holds, len(k.conns) > 1
		switch s.shared.KeepAlive(now, c.state) {
		case connpool.SendHealthCheck:
			c.test()
		case connpool.CloseIdle:
			c.lc.Close()
		case connpool.CloseUnresponsive:
			s.stats.Broken++
			c.lc.Close()
		}
	}
	k.wanted = false
	if !holds && len(k.owed) == 0 || len(k.conns) > 0 {
		return
	}
	switch loss := k.reach.Status(now); {
	case !holds || loss == connpool.Reachable:
	case loss == connpool.ProcessEnded:
		s.stats.MachinesLost++
		s.log.Warn().Str("machine", n.UID).Int("tasks", n.RunningTasks()).Msg("machine taken for lost: it refuses")
		s.c.NodeDead(now, k.id)
		k.owed = nil
		return
	default:
		if tasks := s.c.NodeUnresponsive(now, k.id); tasks > 0 {
			s.stats.MachinesLost++
			s.log.Warn().Str("machine", n.UID).Int("tasks", tasks).Msg("machine taken for lost: it is silent")
		}
	}
	// One that has gone is not dialled: another machine may sit there by now, and its word would be taken for the gone one's.
	k.wanted = n.State != placer.Gone
}

var check = platformproto.Message{Kind: platformproto.Check, UID: "0000000000000001", ID: 1, HasReason: true}

func (c *nodeConn) Opened(lc *eventloop.Conn) {
	k := c.k
	s := k.s
	c.up, c.since, c.state.LastReceived, c.state.LastSent = true, s.l.Now(), s.l.Now(), s.l.Now()
	k.reach.Received(s.l.Now())
	if k.dialing == c {
		k.dialing = nil
	}
	k.retry.Reset()
	k.conns = append(k.conns, c)
	if len(k.owed) > 0 {
		lc.Write(k.owed)
		k.owed = nil
	}
	q := k.queue
	k.queue = nil
	for _, o := range q {
		s.start(o)
	}
	s.pump()
}

var errStrange = errors.New("message that a machine does not send")

func (c *nodeConn) Data(lc *eventloop.Conn, b []byte) int {
	s := c.k.s
	c.state.LastReceived = s.l.Now()
	c.k.reach.Received(c.state.LastReceived)
	n, err := s.lines(lc, b, func(line []byte) (bool, error) {
		if err := platformproto.Parse(line, &c.m); err != nil {
			return false, err
		}
		if c.m.Kind == platformproto.Launch || c.m.Kind == platformproto.Check {
			return false, errStrange
		}
		s.trace("node>", c.no, lc.Peer(), &c.m)
		if c.m.Kind == platformproto.Checked {
			c.state.HealthCheckSent = 0
			return false, nil
		}
		s.c.ReceiveFromNode(s.l.Now(), c.k.id, &c.m)
		return false, nil
	})
	c.settle()
	switch {
	case n == len(b):
		c.state.IncompleteSince = 0
	case n > 0 || c.state.IncompleteSince == 0:
		c.state.IncompleteSince = s.l.Now()
	}
	s.pump()
	if err != nil && !lc.Closed() {
		s.stats.BadMachines[kind(err)]++
		s.warn("machine's connection ended", lc.Peer(), err)
		lc.Close()
		return len(b)
	}
	return min(n, len(b))
}

// settle forgets the offers that have their answer.
func (c *nodeConn) settle() {
	for o := range c.offers {
		if !o.Unanswered() {
			delete(c.offers, o)
		}
	}
}

func (c *nodeConn) Drained(*eventloop.Conn) {}

func (c *nodeConn) Closed(_ *eventloop.Conn, err error) {
	k := c.k
	s := k.s
	s.nodeConns--
	s.log.Trace().Uint64("conn", c.no).Str("addr", k.addr).Bool("up", c.up).Err(err).Msg("node closed")
	if !c.up {
		if k.dialing == c {
			k.dialing = nil
		}
		k.failed(err)
		return
	}
	if i := slices.Index(k.conns, c); i >= 0 {
		k.conns = slices.Delete(k.conns, i, i+1)
	}
	k.downAt = s.l.Now()
	if !errors.Is(err, eventloop.ErrClosedHere) {
		s.stats.NodeBreaks++
	}
	all := make([]*dispatch.Attempt, 0, len(c.offers))
	for o := range c.offers {
		all = append(all, o)
	}
	c.offers = nil
	for _, o := range all {
		s.c.ConnectionLost(s.l.Now(), o)
	}
	s.pump()
}
