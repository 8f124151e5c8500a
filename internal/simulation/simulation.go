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
	Seed                            uint64
	Schedulers                      []engine.Config
	Nodes                           []NodeConfig
	Priorities                      map[string]int
	LatencyMin, LatencyMax          float64 // one way
	ConnectTimeout                  float64
	ReportInterval                  float64 // between reports of a machine to the inventory
	ReportDelay                     float64 // of the inventory
	UnresponsiveAfter               float64
	AnswerLossRate, AttemptLossRate float64 // chances that a connection breaks after or before the machine reads an offer
	StartTime                       float64 // Unix seconds
	KeepEvents                      bool    // keep what passed for the auditor
	Classes                         map[string]audit.Class
	DrainGrace                      float64
	AfterEngineCall                 func(w *World, scheduler int) // called after every call of an engine, for invariants
}

// World is a run.
type World struct {
	cfg         Config
	rng         *rand.Rand
	now         float64
	queue       timerHeap
	lastSeq     int
	schedulers  []*scheduler
	nodes       []*node
	nodesByName map[string]*node
	// inventory is what the inventory shows.
	inventory         map[string]*inventoryEntry
	inventoryCutUntil float64
	Events            []audit.Event
	steps             int
	pulled            int
	PlacementLatency  []float64 // from a task's creation to its placing, seconds
	PlacedCreatedAt   []float64 // when the task of each Latency was created
	CreatedAt         []float64 // when each task was created
}

type timer struct {
	at  float64
	seq int
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return e
}

type inventoryEntry struct {
	object     *corev1.Node
	ready      bool
	lastReport float64
}

// scheduler is one scheduler, or a place where one was killed.
type scheduler struct {
	world       *World
	index       int
	cfg         engine.Config
	engine      *engine.Engine
	incarnation int
	wakeAt      float64
	watchedRev  int64
	watches     map[string]*podWatch
	attempts    map[string]bool // offers under way, by uid and attempt; false once abandoned
	created     map[types.UID]float64
	settled     map[types.UID]bool
	synced      bool // has the list
	syncedAt    float64
}

// podWatch is a scheduler's watch on the Pods of a machine.
type podWatch struct {
	scheduler       *scheduler
	node            *node
	nodeIncarnation int     // of the machine
	lastArrival     float64 // when the last event arrives: they keep their order
	established     bool
	cancelled       bool
}

type node struct {
	world       *World
	cfg         NodeConfig
	sim         *nodesim.Node
	incarnation int
	bootID      string
	started     float64
	rev         int64
	wakeAt      float64
	pods        map[string]*corev1.Pod
	watches     []*podWatch
	pending     map[string]func(*nodesim.Effect)

	faults   fault.NodeState
	cutUntil float64
}

// New makes a world at its start: machines are up and known, schedulers begin.
func New(cfg Config) (*World, error) {
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = 1
	}
	if cfg.ReportInterval <= 0 {
		cfg.ReportInterval = 0.5
	}
	if cfg.UnresponsiveAfter <= 0 {
		cfg.UnresponsiveAfter = 2
	}
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d6f64656c)), now: cfg.StartTime, nodesByName: map[string]*node{},
		inventory: map[string]*inventoryEntry{}}
	for i := range cfg.Nodes {
		n := &node{world: w, cfg: cfg.Nodes[i]}
		w.nodes = append(w.nodes, n)
		w.nodesByName[n.cfg.Name] = n
		n.start(n.cfg.Sim.Cold)
		w.inventory[n.cfg.Name] = &inventoryEntry{object: n.object(), ready: true, lastReport: w.now}
		w.record(audit.Event{Kind: audit.ListedReady, Node: n.cfg.Name})
		w.after(cfg.ReportInterval*w.rng.Float64(), n.report)
	}
	for i := range cfg.Schedulers {
		s := &scheduler{world: w, index: i, cfg: cfg.Schedulers[i]}
		w.schedulers = append(w.schedulers, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	w.after(0.25, w.checkUnresponsive)
	return w, nil
}

// Now is the simulated time, Steps the number of events so far.
func (w *World) Now() float64 { return w.now }

// Steps is the number of events so far.
func (w *World) Steps() int { return w.steps }

// Engine is the engine of a scheduler, nil while it is down.
func (w *World) Engine(i int) *engine.Engine { return w.schedulers[i].engine }

func (w *World) after(delay float64, run func()) { w.at(w.now+max(delay, 0), run) }

func (w *World) at(at float64, run func()) {
	w.lastSeq++
	heap.Push(&w.queue, timer{max(at, w.now), w.lastSeq, run})
}

func (w *World) record(ev audit.Event) {
	if w.cfg.KeepEvents {
		ev.At = w.now
		w.Events = append(w.Events, ev)
	}
}

func (w *World) latency() float64 {
	return w.cfg.LatencyMin + (w.cfg.LatencyMax-w.cfg.LatencyMin)*w.rng.Float64()
}

// Run carries out a plan whose times count from now, and goes on for so many seconds.
func (w *World) Run(plan []scenario.Action, seconds float64) {
	start := w.now
	for i := range plan {
		action := &plan[i]
		w.at(start+action.At, func() { w.perform(action) })
	}
	end := start + seconds
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		w.steps++
		next.run()
	}
	w.now = end
}

