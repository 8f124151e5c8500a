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
	Beat                   float64
	Sim                    nodesim.Config
	Priorities             map[string]int     // of classes
	Lives                  map[string]float64 // seconds that tasks of a class run on average, where they name no lifetime
	// Tap, if set, is told of each offer as it arrives and of what became of it.
	Tap func(audit.Event)
}

// Node is a stand-in machine on a socket.
type Node struct {
	o       NodeOptions
	l       *eventloop.Loop
	m       *nodesim.Node
	http    *httpd.Server
	api     *api.Server
	st      *store.Store
	inv     *httpc.Client
	addr    string
	boot    string
	lives   int
	started float64
	timer   *eventloop.Timer
	pending map[string][]*httpd.Exchange // by uid and attempt
	load    string
	shown   int64
	seed    uint64
	beaten  bool // it has reported
	stopped bool

	faults   fault.State
	cutUntil float64
	dripping bool
}

// StartNode puts a machine on a socket and reports it to the inventory.
func StartNode(l *eventloop.Loop, o NodeOptions) (*Node, error) {
	if o.Beat <= 0 {
		o.Beat = 0.5
	}
	n := &Node{o: o, l: l, addr: o.Listen, seed: o.Sim.Seed}
	if err := n.up(o.Sim.Cold); err != nil {
		return nil, err
	}
	if o.Inventory != "" {
		n.inv = httpc.New(l, o.Inventory)
		n.inv.Pool.MaxConns = 1
	}
	n.beat()
	return n, nil
}

// Addr is where the machine listens, Name its name.
func (n *Node) Addr() string { return n.addr }

// Name is the machine's name.
func (n *Node) Name() string { return n.o.Name }

// Sim is the model behind the socket, nil while it is down.
func (n *Node) Sim() *nodesim.Node { return n.m }

// up begins a life.
func (n *Node) up(cold bool) error {
	now := n.l.Now()
	n.lives++
	cfg := n.o.Sim
	cfg.Cold, cfg.Seed = cold, n.seed+uint64(n.lives)*7919
	n.m = nodesim.New(cfg, now)
	n.boot = fmt.Sprintf("%s-%d-%d", n.o.Name, int64(now*1e3), n.lives)
	n.started = 0
	if cold {
		n.started = now
	}
	n.pending = map[string][]*httpd.Exchange{}
	n.st = store.New(int64(now*1e6), 5000)
	n.api = &api.Server{Store: n.st, Version: "standin"}
	n.m.Refuse = func(o *nodesim.Offer) nodesim.Reason {
		if n.l.Now() < n.faults.Refuse {
			return nodesim.InsufficientCores
		}
		return nodesim.None
	}
	opt := httpd.DefaultOptions()
	opt.IdleWithin = 600
	srv, err := httpd.Listen(n.l, n.addr, opt, n.serve)
	if err != nil {
		return fmt.Errorf("machine %s: %w", n.o.Name, err)
	}
	n.http, n.addr = srv, srv.Addr()
	n.tap(audit.Event{What: audit.Up, Reason: map[bool]string{true: "cold", false: "warm"}[cold]})
	n.after()
	return nil
}

func (n *Node) tap(t audit.Event) {
	if n.o.Tap != nil {
		t.At, t.Node, t.Rack, t.Zone = n.l.Now(), n.o.Name, n.o.Rack, n.o.Zone
		n.o.Tap(t)
	}
}

// beat reports to the inventory, again and again.
func (n *Node) beat() {
	if n.stopped {
		return
	}
	next := n.o.Beat
	if !n.beaten {
		// Machines that start together must not report together for ever.
		n.beaten = true
		next *= float64(xxhash.Sum64String(n.o.Name)%1000) / 1000
	}
	n.l.After(next, n.beat)
	if n.m == nil {
		return
	}
	n.m.Tick(n.l.Now())
	n.measure()
	n.after()
	if n.inv == nil {
		return
	}
	body, err := json.Marshal(n.Object())
	if err != nil {
		return
	}
	n.inv.Do("PUT", "/api/v1/nodes/"+url.PathEscape(n.o.Name)+"/status", []http1.Field{{Name: "Content-Type", Value: "application/json"}},
		body, 2, &httpc.Call{Done: func(*http1.Head, []byte, error) {}})
}

func (n *Node) measure() {
	c, m := n.m.Unused()
	n.load = wellknown.FormatDict("free-cores", c, "free-memory", m, "busy", n.m.Busy(), "queue", float64(n.m.Waiting()))
}

