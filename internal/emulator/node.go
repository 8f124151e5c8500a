//go:build linux

// Package standin has the stand-ins that schedulers are tried against: machines that keep to the limits of package machine and
// can be made faulty while they run, and an inventory that is late and can be cut off. They speak the same REST conventions as
// the scheduler.
package emulator

import (
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/api"
	"heathshed/internal/audit"
	"heathshed/internal/emulator/fault"
	"heathshed/internal/eventloop"
	"heathshed/internal/http1"
	"heathshed/internal/httpc"
	"heathshed/internal/httpd"
	"heathshed/internal/nodesim"
	"heathshed/internal/simulation"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
)

// NodeOptions describe a stand-in machine.
type NodeOptions struct {
	Name, Zone, Rack, Kind string
	Listen                 string // 127.0.0.1:0 chooses a port, kept over crashes
	Inventory              string // address; "" reports nowhere
	ReportInterval         float64
	Sim                    nodesim.Config
	Priorities             map[string]int     // of classes
	Lifetimes              map[string]float64 // seconds that tasks of a class run on average, where they name no lifetime
	// Tap, if set, is told of each offer as it arrives and of what became of it.
	OnEvent func(audit.Event)
}

// Node is a stand-in machine on a socket.
type Node struct {
	options       NodeOptions
	loop          *eventloop.Loop
	sim           *nodesim.Node
	server        *httpd.Server
	api           *api.Server
	store         *store.Store
	inventory     *httpc.Client
	addr          string
	incarnation   string
	starts        int
	startedAt     float64
	wakeTimer     *eventloop.Timer
	pending       map[string][]*httpd.Exchange // by uid and attempt
	loadReport    string
	shownRevision int64
	seed          uint64
	reported      bool // it has reported
	stopped       bool

	faults           fault.NodeState
	unreachableUntil float64
	trickling        bool
}

// StartNode puts a machine on a socket and reports it to the inventory.
func StartNode(loop *eventloop.Loop, options NodeOptions) (*Node, error) {
	if options.ReportInterval <= 0 {
		options.ReportInterval = 0.5
	}
	n := &Node{options: options, loop: loop, addr: options.Listen, seed: options.Sim.Seed}
	if err := n.start(options.Sim.Cold); err != nil {
		return nil, err
	}
	if options.Inventory != "" {
		n.inventory = httpc.New(loop, options.Inventory)
		n.inventory.Pool.MaxConns = 1
	}
	n.reportPeriodically()
	return n, nil
}

// Addr is where the machine listens, Name its name.
func (n *Node) Addr() string { return n.addr }

// Name is the machine's name.
func (n *Node) Name() string { return n.options.Name }

// Sim is the model behind the socket, nil while it is down.
func (n *Node) Sim() *nodesim.Node { return n.sim }

// start begins a life.
func (n *Node) start(cold bool) error {
	now := n.loop.Now()
	n.starts++
	cfg := n.options.Sim
	cfg.Cold, cfg.Seed = cold, n.seed+uint64(n.starts)*7919
	n.sim = nodesim.New(cfg, now)
	n.incarnation = fmt.Sprintf("%s-%d-%d", n.options.Name, int64(now*1e3), n.starts)
	n.startedAt = 0
	if cold {
		n.startedAt = now
	}
	n.pending = map[string][]*httpd.Exchange{}
	n.store = store.New(int64(now*1e6), 5000)
	n.api = &api.Server{Store: n.store, Version: "standin"}
	n.sim.RejectHook = func(request *nodesim.Request) nodesim.Reason {
		if n.loop.Now() < n.faults.RejectUntil {
			return nodesim.InsufficientCores
		}
		return nodesim.None
	}
	serverOptions := httpd.DefaultOptions()
	serverOptions.IdleTimeoutSeconds = 600
	server, err := httpd.Listen(n.loop, n.addr, serverOptions, n.serve)
	if err != nil {
		return fmt.Errorf("machine %s: %w", n.options.Name, err)
	}
	n.server, n.addr = server, server.Addr()
	n.record(audit.Event{Kind: audit.NodeUp, Reason: map[bool]string{true: "cold", false: "warm"}[cold]})
	n.processEffects()
	return nil
}

