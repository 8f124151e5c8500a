//go:build linux

// Package platform is the scheduler on the shared platform's sockets: a listener for owners, connections to machines, the bulletin and
// signals, all on one event loop. It translates between bytes and package dispatch and decides nothing on placing.
package platform

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/rs/zerolog"

	"heathshed/internal/connpool"
	"heathshed/internal/dispatch"
	"heathshed/internal/eventloop"
	"heathshed/internal/eventqueue"
	"heathshed/internal/memquota"
	"heathshed/internal/platformproto"
	"heathshed/placer"
)

// Times in seconds.
const (
	idleClientTimeout        = 2.0  // a connection that has nothing under way and never had is closed after this; the platform allows 3
	incompleteMessageTimeout = 0.7  // and one on which a message has come in part, no sooner than this after it began
	acceptGrace              = 0.85 // after the signal to stop, connections and set-ups come for 0.7 s at most
	closeGrace               = 0.5  // for owners to close their side of connections at the end
	minCloseGrace            = 0.1  // of that, when there is hardly time left; the reserve of stayFor covers it
	housekeepingInterval     = 0.1
	statsInterval            = 10.0
	minSockets               = 64
	reservedSockets          = 16 // files, the loop's own descriptors, the bulletin's
	maxLinesPerTurn          = 64 // of one connection, then it is the turn of others
	maxUnsentToClient        = 256 << 10
	maxWarningsPerSecond     = 5 // in the log, a second
)

// Server is one scheduler.
type Server struct {
	loop      *eventloop.Loop
	core      *dispatch.Core
	config    *Config
	rng       *rand.Rand // of the configuration's seed, so that schedulers started at one moment do not try again in step
	log       zerolog.Logger
	listener  *eventloop.Listener
	coreTimer *eventloop.Timer
	onStopped func()

	clients            map[dispatch.ConnID]*clientConn
	lastClientID       dispatch.ConnID
	maxClients         int
	evictionCandidates []memquota.Candidate // scratch of makeRoom
	evictionConns      []*clientConn
	maxNodeConns       int
	keepAlive          connpool.SharedPolicy
	reachability       connpool.Reachability // as each machine's begins
	openNodeConns      int
	lastNodeConnID     uint64
	links              map[placer.NodeID]*nodeLink
	disconnected       []*nodeLink // scratch of reconnect
	slotHoldTime       float64
	discovery          *discoveryWatch
	pausedConns        []*eventloop.Conn
	pendingAttempts    []*dispatch.Attempt // attempts that go out at the end of the turn
	stopping           bool
	stopRequestedAt    float64
	stats              Stats
	warningLimit       warningLimit
}

// Stats counts what passed on the sockets.
type Stats struct {
	ClientsAccepted, IdleClientsClosed, ClientsEvicted, NodeDials, NodeDialsFailed, NodeConnsLost, NodeConnsSuspected, NodeConnsUnresponsive, NodesUnreachable, WatchesOpened, WatchEvents uint64
	// Bad input by kind, of owners and of machines.
	InvalidFromClients, InvalidFromNodes map[string]uint64
}

// invalidKind is a word for what is wrong with a message, one of a few.
func invalidKind(err error) string {
	var invalid *dispatch.InvalidMessageError
	switch {
	case errors.As(err, &invalid):
		return string(invalid.Reason)
	case errors.Is(err, platformproto.ErrTooLong):
		return "long line"
	}
	return "unreadable"
}

// New makes a scheduler on the loop and begins to listen. Its end is told by done, on the loop.
func New(loop *eventloop.Loop, config *Config, policy eventqueue.Placer, log zerolog.Logger, done func()) (*Server, error) {
	core, err := dispatch.New(loop.Now(), config.Settings, policy, config.InitialEvents)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	server := &Server{loop: loop, core: core, config: config, log: log, onStopped: done, clients: map[dispatch.ConnID]*clientConn{},
		links: map[placer.NodeID]*nodeLink{}, stats: Stats{InvalidFromClients: map[string]uint64{}, InvalidFromNodes: map[string]uint64{}}}
	server.rng = rand.New(rand.NewPCG(config.Seed, 0x6a09e667f3bcc908))
	server.reachability = connpool.Reachability{UnresponsiveAfter: unresponsiveTimeout, RefusedAfter: refusedTimeout}
	server.slotHoldTime = slotHoldTime
	server.keepAlive = connpool.DefaultSharedPolicy()
	server.keepAlive.MaxIdle = config.Settings.IdleTimeout * 0.6 // well before the machine closes it: an offer must not cross that
	sockets := config.Sockets
	if sockets == 0 {
		sockets = 4096
	}
	server.maxNodeConns = (sockets - reservedSockets) / 2 // owners hold a third at most; what is left of the other half is for strangers
	server.maxClients = sockets - reservedSockets - server.maxNodeConns
	loop.SetMaxConns(server.maxClients)
	if server.listener, err = loop.Listen(config.Listen, server.acceptClient); err != nil {
		return nil, err
	}
	server.discovery = newDiscoveryWatch(server, config.Discovery)
	server.discovery.open()
	server.processReady()
	log.Trace().Str("settings", fmt.Sprintf("%+v", *config.Settings)).RawJSON("known", config.InitialEvents).Msg("configuration")
	loop.After(housekeepingInterval, server.housekeep)
	loop.After(statsInterval, server.logStats)
	return server, nil
}

