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
	Engine        engine.Config
	Listen        string // address of the API
	Inventory     string // address of the inventory
	Version       string
	HTTP          httpd.Options
	ConnectWithin float64 // seconds to connect to a machine
	WatchQuiet    float64 // seconds after which a watch that brings nothing is checked by a new one; 0 never
	HeardWithin   float64 // seconds that the machines found at the start have to show what they hold
	MaxList       int
	Log           zerolog.Logger
}

// Scheduler is one running scheduler. All its methods are for the loop's goroutine.
type Scheduler struct {
	o      Options
	l      *eventloop.Loop
	e      *engine.Engine
	api    *api.Server
	http   *httpd.Server
	rng    *rand.Rand
	inv    *reflector.Reflector
	invUp  bool
	began  float64
	ready  bool
	listed bool

	machines map[string]*machine
	calls    map[callKey]*httpc.Call
	timer    *eventloop.Timer
	effects  []engine.Effect
	busy     bool
	shown    int64
	kicking  bool
	stopping bool
	met      *metrics
}

type callKey struct {
	uid     types.UID
	attempt int
}

// machine is the connections to one machine.
type machine struct {
	name   string
	client *httpc.Client
	pods   *reflector.Reflector
}

// New starts a scheduler on a loop: it listens and begins to follow the inventory.
func New(l *eventloop.Loop, o Options) (*Scheduler, error) {
	e, err := engine.New(o.Engine)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{o: o, l: l, e: e, began: l.Now(), machines: map[string]*machine{}, calls: map[callKey]*httpc.Call{},
		rng: rand.New(rand.NewPCG(o.Engine.Seed, 0x736f636b))}
	s.api = &api.Server{Store: e.Store(), Engine: e, Version: o.Version, Ready: s.readyErr, MaxList: o.MaxList}
	s.met = newMetrics(s)
	s.api.Metrics = s.met.text
	if s.http, err = httpd.Listen(l, o.Listen, o.HTTP, s.serve); err != nil {
		return nil, err
	}
	s.inv = &reflector.Reflector{Loop: l, Client: httpc.New(l, o.Inventory), Path: "/api/v1/nodes", Rand: s.rng,
		Retry: retry.Backoff{Min: 0.1, Max: 2}, ListWithin: 10, Quiet: o.WatchQuiet,
		Listed: s.nodesListed, Event: s.nodeEvent, Lost: s.inventoryLost}
	s.inv.Start()
	var tick func()
	tick = func() {
		s.api.Advance(l.Now())
		s.http.Kick()
		l.After(1, tick)
	}
	l.After(1, tick)
	s.after()
	return s, nil
}

// Addr is where the API listens.
func (s *Scheduler) Addr() string { return s.http.Addr() }

// Engine is the engine, to be read on the loop.
func (s *Scheduler) Engine() *engine.Engine { return s.e }

// readyErr says why no tasks are taken yet: a scheduler that begins must first hear what the machines hold, or it might start
// what runs already.
func (s *Scheduler) readyErr() error {
	switch {
	case s.stopping:
		return errors.New("the scheduler stops")
	case s.ready:
		return nil
	case !s.listed:
		return errors.New("the inventory has not been heard of")
	}
	listed, heard := s.e.NodeHeartbeat()
	if listed == 0 {
		return errors.New("the inventory lists no machine that is ready")
	}
	if heard < listed && s.l.Now()-s.began < s.o.HeardWithin {
		return fmt.Errorf("%d of %d machines have shown what they hold", heard, listed)
	}
	s.ready = true
	return nil
}

func (s *Scheduler) serve(x *httpd.Exchange) {
	resp := s.api.Serve(s.l.Now(), &x.Request)
	s.met.request(x.Head.Method, resp.Status)
	if s.o.Log.GetLevel() <= zerolog.DebugLevel {
		s.o.Log.Debug().Str("peer", x.Peer).Str("method", x.Head.Method).Str("target", x.Head.Target).Int("status", resp.Status).
			Msg("request")
	}
	x.Respond(resp)
	s.after()
}

// after carries out what the engine wants, sets its next wake-up and tells watchers of changes.
func (s *Scheduler) after() {
	if s.busy {
		return
	}
	s.busy = true
	for {
		s.effects = s.e.Ready(s.effects[:0])
		if len(s.effects) == 0 {
			break
		}
		for i := range s.effects {
			s.carryOut(&s.effects[i])
		}
	}
	s.busy = false
	s.timer.Stop()
	if at := s.e.NextWake(); !math.IsInf(at, 1) {
		s.timer = s.l.At(at, func() {
			s.e.Tick(s.l.Now())
			s.after()
		})
	}
	if s.e.Store().Rev() != s.shown && !s.kicking {
		s.kicking = true
		s.l.After(api.KickDelay(s.http.Streams()), func() {
			s.kicking = false
			s.shown = s.e.Store().Rev()
			s.api.Advance(s.l.Now())
			s.http.Kick()
		})
	}
}