func (n *Node) record(event audit.Event) {
	if n.options.OnEvent != nil {
		event.At, event.Node, event.Rack, event.Zone = n.loop.Now(), n.options.Name, n.options.Rack, n.options.Zone
		n.options.OnEvent(event)
	}
}

// reportPeriodically reports to the inventory, again and again.
func (n *Node) reportPeriodically() {
	if n.stopped {
		return
	}
	next := n.options.ReportInterval
	if !n.reported {
		// Machines that start together must not report together for ever.
		n.reported = true
		next *= float64(xxhash.Sum64String(n.options.Name)%1000) / 1000
	}
	n.loop.After(next, n.reportPeriodically)
	if n.sim == nil {
		return
	}
	n.sim.Tick(n.loop.Now())
	n.updateLoadReport()
	n.processEffects()
	if n.inventory == nil {
		return
	}
	body, err := json.Marshal(n.Object())
	if err != nil {
		return
	}
	n.inventory.Do("PUT", "/api/v1/nodes/"+url.PathEscape(n.options.Name)+"/status", []http1.Field{{Name: "Content-Type", Value: "application/json"}},
		body, 2, &httpc.Call{Done: func(*http1.Head, []byte, error) {}})
}

func (n *Node) updateLoadReport() {
	unusedCores, unusedMemory := n.sim.Unused()
	n.loadReport = wellknown.FormatDict("free-cores", unusedCores, "free-memory", unusedMemory, "busy", n.sim.Utilization(), "queue", float64(n.sim.QueueLength()))
}

// Object is the machine as the inventory shows it.
func (n *Node) Object() *corev1.Node {
	object := &corev1.Node{TypeMeta: metav1.TypeMeta{Kind: "Node", APIVersion: "v1"}}
	object.Name = n.options.Name
	object.UID = types.UID("node-" + n.options.Name)
	object.Labels = map[string]string{wellknown.Zone: n.options.Zone, wellknown.Rack: n.options.Rack, wellknown.Kind: n.options.Kind, corev1.LabelHostname: n.options.Name}
	freeCores, freeMemory := n.sim.Free()
	object.Annotations = map[string]string{wellknown.FreeCapacity: wellknown.FormatDict("cores", freeCores, "memory", freeMemory)}
	if n.startedAt > 0 {
		object.Annotations[wellknown.Started] = wellknown.FormatTimestamp(n.startedAt + n.faults.ClockSkew)
	}
	object.Spec.Unschedulable = n.sim.Draining()
	cfg := n.sim.Config()
	object.Status.Capacity = corev1.ResourceList{corev1.ResourceCPU: *resource.NewMilliQuantity(int64(cfg.Cores*1000), resource.DecimalSI),
		corev1.ResourceMemory: *resource.NewQuantity(int64(cfg.Memory*wellknown.Gibibyte), resource.BinarySI)}
	object.Status.Allocatable = object.Status.Capacity
	object.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue, Reason: "StandInReady"}}
	host, port, _ := strings.Cut(n.addr, ":")
	object.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: host}}
	portNumber, _ := strconv.Atoi(port)
	object.Status.DaemonEndpoints.KubeletEndpoint.Port = int32(portNumber)
	object.Status.NodeInfo.BootID = n.incarnation
	return object
}

// processEffects sends what the model says and sets its next wake-up.
func (n *Node) processEffects() {
	if n.sim == nil {
		return
	}
	for {
		effects := n.sim.Ready()
		if len(effects) == 0 {
			break
		}
		for i := range effects {
			if n.sim == nil {
				return
			}
			n.handleEffect(&effects[i])
		}
	}
	if n.sim == nil {
		return
	}
	n.wakeTimer.Stop()
	if at := n.sim.NextWake(); !math.IsInf(at, 1) {
		n.wakeTimer = n.loop.At(at, func() {
			if n.sim != nil {
				n.sim.Tick(n.loop.Now())
				n.processEffects()
			}
		})
	}
	if rev := n.store.Rev(); rev != n.shownRevision {
		n.shownRevision = rev
		n.api.SetTime(n.loop.Now())
		n.server.PullStreams()
	}
}

func attemptKey(uid string, attempt int) string { return uid + "/" + strconv.Itoa(attempt) }

