// Package model runs schedulers, machines and an inventory in simulated time: the very engine and placer that the sockets run, the
// very machines that the stand-ins run, links with latency and loss between them, and the same plans of load and trouble.
//
// It is pure: the same configuration and plan give the same events, whatever the machine it runs on.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/resource"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/audit"
	"heathshed/internal/emulator/fault"
	"heathshed/internal/engine"
	"heathshed/internal/nodesim"
	"heathshed/internal/scenario"
	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// NodeConfig is one machine of the model.
type NodeConfig struct {
	scenario.Node
	Sim nodesim.Config
}

// Config is a world. Times are in seconds.
type Config struct {
	Seed                  uint64
	Schedulers            []engine.Config
	Nodes                 []NodeConfig
	Priorities            map[string]int
	LinkMin, LinkMax      float64 // one way
	ConnectWithin         float64
	Beat                  float64 // between reports of a machine to the inventory
	Late                  float64 // of the inventory
	SilentAfter           float64
	LoseAnswer, LoseOffer float64 // chances that a connection breaks after or before the machine reads an offer
	Start                 float64 // Unix seconds
	KeepEvents            bool    // keep what passed for the auditor
	Classes               map[string]audit.Class
	DrainGrace            float64
	Each                  func(w *World, scheduler int) // called after every call of an engine, for invariants
}

// World is a run.
type World struct {
	cfg    Config
	rng    *rand.Rand
	now    float64
	queue  events
	seq    int
	scheds []*sched
	nodes  []*node
	byName map[string]*node
	// list is what the inventory shows.
	list    map[string]*listed
	invCut  float64
	Events  []audit.Event
	steps   int
	pulled  int
	Latency []float64 // from a task's creation to its placing, seconds
	Asked   []float64 // when the task of each Latency was created
	Created []float64 // when each task was created
}

type event struct {
	at  float64
	seq int
	fn  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

type listed struct {
	o     *corev1.Node
	ready bool
	seen  float64
}

// sched is one scheduler, or a place where one was killed.
type sched struct {
	w      *World
	i      int
	cfg    engine.Config
	e      *engine.Engine
	life   int
	wake   float64
	shown  int64
	follow map[string]*follower
	calls  map[string]bool // offers under way, by uid and attempt; false once abandoned
	asked  map[types.UID]float64
	told   map[types.UID]bool
	synced bool // has the list
	inv    float64
}

// follower is a scheduler's watch on the Pods of a machine.
type follower struct {
	s    *sched
	n    *node
	life int     // of the machine
	last float64 // when the last event arrives: they keep their order
	on   bool
	gone bool
}

type node struct {
	w       *World
	cfg     NodeConfig
	m       *nodesim.Node
	life    int
	boot    string
	started float64
	rev     int64
	wake    float64
	pods    map[string]*corev1.Pod
	watch   []*follower
	waiting map[string]func(*nodesim.Effect)

	faults fault.State
	cut    float64
}

// New makes a world at its start: machines are up and known, schedulers begin.
func New(cfg Config) (*World, error) {
	if cfg.ConnectWithin <= 0 {
		cfg.ConnectWithin = 1
	}
	if cfg.Beat <= 0 {
		cfg.Beat = 0.5
	}
	if cfg.SilentAfter <= 0 {
		cfg.SilentAfter = 2
	}
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d6f64656c)), now: cfg.Start, byName: map[string]*node{},
		list: map[string]*listed{}}
	for i := range cfg.Nodes {
		n := &node{w: w, cfg: cfg.Nodes[i]}
		w.nodes = append(w.nodes, n)
		w.byName[n.cfg.Name] = n
		n.up(n.cfg.Sim.Cold)
		w.list[n.cfg.Name] = &listed{o: n.object(), ready: true, seen: w.now}
		w.tap(audit.Event{What: audit.ListedReady, Node: n.cfg.Name})
		w.after(cfg.Beat*w.rng.Float64(), n.beat)
	}
	for i := range cfg.Schedulers {
		s := &sched{w: w, i: i, cfg: cfg.Schedulers[i]}
		w.scheds = append(w.scheds, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	w.after(0.25, w.checkSilent)
	return w, nil
}

// Now is the simulated time, Steps the number of events so far.
func (w *World) Now() float64 { return w.now }

// Steps is the number of events so far.
func (w *World) Steps() int { return w.steps }

// Engine is the engine of a scheduler, nil while it is down.
func (w *World) Engine(i int) *engine.Engine { return w.scheds[i].e }

func (w *World) after(d float64, fn func()) { w.at(w.now+max(d, 0), fn) }

func (w *World) at(at float64, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{max(at, w.now), w.seq, fn})
}