// Addr is the address listened at.
func (s *Server) Addr() string { return s.listener.Addr() }

// Reload goes over to the bulletin that a new configuration names.
func (s *Server) Reload(next *Config) {
	if next.Discovery != s.discovery.addr {
		s.log.Info().Str("bulletin", next.Discovery).Uint64("last", s.core.LastDiscoveryEvent()).Msg("bulletin moved")
		s.discovery.moveTo(next.Discovery)
	}
}

// Stop serves what still comes, answers all that was taken, and then ends. A second call changes nothing.
func (s *Server) Stop() {
	if s.stopping {
		return
	}
	s.stopping, s.stopRequestedAt = true, s.loop.Now()
	s.log.Info().Int("open", s.core.OpenRequests()).Int("standing", s.core.RunningTasks()).Msg("stopping")
	s.loop.After(acceptGrace, s.finishStop)
}

// finishStop closes the listener, and ends the program once nothing that was taken is open. While tasks stand it stays as long as the platform
// leaves it running, to tell their owners how they end: what ends with no scheduler there is told late or never.
func (s *Server) finishStop() {
	if !s.listener.Closed() {
		s.listener.Drain()
		s.listener.Close()
	}
	unread := false // a request that has come in part, or that the system has and we have not
	for _, client := range s.clients {
		client.conn.ReadNow()
		unread = unread || client.incompleteSince > 0 || client.conn.Paused()
	}
	inTime := s.loop.Now() < s.stopRequestedAt+s.stopTimeout()
	if s.core.OpenRequests() > 0 || inTime && (unread || s.core.RunningTasks() > 0 && len(s.clients) > 0) {
		s.loop.After(0.01, s.finishStop)
		return
	}
	for _, client := range s.clients {
		client.closeGracefully()
	}
	now := s.loop.Now()
	s.awaitClientsClosed(max(now+minCloseGrace, min(now+closeGrace, s.stopRequestedAt+s.stopTimeout()+minCloseGrace)))
}

// awaitClientsClosed ends the program when the owners have closed their connections too. With a byte unread, the end of the process would turn each into
// a reset, which destroys the answers that its owner has not read yet.
func (s *Server) awaitClientsClosed(deadline float64) {
	if len(s.clients) > 0 && s.loop.Now() < deadline {
		s.loop.After(0.01, func() { s.awaitClientsClosed(deadline) })
		return
	}
	s.logStats()
	s.log.Info().Msg("stopped")
	s.onStopped()
}

// stopTimeout is how long after the signal to stop the platform surely leaves a scheduler running, in seconds: the longest deadline, 3 s where
// it is longer, and 0.7 s, less a reserve for a busy processor.
func (s *Server) stopTimeout() float64 {
	longest := 0.0
	for i := range s.config.Settings.Placer.Classes {
		longest = max(longest, s.config.Settings.Placer.Classes[i].Deadline)
	}
	return min(longest, 3) + 0.7 - 0.15
}

// processReady carries out what the core left to do and sets the timer for what it does next.
func (s *Server) processReady() {
	for effects := s.core.Ready(); len(effects) > 0; effects = s.core.Ready() {
		for i := range effects {
			s.applyEffect(&effects[i])
		}
	}
	due := s.core.NextTimer()
	if s.coreTimer != nil && s.coreTimer.Due() == due {
		return
	}
	s.coreTimer.Stop()
	s.coreTimer = nil
	if due < s.loop.Now()+1e6 {
		s.coreTimer = s.loop.At(due, func() {
			s.coreTimer = nil
			s.core.Advance(s.loop.Now())
			s.processReady()
		})
	}
}

func (s *Server) applyEffect(effect *dispatch.Effect) {
	switch effect.Kind {
	case dispatch.SendToClient:
		if client := s.clients[effect.Conn]; client != nil {
			client.send(&effect.Message)
		}
	case dispatch.SendAttempt:
		s.scheduleAttempt(effect.Attempt)
	case dispatch.SendToNode:
		s.linkTo(effect.Attempt.Node).sendMessage(effect)
	case dispatch.ConnectNode:
		s.linkTo(effect.Attempt.Node)
	case dispatch.NodesChanged:
		s.updateNodeAddresses()
	}
}