func (w *World) perform(action *scenario.Action) {
	switch action.Kind {
	case scenario.SubmitJob:
		w.submit(action.Job, 0)
	case scenario.DeleteJob:
		if sched := w.schedulers[action.Job.Scheduler]; sched.engine != nil {
			sched.engine.DeleteJob(w.now, action.Job.Namespace, action.Job.Name, "", "", "")
			sched.process()
		}
	case scenario.InjectNodeFault:
		w.nodesByName[action.Node].injectFault(action.NodeFault)
	case scenario.CutInventory:
		w.inventoryCutUntil = w.now + action.OutageSeconds
		w.record(audit.Event{Kind: audit.DiscoveryLost})
		w.after(action.OutageSeconds, func() {
			if w.now >= w.inventoryCutUntil {
				w.record(audit.Event{Kind: audit.DiscoveryRestored})
				for _, sched := range w.schedulers {
					sched.relist()
				}
			}
		})
		for _, sched := range w.schedulers {
			if sched.engine != nil {
				sched.engine.NodesListed(w.now, engine.ListUnavailable, nil, nil)
				sched.process()
			}
		}
	case scenario.KillScheduler:
		sched := w.schedulers[action.Scheduler]
		sched.kill()
		w.after(action.DowntimeSeconds, func() {
			if sched.engine == nil {
				sched.start()
			}
		})
	case scenario.DrainNode, scenario.UndrainNode:
		for _, sched := range w.schedulers {
			if sched.engine == nil {
				continue
			}
			if object, ok := sched.engine.Store().Get(store.Nodes, "", action.Node).(*corev1.Node); ok {
				unschedulable := action.Kind == scenario.DrainNode
				if _, err := sched.engine.UpdateNode(w.now, object.DeepCopy(), &unschedulable, false); err == nil {
					kind := audit.DrainOrdered
					if action.Kind == scenario.UndrainNode {
						kind = audit.DrainCancelled
					}
					w.record(audit.Event{Kind: kind, Scheduler: sched.cfg.Name, Node: action.Node})
				}
				sched.process()
			}
		}
	}
}

// submit posts a Job; while its scheduler is down or not ready the client tries again.
func (w *World) submit(job *scenario.Job, attempts int) {
	sched := w.schedulers[job.Scheduler]
	if sched.engine == nil || !sched.ready() {
		if attempts < 100 {
			w.after(0.5, func() { w.submit(job, attempts+1) })
		}
		return
	}
	_, err := sched.engine.CreateJob(w.now, NewJob(job), false)
	if err == engine.ErrTooMany && attempts < 100 {
		w.after(1, func() { w.submit(job, attempts+1) })
	}
	sched.process()
}

