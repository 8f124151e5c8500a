//go:build linux

// Package emulator puts simulated nodes and an inventory on sockets, for schedulers to be tested against. A node keeps to the limits of
// package nodesim; the inventory shows what nodes report with a delay. Faults can be injected into both while they run. Both speak the REST
// conventions of the scheduler.
package emulator

import (
	"fmt"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/control/clock"
	"heathshed/internal/kube/api"
	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/emulator/fault"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/netio/eventloop"
	"heathshed/internal/netio/httpc"
	"heathshed/internal/netio/httpd"
	"heathshed/placer"
)

const (
	defaultReportInterval = 500 * time.Millisecond
	idleTimeout           = 10 * time.Minute // of connections to an emulator
	historyRevisions      = 5000             // changes that a watch can resume from
	listenRetryInterval   = 100 * time.Millisecond
	timerTolerance        = time.Millisecond
	apiVersion            = "standin" // in what the API states of its server
)

// NodeOptions describe an emulated node.
type NodeOptions struct {
	Name, Zone, Rack, Kind string
	Listen                 string        // 127.0.0.1:0 chooses a port, which is kept over crashes
	Inventory              string        // address; "" reports nowhere
	ReportInterval         time.Duration // between reports to the inventory; 0 is the default
	Sim                    nodesim.Config
	Priorities             map[string]int     // by class
	Lifetimes              map[string]float64 // by class: mean lifetime in seconds of tasks that state none
	// OnEvent, if set, receives each attempt as it arrives, and what becomes of it.
	OnEvent func(audit.Event)
}

// Node is an emulated node on a socket. All of its methods are called on its loop.
type Node struct {
	options   NodeOptions
	loop      *eventloop.Loop
	addr      string
	inventory *httpc.Client // nil if the node reports nowhere
	reported  bool          // it has reported once
	stopped   bool

	// These are of one incarnation; sim is nil while the node is down.
	sim           *nodesim.Node
	server        *httpd.Server
	api           *api.Server
	store         *store.Store
	starts        int
	incarnation   string
	startedAt     placer.Seconds // on the clock of sim; 0 if the node came up warm
	wakeTimer     *eventloop.Timer
	pending       map[string][]*httpd.Exchange // unanswered requests, by UID and attempt
	loadReport    string                       // value of the load header
	shownRevision int64                        // of the store, that watches have been given

	faults           fault.NodeState
	unreachableUntil clock.Instant
	trickling        bool // the timer that continues trickling bodies is set
}

// StartNode puts a node on a socket and begins to report it to the inventory.
func StartNode(loop *eventloop.Loop, options NodeOptions) (*Node, error) {
	if options.ReportInterval <= 0 {
		options.ReportInterval = defaultReportInterval
	}
	n := &Node{options: options, loop: loop, addr: options.Listen}
	if err := n.start(options.Sim.Cold); err != nil {
		return nil, err
	}
	if options.Inventory != "" {
		n.inventory = httpc.New(loop, options.Inventory)
		n.inventory.PoolPolicy.MaxConns = 1
	}
	n.reportPeriodically()
	return n, nil
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.addr }

// Name returns the name of the node.
func (n *Node) Name() string { return n.options.Name }

// Sim returns the simulated node behind the socket, nil while it is down.
func (n *Node) Sim() *nodesim.Node { return n.sim }

// start begins an incarnation.
func (n *Node) start(cold bool) error {
	now := n.simNow()
	n.starts++
	n.sim = nodesim.New(n.options.Sim.ForIncarnation(n.starts, cold), now)
	n.sim.RejectHook = n.injectRejection
	n.incarnation = fmt.Sprintf("%s-%d-%d", n.options.Name, n.loop.Now().UnixMicro()/1000, n.starts)
	n.startedAt = 0
	startKind := "warm"
	if cold {
		n.startedAt = now
		startKind = "cold"
	}
	n.pending = map[string][]*httpd.Exchange{}
	n.store = store.New(n.loop.Now().UnixMicro(), historyRevisions)
	n.api = &api.Server{Store: n.store, Version: apiVersion}
	if err := n.listen(); err != nil {
		return err
	}
	n.record(audit.Event{Kind: audit.NodeUp, Reason: startKind})
	n.processEffects()
	return nil
}