var reasonNames = map[nodesim.Reason]string{nodesim.InsufficientCores: wellknown.OutOfCPU, nodesim.InsufficientMemory: wellknown.OutOfMemory, nodesim.QueueFull: wellknown.QueueFull,
	nodesim.WrongNode: wellknown.WrongNode, nodesim.Evicted: wellknown.Evicted, nodesim.Preempted: wellknown.Preempted, nodesim.Drained: wellknown.Drained,
	nodesim.Stopped: wellknown.Stopped, nodesim.NeverRan: wellknown.NeverStarted}

func (n *Node) handleEffect(effect *nodesim.Effect) {
	switch effect.Kind {
	case nodesim.Answered:
		key := attemptKey(effect.UID, effect.Attempt)
		waiting := n.pending[key]
		delete(n.pending, key)
		for _, exchange := range waiting {
			n.answer(exchange, effect)
		}
	case nodesim.Changed:
		task := effect.Task
		pod := n.pod(task)
		n.store.Put(store.Pods, pod)
		event := audit.Event{UID: task.UID, Attempt: task.Attempt, Scheduler: pod.Labels[wellknown.Scheduler], Class: pod.Labels[wellknown.Class], Service: task.Service,
			Reason: reasonNames[task.Reason]}
		switch task.Phase {
		case nodesim.Accepted:
			event.Kind = audit.Accepted
		case nodesim.Running:
			event.Kind = audit.Started
		default:
			event.Kind = audit.Ended
		}
		n.record(event)
	case nodesim.Removed:
		pod := effect.Task.Payload.(*corev1.Pod)
		n.store.Delete(store.Pods, pod.Namespace, pod.Name)
	case nodesim.Overloaded:
		n.record(audit.Event{Kind: audit.Overloaded})
		n.crash(30)
	}
}

// pod is the Pod of a task as it stands.
func (n *Node) pod(task *nodesim.Task) *corev1.Pod { return simulation.PodOfTask(task, n.options.Name) }

func (n *Node) answer(exchange *httpd.Exchange, effect *nodesim.Effect) {
	now := n.loop.Now()
	if effect.Task != nil && now < n.faults.LoseAnswerUntil {
		exchange.Reset()
		return
	}
	resp := n.rejection(effect.Reason)
	if effect.Task != nil {
		pod := n.pod(effect.Task)
		if stored := n.store.Get(store.Pods, pod.Namespace, pod.Name); stored != nil {
			pod.ResourceVersion = stored.GetResourceVersion()
		} else {
			pod.ResourceVersion = strconv.FormatInt(n.store.Rev(), 10)
		}
		body, _ := json.Marshal(pod)
		resp = http1.Response{Status: 201, Body: body}
	} else {
		n.record(audit.Event{Kind: audit.Rejected, UID: effect.UID, Attempt: effect.Attempt, Reason: reasonNames[effect.Reason]})
	}
	n.respond(exchange, resp)
}

func (n *Node) respond(exchange *httpd.Exchange, resp http1.Response) {
	resp.Header = append(resp.Header, http1.Field{Name: "Content-Type", Value: "application/json"},
		http1.Field{Name: wellknown.LoadHeader, Value: n.loadReport}, http1.Field{Name: wellknown.IncarnationHeader, Value: n.incarnation})
	if n.loop.Now() < n.faults.TrickleUntil {
		n.loop.After(0.05, func() {
			exchange.Respond(http1.Response{Status: resp.Status, Header: resp.Header, Stream: &trickleBody{loop: n.loop, rest: resp.Body}})
		})
		n.keepTrickling()
		return
	}
	exchange.Respond(resp)
}

// trickleBody is a body that trickles: a few bytes every twentieth of a second.
type trickleBody struct {
	loop      *eventloop.Loop
	rest      []byte
	lastWrite float64
}

const trickleInterval, trickleBytes = 0.05, 64

// Pull implements http1.Stream.
func (s *trickleBody) Pull(b []byte, _ int) ([]byte, bool) {
	if now := s.loop.Now(); now >= s.lastWrite+trickleInterval*0.9 {
		n := min(len(s.rest), trickleBytes)
		b, s.rest, s.lastWrite = append(b, s.rest[:n]...), s.rest[n:], now
	}
	return b, len(s.rest) == 0
}

// Close implements http1.Stream.
func (s *trickleBody) Close() {}

