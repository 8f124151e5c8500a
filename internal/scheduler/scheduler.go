//go:build linux

// Package scheduler puts an engine on sockets: the API in front, machines and the inventory behind. It translates between
// HTTP and the engine's calls and effects, and decides nothing.
package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/url"
	"strconv"

	"github.com/rs/zerolog"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/api"
	"heathshed/internal/engine"
	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
	"heathshed/internal/httpc"
	"heathshed/internal/httpd"
	"heathshed/internal/reflector"
	"heathshed/internal/retry"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// Options are what a scheduler is run with.
type Options struct {
	Engine                  engine.Config
	ListenAddress           string // address of the API
	InventoryAddress        string // address of the inventory
	Version                 string
	HTTP                    httpd.Options
	ConnectTimeoutSeconds   float64 // seconds to connect to a machine
	WatchIdleTimeoutSeconds float64 // seconds after which a watch that brings nothing is checked by a new one; 0 never
	NodeSyncTimeoutSeconds  float64 // seconds that the machines found at the start have to show what they hold
	MaxListItems            int
	Log                     zerolog.Logger
}

// Scheduler is one running scheduler. All its methods are for the loop's goroutine.
type Scheduler struct {
	options            Options
	loop               *eventloop.Loop
	engine             *engine.Engine
	apiServer          *api.Server
	httpServer         *httpd.Server
	random             *rand.Rand
	inventory          *reflector.Reflector
	inventoryReachable bool
	startedAt          float64
	ready              bool
	inventoryListed    bool

	nodes             map[string]*nodeClient
	calls             map[attemptKey]*httpc.Call
	timer             *eventloop.Timer
	effects           []engine.Effect
	processingEffects bool
	publishedRevision int64
	publishScheduled  bool
	stopping          bool
	metrics           *metrics
}

type attemptKey struct {
	uid     types.UID
	attempt int
}

// nodeClient is the connections to one machine.
type nodeClient struct {
	name   string
	client *httpc.Client
	pods   *reflector.Reflector
}

// New starts a scheduler on a loop: it listens and begins to follow the inventory.
func New(loop *eventloop.Loop, options Options) (*Scheduler, error) {
	core, err := engine.New(options.Engine)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{options: options, loop: loop, engine: core, startedAt: loop.Now(), nodes: map[string]*nodeClient{}, calls: map[attemptKey]*httpc.Call{},
		random: rand.New(rand.NewPCG(options.Engine.Seed, 0x736f636b))}
	s.apiServer = &api.Server{Store: core.Store(), Engine: core, Version: options.Version, Ready: s.readinessError, DefaultListLimit: options.MaxListItems}
	s.metrics = newMetrics(s)
	s.apiServer.Metrics = s.metrics.exposition
	if s.httpServer, err = httpd.Listen(loop, options.ListenAddress, options.HTTP, s.serveRequest); err != nil {
		return nil, err
	}
	s.inventory = &reflector.Reflector{Loop: loop, Client: httpc.New(loop, options.InventoryAddress), Path: "/api/v1/nodes", Rand: s.random,
		Retry: retry.Backoff{Min: 0.1, Max: 2}, ListTimeoutSeconds: 10, WatchIdleTimeoutSeconds: options.WatchIdleTimeoutSeconds,
		OnList: s.handleNodeList, OnEvent: s.handleNodeEvent, OnError: s.handleInventoryError}
	s.inventory.Start()
	var tick func()
	tick = func() {
		s.apiServer.SetTime(loop.Now())
		s.httpServer.PullStreams()
		loop.After(1, tick)
	}
	loop.After(1, tick)
	s.processEffects()
	return s, nil
}

// Addr is where the API listens.
func (s *Scheduler) Addr() string { return s.httpServer.Addr() }

// Engine is the engine, to be read on the loop.
func (s *Scheduler) Engine() *engine.Engine { return s.engine }