func (w *World) tap(ev audit.Event) {
	if w.cfg.KeepEvents {
		ev.At = w.now
		w.Events = append(w.Events, ev)
	}
}

func (w *World) link() float64 {
	return w.cfg.LinkMin + (w.cfg.LinkMax-w.cfg.LinkMin)*w.rng.Float64()
}

// Run carries out a plan whose times count from now, and goes on for so many seconds.
func (w *World) Run(plan []scenario.Action, seconds float64) {
	start := w.now
	for i := range plan {
		a := &plan[i]
		w.at(start+a.At, func() { w.act(a) })
	}
	end := start + seconds
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.fn()
	}
	w.now = end
}

func (w *World) act(a *scenario.Action) {
	switch a.Do {
	case scenario.Submit:
		w.submit(a.Job, 0)
	case scenario.Delete:
		if s := w.scheds[a.Job.Scheduler]; s.e != nil {
			s.e.DeleteJob(w.now, a.Job.Namespace, a.Job.Name, "", "", "")
			s.after()
		}
	case scenario.Fault:
		w.byName[a.Node].fault(a.Faults)
	case scenario.Inventory:
		w.invCut = w.now + a.Cut
		w.tap(audit.Event{What: audit.CutOff})
		w.after(a.Cut, func() {
			if w.now >= w.invCut {
				w.tap(audit.Event{What: audit.CutOver})
				for _, s := range w.scheds {
					s.relist()
				}
			}
		})
		for _, s := range w.scheds {
			if s.e != nil {
				s.e.NodesListed(w.now, engine.ListLost, nil, nil)
				s.after()
			}
		}
	case scenario.Kill:
		s := w.scheds[a.Scheduler]
		s.kill()
		w.after(a.For, func() {
			if s.e == nil {
				s.start()
			}
		})
	case scenario.Drain, scenario.Undrain:
		for _, s := range w.scheds {
			if s.e == nil {
				continue
			}
			if o, ok := s.e.Store().Get(store.Nodes, "", a.Node).(*corev1.Node); ok {
				order := a.Do == scenario.Drain
				if _, err := s.e.UpdateNode(w.now, o.DeepCopy(), &order, false); err == nil {
					what := audit.Told
					if a.Do == scenario.Undrain {
						what = audit.Undrained
					}
					w.tap(audit.Event{What: what, Scheduler: s.cfg.Name, Node: a.Node})
				}
				s.after()
			}
		}
	}
}

// submit posts a Job; while its scheduler is down or not ready the client tries again.
func (w *World) submit(j *scenario.Job, tries int) {
	s := w.scheds[j.Scheduler]
	if s.e == nil || !s.ready() {
		if tries < 100 {
			w.after(0.5, func() { w.submit(j, tries+1) })
		}
		return
	}
	_, err := s.e.CreateJob(w.now, Job(j), false)
	if err == engine.ErrTooMany && tries < 100 {
		w.after(1, func() { w.submit(j, tries+1) })
	}
	s.after()
}

// Job is a Job of a plan as the API has it.
func Job(j *scenario.Job) *batchv1.Job {
	n, backoff := int32(j.Tasks), int32(j.Backoff)
	o := &batchv1.Job{}
	o.Name, o.Namespace = j.Name, j.Namespace
	o.Spec.Parallelism, o.Spec.Completions, o.Spec.BackoffLimit = &n, &n, &backoff
	t := &o.Spec.Template
	t.Labels = map[string]string{wellknown.Class: j.Class, wellknown.Service: j.Service}
	t.Annotations = map[string]string{wellknown.Lifetime: strconv.FormatFloat(j.Life, 'f', 3, 64)}
	t.Spec.RestartPolicy = corev1.RestartPolicyNever
	t.Spec.Containers = []corev1.Container{{Name: "main", Image: "stand-in", Resources: corev1.ResourceRequirements{Requests: corev1.ResourceList{
		corev1.ResourceCPU:    *resource.NewMilliQuantity(int64(j.Cores*1000), resource.DecimalSI),
		corev1.ResourceMemory: *resource.NewQuantity(int64(j.Memory*wellknown.Gibibyte), resource.BinarySI)}}}}
	return o
}

