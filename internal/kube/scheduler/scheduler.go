//go:build linux

// Package scheduler runs an engine on sockets: the Kubernetes-style API in front of it, the inventory and the nodes behind
// it. It translates between HTTP and the engine's calls and effects, and makes no decisions of its own.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/api"
	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/reflector"
	"heathshed/internal/kube/store"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/httpc"
	"heathshed/internal/netio/httpd"
)

const (
	streamPullInterval = time.Second // at least so often streams are pulled, for their time-outs and bookmarks

	inventoryListTimeout = 10 * time.Second

	// Bounds of the backoff between attempts to reach the inventory.
	inventoryMinBackoff = 100 * time.Millisecond
	inventoryMaxBackoff = 2 * time.Second

	randomStream = 0x736f636b // of the seed; the engine draws from others
)

// Options are what a scheduler is run with.
type Options struct {
	Engine           engine.Config
	ListenAddress    string // of the API
	InventoryAddress string
	Version          string
	HTTP             httpd.Options
	ConnectTimeout   time.Duration // of connections to nodes
	WatchIdleTimeout time.Duration // after which a watch that brings nothing is replaced by a new one; 0 never
	NodeSyncTimeout  time.Duration // that the nodes found at the start have to list their tasks before others are accepted
	DefaultListLimit int           // of a page of a list whose request gives no limit
	Log              zerolog.Logger
}

// Scheduler is one running scheduler. All its methods are for the loop's goroutine.
type Scheduler struct {
	options    Options
	loop       *eventloop.Loop
	engine     *engine.Engine
	apiServer  *api.Server
	httpServer *httpd.Server
	metrics    *metrics
	random     *rand.Rand

	phase     phase
	startedAt clock.Instant

	inventory          *reflector.Reflector
	inventoryReachable bool
	nodes              map[string]*nodeClient
	calls              map[attemptKey]*httpc.Call // attempts in flight

	effects           []engine.Effect // reused
	processingEffects bool
	wakeTimer         *eventloop.Timer // for engine.NextWake
	publishedRevision int64            // of the store, that watchers have been sent
	publishScheduled  bool
}

type attemptKey struct {
	uid     types.UID
	attempt int
}

// New starts a scheduler on a loop: it listens and begins to follow the inventory.
func New(loop *eventloop.Loop, options Options) (*Scheduler, error) {
	core, err := engine.New(options.Engine)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		options:   options,
		loop:      loop,
		engine:    core,
		startedAt: loop.Now(),
		nodes:     map[string]*nodeClient{},
		calls:     map[attemptKey]*httpc.Call{},
		random:    rand.New(rand.NewPCG(options.Engine.Seed, randomStream)),
	}
	s.apiServer = &api.Server{
		Store:            core.Store(),
		Engine:           core,
		Version:          options.Version,
		Ready:            s.readinessError,
		DefaultListLimit: options.DefaultListLimit,
	}
	s.metrics = newMetrics(s)
	s.apiServer.Metrics = s.metrics.exposition
	if s.httpServer, err = httpd.Listen(loop, options.ListenAddress, options.HTTP, s.serveRequest); err != nil {
		return nil, err
	}
	s.inventory = s.newInventoryReflector()
	s.inventory.Start()
	loop.After(streamPullInterval, s.pullStreamsPeriodically)
	s.processEffects()
	return s, nil
}

func (s *Scheduler) newInventoryReflector() *reflector.Reflector {
	return &reflector.Reflector{
		Loop:             s.loop,
		Client:           httpc.New(s.loop, s.options.InventoryAddress),
		Path:             "/api/v1/nodes",
		Rand:             s.random,
		MinBackoff:       inventoryMinBackoff,
		MaxBackoff:       inventoryMaxBackoff,
		ListTimeout:      inventoryListTimeout,
		WatchIdleTimeout: s.options.WatchIdleTimeout,
		OnList:           s.handleNodeList,
		OnEvent:          s.handleNodeEvent,
		OnError:          s.handleInventoryError,
	}
}

// Addr is where the API listens.
func (s *Scheduler) Addr() string { return s.httpServer.Addr() }

// Engine is the engine, to be read on the loop.
func (s *Scheduler) Engine() *engine.Engine { return s.engine }

// Revision is the store's revision of the last change.
func (s *Scheduler) Revision() int64 { return s.engine.Store().Rev() }

// ObjectCount is the number of objects of a resource.
func (s *Scheduler) ObjectCount(resource store.Resource) int { return s.engine.Store().Len(resource) }

func (s *Scheduler) serveRequest(exchange *httpd.Exchange) {
	response := s.apiServer.Serve(s.engineNow(), &exchange.Request)
	s.metrics.countRequest(exchange.Head.Method, response.Status)
	if s.options.Log.GetLevel() <= zerolog.DebugLevel {
		s.options.Log.Debug().
			Str("peer", exchange.Peer).
			Str("method", exchange.Head.Method).
			Str("target", exchange.Head.Target).
			Int("status", response.Status).
			Msg("API request")
	}
	exchange.Respond(response)
	s.processEffects()
}

// processEffects executes what the engine wants done, sets its next wake-up and has changes sent to watchers. It is called
// after every call of the engine that may have effects.
func (s *Scheduler) processEffects() {
	if s.processingEffects {
		return
	}
	s.processingEffects = true
	for {
		s.effects = s.engine.Ready(s.effects[:0])
		if len(s.effects) == 0 {
			break
		}
		for i := range s.effects {
			s.executeEffect(&s.effects[i])
		}
	}
	s.processingEffects = false
	s.scheduleWake()
	s.schedulePublish()
}

func (s *Scheduler) executeEffect(effect *engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.sendAttempt(effect)
	case engine.AbandonAttempt:
		if call := s.calls[attemptKey{effect.UID, effect.Attempt}]; call != nil {
			call.Cancel()
		}
	case engine.StopTask:
		s.stopTask(effect)
	case engine.WatchNode:
		s.watchNode(effect.Node, effect.Address)
	case engine.UnwatchNode:
		s.unwatchNode(effect.Node)
	case engine.RelistNodes:
		s.inventory.Relist()
	}
}

// schedulePublish has watchers sent what has changed, after a delay that gathers changes when watchers are many.
func (s *Scheduler) schedulePublish() {
	if s.engine.Store().Rev() == s.publishedRevision || s.publishScheduled {
		return
	}
	s.publishScheduled = true
	s.loop.After(s.publishDelay(), func() {
		s.publishScheduled = false
		s.publishedRevision = s.engine.Store().Rev()
		s.pullStreams()
	})
}

func (s *Scheduler) pullStreams() {
	s.apiServer.SetTime(s.engineNow())
	s.httpServer.PullStreams()
}

func (s *Scheduler) pullStreamsPeriodically() {
	s.pullStreams()
	s.loop.After(streamPullInterval, s.pullStreamsPeriodically)
}