// readinessError says why no tasks are taken yet: a scheduler that begins must first hear what the machines hold, or it might start
// what runs already.
func (s *Scheduler) readinessError() error {
	switch {
	case s.stopping:
		return errors.New("the scheduler stops")
	case s.ready:
		return nil
	case !s.inventoryListed:
		return errors.New("the inventory has not been heard of")
	}
	listed, heard := s.engine.NodeCounts()
	if listed == 0 {
		return errors.New("the inventory lists no machine that is ready")
	}
	if heard < listed && s.loop.Now()-s.startedAt < s.options.NodeSyncTimeoutSeconds {
		return fmt.Errorf("%d of %d machines have shown what they hold", heard, listed)
	}
	s.ready = true
	return nil
}

func (s *Scheduler) serveRequest(exchange *httpd.Exchange) {
	resp := s.apiServer.Serve(s.loop.Now(), &exchange.Request)
	s.metrics.countRequest(exchange.Head.Method, resp.Status)
	if s.options.Log.GetLevel() <= zerolog.DebugLevel {
		s.options.Log.Debug().Str("peer", exchange.Peer).Str("method", exchange.Head.Method).Str("target", exchange.Head.Target).Int("status", resp.Status).
			Msg("request")
	}
	exchange.Respond(resp)
	s.processEffects()
}

// processEffects carries out what the engine wants, sets its next wake-up and tells watchers of changes.
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
	s.timer.Stop()
	if at := s.engine.NextWake(); !math.IsInf(at, 1) {
		s.timer = s.loop.At(at, func() {
			s.engine.Tick(s.loop.Now())
			s.processEffects()
		})
	}
	if s.engine.Store().Rev() != s.publishedRevision && !s.publishScheduled {
		s.publishScheduled = true
		s.loop.After(api.WatchBatchDelay(s.httpServer.Streams()), func() {
			s.publishScheduled = false
			s.publishedRevision = s.engine.Store().Rev()
			s.apiServer.SetTime(s.loop.Now())
			s.httpServer.PullStreams()
		})
	}
}

func (s *Scheduler) executeEffect(effect *engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.sendAttempt(effect)
	case engine.AbandonAttempt:
		if c := s.calls[attemptKey{effect.UID, effect.Attempt}]; c != nil {
			c.Cancel()
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

func (s *Scheduler) watchNode(name, address string) {
	s.unwatchNode(name)
	node := &nodeClient{name: name, client: httpc.New(s.loop, address)}
	node.client.ConnectTimeoutSeconds = s.options.ConnectTimeoutSeconds
	s.nodes[name] = node
	node.pods = &reflector.Reflector{Loop: s.loop, Client: node.client, Path: "/api/v1/pods", Rand: s.random,
		Labels: wellknown.Scheduler + "=" + s.options.Engine.Name, Retry: retry.Backoff{Min: 0.1, Max: 1}, ListTimeoutSeconds: 5, WatchIdleTimeoutSeconds: s.options.WatchIdleTimeoutSeconds}
	node.pods.OnList = func(head *http1.Head, rev string, items []reflector.Object) {
		v, _ := strconv.ParseInt(rev, 10, 64)
		pods := make([]*corev1.Pod, 0, len(items))
		for _, it := range items {
			p := &corev1.Pod{}
			if err := it.Decode(p); err != nil {
				s.options.Log.Warn().Str("machine", name).Err(err).Msg("pod in list cannot be read")
				continue
			}
			pods = append(pods, p)
		}
		s.engine.NodePods(s.loop.Now(), name, head.Header.Get(wellknown.IncarnationHeader), v, pods)
		s.processEffects()
	}
	node.pods.OnEvent = func(kind string, o reflector.Object) {
		p := &corev1.Pod{}
		if err := o.Decode(p); err != nil {
			s.options.Log.Warn().Str("machine", name).Err(err).Msg("pod event cannot be read")
			return
		}
		s.engine.NodePod(s.loop.Now(), name, p, kind == "DELETED")
		s.processEffects()
	}
	node.pods.OnError = func(err error) {
		s.options.Log.Debug().Str("machine", name).Err(err).Msg("machine out of reach")
		s.engine.NodeUnresponsive(s.loop.Now(), name)
		s.processEffects()
	}
	node.pods.Start()
}

func (s *Scheduler) unwatchNode(name string) {
	if node := s.nodes[name]; node != nil {
		delete(s.nodes, name)
		node.pods.Stop()
		node.client.Close()
	}
}

// podPath is the path of a Pod, or of the Pods of a namespace.
func podPath(namespace, name string) string {
	p := "/api/v1/namespaces/" + url.PathEscape(namespace) + "/pods"
	if name != "" {
		p += "/" + url.PathEscape(name)
	}
	return p
}

func (s *Scheduler) sendAttempt(effect *engine.Effect) {
	answer := engine.AttemptAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node}
	node := s.nodes[effect.Node]
	body, err := json.Marshal(effect.Pod)
	if node == nil || err != nil {
		answer.Result = placer.Unreachable
		s.loop.After(0, func() { s.engine.AttemptDone(s.loop.Now(), answer); s.processEffects() })
		return
	}
	key := attemptKey{effect.UID, effect.Attempt}
	call := &httpc.Call{AvoidUnknownOutcome: effect.AvoidUnknownOutcome, Done: func(head *http1.Head, body []byte, err error) {
		delete(s.calls, key)
		decodeAttemptAnswer(&answer, head, body, err)
		s.engine.AttemptDone(s.loop.Now(), answer)
		s.processEffects()
	}}
	s.calls[key] = call
	node.client.Do("POST", podPath(effect.Namespace, ""), []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: wellknown.AttemptHeader, Value: strconv.Itoa(effect.Attempt)}}, body, 0, call)
}