// ---- schedulers ----

func (s *sched) start() error {
	s.life++
	c := s.cfg
	c.Seed += uint64(s.life) * 1000003
	c.BaseRev = int64(s.w.now * 1e6)
	e, err := engine.New(c)
	if err != nil {
		return err
	}
	s.e, s.wake, s.shown, s.synced = e, math.Inf(1), c.BaseRev, false
	s.follow, s.calls = map[string]*follower{}, map[string]bool{}
	s.asked, s.told = map[types.UID]float64{}, map[types.UID]bool{}
	s.after()
	s.relist()
	return nil
}

func (s *sched) kill() {
	if s.e == nil {
		return
	}
	s.w.tap(audit.Event{What: audit.Killed, Scheduler: s.cfg.Name})
	s.e = nil
	for _, f := range s.follow {
		f.gone = true
	}
}

func (s *sched) ready() bool {
	listed, heard := s.e.NodeHeartbeat()
	return s.synced && listed > 0 && (heard == listed || s.w.now > s.inv+5)
}

// relist brings the whole list, after a moment.
func (s *sched) relist() {
	life := s.life
	s.w.after(s.w.link()*2, func() {
		if s.e == nil || s.life != life {
			return
		}
		if s.w.now < s.w.invCut {
			return // the end of the cut brings it
		}
		if !s.synced {
			s.synced, s.inv = true, s.w.now
		}
		var nodes []*corev1.Node
		for _, n := range s.w.nodes {
			if l := s.w.list[n.cfg.Name]; l != nil {
				nodes = append(nodes, l.shown())
			}
		}
		s.e.NodesListed(s.w.now, engine.FullList, nodes, nil)
		s.after()
	})
}

func (l *listed) shown() *corev1.Node {
	if l.ready {
		return l.o
	}
	o := l.o.DeepCopy()
	o.Status.Conditions[0].Status = corev1.ConditionUnknown
	return o
}

// after carries out what the engine wants and looks at what clients see.
func (s *sched) after() {
	w := s.w
	for s.e != nil {
		effects := s.e.Ready(nil)
		if len(effects) == 0 {
			break
		}
		for i := range effects {
			s.carryOut(&effects[i])
		}
	}
	if s.e == nil {
		return
	}
	if w.cfg.Each != nil {
		w.cfg.Each(w, s.i)
	}
	s.look()
	if at := s.e.NextWake(); at < s.wake {
		s.wake = at
		life := s.life
		w.at(at, func() {
			if s.e != nil && s.life == life && s.wake <= w.now {
				s.wake = math.Inf(1)
				s.e.Tick(w.now)
				s.after()
			}
		})
	}
}

// look is a client's watch on Pods.
func (s *sched) look() {
	st := s.e.Store()
	for s.shown < st.Rev() {
		changes, err := st.Since(store.Pods, s.shown, 1000)
		if err != nil {
			panic("model: the watch fell behind: " + err.Error())
		}
		if len(changes) == 0 {
			s.shown = st.Rev()
			break
		}
		for _, c := range changes {
			s.shown = c.Rev
			p := c.Object.(*corev1.Pod)
			uid := p.UID
			if _, ok := s.asked[uid]; !ok && c.Op == store.Added {
				s.asked[uid] = s.w.now
				s.w.Created = append(s.w.Created, s.w.now)
				if wellknown.SettledOf(p) == "" {
					s.w.tap(audit.Event{What: audit.Asked, UID: string(uid), Scheduler: s.cfg.Name, Class: p.Labels[wellknown.Class],
						GiveUp: wellknown.Seconds(p.Annotations[wellknown.GiveUpAt])})
				} else {
					s.told[uid] = true // found running after a restart: its outcome was told before
				}
			}
			if r := wellknown.SettledOf(p); r != "" && !s.told[uid] {
				s.told[uid] = true
				s.w.tap(audit.Event{What: audit.Settled, UID: string(uid), Scheduler: s.cfg.Name, Reason: r})
				if r == wellknown.Placed {
					s.w.Latency = append(s.w.Latency, s.w.now-s.asked[uid])
					s.w.Asked = append(s.w.Asked, s.asked[uid])
				}
			}
			if c.Op == store.Deleted {
				if !s.told[uid] {
					s.w.tap(audit.Event{What: audit.Withdrawn, UID: string(uid), Scheduler: s.cfg.Name})
				}
				delete(s.asked, uid)
				delete(s.told, uid)
			}
		}
	}
}