// NewJob is a Job of a plan as the API has it.
func NewJob(planned *scenario.Job) *batchv1.Job {
	tasks, backoff := int32(planned.Tasks), int32(planned.BackoffLimit)
	job := &batchv1.Job{}
	job.Name, job.Namespace = planned.Name, planned.Namespace
	job.Spec.Parallelism, job.Spec.Completions, job.Spec.BackoffLimit = &tasks, &tasks, &backoff
	template := &job.Spec.Template
	template.Labels = map[string]string{wellknown.Class: planned.Class, wellknown.Service: planned.Service}
	template.Annotations = map[string]string{wellknown.Lifetime: strconv.FormatFloat(planned.Lifetime, 'f', 3, 64)}
	template.Spec.RestartPolicy = corev1.RestartPolicyNever
	template.Spec.Containers = []corev1.Container{{Name: "main", Image: "stand-in", Resources: corev1.ResourceRequirements{Requests: corev1.ResourceList{
		corev1.ResourceCPU:    *resource.NewMilliQuantity(int64(planned.Cores*1000), resource.DecimalSI),
		corev1.ResourceMemory: *resource.NewQuantity(int64(planned.Memory*wellknown.Gibibyte), resource.BinarySI)}}}}
	return job
}

// ---- schedulers ----

func (s *scheduler) start() error {
	s.incarnation++
	cfg := s.cfg
	cfg.Seed += uint64(s.incarnation) * 1000003
	cfg.BaseRevision = int64(s.world.now * 1e6)
	started, err := engine.New(cfg)
	if err != nil {
		return err
	}
	s.engine, s.wakeAt, s.watchedRev, s.synced = started, math.Inf(1), cfg.BaseRevision, false
	s.watches, s.attempts = map[string]*podWatch{}, map[string]bool{}
	s.created, s.settled = map[types.UID]float64{}, map[types.UID]bool{}
	s.process()
	s.relist()
	return nil
}

func (s *scheduler) kill() {
	if s.engine == nil {
		return
	}
	s.world.record(audit.Event{Kind: audit.Killed, Scheduler: s.cfg.Name})
	s.engine = nil
	for _, watch := range s.watches {
		watch.cancelled = true
	}
}

func (s *scheduler) ready() bool {
	listed, synced := s.engine.NodeCounts()
	return s.synced && listed > 0 && (synced == listed || s.world.now > s.syncedAt+5)
}

// relist brings the whole list, after a moment.
func (s *scheduler) relist() {
	incarnation := s.incarnation
	s.world.after(s.world.latency()*2, func() {
		if s.engine == nil || s.incarnation != incarnation {
			return
		}
		if s.world.now < s.world.inventoryCutUntil {
			return // the end of the cut brings it
		}
		if !s.synced {
			s.synced, s.syncedAt = true, s.world.now
		}
		var nodes []*corev1.Node
		for _, n := range s.world.nodes {
			if entry := s.world.inventory[n.cfg.Name]; entry != nil {
				nodes = append(nodes, entry.visible())
			}
		}
		s.engine.NodesListed(s.world.now, engine.FullList, nodes, nil)
		s.process()
	})
}

func (entry *inventoryEntry) visible() *corev1.Node {
	if entry.ready {
		return entry.object
	}
	o := entry.object.DeepCopy()
	o.Status.Conditions[0].Status = corev1.ConditionUnknown
	return o
}

// process carries out what the engine wants and looks at what clients see.
func (s *scheduler) process() {
	w := s.world
	for s.engine != nil {
		effects := s.engine.Ready(nil)
		if len(effects) == 0 {
			break
		}
		for i := range effects {
			s.apply(&effects[i])
		}
	}
	if s.engine == nil {
		return
	}
	if w.cfg.AfterEngineCall != nil {
		w.cfg.AfterEngineCall(w, s.index)
	}
	s.watchPods()
	if at := s.engine.NextWake(); at < s.wakeAt {
		s.wakeAt = at
		incarnation := s.incarnation
		w.at(at, func() {
			if s.engine != nil && s.incarnation == incarnation && s.wakeAt <= w.now {
				s.wakeAt = math.Inf(1)
				s.engine.Tick(w.now)
				s.process()
			}
		})
	}
}

