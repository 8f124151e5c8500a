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
	unresponsiveTimeout = 6.0
	refusedTimeout      = 1.0
)

// slotHoldTime is how long, in seconds, a connection to a machine that holds tasks keeps its seat where there are more such machines than seats.
// They take turns then, so that each can say within 8 s how its tasks end.
const slotHoldTime = 2.0

const maxPendingBytes = 64 << 10 // of releases that wait for a connection, for each machine

// nodeLink is all connections to one machine, told apart by its uid: another machine may sit where it was.
type nodeLink struct {
	server          *Server
	id              placer.NodeID
	addr            string
	conns           []*nodeConn
	dialing         *nodeConn
	queued          []*dispatch.Attempt // wait for the dial
	pendingMessages []byte              // releases for a machine that no connection reaches
	backoff         retry.Backoff
	retryAt         float64
	disconnectedAt  float64 // when its last connection ended; 0 if none was
	reachability    connpool.Reachability
	hasTasks        bool
	needsConn       bool // a connection, by what the machine holds or is owed
}

// nodeConn is one connection to a machine.
type nodeConn struct {
	link          *nodeLink
	id            uint64
	conn          *eventloop.Conn
	attempts      map[*dispatch.Attempt]struct{}
	established   bool
	establishedAt float64 // when it came up
	keepAlive     connpool.ConnState
	message       platformproto.Message
}

func (s *Server) linkTo(id placer.NodeID) *nodeLink {
	link := s.links[id]
	if link == nil {
		link = &nodeLink{server: s, id: id, backoff: retry.Backoff{Min: 0.2, Max: 1}, reachability: s.reachability}
		if n := s.core.Node(id); n != nil {
			link.addr = n.Addr
		}
		s.links[id] = link
	}
	return link
}

// updateNodeAddresses brings the links in line with the roster: a machine that has moved is spoken to at its new address.
func (s *Server) updateNodeAddresses() {
	s.core.Nodes(func(node *dispatch.Node) {
		link := s.links[node.ID]
		if link != nil && link.addr != node.Addr {
			link.addr = node.Addr
			link.closeConns()
		}
	})
}

func (link *nodeLink) closeConns() {
	for _, nc := range slices.Clone(link.conns) {
		nc.conn.Close()
	}
	if link.dialing != nil {
		link.dialing.conn.Close()
	}
}

// send has an offer go out on an open connection, or on one that is dialled for it.
func (link *nodeLink) send(attempt *dispatch.Attempt) {
	if nc := link.usableConn(); nc != nil {
		nc.send(attempt)
		return
	}
	link.queued = append(link.queued, attempt)
	link.dial()
}

// usableConn is a connection that offers may go out on: of those that may, the one heard of last.
func (link *nodeLink) usableConn() *nodeConn {
	var best *nodeConn
	for _, nc := range link.conns {
		if nc.keepAlive.Usable() && (best == nil || nc.keepAlive.LastReceived > best.keepAlive.LastReceived) {
			best = nc
		}
	}
	return best
}

func (link *nodeLink) dial() {
	if link.dialing != nil {
		return
	}
	s := link.server
	if !s.ensureNodeSlot() {
		s.loop.After(0, func() { link.dialFailed(errNoConnectionSlot) })
		return
	}
	s.lastNodeConnID++
	nc := &nodeConn{link: link, id: s.lastNodeConnID, attempts: map[*dispatch.Attempt]struct{}{}}
	timeout := s.config.Settings.Placer.ConnectTimeout
	if timeout <= 0 {
		timeout = 0.25
	}
	s.stats.NodeDials++
	conn, err := s.loop.Dial(link.addr, timeout, nc)
	if err != nil {
		s.loop.After(0, func() { link.dialFailed(err) })
		return
	}
	conn.MaxInput = 2 * platformproto.MaxLine
	nc.conn, link.dialing = conn, nc
	s.openNodeConns++
}

// dialFailed tells that no connection came up.
func (link *nodeLink) dialFailed(err error) {
	s := link.server
	s.stats.NodeDialsFailed++
	link.retryAt = s.loop.Now() + link.backoff.Next(s.rng.Float64())
	if err != errNoConnectionSlot { // that says nothing of the machine
		link.reachability.DialFailed(s.loop.Now(), errors.Is(err, unix.ECONNREFUSED))
	}
	queued := link.queued
	link.queued = nil
	for _, attempt := range queued {
		s.core.ConnectFailed(s.loop.Now(), attempt)
	}
	s.processReady()
}

var errNoConnectionSlot = errors.New("no descriptor is left for a connection to a machine")

// ensureNodeSlot says whether there is a descriptor for one more connection to a machine.
func (s *Server) ensureNodeSlot() bool { return s.openNodeConns < s.maxNodeConns || s.evictNodeConn() }