func (s *Scheduler) carryOut(x *engine.Effect) {
	switch x.Kind {
	case engine.SendAttempt:
		s.sendOffer(x)
	case engine.AbandonAttempt:
		if c := s.calls[callKey{x.UID, x.Attempt}]; c != nil {
			c.Cancel()
		}
	case engine.StopTask:
		s.stopTask(x)
	case engine.WatchNode:
		s.follow(x.Node, x.Address)
	case engine.UnwatchNode:
		s.leave(x.Node)
	case engine.RelistNodes:
		s.inv.Relist()
	}
}

func (s *Scheduler) follow(name, address string) {
	s.leave(name)
	m := &machine{name: name, client: httpc.New(s.l, address)}
	m.client.ConnectWithin = s.o.ConnectWithin
	s.machines[name] = m
	m.pods = &reflector.Reflector{Loop: s.l, Client: m.client, Path: "/api/v1/pods", Rand: s.rng,
		Labels: wellknown.Scheduler + "=" + s.o.Engine.Name, Retry: retry.Backoff{Min: 0.1, Max: 1}, ListWithin: 5, Quiet: s.o.WatchQuiet}
	m.pods.Listed = func(h *http1.Head, rev string, items []reflector.Object) {
		v, _ := strconv.ParseInt(rev, 10, 64)
		pods := make([]*corev1.Pod, 0, len(items))
		for _, it := range items {
			p := &corev1.Pod{}
			if err := it.Decode(p); err != nil {
				s.o.Log.Warn().Str("machine", name).Err(err).Msg("pod in list cannot be read")
				continue
			}
			pods = append(pods, p)
		}
		s.e.NodePods(s.l.Now(), name, h.Header.Get(wellknown.IncarnationHeader), v, pods)
		s.after()
	}
	m.pods.Event = func(kind string, o reflector.Object) {
		p := &corev1.Pod{}
		if err := o.Decode(p); err != nil {
			s.o.Log.Warn().Str("machine", name).Err(err).Msg("pod event cannot be read")
			return
		}
		s.e.NodePod(s.l.Now(), name, p, kind == "DELETED")
		s.after()
	}
	m.pods.Lost = func(err error) {
		s.o.Log.Debug().Str("machine", name).Err(err).Msg("machine out of reach")
		s.e.NodeUnresponsive(s.l.Now(), name)
		s.after()
	}
	m.pods.Start()
}

func (s *Scheduler) leave(name string) {
	if m := s.machines[name]; m != nil {
		delete(s.machines, name)
		m.pods.Stop()
		m.client.Close()
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

func (s *Scheduler) sendOffer(x *engine.Effect) {
	ans := engine.AttemptAnswer{UID: x.UID, Attempt: x.Attempt, Node: x.Node}
	m := s.machines[x.Node]
	body, err := json.Marshal(x.Pod)
	if m == nil || err != nil {
		ans.Result = placer.Unreachable
		s.l.After(0, func() { s.e.AttemptDone(s.l.Now(), ans); s.after() })
		return
	}
	key := callKey{x.UID, x.Attempt}
	call := &httpc.Call{Careful: x.Careful, Done: func(h *http1.Head, body []byte, err error) {
		delete(s.calls, key)
		answer(&ans, h, body, err)
		s.e.AttemptDone(s.l.Now(), ans)
		s.after()
	}}
	s.calls[key] = call
	m.client.Do("POST", podPath(x.Namespace, ""), []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: wellknown.AttemptHeader, Value: strconv.Itoa(x.Attempt)}}, body, 0, call)
}

// answer translates a machine's answer to an offer.
func answer(ans *engine.AttemptAnswer, h *http1.Head, body []byte, err error) {
	var ce *httpc.ConnectError
	switch {
	case errors.As(err, &ce):
		ans.Result = placer.Unreachable
		return
	case err != nil:
		ans.Result = placer.Lost
		return
	}
	ans.Incarnation = h.Header.Get(wellknown.IncarnationHeader)
	if d, err := wellknown.ParseDict(h.Header.Get(wellknown.LoadHeader)); err == nil && len(d) > 0 {
		value := func(name string) float64 {
			if v, ok := d[name]; ok {
				return v
			}
			return math.NaN()
		}
		ans.Report = &placer.Report{FreeCores: value("free-cores"), FreeMemory: value("free-memory"), Utilization: value("busy"),
			QueueLength: value("queue")}
	}
	if h.Status/100 == 2 {
		var p corev1.Pod
		if err := json.Unmarshal(body, &p); err != nil || p.UID != ans.UID {
			ans.Result = placer.Errored
			return
		}
		if p.Status.Reason == wellknown.NeverRan {
			ans.Result, ans.Reason = placer.Rejected, placer.WrongNode
			return
		}
		ans.Accepted, ans.Pod = true, &p
		ans.Rev, _ = strconv.ParseInt(p.ResourceVersion, 10, 64)
		return
	}
	var st metav1.Status
	json.Unmarshal(body, &st)
	ans.Stated = st.Message
	switch string(st.Reason) {
	case wellknown.OutOfCPU:
		ans.Result, ans.Reason = placer.Rejected, placer.InsufficientCores
	case wellknown.OutOfMemory:
		ans.Result, ans.Reason = placer.Rejected, placer.InsufficientMemory
	case wellknown.QueueFull:
		ans.Result, ans.Reason = placer.Rejected, placer.QueueFull
	case wellknown.WrongNode:
		ans.Result, ans.Reason = placer.Rejected, placer.WrongNode
	default:
		ans.Result = placer.Errored
	}
}