// watchPods is a client's watch on Pods.
func (s *scheduler) watchPods() {
	podStore := s.engine.Store()
	for s.watchedRev < podStore.Rev() {
		changes, err := podStore.Since(store.Pods, s.watchedRev, 1000)
		if err != nil {
			panic("model: the watch fell behind: " + err.Error())
		}
		if len(changes) == 0 {
			s.watchedRev = podStore.Rev()
			break
		}
		for _, change := range changes {
			s.watchedRev = change.Rev
			pod := change.Object.(*corev1.Pod)
			uid := pod.UID
			if _, ok := s.created[uid]; !ok && change.Op == store.Added {
				s.created[uid] = s.world.now
				s.world.CreatedAt = append(s.world.CreatedAt, s.world.now)
				if wellknown.SettledReason(pod) == "" {
					s.world.record(audit.Event{Kind: audit.Submitted, UID: string(uid), Scheduler: s.cfg.Name, Class: pod.Labels[wellknown.Class],
						Deadline: wellknown.ParseTimestamp(pod.Annotations[wellknown.OutcomeDeadline])})
				} else {
					s.settled[uid] = true // found running after a restart: its outcome was told before
				}
			}
			if reason := wellknown.SettledReason(pod); reason != "" && !s.settled[uid] {
				s.settled[uid] = true
				s.world.record(audit.Event{Kind: audit.Settled, UID: string(uid), Scheduler: s.cfg.Name, Reason: reason})
				if reason == wellknown.Placed {
					s.world.PlacementLatency = append(s.world.PlacementLatency, s.world.now-s.created[uid])
					s.world.PlacedCreatedAt = append(s.world.PlacedCreatedAt, s.created[uid])
				}
			}
			if change.Op == store.Deleted {
				if !s.settled[uid] {
					s.world.record(audit.Event{Kind: audit.Withdrawn, UID: string(uid), Scheduler: s.cfg.Name})
				}
				delete(s.created, uid)
				delete(s.settled, uid)
			}
		}
	}
}

func (s *scheduler) apply(effect *engine.Effect) {
	switch effect.Kind {
	case engine.SendAttempt:
		s.sendAttempt(effect)
	case engine.AbandonAttempt:
		attempt := attemptKey(string(effect.UID), effect.Attempt)
		if _, ok := s.attempts[attempt]; ok {
			s.attempts[attempt] = false
			s.world.record(audit.Event{Kind: audit.Abandoned, UID: string(effect.UID), Attempt: effect.Attempt, Node: effect.Node})
		}
	case engine.StopTask:
		s.stopTask(effect)
	case engine.WatchNode:
		if watch := s.watches[effect.Node]; watch != nil {
			watch.cancelled = true
		}
		watch := &podWatch{scheduler: s, node: s.world.nodesByName[effect.Node]}
		s.watches[effect.Node] = watch
		watch.connect()
	case engine.UnwatchNode:
		if watch := s.watches[effect.Node]; watch != nil {
			watch.cancelled = true
			delete(s.watches, effect.Node)
		}
	case engine.RelistNodes:
		s.relist()
	}
}

func attemptKey(uid string, attempt int) string { return uid + "/" + strconv.Itoa(attempt) }

