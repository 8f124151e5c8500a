//go:build linux

// Package scheduler connects a scheduling engine to the network. It serves the Kubernetes-style API to
// clients, watches the inventory and the nodes, and sends requests to the nodes. It translates between HTTP
// and the engine's calls and effects. The engine makes all scheduling decisions.
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
	streamPullInterval = time.Second // maximum interval between pulls, which send bookmarks and check timeouts

	inventoryListTimeout = 10 * time.Second

	// Bounds of the backoff before a failed list or watch of the inventory is retried.
	inventoryMinBackoff = 100 * time.Millisecond
	inventoryMaxBackoff = 2 * time.Second

	// rngStream selects the random sequence of this package. The engine uses other sequences of the same
	// seed.
	rngStream = 0x736f636b
)

// Options configures a Scheduler.
type Options struct {
	Engine           engine.Config
	ListenAddress    string // host:port on which the API is served
	InventoryAddress string // host:port of the inventory
	Version          string // version that the API reports
	HTTP             httpd.Options
	ConnectTimeout   time.Duration // timeout for opening a connection to a node
	WatchIdleTimeout time.Duration // time without data after which a watch is retried; 0 means no limit
	NodeSyncTimeout  time.Duration // time after the start to wait until nodes have listed their tasks
	DefaultListLimit int           // maximum number of objects on a page of a list if the request has no limit
	Log              zerolog.Logger
}

// Scheduler is a running scheduler. Its methods must be called on the goroutine of the event loop.
type Scheduler struct {
	options    Options
	loop       *eventloop.Loop
	engine     *engine.Engine
	apiServer  *api.Server
	httpServer *httpd.Server
	metrics    *metrics
	rng        *rand.Rand

	phase     phase
	startedAt clock.Instant

	inventoryReflector *reflector.Reflector
	inventoryReachable bool
	nodes              map[string]*nodeClient
	attemptCalls       map[attemptKey]*httpc.Call // attempts that wait for a response

	effects           []engine.Effect // buffer that processEffects reuses
	processingEffects bool
	wakeTimer         *eventloop.Timer // runs Engine.Tick at the time that Engine.NextWake returned
	publishedRevision int64            // revision of the store up to which changes were sent to watches
	publishScheduled  bool
}

// attemptKey identifies an attempt: the UID of the task's Pod and the number of the attempt within the task.
type attemptKey struct {
	uid     types.UID
	attempt int
}

// New starts a scheduler on an event loop. The scheduler listens for API connections and starts to list the
// inventory.
func New(loop *eventloop.Loop, options Options) (*Scheduler, error) {
	eng, err := engine.New(options.Engine)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		options:      options,
		loop:         loop,
		engine:       eng,
		startedAt:    loop.Now(),
		nodes:        map[string]*nodeClient{},
		attemptCalls: map[attemptKey]*httpc.Call{},
		rng:          rand.New(rand.NewPCG(options.Engine.Seed, rngStream)),
	}
	s.apiServer = &api.Server{
		Store:            eng.Store(),
		Engine:           eng,
		Version:          options.Version,
		Ready:            s.readinessError,
		DefaultListLimit: options.DefaultListLimit,
	}
	s.metrics = newMetrics(s)
	s.apiServer.Metrics = s.metrics.exposition
	if s.httpServer, err = httpd.Listen(loop, options.ListenAddress, options.HTTP, s.serveRequest); err != nil {
		return nil, err
	}
	s.inventoryReflector = s.newInventoryReflector()
	s.inventoryReflector.Start()
	loop.After(streamPullInterval, s.pullStreamsPeriodically)
	s.processEffects()
	return s, nil
}

// newInventoryReflector returns a reflector that lists and watches the nodes of the inventory.
func (s *Scheduler) newInventoryReflector() *reflector.Reflector {
	return &reflector.Reflector{
		Loop:             s.loop,
		Client:           httpc.New(s.loop, s.options.InventoryAddress),
		Path:             "/api/v1/nodes",
		Rand:             s.rng,
		MinBackoff:       inventoryMinBackoff,
		MaxBackoff:       inventoryMaxBackoff,
		ListTimeout:      inventoryListTimeout,
		WatchIdleTimeout: s.options.WatchIdleTimeout,
		OnList:           s.handleNodeList,
		OnEvent:          s.handleNodeEvent,
		OnError:          s.handleInventoryError,
	}
}

// Addr returns the address on which the API is served.
func (s *Scheduler) Addr() string { return s.httpServer.Addr() }

// Engine returns the scheduling engine. It may be read on the event loop only.
func (s *Scheduler) Engine() *engine.Engine { return s.engine }

// Revision returns the revision of the last change in the store.
func (s *Scheduler) Revision() int64 { return s.engine.Store().Revision() }

// ObjectCount returns the number of stored objects of a resource.
func (s *Scheduler) ObjectCount(resource store.Resource) int { return s.engine.Store().Len(resource) }

// serveRequest responds to an API request, and counts and logs it.
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

// processEffects executes the pending effects of the engine, schedules the engine's next Tick, and
// schedules that changes are sent to watches. It must be called after each call of the engine that may have
// effects.
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

// executeEffect carries out one effect of the engine.
func (s *Scheduler) executeEffect(effect *engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.sendAttempt(effect)
	case engine.AbandonAttempt:
		if call := s.attemptCalls[attemptKey{effect.UID, effect.Attempt}]; call != nil {
			call.Cancel()
		}
	case engine.StopTask:
		s.stopTask(effect)
	case engine.WatchNode:
		s.watchNode(effect.Node, effect.Address)
	case engine.UnwatchNode:
		s.unwatchNode(effect.Node)
	case engine.RelistNodes:
		s.inventoryReflector.Relist()
	}
}

// schedulePublish schedules that new changes are sent to watches. The delay batches changes if there are
// many watches.
func (s *Scheduler) schedulePublish() {
	if s.engine.Store().Revision() == s.publishedRevision || s.publishScheduled {
		return
	}
	s.publishScheduled = true
	s.loop.After(s.publishDelay(), func() {
		s.publishScheduled = false
		s.publishedRevision = s.engine.Store().Revision()
		s.pullStreams()
	})
}

// pullStreams sends pending data, such as watch events, on all streaming responses.
func (s *Scheduler) pullStreams() {
	s.apiServer.SetTime(s.engineNow())
	s.httpServer.PullStreams()
}

// pullStreamsPeriodically calls pullStreams now and after each streamPullInterval.
func (s *Scheduler) pullStreamsPeriodically() {
	s.pullStreams()
	s.loop.After(streamPullInterval, s.pullStreamsPeriodically)
}
