//go:build linux

// Package server runs one scheduler on the shared platform: it accepts clients, connects to nodes and follows the platform's discovery
// stream, all on one event loop.
//
// The package moves bytes and keeps connections. It parses what arrives, hands it to a dispatch.Core and carries out the effects that the
// core returns; it makes no placement decisions. Everything but New runs on the loop's goroutine, so nothing is locked. The
// core's clock and its conversion stand in core_clock.go.
package server

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"heathshed/internal/control/eventqueue"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/platform/dispatch"
	"heathshed/placer"
)

// housekeepingInterval is the time between two passes over all connections.
const housekeepingInterval = 100 * time.Millisecond

// Limits on file descriptors.
const (
	defaultSockets  = 4096 // where the configuration sets no limit
	minSockets      = 64
	reservedSockets = 16 // for files, the loop itself and the discovery watch
)

// seedStream separates the server's random numbers from others that are drawn from the configuration's seed.
const seedStream = 0x6a09e667f3bcc908

// Server is one scheduler.
type Server struct {
	loop     *eventloop.Loop
	core     *dispatch.Core
	config   *Config
	rng      *rand.Rand // seeded by the configuration, so that schedulers started together do not retry in step
	log      zerolog.Logger
	warnings warningLimit
	stats    Stats

	coreTimer    *eventloop.Timer // runs the core when its next timer is due; nil if none is set
	coreTimerDue placer.Seconds   // on the clock of the core

	listener  *eventloop.Listener
	clients   *clientTable
	nodes     *nodeLinks
	discovery *discoveryWatch
	reader    lineReader
	attempts  attemptSender
	shutdown  shutdown
}

// New returns a server that listens and runs on the loop. Once Stop has completed it calls onStopped on the loop. An error says that the
// configuration cannot be used or that its address cannot be listened on.
func New(loop *eventloop.Loop, config *Config, policy eventqueue.Placer, log zerolog.Logger, onStopped func()) (*Server, error) {
	core, err := dispatch.New(loop.Now().UnixSeconds(), config.Settings, policy, config.InitialEvents)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	sockets := config.MaxOpenFiles
	if sockets == 0 {
		sockets = defaultSockets
	}
	maxNodeConns := (sockets - reservedSockets) / 2 // clients use a third at most; the rest of their half is for unidentified ones
	s := &Server{
		loop:   loop,
		core:   core,
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, seedStream)),
		log:    log,
		reader: lineReader{loop: loop},
	}
	s.clients = newClientTable(s, sockets-reservedSockets-maxNodeConns)
	s.nodes = newNodeLinks(s, maxNodeConns, config.maxIdle())
	s.attempts.server = s
	s.shutdown = shutdown{server: s, onStopped: onStopped}
	loop.SetMaxConns(s.clients.maxConns)
	if s.listener, err = loop.Listen(config.Listen, s.clients.accept); err != nil {
		return nil, err
	}
	s.discovery = newDiscoveryWatch(s, config.Discovery)
	s.discovery.open()
	s.processReady()
	log.Trace().Str("settings", fmt.Sprintf("%+v", *config.Settings)).RawJSON("known", config.InitialEvents).Msg("configuration")
	loop.After(housekeepingInterval, s.housekeep)
	loop.After(statsInterval, s.logStats)
	return s, nil
}

// Addr returns the address that clients connect to.
func (s *Server) Addr() string { return s.listener.Addr() }

// Reload takes over the discovery address of a new configuration. Its other fields are ignored.
func (s *Server) Reload(next *Config) {
	if next.Discovery == s.discovery.addr {
		return
	}
	s.log.Info().
		Str("discovery", next.Discovery).
		Uint64("last_event", s.core.LastDiscoveryEvent()).
		Msg("discovery server changed")
	s.discovery.moveTo(next.Discovery)
}

// processReady carries out the effects that the core has ready, then sets the loop's timer to the core's next one. It follows each call
// that notifies the core of an event.
func (s *Server) processReady() {
	for effects := s.core.Ready(); len(effects) > 0; effects = s.core.Ready() {
		for i := range effects {
			s.applyEffect(&effects[i])
		}
	}
	s.scheduleCore()
}

// applyEffect carries out one effect of the core.
func (s *Server) applyEffect(effect *dispatch.Effect) {
	switch effect.Kind {
	case dispatch.SendToClient:
		s.clients.send(effect.Conn, &effect.Message)
	case dispatch.SendAttempt:
		s.attempts.schedule(effect.Attempt)
	case dispatch.SendToNode:
		s.nodes.linkTo(effect.Attempt.Node).sendMessage(effect)
	case dispatch.ConnectNode:
		s.nodes.linkTo(effect.Attempt.Node)
	case dispatch.NodesChanged:
		s.nodes.updateAddresses()
	}
}

// housekeep closes connections that are of no further use and dials the nodes that need one, then schedules the next pass.
func (s *Server) housekeep() {
	s.clients.closeIdle()
	s.nodes.maintain()
	s.processReady()
	s.loop.After(housekeepingInterval, s.housekeep)
}