// scheduleAttempt has an attempt go out at the end of the turn.
func (s *Server) scheduleAttempt(attempt *dispatch.Attempt) {
	s.pendingAttempts = append(s.pendingAttempts, attempt)
	if len(s.pendingAttempts) == 1 {
		s.loop.AtIterationEnd(s.sendPendingAttempts)
	}
}

// sendPendingAttempts sends the attempts that wait. An owner that has closed its connection or cancelled is owed none, and the end of its connection may be
// ready in the same turn as the wake-up or the connection that has the attempt go out, in any order, or be known to the system only since:
// so each owner is read once more, and what then comes of its departure ends the attempt before its first byte.
func (s *Server) sendPendingAttempts() {
	pending := s.pendingAttempts
	s.pendingAttempts = nil
	for _, attempt := range pending {
		if client := s.clients[attempt.Client()]; client != nil {
			client.conn.ReadNow()
			if client.conn.Paused() && !client.conn.Closed() { // lines of it wait for their turn; a cancel may be among them
				s.scheduleAttempt(attempt)
				continue
			}
		}
		if attempt.Pending() {
			s.linkTo(attempt.Node).send(attempt)
		}
	}
}

// housekeep is what is done at regular times.
func (s *Server) housekeep() {
	s.closeIdleClients()
	for _, link := range s.links {
		link.maintain()
	}
	s.reconnectNodes()
	s.processReady()
	s.loop.After(housekeepingInterval, s.housekeep)
}

// logStats writes what was counted to the log.
func (s *Server) logStats() {
	counts := &s.core.Counts
	s.log.Info().Int("owners", len(s.clients)).Int("node_conns", s.openNodeConns).Int("links", len(s.links)).Int("open", s.core.OpenRequests()).
		Int("standing", s.core.RunningTasks()).Uint64("bulletin", s.core.LastDiscoveryEvent()).Interface("core", counts).Interface("sockets", &s.stats).Msg("counts")
	if !s.stopping {
		s.loop.After(statsInterval, s.logStats)
	}
}

// traceMessage logs one message at level trace.
func (s *Server) traceMessage(what string, conn uint64, peer string, message *platformproto.Message) {
	if s.log.GetLevel() > zerolog.TraceLevel {
		return
	}
	event := s.log.Trace().Str("kind", message.Kind.String()).Str("uid", message.UID).Uint64("conn", conn).Str("peer", peer)
	if message.HasCause {
		event.Int("reason", message.Cause)
	}
	for field := platformproto.Class; field <= platformproto.LoadReport; field++ {
		if message.Has(field) {
			event.Str(field.String(), message.Get(field))
		}
	}
	event.Msg(what)
}

// deferReading has a connection's unread lines looked at in the next turn: one that sends much does not keep the others waiting.
func (s *Server) deferReading(conn *eventloop.Conn) {
	conn.PauseRead(true)
	s.pausedConns = append(s.pausedConns, conn)
	if len(s.pausedConns) == 1 {
		s.loop.After(0, func() {
			paused := s.pausedConns
			s.pausedConns = nil
			for _, conn := range paused {
				conn.PauseRead(false)
			}
		})
	}
}

// readLines calls f for each whole line of b, at most linesPerTurn beside those that f takes for free, and returns how many bytes were taken. The
// error is that of f, or jsonl.ErrTooLong for a line without an end.
func (s *Server) readLines(conn *eventloop.Conn, data []byte, handle func(line []byte) (free bool, err error)) (int, error) {
	consumed := 0
	for handled := 0; handled < maxLinesPerTurn; {
		end := bytes.IndexByte(data[consumed:], '\n')
		if end < 0 {
			if len(data)-consumed >= platformproto.MaxLine {
				return consumed, platformproto.ErrTooLong
			}
			return consumed, nil
		}
		free, err := handle(data[consumed : consumed+end])
		if err != nil {
			return consumed, err
		}
		consumed += end + 1
		if conn.Closed() {
			return consumed, nil
		}
		if !free {
			handled++
		}
	}
	if consumed < len(data) {
		s.deferReading(conn)
	}
	return consumed, nil
}

// warningLimit bounds how often bad input is logged.
type warningLimit struct {
	windowStart float64
	count       int
}

func (s *Server) warn(what, peer string, err error) {
	if now := s.loop.Now(); now > s.warningLimit.windowStart+1 {
		s.warningLimit = warningLimit{windowStart: now}
	}
	if s.warningLimit.count++; s.warningLimit.count <= maxWarningsPerSecond {
		s.log.Warn().Str("peer", peer).Err(err).Msg(what)
	}
}