func (s *Scheduler) stopTask(x *engine.Effect) {
	ans := engine.StopAnswer{UID: x.UID, Attempt: x.Attempt, Node: x.Node}
	m := s.machines[x.Node]
	if m == nil {
		s.l.After(0, func() { s.e.StopDone(s.l.Now(), ans); s.after() })
		return
	}
	name := x.Name
	if name == "" {
		name = string(x.UID)
	}
	ns := x.Namespace
	if ns == "" {
		ns = "default"
	}
	body, _ := json.Marshal(&metav1.DeleteOptions{TypeMeta: metav1.TypeMeta{Kind: "DeleteOptions", APIVersion: "v1"},
		Preconditions: &metav1.Preconditions{UID: &x.UID}})
	m.client.Do("DELETE", podPath(ns, name), []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: wellknown.AttemptHeader, Value: strconv.Itoa(x.Attempt)}}, body, 5, &httpc.Call{
		Done: func(h *http1.Head, body []byte, err error) {
			if err == nil {
				ans.Incarnation = h.Header.Get(wellknown.IncarnationHeader)
			}
			switch {
			case err != nil:
			case h.Status == 404:
				ans.Known = true
			case h.Status == 200:
				var p corev1.Pod
				if json.Unmarshal(body, &p) == nil && p.UID == ans.UID {
					ans.Known, ans.Had = true, true
					ans.Ran = p.Status.Reason != wellknown.NeverRan
				}
			}
			s.e.StopDone(s.l.Now(), ans)
			s.after()
		}})
}

func (s *Scheduler) nodesListed(_ *http1.Head, _ string, items []reflector.Object) {
	nodes := make([]*corev1.Node, 0, len(items))
	for _, it := range items {
		n := &corev1.Node{}
		if err := it.Decode(n); err != nil {
			s.o.Log.Warn().Err(err).Msg("machine in list cannot be read")
			continue
		}
		nodes = append(nodes, n)
	}
	if !s.invUp {
		s.invUp = true
		s.o.Log.Info().Int("machines", len(nodes)).Str("inventory", s.o.Inventory).Msg("inventory heard")
	}
	s.listed = true
	s.e.NodesListed(s.l.Now(), engine.FullList, nodes, nil)
	s.after()
}

func (s *Scheduler) nodeEvent(kind string, o reflector.Object) {
	n := &corev1.Node{}
	if err := o.Decode(n); err != nil {
		s.o.Log.Warn().Err(err).Msg("machine event cannot be read")
		return
	}
	if kind == "DELETED" {
		s.e.NodesListed(s.l.Now(), engine.Changes, nil, []string{n.Name})
	} else {
		s.e.NodesListed(s.l.Now(), engine.Changes, []*corev1.Node{n}, nil)
	}
	s.after()
}

func (s *Scheduler) inventoryLost(err error) {
	if s.invUp {
		s.invUp = false
		s.o.Log.Warn().Err(err).Msg("inventory out of reach")
	}
	s.e.NodesListed(s.l.Now(), engine.ListLost, nil, nil)
	s.after()
}

// Stop takes no new tasks, waits until every task that was taken has its final answer, at most so many seconds, ends watches
// and connections in order, and calls done.
func (s *Scheduler) Stop(within float64, done func()) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.e.Stop(s.l.Now())
	s.after()
	s.o.Log.Info().Int("open", s.e.OpenTasks()).Msg("stopping: waiting for final answers")
	until := s.l.Now() + within
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	var wait func()
	wait = func() {
		if s.e.OpenTasks() > 0 && s.l.Now() < until {
			s.l.After(0.02, wait)
			return
		}
		if n := s.e.OpenTasks(); n > 0 {
			s.o.Log.Error().Int("open", n).Msg("stopped with tasks unanswered")
		}
		s.inv.Stop()
		for name := range s.machines {
			s.leave(name)
		}
		s.api.CloseWatches()
		s.http.Kick()
		s.http.Drain(finish)
		s.l.After(2, func() { s.http.Close(); finish() })
	}
	wait()
}

// Rev is the revision of the last change, for those who look in from outside.
func (s *Scheduler) Rev() int64 { return s.e.Store().Rev() }

// Count is the number of objects in a table.
func (s *Scheduler) Count(r store.Resource) int { return s.e.Store().Len(r) }