// Object is the machine as the inventory shows it.
func (n *Node) Object() *corev1.Node {
	o := &corev1.Node{TypeMeta: metav1.TypeMeta{Kind: "Node", APIVersion: "v1"}}
	o.Name = n.o.Name
	o.UID = types.UID("node-" + n.o.Name)
	o.Labels = map[string]string{wellknown.Zone: n.o.Zone, wellknown.Rack: n.o.Rack, wellknown.Kind: n.o.Kind, corev1.LabelHostname: n.o.Name}
	c, m := n.m.Free()
	o.Annotations = map[string]string{wellknown.Free: wellknown.FormatDict("cores", c, "memory", m)}
	if n.started > 0 {
		o.Annotations[wellknown.Started] = wellknown.Instant(n.started + n.faults.Clock)
	}
	o.Spec.Unschedulable = n.m.Draining()
	cfg := n.m.Config()
	o.Status.Capacity = corev1.ResourceList{corev1.ResourceCPU: *resource.NewMilliQuantity(int64(cfg.Cores*1000), resource.DecimalSI),
		corev1.ResourceMemory: *resource.NewQuantity(int64(cfg.Memory*wellknown.Gibibyte), resource.BinarySI)}
	o.Status.Allocatable = o.Status.Capacity
	o.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue, Reason: "StandInReady"}}
	host, port, _ := strings.Cut(n.addr, ":")
	o.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: host}}
	p, _ := strconv.Atoi(port)
	o.Status.DaemonEndpoints.KubeletEndpoint.Port = int32(p)
	o.Status.NodeInfo.BootID = n.boot
	return o
}

// after sends what the model says and sets its next wake-up.
func (n *Node) after() {
	if n.m == nil {
		return
	}
	for {
		effects := n.m.Ready()
		if len(effects) == 0 {
			break
		}
		for i := range effects {
			if n.m == nil {
				return
			}
			n.effect(&effects[i])
		}
	}
	if n.m == nil {
		return
	}
	n.timer.Stop()
	if at := n.m.NextWake(); !math.IsInf(at, 1) {
		n.timer = n.l.At(at, func() {
			if n.m != nil {
				n.m.Tick(n.l.Now())
				n.after()
			}
		})
	}
	if rev := n.st.Rev(); rev != n.shown {
		n.shown = rev
		n.api.Advance(n.l.Now())
		n.http.Kick()
	}
}

func key(uid string, attempt int) string { return uid + "/" + strconv.Itoa(attempt) }

var reasons = map[nodesim.Reason]string{nodesim.InsufficientCores: wellknown.OutOfCPU, nodesim.InsufficientMemory: wellknown.OutOfMemory, nodesim.QueueFull: wellknown.QueueFull,
	nodesim.WrongNode: wellknown.WrongNode, nodesim.Evicted: wellknown.Evicted, nodesim.Preempted: wellknown.Preempted, nodesim.Drained: wellknown.Drained,
	nodesim.Stopped: wellknown.Stopped, nodesim.NeverRan: wellknown.NeverRan}

func (n *Node) effect(x *nodesim.Effect) {
	switch x.Kind {
	case nodesim.Answered:
		k := key(x.UID, x.Attempt)
		waiting := n.pending[k]
		delete(n.pending, k)
		for _, ex := range waiting {
			n.answer(ex, x)
		}
	case nodesim.Changed:
		t := x.Task
		p := n.show(t)
		n.st.Put(store.Pods, p)
		tap := audit.Event{UID: t.UID, Attempt: t.Attempt, Scheduler: p.Labels[wellknown.Scheduler], Class: p.Labels[wellknown.Class], Service: t.Service,
			Reason: reasons[t.Reason]}
		switch t.Phase {
		case nodesim.Accepted:
			tap.What = audit.Accepted
		case nodesim.Running:
			tap.What = audit.Started
		default:
			tap.What = audit.Ended
		}
		n.tap(tap)
	case nodesim.Forgotten:
		p := x.Task.Payload.(*corev1.Pod)
		n.st.Delete(store.Pods, p.Namespace, p.Name)
	case nodesim.Fell:
		n.tap(audit.Event{What: audit.Fell})
		n.down(30)
	}
}

// show is the Pod of a task as it stands.
func (n *Node) show(t *nodesim.Task) *corev1.Pod { return simulation.Show(t, n.o.Name) }

func (n *Node) answer(ex *httpd.Exchange, x *nodesim.Effect) {
	now := n.l.Now()
	if x.Task != nil && now < n.faults.LoseAnswer {
		ex.Reset()
		return
	}
	resp := n.refusal(x.Reason)
	if x.Task != nil {
		p := n.show(x.Task)
		if o := n.st.Get(store.Pods, p.Namespace, p.Name); o != nil {
			p.ResourceVersion = o.GetResourceVersion()
		} else {
			p.ResourceVersion = strconv.FormatInt(n.st.Rev(), 10)
		}
		b, _ := json.Marshal(p)
		resp = http1.Response{Status: 201, Body: b}
	} else {
		n.tap(audit.Event{What: audit.Refused, UID: x.UID, Attempt: x.Attempt, Reason: reasons[x.Reason]})
	}
	n.respond(ex, resp)
}