func (s *sched) carryOut(x *engine.Effect) {
	switch x.Kind {
	case engine.SendAttempt:
		s.sendOffer(x)
	case engine.AbandonAttempt:
		k := key(string(x.UID), x.Attempt)
		if _, ok := s.calls[k]; ok {
			s.calls[k] = false
			s.w.tap(audit.Event{What: audit.HungUp, UID: string(x.UID), Attempt: x.Attempt, Node: x.Node})
		}
	case engine.StopTask:
		s.stopTask(x)
	case engine.WatchNode:
		if f := s.follow[x.Node]; f != nil {
			f.gone = true
		}
		f := &follower{s: s, n: s.w.byName[x.Node]}
		s.follow[x.Node] = f
		f.connect()
	case engine.UnwatchNode:
		if f := s.follow[x.Node]; f != nil {
			f.gone = true
			delete(s.follow, x.Node)
		}
	case engine.RelistNodes:
		s.relist()
	}
}

func key(uid string, attempt int) string { return uid + "/" + strconv.Itoa(attempt) }

// sendOffer brings an offer over a link to a machine, and the answer back.
func (s *sched) sendOffer(x *engine.Effect) {
	w, n, life := s.w, s.w.byName[x.Node], s.life
	k := key(string(x.UID), x.Attempt)
	s.calls[k] = true
	ans := engine.AttemptAnswer{UID: x.UID, Attempt: x.Attempt, Node: x.Node}
	done := func(d float64, a engine.AttemptAnswer) {
		w.after(d, func() {
			if s.e == nil || s.life != life {
				return
			}
			if !s.calls[k] && a.Accepted {
				a.Accepted, a.Result = false, placer.Lost // the connection was closed here before
			}
			delete(s.calls, k)
			s.e.AttemptDone(w.now, a)
			s.after()
		})
	}
	pod := x.Pod
	w.after(w.link(), func() {
		switch {
		case n.m == nil:
			ans.Result = placer.Unreachable
			done(w.link(), ans)
			return
		case w.now < n.cut:
			ans.Result = placer.Unreachable
			done(w.cfg.ConnectWithin, ans)
			return
		}
		class := pod.Labels[wellknown.Class]
		w.tap(audit.Event{What: audit.Offered, Node: n.cfg.Name, Rack: n.cfg.Rack, Zone: n.cfg.Zone, UID: string(x.UID), Attempt: x.Attempt,
			Class: class, Service: pod.Namespace + "/" + pod.Labels[wellknown.Service], Scheduler: s.cfg.Name})
		hungUp := func(r placer.Result) {
			w.tap(audit.Event{What: audit.HungUp, Node: n.cfg.Name, UID: string(x.UID), Attempt: x.Attempt})
			ans.Result = r
			done(w.link(), ans)
		}
		switch {
		case w.now < n.faults.Reset || w.rng.Float64() < w.cfg.LoseOffer:
			hungUp(placer.Lost)
			return
		case n.faults.Errs(w.now, class):
			hungUp(placer.Errored)
			return
		}
		n.waiting[k] = func(e *nodesim.Effect) {
			d := w.link()
			if w.now < n.faults.Trickle {
				d++
			}
			if e == nil || e.Task != nil && (w.now < n.faults.LoseAnswer || w.rng.Float64() < w.cfg.LoseAnswer) {
				hungUp(placer.Lost)
				return
			}
			a := ans
			a.Incarnation = n.boot
			c, m := n.m.Unused()
			a.Report = &placer.Report{FreeCores: c, FreeMemory: m, Utilization: n.m.Busy(), QueueLength: float64(n.m.Waiting())}
			if e.Task != nil {
				a.Accepted, a.Rev = true, n.rev
			} else {
				a.Result, a.Reason = placer.Rejected, refusals[e.Reason]
				w.tap(audit.Event{What: audit.Refused, Node: n.cfg.Name, UID: string(x.UID), Attempt: x.Attempt, Reason: fmt.Sprint(e.Reason)})
			}
			done(d, a)
		}
		life, _ := strconv.ParseFloat(pod.Annotations[wellknown.Lifetime], 64)
		cores, mem := wellknown.Requests(&pod.Spec)
		n.m.Offer(w.now, nodesim.Offer{UID: string(x.UID), Attempt: x.Attempt, Service: pod.Namespace + "/" + pod.Labels[wellknown.Service],
			Cores: cores, Memory: mem, Priority: w.cfg.Priorities[class], Life: life, Payload: pod})
		n.after()
	})
}

