//go:build linux

// Package server runs one scheduler on the shared platform. It accepts clients, connects to nodes and watches
// the platform's discovery server, all on one event loop.
//
// The package manages connections and transfers messages. It parses messages, passes them to a dispatch.Core
// and carries out the effects that the core returns; it makes no placement decisions. While the event loop
// runs, all methods of Server must be called on its goroutine, so the package needs no locks. File
// core_clock.go converts between the time formats of the event loop and the dispatch core.
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

// housekeepingInterval is the time between two housekeeping passes over all connections.
const housekeepingInterval = 100 * time.Millisecond

// defaultOpenFileLimit, minOpenFileLimit and reservedDescriptors determine how many file descriptors
// connections may use.
const (
	defaultOpenFileLimit = 4096 // defaultOpenFileLimit applies if the configuration sets no limit.
	minOpenFileLimit     = 64   // minOpenFileLimit is the smallest limit that a configuration may set.
	reservedDescriptors  = 16   // reservedDescriptors are kept free for files, the event loop and the discovery watch.
)

// seedStream is the second half of the seed of the server's random numbers. It separates them from other
// random numbers that use the seed of the configuration.
const seedStream = 0x6a09e667f3bcc908

// Server is one scheduler on the shared platform.
type Server struct {
	loop   *eventloop.Loop
	core   *dispatch.Core
	config *Config
	// rng is seeded from the configuration, so that schedulers that start at the same time do not retry in
	// lockstep.
	rng            *rand.Rand
	log            zerolog.Logger
	warningLimiter warningLimiter
	stats          Stats

	coreTimer    *eventloop.Timer // coreTimer runs the next timer of the dispatch core; it is nil if there is none.
	coreTimerDue placer.Seconds   // coreTimerDue is the time of coreTimer as the dispatch core represents it.

	listener      *eventloop.Listener
	clients       *clientTable
	nodes         *nodeLinks
	discovery     *discoveryWatch
	reader        lineReader
	attemptSender attemptSender
	shutdown      shutdown
}

// New returns a server that accepts clients and runs on the given event loop. When a graceful stop has
// completed, the server calls onStopped on the event loop. New returns an error if the configuration cannot
// be used or the server cannot listen on its address.
func New(loop *eventloop.Loop, config *Config, policy eventqueue.Placer, log zerolog.Logger, onStopped func()) (*Server, error) {
	core, err := dispatch.New(loop.Now().UnixSeconds(), config.Settings, policy, config.InitialEvents)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	openFileLimit := config.OpenFileLimit
	if openFileLimit == 0 {
		openFileLimit = defaultOpenFileLimit
	}
	// Nodes get half of the connections. Clients that have sent a valid message use at most a third of all
	// connections. The rest of the clients' half is for connections that have not sent a valid message.
	maxNodeConns := (openFileLimit - reservedDescriptors) / 2
	s := &Server{
		loop:   loop,
		core:   core,
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, seedStream)),
		log:    log,
		reader: lineReader{loop: loop},
	}
	s.clients = newClientTable(s, openFileLimit-reservedDescriptors-maxNodeConns)
	s.nodes = newNodeLinks(s, maxNodeConns, config.maxIdle())
	s.attemptSender.server = s
	s.shutdown = shutdown{server: s, onStopped: onStopped}
	loop.SetMaxConns(s.clients.maxConns)
	if s.listener, err = loop.Listen(config.Listen, s.clients.accept); err != nil {
		return nil, err
	}
	s.discovery = newDiscoveryWatch(s, config.Discovery)
	s.discovery.open()
	s.applyReadyEffects()
	log.Trace().Str("settings", fmt.Sprintf("%+v", *config.Settings)).RawJSON("known", config.InitialEvents).Msg("configuration")
	loop.After(housekeepingInterval, s.housekeep)
	loop.After(statsInterval, s.logStats)
	return s, nil
}

// Addr returns the address on which the server accepts clients.
func (s *Server) Addr() string { return s.listener.Addr() }

// Reload applies the discovery address of a new configuration and ignores its other fields.
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

// applyReadyEffects carries out all effects that the dispatch core returns and then resets the timer of the
// core. It must be called after each call that notifies the core of an event.
func (s *Server) applyReadyEffects() {
	for effects := s.core.Ready(); len(effects) > 0; effects = s.core.Ready() {
		for i := range effects {
			s.applyEffect(&effects[i])
		}
	}
	s.resetCoreTimer()
}

// applyEffect carries out one effect of the dispatch core.
func (s *Server) applyEffect(effect *dispatch.Effect) {
	switch effect.Kind {
	case dispatch.SendToClient:
		s.clients.send(effect.Conn, &effect.Message)
	case dispatch.SendAttempt:
		s.attemptSender.schedule(effect.Attempt)
	case dispatch.SendToNode:
		s.nodes.linkTo(effect.Attempt.Node).sendMessage(effect)
	case dispatch.ConnectNode:
		s.nodes.linkTo(effect.Attempt.Node)
	case dispatch.NodesChanged:
		s.nodes.updateAddresses()
	}
}

// housekeep closes connections that are no longer needed, dials the nodes that need a connection and
// schedules the next pass.
func (s *Server) housekeep() {
	s.clients.closeIdle()
	s.nodes.maintain()
	s.applyReadyEffects()
	s.loop.After(housekeepingInterval, s.housekeep)
}