func (n *Node) respond(ex *httpd.Exchange, resp http1.Response) {
	resp.Header = append(resp.Header, http1.Field{Name: "Content-Type", Value: "application/json"},
		http1.Field{Name: wellknown.LoadHeader, Value: n.load}, http1.Field{Name: wellknown.IncarnationHeader, Value: n.boot})
	if n.l.Now() < n.faults.Trickle {
		n.l.After(0.05, func() {
			ex.Respond(http1.Response{Status: resp.Status, Header: resp.Header, Stream: &slow{l: n.l, rest: resp.Body}})
		})
		n.drip()
		return
	}
	ex.Respond(resp)
}

// slow is a body that trickles: a few bytes every twentieth of a second.
type slow struct {
	l    *eventloop.Loop
	rest []byte
	last float64
}

const dripEvery, dripBytes = 0.05, 64

// Pull implements http1.Stream.
func (s *slow) Pull(b []byte, _ int) ([]byte, bool) {
	if now := s.l.Now(); now >= s.last+dripEvery*0.9 {
		n := min(len(s.rest), dripBytes)
		b, s.rest, s.last = append(b, s.rest[:n]...), s.rest[n:], now
	}
	return b, len(s.rest) == 0
}

// Stopped implements http1.Stream.
func (s *slow) Stopped() {}

// drip keeps trickling answers going.
func (n *Node) drip() {
	if n.dripping {
		return
	}
	n.dripping = true
	var again func()
	again = func() {
		if n.m == nil {
			n.dripping = false
			return
		}
		n.http.Kick()
		if n.dripping = n.l.Now() < n.faults.Trickle+5; n.dripping {
			n.l.After(dripEvery, again)
		}
	}
	n.l.After(dripEvery, again)
}

func status(code int, reason, message string) http1.Response {
	b, _ := json.Marshal(&metav1.Status{TypeMeta: metav1.TypeMeta{Kind: "Status", APIVersion: "v1"}, Status: metav1.StatusFailure,
		Code: int32(code), Reason: metav1.StatusReason(reason), Message: message})
	return http1.Response{Status: code, Body: b}
}

func (n *Node) refusal(r nodesim.Reason) http1.Response {
	switch r {
	case nodesim.InsufficientCores:
		return status(409, wellknown.OutOfCPU, "Node didn't have enough resource: cpu")
	case nodesim.InsufficientMemory:
		return status(409, wellknown.OutOfMemory, "Node didn't have enough resource: memory")
	case nodesim.QueueFull:
		return status(429, wellknown.QueueFull, "too many offers wait")
	}
	return status(409, wellknown.WrongNode, "the machine drains, or this attempt was given up")
}

func (n *Node) serve(x *httpd.Exchange) {
	now := n.l.Now()
	if n.m == nil || now < n.cutUntil {
		x.Reset()
		return
	}
	path, _, _ := strings.Cut(x.Head.Target, "?")
	parts := strings.Split(strings.Trim(path, "/"), "/")
	pods := len(parts) >= 5 && parts[0] == "api" && parts[2] == "namespaces" && parts[4] == "pods"
	switch {
	case x.Head.Method == "PUT" && path == "/heathshed/faults":
		var f fault.Node
		if err := json.Unmarshal(x.Body, &f); err != nil {
			n.respond(x, status(400, "BadRequest", "faults: "+err.Error()))
			return
		}
		x.Respond(http1.Response{Status: 204})
		n.Fault(f)
	case pods && len(parts) == 5 && x.Head.Method == "POST":
		n.offer(x)
	case pods && len(parts) == 6 && x.Head.Method == "DELETE":
		n.stop(x)
	default:
		n.m.Tick(now)
		n.after()
		resp := n.api.Serve(now, &x.Request)
		resp.Header = append(resp.Header, http1.Field{Name: wellknown.IncarnationHeader, Value: n.boot},
			http1.Field{Name: wellknown.LoadHeader, Value: n.load})
		x.Respond(resp)
	}
}