// reconnectNodes dials the machines that hold tasks, or are owed something, and have no connection: those first that have been without one for
// longest. Where there are more of them than seats they take turns, and each must come to its turn before the end of a task there is overdue.
func (s *Server) reconnectNodes() {
	now := s.loop.Now()
	s.disconnected = s.disconnected[:0]
	for _, link := range s.links {
		if link.needsConn && len(link.conns) == 0 && link.dialing == nil && now >= link.retryAt {
			s.disconnected = append(s.disconnected, link)
		}
	}
	slices.SortFunc(s.disconnected, func(a, b *nodeLink) int {
		return cmp.Or(cmp.Compare(a.disconnectedAt, b.disconnectedAt), cmp.Compare(a.id, b.id))
	})
	for _, link := range s.disconnected {
		if !s.ensureNodeSlot() {
			return
		}
		link.dial()
	}
}

// evictNodeConn closes the connection to a machine that is missed least, and says whether there was one.
func (s *Server) evictNodeConn() bool {
	now := s.loop.Now()
	var candidates []memquota.Candidate
	var conns []*nodeConn
	for _, link := range s.links {
		for _, nc := range link.conns {
			candidates = append(candidates, memquota.Candidate{Busy: len(nc.attempts) > 0 || link.hasTasks && now-nc.establishedAt < s.slotHoldTime, Established: link.hasTasks, IdleSeconds: now - nc.keepAlive.LastSent})
			conns = append(conns, nc)
		}
	}
	i := memquota.SelectEviction(candidates)
	if i >= 0 {
		conns[i].conn.Close()
	}
	return i >= 0
}

func (nc *nodeConn) send(attempt *dispatch.Attempt) {
	s := nc.link.server
	if !s.core.PrepareSend(s.loop.Now(), attempt) {
		return
	}
	attempt.Conn = nc
	nc.attempts[attempt] = struct{}{}
	nc.keepAlive.LastSent = s.loop.Now()
	s.traceMessage(">node", nc.id, nc.conn.Peer(), &attempt.Message)
	nc.conn.CommitOutput(attempt.Message.Append(nc.conn.OutputBuffer()))
}

// sendMessage sends a message about an offer to its machine.
func (link *nodeLink) sendMessage(effect *dispatch.Effect) {
	s := link.server
	nc, _ := effect.Attempt.Conn.(*nodeConn)
	if nc != nil {
		delete(nc.attempts, effect.Attempt)
	}
	if nc == nil || nc.conn.Closed() {
		if nc = link.usableConn(); nc == nil && len(link.conns) > 0 {
			nc = link.conns[0]
		}
	} else if effect.TimedOut {
		// Slow, or carrying nothing any more: a test tells, and no offer goes out here until it does.
		s.stats.NodeConnsSuspected++
		defer nc.sendHealthCheck()
	}
	if nc == nil {
		if len(link.pendingMessages) < maxPendingBytes {
			link.pendingMessages = effect.Message.Append(link.pendingMessages)
		}
		return
	}
	s.traceMessage(">node", nc.id, nc.conn.Peer(), &effect.Message)
	nc.conn.CommitOutput(effect.Message.Append(nc.conn.OutputBuffer()))
}

func (nc *nodeConn) sendHealthCheck() {
	if nc.keepAlive.HealthCheckSent == 0 {
		nc.keepAlive.HealthCheckSent = nc.link.server.loop.Now()
		nc.conn.CommitOutput(healthCheck.Append(nc.conn.OutputBuffer()))
	}
}

// maintain closes connections that are idle or of no further use, and sees to it that a machine that holds tasks can say how they end.
func (link *nodeLink) maintain() {
	s := link.server
	now := s.loop.Now()
	node := s.core.Node(link.id)
	hasTasks := node != nil && node.RunningTasks() > 0
	// A list may leave a machine out that the next one has again: what is open there is not given up for that.
	if !hasTasks && (node == nil || node.TerminatedFor(now) > dispatch.TerminationGrace) {
		link.closeConns()
		delete(s.links, link.id)
		return
	}
	if hasTasks && !link.hasTasks {
		link.reachability.Received(now) // what came of it before says nothing of these tasks
	}
	link.hasTasks = hasTasks
	for _, nc := range slices.Clone(link.conns) {
		nc.keepAlive.PendingRequests, nc.keepAlive.RunsTasks, nc.keepAlive.HasAlternative = len(nc.attempts), hasTasks, len(link.conns) > 1
		switch s.keepAlive.KeepAlive(now, nc.keepAlive) {
		case connpool.SendHealthCheck:
			nc.sendHealthCheck()
		case connpool.CloseIdle:
			nc.conn.Close()
		case connpool.CloseUnresponsive:
			s.stats.NodeConnsUnresponsive++
			nc.conn.Close()
		}
	}
	link.needsConn = false
	if !hasTasks && len(link.pendingMessages) == 0 || len(link.conns) > 0 {
		return
	}
	switch status := link.reachability.Status(now); {
	case !hasTasks || status == connpool.Reachable:
	case status == connpool.ProcessEnded:
		s.stats.NodesUnreachable++
		s.log.Warn().Str("machine", node.UID).Int("tasks", node.RunningTasks()).Msg("machine taken for lost: it refuses")
		s.core.NodeDead(now, link.id)
		link.pendingMessages = nil
		return
	default:
		if tasks := s.core.NodeUnresponsive(now, link.id); tasks > 0 {
			s.stats.NodesUnreachable++
			s.log.Warn().Str("machine", node.UID).Int("tasks", tasks).Msg("machine taken for lost: it is silent")
		}
	}
	// One that has gone is not dialled: another machine may sit there by now, and its word would be taken for the gone one's.
	link.needsConn = node.State != placer.Terminated
}