// decodeAttemptAnswer translates a machine's answer to an offer.
func decodeAttemptAnswer(answer *engine.AttemptAnswer, head *http1.Head, body []byte, err error) {
	var connectError *httpc.ConnectError
	switch {
	case errors.As(err, &connectError):
		answer.Result = placer.Unreachable
		return
	case err != nil:
		answer.Result = placer.Lost
		return
	}
	answer.Incarnation = head.Header.Get(wellknown.IncarnationHeader)
	if d, err := wellknown.ParseDict(head.Header.Get(wellknown.LoadHeader)); err == nil && len(d) > 0 {
		value := func(name string) float64 {
			if v, ok := d[name]; ok {
				return v
			}
			return math.NaN()
		}
		answer.Report = &placer.Report{FreeCores: value("free-cores"), FreeMemory: value("free-memory"), Utilization: value("busy"),
			QueueLength: value("queue")}
	}
	if head.Status/100 == 2 {
		var p corev1.Pod
		if err := json.Unmarshal(body, &p); err != nil || p.UID != answer.UID {
			answer.Result = placer.Errored
			return
		}
		if p.Status.Reason == wellknown.NeverStarted {
			answer.Result, answer.Reason = placer.Rejected, placer.WrongNode
			return
		}
		answer.Accepted, answer.Pod = true, &p
		answer.Revision, _ = strconv.ParseInt(p.ResourceVersion, 10, 64)
		return
	}
	var status metav1.Status
	json.Unmarshal(body, &status)
	answer.Message = status.Message
	switch string(status.Reason) {
	case wellknown.OutOfCPU:
		answer.Result, answer.Reason = placer.Rejected, placer.InsufficientCores
	case wellknown.OutOfMemory:
		answer.Result, answer.Reason = placer.Rejected, placer.InsufficientMemory
	case wellknown.QueueFull:
		answer.Result, answer.Reason = placer.Rejected, placer.QueueFull
	case wellknown.WrongNode:
		answer.Result, answer.Reason = placer.Rejected, placer.WrongNode
	default:
		answer.Result = placer.Errored
	}
}