// keepTrickling keeps trickling answers going.
func (n *Node) keepTrickling() {
	if n.trickling {
		return
	}
	n.trickling = true
	var again func()
	again = func() {
		if n.sim == nil {
			n.trickling = false
			return
		}
		n.server.PullStreams()
		if n.trickling = n.loop.Now() < n.faults.TrickleUntil+5; n.trickling {
			n.loop.After(trickleInterval, again)
		}
	}
	n.loop.After(trickleInterval, again)
}

func statusResponse(code int, reason, message string) http1.Response {
	b, _ := json.Marshal(&metav1.Status{TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}, Status: metav1.StatusFailure,
		Code: int32(code), Reason: metav1.StatusReason(reason), Message: message})
	return http1.Response{Status: code, Body: b}
}

func (n *Node) rejection(reason nodesim.Reason) http1.Response {
	switch reason {
	case nodesim.InsufficientCores:
		return statusResponse(409, wellknown.OutOfCPU, "Node didn't have enough resource: cpu")
	case nodesim.InsufficientMemory:
		return statusResponse(409, wellknown.OutOfMemory, "Node didn't have enough resource: memory")
	case nodesim.QueueFull:
		return statusResponse(429, wellknown.QueueFull, "too many offers wait")
	}
	return statusResponse(409, wellknown.WrongNode, "the machine drains, or this attempt was given up")
}

func (n *Node) serve(exchange *httpd.Exchange) {
	now := n.loop.Now()
	if n.sim == nil || now < n.unreachableUntil {
		exchange.Reset()
		return
	}
	path, _, _ := strings.Cut(exchange.Head.Target, "?")
	parts := strings.Split(strings.Trim(path, "/"), "/")
	pods := len(parts) >= 5 && parts[0] == "api" && parts[2] == "namespaces" && parts[4] == "pods"
	switch {
	case exchange.Head.Method == "PUT" && path == "/heathshed/faults":
		var ordered fault.Node
		if err := json.Unmarshal(exchange.Body, &ordered); err != nil {
			n.respond(exchange, statusResponse(400, "BadRequest", "faults: "+err.Error()))
			return
		}
		exchange.Respond(http1.Response{Status: 204})
		n.Fault(ordered)
	case pods && len(parts) == 5 && exchange.Head.Method == "POST":
		n.startTask(exchange)
	case pods && len(parts) == 6 && exchange.Head.Method == "DELETE":
		n.stopTask(exchange)
	default:
		n.sim.Tick(now)
		n.processEffects()
		resp := n.api.Serve(now, &exchange.Request)
		resp.Header = append(resp.Header, http1.Field{Name: wellknown.IncarnationHeader, Value: n.incarnation},
			http1.Field{Name: wellknown.LoadHeader, Value: n.loadReport})
		exchange.Respond(resp)
	}
}

func (n *Node) startTask(exchange *httpd.Exchange) {
	now := n.loop.Now()
	pod := &corev1.Pod{}
	attempt, err := strconv.Atoi(exchange.Head.Header.Get(wellknown.AttemptHeader))
	if err == nil {
		err = json.Unmarshal(exchange.Body, pod)
	}
	if err != nil || pod.UID == "" || pod.Name == "" || pod.Namespace == "" {
		n.respond(exchange, statusResponse(400, "BadRequest", "want a Pod with uid, name and namespace, and the attempt's number in "+wellknown.AttemptHeader))
		return
	}
	if pod.Labels == nil {
		pod.Labels = map[string]string{}
	}
	if pod.Annotations == nil {
		pod.Annotations = map[string]string{}
	}
	class := pod.Labels[wellknown.Class]
	n.record(audit.Event{Kind: audit.AttemptReceived, UID: string(pod.UID), Attempt: attempt, Scheduler: pod.Labels[wellknown.Scheduler], Class: class,
		Service: pod.Namespace + "/" + serviceName(pod)})
	abandoned := audit.Event{Kind: audit.Abandoned, UID: string(pod.UID), Attempt: attempt}
	if now < n.faults.ResetUntil {
		n.record(abandoned)
		exchange.Reset()
		return
	}
	if n.faults.FailsClass(now, class) {
		n.record(abandoned)
		n.respond(exchange, statusResponse(500, "InternalError", "the machine fails"))
		return
	}
	cores, memory := wellknown.Requests(&pod.Spec)
	request := nodesim.Request{UID: string(pod.UID), Attempt: attempt, Service: pod.Namespace + "/" + serviceName(pod), Cores: cores, Memory: memory,
		Priority: n.options.Priorities[class], Payload: pod}
	if lifetime, err := strconv.ParseFloat(pod.Annotations[wellknown.Lifetime], 64); err == nil && lifetime > 0 && lifetime < 1e7 {
		request.Lifetime = lifetime
	} else {
		request.Lifetime = n.options.Lifetimes[class]
	}
	key := attemptKey(request.UID, attempt)
	exchange.OnDisconnect = func() { n.record(abandoned) }
	n.pending[key] = append(n.pending[key], exchange)
	n.sim.Submit(now, request)
	n.processEffects()
}