var refusals = map[nodesim.Reason]placer.Reason{nodesim.InsufficientCores: placer.InsufficientCores, nodesim.InsufficientMemory: placer.InsufficientMemory,
	nodesim.QueueFull: placer.QueueFull, nodesim.WrongNode: placer.WrongNode}

func (s *sched) stopTask(x *engine.Effect) {
	w, n, life := s.w, s.w.byName[x.Node], s.life
	ans := engine.StopAnswer{UID: x.UID, Node: x.Node, Attempt: x.Attempt}
	back := func(d float64) {
		w.after(d, func() {
			if s.e != nil && s.life == life {
				s.e.StopDone(w.now, ans)
				s.after()
			}
		})
	}
	w.after(w.link(), func() {
		if n.m == nil || w.now < n.cut {
			back(w.cfg.ConnectWithin)
			return
		}
		ans.Known, ans.Incarnation = true, n.boot
		ans.Had, ans.Ran = n.m.Stop(w.now, string(x.UID), x.Attempt)
		if !ans.Had {
			w.tap(audit.Event{What: audit.Sealed, Node: n.cfg.Name, UID: string(x.UID), Attempt: x.Attempt})
		}
		n.after()
		back(w.link())
	})
}

// ---- watches on machines ----

func (f *follower) connect() {
	w := f.s.w
	life := f.s.life
	w.after(w.link()*2, func() {
		if f.gone || f.s.e == nil || f.s.life != life {
			return
		}
		if f.n.m == nil || w.now < f.n.cut {
			w.after(0.1+0.9*w.rng.Float64(), f.connect)
			return
		}
		f.on, f.life = true, f.n.life
		f.n.watch = append(f.n.watch, f)
		var pods []*corev1.Pod
		names := make([]string, 0, len(f.n.pods))
		for uid, p := range f.n.pods {
			if p.Labels[wellknown.Scheduler] == f.s.cfg.Name {
				names = append(names, uid)
			}
		}
		sort.Strings(names)
		for _, uid := range names {
			pods = append(pods, f.n.pods[uid])
		}
		boot, rev := f.n.boot, f.n.rev
		f.send(func() { f.s.e.NodePods(w.now, f.n.cfg.Name, boot, rev, pods) })
	})
}

// send brings an event to the scheduler, in order.
func (f *follower) send(fn func()) {
	w, life := f.s.w, f.s.life
	f.last = max(f.last, w.now+w.link())
	w.at(f.last, func() {
		if !f.gone && f.s.e != nil && f.s.life == life {
			fn()
			f.s.after()
		}
	})
}

// broken ends a watch; the scheduler connects again.
func (f *follower) broken() {
	f.on = false
	f.send(func() {
		f.s.e.NodeUnresponsive(f.s.w.now, f.n.cfg.Name)
		f.s.w.after(0.1, f.connect)
	})
}

// ---- machines ----

func (n *node) up(cold bool) {
	w := n.w
	n.life++
	c := n.cfg.Sim
	c.Cold, c.Seed = cold, c.Seed+uint64(n.life)*7919
	n.m = nodesim.New(c, w.now)
	n.boot = fmt.Sprintf("%s-%d", n.cfg.Name, n.life)
	n.started = 0
	if cold {
		n.started = w.now
	}
	n.rev = int64(w.now * 1e6)
	n.wake = math.Inf(1)
	n.pods, n.waiting = map[string]*corev1.Pod{}, map[string]func(*nodesim.Effect){}
	n.m.Refuse = func(*nodesim.Offer) nodesim.Reason {
		if w.now < n.faults.Refuse {
			return nodesim.InsufficientCores
		}
		return nodesim.None
	}
	w.tap(audit.Event{What: audit.Up, Node: n.cfg.Name})
	n.after()
}