func (s *Scheduler) stopTask(effect *engine.Effect) {
	answer := engine.StopAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node}
	node := s.nodes[effect.Node]
	if node == nil {
		s.loop.After(0, func() { s.engine.StopDone(s.loop.Now(), answer); s.processEffects() })
		return
	}
	name := effect.Name
	if name == "" {
		name = string(effect.UID)
	}
	namespace := effect.Namespace
	if namespace == "" {
		namespace = "default"
	}
	body, _ := json.Marshal(&metav1.DeleteOptions{TypeMeta: metav1.TypeMeta{Kind: "DeleteOptions", APIVersion: "v1"},
		Preconditions: &metav1.Preconditions{UID: &effect.UID}})
	node.client.Do("DELETE", podPath(namespace, name), []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: wellknown.AttemptHeader, Value: strconv.Itoa(effect.Attempt)}}, body, 5, &httpc.Call{
		Done: func(head *http1.Head, body []byte, err error) {
			if err == nil {
				answer.Incarnation = head.Header.Get(wellknown.IncarnationHeader)
			}
			switch {
			case err != nil:
			case head.Status == 404:
				answer.Answered = true
			case head.Status == 200:
				var p corev1.Pod
				if json.Unmarshal(body, &p) == nil && p.UID == answer.UID {
					answer.Answered, answer.HadTask = true, true
					answer.MayHaveRun = p.Status.Reason != wellknown.NeverStarted
				}
			}
			s.engine.StopDone(s.loop.Now(), answer)
			s.processEffects()
		}})
}

func (s *Scheduler) handleNodeList(_ *http1.Head, _ string, items []reflector.Object) {
	nodes := make([]*corev1.Node, 0, len(items))
	for _, it := range items {
		n := &corev1.Node{}
		if err := it.Decode(n); err != nil {
			s.options.Log.Warn().Err(err).Msg("machine in list cannot be read")
			continue
		}
		nodes = append(nodes, n)
	}
	if !s.inventoryReachable {
		s.inventoryReachable = true
		s.options.Log.Info().Int("machines", len(nodes)).Str("inventory", s.options.InventoryAddress).Msg("inventory heard")
	}
	s.inventoryListed = true
	s.engine.NodesListed(s.loop.Now(), engine.FullList, nodes, nil)
	s.processEffects()
}

func (s *Scheduler) handleNodeEvent(kind string, o reflector.Object) {
	n := &corev1.Node{}
	if err := o.Decode(n); err != nil {
		s.options.Log.Warn().Err(err).Msg("machine event cannot be read")
		return
	}
	if kind == "DELETED" {
		s.engine.NodesListed(s.loop.Now(), engine.Changes, nil, []string{n.Name})
	} else {
		s.engine.NodesListed(s.loop.Now(), engine.Changes, []*corev1.Node{n}, nil)
	}
	s.processEffects()
}

func (s *Scheduler) handleInventoryError(err error) {
	if s.inventoryReachable {
		s.inventoryReachable = false
		s.options.Log.Warn().Err(err).Msg("inventory out of reach")
	}
	s.engine.NodesListed(s.loop.Now(), engine.ListUnavailable, nil, nil)
	s.processEffects()
}

// Stop takes no new tasks, waits until every task that was taken has its final answer, at most so many seconds, ends watches
// and connections in order, and calls done.
func (s *Scheduler) Stop(timeoutSeconds float64, done func()) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.engine.Stop(s.loop.Now())
	s.processEffects()
	s.options.Log.Info().Int("open", s.engine.OpenTasks()).Msg("stopping: waiting for final answers")
	until := s.loop.Now() + timeoutSeconds
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	var wait func()
	wait = func() {
		if s.engine.OpenTasks() > 0 && s.loop.Now() < until {
			s.loop.After(0.02, wait)
			return
		}
		if n := s.engine.OpenTasks(); n > 0 {
			s.options.Log.Error().Int("open", n).Msg("stopped with tasks unanswered")
		}
		s.inventory.Stop()
		for name := range s.nodes {
			s.unwatchNode(name)
		}
		s.apiServer.CloseWatches()
		s.httpServer.PullStreams()
		s.httpServer.Drain(finish)
		s.loop.After(2, func() { s.httpServer.Close(); finish() })
	}
	wait()
}

// Revision is the revision of the last change, for those who look in from outside.
func (s *Scheduler) Revision() int64 { return s.engine.Store().Rev() }

// ObjectCount is the number of objects in a table.
func (s *Scheduler) ObjectCount(r store.Resource) int { return s.engine.Store().Len(r) }