func (n *Node) listen() error {
	server, err := listen(n.loop, n.addr, n.serve)
	if err != nil {
		return fmt.Errorf("node %s: %w", n.options.Name, err)
	}
	n.server = server
	n.addr = server.Addr()
	return nil
}

// listen starts the HTTP server of an emulator.
func listen(loop *eventloop.Loop, addr string, serve func(*httpd.Exchange)) (*httpd.Server, error) {
	options := httpd.DefaultOptions()
	options.IdleTimeout = idleTimeout
	return httpd.Listen(loop, addr, options, serve)
}

// crash ends the incarnation; a cold one begins after the downtime.
func (n *Node) crash(downtime time.Duration) {
	if n.sim == nil {
		return
	}
	n.shutDown()
	var restart func()
	restart = func() {
		if n.stopped || n.sim != nil {
			return
		}
		if err := n.start(true); err != nil {
			// The port may not be free yet.
			n.sim = nil
			n.loop.After(listenRetryInterval, restart)
		}
	}
	n.loop.After(downtime, restart)
}

// Stop takes the node down for good.
func (n *Node) Stop() {
	n.stopped = true
	if n.sim != nil {
		n.shutDown()
	}
}

func (n *Node) shutDown() {
	n.sim = nil
	n.wakeTimer.Stop()
	n.server.Close()
}

func (n *Node) record(event audit.Event) {
	if n.options.OnEvent == nil {
		return
	}
	event.At = n.simNow()
	event.Node = n.options.Name
	event.Rack = n.options.Rack
	event.Zone = n.options.Zone
	n.options.OnEvent(event)
}

// tick runs the simulated node up to now.
func (n *Node) tick() {
	if n.sim != nil {
		n.sim.Tick(n.simNow())
		n.processEffects()
	}
}

// processEffects carries out what the simulated node did, gives watches the changes, and sets the next wake-up.
func (n *Node) processEffects() {
	if n.sim == nil || !n.sim.DispatchEffects(n.handleEffect) {
		return
	}
	n.scheduleWake()
	if revision := n.store.Revision(); revision != n.shownRevision {
		n.shownRevision = revision
		n.api.SetTime(n.simNow())
		n.server.PullStreams()
	}
}

// handleEffect carries out one effect, and reports whether the node is still up.
func (n *Node) handleEffect(effect *nodesim.Effect) bool {
	switch effect.Kind {
	case nodesim.Answered:
		key := nodesim.AttemptKey(effect.UID, effect.Attempt)
		waiting := n.pending[key]
		delete(n.pending, key)
		for _, exchange := range waiting {
			n.answer(exchange, effect)
		}
	case nodesim.Changed:
		n.showTask(effect.Task)
	case nodesim.Removed:
		pod := effect.Task.Payload.(*corev1.Pod)
		n.store.Delete(store.Pods, pod.Namespace, pod.Name)
	case nodesim.Overloaded:
		n.record(audit.Event{Kind: audit.Overloaded})
		n.crash(clock.Duration(nodesim.OverloadDowntime))
	}
	return n.sim != nil
}

// showTask stores the Pod of a task and records its phase.
func (n *Node) showTask(task *nodesim.Task) {
	pod := nodesim.Pod(task, n.options.Name)
	n.store.Put(store.Pods, pod)
	n.record(audit.Event{
		Kind:      task.Phase.EventKind(),
		UID:       task.UID,
		Attempt:   task.Attempt,
		Scheduler: pod.Labels[wellknown.Scheduler],
		Class:     pod.Labels[wellknown.Class],
		Service:   task.Service,
		Reason:    task.Reason.APIReason(),
	})
}