func (n *node) down(d float64) {
	if n.m == nil {
		return
	}
	waiting := n.waiting
	n.m, n.waiting = nil, nil
	keys := make([]string, 0, len(waiting))
	for k := range waiting {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		waiting[k](nil)
	}
	n.breakWatches()
	n.w.after(d, func() {
		if n.m == nil {
			n.up(true)
		}
	})
}

func (n *node) breakWatches() {
	watch := n.watch
	n.watch = nil
	for _, f := range watch {
		if !f.gone {
			f.broken()
		}
	}
}

func (n *node) after() {
	for n.m != nil {
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
	if at := n.m.NextWake(); at < n.wake {
		n.wake = at
		life := n.life
		n.w.at(at, func() {
			if n.m != nil && n.life == life && n.wake <= n.w.now {
				n.wake = math.Inf(1)
				n.m.Tick(n.w.now)
				n.after()
			}
		})
	}
}

func (n *node) effect(x *nodesim.Effect) {
	switch x.Kind {
	case nodesim.Answered:
		k := key(x.UID, x.Attempt)
		if f := n.waiting[k]; f != nil {
			delete(n.waiting, k)
			f(x)
		}
	case nodesim.Changed:
		t := x.Task
		p := Show(t, n.cfg.Name)
		n.rev++
		p.ResourceVersion = strconv.FormatInt(n.rev, 10)
		n.pods[t.UID] = p
		what := audit.Ended
		switch t.Phase {
		case nodesim.Accepted:
			what = audit.Accepted
		case nodesim.Running:
			what = audit.Started
		}
		n.w.tap(audit.Event{What: what, Node: n.cfg.Name, UID: t.UID, Attempt: t.Attempt, Reason: p.Status.Reason})
		n.tell(p, false)
	case nodesim.Forgotten:
		p := n.pods[x.Task.UID]
		delete(n.pods, x.Task.UID)
		n.rev++
		n.tell(p, true)
	case nodesim.Fell:
		n.w.tap(audit.Event{What: audit.Fell, Node: n.cfg.Name})
		n.down(30)
	}
}

func (n *node) tell(p *corev1.Pod, deleted bool) {
	for _, f := range n.watch {
		if f.on && !f.gone && f.s.cfg.Name == p.Labels[wellknown.Scheduler] {
			f.send(func() { f.s.e.NodePod(n.w.now, n.cfg.Name, p, deleted) })
		}
	}
}

var phases = map[nodesim.Phase]corev1.PodPhase{nodesim.Accepted: corev1.PodPending, nodesim.Running: corev1.PodRunning,
	nodesim.Succeeded: corev1.PodSucceeded, nodesim.Ended: corev1.PodFailed}

var ends = map[nodesim.Reason]string{nodesim.Evicted: wellknown.Evicted, nodesim.Preempted: wellknown.Preempted, nodesim.Drained: wellknown.Drained,
	nodesim.Stopped: wellknown.Stopped, nodesim.NeverRan: wellknown.NeverRan}

// Show is the Pod of a machine's task as the machine shows it. The task's payload must be the Pod that was offered.
func Show(t *nodesim.Task, name string) *corev1.Pod {
	was := t.Payload.(*corev1.Pod)
	p := &corev1.Pod{ObjectMeta: *was.ObjectMeta.DeepCopy(), Spec: was.Spec}
	p.Spec.NodeName = name
	if p.Annotations == nil {
		p.Annotations = map[string]string{}
	}
	p.Annotations[wellknown.AttemptAnnotation] = strconv.Itoa(t.Attempt)
	if t.Phase == nodesim.Running {
		p.Annotations[wellknown.Use] = wellknown.FormatDict("cores", t.UseCores, "memory", t.UseMemory)
	}
	p.Status = corev1.PodStatus{Phase: phases[t.Phase], Reason: ends[t.Reason]}
	return p
}

// beat reports to the inventory, which shows it late.
func (n *node) beat() {
	w := n.w
	w.after(w.cfg.Beat, n.beat)
	if n.m == nil {
		return
	}
	n.m.Tick(w.now)
	n.after()
	if n.m == nil {
		return
	}
	o := n.object()
	seen := w.now
	w.after(w.cfg.Late, func() { w.report(o, seen) })
}

func (w *World) report(o *corev1.Node, seen float64) {
	l := w.list[o.Name]
	if l == nil {
		l = &listed{}
		w.list[o.Name] = l
	}
	was := l.o
	l.seen = max(l.seen, seen)
	if l.ready && was != nil && was.Annotations[wellknown.Free] == o.Annotations[wellknown.Free] && was.Status.NodeInfo.BootID == o.Status.NodeInfo.BootID &&
		was.Spec.Unschedulable == o.Spec.Unschedulable {
		return
	}
	if !l.ready || was == nil || was.Spec.Unschedulable != o.Spec.Unschedulable {
		what := audit.ListedReady
		if o.Spec.Unschedulable {
			what = audit.ListedDraining
		}
		w.tap(audit.Event{What: what, Node: o.Name})
	}
	l.o, l.ready = o, true
	w.push(l)
}

// push shows a change to every scheduler that follows the inventory.
func (w *World) push(l *listed) {
	if w.now < w.invCut {
		return
	}
	o := l.shown()
	for _, s := range w.scheds {
		life := s.life
		if s.e == nil || !s.synced {
			continue
		}
		w.after(w.cfg.LinkMax, func() {
			if s.e != nil && s.life == life && w.now >= w.invCut {
				s.e.NodesListed(w.now, engine.Changes, []*corev1.Node{o}, nil)
				s.after()
			}
		})
	}
}

// checkSilent shows machines as not ready that have not reported.
func (w *World) checkSilent() {
	w.after(0.25, w.checkSilent)
	for _, n := range w.nodes {
		if l := w.list[n.cfg.Name]; l != nil && l.ready && w.now-l.seen > w.cfg.SilentAfter+w.cfg.Late {
			l.ready = false
			w.tap(audit.Event{What: audit.ListedGone, Node: n.cfg.Name})
			w.push(l)
		}
	}
}

func (n *node) object() *corev1.Node {
	o := &corev1.Node{}
	o.Name, o.UID = n.cfg.Name, types.UID("node-"+n.cfg.Name)
	o.Labels = map[string]string{wellknown.Zone: n.cfg.Zone, wellknown.Rack: n.cfg.Rack, wellknown.Kind: n.cfg.Kind}
	c, m := n.m.Free()
	o.Annotations = map[string]string{wellknown.Free: wellknown.FormatDict("cores", c, "memory", m)}
	if n.started > 0 {
		o.Annotations[wellknown.Started] = wellknown.Instant(n.started + n.faults.Clock)
	}
	o.Spec.Unschedulable = n.m.Draining()
	o.Status.Conditions = []corev1.NodeCondition{{Type: corev1.NodeReady, Status: corev1.ConditionTrue}}
	o.Status.Addresses = []corev1.NodeAddress{{Type: corev1.NodeInternalIP, Address: n.cfg.Name}}
	o.Status.DaemonEndpoints.KubeletEndpoint.Port = 1
	o.Status.NodeInfo.BootID = n.boot
	return o
}

func (n *node) fault(f fault.Node) {
	now := n.w.now
	n.faults.Order(now, f)
	if f.Stall != 0 && n.m != nil {
		n.m.StallUntil(now + f.Stall)
	}
	if f.Cut > 0 {
		n.cut = now + f.Cut
		n.breakWatches()
	}
	if f.Drain != nil && n.m != nil {
		if *f.Drain {
			n.m.Drain(now)
		} else {
			n.m.Undrain(now)
		}
		n.after()
	}
	if f.Crash > 0 && n.m != nil {
		n.w.tap(audit.Event{What: audit.Crashed, Node: n.cfg.Name})
		n.down(f.Crash)
	}
}

// Audit checks what passed.
func (w *World) Audit() audit.Report {
	return audit.Check(audit.Config{Classes: w.cfg.Classes, DrainGrace: w.cfg.DrainGrace, Slack: 0.1}, w.Events)
}