func (n *Node) offer(x *httpd.Exchange) {
	now := n.l.Now()
	p := &corev1.Pod{}
	attempt, err := strconv.Atoi(x.Head.Header.Get(wellknown.AttemptHeader))
	if err == nil {
		err = json.Unmarshal(x.Body, p)
	}
	if err != nil || p.UID == "" || p.Name == "" || p.Namespace == "" {
		n.respond(x, status(400, "BadRequest", "want a Pod with uid, name and namespace, and the attempt's number in "+wellknown.AttemptHeader))
		return
	}
	if p.Labels == nil {
		p.Labels = map[string]string{}
	}
	if p.Annotations == nil {
		p.Annotations = map[string]string{}
	}
	class := p.Labels[wellknown.Class]
	n.tap(audit.Event{What: audit.Offered, UID: string(p.UID), Attempt: attempt, Scheduler: p.Labels[wellknown.Scheduler], Class: class,
		Service: p.Namespace + "/" + service(p)})
	hungUp := audit.Event{What: audit.HungUp, UID: string(p.UID), Attempt: attempt}
	if now < n.faults.Reset {
		n.tap(hungUp)
		x.Reset()
		return
	}
	if n.faults.Errs(now, class) {
		n.tap(hungUp)
		n.respond(x, status(500, "InternalError", "the machine fails"))
		return
	}
	c, m := wellknown.Requests(&p.Spec)
	o := nodesim.Offer{UID: string(p.UID), Attempt: attempt, Service: p.Namespace + "/" + service(p), Cores: c, Memory: m,
		Priority: n.o.Priorities[class], Payload: p}
	if v, err := strconv.ParseFloat(p.Annotations[wellknown.Lifetime], 64); err == nil && v > 0 && v < 1e7 {
		o.Life = v
	} else {
		o.Life = n.o.Lives[class]
	}
	k := key(o.UID, attempt)
	x.OnGone = func() { n.tap(hungUp) }
	n.pending[k] = append(n.pending[k], x)
	n.m.Offer(now, o)
	n.after()
}

func service(p *corev1.Pod) string {
	if s := p.Labels[wellknown.Service]; s != "" {
		return s
	}
	return p.Labels[wellknown.JobName]
}

func (n *Node) stop(x *httpd.Exchange) {
	var d metav1.DeleteOptions
	attempt, err := strconv.Atoi(x.Head.Header.Get(wellknown.AttemptHeader))
	if err == nil {
		err = json.Unmarshal(x.Body, &d)
	}
	if err != nil || d.Preconditions == nil || d.Preconditions.UID == nil {
		n.respond(x, status(400, "BadRequest", "want preconditions.uid and "+wellknown.AttemptHeader))
		return
	}
	uid := string(*d.Preconditions.UID)
	had, ran := n.m.Stop(n.l.Now(), uid, attempt)
	if !had {
		n.tap(audit.Event{What: audit.Sealed, UID: uid, Attempt: attempt})
	}
	n.after()
	if !had {
		n.respond(x, status(404, "NotFound", "no such Pod; this attempt will not be taken any more"))
		return
	}
	p := &corev1.Pod{}
	p.UID = types.UID(uid)
	p.Status.Phase, p.Status.Reason = corev1.PodFailed, wellknown.Stopped
	if !ran {
		p.Status.Reason = wellknown.NeverRan
	}
	b, _ := json.Marshal(p)
	n.respond(x, http1.Response{Status: 200, Body: b})
}

// Fault makes the machine faulty, or well again.
func (n *Node) Fault(f fault.Node) {
	now := n.l.Now()
	n.faults.Order(now, f)
	if n.m != nil && f.Stall != 0 {
		n.m.StallUntil(now + f.Stall)
	}
	if f.Cut > 0 {
		n.cutUntil = now + f.Cut
		n.http.Close()
		n.l.After(f.Cut, func() {
			if n.m != nil && n.l.Now() >= n.cutUntil-0.001 {
				n.relisten()
			}
		})
	}
	if f.Drain != nil && n.m != nil {
		if *f.Drain {
			n.m.Drain(now)
		} else {
			n.m.Undrain(now)
		}
		n.after()
	}
	if f.Crash > 0 {
		n.tap(audit.Event{What: audit.Crashed})
		n.down(f.Crash)
	}
}

func (n *Node) relisten() {
	opt := httpd.DefaultOptions()
	opt.IdleWithin = 600
	srv, err := httpd.Listen(n.l, n.addr, opt, n.serve)
	if err != nil {
		n.l.After(0.1, func() {
			if n.m != nil {
				n.relisten()
			}
		})
		return
	}
	n.http = srv
}

// down ends this life; another, cold one begins after so many seconds.
func (n *Node) down(d float64) {
	if n.m == nil {
		return
	}
	n.m = nil
	n.timer.Stop()
	n.http.Close()
	var again func()
	again = func() {
		if n.stopped || n.m != nil {
			return
		}
		if err := n.up(true); err != nil {
			n.m = nil
			n.l.After(0.1, again)
		}
	}
	n.l.After(d, again)
}

// Stop takes the machine away for good.
func (n *Node) Stop() {
	n.stopped = true
	if n.m != nil {
		n.m = nil
		n.timer.Stop()
		n.http.Close()
	}
}
