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
	strangerFor   = 2.0  // a connection that has nothing under way and never had is closed after this; the platform allows 3
	partFor       = 0.7  // and one on which a message has come in part, no sooner than this after it began
	acceptAfter   = 0.85 // after the signal to stop, connections and set-ups come for 0.7 s at most
	partingFor    = 0.5  // for owners to close their side of connections at the end
	partingLeast  = 0.1  // of that, when there is hardly time left; the reserve of stayFor covers it
	housekeeping  = 0.1
	reportEvery   = 10.0
	leastSockets  = 64
	spareSockets  = 16 // files, the loop's own descriptors, the bulletin's
	linesPerTurn  = 64 // of one connection, then it is the turn of others
	unsentToOwner = 256 << 10
	warnings      = 5 // in the log, a second
)

// Server is one scheduler.
type Server struct {
	l    *eventloop.Loop
	c    *dispatch.Core
	cfg  *Config
	rng  *rand.Rand // of the configuration's seed, so that schedulers started at one moment do not try again in step
	log  zerolog.Logger
	ln   *eventloop.Listener
	due  *eventloop.Timer
	done func()

	owners      map[dispatch.ConnID]*ownerConn
	nextOwner   dispatch.ConnID
	maxOwners   int
	candidates  []memquota.Candidate // scratch of makeRoom
	candidateOf []*ownerConn
	maxNodes    int
	shared      connpool.SharedPolicy
	reach       connpool.Reachability // as each machine's begins
	nodeConns   int
	nextNode    uint64
	links       map[placer.NodeID]*link
	waiting     []*link // scratch of reconnect
	seatFor     float64
	bulletin    *bulletin
	resume      []*eventloop.Conn
	starts      []*dispatch.Attempt // attempts that go out at the end of the turn
	stopping    bool
	stopAt      float64
	stats       Stats
	complain    complaints
}

// Stats counts what passed on the sockets.
type Stats struct {
	Accepted, Strangers, Crowded, Dials, DialsFailed, NodeBreaks, Doubted, Broken, MachinesLost, BulletinOpens, BulletinEvents uint64
	// Bad input by kind, of owners and of machines.
	BadOwners, BadMachines map[string]uint64
}

// kind is a word for what is wrong with a message, one of a few.
func kind(err error) string {
	var b *dispatch.InvalidMessageError
	switch {
	case errors.As(err, &b):
		return b.Kind
	case errors.Is(err, platformproto.ErrTooLong):
		return "long line"
	}
	return "unreadable"
}

// New makes a scheduler on the loop and begins to listen. Its end is told by done, on the loop.
func New(l *eventloop.Loop, cfg *Config, p eventqueue.Placer, log zerolog.Logger, done func()) (*Server, error) {
	core, err := dispatch.New(l.Now(), cfg.Settings, p, cfg.InitialEvents)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	s := &Server{l: l, c: core, cfg: cfg, log: log, done: done, owners: map[dispatch.ConnID]*ownerConn{},
		links: map[placer.NodeID]*link{}, stats: Stats{BadOwners: map[string]uint64{}, BadMachines: map[string]uint64{}}}
	s.rng = rand.New(rand.NewPCG(cfg.Seed, 0x6a09e667f3bcc908))
	s.reach = connpool.Reachability{UnresponsiveAfter: silentFor, RefusedAfter: refusedFor}
	s.seatFor = seatFor
	s.shared = connpool.DefaultSharedPolicy()
	s.shared.MaxIdle = cfg.Settings.ConnIdle * 0.6 // well before the machine closes it: an offer must not cross that
	sockets := cfg.Sockets
	if sockets == 0 {
		sockets = 4096
	}
	s.maxNodes = (sockets - spareSockets) / 2 // owners hold a third at most; what is left of the other half is for strangers
	s.maxOwners = sockets - spareSockets - s.maxNodes
	l.SetMaxConns(s.maxOwners)
	if s.ln, err = l.Listen(cfg.Listen, s.accept); err != nil {
		return nil, err
	}
	s.bulletin = newBulletin(s, cfg.Discovery)
	s.bulletin.open()
	s.pump()
	log.Trace().Str("settings", fmt.Sprintf("%+v", *cfg.Settings)).RawJSON("known", cfg.InitialEvents).Msg("configuration")
	l.After(housekeeping, s.keep)
	l.After(reportEvery, s.report)
	return s, nil
}