// sendAttempt brings an offer over a link to a machine, and the answer back.
func (s *scheduler) sendAttempt(effect *engine.Effect) {
	w, node, incarnation := s.world, s.world.nodesByName[effect.Node], s.incarnation
	attempt := attemptKey(string(effect.UID), effect.Attempt)
	s.attempts[attempt] = true
	answer := engine.AttemptAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node}
	done := func(delay float64, final engine.AttemptAnswer) {
		w.after(delay, func() {
			if s.engine == nil || s.incarnation != incarnation {
				return
			}
			if !s.attempts[attempt] && final.Accepted {
				final.Accepted, final.Result = false, placer.Lost // the connection was closed here before
			}
			delete(s.attempts, attempt)
			s.engine.AttemptDone(w.now, final)
			s.process()
		})
	}
	pod := effect.Pod
	w.after(w.latency(), func() {
		switch {
		case node.sim == nil:
			answer.Result = placer.Unreachable
			done(w.latency(), answer)
			return
		case w.now < node.cutUntil:
			answer.Result = placer.Unreachable
			done(w.cfg.ConnectTimeout, answer)
			return
		}
		class := pod.Labels[wellknown.Class]
		w.record(audit.Event{Kind: audit.AttemptReceived, Node: node.cfg.Name, Rack: node.cfg.Rack, Zone: node.cfg.Zone, UID: string(effect.UID), Attempt: effect.Attempt,
			Class: class, Service: nodesim.PodService(pod), Scheduler: s.cfg.Name})
		hungUp := func(result placer.Result) {
			w.record(audit.Event{Kind: audit.Abandoned, Node: node.cfg.Name, UID: string(effect.UID), Attempt: effect.Attempt})
			answer.Result = result
			done(w.latency(), answer)
		}
		switch {
		case w.now < node.faults.ResetUntil || w.rng.Float64() < w.cfg.AttemptLossRate:
			hungUp(placer.Lost)
			return
		case node.faults.FailsClass(w.now, class):
			hungUp(placer.Errored)
			return
		}
		node.pending[attempt] = func(outcome *nodesim.Effect) {
			delay := w.latency()
			if w.now < node.faults.TrickleUntil {
				delay++
			}
			if outcome == nil || outcome.Task != nil && (w.now < node.faults.LoseAnswerUntil || w.rng.Float64() < w.cfg.AnswerLossRate) {
				hungUp(placer.Lost)
				return
			}
			final := answer
			final.Incarnation = node.bootID
			c, m := node.sim.Unused()
			final.Report = &placer.Report{FreeCores: c, FreeMemory: m, Utilization: node.sim.Utilization(), QueueLength: float64(node.sim.QueueLength())}
			if outcome.Task != nil {
				final.Accepted, final.Revision = true, node.rev
			} else {
				final.Result, final.Reason = placer.Rejected, rejectReasons[outcome.Reason]
				w.record(audit.Event{Kind: audit.Rejected, Node: node.cfg.Name, UID: string(effect.UID), Attempt: effect.Attempt, Reason: fmt.Sprint(outcome.Reason)})
			}
			done(delay, final)
		}
		request := nodesim.PodRequest(pod, effect.Attempt, w.cfg.Priorities[class])
		request.Lifetime, _ = strconv.ParseFloat(pod.Annotations[wellknown.Lifetime], 64)
		node.sim.Submit(w.now, request)
		node.process()
	})
}

var rejectReasons = map[nodesim.Reason]placer.Reason{nodesim.InsufficientCores: placer.InsufficientCores, nodesim.InsufficientMemory: placer.InsufficientMemory,
	nodesim.QueueFull: placer.QueueFull, nodesim.WrongNode: placer.WrongNode}

func (s *scheduler) stopTask(effect *engine.Effect) {
	w, node, incarnation := s.world, s.world.nodesByName[effect.Node], s.incarnation
	answer := engine.StopAnswer{UID: effect.UID, Node: effect.Node, Attempt: effect.Attempt}
	reply := func(delay float64) {
		w.after(delay, func() {
			if s.engine != nil && s.incarnation == incarnation {
				s.engine.StopDone(w.now, answer)
				s.process()
			}
		})
	}
	w.after(w.latency(), func() {
		if node.sim == nil || w.now < node.cutUntil {
			reply(w.cfg.ConnectTimeout)
			return
		}
		answer.Answered, answer.Incarnation = true, node.bootID
		answer.HadTask, answer.MayHaveRun = node.sim.Stop(w.now, string(effect.UID), effect.Attempt)
		if !answer.HadTask {
			w.record(audit.Event{Kind: audit.Fenced, Node: node.cfg.Name, UID: string(effect.UID), Attempt: effect.Attempt})
		}
		node.process()
		reply(w.latency())
	})
}

// ---- watches on machines ----

func (f *podWatch) connect() {
	w := f.scheduler.world
	incarnation := f.scheduler.incarnation
	w.after(w.latency()*2, func() {
		if f.cancelled || f.scheduler.engine == nil || f.scheduler.incarnation != incarnation {
			return
		}
		if f.node.sim == nil || w.now < f.node.cutUntil {
			w.after(0.1+0.9*w.rng.Float64(), f.connect)
			return
		}
		f.established, f.nodeIncarnation = true, f.node.incarnation
		f.node.watches = append(f.node.watches, f)
		var pods []*corev1.Pod
		uids := make([]string, 0, len(f.node.pods))
		for uid, p := range f.node.pods {
			if p.Labels[wellknown.Scheduler] == f.scheduler.cfg.Name {
				uids = append(uids, uid)
			}
		}
		sort.Strings(uids)
		for _, uid := range uids {
			pods = append(pods, f.node.pods[uid])
		}
		boot, rev := f.node.bootID, f.node.rev
		f.send(func() { f.scheduler.engine.NodePods(w.now, f.node.cfg.Name, boot, rev, pods) })
	})
}

