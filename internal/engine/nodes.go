package engine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"
	"k8s.io/apimachinery/pkg/types"

	"heathshed/internal/store"
	"heathshed/internal/wellknown"
	"heathshed/placer"
)

// node is a machine as this scheduler knows it.
type node struct {
	name      string
	id        placer.NodeID
	address   string
	inv       *corev1.Node // as the inventory has it; nil once it left
	drained   bool         // ordered here
	labels    map[string]string
	labelled  bool // labels were set here
	touched   bool // drained or labelled here since it was shown
	state     placer.NodeState
	boot      string
	past      []string // lives that are over: a late word of them says nothing
	following bool     // its Pods are watched and heard of
	listBoot  string   // the life that the list names
	since     float64  // when that began by our clock, 0 is long ago
	held      map[types.UID]*task
	doubts    map[*attempt]struct{} // attempts at it that may have been accepted
	goneSince float64
	shownAt   float64
	shownAs   uint64 // what the inventory said but for the room, when it was shown
	told      bool   // the placer knows it
}

// Listing is how the inventory's words are meant.
type Listing uint8

// A full list, or changes of single machines.
const (
	FullList Listing = iota
	Changes
	// ListLost says that the inventory is out of reach; what is known stands.
	ListLost
)

// NodesListed takes machines from the inventory. removed names those that a change takes away.
func (e *Engine) NodesListed(now float64, kind Listing, nodes []*corev1.Node, removed []string) {
	e.begin(now)
	defer e.end()
	if kind == ListLost {
		// Where the list is pushed nobody asked for it, and the adapter sees to it that it comes again.
		if e.cfg.Placer.MustPollNodes {
			e.feed(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
		return
	}
	seen := map[string]bool{}
	var changed []*node
	for _, o := range nodes {
		seen[o.Name] = true
		n := e.nodes[o.Name]
		if n == nil {
			n = &node{name: o.Name, id: placer.NodeID(xxhash.Sum64String(o.Name)), held: map[types.UID]*task{}}
			if other := e.byID[n.id]; other != nil {
				continue // two names of one number: the second cannot be told apart
			}
			e.nodes[o.Name], e.byID[n.id] = n, n
		}
		if addr := wellknown.NodeAddress(o); addr != n.address {
			if n.address != "" {
				e.effect(Effect{Kind: UnwatchNode, Node: n.name})
				n.following = false
			}
			if n.address = addr; addr != "" {
				e.effect(Effect{Kind: WatchNode, Node: n.name, Address: addr})
			}
		}
		// The list is late: it may name a life that is over. Which life a machine is in only the machine itself says.
		n.inv = o
		changed = append(changed, n)
	}
	if kind == FullList {
		for name, n := range e.nodes {
			if !seen[name] && n.inv != nil {
				removed = append(removed, name)
			}
		}
		slices.Sort(removed)
	}
	for _, name := range removed {
		if n := e.nodes[name]; n != nil && n.inv != nil {
			n.inv = nil
			changed = append(changed, n)
		}
	}
	list := placer.Changes
	if kind == FullList {
		list = placer.FullList
	}
	out := make([]placer.Node, 0, len(changed))
	for _, n := range changed {
		out = append(out, e.observe(n))
		e.showNode(n)
	}
	e.listed = true
	e.feed(placer.Event{Kind: placer.NodesListed, List: list, Nodes: out})
}

// observe turns what is known of a machine into the placer's terms.
func (e *Engine) observe(n *node) placer.Node {
	out := placer.Node{ID: n.id, NodeType: -1, State: placer.Gone}
	was := n.state
	n.state = placer.Gone
	if o := n.inv; o != nil {
		l := o.Labels
		out.Zone, out.Rack = intern(e.zones, l[wellknown.Zone]), intern(e.racks, l[wellknown.Rack])
		out.NodeType = slices.Index(e.cfg.NodeTypes, l[wellknown.Kind])
		out.StartedAt = e.since(n, o)
		free, _ := wellknown.ParseDict(o.Annotations[wellknown.Free])
		out.FreeCores, out.FreeMemory = free["cores"], free["memory"]
		switch {
		case n.drained || o.Spec.Unschedulable:
			n.state = placer.Draining
		case wellknown.NodeReady(o) && n.address != "":
			n.state = placer.Ready
		}
	}
	out.State = n.state
	if n.state == placer.Gone && (was != placer.Gone || !n.told) {
		n.goneSince = e.now
		e.checkGone(n)
	}
	n.told = true
	return out
}

// since is when the life that the list names began, by this scheduler's clock. Machines have clocks of their own: one that is
// behind would make a cold machine look warm. A life that begins under our eyes began when we first saw it, or at most the
// list's delay before, which only makes it count as cold for longer.
func (e *Engine) since(n *node, o *corev1.Node) float64 {
	boot, stated := o.Status.NodeInfo.BootID, wellknown.Seconds(o.Annotations[wellknown.Started])
	if n.listBoot != boot || boot == "" || !n.told {
		switch {
		case stated == 0:
			n.since = 0
		case e.listed:
			n.since = e.now
		default:
			n.since = min(stated, e.now) // it was there before us: there is only its own word
		}
		n.listBoot = boot
	}
	return n.since
}

// checkGone sees to the tasks of a machine that stays out of the list and is not heard of.
func (e *Engine) checkGone(n *node) {
	e.after(e.cfg.LostAfter, func() {
		if n.state != placer.Gone || n.following || e.now-n.goneSince < e.cfg.LostAfter {
			return
		}
		for _, t := range n.tasks() {
			if t.effect(e) != placer.NonIdempotent {
				e.heldEnded(t, placer.Lost, placer.NoReason, wellknown.Lost, n.name+" is gone")
			}
			// A task that must not run twice may run on a machine that is merely cut off: only the machine itself, or
			// its new life, can say that it ended.
		}
		e.drainQueue()
		e.forgetNode(n)
	})
}

func (n *node) tasks() []*task {
	out := make([]*task, 0, len(n.held))
	for _, t := range n.held {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// forgetNode drops a machine that has left the inventory and holds nothing.
func (e *Engine) forgetNode(n *node) {
	if n.inv != nil || len(n.held) > 0 || n.address == "" {
		return
	}
	e.effect(Effect{Kind: UnwatchNode, Node: n.name})
	n.address = ""
	n.following = false
}

const pastLives = 16

// learn notes the identity of a machine's life. In a new life nothing of the old one runs.
func (e *Engine) learn(n *node, boot string) {
	if boot == "" || boot == n.boot || slices.Contains(n.past, boot) {
		return
	}
	old := n.boot
	n.boot = boot
	if n.past = append(n.past, old); len(n.past) > pastLives {
		n.past = n.past[1:]
	}
	if old == "" {
		return
	}
	for _, t := range n.tasks() {
		if t.holder.boot != boot {
			e.heldEnded(t, placer.Lost, placer.NoReason, wellknown.Lost, n.name+" restarted")
		}
	}
	// By the machine's own list of doubts: a restart must not cost a look at every task there is.
	doubts := make([]*attempt, 0, len(n.doubts))
	for at := range n.doubts {
		doubts = append(doubts, at)
	}
	slices.SortFunc(doubts, func(a, b *attempt) int { return cmp.Or(cmp.Compare(a.t.seq, b.t.seq), cmp.Compare(a.number, b.number)) })
	for _, at := range doubts {
		if at.isDoubt() {
			e.resolved(at, true)
		}
	}
}

// showNode stores a machine as the API shows it. Changes of its room alone are shown every few seconds.
func (e *Engine) showNode(n *node) {
	if n.inv == nil {
		e.store.Delete(store.Nodes, "", n.name)
		return
	}
	as, known := fingerprint(n.inv)
	if was, _ := e.store.Get(store.Nodes, "", n.name).(*corev1.Node); known && was != nil && as == n.shownAs && !n.touched &&
		(e.now-n.shownAt < 5 || was.Annotations[wellknown.Free] == n.inv.Annotations[wellknown.Free]) {
		return // most news are of room alone, and come often
	}
	n.shownAs, n.touched = as, false
	o := n.inv.DeepCopy()
	if n.labelled {
		o.Labels = maps.Clone(n.labels)
		for _, k := range []string{wellknown.Zone, wellknown.Rack, wellknown.Kind} {
			if v, ok := n.inv.Labels[k]; ok {
				o.Labels[k] = v
			}
		}
	}
	o.Spec.Unschedulable = o.Spec.Unschedulable || n.drained
	var since *corev1.Taint
	for i := range o.Spec.Taints {
		if o.Spec.Taints[i].Key == corev1.TaintNodeUnschedulable {
			since = &o.Spec.Taints[i]
		}
	}
	if o.Spec.Unschedulable && since == nil {
		o.Spec.Taints = append(o.Spec.Taints, corev1.Taint{Key: corev1.TaintNodeUnschedulable, Effect: corev1.TaintEffectNoSchedule})
	}
	if was := e.store.Get(store.Nodes, "", n.name); was != nil {
		w := was.(*corev1.Node)
		o.ResourceVersion = w.ResourceVersion
		if equality.Semantic.DeepEqual(w, o) {
			return
		}
		if e.now-n.shownAt < 5 {
			free := o.Annotations[wellknown.Free]
			if o.Annotations != nil {
				o.Annotations[wellknown.Free] = w.Annotations[wellknown.Free]
			}
			if equality.Semantic.DeepEqual(w, o) {
				return
			}
			o.Annotations[wellknown.Free] = free
		}
	}
	n.shownAt = e.now
	e.store.Put(store.Nodes, o)
}

// fingerprint is a number of all that the inventory says of a machine but its room and revision, and whether it could be made.
func fingerprint(o *corev1.Node) (uint64, bool) {
	c := *o
	c.ResourceVersion = ""
	if _, ok := c.Annotations[wellknown.Free]; ok {
		c.Annotations = maps.Clone(c.Annotations)
		delete(c.Annotations, wellknown.Free)
	}
	b, err := c.Marshal()
	return xxhash.Sum64(b), err == nil
}

// UpdateNode takes the drain order and labels of a Node from the API; the drain counts as told at once.
// The argument order is the drain order, nil if the call gives none: a machine that the inventory drains shows as unschedulable without one.
func (e *Engine) UpdateNode(now float64, o *corev1.Node, order *bool, dry bool) (*corev1.Node, error) {
	e.begin(now)
	defer e.end()
	n := e.nodes[o.Name]
	cur, _ := e.store.Get(store.Nodes, "", o.Name).(*corev1.Node)
	if n == nil || cur == nil {
		return nil, ErrNotFound
	}
	if o.ResourceVersion != "" && o.ResourceVersion != cur.ResourceVersion || o.UID != "" && o.UID != cur.UID {
		return nil, ErrConflict
	}
	for _, k := range []string{wellknown.Zone, wellknown.Rack, wellknown.Kind} {
		if o.Labels[k] != cur.Labels[k] {
			return nil, &InvalidError{"metadata.labels[" + k + "]", "the inventory says where a machine stands; it cannot be changed here", o.Labels[k]}
		}
	}
	if dry {
		next := cur.DeepCopy()
		next.Labels = o.Labels
		if order != nil {
			next.Spec.Unschedulable = *order || n.inv != nil && n.inv.Spec.Unschedulable
		}
		return next, nil
	}
	if !maps.Equal(o.Labels, cur.Labels) {
		n.labels, n.labelled, n.touched = maps.Clone(o.Labels), true, true
	}
	if order != nil && *order != n.drained {
		n.drained, n.touched = *order, true
		e.feed(placer.Event{Kind: placer.NodesListed, List: placer.Changes, Nodes: []placer.Node{e.observe(n)}})
		e.drainQueue()
	}
	e.showNode(n)
	return e.store.Get(store.Nodes, "", o.Name).(*corev1.Node), nil
}

// NodePods takes the whole list of own Pods at a machine, with the machine's revision and the identity of its life.
func (e *Engine) NodePods(now float64, name, boot string, rev int64, pods []*corev1.Pod) {
	e.begin(now)
	defer e.end()
	n := e.nodes[name]
	if n == nil {
		return
	}
	n.following = true
	e.learn(n, boot)
	seen := map[types.UID]bool{}
	for _, p := range pods {
		seen[p.UID] = true
		e.podAt(n, p, false)
	}
	for _, t := range n.tasks() {
		// One accepted after the list was made is not in it.
		if !seen[t.uid] && t.holder.rev <= rev {
			e.endUnseen(t, n)
		}
	}
}

// endUnseen ends a task that its machine does not show any more.
func (e *Engine) endUnseen(t *task, n *node) {
	if t.stopReason != "" {
		e.heldEnded(t, placer.Cancelled, placer.NoReason, t.stopReason, "")
		return
	}
	e.heldEnded(t, placer.Lost, placer.NoReason, wellknown.Lost, n.name+" does not hold it any more")
}

// NodePod takes a change of one own Pod at a machine.
func (e *Engine) NodePod(now float64, name string, p *corev1.Pod, deleted bool) {
	e.begin(now)
	defer e.end()
	if n := e.nodes[name]; n != nil {
		e.podAt(n, p, deleted)
	}
}

// NodeUnresponsive says that a machine's Pods can no longer be watched.
func (e *Engine) NodeUnresponsive(now float64, name string) {
	e.begin(now)
	defer e.end()
	if n := e.nodes[name]; n != nil && n.following {
		n.following = false
		if n.state == placer.Gone {
			n.goneSince = e.now
			e.checkGone(n)
		}
	}
}

func podRev(p *corev1.Pod) int64 {
	v, _ := strconv.ParseInt(p.ResourceVersion, 10, 64)
	return v
}

// podAt brings a task in line with what a machine shows of it.
func (e *Engine) podAt(n *node, p *corev1.Pod, deleted bool) {
	t := e.tasks[p.UID]
	over := deleted || wellknown.Finished(p)
	if t == nil {
		if !over && p.Labels[wellknown.Scheduler] == e.cfg.Name {
			e.takeOver(n, p)
		}
		return
	}
	if at := t.open; at != nil && at.n == n {
		// Its answer is on the way, or is about to be lost: what the watch says meanwhile counts once that is known.
		at.boot, at.rev, at.last, at.lastGone = n.boot, podRev(p), p, deleted
		return
	}
	if h := t.holder; h != nil && h.n == n {
		e.follow(t, p, deleted)
		return
	}
	for _, at := range t.doubts {
		if at.n != n {
			continue
		}
		e.doubtful(at, n.boot, p, deleted)
		return
	}
	if !over {
		e.stopCopy(n, t.uid, t.namespace, t.name, t.attempts)
	}
}

// doubtful takes what a machine shows of an attempt in doubt.
func (e *Engine) doubtful(at *attempt, boot string, p *corev1.Pod, deleted bool) {
	if deleted || wellknown.Finished(p) {
		e.resolved(at, p.Status.Reason != wellknown.NeverRan)
		return
	}
	t := at.t
	e.found(at, boot, podRev(p))
	if t.holder != nil && t.holder.n == at.n {
		e.follow(t, p, false)
	}
}

// follow takes news of a held task.
func (e *Engine) follow(t *task, p *corev1.Pod, deleted bool) {
	switch {
	case p.Status.Phase == corev1.PodSucceeded:
		e.ran(t)
		e.heldEnded(t, placer.Finished, placer.NoReason, "", "")
	case p.Status.Phase == corev1.PodFailed:
		e.heldFailed(t, p)
	case deleted:
		e.endUnseen(t, t.holder.n)
	default:
		if p.Status.Phase == corev1.PodRunning {
			e.ran(t)
		}
		use, _ := wellknown.ParseDict(p.Annotations[wellknown.Use])
		for _, u := range []struct {
			name string
			kind placer.UsageKind
		}{{"cores", placer.CoresUsed}, {"memory", placer.MemoryUsed}} {
			if v, ok := use[u.name]; ok && t.holder != nil {
				e.feed(placer.Event{Kind: placer.UsageReported, TaskID: t.holder.a.id, Attempt: t.holder.seq, Node: t.holder.n.id,
					Usage: u.kind, Value: v})
			}
		}
	}
}

// heldFailed ends a held task for the reason that its machine states.
func (e *Engine) heldFailed(t *task, p *corev1.Pod) {
	r, why := placer.Lost, placer.NoReason
	switch p.Status.Reason {
	case wellknown.Evicted:
		why = placer.Evicted
	case wellknown.Preempted:
		why = placer.Preempted
	case wellknown.Drained:
		why = placer.Drained
	case wellknown.Stopped, wellknown.NeverRan:
		r = placer.Cancelled
		if t.stopReason != "" {
			e.heldEnded(t, r, why, t.stopReason, p.Status.Message)
			return
		}
	case "Error":
		r = placer.Finished
	}
	e.heldEnded(t, r, why, p.Status.Reason, p.Status.Message)
}

// takeOver adopts a task that an earlier life of this scheduler placed. Its Job is rebuilt from what the machine kept.
func (e *Engine) takeOver(n *node, p *corev1.Pod) {
	class, bad := e.classOf(p.Labels)
	tenant, _ := e.tenant(p.Namespace)
	if bad != nil || e.store.Get(store.Pods, p.Namespace, p.Name) != nil {
		e.stopCopy(n, p.UID, p.Namespace, p.Name, 1<<30)
		return
	}
	e.Stats.Recovered++
	t := &task{uid: p.UID, namespace: p.Namespace, name: p.Name, class: class, tenant: tenant, phase: running, everRan: true,
		asked: 1, settled: true, giveUp: e.now}
	t.cores, t.memory = wellknown.Requests(&p.Spec)
	service := p.Labels[wellknown.Service]
	if service == "" {
		service = p.Labels[wellknown.JobName]
	}
	t.service = serviceID(p.Namespace, service)
	t.seq = int(e.Stats.PodsCreated)
	e.Stats.PodsCreated++
	e.tasks[t.uid] = t

	o := p.DeepCopy()
	o.Labels[wellknown.Scheduler] = e.cfg.Name
	delete(o.Annotations, wellknown.Job)
	delete(o.Annotations, wellknown.Use)
	o.Spec.NodeName = n.name
	now := wellknown.Time(e.now)
	phase := o.Status.Phase
	o.Status = corev1.PodStatus{Phase: corev1.PodPending}
	for _, c := range []corev1.PodCondition{{Type: wellknown.Settled, Reason: wellknown.Placed, Message: "found running on " + n.name +
		" after the scheduler's restart"}, {Type: corev1.PodScheduled}} {
		c.Status, c.LastTransitionTime = corev1.ConditionTrue, now
		o.Status.Conditions = setCondition(o.Status.Conditions, c)
	}
	e.takeOverJob(t, p)
	e.store.Put(store.Pods, o)
	if t.job != nil {
		t.job.pods[t.name] = struct{}{}
	}
	number, _ := strconv.Atoi(p.Annotations[wellknown.AttemptAnnotation])
	e.adopt(t, n, max(number, 1), n.boot, podRev(p))
	if phase == corev1.PodRunning {
		e.ran(t)
	}
	if t.job != nil && t.job.gone {
		e.deletePodOf(t, "Deleted")
	}
}

// takeOverJob joins a task that was taken over to its Job, which it rebuilds if it is not there.
func (e *Engine) takeOverJob(t *task, p *corev1.Pod) {
	var o batchv1.Job
	if json.Unmarshal([]byte(p.Annotations[wellknown.Job]), &o) != nil || o.Name == "" || o.Namespace != p.Namespace {
		return
	}
	index, err := strconv.Atoi(p.Labels[wellknown.Index])
	j := e.jobs[jobKey(&o)]
	if j == nil {
		o.Generation = 1
		j, _ = e.describe(&o)
		if j == nil {
			return
		}
		j.takenOver = true
		j.next = len(j.slots) // nothing of it is begun before the machines have been heard
		e.jobs[j.key] = j
		e.store.Put(store.Jobs, &o)
		e.after(e.cfg.LostAfter, func() { e.takeOverRest(j) })
	}
	if j.uid != o.UID || err != nil || index < 0 || index >= len(j.slots) || j.slots[index].cur != nil {
		return
	}
	s := &j.slots[index]
	if s.done {
		s.done = false
		j.exhausted--
	}
	if !s.settled {
		s.settled = true
		j.settled[wellknown.Placed]++
	}
	s.cur, s.begun = t, true
	t.job, t.index, t.budget = j, index, s.budget
	j.active++
	e.touchJob(j)
}

// takeOverRest decides on the indexes of a rebuilt Job that no machine showed: they may have ended, or never begun. What may
// run twice is asked for again; the rest is not.
func (e *Engine) takeOverRest(j *job) {
	if j.gone || e.jobs[j.key] != j {
		return
	}
	for i := range j.slots {
		s := &j.slots[i]
		if s.begun {
			continue
		}
		if e.cfg.Placer.Classes[j.class].Idempotency == placer.Idempotent {
			j.next = min(j.next, i)
			continue
		}
		s.begun, s.done = true, true
		j.exhausted++
		j.failed++
		if !s.settled {
			s.settled = true
			j.settled[wellknown.Failed]++
			j.mayRan = true
		}
	}
	e.enqueue(j)
	e.touchJob(j)
	e.checkJob(j)
}

// NodeHeartbeat says how many machines the inventory lists as ready, and of how many the Pods are known.
func (e *Engine) NodeHeartbeat() (listed, heard int) {
	for _, n := range e.nodes {
		if n.state != placer.Gone {
			listed++
			if n.following {
				heard++
			}
		}
	}
	return listed, heard
}