func serviceName(p *corev1.Pod) string {
	if s := p.Labels[wellknown.Service]; s != "" {
		return s
	}
	return p.Labels[wellknown.JobName]
}

func (n *Node) stopTask(exchange *httpd.Exchange) {
	var deleteOptions metav1.DeleteOptions
	attempt, err := strconv.Atoi(exchange.Head.Header.Get(wellknown.AttemptHeader))
	if err == nil {
		err = json.Unmarshal(exchange.Body, &deleteOptions)
	}
	if err != nil || deleteOptions.Preconditions == nil || deleteOptions.Preconditions.UID == nil {
		n.respond(exchange, statusResponse(400, "BadRequest", "want preconditions.uid and "+wellknown.AttemptHeader))
		return
	}
	uid := string(*deleteOptions.Preconditions.UID)
	had, ran := n.sim.Stop(n.loop.Now(), uid, attempt)
	if !had {
		n.record(audit.Event{Kind: audit.Fenced, UID: uid, Attempt: attempt})
	}
	n.processEffects()
	if !had {
		n.respond(exchange, statusResponse(404, "NotFound", "no such Pod; this attempt will not be taken any more"))
		return
	}
	pod := &corev1.Pod{}
	pod.UID = types.UID(uid)
	pod.Status.Phase, pod.Status.Reason = corev1.PodFailed, wellknown.Stopped
	if !ran {
		pod.Status.Reason = wellknown.NeverStarted
	}
	body, _ := json.Marshal(pod)
	n.respond(exchange, http1.Response{Status: 200, Body: body})
}

// Fault makes the machine faulty, or well again.
func (n *Node) Fault(ordered fault.Node) {
	now := n.loop.Now()
	n.faults.Apply(now, ordered)
	if n.sim != nil && ordered.Stall != 0 {
		n.sim.StallUntil(now + ordered.Stall)
	}
	if ordered.Unreachable > 0 {
		n.unreachableUntil = now + ordered.Unreachable
		n.server.Close()
		n.loop.After(ordered.Unreachable, func() {
			if n.sim != nil && n.loop.Now() >= n.unreachableUntil-0.001 {
				n.relisten()
			}
		})
	}
	if ordered.Drain != nil && n.sim != nil {
		if *ordered.Drain {
			n.sim.Drain(now)
		} else {
			n.sim.Undrain(now)
		}
		n.processEffects()
	}
	if ordered.Crash > 0 {
		n.record(audit.Event{Kind: audit.Crashed})
		n.crash(ordered.Crash)
	}
}

func (n *Node) relisten() {
	serverOptions := httpd.DefaultOptions()
	serverOptions.IdleTimeoutSeconds = 600
	server, err := httpd.Listen(n.loop, n.addr, serverOptions, n.serve)
	if err != nil {
		n.loop.After(0.1, func() {
			if n.sim != nil {
				n.relisten()
			}
		})
		return
	}
	n.server = server
}

// crash ends this life; another, cold one begins after so many seconds.
func (n *Node) crash(downtime float64) {
	if n.sim == nil {
		return
	}
	n.sim = nil
	n.wakeTimer.Stop()
	n.server.Close()
	var restart func()
	restart = func() {
		if n.stopped || n.sim != nil {
			return
		}
		if err := n.start(true); err != nil {
			n.sim = nil
			n.loop.After(0.1, restart)
		}
	}
	n.loop.After(downtime, restart)
}

// Stop takes the machine away for good.
func (n *Node) Stop() {
	n.stopped = true
	if n.sim != nil {
		n.sim = nil
		n.wakeTimer.Stop()
		n.server.Close()
	}
}