// send brings an event to the scheduler, in order.
func (f *podWatch) send(fn func()) {
	w, incarnation := f.scheduler.world, f.scheduler.incarnation
	f.lastArrival = max(f.lastArrival, w.now+w.latency())
	w.at(f.lastArrival, func() {
		if !f.cancelled && f.scheduler.engine != nil && f.scheduler.incarnation == incarnation {
			fn()
			f.scheduler.process()
		}
	})
}

// lost ends a watch; the scheduler connects again.
func (f *podWatch) lost() {
	f.established = false
	f.send(func() {
		f.scheduler.engine.NodeUnresponsive(f.scheduler.world.now, f.node.cfg.Name)
		f.scheduler.world.after(0.1, f.connect)
	})
}

// ---- machines ----

func (n *node) start(cold bool) {
	w := n.world
	n.incarnation++
	n.sim = nodesim.New(n.cfg.Sim.ForIncarnation(n.incarnation, cold), w.now)
	n.bootID = fmt.Sprintf("%s-%d", n.cfg.Name, n.incarnation)
	n.started = 0
	if cold {
		n.started = w.now
	}
	n.rev = int64(w.now * 1e6)
	n.wakeAt = math.Inf(1)
	n.pods, n.pending = map[string]*corev1.Pod{}, map[string]func(*nodesim.Effect){}
	n.sim.RejectHook = func(*nodesim.Request) nodesim.Reason {
		if w.now < n.faults.RejectUntil {
			return nodesim.InsufficientCores
		}
		return nodesim.None
	}
	w.record(audit.Event{Kind: audit.NodeUp, Node: n.cfg.Name})
	n.process()
}

func (n *node) stop(delay float64) {
	if n.sim == nil {
		return
	}
	pending := n.pending
	n.sim, n.pending = nil, nil
	keys := make([]string, 0, len(pending))
	for k := range pending {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		pending[k](nil)
	}
	n.breakWatches()
	n.world.after(delay, func() {
		if n.sim == nil {
			n.start(true)
		}
	})
}

func (n *node) breakWatches() {
	watches := n.watches
	n.watches = nil
	for _, watch := range watches {
		if !watch.cancelled {
			watch.lost()
		}
	}
}

func (n *node) process() {
	if n.sim == nil || !n.sim.DispatchEffects(n.apply) {
		return
	}
	if at := n.sim.NextWake(); at < n.wakeAt {
		n.wakeAt = at
		incarnation := n.incarnation
		n.world.at(at, func() {
			if n.sim != nil && n.incarnation == incarnation && n.wakeAt <= n.world.now {
				n.wakeAt = math.Inf(1)
				n.sim.Tick(n.world.now)
				n.process()
			}
		})
	}
}

// apply carries out an effect of the node, and reports whether the node is still up.
func (n *node) apply(effect *nodesim.Effect) bool {
	switch effect.Kind {
	case nodesim.Answered:
		attempt := attemptKey(effect.UID, effect.Attempt)
		if reply := n.pending[attempt]; reply != nil {
			delete(n.pending, attempt)
			reply(effect)
		}
	case nodesim.Changed:
		task := effect.Task
		pod := nodesim.Pod(task, n.cfg.Name)
		n.rev++
		pod.ResourceVersion = strconv.FormatInt(n.rev, 10)
		n.pods[task.UID] = pod
		n.world.record(audit.Event{Kind: task.Phase.EventKind(), Node: n.cfg.Name, UID: task.UID, Attempt: task.Attempt, Reason: pod.Status.Reason})
		n.notifyWatches(pod, false)
	case nodesim.Removed:
		pod := n.pods[effect.Task.UID]
		delete(n.pods, effect.Task.UID)
		n.rev++
		n.notifyWatches(pod, true)
	case nodesim.Overloaded:
		n.world.record(audit.Event{Kind: audit.Overloaded, Node: n.cfg.Name})
		n.stop(30)
	}
	return n.sim != nil
}

