//go:build linux

// Package server runs one scheduler on the shared platform. The shared platform is an environment that starts
// and stops schedulers. Its clients and nodes use the protocol of package protocol instead of the Kubernetes
// API. The server accepts the connections of clients, connects to nodes and watches the discovery server of
// the platform, all on one event loop.
//
// The package manages connections and transfers messages. It makes no placement decisions: it parses messages
// and passes them to the dispatch core, which is a dispatch.Core from package dispatch. The core returns
// effects: each effect is an action that the server must carry out, such as sending a message. While the event
// loop runs, all methods of Server must be called on its goroutine, so the package needs no locks. The file
// core_clock.go converts between the time format of the event loop and that of the dispatch core.
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

// housekeepingInterval is the time between two calls of Server.housekeep, each of which checks all client and
// node connections.
const housekeepingInterval = 100 * time.Millisecond

// defaultOpenFileLimit, minOpenFileLimit and reservedDescriptors determine how many file descriptors client
// and node connections may use.
const (
	defaultOpenFileLimit = 4096 // defaultOpenFileLimit is the limit on file descriptors if the configuration sets none.
	minOpenFileLimit     = 64   // minOpenFileLimit is the smallest limit on file descriptors that a configuration may set.
	reservedDescriptors  = 16   // reservedDescriptors is the number of file descriptors for files, the event loop and the discovery watch.
)

// seedStream is the second half of the seed of the server's random numbers; the first half is Config.Seed. It
// makes these numbers independent of other random numbers that use the same Config.Seed.
const seedStream = 0x6a09e667f3bcc908

// Server is a scheduler whose clients and nodes use the protocol of package protocol.
type Server struct {
	loop   *eventloop.Loop
	core   *dispatch.Core
	config *Config
	// rng generates the random part of retry delays. Each scheduler has its own seed in its configuration, so
	// schedulers that start at the same time do not retry at the same times.
	rng            *rand.Rand
	log            zerolog.Logger
	warningLimiter warningLimiter
	stats          Stats

	coreTimer    *eventloop.Timer // coreTimer expires when the next timer of the dispatch core is due. It is nil if the core has none.
	coreTimerDue placer.Seconds   // coreTimerDue is when coreTimer expires, in the time format of the dispatch core.

	listener      *eventloop.Listener
	clients       *clientTable
	nodes         *nodeLinks
	discovery     *discoveryWatch
	reader        lineReader
	attemptSender attemptSender
	shutdown      shutdown
}

// New returns a server that accepts client connections and runs on the given event loop. When a graceful
// shutdown has completed, the server calls onStopped on the event loop. New returns an error if the
// configuration cannot be used or if the server cannot listen on the configured address.
func New(loop *eventloop.Loop, config *Config, policy eventqueue.Placer, log zerolog.Logger, onStopped func()) (*Server, error) {
	core, err := dispatch.New(loop.Now().UnixSeconds(), config.Settings, policy, config.InitialEvents)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	core.SetLimits(dispatch.NewLimits(config.MemoryLimit))
	openFileLimit := config.OpenFileLimit
	if openFileLimit == 0 {
		openFileLimit = defaultOpenFileLimit
	}
	// Half of the connection slots are for node connections and half are for client connections. Client
	// connections on which a valid message has arrived use at most a third of all slots. The remaining client
	// slots are for client connections on which no valid message has arrived yet.
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

// Addr returns the address on which the server accepts client connections.
func (s *Server) Addr() string { return s.listener.Addr() }

// Reload makes the server watch the discovery server that a new configuration names. It ignores all other
// fields of the new configuration.
func (s *Server) Reload(newConfig *Config) {
	if newConfig.Discovery == s.discovery.addr {
		return
	}
	s.log.Info().
		Str("discovery", newConfig.Discovery).
		Uint64("last_event", s.core.LastDiscoveryEvent()).
		Msg("discovery server changed")
	s.discovery.moveTo(newConfig.Discovery)
}

// applyReadyEffects carries out all effects that the dispatch core returns; an effect is an action such as
// sending a message. It then sets coreTimer to the core's next timer. It must be called after each call that
// notifies the core of an event.
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
	case dispatch.StopLostTask:
		s.nodes.linkTo(effect.Attempt.Node).stopLostTask(effect)
	case dispatch.StopTask, dispatch.CheckNode:
		s.nodes.linkTo(effect.Attempt.Node).sendCheck(effect)
	case dispatch.ConnectNode:
		s.nodes.linkTo(effect.Attempt.Node)
	case dispatch.NodesChanged:
		s.nodes.updateAddresses()
	}
}

// housekeep closes client and node connections that are no longer needed, dials the nodes that need a
// connection and schedules its next call.
func (s *Server) housekeep() {
	s.clients.closeIdle()
	s.nodes.maintain()
	s.applyReadyEffects()
	s.loop.After(housekeepingInterval, s.housekeep)
}