// Addr is the address listened at.
func (s *Server) Addr() string { return s.ln.Addr() }

// Reload goes over to the bulletin that a new configuration names.
func (s *Server) Reload(cfg *Config) {
	if cfg.Discovery != s.bulletin.addr {
		s.log.Info().Str("bulletin", cfg.Discovery).Uint64("last", s.c.LastDiscoveryEvent()).Msg("bulletin moved")
		s.bulletin.move(cfg.Discovery)
	}
}

// Stop serves what still comes, answers all that was taken, and then ends. A second call changes nothing.
func (s *Server) Stop() {
	if s.stopping {
		return
	}
	s.stopping, s.stopAt = true, s.l.Now()
	s.log.Info().Int("open", s.c.OpenRequests()).Int("standing", s.c.RunningTasks()).Msg("stopping")
	s.l.After(acceptAfter, s.ending)
}

// ending closes the listener, and ends the program once nothing that was taken is open. While tasks stand it stays as long as the platform
// leaves it running, to tell their owners how they end: what ends with no scheduler there is told late or never.
func (s *Server) ending() {
	if !s.ln.Closed() {
		s.ln.Drain()
		s.ln.Close()
	}
	unread := false // a request that has come in part, or that the system has and we have not
	for _, oc := range s.owners {
		oc.lc.ReadNow()
		unread = unread || oc.part > 0 || oc.lc.Paused()
	}
	inTime := s.l.Now() < s.stopAt+s.stayFor()
	if s.c.OpenRequests() > 0 || inTime && (unread || s.c.RunningTasks() > 0 && len(s.owners) > 0) {
		s.l.After(0.01, s.ending)
		return
	}
	for _, oc := range s.owners {
		oc.end()
	}
	now := s.l.Now()
	s.leave(max(now+partingLeast, min(now+partingFor, s.stopAt+s.stayFor()+partingLeast)))
}

// leave ends the program when the owners have closed their connections too. With a byte unread, the end of the process would turn each into
// a reset, which destroys the answers that its owner has not read yet.
func (s *Server) leave(last float64) {
	if len(s.owners) > 0 && s.l.Now() < last {
		s.l.After(0.01, func() { s.leave(last) })
		return
	}
	s.report()
	s.log.Info().Msg("stopped")
	s.done()
}

// stayFor is how long after the signal to stop the platform surely leaves a scheduler running, in seconds: the longest deadline, 3 s where
// it is longer, and 0.7 s, less a reserve for a busy processor.
func (s *Server) stayFor() float64 {
	longest := 0.0
	for i := range s.cfg.Settings.Placer.Classes {
		longest = max(longest, s.cfg.Settings.Placer.Classes[i].Deadline)
	}
	return min(longest, 3) + 0.7 - 0.15
}

// pump carries out what the core left to do and sets the timer for what it does next.
func (s *Server) pump() {
	for effects := s.c.Ready(); len(effects) > 0; effects = s.c.Ready() {
		for i := range effects {
			s.carryOut(&effects[i])
		}
	}
	due := s.c.NextTimer()
	if s.due != nil && s.due.Due() == due {
		return
	}
	s.due.Stop()
	s.due = nil
	if due < s.l.Now()+1e6 {
		s.due = s.l.At(due, func() {
			s.due = nil
			s.c.Advance(s.l.Now())
			s.pump()
		})
	}
}

func (s *Server) carryOut(e *dispatch.Effect) {
	switch e.Kind {
	case dispatch.SendToClient:
		if oc := s.owners[e.Conn]; oc != nil {
			oc.write(&e.Message)
		}
	case dispatch.SendAttempt:
		s.start(e.Attempt)
	case dispatch.SendToNode:
		s.link(e.Attempt.Node).release(e)
	case dispatch.ConnectNode:
		s.link(e.Attempt.Node)
	case dispatch.NodesChanged:
		s.follow()
	}
}