var healthCheck = platformproto.Message{Kind: platformproto.Check, UID: "0000000000000001", ID: 1, HasCause: true}

func (nc *nodeConn) Opened(conn *eventloop.Conn) {
	link := nc.link
	s := link.server
	nc.established, nc.establishedAt, nc.keepAlive.LastReceived, nc.keepAlive.LastSent = true, s.loop.Now(), s.loop.Now(), s.loop.Now()
	link.reachability.Received(s.loop.Now())
	if link.dialing == nc {
		link.dialing = nil
	}
	link.backoff.Reset()
	link.conns = append(link.conns, nc)
	if len(link.pendingMessages) > 0 {
		conn.Write(link.pendingMessages)
		link.pendingMessages = nil
	}
	queued := link.queued
	link.queued = nil
	for _, attempt := range queued {
		s.scheduleAttempt(attempt)
	}
	s.processReady()
}

var errUnexpectedKind = errors.New("message that a machine does not send")

func (nc *nodeConn) Data(conn *eventloop.Conn, data []byte) int {
	s := nc.link.server
	nc.keepAlive.LastReceived = s.loop.Now()
	nc.link.reachability.Received(nc.keepAlive.LastReceived)
	consumed, err := s.readLines(conn, data, func(line []byte) (bool, error) {
		if err := platformproto.Parse(line, &nc.message); err != nil {
			return false, err
		}
		if nc.message.Kind == platformproto.Launch || nc.message.Kind == platformproto.Check {
			return false, errUnexpectedKind
		}
		s.traceMessage("node>", nc.id, conn.Peer(), &nc.message)
		if nc.message.Kind == platformproto.Checked {
			nc.keepAlive.HealthCheckSent = 0
			return false, nil
		}
		s.core.ReceiveFromNode(s.loop.Now(), nc.link.id, &nc.message)
		return false, nil
	})
	nc.removeAnswered()
	switch {
	case consumed == len(data):
		nc.keepAlive.IncompleteSince = 0
	case consumed > 0 || nc.keepAlive.IncompleteSince == 0:
		nc.keepAlive.IncompleteSince = s.loop.Now()
	}
	s.processReady()
	if err != nil && !conn.Closed() {
		s.stats.InvalidFromNodes[invalidKind(err)]++
		s.warn("machine's connection ended", conn.Peer(), err)
		conn.Close()
		return len(data)
	}
	return min(consumed, len(data))
}

// removeAnswered forgets the offers that have their answer.
func (nc *nodeConn) removeAnswered() {
	for attempt := range nc.attempts {
		if !attempt.Unanswered() {
			delete(nc.attempts, attempt)
		}
	}
}

func (nc *nodeConn) Drained(*eventloop.Conn) {}

func (nc *nodeConn) Closed(_ *eventloop.Conn, err error) {
	link := nc.link
	s := link.server
	s.openNodeConns--
	s.log.Trace().Uint64("conn", nc.id).Str("addr", link.addr).Bool("up", nc.established).Err(err).Msg("node closed")
	if !nc.established {
		if link.dialing == nc {
			link.dialing = nil
		}
		link.dialFailed(err)
		return
	}
	if i := slices.Index(link.conns, nc); i >= 0 {
		link.conns = slices.Delete(link.conns, i, i+1)
	}
	link.disconnectedAt = s.loop.Now()
	if !errors.Is(err, eventloop.ErrClosedLocally) {
		s.stats.NodeConnsLost++
	}
	unanswered := make([]*dispatch.Attempt, 0, len(nc.attempts))
	for attempt := range nc.attempts {
		unanswered = append(unanswered, attempt)
	}
	nc.attempts = nil
	for _, attempt := range unanswered {
		s.core.ConnectionLost(s.loop.Now(), attempt)
	}
	s.processReady()
}