func (n *node) notifyWatches(pod *corev1.Pod, deleted bool) {
	for _, watch := range n.watches {
		if watch.established && !watch.cancelled && watch.scheduler.cfg.Name == pod.Labels[wellknown.Scheduler] {
			watch.send(func() { watch.scheduler.engine.NodePod(n.world.now, n.cfg.Name, pod, deleted) })
		}
	}
}

// report reports to the inventory, which shows it late.
func (n *node) report() {
	w := n.world
	w.after(w.cfg.ReportInterval, n.report)
	if n.sim == nil {
		return
	}
	n.sim.Tick(w.now)
	n.process()
	if n.sim == nil {
		return
	}
	object := n.object()
	reportedAt := w.now
	w.after(w.cfg.ReportDelay, func() { w.showReport(object, reportedAt) })
}

func (w *World) showReport(object *corev1.Node, reportedAt float64) {
	entry := w.inventory[object.Name]
	if entry == nil {
		entry = &inventoryEntry{}
		w.inventory[object.Name] = entry
	}
	previous := entry.object
	entry.lastReport = max(entry.lastReport, reportedAt)
	if entry.ready && previous != nil && previous.Annotations[wellknown.FreeCapacity] == object.Annotations[wellknown.FreeCapacity] && previous.Status.NodeInfo.BootID == object.Status.NodeInfo.BootID &&
		previous.Spec.Unschedulable == object.Spec.Unschedulable {
		return
	}
	if !entry.ready || previous == nil || previous.Spec.Unschedulable != object.Spec.Unschedulable {
		kind := audit.ListedReady
		if object.Spec.Unschedulable {
			kind = audit.ListedDraining
		}
		w.record(audit.Event{Kind: kind, Node: object.Name})
	}
	entry.object, entry.ready = object, true
	w.notify(entry)
}

// notify shows a change to every scheduler that follows the inventory.
func (w *World) notify(entry *inventoryEntry) {
	if w.now < w.inventoryCutUntil {
		return
	}
	object := entry.visible()
	for _, sched := range w.schedulers {
		incarnation := sched.incarnation
		if sched.engine == nil || !sched.synced {
			continue
		}
		w.after(w.cfg.LatencyMax, func() {
			if sched.engine != nil && sched.incarnation == incarnation && w.now >= w.inventoryCutUntil {
				sched.engine.NodesListed(w.now, engine.Changes, []*corev1.Node{object}, nil)
				sched.process()
			}
		})
	}
}

// checkUnresponsive shows machines as not ready that have not reported.
func (w *World) checkUnresponsive() {
	w.after(0.25, w.checkUnresponsive)
	for _, n := range w.nodes {
		if entry := w.inventory[n.cfg.Name]; entry != nil && entry.ready && w.now-entry.lastReport > w.cfg.UnresponsiveAfter+w.cfg.ReportDelay {
			entry.ready = false
			w.record(audit.Event{Kind: audit.ListedUnavailable, Node: n.cfg.Name})
			w.notify(entry)
		}
	}
}

func (n *node) object() *corev1.Node {
	identity := nodesim.Identity{Name: n.cfg.Name, Zone: n.cfg.Zone, Rack: n.cfg.Rack, Kind: n.cfg.Kind, Incarnation: n.bootID, Host: n.cfg.Name, Port: 1}
	if n.started > 0 {
		identity.StartedAt = n.started + n.faults.ClockSkew
	}
	return n.sim.Object(identity)
}

func (n *node) injectFault(order fault.Node) {
	now := n.world.now
	n.faults.Apply(now, order)
	if order.Stall != 0 && n.sim != nil {
		n.sim.StallUntil(now + order.Stall)
	}
	if order.Unreachable > 0 {
		n.cutUntil = now + order.Unreachable
		n.breakWatches()
	}
	if order.Drain != nil && n.sim != nil {
		n.sim.SetDraining(now, *order.Drain)
		n.process()
	}
	if order.Crash > 0 && n.sim != nil {
		n.world.record(audit.Event{Kind: audit.Crashed, Node: n.cfg.Name})
		n.stop(order.Crash)
	}
}

// Audit checks what passed.
func (w *World) Audit() audit.Report {
	return audit.Check(audit.Config{Classes: w.cfg.Classes, DrainGrace: w.cfg.DrainGrace, Slack: 0.1}, w.Events)
}