// start has an attempt go out at the end of the turn.
func (s *Server) start(o *dispatch.Attempt) {
	s.starts = append(s.starts, o)
	if len(s.starts) == 1 {
		s.l.AtEnd(s.begin)
	}
}

// begin sends the attempts that wait. An owner that has closed its connection or cancelled is owed none, and the end of its connection may be
// ready in the same turn as the wake-up or the connection that has the attempt go out, in any order, or be known to the system only since:
// so each owner is read once more, and what then comes of its departure ends the attempt before its first byte.
func (s *Server) begin() {
	all := s.starts
	s.starts = nil
	for _, o := range all {
		if oc := s.owners[o.Client()]; oc != nil {
			oc.lc.ReadNow()
			if oc.lc.Paused() && !oc.lc.Closed() { // lines of it wait for their turn; a cancel may be among them
				s.start(o)
				continue
			}
		}
		if o.Pending() {
			s.link(o.Node).send(o)
		}
	}
}

// keep is what is done at regular times.
func (s *Server) keep() {
	s.sweepOwners()
	for _, k := range s.links {
		k.keep()
	}
	s.reconnect()
	s.pump()
	s.l.After(housekeeping, s.keep)
}

// report writes what was counted to the log.
func (s *Server) report() {
	c := &s.c.Counts
	s.log.Info().Int("owners", len(s.owners)).Int("node_conns", s.nodeConns).Int("links", len(s.links)).Int("open", s.c.OpenRequests()).
		Int("standing", s.c.RunningTasks()).Uint64("bulletin", s.c.LastDiscoveryEvent()).Interface("core", c).Interface("sockets", &s.stats).Msg("counts")
	if !s.stopping {
		s.l.After(reportEvery, s.report)
	}
}

// trace logs one message at level trace.
func (s *Server) trace(what string, conn uint64, peer string, m *platformproto.Message) {
	if s.log.GetLevel() > zerolog.TraceLevel {
		return
	}
	e := s.log.Trace().Str("kind", m.Kind.String()).Str("uid", m.UID).Uint64("conn", conn).Str("peer", peer)
	if m.HasReason {
		e.Int("reason", m.Reason)
	}
	for f := platformproto.Class; f <= platformproto.Load; f++ {
		if m.Has(f) {
			e.Str(f.String(), m.Get(f))
		}
	}
	e.Msg(what)
}

// later has a connection's unread lines looked at in the next turn: one that sends much does not keep the others waiting.
func (s *Server) later(lc *eventloop.Conn) {
	lc.PauseRead(true)
	s.resume = append(s.resume, lc)
	if len(s.resume) == 1 {
		s.l.After(0, func() {
			all := s.resume
			s.resume = nil
			for _, lc := range all {
				lc.PauseRead(false)
			}
		})
	}
}

// lines calls f for each whole line of b, at most linesPerTurn beside those that f takes for free, and returns how many bytes were taken. The
// error is that of f, or jsonl.ErrTooLong for a line without an end.
func (s *Server) lines(lc *eventloop.Conn, b []byte, f func(line []byte) (free bool, err error)) (int, error) {
	n := 0
	for taken := 0; taken < linesPerTurn; {
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			if len(b)-n >= platformproto.MaxLine {
				return n, platformproto.ErrTooLong
			}
			return n, nil
		}
		free, err := f(b[n : n+i])
		if err != nil {
			return n, err
		}
		n += i + 1
		if lc.Closed() {
			return n, nil
		}
		if !free {
			taken++
		}
	}
	if n < len(b) {
		s.later(lc)
	}
	return n, nil
}

// complaints bounds how often bad input is logged.
type complaints struct {
	since float64
	n     int
}

func (s *Server) warn(what, peer string, err error) {
	if now := s.l.Now(); now > s.complain.since+1 {
		s.complain = complaints{since: now}
	}
	if s.complain.n++; s.complain.n <= warnings {
		s.log.Warn().Str("peer", peer).Err(err).Msg(what)
	}
}
